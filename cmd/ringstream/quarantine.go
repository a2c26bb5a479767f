package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ringstream.example/ringstream/internal/configcheck"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/passthrough/batch"
	"ringstream.example/ringstream/platform"
)

// quarantineFlags are the flags of the commands on contents that end engines.
type quarantineFlags struct{ store, reason string }

// open gives access to what the store keeps.
func (f *quarantineFlags) open() (batch.Quarantine, error) {
	if err := configcheck.Address("--store", f.store); err != nil {
		return batch.Quarantine{}, &usageError{cause: err}
	}
	return batch.Quarantine{Rows: platform.NewStore(f.store)}, nil
}

// find gives the content that a digest names, or the start of one that the store tells of.
func find(ctx context.Context, kept batch.Quarantine, text string) (quarantine.Digest, error) {
	if content, err := quarantine.ParseDigest(text); err == nil {
		return content, nil
	}
	known, unreadable := kept.Read(ctx)
	var found []quarantine.Digest
	for _, content := range known {
		if text != "" && strings.HasPrefix(content.Content.Key(), text) {
			found = append(found, content.Content)
		}
	}
	if len(found) != 1 {
		if unreadable != nil {
			return quarantine.Digest{}, unreadable
		}
		return quarantine.Digest{}, &usageError{cause: fmt.Errorf("%q is no digest, and the start of %d in the list", text, len(found))}
	}
	return found[0], nil
}

func newQuarantine(options *connection) *cobra.Command {
	flags := &quarantineFlags{}
	command := &cobra.Command{
		Use:   "quarantine",
		Short: "Show, block and let through contents of requests that end engines",
		Long:  "The contents are read from the platform's store and written there; all pass-through\nnodes that follow it hear of a change, within about a second. A content is named by its\ndigest: as the list or \"quarantine digest\" gives it, or the start of one in the list, as logs give it.",
		Args:  subcommand, RunE: showHelp,
	}
	command.PersistentFlags().StringVar(&flags.store, "store", "", "IP:port of the platform's store, as in pass_through.store_address")
	command.AddCommand(newQuarantineList(options, flags), newQuarantineBlock(flags), newQuarantineLift(flags), newQuarantineDigest())
	return command
}

// shownContent is a content as the list gives it.
type shownContent struct {
	Content  string       `json:"content"`
	Blocked  bool         `json:"blocked"`
	By       string       `json:"by,omitempty"` // operator or crashes
	Left     string       `json:"left,omitempty"`
	Reason   string       `json:"reason,omitempty"`
	Ended    int          `json:"engines_ended"` // but for those that were excused
	Evidence float64      `json:"evidence"`
	Engines  []shownCrash `json:"engines"`
}

type shownCrash struct {
	Engine  string `json:"engine"` // hash of its id
	Age     string `json:"age"`
	Excused bool   `json:"excused"`
}

func showContent(known batch.KnownContent, now time.Time) shownContent {
	shown := shownContent{
		Content: known.Content.Key(), Blocked: known.Verdict.Blocked, Reason: known.Reason,
		Ended: known.Verdict.Crashes, Evidence: known.Verdict.Evidence,
	}
	if known.Verdict.Blocked {
		shown.By, shown.Left = "crashes", known.Verdict.Until.Sub(now).Round(time.Second).String()
	}
	if known.Verdict.Ordered {
		shown.By = "operator"
	}
	for _, crash := range known.Crashes {
		shown.Engines = append(shown.Engines, shownCrash{Engine: fmt.Sprintf("%016x", crash.Engine), Age: crash.Age.Round(time.Second).String(), Excused: crash.Excused})
	}
	return shown
}

func newQuarantineList(options *connection, flags *quarantineFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the contents that the store tells of, those that are blocked first",
		Args:  arguments(),
		RunE: func(command *cobra.Command, _ []string) error {
			kept, err := flags.open()
			if err != nil {
				return err
			}
			known, unreadable := kept.Read(command.Context())
			if known == nil {
				return unreadable
			}
			now := time.Now()
			list := make([]shownContent, 0, len(known))
			for _, content := range known {
				list = append(list, showContent(content, now))
			}
			if options.output == outputJSON {
				return errors.Join(printJSON(command.OutOrStdout(), list), unreadable)
			}
			shown := &grid{header: []string{"content", "blocked by", "left", "engines ended", "evidence", "reason"}}
			for _, content := range list {
				shown.add(content.Content, content.By, content.Left, content.Ended, content.Evidence, content.Reason)
			}
			return errors.Join(shown.print(command.OutOrStdout()), unreadable)
		},
	}
}

// openFor opens the store, and finds the content that an operator names there.
func (f *quarantineFlags) openFor(ctx context.Context, named string) (batch.Quarantine, quarantine.Digest, error) {
	kept, err := f.open()
	if err != nil {
		return kept, quarantine.Digest{}, err
	}
	content, err := find(ctx, kept, named)
	return kept, content, err
}

func newQuarantineBlock(flags *quarantineFlags) *cobra.Command {
	var lasting time.Duration
	command := &cobra.Command{
		Use:     "block CONTENT",
		Short:   "Let requests with a content reach no engine for some time",
		Example: "  ringstream quarantine block 9f0c... --store 10.0.0.2:7400 --for 2h --reason 'ticket 17'",
		Args:    arguments("CONTENT"),
		RunE: func(command *cobra.Command, given []string) error {
			kept, content, err := flags.openFor(command.Context(), given[0])
			if err != nil {
				return err
			}
			err = kept.Block(command.Context(), content, lasting, flags.reason)
			if errors.Is(err, batch.ErrBlockLength) {
				return &usageError{command: command.CommandPath(), cause: fmt.Errorf("--for: %w", err)}
			}
			return err
		},
	}
	command.Flags().DurationVar(&lasting, "for", time.Hour, "how long it is blocked")
	command.Flags().StringVar(&flags.reason, "reason", "", "shown in the list")
	return command
}

func newQuarantineLift(flags *quarantineFlags) *cobra.Command {
	command := &cobra.Command{
		Use:   "lift CONTENT",
		Short: "End a content's block; engines that end under it from then on count anew",
		Args:  arguments("CONTENT"),
		RunE: func(command *cobra.Command, given []string) error {
			kept, content, err := flags.openFor(command.Context(), given[0])
			if err != nil {
				return err
			}
			return kept.Lift(command.Context(), content, flags.reason)
		},
	}
	command.Flags().StringVar(&flags.reason, "reason", "", "shown in the list")
	return command
}

func newQuarantineDigest() *cobra.Command {
	var content quarantine.Content
	var body string
	command := &cobra.Command{
		Use:   "digest",
		Short: "Give the digest of a request's content, to block it before it runs",
		Args:  arguments(),
		RunE: func(command *cobra.Command, _ []string) error {
			if body != "" {
				read, err := os.ReadFile(body)
				if err != nil {
					return &usageError{command: command.CommandPath(), cause: err}
				}
				content.Body = read
			}
			_, err := fmt.Fprintln(command.OutOrStdout(), content.Digest().Key())
			return err
		},
	}
	command.Flags().StringVar(&content.Host, "host", "", "the request's host")
	command.Flags().StringVar(&content.Target, "target", "", "its path and query, as sent")
	command.Flags().StringVar(&content.Caller, "tenant", "", "the tenant's name; empty: none")
	command.Flags().StringVar(&body, "body", "", "file with its body; empty: it has none")
	return command
}

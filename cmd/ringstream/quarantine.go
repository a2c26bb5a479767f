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

// quarantineFlags holds the flags of the commands on contents that crash engines.
type quarantineFlags struct{ store, reason string }

// openStore returns access to the quarantine in the platform's store.
func (f *quarantineFlags) openStore() (batch.Quarantine, error) {
	if err := configcheck.Address("--store", f.store); err != nil {
		return batch.Quarantine{}, &usageError{cause: err}
	}
	return batch.Quarantine{Rows: platform.NewStore(f.store)}, nil
}

// findContent returns the content of a digest. The text is a complete digest, or the
// start of exactly one digest in the store.
func findContent(ctx context.Context, store batch.Quarantine, text string) (quarantine.Digest, error) {
	if content, err := quarantine.ParseDigest(text); err == nil {
		return content, nil
	}
	known, readErr := store.Read(ctx)
	var found []quarantine.Digest
	for _, content := range known {
		if text != "" && strings.HasPrefix(content.Content.Key(), text) {
			found = append(found, content.Content)
		}
	}
	if len(found) != 1 {
		if readErr != nil {
			return quarantine.Digest{}, readErr
		}
		return quarantine.Digest{}, &usageError{cause: fmt.Errorf("%q is no digest, and the start of %d in the list", text, len(found))}
	}
	return found[0], nil
}

func newQuarantine(options *adminFlags) *cobra.Command {
	flags := &quarantineFlags{}
	command := &cobra.Command{
		Use:   "quarantine",
		Short: "Show, block and let through contents of requests that end engines",
		Long:  "The contents are read from the platform's store and written there; all pass-through\nnodes that follow it hear of a change, within about a second. A content is named by its\ndigest: as the list or \"quarantine digest\" gives it, or the start of one in the list, as logs give it.",
		Args:  requireSubcommand, RunE: showHelp,
	}
	command.PersistentFlags().StringVar(&flags.store, "store", "", "IP:port of the platform's store, as in pass_through.store_address")
	command.AddCommand(newQuarantineList(options, flags), newQuarantineBlock(flags), newQuarantineLift(flags), newQuarantineDigest())
	return command
}

// contentEntry is a content as the list command prints it.
type contentEntry struct {
	Content  string       `json:"content"`
	Blocked  bool         `json:"blocked"`
	By       string       `json:"by,omitempty"` // operator or crashes
	Left     string       `json:"left,omitempty"`
	Reason   string       `json:"reason,omitempty"`
	Ended    int          `json:"engines_ended"` // without the excused ones
	Evidence float64      `json:"evidence"`
	Engines  []crashEntry `json:"engines"`
}

type crashEntry struct {
	Engine  string `json:"engine"` // hash of the engine's ID
	Age     string `json:"age"`
	Excused bool   `json:"excused"`
}

func newContentEntry(known batch.KnownContent, now time.Time) contentEntry {
	entry := contentEntry{
		Content: known.Content.Key(), Blocked: known.Verdict.Blocked, Reason: known.Reason,
		Ended: known.Verdict.Crashes, Evidence: known.Verdict.Evidence,
	}
	if known.Verdict.Blocked {
		entry.By, entry.Left = "crashes", known.Verdict.Until.Sub(now).Round(time.Second).String()
	}
	if known.Verdict.Ordered {
		entry.By = "operator"
	}
	for _, crash := range known.Crashes {
		entry.Engines = append(entry.Engines, crashEntry{Engine: fmt.Sprintf("%016x", crash.Engine), Age: crash.Age.Round(time.Second).String(), Excused: crash.Excused})
	}
	return entry
}

func newQuarantineList(options *adminFlags, flags *quarantineFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the contents that the store tells of, those that are blocked first",
		Args:  exactArguments(),
		RunE: func(command *cobra.Command, _ []string) error {
			store, err := flags.openStore()
			if err != nil {
				return err
			}
			known, readErr := store.Read(command.Context())
			if known == nil {
				return readErr
			}
			now := time.Now()
			list := make([]contentEntry, 0, len(known))
			for _, content := range known {
				list = append(list, newContentEntry(content, now))
			}
			if options.output == outputJSON {
				return errors.Join(printJSON(command.OutOrStdout(), list), readErr)
			}
			table := &textTable{header: []string{"content", "blocked by", "left", "engines ended", "evidence", "reason"}}
			for _, content := range list {
				table.add(content.Content, content.By, content.Left, content.Ended, content.Evidence, content.Reason)
			}
			return errors.Join(table.print(command.OutOrStdout()), readErr)
		},
	}
}

// openContent opens the store and finds the content that an operator names.
func (f *quarantineFlags) openContent(ctx context.Context, named string) (batch.Quarantine, quarantine.Digest, error) {
	store, err := f.openStore()
	if err != nil {
		return store, quarantine.Digest{}, err
	}
	content, err := findContent(ctx, store, named)
	return store, content, err
}

func newQuarantineBlock(flags *quarantineFlags) *cobra.Command {
	var blockDuration time.Duration
	command := &cobra.Command{
		Use:     "block CONTENT",
		Short:   "Let requests with a content reach no engine for some time",
		Example: "  ringstream quarantine block 9f0c... --store 10.0.0.2:7400 --for 2h --reason 'ticket 17'",
		Args:    exactArguments("CONTENT"),
		RunE: func(command *cobra.Command, args []string) error {
			store, content, err := flags.openContent(command.Context(), args[0])
			if err != nil {
				return err
			}
			err = store.Block(command.Context(), content, blockDuration, flags.reason)
			if errors.Is(err, batch.ErrBlockLength) {
				return &usageError{command: command.CommandPath(), cause: fmt.Errorf("--for: %w", err)}
			}
			return err
		},
	}
	command.Flags().DurationVar(&blockDuration, "for", time.Hour, "how long it is blocked")
	command.Flags().StringVar(&flags.reason, "reason", "", "shown in the list")
	return command
}

func newQuarantineLift(flags *quarantineFlags) *cobra.Command {
	command := &cobra.Command{
		Use:   "lift CONTENT",
		Short: "End a content's block; engines that end under it from then on count anew",
		Args:  exactArguments("CONTENT"),
		RunE: func(command *cobra.Command, args []string) error {
			store, content, err := flags.openContent(command.Context(), args[0])
			if err != nil {
				return err
			}
			return store.Lift(command.Context(), content, flags.reason)
		},
	}
	command.Flags().StringVar(&flags.reason, "reason", "", "shown in the list")
	return command
}

func newQuarantineDigest() *cobra.Command {
	var content quarantine.Content
	var body, part string
	command := &cobra.Command{
		Use:   "digest",
		Short: "Give the digest of a request's content, or of a part of prompts, to block it before it runs",
		Args:  exactArguments(),
		RunE: func(command *cobra.Command, _ []string) error {
			if part != "" {
				_, err := fmt.Fprintln(command.OutOrStdout(), quarantine.Part{Host: content.Host, ID: part}.Digest().Key())
				return err
			}
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
	command.Flags().StringVar(&part, "part", "", "id of a part of prompts instead, as requests to the host name it")
	return command
}

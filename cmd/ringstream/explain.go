package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"ringstream.example/ringstream/internal/explain"
)

// idNotFoundError means that no log line is about the ID.
type idNotFoundError struct {
	id    string
	lines int
}

// Error implements error.
func (e *idNotFoundError) Error() string {
	return fmt.Sprintf("no line of the %d log lines is about %q: check the id, and that the files hold the logs of all nodes of that time", e.lines, e.id)
}

func newExplain() *cobra.Command {
	before := 2 * time.Second
	summary := false
	command := &cobra.Command{
		Use:     "explain ID FILE... | explain --summary FILE...",
		Short:   "Tell the story of a request, item or job from nodes' logs",
		Long:    "Prints the log lines about an id, of all nodes and in order of time, and beside them\nwhat the same nodes came to believe from shortly before.\nWith --summary it counts instead the late and failed requests of all the logs by cause,\nthe hand-ins of jobs and the runs of items. See docs/OPERATIONS.md.",
		Example: "  ringstream explain 9c41d07be2a35f68 node-*.log\n  ringstream explain --summary node-*.log",
		Args: func(command *cobra.Command, args []string) error {
			if summary && len(args) > 0 {
				return nil
			}
			if summary {
				return &usageError{command: command.CommandPath(), cause: errors.New("no FILE: --summary wants the logs of one node at least")}
			}
			if len(args) < 2 {
				return &usageError{command: command.CommandPath(), cause: fmt.Errorf("%d arguments, wanted an ID and at least one FILE", len(args))}
			}
			return nil
		},
		RunE: func(command *cobra.Command, args []string) error {
			files := args
			if !summary {
				files = args[1:]
			}
			lines, err := readLogs(files)
			if err != nil {
				return &usageError{command: command.CommandPath(), cause: err}
			}
			if summary {
				_, err := fmt.Fprint(command.OutOrStdout(), explain.Summarize(lines).Text())
				return err
			}
			story := explain.Timeline(lines, args[0], before)
			if story == nil {
				return &idNotFoundError{id: args[0], lines: len(lines)}
			}
			_, err = fmt.Fprint(command.OutOrStdout(), explain.Text(story))
			return err
		},
	}
	command.Flags().BoolVar(&summary, "summary", summary, "count the late and failed requests of all the logs by cause")
	command.Flags().DurationVar(&before, "before", before, "how far before its first line the nodes' beliefs are told")
	return command
}

// readLogs returns the log lines of all files.
func readLogs(names []string) ([]explain.Line, error) {
	var lines []explain.Line
	for _, name := range names {
		read, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

func readLog(name string) ([]explain.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close() //nolint:errcheck // the file is only read
	lines, err := explain.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

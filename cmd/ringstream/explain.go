package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"ringstream.example/ringstream/internal/explain"
)

// noStoryError says that no log line carries the id.
type noStoryError struct {
	id    string
	lines int
}

// Error implements error.
func (e *noStoryError) Error() string {
	return fmt.Sprintf("no line of the %d log lines is about %q: check the id, and that the files hold the logs of all nodes of that time", e.lines, e.id)
}

func newExplain() *cobra.Command {
	before := 2 * time.Second
	command := &cobra.Command{
		Use:     "explain ID FILE...",
		Short:   "Tell the story of a request, item or job from nodes' logs",
		Long:    "Prints the log lines about an id, of all nodes and in order of time, and beside them\nwhat the same nodes came to believe from shortly before. See docs/OPERATIONS.md.",
		Example: "  ringstream explain 9c41d07be2a35f68 node-*.log",
		Args: func(command *cobra.Command, given []string) error {
			if len(given) < 2 {
				return &usageError{command: command.CommandPath(), cause: fmt.Errorf("%d arguments, wanted an ID and at least one FILE", len(given))}
			}
			return nil
		},
		RunE: func(command *cobra.Command, given []string) error {
			var lines []explain.Line
			for _, name := range given[1:] {
				read, err := readLog(name)
				if err != nil {
					return &usageError{command: command.CommandPath(), cause: err}
				}
				lines = append(lines, read...)
			}
			story := explain.Story(lines, given[0], before)
			if story == nil {
				return &noStoryError{id: given[0], lines: len(lines)}
			}
			_, err := fmt.Fprint(command.OutOrStdout(), explain.Text(story))
			return err
		},
	}
	command.Flags().DurationVar(&before, "before", before, "how far before its first line the nodes' beliefs are told")
	return command
}

func readLog(name string) ([]explain.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close() //nolint:errcheck // only read
	lines, err := explain.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

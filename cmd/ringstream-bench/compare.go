package main

import (
	"github.com/spf13/cobra"

	"ringstream.example/ringstream/internal/bench/report"
)

func compareCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "compare A [B]",
		Short: "Compare the reports under two directories, or sum up those of one, with the spread over seeds",
		Long: `With one directory it prints the medians of every scenario over its seeds. With
two it reads every report.json under A and under B and prints, for each scenario, the
medians with half their range, the change, and whether it is beyond noise by
the Mann-Whitney test (p < 0.05). Four seeds a side are the fewest that can
show a difference; use five.`,
		Args: cobra.RangeArgs(1, 2),
		RunE: func(command *cobra.Command, arguments []string) error {
			before, err := report.Collect(arguments[0])
			if err != nil {
				return err
			}
			if len(arguments) == 1 {
				report.Summarize(command.OutOrStdout(), before)
				return nil
			}
			after, err := report.Collect(arguments[1])
			if err != nil {
				return err
			}
			report.Compare(command.OutOrStdout(), before, after)
			return nil
		},
	}
}

package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"ringstream.example/ringstream/bench/scenarios"
	"ringstream.example/ringstream/internal/bench/report"
	"ringstream.example/ringstream/internal/bench/runner"
	"ringstream.example/ringstream/internal/bench/scenario"
)

func runCommand() *cobra.Command {
	var seed uint64
	var out, logLevel string
	command := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Run a scenario against online alone, the naive version and ringstream, and write a report",
		Long: "Runs a scenario against three systems side by side, on the same arrivals, and writes report.json, series.json and report.html.\n" +
			"SCENARIO is the path of a YAML file, or one of: " + strings.Join(scenarios.Names(), ", ") + ".\n" +
			"Ctrl-C ends the run and leaves a partial report. It exits with 1 when an invariant was violated.",
		Args:      cobra.ExactArgs(1),
		ValidArgs: scenarios.Names(),
		RunE: func(command *cobra.Command, arguments []string) error {
			loaded, err := scenario.Load(arguments[0])
			if err != nil {
				return err
			}
			logger, err := benchLogger(logLevel)
			if err != nil {
				return err
			}
			progress := newProgressLine(command.ErrOrStderr())
			result, series, err := runner.Run(command.Context(), runner.Settings{
				Scenario: loaded, Seed: seed, Logger: logger, Progress: progress.show, Settle: true,
			})
			progress.end()
			if err != nil {
				return err
			}
			if err := report.Write(out, result, series); err != nil {
				return err
			}
			return printResult(command, result, out)
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the load and of the stand-ins")
	command.Flags().StringVar(&out, "out", "out", "directory for the report")
	command.Flags().StringVar(&logLevel, "log-level", "error", "lowest level of the nodes' logs on standard error")
	return command
}

// printResult prints a summary of the report. It returns errChecksFailed when
// an invariant was violated.
func printResult(command *cobra.Command, result report.Report, out string) error {
	writeFindings(command.ErrOrStderr(), result.Violations, nil)
	print := func(format string, arguments ...any) {
		_, _ = fmt.Fprintf(command.OutOrStdout(), format+"\n", arguments...)
	}
	print("%s seed %d: online %d of %d completed, first token p95 %.1f ms (alone %.1f, naive %.1f)", result.Scenario, result.Seed,
		result.Online.Completed, result.Online.Requests, result.Online.TTFT.P95,
		result.Baselines.OnlineAlone.TTFT.P95, result.Baselines.NaiveOnline.TTFT.P95)
	print("batch %d of %d items completed, %.1f items/s (ideal %.1f, naive %.1f), %d preemptions", result.Batch.ItemsCompleted, result.Batch.ItemsAccepted,
		result.Batch.ItemsPerSecond, result.Batch.IdleBound, result.Baselines.NaiveBatch.ItemsPerSecond, result.Batch.Preemptions)
	for _, rule := range result.RulesNot {
		print("rule not met: %s", rule)
	}
	print("report in %s", out)
	for _, count := range result.Invariants {
		if count > 0 {
			return errChecksFailed
		}
	}
	return nil
}

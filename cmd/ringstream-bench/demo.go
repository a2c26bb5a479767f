package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"ringstream.example/ringstream/internal/bench/checker"
	"ringstream.example/ringstream/internal/bench/runner"
	"ringstream.example/ringstream/internal/bench/scenario"
)

// demoFlags holds the flag values of the demo command.
type demoFlags struct {
	duration time.Duration
	seed     uint64
	json     bool
	serve    bool
	control  string
	logLevel string
}

func demoCommand() *cobra.Command {
	var flags demoFlags
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run three nodes and twelve engine stand-ins under mixed load, and check what came out",
		Long: `Starts the platform's stand-ins and three nodes in three zones in one process,
sends online requests and batch jobs for a while, edits a row of the table
half-way, waits for every accepted item, and checks what callers and stand-ins
saw. It exits with 1 when any invariant was violated.

With --serve it sends no load: it keeps the fleet up, prints commands to try,
and listens for POST /kill/N, /stop/N and /start/N on the control address.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if flags.serve {
				return serveDemo(command, flags)
			}
			return runDemo(command, flags)
		},
	}
	command.Flags().DurationVar(&flags.duration, "for", 20*time.Second, "about how long the demo takes")
	command.Flags().Uint64Var(&flags.seed, "seed", 1, "seed of the load")
	command.Flags().BoolVar(&flags.json, "json", false, "end with one line of JSON instead of the summary")
	command.Flags().BoolVar(&flags.serve, "serve", false, "send no load, keep the fleet up and print commands to try")
	command.Flags().StringVar(&flags.control, "control", "127.0.0.1:7999", "address of the control port with --serve")
	command.Flags().StringVar(&flags.logLevel, "log-level", "error", "lowest level of the nodes' logs on standard error")
	return command
}

// errChecksFailed is returned when a demo did not pass or a run violated an
// invariant.
var errChecksFailed = errors.New("not every promise was kept")

// settleTime is the part of the demo's duration that is reserved for accepted
// work to complete after the last arrival.
const settleTime = 4 * time.Second

func runDemo(command *cobra.Command, flags demoFlags) error {
	loaded, err := scenario.Load("demo")
	if err != nil {
		return err
	}
	logger, err := benchLogger(flags.logLevel)
	if err != nil {
		return err
	}
	arrivalDuration := max(flags.duration-settleTime, flags.duration/2)
	progress := newProgressLine(command.ErrOrStderr())
	outcome, err := runner.Demo(command.Context(), runner.Settings{
		Scenario: runner.ForDuration(loaded, arrivalDuration), Seed: flags.seed, Logger: logger, Progress: progress.show,
	})
	progress.end()
	if err != nil {
		return err
	}
	if flags.json {
		if err := json.NewEncoder(command.OutOrStdout()).Encode(outcome.Result); err != nil {
			return err
		}
	} else {
		writeSummary(command.OutOrStdout(), outcome)
	}
	writeFindings(command.ErrOrStderr(), outcome.Violations, outcome.Failures)
	if !outcome.Passed() {
		return errChecksFailed
	}
	return nil
}

func writeSummary(out io.Writer, outcome runner.DemoOutcome) {
	result := outcome.Result
	print := func(format string, arguments ...any) { _, _ = fmt.Fprintf(out, format+"\n", arguments...) }
	print("online   %d of %d requests completed, first token within %.0f ms for 95 in 100", result.OnlineCompleted, outcome.OnlineSent, result.OnlineTTFTP95)
	print("batch    %d of %d accepted items completed (%d jobs), %.0f items/s", result.BatchItemsCompleted, result.BatchItemsAccepted, outcome.JobsAccepted, outcome.ItemsPerSecond)
	print("exactly  %d lost, %d duplicates", result.Lost, result.Duplicates)
	if result.RowChange >= 0 {
		print("table    an edited row was in force on all nodes after %.0f ms", result.RowChange)
	} else {
		print("table    the edited row never was in force on all nodes")
	}
	print("checks   %d violations of the %d invariants", result.InvariantViolations, len(checker.Invariants))
	if outcome.Passed() {
		print("result   every promise was kept")
	} else {
		print("result   NOT every promise was kept")
	}
}

// maxShownViolations limits how many violations of a run are printed.
const maxShownViolations = 20

func writeFindings(out io.Writer, violations []checker.Violation, failures []string) {
	for i, violation := range violations {
		if i == maxShownViolations {
			_, _ = fmt.Fprintf(out, "... and %d more violations\n", len(violations)-i)
			break
		}
		_, _ = fmt.Fprintf(out, "violation %s: %s: %s\n", violation.Invariant, violation.Subject, violation.Detail)
	}
	for _, failure := range failures {
		_, _ = fmt.Fprintf(out, "not carried out: %s\n", failure)
	}
}

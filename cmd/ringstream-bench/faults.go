package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"ringstream.example/ringstream/internal/bench/faults"
)

func faultsCommand() *cobra.Command {
	var options faults.Options
	var directory string
	command := &cobra.Command{
		Use:   "faults",
		Short: "Run the fault matrix: every fault at every step, in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if options.Parallel < 1 {
				return fmt.Errorf("--parallel: must be at least 1, is %d", options.Parallel)
			}
			options.Progress = cellProgress(command.ErrOrStderr())
			if err := os.MkdirAll(directory, 0o755); err != nil {
				return err
			}
			signal.Reset(os.Interrupt, syscall.SIGTERM) // a signal ends the process at once, since an interrupted matrix has no result
			faults.Main(options, func(report faults.Report) error { return writeMatrix(directory, report) })
			return nil // not reached: Main ends the process
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the cells and the pairs")
	flags.IntVar(&options.Pairs, "pairs", 200, "cells with two faults")
	flags.IntVar(&options.Parallel, "parallel", 4, "cells at work at the same time")
	flags.StringSliceVar(&options.Steps, "steps", nil, "only these steps; none: all")
	flags.StringSliceVar(&options.Faults, "faults", nil, "only these faults; none: all")
	flags.StringVar(&directory, "out", "out/faults", "directory for matrix.json, matrix.html and summary.md")
	return command
}

// cellProgress returns a function that prints each cell with violations or
// failures, and the number of finished cells at regular intervals. A cell with
// a planted bug is not printed, since violations are expected there.
func cellProgress(out io.Writer) func(done, total int, result faults.Result) {
	const cellsPerLine = 50
	return func(done, total int, result faults.Result) {
		if result.Bug == "" && len(result.Violations)+len(result.Failures) > 0 {
			_, _ = fmt.Fprintf(out, "%v: %d violations, failures %q\n", result.Injections, len(result.Violations), result.Failures)
		}
		if done%cellsPerLine == 0 || done == total {
			_, _ = fmt.Fprintf(out, "%d of %d cells\n", done, total)
		}
	}
}

// writeMatrix writes matrix.json, matrix.html and summary.md to the directory.
// It also returns an error when the matrix did not pass.
func writeMatrix(directory string, report faults.Report) error {
	encoded, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return err
	}
	var page, summary bytes.Buffer
	if err := errors.Join(report.WritePage(&page), report.WriteSummary(&summary)); err != nil {
		return err
	}
	files := map[string][]byte{"matrix.json": encoded, "matrix.html": page.Bytes(), "summary.md": summary.Bytes()}
	const fileMode = 0o644
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(directory, name), content, fileMode); err != nil {
			return err
		}
	}
	if !report.Passed() {
		return errors.New("the matrix shows violations or failures")
	}
	return nil
}

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ringstream.example/ringstream/internal/bench/soak"
)

func soakCommand() *cobra.Command {
	var options soak.Options
	var seedsFile string
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run nodes as real processes under random faults from outside, and judge the promises",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			seeds := []uint64{options.Seed}
			if seedsFile != "" {
				var err error
				if seeds, err = readSeeds(seedsFile); err != nil {
					return err
				}
			} else if options.Seed == 0 {
				seeds = []uint64{uint64(time.Now().UnixNano())} //nolint:gosec // any number
			}
			options.OnFault = func(line string) { _, _ = fmt.Fprintln(command.ErrOrStderr(), line) }
			return soakSeeds(command, options, seeds)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Binary, "binary", "bin/ringstream", "the ringstream program")
	flags.StringVar(&options.PreviousBinary, "former", "", "an older build that the nodes begin with, and are rolled from")
	flags.StringVar(&options.Folder, "out", "out/soak", "folder for settings, logs and reports, by seed")
	flags.Uint64Var(&options.Seed, "seed", 0, "seed of faults and calls; 0: a fresh one")
	flags.StringVar(&seedsFile, "seeds", "", "run the seeds that a file lists, the first word of a line each")
	flags.DurationVar(&options.FaultDuration, "for", time.Minute, "how long faults strike, for each seed")
	flags.IntVar(&options.Nodes, "nodes", 4, "processes")
	flags.IntVar(&options.Engines, "engines", 6, "engine stand-ins")
	flags.IntVar(&options.Callers, "callers", 10, "callers at the same time")
	return command
}

// soakSeeds runs a soak for each seed in turn, with its output in a subfolder
// named after the seed.
func soakSeeds(command *cobra.Command, options soak.Options, seeds []uint64) error {
	var failures []error
	baseFolder := options.Folder
	for _, seed := range seeds {
		options.Seed = seed
		options.Folder = filepath.Join(baseFolder, strconv.FormatUint(seed, 10))
		const directoryMode = 0o700
		if err := os.MkdirAll(options.Folder, directoryMode); err != nil {
			return err
		}
		report, err := soak.Run(command.Context(), options)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		encoded, err := json.MarshalIndent(report, "", " ")
		if err != nil {
			return err
		}
		const fileMode = 0o600
		if err := os.WriteFile(filepath.Join(options.Folder, "report.json"), encoded, fileMode); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(command.OutOrStdout(), string(encoded))
		if len(report.Violations) > 0 {
			failures = append(failures, fmt.Errorf("seed %d: %d promises seen broken; logs in %s", seed, len(report.Violations), options.Folder))
		}
	}
	return errors.Join(failures...)
}

// readSeeds reads a file of seeds. The first word of each line is a seed; empty
// lines and lines that begin with # are skipped.
func readSeeds(path string) ([]uint64, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close() //nolint:errcheck // only read
	var seeds []uint64
	scanner := bufio.NewScanner(file)
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: seed %q: a whole number is allowed", path, lineNumber, fields[0])
		}
		seeds = append(seeds, seed)
	}
	return seeds, scanner.Err()
}

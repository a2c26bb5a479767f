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
			options.Said = func(line string) { _, _ = fmt.Fprintln(command.ErrOrStderr(), line) }
			return soakAll(command, options, seeds)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Binary, "binary", "bin/ringstream", "the ringstream program")
	flags.StringVar(&options.Former, "former", "", "an older build that the nodes begin with, and are rolled from")
	flags.StringVar(&options.Folder, "out", "out/soak", "folder for settings, logs and reports, by seed")
	flags.Uint64Var(&options.Seed, "seed", 0, "seed of faults and calls; 0: a fresh one")
	flags.StringVar(&seedsFile, "seeds", "", "run the seeds that a file lists, the first word of a line each")
	flags.DurationVar(&options.For, "for", time.Minute, "how long faults strike, for each seed")
	flags.IntVar(&options.Nodes, "nodes", 4, "processes")
	flags.IntVar(&options.Engines, "engines", 6, "engine stand-ins")
	flags.IntVar(&options.Callers, "callers", 10, "callers at the same time")
	return command
}

func soakAll(command *cobra.Command, options soak.Options, seeds []uint64) error {
	var problems []error
	folder := options.Folder
	for _, seed := range seeds {
		options.Seed = seed
		options.Folder = filepath.Join(folder, strconv.FormatUint(seed, 10))
		const private = 0o700
		if err := os.MkdirAll(options.Folder, private); err != nil {
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
		const readable = 0o600
		if err := os.WriteFile(filepath.Join(options.Folder, "report.json"), encoded, readable); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(command.OutOrStdout(), string(encoded))
		if len(report.Violations) > 0 {
			problems = append(problems, fmt.Errorf("seed %d: %d promises seen broken; logs in %s", seed, len(report.Violations), options.Folder))
		}
	}
	return errors.Join(problems...)
}

// readSeeds reads a file of seeds: the first word of each line, but of those
// that are empty or begin with #.
func readSeeds(path string) ([]uint64, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close() //nolint:errcheck // only read
	var seeds []uint64
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: seed %q: a whole number is allowed", path, number, fields[0])
		}
		seeds = append(seeds, seed)
	}
	return seeds, lines.Err()
}

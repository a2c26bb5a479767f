// Command ringstream-bench runs the platform's stand-ins and the tools that
// evaluate a change: the demo, the scenarios, the fault matrix and the soak
// test. Each subcommand has its own file. The ringstream binary links none of
// this code.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"ringstream.example/ringstream/internal/version"
)

// subcommands returns every subcommand.
func subcommands() []*cobra.Command {
	return []*cobra.Command{
		versionCommand(),
		// emulate: the platform's stand-ins over HTTP.
		emulateCommand(),

		// demo, run, report, compare: load against a small fleet.
		demoCommand(),
		runCommand(),
		reportCommand(),
		compareCommand(),

		// faults: the fault matrix.
		faultsCommand(),

		// soak: real processes under random faults.
		soakCommand(),
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "ringstream-bench",
		Short:         "Stand-ins, load and fault tools for ringstream",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(subcommands()...)
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the build's version",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(command.OutOrStdout(), version.Version)
			return err
		},
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := rootCommand().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "ringstream-bench:", err)
		os.Exit(1)
	}
}

// Command ringstream runs a node of the fleet and has the operator's commands.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	// SIGHUP has no effect before the settings are read and after the node has stopped. Without
	// a handler for the whole life of the process, the signal would terminate it.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := execute(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// execute runs one command line and returns its exit code.
func execute(ctx context.Context, arguments []string, input io.Reader, output, errorOutput io.Writer) int {
	command := newRoot()
	command.SetArgs(arguments)
	command.SetIn(input)
	command.SetOut(output)
	command.SetErr(errorOutput)
	err := command.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errorOutput, explainFailure(err)) // there is nowhere left to report a write error
	return exitCode(err)
}

// Command ringstream is the node and the operator's commands.
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
	// A hang-up asks for nothing while the settings are not read yet, or when the node has
	// stopped; without a handler of its own for the whole life it would end the process.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := execute(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// execute runs one command line and gives its exit code.
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
	_, _ = fmt.Fprintln(errorOutput, explainFailure(err)) // nowhere left to report to
	return exitCode(err)
}

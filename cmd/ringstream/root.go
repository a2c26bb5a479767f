package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ringstream.example/ringstream/internal/adminclient"
	"ringstream.example/ringstream/internal/settings"
)

const (
	defaultServer  = "http://127.0.0.1:7070"
	requestTimeout = 30 * time.Second
)

const exitCodesHelp = `Exit codes: 0 done; 1 another failure; 2 wrong command line or settings;
3 no such row, job, node or content; 4 the row was changed by someone else;
5 the key is missing, unknown or not allowed; 6 the node or the store cannot
be reached; 7 the request was refused as wrong.`

// adminFlags holds the flags that all commands share: the connection to a node's
// admin API and the output format.
type adminFlags struct {
	server, key, caFile      string
	certificateFile, keyFile string
	output                   string
}

func newRoot() *cobra.Command {
	options := &adminFlags{}
	root := &cobra.Command{
		Use:           "ringstream",
		Short:         "Serve language-model inference, online and batch, from one fleet",
		Long:          "ringstream runs a node of the fleet (ringstream node) and operates it through\nthe admin API of any node.\n\n" + exitCodesHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(command *cobra.Command, err error) error {
		return &usageError{command: command.CommandPath(), cause: err}
	})
	flags := root.PersistentFlags()
	flags.StringVar(&options.server, "server", "", "admin URL of a node (environment "+settings.EnvironmentServer+", else "+defaultServer+")")
	flags.StringVar(&options.key, "key", "", "operator's key (environment "+settings.EnvironmentKey+")")
	flags.StringVar(&options.caFile, "ca-file", "", "PEM authorities of the node's certificate; empty: the system's")
	flags.StringVar(&options.certificateFile, "tls-certificate", "", "PEM certificate to show to a node that demands one")
	flags.StringVar(&options.keyFile, "tls-key", "", "PEM private key of --tls-certificate")
	flags.StringVarP(&options.output, "output", "o", outputTable, "json or table")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputJSON, outputTable}, cobra.ShellCompDirectiveNoFileComp))
	root.PersistentPreRunE = func(command *cobra.Command, _ []string) error {
		if options.output == outputJSON || options.output == outputTable {
			return nil
		}
		return &usageError{command: command.CommandPath(), cause: fmt.Errorf("--output: %q is not allowed; allowed: json, table", options.output)}
	}
	root.AddCommand(newNode(options), newRow(options), newJob(options), newConfig(options), newExplain(), newQuarantine(options), newVersion(options))
	return root
}

// client returns a client configured by the flags and the environment.
func (f *adminFlags) client() (*adminclient.Client, error) {
	server := firstNonEmpty(f.server, os.Getenv(settings.EnvironmentServer), defaultServer)
	client, err := adminclient.New(adminclient.Options{
		Server:  server,
		Key:     firstNonEmpty(f.key, os.Getenv(settings.EnvironmentKey)),
		CAFile:  f.caFile,
		Timeout: requestTimeout,

		CertificateFile: f.certificateFile,
		KeyFile:         f.keyFile,
	})
	if err != nil {
		return nil, &usageError{cause: err}
	}
	return client, nil
}

func firstNonEmpty(texts ...string) string {
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}

// exactArguments requires one positional argument for each name.
func exactArguments(names ...string) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if len(args) == len(names) {
			return nil
		}
		cause := fmt.Errorf("%d arguments given, wanted %d %v", len(args), len(names), names)
		return &usageError{command: command.CommandPath(), cause: cause}
	}
}

// requireSubcommand accepts no arguments. It is for a command that only groups others.
func requireSubcommand(command *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	var names []string
	for _, child := range command.Commands() {
		names = append(names, child.Name())
	}
	cause := fmt.Errorf("unknown command %q; commands: %s", args[0], strings.Join(names, ", "))
	return &usageError{command: command.CommandPath(), cause: cause}
}

func showHelp(command *cobra.Command, _ []string) error { return command.Help() }

package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"ringstream.example/ringstream/internal/adminclient"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/settings"
)

func newNode(options *adminFlags) *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:     "node",
		Short:   "Run a node, or list and drain the fleet's nodes",
		Long:    "Without a subcommand: run a node of the fleet until SIGINT or SIGTERM, then stop\nwithout cutting a request. Flags override the environment (RINGSTREAM_GATEWAY_ADDRESS\nfor gateway.address), which overrides the file.",
		Example: "  ringstream node --config node.yaml --admin.address 10.0.0.5:7070",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			loaded, err := loadSettings(command, file)
			if err != nil {
				return err
			}
			if loaded.Settings.PassThrough.Enabled() {
				return runPassThrough(command, file, loaded.Settings)
			}
			logger, err := settings.NewLogger(loaded.Settings.Log)
			if err != nil {
				return err
			}
			defer logger.Sync() //nolint:errcheck // standard error cannot always be synced
			return runNode(command.Context(), loaded.Settings, logger)
		},
	}
	addSettingsFlags(command, &file)
	command.AddCommand(newNodeList(options), newNodeDrain(options))
	return command
}

func newNodeList(options *adminFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the nodes as one of them sees the fleet",
		Args:  exactArguments(),
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := options.client()
			if err != nil {
				return err
			}
			list, err := client.Nodes(command.Context())
			if err != nil {
				return err
			}
			if options.output == outputJSON {
				return printJSON(command.OutOrStdout(), list)
			}
			table := &textTable{header: []string{"node", "state", "zone", "region", "gateway", "peer"}}
			for _, node := range list.Nodes {
				table.add(node.ID, node.State, node.Zone, node.Region, node.GatewayAddress, node.PeerAddress)
			}
			return table.print(command.OutOrStdout())
		},
	}
}

func newNodeDrain(options *adminFlags) *cobra.Command {
	return &cobra.Command{
		Use:               "drain NODE",
		Short:             "Stop a node without cutting a request",
		Args:              exactArguments("NODE"),
		ValidArgsFunction: completeNodes(options),
		RunE: func(command *cobra.Command, args []string) error {
			client, err := options.client()
			if err != nil {
				return err
			}
			answer, err := client.Drain(command.Context(), identity.NodeID(args[0]))
			if err != nil {
				return err
			}
			if options.output == outputJSON {
				return printJSON(command.OutOrStdout(), answer)
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "node %s is %s; it ends when its running requests have ended\n", answer.Node, answer.State)
			return err
		},
	}
}

func completeNodes(options *adminFlags) cobra.CompletionFunc {
	return complete(options, func(command *cobra.Command, client *adminclient.Client) ([]string, error) {
		list, err := client.Nodes(command.Context())
		var ids []string
		for _, node := range list.Nodes {
			ids = append(ids, string(node.ID)+"\t"+node.State+" in "+node.Zone)
		}
		return ids, err
	})
}

// complete returns a shell completion of the first argument whose choices come from a node.
func complete(options *adminFlags, listChoices func(*cobra.Command, *adminclient.Client) ([]string, error)) cobra.CompletionFunc {
	return func(command *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
		if len(args) > 0 {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		client, err := options.client()
		if err != nil {
			return nil, cobra.ShellCompDirectiveError
		}
		choices, err := listChoices(command, client)
		if err != nil {
			return cobra.AppendActiveHelp(nil, err.Error()), cobra.ShellCompDirectiveNoFileComp
		}
		return choices, cobra.ShellCompDirectiveNoFileComp
	}
}

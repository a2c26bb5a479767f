package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"ringstream.example/ringstream/internal/settings"
)

func newConfig(options *adminFlags) *cobra.Command {
	command := &cobra.Command{Use: "config", Short: "Check and show a node's settings", Args: requireSubcommand, RunE: showHelp}
	command.AddCommand(newConfigCheck(options), newConfigPrint(options))
	return command
}

// addSettingsFlags adds --config and a flag for each key of the settings.
func addSettingsFlags(command *cobra.Command, file *string) {
	command.Flags().StringVar(file, "config", "", "settings file (YAML); without it, the one that RINGSTREAM_SETTINGS names")
	_ = command.MarkFlagFilename("config", "yaml", "yml")
	settings.RegisterFlags(command.Flags())
}

func loadSettings(command *cobra.Command, file string) (settings.Loaded, error) {
	if file == "" {
		file = os.Getenv(settings.EnvironmentSettings)
	}
	return settings.Load(settings.Sources{File: file, Environment: os.Environ(), Flags: command.Flags()})
}

type checkResult struct {
	OK       bool     `json:"ok"`
	Problems []string `json:"problems"`
}

func newConfigCheck(options *adminFlags) *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:     "check",
		Short:   "Check settings, and the files that they name, as a node would read them",
		Example: "  ringstream config check --config node.yaml",
		Args:    exactArguments(),
		RunE: func(command *cobra.Command, _ []string) error {
			loaded, err := loadSettings(command, file)
			if err == nil {
				err = loaded.CheckFiles()
			}
			if options.output == outputJSON {
				result := checkResult{OK: err == nil, Problems: problems(err)}
				if printed := printJSON(command.OutOrStdout(), result); printed != nil {
					return printed
				}
				return err
			}
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(command.OutOrStdout(), "the settings are right")
			return err
		},
	}
	addSettingsFlags(command, &file)
	return command
}

func problems(err error) []string {
	list := []string{}
	for _, problem := range settings.Problems(err) {
		list = append(list, problem.Error())
	}
	return list
}

func newConfigPrint(options *adminFlags) *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "print",
		Short: "Show the effective settings and where each comes from, secrets masked",
		Args:  exactArguments(),
		RunE: func(command *cobra.Command, _ []string) error {
			loaded, err := loadSettings(command, file)
			if err != nil {
				return err
			}
			entries := loaded.Effective()
			if options.output == outputJSON {
				return printJSON(command.OutOrStdout(), entries)
			}
			table := &textTable{header: []string{"key", "value", "from"}}
			for _, entry := range entries {
				table.add(entry.Key, entry.Text(), entry.Origin)
			}
			return table.print(command.OutOrStdout())
		},
	}
	addSettingsFlags(command, &file)
	return command
}

package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
	"gopkg.in/yaml.v3"

	"ringstream.example/ringstream/internal/admin"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
)

const standardInput = "-"

func newRowSet(options *adminFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "set FILE",
		Short:   "Create or replace a row from a YAML or JSON file (- reads standard input)",
		Long:    "The row's revision field is compared with the stored row's: 0 creates a row,\nanother number replaces the row that was read at that revision.",
		Example: "  ringstream row get fault-alerts -o json > row.json\n  ringstream row set row.json",
		Args:    exactArguments("FILE"),
		RunE: func(command *cobra.Command, args []string) error {
			var row policy.Row
			if err := readDocument(command, args[0], &row); err != nil {
				return err
			}
			if row.ID == "" {
				return &usageError{command: command.CommandPath(), cause: fmt.Errorf("%s: id: the row has no id", args[0])}
			}
			client, err := options.client()
			if err != nil {
				return err
			}
			change, err := client.PutRow(command.Context(), row)
			if err != nil {
				return err
			}
			return options.printChange(command, change)
		},
	}
}

// readDocument decodes YAML, or JSON as its subset, from a file or standard input. Unknown fields are errors.
func readDocument(command *cobra.Command, name string, into any) error {
	var text []byte
	var err error
	if name == standardInput {
		text, err = io.ReadAll(command.InOrStdin())
	} else {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return &usageError{command: command.CommandPath(), cause: err}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(into); err != nil {
		return &usageError{command: command.CommandPath(), cause: fmt.Errorf("%s: %w", name, err)}
	}
	return nil
}

func newRowEdit(options *adminFlags) *cobra.Command {
	var assignments []string
	var revision uint64
	command := &cobra.Command{
		Use:               "edit ROW --set FIELD=VALUE ...",
		Short:             "Change single fields of a row",
		Long:              "Fields are named as `ringstream row get -o json` shows them, with dots inside:\nweight, pool, limits.tokens_per_second, match.tenant.",
		Example:           "  ringstream row edit fault-alerts --set weight=40 --set limits.concurrency=200",
		Args:              exactArguments("ROW"),
		ValidArgsFunction: completeRows(options),
		RunE: func(command *cobra.Command, args []string) error {
			if len(assignments) == 0 {
				return &usageError{command: command.CommandPath(), cause: errors.New("nothing to change: give --set FIELD=VALUE")}
			}
			client, err := options.client()
			if err != nil {
				return err
			}
			current, err := client.Row(command.Context(), identity.RowID(args[0]))
			if err != nil {
				return err
			}
			row, err := withFields(current, assignments)
			if err != nil {
				return &usageError{command: command.CommandPath(), cause: err}
			}
			if command.Flags().Changed("revision") {
				row.Revision = revision
			}
			change, err := client.PutRow(command.Context(), row)
			if err != nil {
				return err
			}
			return options.printChange(command, change)
		},
	}
	command.Flags().StringArrayVar(&assignments, "set", nil, "FIELD=VALUE; may be given several times")
	command.Flags().Uint64Var(&revision, "revision", 0, "the revision that the change was decided on; without: the row's current one")
	return command
}

func newRowDelete(options *adminFlags) *cobra.Command {
	var revision uint64
	command := &cobra.Command{
		Use:               "delete ROW",
		Short:             "Delete a row",
		Args:              exactArguments("ROW"),
		ValidArgsFunction: completeRows(options),
		RunE: func(command *cobra.Command, args []string) error {
			client, err := options.client()
			if err != nil {
				return err
			}
			id := identity.RowID(args[0])
			if !command.Flags().Changed("revision") {
				current, err := client.Row(command.Context(), id)
				if err != nil {
					return err
				}
				revision = current.Revision
			}
			change, err := client.DeleteRow(command.Context(), id, revision)
			if err != nil {
				return err
			}
			if options.output == outputJSON {
				return printJSON(command.OutOrStdout(), change)
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "row %s is deleted from table revision %d\n", id, change.Revision)
			return err
		},
	}
	command.Flags().Uint64Var(&revision, "revision", 0, "the revision that the delete was decided on; without: the row's current one")
	return command
}

func newRowExport(options *adminFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "export",
		Short:   "Write all rows as YAML (-o json: as JSON), for import",
		Example: "  ringstream row export > rows.yaml",
		Args:    exactArguments(),
		RunE: func(command *cobra.Command, _ []string) error {
			return showRows(command, options, func(list admin.RowList) error { return yaml.NewEncoder(command.OutOrStdout()).Encode(list) })
		},
	}
}

// errRowsFailed means that an import did not change all of its rows.
var errRowsFailed = errors.New("rows were not imported")

func newRowImport(options *adminFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "import FILE",
		Short: "Create and change rows from an exported file (- reads standard input)",
		Long:  "Each row is compared by its revision, and stands for itself: those that fail\nare shown and the others are in force.",
		Args:  exactArguments("FILE"),
		RunE: func(command *cobra.Command, args []string) error {
			var document admin.RowList
			if err := readDocument(command, args[0], &document); err != nil {
				return err
			}
			client, err := options.client()
			if err != nil {
				return err
			}
			result, err := client.ImportRows(command.Context(), document.Rows)
			if err != nil {
				return err
			}
			if err := options.printImport(command, result); err != nil {
				return err
			}
			if result.Failed > 0 {
				return fmt.Errorf("%d of %d %w", result.Failed, len(result.Rows), errRowsFailed)
			}
			return nil
		},
	}
}

func (f *adminFlags) printImport(command *cobra.Command, result admin.ImportResult) error {
	if f.output == outputJSON {
		return printJSON(command.OutOrStdout(), result)
	}
	table := &textTable{header: []string{"row", "result", "revision", "reason"}}
	for _, row := range result.Rows {
		outcome := "accepted"
		if row.Error != "" {
			outcome = string(row.Code)
		}
		table.add(row.ID, outcome, row.Revision, row.Error)
	}
	return table.print(command.OutOrStdout())
}

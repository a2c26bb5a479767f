package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ringstream.example/ringstream/internal/admin"
	"ringstream.example/ringstream/internal/adminclient"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/rows"
)

func newRow(options *adminFlags) *cobra.Command {
	command := &cobra.Command{
		Use:   "row",
		Short: "Read and change the rows of the class table",
		Long:  "Each change is compared with the revision that it was made against: when someone\nelse changed the row first, nothing happens and the current row is shown.",
		Args:  requireSubcommand,
		RunE:  showHelp,
	}
	command.AddCommand(
		newRowList(options), newRowGet(options), newRowSet(options), newRowEdit(options), newRowDelete(options),
		newRowImport(options), newRowExport(options), newRowStatus(options), newRowAudit(options),
	)
	return command
}

func newRowList(options *adminFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List all rows",
		Args:  exactArguments(),
		RunE: func(command *cobra.Command, _ []string) error {
			return showRows(command, options, func(list admin.RowList) error { return printRows(command.OutOrStdout(), list.Rows) })
		},
	}
}

// showRows requests all rows and prints them as JSON if --output says so, and
// otherwise with show.
func showRows(command *cobra.Command, options *adminFlags, show func(admin.RowList) error) error {
	client, err := options.client()
	if err != nil {
		return err
	}
	list, err := client.Rows(command.Context())
	if err != nil {
		return err
	}
	if options.output == outputJSON {
		return printJSON(command.OutOrStdout(), list)
	}
	return show(list)
}

func printRows(output io.Writer, list []policy.Row) error {
	table := &textTable{header: []string{"row", "tenant", "model", "kind", "weight", "requests/s", "tokens/s", "concurrency", "deadline class", "share here", "pool", "revision"}}
	for _, row := range list {
		table.add(row.ID, row.Match.Tenant, row.Match.Model, row.Match.Kind, row.Weight,
			limitText(row.Limits.RequestsPerSecond), limitText(row.Limits.TokensPerSecond), limitText(float64(row.Limits.Concurrency)),
			row.DeadlineClass, row.NewSiteShare, row.Pool, row.Revision)
	}
	return table.print(output)
}

// limitText returns a limit as text. Zero means no limit.
func limitText(limit float64) string {
	if limit == 0 {
		return "none"
	}
	return fmt.Sprint(limit)
}

func newRowGet(options *adminFlags) *cobra.Command {
	return &cobra.Command{
		Use:               "get ROW",
		Short:             "Show a row",
		Args:              exactArguments("ROW"),
		ValidArgsFunction: completeRows(options),
		RunE: func(command *cobra.Command, args []string) error {
			client, err := options.client()
			if err != nil {
				return err
			}
			row, err := client.Row(command.Context(), identity.RowID(args[0]))
			if err != nil {
				return err
			}
			return options.printRow(command, row)
		},
	}
}

func (f *adminFlags) printRow(command *cobra.Command, row policy.Row) error {
	if f.output == outputJSON {
		return printJSON(command.OutOrStdout(), row)
	}
	return printRows(command.OutOrStdout(), []policy.Row{row})
}

func (f *adminFlags) printChange(command *cobra.Command, change admin.RowChange) error {
	if f.output == outputJSON {
		return printJSON(command.OutOrStdout(), change)
	}
	if err := printRows(command.OutOrStdout(), []policy.Row{change.Row}); err != nil {
		return err
	}
	_, err := fmt.Fprintf(command.OutOrStdout(), "in force from table revision %d; `ringstream row status` shows how far it has come\n", change.Revision)
	return err
}

func newRowStatus(options *adminFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show which node holds which revision of the table",
		Args:  exactArguments(),
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := options.client()
			if err != nil {
				return err
			}
			status, err := client.RowStatus(command.Context())
			if err != nil {
				return err
			}
			if options.output == outputJSON {
				return printJSON(command.OutOrStdout(), status)
			}
			table := &textTable{header: []string{"node", "zone", "revision", "behind", "ready"}}
			for _, node := range status.Nodes {
				if !node.Known {
					table.add(node.Node, node.Zone, "no answer", "", "")
					continue
				}
				table.add(node.Node, node.Zone, node.Revision, status.Revision-node.Revision, node.Ready)
			}
			if err := table.print(command.OutOrStdout()); err != nil {
				return err
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "latest revision %d; of %d nodes %d behind, %d without an answer\n", status.Revision, len(status.Nodes), status.Behind, status.Unknown)
			return err
		},
	}
}

func newRowAudit(options *adminFlags) *cobra.Command {
	var after uint64
	var limit int
	command := &cobra.Command{
		Use:   "audit",
		Short: "Show who changed which row, oldest first",
		Args:  exactArguments(),
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := options.client()
			if err != nil {
				return err
			}
			var start *uint64
			if command.Flags().Changed("after") {
				start = &after
			}
			list, err := client.Audit(command.Context(), start, limit)
			if err != nil {
				return err
			}
			if options.output == outputJSON {
				return printJSON(command.OutOrStdout(), list)
			}
			table := &textTable{header: []string{"revision", "at", "by", "row", "change"}}
			for _, entry := range list.Entries {
				id, change := describeEdit(entry)
				table.add(entry.Revision, entry.At.Format(time.DateTime), entry.By, id, change)
			}
			return table.print(command.OutOrStdout())
		},
	}
	command.Flags().Uint64Var(&after, "after", 0, "edits after this revision; without: the latest")
	command.Flags().IntVar(&limit, "limit", 50, "edits on a page")
	return command
}

// describeEdit returns the row that an edit changed and a description of the change.
func describeEdit(entry rows.AuditEntry) (id identity.RowID, change string) {
	switch {
	case entry.Before == nil && entry.After == nil:
		return "", "none"
	case entry.Before == nil:
		return entry.After.ID, "created"
	case entry.After == nil:
		return entry.Before.ID, "deleted"
	default:
		return entry.After.ID, strings.Join(changedFields(*entry.Before, *entry.After), ", ")
	}
}

func completeRows(options *adminFlags) cobra.CompletionFunc {
	return complete(options, func(command *cobra.Command, client *adminclient.Client) ([]string, error) {
		list, err := client.Rows(command.Context())
		var ids []string
		for _, row := range list.Rows {
			ids = append(ids, fmt.Sprintf("%s\t%s %s %s", row.ID, row.Match.Tenant, row.Match.Model, row.Match.Kind))
		}
		return ids, err
	})
}

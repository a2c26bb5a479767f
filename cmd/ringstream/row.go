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

func newRow(options *connection) *cobra.Command {
	command := &cobra.Command{
		Use:   "row",
		Short: "Read and change the rows of the class table",
		Long:  "Each change is compared with the revision that it was made against: when someone\nelse changed the row first, nothing happens and the current row is shown.",
		Args:  subcommand,
		RunE:  showHelp,
	}
	command.AddCommand(
		newRowList(options), newRowGet(options), newRowSet(options), newRowEdit(options), newRowDelete(options),
		newRowImport(options), newRowExport(options), newRowStatus(options), newRowAudit(options),
	)
	return command
}

func newRowList(options *connection) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List all rows",
		Args:  arguments(),
		RunE: func(command *cobra.Command, _ []string) error {
			return showRows(command, options, func(list admin.RowList) error { return printRows(command.OutOrStdout(), list.Rows) })
		},
	}
}

// showRows asks for all rows and prints them as JSON where that is wanted, else
// by show.
func showRows(command *cobra.Command, options *connection, show func(admin.RowList) error) error {
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
	shown := &grid{header: []string{"row", "tenant", "model", "kind", "weight", "requests/s", "tokens/s", "concurrency", "deadline class", "share here", "pool", "revision"}}
	for _, row := range list {
		shown.add(row.ID, row.Match.Tenant, row.Match.Model, row.Match.Kind, row.Weight,
			limitText(row.Limits.RequestsPerSecond), limitText(row.Limits.TokensPerSecond), limitText(float64(row.Limits.Concurrency)),
			row.DeadlineClass, row.NewSiteShare, row.Pool, row.Revision)
	}
	return shown.print(output)
}

// limitText shows a limit; zero is none.
func limitText(limit float64) string {
	if limit == 0 {
		return "none"
	}
	return fmt.Sprint(limit)
}

func newRowGet(options *connection) *cobra.Command {
	return &cobra.Command{
		Use:               "get ROW",
		Short:             "Show a row",
		Args:              arguments("ROW"),
		ValidArgsFunction: completeRows(options),
		RunE: func(command *cobra.Command, given []string) error {
			client, err := options.client()
			if err != nil {
				return err
			}
			row, err := client.Row(command.Context(), identity.RowID(given[0]))
			if err != nil {
				return err
			}
			return options.printRow(command, row)
		},
	}
}

func (c *connection) printRow(command *cobra.Command, row policy.Row) error {
	if c.output == outputJSON {
		return printJSON(command.OutOrStdout(), row)
	}
	return printRows(command.OutOrStdout(), []policy.Row{row})
}

func (c *connection) printChange(command *cobra.Command, change admin.RowChange) error {
	if c.output == outputJSON {
		return printJSON(command.OutOrStdout(), change)
	}
	if err := printRows(command.OutOrStdout(), []policy.Row{change.Row}); err != nil {
		return err
	}
	_, err := fmt.Fprintf(command.OutOrStdout(), "in force from table revision %d; `ringstream row status` shows how far it has come\n", change.Revision)
	return err
}

func newRowStatus(options *connection) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show which node holds which revision of the table",
		Args:  arguments(),
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
			shown := &grid{header: []string{"node", "zone", "revision", "behind", "ready"}}
			for _, node := range status.Nodes {
				if !node.Known {
					shown.add(node.Node, node.Zone, "no answer", "", "")
					continue
				}
				shown.add(node.Node, node.Zone, node.Revision, status.Revision-node.Revision, node.Ready)
			}
			if err := shown.print(command.OutOrStdout()); err != nil {
				return err
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "latest revision %d; of %d nodes %d behind, %d without an answer\n", status.Revision, len(status.Nodes), status.Behind, status.Unknown)
			return err
		},
	}
}

func newRowAudit(options *connection) *cobra.Command {
	var after uint64
	var limit int
	command := &cobra.Command{
		Use:   "audit",
		Short: "Show who changed which row, oldest first",
		Args:  arguments(),
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
			shown := &grid{header: []string{"revision", "at", "by", "row", "change"}}
			for _, entry := range list.Entries {
				id, change := describeEdit(entry)
				shown.add(entry.Revision, entry.At.Format(time.DateTime), entry.By, id, change)
			}
			return shown.print(command.OutOrStdout())
		},
	}
	command.Flags().Uint64Var(&after, "after", 0, "edits after this revision; without: the latest")
	command.Flags().IntVar(&limit, "limit", 50, "edits on a page")
	return command
}

// describeEdit tells which row an edit changed, and how.
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

func completeRows(options *connection) cobra.CompletionFunc {
	return complete(options, func(command *cobra.Command, client *adminclient.Client) ([]string, error) {
		list, err := client.Rows(command.Context())
		var ids []string
		for _, row := range list.Rows {
			ids = append(ids, fmt.Sprintf("%s\t%s %s %s", row.ID, row.Match.Tenant, row.Match.Model, row.Match.Kind))
		}
		return ids, err
	})
}

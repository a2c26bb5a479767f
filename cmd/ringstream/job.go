package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"ringstream.example/ringstream/internal/adminclient"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/jobs"
)

// defaultPageSize is the default number of jobs or items on a page.
const defaultPageSize = 100

// jobFlags holds the flags that the job commands share.
type jobFlags struct {
	*adminFlags
	tenant string
}

func newJob(options *adminFlags) *cobra.Command {
	flags := &jobFlags{adminFlags: options}
	command := &cobra.Command{Use: "job", Short: "List, read and cancel batch jobs", Args: requireSubcommand, RunE: showHelp}
	command.PersistentFlags().StringVar(&flags.tenant, "tenant", "", "only this tenant's jobs; empty: any tenant's")
	command.AddCommand(newJobList(flags), newJobGet(flags), newJobCancel(flags), newJobResults(flags))
	return command
}

func (f *jobFlags) tenantID() identity.TenantID { return identity.TenantID(f.tenant) }

func newJobList(flags *jobFlags) *cobra.Command {
	var after string
	var limit int
	command := &cobra.Command{
		Use:   "list",
		Short: "List the open jobs of all tenants, or with --tenant all of one tenant's, newest first",
		Args:  exactArguments(),
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			list, err := client.Jobs(command.Context(), flags.tenantID(), identity.JobID(after), limit)
			if err != nil {
				return err
			}
			if flags.output == outputJSON {
				return printJSON(command.OutOrStdout(), list)
			}
			return printJobs(command.OutOrStdout(), list.Jobs)
		},
	}
	command.Flags().StringVar(&after, "after", "", "the last job of the page before")
	command.Flags().IntVar(&limit, "limit", defaultPageSize, "jobs on a page")
	return command
}

func printJobs(output io.Writer, list []jobs.Job) error {
	table := &textTable{header: []string{"job", "tenant", "model", "state", "completed", "failed", "unknown", "cancelled", "total", "deadline"}}
	for _, job := range list {
		table.add(job.ID, job.Tenant, job.Model, job.State, job.Completed, job.Failed, job.Unknown, job.Cancelled, job.Total, job.Deadline.Format(time.RFC3339))
	}
	return table.print(output)
}

func newJobGet(flags *jobFlags) *cobra.Command {
	return newJobCommand(flags, "get JOB", "Show a job", (*adminclient.Client).Job)
}

func newJobCancel(flags *jobFlags) *cobra.Command {
	return newJobCommand(flags, "cancel JOB", "Stop a job; no item completes after it returns", (*adminclient.Client).CancelJob)
}

// jobRequest is a request of the admin API about one job, answered with the job.
type jobRequest func(client *adminclient.Client, ctx context.Context, tenant identity.TenantID, job identity.JobID) (jobs.Job, error)

// newJobCommand returns the command of a request about one job.
func newJobCommand(flags *jobFlags, use, short string, request jobRequest) *cobra.Command {
	return &cobra.Command{
		Use:               use,
		Short:             short,
		Args:              exactArguments("JOB"),
		ValidArgsFunction: completeJobs(flags),
		RunE: func(command *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			job, err := request(client, command.Context(), flags.tenantID(), identity.JobID(args[0]))
			return flags.printJob(command, job, err)
		},
	}
}

func (f *jobFlags) printJob(command *cobra.Command, job jobs.Job, err error) error {
	if err != nil {
		return err
	}
	if f.output == outputJSON {
		return printJSON(command.OutOrStdout(), job)
	}
	return printJobs(command.OutOrStdout(), []jobs.Job{job})
}

func newJobResults(flags *jobFlags) *cobra.Command {
	var from, to int
	command := &cobra.Command{
		Use:               "results JOB",
		Short:             "Show final outcomes of a job's items, while it runs and after",
		Args:              exactArguments("JOB"),
		ValidArgsFunction: completeJobs(flags),
		RunE: func(command *cobra.Command, args []string) error {
			if from < 0 || to < from {
				return &usageError{command: command.CommandPath(), cause: fmt.Errorf("--from %d --to %d is not a range of items", from, to)}
			}
			client, err := flags.client()
			if err != nil {
				return err
			}
			list, err := client.Results(command.Context(), flags.tenantID(), identity.JobID(args[0]), from, to)
			if err != nil {
				return err
			}
			if flags.output == outputJSON {
				return printJSON(command.OutOrStdout(), list)
			}
			table := &textTable{header: []string{"index", "custom id", "outcome", "reason", "text"}}
			for _, result := range list.Results {
				table.add(result.Index, result.ID, result.Outcome, result.Reason, result.Text)
			}
			return table.print(command.OutOrStdout())
		},
	}
	command.Flags().IntVar(&from, "from", 0, "first item, by index")
	command.Flags().IntVar(&to, "to", defaultPageSize, "the item after the last, by index")
	return command
}

func completeJobs(flags *jobFlags) cobra.CompletionFunc {
	return complete(flags.adminFlags, func(command *cobra.Command, client *adminclient.Client) ([]string, error) {
		list, err := client.Jobs(command.Context(), flags.tenantID(), "", defaultPageSize)
		var ids []string
		for _, job := range list.Jobs {
			ids = append(ids, fmt.Sprintf("%s\t%s, %s", job.ID, job.Tenant, job.State))
		}
		return ids, err
	})
}

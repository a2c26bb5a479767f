// Package jobs accepts batch jobs, stores their state, and runs their items. A
// job is acknowledged only after the transaction that makes it durable. Its shard
// is owned by one node under a fenced lease.
package jobs

import (
	"context"
	"io"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/jobs/record"
)

// State is the state of a job as callers see it.
type State string

// The states of a job.
const (
	StateAccepted  State = "accepted"
	StateRunning   State = "running"
	StateCompleted State = "completed" // every item has a final outcome
	StateCancelled State = "cancelled"
)

// Submission is a new job. Its items are read as JSON lines from Items.
type Submission struct {
	Tenant     identity.TenantID
	Key        string // the idempotency key; required
	Model      string
	Deadline   time.Time
	Repeatable bool
	Items      io.Reader
}

// Item is one line of a submission.
type Item = record.Item

// Job is a job as callers and operators see it.
type Job struct {
	ID             identity.JobID    `json:"id"`
	Tenant         identity.TenantID `json:"tenant"`
	Key            string            `json:"idempotency_key"`
	Model          string            `json:"model"`
	State          State             `json:"state"`
	CreatedAt      time.Time         `json:"created_at"`
	Deadline       time.Time         `json:"deadline"`
	ExpectedFinish time.Time         `json:"expected_finish,omitzero"`
	Total          int               `json:"total"`
	Completed      int               `json:"completed"`
	Failed         int               `json:"failed"`
	Unknown        int               `json:"unknown"`
	Cancelled      int               `json:"cancelled"`
}

// Result is one item's final outcome, and one JSON line of the results.
type Result = record.Result

// Service is the batch part of the callers' API, which every node serves. Errors
// are *apierror.Error.
type Service interface {
	// Submit stores a job and acknowledges it. Submitting the same job again with
	// the same tenant and key returns the existing job, with existed true.
	Submit(ctx context.Context, submission Submission) (job Job, existed bool, err error)
	Get(ctx context.Context, tenant identity.TenantID, id identity.JobID) (Job, error)
	// List returns a page of a tenant's jobs, newest first. after is the last id of
	// the previous page.
	List(ctx context.Context, tenant identity.TenantID, after identity.JobID, limit int) ([]Job, error)
	// Cancel stops a job. No item completes after it returns.
	Cancel(ctx context.Context, tenant identity.TenantID, id identity.JobID) (Job, error)
	// Results returns the final outcomes of the items with an index of at least
	// from and below to. It works while the job runs and after it has ended.
	Results(ctx context.Context, tenant identity.TenantID, id identity.JobID, from, to int) ([]Result, error)
}

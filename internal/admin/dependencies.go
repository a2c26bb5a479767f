package admin

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ringstream.example/ringstream/internal/auth"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/jobs"
	"ringstream.example/ringstream/internal/rows"
)

// Dependencies holds the components that the API calls. Authenticator and Fleet
// are required. The paths of any other component do not exist if it is nil.
type Dependencies struct {
	Authenticator auth.Authenticator
	Fleet         Fleet
	Readiness     Readiness
	Rows          rows.Source
	Editor        rows.Editor
	Revisions     Revisions
	Audit         Audit
	Jobs          Jobs
	Engines       Engines
	Drainer       Drainer
	Gatherer      prometheus.Gatherer
}

// Fleet provides the member list.
type Fleet interface {
	View() membership.View
}

// Readiness reports whether the node should receive requests.
type Readiness interface {
	// Ready returns nil, or an error that states why the node is not ready.
	Ready() error
}

// Revisions reports the revision of the table that each node holds.
type Revisions interface {
	Revisions(ctx context.Context) []rows.NodeTableStatus
}

// Audit reads the audit log of accepted edits.
type Audit interface {
	// Audit returns up to limit edits after a revision, oldest first.
	Audit(ctx context.Context, after uint64, limit int) ([]rows.AuditEntry, error)
}

// Jobs is the interface of jobs.Operators. An empty tenant means any tenant.
type Jobs interface {
	Get(ctx context.Context, tenant identity.TenantID, id identity.JobID) (jobs.Job, error)
	List(ctx context.Context, tenant identity.TenantID, after identity.JobID, limit int) ([]jobs.Job, error)
	Cancel(ctx context.Context, tenant identity.TenantID, id identity.JobID) (jobs.Job, error)
	Results(ctx context.Context, tenant identity.TenantID, id identity.JobID, from, to int) ([]jobs.Result, error)
}

// Engines lists the engines that this node dispatches to.
type Engines interface {
	Engines() []EngineStatus
}

// EngineStatus is this node's view of an engine.
type EngineStatus struct {
	ID            identity.EngineID `json:"id"`
	Pool          string            `json:"pool"`
	Zone          string            `json:"zone"`
	Address       string            `json:"address"`
	Role          string            `json:"role,omitempty"`
	Models        []string          `json:"models,omitempty"`
	Leaving       bool              `json:"leaving"`
	Reachable     bool              `json:"reachable"`
	RunningOnline int               `json:"running_online"`
	RunningBatch  int               `json:"running_batch"`
	Waiting       int               `json:"waiting"`
	MaxRunning    int               `json:"max_running"`
	KVUsed        int               `json:"kv_used"`     // tokens
	KVCapacity    int               `json:"kv_capacity"` // tokens
	ReportedAt    time.Time         `json:"reported_at,omitzero"`
}

// Drainer stops nodes without interrupting requests.
type Drainer interface {
	// Drain starts the planned stop of this node or another one, and returns
	// when that node has accepted the order.
	Drain(ctx context.Context, node identity.NodeID) error
}

// Package policy implements the table of work classes: its rows, their validation,
// the lookup of the row that governs a request, and the order of revisions. It does
// no I/O.
package policy

import "ringstream.example/ringstream/internal/core/identity"

// Kind is the kind of work a request is.
type Kind string

// The kinds of work.
const (
	KindOnline Kind = "online"
	KindBatch  Kind = "batch"
)

// Any in a Match field matches every value.
const Any = "*"

// Match selects requests. A field is a literal value or Any. The most specific
// matching row governs a request; a literal tenant counts before a literal model,
// and that before a literal kind.
type Match struct {
	Tenant string `json:"tenant" yaml:"tenant"`
	Model  string `json:"model" yaml:"model"`
	Kind   Kind   `json:"kind" yaml:"kind"`
}

// Limits bound one row's work over the whole fleet. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second" yaml:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second" yaml:"tokens_per_second"`
	Concurrency       int     `json:"concurrency" yaml:"concurrency"`
}

// DeadlineClass decides how a row's batch jobs are ordered and when warnings about
// their deadlines are raised.
type DeadlineClass string

// The deadline classes.
const (
	DeadlineInteractive DeadlineClass = "interactive" // seconds
	DeadlineWindow      DeadlineClass = "window"      // a stated window, hours
	DeadlineOvernight   DeadlineClass = "overnight"   // by the next morning
)

// Row is one class of work.
type Row struct {
	ID    identity.RowID `json:"id" yaml:"id"`
	Match Match          `json:"match" yaml:"match"`
	// Weight is the row's relative share when capacity is short; at least 1.
	Weight        int           `json:"weight" yaml:"weight"`
	Limits        Limits        `json:"limits" yaml:"limits"`
	TenantLimits  Limits        `json:"tenant_limits" yaml:"tenant_limits"` // for each tenant within the row
	DeadlineClass DeadlineClass `json:"deadline_class" yaml:"deadline_class"`
	// NewSiteShare is the part of request keys, from 0 to 1, that run at this site.
	NewSiteShare float64 `json:"new_site_share" yaml:"new_site_share"`
	// Pool names the engines that serve the row.
	Pool string `json:"pool" yaml:"pool"`
	// Revision is the table revision at which the row last changed. The store sets
	// it; an edit carries the revision that it was made against.
	Revision uint64 `json:"revision" yaml:"revision"`
}

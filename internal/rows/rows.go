// Package rows maintains the class table: durable records in the platform's
// table service, a copy on every node, and the distribution of changes between
// them.
//
// The durable records are described in
// docs/decisions/0020-class-table-records.md, the distribution of changes in
// docs/decisions/0021-class-table-distribution.md.
//
// Service.mu is the only lock. No call to a peer or the store is made while it
// is held.
package rows

import (
	"context"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
)

// Edit is an operator's change of one row.
type Edit struct {
	// ID makes it safe to retry the edit on any node. The caller or the admin
	// API generates it.
	ID string
	// By names the operator for the audit record.
	By string
	// Row is the new row. Its Revision must equal that of the stored row, or be 0
	// if the row must not exist yet. With Delete, only ID and Revision are used.
	Row policy.Row
	// Delete removes the row.
	Delete bool
}

// EditResult is the outcome of an Edit.
type EditResult struct {
	Status EditStatus
	// Row is the stored row: the new one if Accepted, the current one on
	// Conflict. It is zero if there is none.
	Row policy.Row
	// Revision is the table's revision at which an accepted edit took effect.
	Revision uint64
}

// EditStatus is the outcome of an edit.
type EditStatus uint8

// The outcomes of an edit.
const (
	Accepted  EditStatus = iota + 1
	Conflict             // another edit was committed first, or the row's revision is stale; nothing changed
	Invalid              // the edit or its row is invalid; nothing changed
	Refused              // the edit could not be committed, usually because the store is unreachable; nothing changed
	Uncertain            // the store's answer was lost and the outcome is unknown; retry with the same ID
)

// String returns the stable label used in answers and metrics.
func (s EditStatus) String() string {
	switch s {
	case Accepted:
		return "accepted"
	case Conflict:
		return "conflict"
	case Invalid:
		return "invalid"
	case Refused:
		return "refused"
	default:
		return "uncertain"
	}
}

// Source provides a node's current copy of the table.
type Source interface {
	// Table returns the current copy. It never blocks, and the revision never
	// decreases.
	Table() *policy.Table
}

// Editor accepts edits.
type Editor interface {
	// Edit commits one edit. The error is nil if the status is Accepted or
	// Conflict, and an *apierror.Error if it is Invalid, Refused or Uncertain.
	Edit(ctx context.Context, edit Edit) (EditResult, error)
}

// NodeTableStatus describes one node's copy of the table.
type NodeTableStatus struct {
	Node identity.NodeID `json:"node"`
	Zone string          `json:"zone"`
	// Known is false if the node did not answer in time.
	Known    bool   `json:"known"`
	Revision uint64 `json:"revision"`
	Rows     int    `json:"rows"`
	Ready    bool   `json:"ready"`
}

// AuditEntry records who made an accepted edit, when, and what it changed.
type AuditEntry struct {
	Revision uint64    `json:"revision"`
	EditID   string    `json:"edit_id"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	// Before is nil for a new row, After is nil for a deleted one.
	Before *policy.Row `json:"before,omitempty"`
	After  *policy.Row `json:"after,omitempty"`
}

// change returns the entry's change of the table.
func (e AuditEntry) change() policy.Change {
	if e.After != nil {
		return policy.Change{Row: *e.After}
	}
	return policy.Change{Row: policy.Row{ID: e.Before.ID, Revision: e.Revision}, Deleted: true}
}

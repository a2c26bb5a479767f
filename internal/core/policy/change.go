package policy

import "ringstream.example/ringstream/internal/core/identity"

// Change is one accepted edit: the content of one row from Row.Revision on. Each
// table revision from 1 up belongs to exactly one change.
type Change struct {
	Row Row // for a deleted row, only ID and Revision are set
	// Deleted is true when the row was removed at this revision.
	Deleted bool
}

// Revision returns the table revision that the change created.
func (c Change) Revision() uint64 { return c.Row.Revision }

// CheckEdit reports whether an edit of a row may be committed on this table. The
// edit was made against the revision in edited.Revision, where 0 means that the
// row must not exist. The table must hold every change up to the revision that the
// commit compares.
func (t *Table) CheckEdit(edited Row, deleted bool) EditCheck {
	current, exists := t.Row(edited.ID)
	if current.Revision != edited.Revision || (deleted && !exists) {
		return EditCheck{Current: current, Stale: true}
	}
	if deleted {
		return EditCheck{Current: current}
	}
	if err := edited.Validate(); err != nil {
		return EditCheck{Current: current, Invalid: err}
	}
	if other, taken := t.matching(edited.Match); taken && other != edited.ID {
		allowed := "a match that no other row has; row " + string(other) + " has this one"
		return EditCheck{Current: current, Invalid: &FieldError{"match", edited.Match, allowed}}
	}
	return EditCheck{Current: current}
}

// EditCheck is the result of CheckEdit. The edit may be committed when neither
// Stale nor Invalid is set.
type EditCheck struct {
	Current Row // the current row; zero when absent
	// Stale is true when the row has changed since the edit's revision, or when a
	// row to be deleted does not exist.
	Stale bool
	// Invalid is a *FieldError.
	Invalid error
}

// matching returns the row that has exactly this match.
func (t *Table) matching(match Match) (identity.RowID, bool) {
	entry, ok := t.index[matchShard(match)][match]
	if !ok {
		return "", false
	}
	return entry.Row.ID, true
}

package catalog

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/passthrough"
)

// Copy keeps the rows of a followed table, so that this node can report to others what has changed
// in it. It is safe for concurrent use.
type Copy struct {
	mu   sync.Mutex                // guards the rest
	rows map[rowID]passthrough.Row // the newest version of each row, including removed rows
	// changes has an entry for each change, by ascending version. An entry whose row has changed
	// again since is skipped.
	changes     []change
	historyFrom int64 // changes after this version are known
	version     int64 // the version that the table was followed to
	listed      bool
	asOf        time.Time                      // when the copy was last known to be complete
	storeAt     time.Duration                  // asOf on the store's clock
	updated     chan struct{}                  // closed and replaced by confirm
	hide        func(row passthrough.Row) bool // reports rows that other nodes do not need
	readAt      time.Time                      // when another node last read the copy
	// listing holds all present rows by ascending version; nil if it was not built since the last
	// change. It is never modified once built, since all readers that list the table share it.
	listing []passthrough.Row
	// renewing is set while the table is being listed again, or was listed but still lacks a row
	// that the store is known to have, here or at the node that this copy is fed from.
	renewing bool
}

// change records that a row changed at a version.
type change struct {
	id      rowID
	version int64
}

// Bounds of the change history that is kept for other nodes. A fleet that replaces 1,000 engines a
// minute removes 4,096 rows in four minutes; a node that has not asked for that long gets the
// whole table.
const (
	maxRemoved       = 4096
	maxExtraChanges  = 1024
	maxChangesPerRow = 2 // changes is compacted above this number per row plus maxExtraChanges
)

// NewCopy returns an empty copy.
func NewCopy() *Copy {
	return &Copy{rows: make(map[rowID]passthrough.Row), updated: make(chan struct{}), hide: func(passthrough.Row) bool { return false }}
}

// Hide sets which rows are left out because other nodes do not need them. It must be called before
// the copy is used.
func (c *Copy) Hide(hide func(row passthrough.Row) bool) { c.hide = hide }

// isHidden reports whether other nodes do not get the row with an id.
func (c *Copy) isHidden(id rowID) bool {
	return c.hide(passthrough.Row{Part: id.part, Key: id.key})
}

// applyListing applies a whole listing as of a version.
func (c *Copy) applyListing(rows []passthrough.Row, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[rowID]bool, len(rows))
	for _, row := range rows {
		listed[rowID{row.Part, row.Key}] = true
		if !c.hide(row) {
			c.put(row)
		}
	}
	for id, known := range c.rows {
		if !listed[id] && !known.Gone && known.Version <= version {
			c.put(passthrough.Row{Table: known.Table, Part: known.Part, Key: known.Key, Version: version, Gone: true})
		}
	}
	if !c.listed {
		c.historyFrom = version
	}
	c.listed, c.version = true, max(c.version, version)
	c.sort()
	c.compact()
}

// applyChanges applies changed rows in the order of their versions.
func (c *Copy) applyChanges(rows []passthrough.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range rows {
		if !c.hide(row) {
			c.put(row)
			c.version = max(c.version, row.Version)
		}
	}
	c.sort()
	c.compact()
}

func (c *Copy) put(row passthrough.Row) {
	id := rowID{row.Part, row.Key}
	if known, found := c.rows[id]; found && known.Version >= row.Version {
		return
	}
	c.rows[id], c.listing = row, nil
	c.changes = append(c.changes, change{id: id, version: row.Version})
}

func (c *Copy) sort() {
	byVersion := func(a, b change) int { return cmp.Compare(a.version, b.version) }
	if !slices.IsSortedFunc(c.changes, byVersion) {
		slices.SortStableFunc(c.changes, byVersion)
	}
}

// compact drops superseded changes, and the oldest removals if there are too many.
func (c *Copy) compact() {
	if len(c.changes) <= maxChangesPerRow*len(c.rows)+maxExtraChanges && len(c.changes) <= len(c.rows)+maxRemoved {
		return
	}
	c.changes = slices.DeleteFunc(c.changes, func(entry change) bool { return c.rows[entry.id].Version != entry.version })
	gone := 0
	for _, row := range c.rows {
		if row.Gone {
			gone++
		}
	}
	c.changes = slices.DeleteFunc(c.changes, func(entry change) bool {
		if gone <= maxRemoved/2 || !c.rows[entry.id].Gone {
			return false
		}
		gone--
		delete(c.rows, entry.id)
		c.historyFrom = max(c.historyFrom, entry.version)
		return true
	})
}

// confirm records that the copy was complete at a time, and when that was on the store's clock. A
// zero asOf means that no such time is known. confirm wakes waiting readers, also for changes
// applied before it.
func (c *Copy) confirm(asOf time.Time, storeAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asOf.After(c.asOf) {
		c.asOf, c.storeAt = asOf, storeAt
	}
	close(c.updated)
	c.updated = make(chan struct{})
}

// setRenewing records whether the table is being listed again or will be.
func (c *Copy) setRenewing(renewing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renewing = renewing
}

// Renewing reports whether the table is being listed again, here or at the node that this copy is
// fed from.
func (c *Copy) Renewing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.renewing
}

func (c *Copy) suspended(gap time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asOf = c.asOf.Add(-gap)
}

// CopyAnswer is a copy's answer to a reader.
type CopyAnswer struct {
	// Whole means that Rows are all rows of the table. Otherwise Rows are the changed ones, with
	// Gone set on removed rows.
	Whole   bool
	Rows    []passthrough.Row // by ascending version; shared with other readers and not to be modified
	Version int64             // the version that the copy was followed to
	AsOf    time.Time         // a time as of which the copy was complete
	StoreAt time.Duration     // AsOf on the store's clock
	// Renewing means that the copy is staler than usual because the table is being listed again or
	// will be.
	Renewing bool
}

// Since returns what has changed after a version, or all rows if the changes are no longer known
// that far back. listed reports whether the copy has ever had a whole listing.
func (c *Copy) Since(version int64) (reply CopyAnswer, listed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAt = time.Now()
	reply = CopyAnswer{Whole: version < c.historyFrom, Version: c.version, AsOf: c.asOf, StoreAt: c.storeAt, Renewing: c.renewing}
	if reply.Whole {
		reply.Rows = c.allRows()
	} else {
		reply.Rows = c.changesSince(version)
	}
	return reply, c.listed
}

// allRows returns all present rows. The caller holds mu.
func (c *Copy) allRows() []passthrough.Row {
	if c.listing != nil {
		return c.listing
	}
	whole := make([]passthrough.Row, 0, len(c.rows))
	for _, entry := range c.changes {
		if row := c.rows[entry.id]; row.Version == entry.version && !row.Gone {
			whole = append(whole, row)
		}
	}
	c.listing = slices.Clip(whole) // appending to the result allocates a new list
	return c.listing
}

// changesSince returns the rows that have changed after a version, including removed rows. The
// caller holds mu.
func (c *Copy) changesSince(version int64) (changed []passthrough.Row) {
	first, _ := slices.BinarySearchFunc(c.changes, version+1, func(entry change, wanted int64) int { return cmp.Compare(entry.version, wanted) })
	for _, entry := range c.changes[first:] {
		row := c.rows[entry.id]
		overtaken := row.Version != entry.version
		// A listing can contain a row that is ahead of the feed. A reader that took it would
		// continue from its version, and miss the changes that the feed delivers before it.
		ahead := row.Version > c.version
		if !overtaken && !ahead {
			changed = append(changed, row)
		}
	}
	return changed
}

// readerTimeout is how long after its last read a copy still counts as followed by another node.
const readerTimeout = 3 * time.Second

// hasReaders reports whether another node follows the copy.
func (c *Copy) hasReaders() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.readAt.IsZero() && time.Since(c.readAt) < readerTimeout
}

// AsOf returns when the copy was last known to be complete.
func (c *Copy) AsOf() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asOf
}

// Await waits until the copy contains a change after a version, is known to be complete as of a
// later time than asOf, or ctx ends.
func (c *Copy) Await(ctx context.Context, version int64, asOf time.Time) {
	for ctx.Err() == nil {
		c.mu.Lock()
		news := c.version > version || c.asOf.After(asOf)
		changed := c.updated
		c.mu.Unlock()
		if news {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

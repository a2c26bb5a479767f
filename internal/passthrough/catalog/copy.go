package catalog

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/passthrough"
)

// Copy keeps the rows of a followed table, so that this node can tell others what has
// changed in it. It is safe for concurrent use.
type Copy struct {
	mu   sync.Mutex                   // guards the rest
	rows map[rowPlace]passthrough.Row // the newest of each, removed ones too
	// order has a place for each change, by rising versions; one whose row has changed again
	// since is passed over.
	order   []change
	since   int64 // changes are known from this version on
	version int64 // that the table was followed to
	listed  bool
	asOf    time.Time                      // when the copy was last known to be complete
	storeAt time.Duration                  // by the store's clock
	changed chan struct{}                  // closed at the next change or confirmation
	hide    func(row passthrough.Row) bool // rows that others need not know
	readAt  time.Time                      // when another node last read the copy
	// whole is all rows that there are, by rising versions; nil: not made since the last change. It is
	// not changed once it is made: all that list the table at one moment are told the same.
	whole []passthrough.Row
	// renewing: the table is being listed anew, or was and lacks still what the store is known to
	// have, here or where this copy comes from.
	renewing bool
}

type change struct {
	place   rowPlace
	version int64
}

// Bounds of what is remembered for nodes that ask. A fleet that replaces 1,000 engines a minute
// removes 4,096 rows in four minutes; who has not asked for that long lists the table.
const (
	mostGone    = 4096
	orderSlack  = 1024
	orderFactor = 2 // of the rows, that order may hold
)

// NewCopy makes an empty copy.
func NewCopy() *Copy {
	return &Copy{rows: make(map[rowPlace]passthrough.Row), changed: make(chan struct{}), hide: func(passthrough.Row) bool { return false }}
}

// Hide has the copy leave rows out that others need not know; called before it is used.
func (c *Copy) Hide(hide func(row passthrough.Row) bool) { c.hide = hide }

// hides says whether others are not told the row at a place.
func (c *Copy) hides(place rowPlace) bool {
	return c.hide(passthrough.Row{Part: place.part, Key: place.key})
}

// replace takes a whole listing as of a version.
func (c *Copy) replace(rows []passthrough.Row, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[rowPlace]bool, len(rows))
	for _, row := range rows {
		listed[rowPlace{row.Part, row.Key}] = true
		if !c.hide(row) {
			c.put(row)
		}
	}
	for place, known := range c.rows {
		if !listed[place] && !known.Gone && known.Version <= version {
			c.put(passthrough.Row{Table: known.Table, Part: known.Part, Key: known.Key, Version: version, Gone: true})
		}
	}
	if !c.listed {
		c.since = version
	}
	c.listed, c.version = true, max(c.version, version)
	c.sort()
	c.compact()
}

// change takes rows in the order of their versions.
func (c *Copy) change(rows []passthrough.Row) {
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
	place := rowPlace{row.Part, row.Key}
	if known, found := c.rows[place]; found && known.Version >= row.Version {
		return
	}
	c.rows[place], c.whole = row, nil
	c.order = append(c.order, change{place: place, version: row.Version})
}

func (c *Copy) sort() {
	byVersion := func(a, b change) int { return cmp.Compare(a.version, b.version) }
	if !slices.IsSortedFunc(c.order, byVersion) {
		slices.SortStableFunc(c.order, byVersion)
	}
}

// compact forgets changes that are overtaken, and the oldest removals of too many.
func (c *Copy) compact() {
	if len(c.order) <= orderFactor*len(c.rows)+orderSlack && len(c.order) <= len(c.rows)+mostGone {
		return
	}
	c.order = slices.DeleteFunc(c.order, func(known change) bool { return c.rows[known.place].Version != known.version })
	gone := 0
	for _, row := range c.rows {
		if row.Gone {
			gone++
		}
	}
	c.order = slices.DeleteFunc(c.order, func(known change) bool {
		if gone <= mostGone/2 || !c.rows[known.place].Gone {
			return false
		}
		gone--
		delete(c.rows, known.place)
		c.since = max(c.since, known.version)
		return true
	})
}

// confirm takes note that the copy was complete at a moment, and at a time of the store's clock; the
// zero time: it is not known to have been. Who waits for news hears of what has come before.
func (c *Copy) confirm(asOf time.Time, storeAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asOf.After(c.asOf) {
		c.asOf, c.storeAt = asOf, storeAt
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// renew says whether the table is being listed anew, or is to be.
func (c *Copy) renew(renewing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renewing = renewing
}

// Renewing says whether the table is being listed anew, here or where this copy comes from.
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

// Told is what a copy tells.
type Told struct {
	// Whole: Rows are all rows of the table. Else they are those that have changed, removed ones
	// with Gone.
	Whole   bool
	Rows    []passthrough.Row // by rising versions; not to be changed, others are told the same
	Version int64             // that the copy was followed to
	AsOf    time.Time         // when the copy was complete, at the earliest
	StoreAt time.Duration     // by the store's clock
	// Renewing: the copy is older than usual because the table is being listed anew, or is to be.
	Renewing bool
}

// Since gives what has changed after a version; all rows where that cannot be told.
func (c *Copy) Since(version int64) (told Told, listed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAt = time.Now()
	told = Told{Whole: version < c.since, Version: c.version, AsOf: c.asOf, StoreAt: c.storeAt, Renewing: c.renewing}
	if told.Whole {
		told.Rows = c.allRows()
	} else {
		told.Rows = c.changesSince(version)
	}
	return told, c.listed
}

// allRows gives the rows that there are; the caller holds mu.
func (c *Copy) allRows() []passthrough.Row {
	if c.whole != nil {
		return c.whole
	}
	whole := make([]passthrough.Row, 0, len(c.rows))
	for _, known := range c.order {
		if row := c.rows[known.place]; row.Version == known.version && !row.Gone {
			whole = append(whole, row)
		}
	}
	c.whole = slices.Clip(whole) // who appends to it gets a list of its own
	return c.whole
}

// changesSince gives the rows that have changed after a version, removed ones too; the caller
// holds mu.
func (c *Copy) changesSince(version int64) (changed []passthrough.Row) {
	first, _ := slices.BinarySearchFunc(c.order, version+1, func(known change, wanted int64) int { return cmp.Compare(known.version, wanted) })
	for _, known := range c.order[first:] {
		row := c.rows[known.place]
		overtaken := row.Version != known.version
		// A row that a listing has shown ahead of the feed: who took it would go on from its
		// version, and miss what the feed tells before.
		ahead := row.Version > c.version
		if !overtaken && !ahead {
			changed = append(changed, row)
		}
	}
	return changed
}

// followedWithin is how recently a copy was read that is followed by another node.
const followedWithin = 3 * time.Second

// followed says whether another node follows the copy.
func (c *Copy) followed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.readAt.IsZero() && time.Since(c.readAt) < followedWithin
}

// AsOf gives when the copy was last known to be complete.
func (c *Copy) AsOf() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asOf
}

// Await waits until the copy knows of a change after a version, or is known to be complete as of a
// later moment than one given, or ctx ends.
func (c *Copy) Await(ctx context.Context, version int64, asOf time.Time) {
	for ctx.Err() == nil {
		c.mu.Lock()
		news := c.version > version || c.asOf.After(asOf)
		changed := c.changed
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

package catalog

import (
	"time"

	"ringstream.example/ringstream/internal/passthrough"
)

// rowID identifies a row within its table.
type rowID struct{ part, key string }

// observedVersion is a version of a row that a call other than the feed has shown to be in the
// store.
type observedVersion struct {
	version int64
	since   time.Time // when that call was answered
}

// expectation is what the feed must still deliver of a row. A row that is written again before the
// feed delivers it keeps its oldest version. Otherwise a heartbeat written each second would
// postpone the detection of a silent feed forever.
type expectation struct{ oldest, newest observedVersion }

// maxExpected bounds the number of rows with an expectation. Further rows are not checked.
const maxExpected = 4096

// feedProgress tracks the version up to which a table was followed, the last delivered version of
// each row, and the rows that the feed must still deliver. With it, listings and the other calls
// that the node makes anyway reveal the changes that a feed has skipped.
type feedProgress struct {
	followedTo int64
	versions   map[rowID]int64
	expected   map[rowID]expectation
}

func newFeedProgress() feedProgress {
	return feedProgress{versions: make(map[rowID]int64), expected: make(map[rowID]expectation)}
}

// applyChanges records rows delivered by the feed. The table counts as followed to the newest
// version among these rows and no further, since an answer without rows means only that the feed
// had nothing to deliver, not that nothing has changed.
func (t *feedProgress) applyChanges(rows []passthrough.Row) {
	for _, row := range rows {
		t.followedTo = max(t.followedTo, row.Version)
		t.record(row)
	}
}

// record records the newest version of a row, whichever way it was received.
func (t *feedProgress) record(row passthrough.Row) {
	id := rowID{row.Part, row.Key}
	t.satisfy(id, row.Version)
	if row.Gone {
		delete(t.versions, id)
		return
	}
	t.versions[id] = max(t.versions[id], row.Version)
}

// applyListing records a whole listing as of a version. It returns the rows that the feed had
// skipped: written at or before the followed version and not delivered.
func (t *feedProgress) applyListing(rows []passthrough.Row, version int64) (skipped []passthrough.Row) {
	listed := make(map[rowID]int64, len(rows))
	for _, row := range rows {
		id := rowID{row.Part, row.Key}
		listed[id] = row.Version
		t.satisfy(id, row.Version)
		if row.Version <= t.followedTo && t.versions[id] < row.Version {
			skipped = append(skipped, row)
		}
	}
	t.versions = listed
	t.followedTo = version
	for id := range t.expected {
		t.satisfy(id, version)
	}
	return skipped
}

// keyRange is the keys in [from, to). An empty bound is open.
type keyRange struct{ from, to string }

func (r keyRange) contains(key string) bool { return key >= r.from && (r.to == "" || key < r.to) }

func (r keyRange) unbounded() bool { return r == keyRange{} }

// audit compares a listing of a part's keys in a range, as of a version, with what the feed has
// delivered. It returns the rows that the feed has skipped and the number of rows that it must
// still deliver. The latter, and removals, are expected from now on.
func (t *feedProgress) audit(part string, keys keyRange, rows []passthrough.Row, version int64, now time.Time) (skipped []passthrough.Row, ahead int) {
	listed := make(map[rowID]bool, len(rows))
	for _, row := range rows {
		id := rowID{row.Part, row.Key}
		listed[id] = true
		switch {
		case t.versions[id] >= row.Version:
		case row.Version <= t.followedTo:
			skipped = append(skipped, row)
		default:
			ahead++
			t.expect(id, row.Version, now)
		}
	}
	for id, delivered := range t.versions {
		if id.part == part && keys.contains(id.key) && !listed[id] && delivered <= version {
			t.expect(id, delivered+1, now)
		}
	}
	return skipped, ahead
}

// satisfy records that a row was delivered at a version.
func (t *feedProgress) satisfy(id rowID, version int64) {
	pending, found := t.expected[id]
	switch {
	case !found || version < pending.oldest.version:
	case version >= pending.newest.version:
		delete(t.expected, id)
	default:
		t.expected[id] = expectation{oldest: pending.newest, newest: pending.newest}
	}
}

// expect records that the store has had a row at a version since a time.
func (t *feedProgress) expect(id rowID, version int64, since time.Time) {
	next := observedVersion{version: version, since: since}
	pending, found := t.expected[id]
	switch {
	case t.versions[id] >= version || found && pending.newest.version >= version:
	case found:
		t.expected[id] = expectation{oldest: pending.oldest, newest: next}
	case len(t.expected) < maxExpected:
		t.expected[id] = expectation{oldest: next, newest: next}
	}
}

// dropExpected drops the expectations of rows that a relay does not pass on.
func (t *feedProgress) dropExpected(hidden func(id rowID) bool) {
	for id := range t.expected {
		if hidden(id) {
			delete(t.expected, id)
		}
	}
}

// overdueRow returns a row that an answer to a call sent at a time should have contained. maxLag
// is how long the feed may lag behind the store's other answers.
func (t *feedProgress) overdueRow(sent time.Time, maxLag time.Duration) (id rowID, missing observedVersion, found bool) {
	for id, pending := range t.expected {
		if sent.Sub(pending.oldest.since) >= maxLag {
			return id, pending.oldest, true
		}
	}
	return rowID{}, observedVersion{}, false
}

// oldestExpectation returns when the longest expected row was first shown, or the zero time if
// none is expected.
func (t *feedProgress) oldestExpectation() time.Time {
	var oldest time.Time
	for _, pending := range t.expected {
		if oldest.IsZero() || pending.oldest.since.Before(oldest) {
			oldest = pending.oldest.since
		}
	}
	return oldest
}

func firstKey(rows []passthrough.Row) string {
	if len(rows) == 0 {
		return ""
	}
	return rows[0].Key
}

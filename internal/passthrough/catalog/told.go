package catalog

import (
	"time"

	"ringstream.example/ringstream/internal/passthrough"
)

// rowPlace is where a row lies in its table.
type rowPlace struct{ part, key string }

// shown is a version of a row that a call beside the feed has shown in the store.
type shown struct {
	version int64
	since   time.Time // when the call was answered
}

// expectation is what the feed has still to tell of a row. A row that is written again before
// the feed tells it keeps the oldest version: else a sign of life each second would put off for
// ever that a silent feed is noticed.
type expectation struct{ oldest, newest shown }

// mostExpected bounds the rows that are waited for; further ones are not looked at.
const mostExpected = 4096

// toldRows remembers up to which version a table was followed, at which version each of its
// rows was last told, and which rows the feed has still to tell. So both a listing and
// the calls that are made anyway show what a feed has passed over.
type toldRows struct {
	followedTo int64
	versions   map[rowPlace]int64
	expected   map[rowPlace]expectation
}

func newToldRows() toldRows {
	return toldRows{versions: make(map[rowPlace]int64), expected: make(map[rowPlace]expectation)}
}

// change notes what the feed told. The table was followed to the newest version among
// these rows and no further: an answer without rows says that the feed had nothing to tell,
// not that nothing has changed.
func (t *toldRows) change(rows []passthrough.Row) {
	for _, row := range rows {
		t.followedTo = max(t.followedTo, row.Version)
		t.note(row)
	}
}

// note takes the newest version of a row, by whatever way.
func (t *toldRows) note(row passthrough.Row) {
	place := rowPlace{row.Part, row.Key}
	t.satisfy(place, row.Version)
	if row.Gone {
		delete(t.versions, place)
		return
	}
	t.versions[place] = max(t.versions[place], row.Version)
}

// replace notes a whole listing as of a version, and gives the rows that the feed had
// passed over: written at or before the version that it was followed to, and not told.
func (t *toldRows) replace(rows []passthrough.Row, version int64) (lacked []passthrough.Row) {
	listed := make(map[rowPlace]int64, len(rows))
	for _, row := range rows {
		place := rowPlace{row.Part, row.Key}
		listed[place] = row.Version
		t.satisfy(place, row.Version)
		if row.Version <= t.followedTo && t.versions[place] < row.Version {
			lacked = append(lacked, row)
		}
	}
	t.versions = listed
	t.followedTo = version
	for place := range t.expected {
		t.satisfy(place, version)
	}
	return lacked
}

// keyRange is the keys from one on and before another; an empty one is open.
type keyRange struct{ from, to string }

func (r keyRange) holds(key string) bool { return key >= r.from && (r.to == "" || key < r.to) }

func (r keyRange) whole() bool { return r == keyRange{} }

// audit compares a list of a part's keys in a range, as of a version, with what was told. It gives
// the rows that the feed has passed over, and counts those that it has yet to tell, which are
// expected from now on, as are removals.
func (t *toldRows) audit(part string, keys keyRange, rows []passthrough.Row, version int64, now time.Time) (lacked []passthrough.Row, ahead int) {
	listed := make(map[rowPlace]bool, len(rows))
	for _, row := range rows {
		place := rowPlace{row.Part, row.Key}
		listed[place] = true
		switch {
		case t.versions[place] >= row.Version:
		case row.Version <= t.followedTo:
			lacked = append(lacked, row)
		default:
			ahead++
			t.expect(place, row.Version, now)
		}
	}
	for place, told := range t.versions {
		if place.part == part && keys.holds(place.key) && !listed[place] && told <= version {
			t.expect(place, told+1, now)
		}
	}
	return lacked, ahead
}

// satisfy notes that a row was told at a version.
func (t *toldRows) satisfy(place rowPlace, version int64) {
	waits, found := t.expected[place]
	switch {
	case !found || version < waits.oldest.version:
	case version >= waits.newest.version:
		delete(t.expected, place)
	default:
		t.expected[place] = expectation{oldest: waits.newest, newest: waits.newest}
	}
}

// expect notes a row that the store has had at a version since some moment.
func (t *toldRows) expect(place rowPlace, version int64, since time.Time) {
	next := shown{version: version, since: since}
	waits, found := t.expected[place]
	switch {
	case t.versions[place] >= version || found && waits.newest.version >= version:
	case found:
		t.expected[place] = expectation{oldest: waits.oldest, newest: next}
	case len(t.expected) < mostExpected:
		t.expected[place] = expectation{oldest: next, newest: next}
	}
}

// forgetExpected waits no longer for rows that a relay does not pass on.
func (t *toldRows) forgetExpected(hidden func(place rowPlace) bool) {
	for place := range t.expected {
		if hidden(place) {
			delete(t.expected, place)
		}
	}
}

// passedOver gives a row that should have been told by an answer whose call was sent at a
// moment, with patience for a feed that lags behind the store's other answers.
func (t *toldRows) passedOver(sent time.Time, patience time.Duration) (place rowPlace, missing shown, found bool) {
	for place, waits := range t.expected {
		if sent.Sub(waits.oldest.since) >= patience {
			return place, waits.oldest, true
		}
	}
	return rowPlace{}, shown{}, false
}

// oldestExpected gives since when a row is waited for that was shown first.
func (t *toldRows) oldestExpected() time.Time {
	var oldest time.Time
	for _, waits := range t.expected {
		if oldest.IsZero() || waits.oldest.since.Before(oldest) {
			oldest = waits.oldest.since
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

package catalog

import (
	"time"

	"ringstream.example/ringstream/internal/passthrough"
)

// rowPlace is where a row lies in its table.
type rowPlace struct{ part, key string }

// expectation is a row that the store is known to have, by a call beside the feed.
type expectation struct {
	version int64
	since   time.Time // when the call that showed it was answered
}

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
		place := rowPlace{row.Part, row.Key}
		t.followedTo = max(t.followedTo, row.Version)
		t.satisfy(place, row.Version)
		if row.Gone {
			delete(t.versions, place)
			continue
		}
		t.versions[place] = row.Version
	}
}

// replace notes a whole listing as of a version, and gives the rows that the feed had
// passed over: written at or before the version that it was followed to, and not told.
func (t *toldRows) replace(rows []passthrough.Row, version int64) (lacked []passthrough.Row) {
	listed := make(map[rowPlace]int64, len(rows))
	for _, row := range rows {
		place := rowPlace{row.Part, row.Key}
		listed[place] = row.Version
		if row.Version <= t.followedTo && t.versions[place] < row.Version {
			lacked = append(lacked, row)
		}
	}
	t.versions = listed
	t.followedTo = version
	clear(t.expected)
	return lacked
}

func (t *toldRows) satisfy(place rowPlace, version int64) {
	if expected, waits := t.expected[place]; waits && version >= expected.version {
		delete(t.expected, place)
	}
}

// expect notes a row that the store has had at a version since some moment.
func (t *toldRows) expect(place rowPlace, version int64, since time.Time) {
	if t.versions[place] >= version || len(t.expected) >= mostExpected {
		return
	}
	if known, waits := t.expected[place]; waits && known.version >= version {
		return
	}
	t.expected[place] = expectation{version: version, since: since}
}

// passedOver gives a row that should have been told by an answer whose call was sent at a
// moment, with patience for a feed that lags behind the store's other answers.
func (t *toldRows) passedOver(sent time.Time, patience time.Duration) (place rowPlace, missing expectation, found bool) {
	for place, missing = range t.expected {
		if sent.Sub(missing.since) > patience {
			return place, missing, true
		}
	}
	return rowPlace{}, expectation{}, false
}

func firstKey(rows []passthrough.Row) string {
	if len(rows) == 0 {
		return ""
	}
	return rows[0].Key
}

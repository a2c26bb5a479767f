package catalog

import "ringstream.example/ringstream/internal/passthrough"

// rowPlace is where a row lies in its table.
type rowPlace struct{ part, key string }

// toldRows remembers up to which version a table was followed, and at which version
// each of its rows was last told. A listing then shows what the feed has passed over.
type toldRows struct {
	followedTo int64
	versions   map[rowPlace]int64
}

func newToldRows() toldRows { return toldRows{versions: make(map[rowPlace]int64)} }

// change notes what the feed told, up to a version.
func (t *toldRows) change(rows []passthrough.Row, followedTo int64) {
	for _, row := range rows {
		place := rowPlace{row.Part, row.Key}
		if row.Gone {
			delete(t.versions, place)
			continue
		}
		t.versions[place] = row.Version
	}
	t.followedTo = max(t.followedTo, followedTo)
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
	return lacked
}

func firstKey(rows []passthrough.Row) string {
	if len(rows) == 0 {
		return ""
	}
	return rows[0].Key
}

package catalog

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/passthrough"
	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

// reader follows a copy as another node does: what is told replaces or changes what it has.
type reader struct {
	rows    map[string]int64 // versions by key
	version int64
}

func (r *reader) take(told Told) {
	if told.Whole {
		r.rows = make(map[string]int64)
	}
	last := int64(0)
	for _, row := range told.Rows {
		if row.Version < last {
			panic("rows out of order")
		}
		last = row.Version
		if row.Gone {
			delete(r.rows, row.Key)
		} else {
			r.rows[row.Key] = row.Version
		}
		if !told.Whole {
			r.version = max(r.version, row.Version)
		}
	}
	if told.Whole {
		r.version = told.Version
	}
	r.version = max(r.version, told.Version)
}

// A copy is fed as a follower feeds it, by changes and by whole listings of a table that has lost
// its history, and read now and then by others, some of them after a long time. Each has to
// end with just the rows of the table.
func TestCopyTellsEachReaderTheWholeTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		copied := NewCopy()
		copied.Hide(func(row passthrough.Row) bool { return strings.HasPrefix(row.Key, "hidden") })
		table := make(map[string]int64)
		readers := []*reader{{rows: map[string]int64{}}, {rows: map[string]int64{}}, {rows: map[string]int64{}}}
		version := int64(1)
		copied.replace(nil, version)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			var changes []passthrough.Row
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				version++
				key := fmt.Sprint(rapid.SampledFrom([]string{"a", "b", "hidden"}).Draw(t, "kind"), rapid.IntRange(0, 6).Draw(t, "key"))
				row := passthrough.Row{Key: key, Version: version, Gone: rapid.Bool().Draw(t, "gone")}
				if row.Gone {
					delete(table, key)
				} else {
					table[key] = version
				}
				changes = append(changes, row)
			}
			switch rapid.IntRange(0, 4).Draw(t, "lost") {
			case 0:
				version++
				copied.replace(rowsOf(table), version)
			case 1: // the parts are listed one after another: later ones show rows that the feed has yet to tell
				copied.replace(rowsOf(table), changes[0].Version-1)
				early := readers[rapid.IntRange(0, len(readers)-1).Draw(t, "early")]
				answer, _ := copied.Since(early.version)
				early.take(answer)
				copied.change(changes)
			default:
				copied.change(changes)
			}
			told := readers[rapid.IntRange(0, len(readers)-1).Draw(t, "reader")]
			answer, listed := copied.Since(told.version)
			if !listed {
				t.Fatal("not listed")
			}
			told.take(answer)
			if difference := cmp.Diff(visible(table), told.rows); difference != "" {
				t.Fatal(difference)
			}
		}
	})
}

func rowsOf(table map[string]int64) []passthrough.Row {
	var rows []passthrough.Row
	for key, version := range table {
		rows = append(rows, passthrough.Row{Key: key, Version: version})
	}
	slices.SortFunc(rows, func(a, b passthrough.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

func visible(table map[string]int64) map[string]int64 {
	seen := make(map[string]int64)
	for key, version := range table {
		if !strings.HasPrefix(key, "hidden") {
			seen[key] = version
		}
	}
	return seen
}

// What a copy remembers of removed rows is bounded; who asks after that gets the whole table.
func TestCopyForgetsOldRemovals(t *testing.T) {
	copied := NewCopy()
	copied.replace(nil, 1)
	version := int64(1)
	late := &reader{rows: map[string]int64{"old": 1}, version: 1}
	for i := range 5 * mostGone {
		key := fmt.Sprint("engine-", i)
		version += 2
		copied.change([]passthrough.Row{{Key: key, Version: version - 1}, {Key: key, Version: version, Gone: true}})
	}
	if len(copied.rows) > 2*mostGone || len(copied.order) > 4*mostGone {
		t.Errorf("%d rows and %d changes are kept", len(copied.rows), len(copied.order))
	}
	answer, _ := copied.Since(late.version)
	if late.take(answer); !answer.Whole || len(late.rows) != 0 {
		t.Errorf("whole: %v, %d rows", answer.Whole, len(late.rows))
	}
}

// A test of this hung in one run of many under load: the reader waited already when the change came,
// and nothing woke it. A node told its followers of changes only together with the moment as of which
// its copy was complete; while its copy was known to lack something they heard of none until their
// calls had waited their time. Readers wait here before there is news, and hear of each.
func TestCopyWaitsForNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		copied := NewCopy()
		copied.replace([]passthrough.Row{{Key: "a", Version: 3}}, 5)
		now := time.Now()
		copied.confirm(now, time.Second)
		told := make(chan Told, 1)
		await := func(version int64) {
			go func() {
				copied.Await(t.Context(), version, now)
				answer, _ := copied.Since(version)
				told <- answer
			}()
			synctest.Wait()
		}
		await(5)
		copied.change([]passthrough.Row{{Key: "b", Version: 7}})
		copied.confirm(time.Time{}, 0) // known to lack something
		if answer := <-told; len(answer.Rows) != 1 || answer.Rows[0].Key != "b" || answer.AsOf != now {
			t.Errorf("told %+v", answer)
		}
		await(7)
		copied.confirm(time.Time{}, 0)
		synctest.Wait()
		if len(told) > 0 {
			t.Errorf("without news: told %+v", <-told)
		}
		copied.confirm(now.Add(time.Millisecond), 2*time.Second)
		if answer := <-told; len(answer.Rows) != 0 || answer.StoreAt != 2*time.Second {
			t.Errorf("told %+v", answer)
		}
	})
}

// Followers that list a large table at one moment, since the store has forgotten its history, are
// told the same rows: 31 lists of 10,000 rows are 27 MB (worked out, 88 bytes a row) beside what is
// sent, on a machine of 184 MB. A change makes a new list, and leaves the one that was told as it was.
func TestListingsOfAnUnchangedTableAreOne(t *testing.T) {
	copied := NewCopy()
	copied.replace([]passthrough.Row{{Key: "a", Version: 1}, {Key: "b", Version: 2}}, 5)
	first, _ := copied.Since(0)
	second, _ := copied.Since(0)
	if len(first.Rows) != 2 || &first.Rows[0] != &second.Rows[0] {
		t.Errorf("two lists: %+v, %+v", first.Rows, second.Rows)
	}
	copied.change([]passthrough.Row{{Key: "a", Version: 6, Gone: true}, {Key: "c", Version: 7}})
	third, _ := copied.Since(0)
	if len(third.Rows) != 2 || third.Rows[0].Key != "b" || third.Rows[1].Key != "c" {
		t.Errorf("after a change: %+v", third.Rows)
	}
	if first.Rows[0].Key != "a" || first.Rows[0].Gone {
		t.Errorf("what was told has changed: %+v", first.Rows)
	}
}

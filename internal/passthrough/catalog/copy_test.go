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

// reader follows a copy as another node does: each answer replaces or changes its rows.
type reader struct {
	rows    map[string]int64 // versions by key
	version int64
}

func (r *reader) apply(answer CopyAnswer) {
	if answer.Whole {
		r.rows = make(map[string]int64)
	}
	last := int64(0)
	for _, row := range answer.Rows {
		if row.Version < last {
			panic("rows out of order")
		}
		last = row.Version
		if row.Gone {
			delete(r.rows, row.Key)
		} else {
			r.rows[row.Key] = row.Version
		}
		if !answer.Whole {
			r.version = max(r.version, row.Version)
		}
	}
	if answer.Whole {
		r.version = answer.Version
	}
	r.version = max(r.version, answer.Version)
}

// A copy is fed as a follower feeds it, with changes and with whole listings after the history was
// lost. Several readers read it at random times, some of them rarely. Each must end with exactly
// the rows of the table.
func TestEachReaderOfACopyGetsTheWholeTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		copied := NewCopy()
		copied.Hide(func(row passthrough.Row) bool { return strings.HasPrefix(row.Key, "hidden") })
		table := make(map[string]int64)
		readers := []*reader{{rows: map[string]int64{}}, {rows: map[string]int64{}}, {rows: map[string]int64{}}}
		version := int64(1)
		copied.applyListing(nil, version)
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
				copied.applyListing(rowsOf(table), version)
			case 1: // parts are listed one after another, so later ones contain rows that the feed has yet to deliver
				copied.applyListing(rowsOf(table), changes[0].Version-1)
				early := readers[rapid.IntRange(0, len(readers)-1).Draw(t, "early")]
				answer, _ := copied.Since(early.version)
				early.apply(answer)
				copied.applyChanges(changes)
			default:
				copied.applyChanges(changes)
			}
			current := readers[rapid.IntRange(0, len(readers)-1).Draw(t, "reader")]
			answer, listed := copied.Since(current.version)
			if !listed {
				t.Fatal("the copy was never listed")
			}
			current.apply(answer)
			if difference := cmp.Diff(visible(table), current.rows); difference != "" {
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

// The number of remembered removals is bounded. A reader that asks for changes from before them
// gets the whole table.
func TestCopyDiscardsOldRemovals(t *testing.T) {
	copied := NewCopy()
	copied.applyListing(nil, 1)
	version := int64(1)
	lagging := &reader{rows: map[string]int64{"old": 1}, version: 1}
	for i := range 5 * maxRemoved {
		key := fmt.Sprint("engine-", i)
		version += 2
		copied.applyChanges([]passthrough.Row{{Key: key, Version: version - 1}, {Key: key, Version: version, Gone: true}})
	}
	if len(copied.rows) > 2*maxRemoved || len(copied.changes) > 4*maxRemoved {
		t.Errorf("the copy keeps %d rows and %d changes", len(copied.rows), len(copied.changes))
	}
	answer, _ := copied.Since(lagging.version)
	if lagging.apply(answer); !answer.Whole || len(lagging.rows) != 0 {
		t.Errorf("whole listing: %v, the reader has %d rows", answer.Whole, len(lagging.rows))
	}
}

// Guards against a lost wake-up: a copy woke its waiting readers only together with a new time as
// of which it was complete. While the copy was known to lack something, they learned of no change
// until their calls timed out. Here each reader waits before there is a change, and must be woken
// by it.
func TestCopyWakesWaitingReadersOnAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		copied := NewCopy()
		copied.applyListing([]passthrough.Row{{Key: "a", Version: 3}}, 5)
		now := time.Now()
		copied.confirm(now, time.Second)
		answers := make(chan CopyAnswer, 1)
		await := func(version int64) {
			go func() {
				copied.Await(t.Context(), version, now)
				answer, _ := copied.Since(version)
				answers <- answer
			}()
			synctest.Wait()
		}
		await(5)
		copied.applyChanges([]passthrough.Row{{Key: "b", Version: 7}})
		copied.confirm(time.Time{}, 0) // the copy is known to lack something
		if answer := <-answers; len(answer.Rows) != 1 || answer.Rows[0].Key != "b" || answer.AsOf != now {
			t.Errorf("unexpected answer: %+v", answer)
		}
		await(7)
		copied.confirm(time.Time{}, 0)
		synctest.Wait()
		if len(answers) > 0 {
			t.Errorf("reader woken without a change: %+v", <-answers)
		}
		copied.confirm(now.Add(time.Millisecond), 2*time.Second)
		if answer := <-answers; len(answer.Rows) != 0 || answer.StoreAt != 2*time.Second {
			t.Errorf("unexpected answer: %+v", answer)
		}
	})
}

// Followers that list a large table at the same time, because the store has discarded its history,
// get the same slice of rows. Separate slices for 31 readers of 10,000 rows would take 27 MB (88
// bytes a row) beside the sent data, on a machine of 184 MB. A change produces a new slice and
// leaves the old one unmodified.
func TestListingsOfUnchangedTableShareRows(t *testing.T) {
	copied := NewCopy()
	copied.applyListing([]passthrough.Row{{Key: "a", Version: 1}, {Key: "b", Version: 2}}, 5)
	first, _ := copied.Since(0)
	second, _ := copied.Since(0)
	if len(first.Rows) != 2 || &first.Rows[0] != &second.Rows[0] {
		t.Errorf("two listings do not share their rows: %+v, %+v", first.Rows, second.Rows)
	}
	copied.applyChanges([]passthrough.Row{{Key: "a", Version: 6, Gone: true}, {Key: "c", Version: 7}})
	third, _ := copied.Since(0)
	if len(third.Rows) != 2 || third.Rows[0].Key != "b" || third.Rows[1].Key != "c" {
		t.Errorf("listing after a change: %+v", third.Rows)
	}
	if first.Rows[0].Key != "a" || first.Rows[0].Gone {
		t.Errorf("the first listing was modified: %+v", first.Rows)
	}
}

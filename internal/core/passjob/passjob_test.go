package passjob

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

func newRecord(items int) Record {
	record := Record{ID: "j", AcceptedAt: time.Second, Expiry: time.Minute}
	for i := range items {
		record.Items = append(record.Items, Item{ID: fmt.Sprint(i), Tokens: int64(10 + i)})
	}
	return record
}

// naive is a job as a plain list of results.
type naive struct {
	listed []int
	states map[int]ItemState
	ended  bool
}

// Whatever is done, positions never change, nothing stands twice, nothing is
// listed after the end, and the record survives being written and read.
func TestRecordAgainstTheNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "items")
		record, plain := newRecord(count), naive{states: make(map[int]ItemState)}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			index := rapid.IntRange(0, count-1).Draw(t, "item")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				record.End()
				plain.ended = true
			case 1:
				epoch := record.Epoch
				if record.Claim("n"); record.Epoch != epoch+1 || record.Owner != "n" {
					t.Fatalf("claim gave %+v", record)
				}
			case 2:
				record.Release()
			case 3:
				record.Fail(index)
			default:
				state := ItemState(rapid.IntRange(1, 2).Draw(t, "state"))
				position, ok := record.List(index, state)
				_, twice := plain.states[index]
				if want := !plain.ended && !twice; ok != want || (ok && position != len(plain.listed)) {
					t.Fatalf("listing %d: %d %t, want %d %t", index, position, ok, len(plain.listed), want)
				}
				if ok {
					plain.listed = append(plain.listed, index)
					plain.states[index] = state
				}
			}
			record = checkRecord(t, record, plain)
		}
	})
}

func checkRecord(t *rapid.T, record Record, plain naive) Record {
	read, err := Decode(record.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(record, read); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff(append([]int{}, plain.listed...), record.ItemAt()); diff != "" {
		t.Fatal(diff)
	}
	var waiting int64
	for i, item := range record.Items {
		if _, listed := plain.states[i]; !listed && !plain.ended {
			waiting += item.Tokens
		}
	}
	if record.Waiting() != waiting {
		t.Fatalf("waiting %d, want %d", record.Waiting(), waiting)
	}
	if active := !plain.ended && len(plain.listed) < len(record.Items); record.Active() != active {
		t.Fatalf("active %t", record.Active())
	}
	return read
}

func TestCloneSharesNothing(t *testing.T) {
	record := newRecord(2)
	copied := record.Clone()
	copied.List(0, Succeeded)
	if record.Items[0].State != Open {
		t.Error("the copy's change is in the original")
	}
}

func TestOverdueAndIndex(t *testing.T) {
	record := newRecord(3)
	if record.Overdue(time.Second+time.Minute) || !record.Overdue(2*time.Second+time.Minute) {
		t.Error("expiry is counted from the acceptance")
	}
	if index, found := record.Index("2"); !found || index != 2 {
		t.Errorf("index %d %t", index, found)
	}
	if _, found := record.Index("x"); found {
		t.Error("found an item that is not there")
	}
	if _, err := Decode([]byte("{")); err == nil {
		t.Error("a damaged row was read")
	}
}

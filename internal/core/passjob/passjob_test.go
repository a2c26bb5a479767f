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

// referenceRecord is the reference model of Record, with a list of results.
type referenceRecord struct {
	listed []int
	states map[int]ItemState
	ended  bool
}

// TestRecordMatchesReferenceModel checks for any sequence of operations that
// positions never change, that no item is listed twice or after the end of the job,
// and that the record is unchanged by encoding and decoding.
func TestRecordMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "items")
		record, reference := newRecord(count), referenceRecord{states: make(map[int]ItemState)}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			index := rapid.IntRange(0, count-1).Draw(t, "item")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				record.End()
				reference.ended = true
			case 1:
				epoch := record.Epoch
				if record.Claim("n"); record.Epoch != epoch+1 || record.Owner != "n" {
					t.Fatalf("record after Claim: %+v", record)
				}
			case 2:
				record.Release()
			case 3:
				record.Fail(index)
			default:
				state := ItemState(rapid.IntRange(1, 2).Draw(t, "state"))
				position, ok := record.List(index, state)
				_, twice := reference.states[index]
				if want := !reference.ended && !twice; ok != want || (ok && position != len(reference.listed)) {
					t.Fatalf("List of item %d: %d %t, want %d %t", index, position, ok, len(reference.listed), want)
				}
				if ok {
					reference.listed = append(reference.listed, index)
					reference.states[index] = state
				}
			}
			record = checkRecord(t, record, reference)
		}
	})
}

func checkRecord(t *rapid.T, record Record, reference referenceRecord) Record {
	read, err := Decode(record.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(record, read); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff(append([]int{}, reference.listed...), record.ItemsByPosition()); diff != "" {
		t.Fatal(diff)
	}
	var waiting int64
	for i, item := range record.Items {
		if _, listed := reference.states[i]; !listed && !reference.ended {
			waiting += item.Tokens
		}
	}
	if record.Waiting() != waiting {
		t.Fatalf("waiting tokens %d, want %d", record.Waiting(), waiting)
	}
	if active := !reference.ended && len(reference.listed) < len(record.Items); record.Active() != active {
		t.Fatalf("Active: %t", record.Active())
	}
	return read
}

func TestCloneSharesNothing(t *testing.T) {
	record := newRecord(2)
	copied := record.Clone()
	copied.List(0, Succeeded)
	if record.Items[0].State != Open {
		t.Error("a change of the clone changed the original")
	}
}

func TestOverdueAndIndex(t *testing.T) {
	record := newRecord(3)
	if record.Overdue(time.Second+time.Minute) || !record.Overdue(2*time.Second+time.Minute) {
		t.Error("Overdue does not count the expiry from the acceptance")
	}
	if index, found := record.Index("2"); !found || index != 2 {
		t.Errorf("index %d %t", index, found)
	}
	if _, found := record.Index("x"); found {
		t.Error("Index found an item that does not exist")
	}
	if _, err := Decode([]byte("{")); err == nil {
		t.Error("Decode accepted a malformed row")
	}
}

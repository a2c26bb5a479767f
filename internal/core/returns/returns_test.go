package returns

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ringstream.example/ringstream/internal/seedtest" // fixed seed for rapid
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ms(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

// TestReturningRequestFindsItsPlace has requests come early, when told, late and too late.
func TestReturningRequestFindsItsPlace(t *testing.T) {
	schedule := New(Config{MaxPlaces: 10, KeptFor: 100 * time.Millisecond})
	for key := range uint64(3) {
		at, booked := schedule.Book(key+1, ms(100), ms(1000), 50*time.Millisecond)
		if want := ms(100 + 50*int(key)); !booked || !at.Equal(want) {
			t.Fatalf("request %d was told %v (%v), want %v", key+1, at, booked, want)
		}
	}
	if arrival := schedule.Arrive(1, ms(99)); arrival != Early {
		t.Errorf("a request before its place counts as %v, want Early", arrival)
	}
	if at, booked := schedule.At(1); !booked || !at.Equal(ms(100)) {
		t.Errorf("the place of a request that came early is %v (%v)", at, booked)
	}
	if at, _ := schedule.Book(1, ms(99), ms(1000), 50*time.Millisecond); !at.Equal(ms(100)) {
		t.Errorf("a request that came early was told %v, want the place that it had", at)
	}
	if arrival := schedule.Arrive(1, ms(100)); arrival != Due {
		t.Errorf("a request at its place counts as %v, want Due", arrival)
	}
	if arrival := schedule.Arrive(1, ms(101)); arrival != Unbooked {
		t.Errorf("a place was found twice: %v", arrival)
	}
	if arrival := schedule.Arrive(2, ms(250)); arrival != Due {
		t.Errorf("a request within KeptFor counts as %v, want Due", arrival)
	}
	if arrival := schedule.Arrive(3, ms(301)); arrival != Unbooked {
		t.Errorf("a request after KeptFor counts as %v, want Unbooked", arrival)
	}
	if expired := schedule.Expire(ms(301)); expired != 1 || schedule.Len() != 0 {
		t.Errorf("%d places expired and %d are left, want 1 and 0", expired, schedule.Len())
	}
}

// naive holds all places in a map and looks at each of them every time.
type naive struct {
	config Config
	places map[uint64]time.Time
}

func (n naive) book(key uint64, earliest, latest time.Time, gap time.Duration) (time.Time, bool) {
	if at, booked := n.places[key]; booked {
		return at, !at.After(latest)
	}
	for at := earliest; !at.After(latest) && len(n.places) < n.config.MaxPlaces; at = at.Add(time.Millisecond) {
		free := true
		for _, other := range n.places {
			free = free && other.Sub(at).Abs() >= gap
		}
		if free {
			n.places[key] = at
			return at, true
		}
	}
	return time.Time{}, false
}

func (n naive) arrive(key uint64, now time.Time) Arrival {
	at, booked := n.places[key]
	switch {
	case !booked || now.After(at.Add(n.config.KeptFor)):
		return Unbooked
	case now.Before(at):
		return Early
	}
	delete(n.places, key)
	return Due
}

func (n naive) expire(now time.Time) {
	for key, at := range n.places {
		if now.After(at.Add(n.config.KeptFor)) {
			delete(n.places, key)
		}
	}
}

func (n naive) dueBy(at time.Time) (due int) {
	for _, other := range n.places {
		if !other.After(at) {
			due++
		}
	}
	return due
}

// TestScheduleAgainstTheNaiveVersion books, keeps and gives up places in any order, at gaps
// that change, as rates do.
func TestScheduleAgainstTheNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{MaxPlaces: rapid.IntRange(1, 20).Draw(t, "max places"), KeptFor: time.Duration(rapid.IntRange(0, 50).Draw(t, "kept ms")) * time.Millisecond}
		schedule, reference := New(config), naive{config: config, places: make(map[uint64]time.Time)}
		now := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.IntRange(0, 30).Draw(t, "ms")
			key := rapid.Uint64Range(1, 30).Draw(t, "key")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				if got, want := schedule.Arrive(key, ms(now)), reference.arrive(key, ms(now)); got != want {
					t.Fatalf("request %d arrives as %v, want %v", key, got, want)
				}
			case 1:
				schedule.Expire(ms(now))
				reference.expire(ms(now))
			case 2:
				schedule.Release(key)
				delete(reference.places, key)
			default:
				gap := time.Duration(rapid.IntRange(1, 40).Draw(t, "gap ms")) * time.Millisecond
				earliest := now + rapid.IntRange(0, 60).Draw(t, "earliest")
				latest := now + rapid.IntRange(0, 200).Draw(t, "latest")
				got, booked := schedule.Book(key, ms(earliest), ms(latest), gap)
				want, wantBooked := reference.book(key, ms(earliest), ms(latest), gap)
				if booked != wantBooked || (booked && !got.Equal(want)) {
					t.Fatalf("request %d was told %v (%v), want %v (%v)", key, got.Sub(start), booked, want.Sub(start), wantBooked)
				}
			}
			if schedule.Len() != len(reference.places) || schedule.Len() != len(schedule.byKey) || schedule.Len() > config.MaxPlaces {
				t.Fatalf("%d places and %d keys, want %d", schedule.Len(), len(schedule.byKey), len(reference.places))
			}
			if got, want := schedule.DueBy(ms(now)), reference.dueBy(ms(now)); got != want {
				t.Fatalf("%d places are due, want %d", got, want)
			}
		}
	})
}

package streamorigin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestServedAgainstAPlainHistory lists engines of varying versions and compares the kept versions with
// the whole history. A version that had engines within Retention is known, whenever it left, and one
// that left longer ago is not. What is unchanged is not written.
func TestServedAgainstAPlainHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour
		var served Served
		lastListed := make(map[string]time.Duration)
		var listed []string
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			for _, software := range listed {
				lastListed[software] = now
			}
			listed = listed[:0:0]
			for version := range 4 {
				if rapid.Bool().Draw(t, "listed") {
					listed = append(listed, fmt.Sprint("v", version))
				}
			}
			served, _ = served.Listed(listed, now)
			served, _ = served.Left(listed, now)
			if _, changed := served.Listed(listed, now); changed {
				t.Fatal("the same engines are a change")
			}
			if _, changed := served.Left(listed, now); changed {
				t.Fatal("the same departures are a change")
			}
			known := served.Within(now)
			for version := range 4 {
				software := fmt.Sprint("v", version)
				last, ever := lastListed[software]
				recent := slices.Contains(listed, software) || (ever && now-last <= Retention)
				if recent && !slices.Contains(known, software) {
					t.Fatalf("%s is not known, listed %v ago", software, now-last)
				}
				if !ever && !slices.Contains(listed, software) && slices.Contains(known, software) {
					t.Fatalf("%s is known and was never listed", software)
				}
			}
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "seconds")) * time.Second
		}
	})
}

func TestVersionThatLeftIsKnownForRetention(t *testing.T) {
	served, _ := Served(nil).Listed([]string{"v1", "v2"}, time.Hour)
	served, changed := served.Left([]string{"v2"}, time.Hour)
	if want := (Served{{Software: "v1", LeftAt: time.Hour}, {Software: "v2"}}); !changed || !cmp.Equal(served, want) {
		t.Fatalf("got %v, want %v", served, want)
	}
	if known := served.Within(time.Hour + Retention); !slices.Equal(known, []string{"v1", "v2"}) {
		t.Errorf("after Retention: %v", known)
	}
	if known := served.Within(time.Hour + Retention + 1); !slices.Equal(known, []string{"v2"}) {
		t.Errorf("later: %v", known)
	}
	if again, _ := served.Listed([]string{"v1"}, time.Hour); again[0].LeftAt != 0 {
		t.Error("a version that is listed again counts as having left")
	}
}

// Guards against departures of all versions while the store lists no engine, as after an outage.
func TestVersionsStayWhileNoEngineIsListed(t *testing.T) {
	served := Served{{Software: "v1"}}
	if next, changed := served.Left(nil, time.Hour); changed || !cmp.Equal(next, served) {
		t.Errorf("got %v", next)
	}
}

func TestServedVersionsAreBounded(t *testing.T) {
	var served Served
	now := time.Hour
	for version := range 5 * maxServed {
		listed := []string{fmt.Sprint("v", version)}
		served, _ = served.Listed(listed, now)
		served, _ = served.Left(listed, now)
	}
	if len(served) > maxServed {
		t.Errorf("%d versions are kept", len(served))
	}
	served, _ = served.Listed([]string{"next"}, now+2*Retention)
	if known := served.Within(now + 2*Retention); !slices.Contains(known, "next") {
		t.Errorf("after the former ones have left: %v", known)
	}
}

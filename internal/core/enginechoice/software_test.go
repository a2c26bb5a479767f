package enginechoice

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSoftwareVersionsAgainstTheEngines lists, changes and removes engines, and compares the counted software
// versions with those of the engines. A version that is counted wrongly begins streams before it may, or
// never.
func TestSoftwareVersionsAgainstTheEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, now := NewSet("n"), time.Unix(1000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			entry := Entry{
				ID: fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "engine")), Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"),
				Software: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "software"),
			}
			if known, found := set.Find(entry.Incarnation()); found {
				entry.Pool = known.Entry.Pool
			}
			if rapid.Bool().Draw(t, "remove") {
				set.Remove(entry.Incarnation(), false, now)
			} else {
				set.Upsert(entry, Ready, now)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			for _, pool := range []string{"p", "q"} {
				var expected []string
				for _, listed := range set.List(pool) {
					expected = append(expected, listed.Entry.Software)
				}
				slices.Sort(expected)
				expected = slices.Compact(expected)
				if got := set.SoftwareVersions(pool); !slices.Equal(got, expected) {
					t.Fatalf("versions of %s: %q, want %q", pool, got, expected)
				}
				first := expected[:min(1, len(expected))]
				if got := set.RunsOnly(pool, first); got != (len(expected) <= 1) {
					t.Fatalf("runs only %q: %v, with %q", first, got, expected)
				}
			}
		}
	})
}

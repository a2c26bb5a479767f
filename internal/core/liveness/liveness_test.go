package liveness

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// referenceWatchers is the reference model: it computes the watchers of a node on the whole,
// sorted ring.
func referenceWatchers(ids []string, node string) []string {
	ring := fullRing(ids)
	at := slices.IndexFunc(ring, func(p ringPosition) bool { return p.id == node })
	return watchersOf(ring, at)
}

func fullRing(ids []string) []ringPosition {
	var ring []ringPosition
	for _, id := range ids {
		ring = append(ring, ringPositionOf(id))
	}
	slices.SortFunc(ring, comparePositions)
	return ring
}

// TestWatchersAreThoseOfTheWholeRing compares what each node computes from its neighbors with
// the whole ring: its watchers, the nodes that it watches, and their other watchers.
func TestWatchersAreThoseOfTheWholeRing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "nodes")
		var ids []string
		for i := range count {
			ids = append(ids, fmt.Sprintf("node-%d-%d", i, rapid.IntRange(0, 1000).Draw(t, "salt")))
		}
		now := time.Unix(1_700_000_000, 0)
		for _, self := range ids {
			watch := New(testConfig, self, now)
			watch.SetMembers(ids, now)
			if diff := cmp.Diff(referenceWatchers(ids, self), watch.Watchers()); diff != "" {
				t.Fatalf("%d nodes, watchers of %s: %s", count, self, diff)
			}
			for _, other := range ids {
				expected := referenceWatchers(ids, other)
				known := watch.watched[other]
				if watches := slices.Contains(expected, self); watches != (known != nil) {
					t.Fatalf("%d nodes: %s watches %s: %v, want %v", count, self, other, known != nil, watches)
				}
				if known == nil {
					continue
				}
				expected = slices.DeleteFunc(expected, func(id string) bool { return id == self })
				if diff := cmp.Diff(expected, known.otherWatchers); diff != "" {
					t.Fatalf("%d nodes: other watchers of %s: %s", count, other, diff)
				}
			}
		}
	})
}

func TestVoucherKeepsANodeThatThisOneDoesNotHear(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	watch := New(testConfig, "a", now)
	watch.SetMembers([]string{"a", "b", "c"}, now)
	var dead []string
	for range 200 {
		now = now.Add(step)
		watch.RecordHeartbeat("c", now)
		findings := watch.Tick(now)
		for _, suspicion := range findings.Suspicions {
			if !slices.Equal(suspicion.Others, []string{"c"}) {
				t.Errorf("suspicion of %s names the watchers %v, want c", suspicion.ID, suspicion.Others)
			}
			watch.Vouch(suspicion.ID, 100*time.Millisecond, now)
		}
		dead = append(dead, findings.Dead...)
	}
	if len(dead) > 0 {
		t.Errorf("presumed dead: %v", dead)
	}
}

// BenchmarkSetMembers measures a change of the member list.
func BenchmarkSetMembers(b *testing.B) {
	for _, nodes := range []int{100, 1000, 2000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			var ids []string
			for i := range nodes {
				ids = append(ids, fmt.Sprintf("front-some-hall-%d/01JE0000000000000000000000", i))
			}
			watch := New(testConfig, ids[0], time.Now())
			for b.Loop() {
				watch.SetMembers(ids, time.Now())
			}
		})
	}
}

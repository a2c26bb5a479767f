package limits

import (
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/policy"
)

// TestPermitsAreNotUsedAfterASuspension: a node that held permits of a concurrency was suspended
// for longer than their lease of 60 s. Its owner lent them to others; the node's own clock had
// stood still, so that it took them for fresh, and for up to 20 s (renew_interval) admitted as
// many requests beyond the limit as it had held.
func TestPermitsAreNotUsedAfterASuspension(t *testing.T) {
	const limit = 6
	row := policy.Row{ID: "r", Limits: policy.Limits{Concurrency: limit}}
	runLimitFleet(t, 3, row, func(f *limitFleet, row policy.Row) {
		owner, _ := f.nodes[0].ownership.owners(meterKey{row: row.ID}.ownerKey())
		sleeper, other := -1, -1
		for i, bus := range f.buses {
			switch {
			case bus.Self() == owner:
			case sleeper < 0:
				sleeper = i
			default:
				other = i
			}
		}
		releases := admitted(f, sleeper, row, limit)
		if len(releases) != limit {
			t.Fatalf("%d admitted", len(releases))
		}
		for _, release := range releases {
			release(0) // the permits stay here for the next requests
		}
		f.network.Kill(f.buses[sleeper].Self())
		time.Sleep(3 * time.Minute)
		if got := len(admitted(f, other, row, limit)); got != limit {
			t.Fatalf("%d admitted elsewhere", got)
		}
		if got := len(admitted(f, sleeper, row, limit)); got != 0 {
			t.Fatalf("%d admitted by a node that hears nobody", got)
		}
		// The test's clocks cannot stand still for one node: its lease is begun anew.
		f.nodes[sleeper].mu.Lock()
		for _, m := range f.nodes[sleeper].meters {
			m.permits.Ask(time.Now(), limit)
			m.permits.Receive(time.Now(), m.permits.Sequence(), limit, 0)
		}
		f.nodes[sleeper].mu.Unlock()
		f.clocks[sleeper].Suspend(3 * time.Minute)
		if got := len(admitted(f, sleeper, row, limit)); got != 0 {
			t.Errorf("%d admitted beyond the limit", got)
		}
	})
}

// admitted has a node admit requests until one is refused, or so many.
func admitted(f *limitFleet, node int, row policy.Row, most int) []func(int) {
	var releases []func(int)
	for len(releases) < most {
		release, decision := f.nodes[node].Admit(row, "t", 1)
		if !decision.Allowed {
			break
		}
		releases = append(releases, release)
	}
	return releases
}

package limits

import (
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/policy"
)

// TestPermitsAreNotUsedAfterASuspension guards against overshoot after a node
// that holds permits of a concurrency limit was suspended for longer than their
// lease of 60 s. The owner lends the permits to other nodes in the meantime, but
// the clock of the suspended node stands still, so it takes its permits for
// fresh. For up to 20 s (renew_interval) it admitted as many requests beyond the
// limit as it held permits.
func TestPermitsAreNotUsedAfterASuspension(t *testing.T) {
	const limit = 6
	row := policy.Row{ID: "r", Limits: policy.Limits{Concurrency: limit}}
	runLimitFleet(t, 3, row, func(f *limitFleet, row policy.Row) {
		owner, _ := f.nodes[0].ownership.owners(meterKey{row: row.ID}.ownerKey())
		suspended, other := -1, -1
		for i, bus := range f.buses {
			switch {
			case bus.Self() == owner:
			case suspended < 0:
				suspended = i
			default:
				other = i
			}
		}
		releases := admitUpTo(f, suspended, row, limit)
		if len(releases) != limit {
			t.Fatalf("%d requests admitted before the suspension", len(releases))
		}
		for _, release := range releases {
			release(0) // the node keeps the permits for its next requests
		}
		f.network.Kill(f.buses[suspended].Self())
		time.Sleep(3 * time.Minute)
		if got := len(admitUpTo(f, other, row, limit)); got != limit {
			t.Fatalf("%d requests admitted by another node during the suspension", got)
		}
		if got := len(admitUpTo(f, suspended, row, limit)); got != 0 {
			t.Fatalf("%d requests admitted by an isolated node whose lease has expired, want 0", got)
		}
		// The test's virtual clock cannot stop for a single node. A renewed lease has
		// the same effect.
		f.nodes[suspended].mu.Lock()
		for _, m := range f.nodes[suspended].meters {
			m.permits.Ask(time.Now(), limit)
			m.permits.Receive(time.Now(), m.permits.Sequence(), limit, 0)
		}
		f.nodes[suspended].mu.Unlock()
		f.clocks[suspended].Suspend(3 * time.Minute)
		if got := len(admitUpTo(f, suspended, row, limit)); got != 0 {
			t.Errorf("%d requests admitted beyond the limit after the suspension", got)
		}
	})
}

// admitUpTo sends requests to a node until one is refused or count are admitted,
// and returns the release functions of those admitted.
func admitUpTo(f *limitFleet, node int, row policy.Row, count int) []func(int) {
	var releases []func(int)
	for len(releases) < count {
		release, decision := f.nodes[node].Admit(row, "t", 1)
		if !decision.Allowed {
			break
		}
		releases = append(releases, release)
	}
	return releases
}

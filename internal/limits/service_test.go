package limits

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/peer/peertest"
	"ringstream.example/ringstream/internal/suspension"
	"ringstream.example/ringstream/internal/suspension/suspensiontest"
)

// fixedRows is a table source whose only row the tests set.
type fixedRows struct {
	mu    sync.Mutex
	table *policy.Table
}

func (f *fixedRows) Table() *policy.Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table
}

func (f *fixedRows) set(row policy.Row) policy.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	row.Revision = 1
	if f.table != nil {
		row.Revision = f.table.Revision() + 1
	}
	f.table = policy.NewTable(row.Revision, []policy.Row{row})
	return row
}

// limitFleet is a fleet of nodes that share an in-memory network and a table.
type limitFleet struct {
	network *peertest.Network
	rows    *fixedRows
	nodes   []*Service
	buses   []*peertest.Node
	clocks  []*suspensiontest.Clock // one per node
}

func runLimitFleet(t *testing.T, count int, row policy.Row, test func(f *limitFleet, row policy.Row)) {
	synctest.Test(t, func(t *testing.T) {
		f := &limitFleet{network: peertest.New(peertest.Options{Seed: 5, CountBytes: true}), rows: &fixedRows{}}
		row = f.rows.set(row)
		for i := range count {
			f.buses = append(f.buses, f.network.Add(membership.Member{ID: identity.NodeID(fmt.Sprintf("n%03d", i))}))
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, bus := range f.buses {
			service := New(DefaultConfig(), bus, f.rows, nil, nil)
			clock := &suspensiontest.Clock{}
			service.SetSuspensionWatch(suspension.NewWatch(clock))
			f.clocks = append(f.clocks, clock)
			f.nodes = append(f.nodes, service)
			running.Go(func() { _ = service.Run(ctx) })
		}
		time.Sleep(20 * time.Second)
		test(f, row)
		cancel()
		running.Wait()
	})
}

// traffic returns what each node has sent so far.
func (f *limitFleet) traffic() []peertest.Traffic {
	sent := make([]peertest.Traffic, len(f.buses))
	for i, bus := range f.buses {
		sent[i] = bus.Traffic()
	}
	return sent
}

// offer sends requests to a node at a fixed rate and returns the number admitted.
func offer(f *limitFleet, node int, row policy.Row, tokens int, perSecond float64, duration time.Duration) int {
	admitted := 0
	for end := time.Now().Add(duration); time.Now().Before(end); {
		if release, decision := f.nodes[node].Admit(row, "t", tokens); decision.Allowed {
			admitted++
			release(tokens)
		}
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	return admitted
}

func TestEachLimitRefusesWithItsNameAndRetryAfter(t *testing.T) {
	cases := []struct {
		name                     string
		limits                   policy.Limits
		minAdmitted, maxAdmitted int // without waiting: the burst, and at most the standing shares in addition
		want                     string
	}{
		{"requests", policy.Limits{RequestsPerSecond: 5}, 5, 30, "requests_per_second"},
		{"tokens", policy.Limits{TokensPerSecond: 500}, 5, 30, "tokens_per_second"},
		{"concurrency", policy.Limits{Concurrency: 3}, 3, 3, "concurrency"},
	}
	for _, c := range cases {
		for _, scope := range []string{"row", "tenant"} {
			row := policy.Row{ID: "r", Limits: c.limits}
			if scope == "tenant" {
				row.Limits, row.TenantLimits = policy.Limits{}, c.limits
			}
			for _, count := range []int{1, 3} {
				t.Run(fmt.Sprint(scope, " ", c.name, " ", count), func(t *testing.T) {
					runLimitFleet(t, count, row, func(f *limitFleet, row policy.Row) {
						checkRefusal(t, f, row, c.minAdmitted, c.maxAdmitted, scope+" "+c.want)
					})
				})
			}
		}
	}
}

func checkRefusal(t *testing.T, f *limitFleet, row policy.Row, minAdmitted, maxAdmitted int, limit string) {
	var last func(int)
	admitted := 0
	for range 200 {
		release, decision := f.nodes[0].Admit(row, "t", 100)
		if !decision.Allowed {
			if decision.Limit != limit || decision.RetryAfter <= 0 {
				t.Fatalf("refused by limit %q with RetryAfter %s", decision.Limit, decision.RetryAfter)
			}
			break
		}
		admitted++
		last = release
	}
	if admitted < minAdmitted || admitted > maxAdmitted {
		t.Fatalf("%d admitted at once, want %d to %d", admitted, minAdmitted, maxAdmitted)
	}
	last(100)
	time.Sleep(2 * time.Second)
	if _, decision := f.nodes[0].Admit(row, "t", 100); !decision.Allowed {
		t.Errorf("still refused two seconds later: %+v", decision)
	}
}

func TestOneBusyNodeGetsNearlyTheWholeLimit(t *testing.T) {
	for _, count := range []int{3, 18} {
		runLimitFleet(t, count, policy.Row{ID: "r", Limits: policy.Limits{RequestsPerSecond: 50}}, func(f *limitFleet, row policy.Row) {
			offer(f, 1, row, 10, 100, 5*time.Second)
			got := offer(f, 1, row, 10, 100, 20*time.Second)
			if got < 900 || got > 1060 {
				t.Errorf("%d nodes: %d admitted in 20 s under a limit of 50 per second, want 900 to 1060", count, got)
			}
		})
	}
}

func TestConcurrencyIsHeldAcrossNodes(t *testing.T) {
	runLimitFleet(t, 5, policy.Row{ID: "r", Limits: policy.Limits{Concurrency: 12}}, func(f *limitFleet, row policy.Row) {
		running := 0
		var releases []func(int)
		for round := range 40 {
			if release, decision := f.nodes[round%5].Admit(row, "t", 1); decision.Allowed {
				running++
				releases = append(releases, release)
			}
		}
		if running != 12 {
			t.Errorf("%d requests run under a concurrency limit of 12", running)
		}
		time.Sleep(time.Minute) // renewals keep the permits of running requests
		if _, decision := f.nodes[3].Admit(row, "t", 1); decision.Allowed {
			t.Error("a 13th request was admitted under a concurrency limit of 12")
		}
		for _, release := range releases {
			release(1)
		}
		time.Sleep(5 * time.Second) // idle permits are returned
		again := 0
		for range 40 {
			if _, decision := f.nodes[4].Admit(row, "t", 1); decision.Allowed {
				again++
			}
		}
		if again != 12 {
			t.Errorf("one node got %d of the 12 permits that the others returned", again)
		}
	})
}

func TestOwnerLossIsBridgedByItsDeputy(t *testing.T) {
	row := policy.Row{ID: "r", Limits: policy.Limits{RequestsPerSecond: 50}}
	runLimitFleet(t, 7, row, func(f *limitFleet, row policy.Row) {
		owner, _ := f.nodes[0].ownership.owners(meterKey{row: "r"}.ownerKey())
		borrower := 0
		if f.buses[0].Self() == owner {
			borrower = 1
		}
		offer(f, borrower, row, 1, 100, 5*time.Second)
		f.network.Kill(owner)
		got := offer(f, borrower, row, 1, 100, 5*time.Second) // the membership does not list it as dead yet
		if got < 125 || got > 500 {
			t.Errorf("%d admitted in 5 s after the loss of the owner, under a limit of 50 per second, want 125 to 500", got)
		}
		f.network.SetState(owner, membership.Dead)
		got = offer(f, borrower, row, 1, 100, 10*time.Second)
		if got < 450 || got > 600 {
			t.Errorf("%d admitted in 10 s under the new owner, want 450 to 600", got)
		}
	})
}

func TestLoweredLimitIsInForceAtOnce(t *testing.T) {
	row := policy.Row{ID: "r", Limits: policy.Limits{RequestsPerSecond: 200}}
	runLimitFleet(t, 3, row, func(f *limitFleet, row policy.Row) {
		offer(f, 0, row, 1, 300, 5*time.Second)
		row.Limits.RequestsPerSecond = 10
		row = f.rows.set(row)
		if got := offer(f, 0, row, 1, 300, 5*time.Second); got > 90 {
			t.Errorf("%d admitted in 5 s after the limit was lowered from 200 to 10, want at most 90", got)
		}
	})
}

func TestIdleLimitsCostNothing(t *testing.T) {
	row := policy.Row{ID: "r", TenantLimits: policy.Limits{RequestsPerSecond: 500, TokensPerSecond: 1e6}}
	runLimitFleet(t, 3, row, func(f *limitFleet, row policy.Row) {
		for tenant := range 2600 {
			if release, decision := f.nodes[0].Admit(row, identity.TenantID(fmt.Sprint("tenant", tenant)), 100); decision.Allowed {
				release(100)
			}
		}
		time.Sleep(2 * time.Minute)
		before := f.buses[0].Traffic()
		time.Sleep(time.Minute)
		f.nodes[0].mu.Lock()
		defer f.nodes[0].mu.Unlock()
		if after := f.buses[0].Traffic(); after != before || len(f.nodes[0].meters) != 0 || len(f.nodes[0].lenders) != 0 {
			t.Errorf("idle limits caused %d messages, %d meters and %d lenders remain", after.Messages-before.Messages, len(f.nodes[0].meters), len(f.nodes[0].lenders))
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	row := policy.Row{ID: "r", Limits: policy.Limits{RequestsPerSecond: 1e9, TokensPerSecond: 1e12, Concurrency: 1000}}
	rows := &fixedRows{}
	row = rows.set(row)
	bus := peertest.New(peertest.Options{}).Add(membership.Member{ID: "n"})
	service := New(DefaultConfig(), bus, rows, nil, nil)
	b.ReportAllocs()
	for b.Loop() {
		release, decision := service.Admit(row, "t", 100)
		if !decision.Allowed {
			b.Fatal(decision)
		}
		release(100)
	}
}

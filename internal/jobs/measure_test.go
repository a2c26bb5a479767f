package jobs

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/peer/peertest"
	"ringstream.example/ringstream/internal/store"
)

// TestStoreCallsPerItem measures, in virtual time, the store calls per item of one
// node at its share of the target rate (1,620 items/s over 340 nodes: 4.8 items/s)
// and above it. docs/CAPACITY.md quotes the log lines.
func TestStoreCallsPerItem(t *testing.T) {
	cases := []struct {
		interval time.Duration
		slots    int // each item takes a second, so this is also the rate in items/s
	}{
		{500 * time.Millisecond, 5}, {time.Second, 5}, {2 * time.Second, 5}, {2 * time.Second, 50},
	}
	for _, test := range cases {
		t.Run(fmt.Sprintf("%s/%d", test.interval, test.slots), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				const items = 1200
				c := newCluster(t, 1, func(config *Config) { config.CommitInterval = test.interval })
				defer c.close()
				c.engines.addFree(test.slots - 32)
				commits, puts := c.fleet.Table.Faults.Calls()["commit"], c.fleet.Objects.Faults.Calls()["put"]
				start := time.Now()
				job := c.submit(c.nodes[0], "k", items, true)
				c.await(c.nodes[0], job.ID, time.Hour)
				elapsed := time.Since(start).Seconds()
				all := c.fleet.Table.Faults.Calls()["commit"] - commits
				perItem := float64(all) / items
				objects := float64(c.fleet.Objects.Faults.Calls()["put"]-puts) / items
				t.Logf("%s interval, %.1f items/s: %.4f transactions/item with the renewals, %.4f objects/item, %.2f transactions/s",
					test.interval, items/elapsed, perItem, objects, float64(all)/elapsed)
				// One transaction and one object per interval, independent of the number
				// of items, plus those of the acceptance, the input and the last outcomes.
				const otherCalls = 5
				maxCalls := elapsed/test.interval.Seconds() + otherCalls
				if float64(all) > maxCalls || objects*items > maxCalls {
					t.Errorf("%d transactions and %.0f objects, want at most %.1f of each", all, objects*items, maxCalls)
				}
			})
		})
	}
}

// countingObjects discards the objects that are written, and measures the heap at
// each write.
type countingObjects struct {
	backend.Objects
	base, peak uint64
	bytes      int
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Put implements backend.Objects.
func (o *countingObjects) Put(_ context.Context, _ string, body []byte) error {
	o.bytes += len(body)
	o.peak = max(o.peak, heap())
	return nil
}

// generatedItems generates the lines of a submission while it is read.
type generatedItems struct {
	items, next int
	prompt      string
	line        []byte
}

// Read implements io.Reader.
func (g *generatedItems) Read(p []byte) (int, error) {
	if len(g.line) == 0 {
		if g.next == g.items {
			return 0, io.EOF
		}
		g.line = fmt.Appendf(nil, `{"custom_id":"item-%d","prompt":"%s","max_tokens":200}`+"\n", g.next, g.prompt)
		g.next++
	}
	n := copy(p, g.line)
	g.line = g.line[n:]
	return n, nil
}

// TestTheLargestJobIsAcceptedInBoundedMemory accepts 72,000 items of 0.8 KB and
// measures the heap at each object that is written.
//
// It does not run in parallel with other tests, whose heap it would measure too.
func TestTheLargestJobIsAcceptedInBoundedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, nil)
		defer c.close()
		objects := &countingObjects{}
		network := peertest.New(peertest.Options{})
		manager := New(DefaultConfig(), Dependencies{
			Store: store.New(c.clients.Table), Objects: objects,
			Bus: network.Add(membership.Member{ID: "taker"}), Batch: gatedBatch{newGate(), c.engines}, Rows: fixedRows{},
		}, zap.NewNop(), nil)
		objects.base = heap()
		items := &generatedItems{items: 72_000, prompt: strings.Repeat("x", 800)}
		job, _, err := manager.Submit(t.Context(), Submission{Tenant: tenant, Key: "large", Model: "m", Repeatable: true, Items: items})
		if err != nil || job.Total != 72_000 {
			t.Fatalf("%+v, %v", job, err)
		}
		added := float64(objects.peak-objects.base) / (1 << 20)
		t.Logf("%d MB of items accepted with %.1f MB added to the heap at most", objects.bytes>>20, added)
		const maxMB = 64
		if added > maxMB {
			t.Errorf("%.1f MB were added to the heap, want at most %d", added, maxMB)
		}
	})
}

// Guards against shards of one claim that are passed to the runner one by one. Three nodes start one
// after the other, and each knows only those before it. When the shards were passed one by one, the
// first woke the reader of open jobs, which made a separate list for each of up to 15 shards passed by
// then. A start usually took 37 lists, up to 103, and 20 of 240 starts under the race detector
// exceeded the bound. With the shards passed in one call, all 240 starts took 21 lists each.
func TestAColdStartTakesFewStoreCalls(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0, func(config *Config) { config.Shards = 1024 })
		defer c.close()
		const nodes = 3
		for range nodes {
			c.add()
			advance(400 * time.Millisecond)
		}
		advance(7 * time.Second)
		held := 0
		for _, node := range c.nodes {
			held += len(node.HeldShards())
		}
		calls := c.fleet.Table.Faults.Calls()
		t.Logf("%d shards held after %d commits, %d gets and %d lists", held, calls["commit"], calls["get"], calls["list"])
		if held != 1024 || calls["commit"] > 60 || calls["get"]+calls["list"] > 60 {
			t.Error("too many store calls, or not every shard is held")
		}
	})
}

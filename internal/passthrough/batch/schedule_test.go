package batch

import (
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/catalog"
)

// TestItemOfANewRouteIsNotGivenUp: a job that another node accepted under a new configuration
// came to a node that had an older one, since the store's two feeds are heard apart. Its items
// have no route there, and were listed as given up for good, within one look for work (40 ms).
func TestItemOfANewRouteIsNotGivenUp(t *testing.T) {
	service := newTestService(&takingStore{})
	got := time.Now()
	service.adopt(testRecord(1), 1, make([]passthrough.Item, 1))
	job := service.ownedJobs()[0]
	next := candidate{job: job}
	table := passroute.NewTable(1, nil, nil, passroute.Limits{}, passroute.Tenants{})
	finished := func() passjob.ItemState {
		service.mu.Lock()
		defer service.mu.Unlock()
		return job.work[0].finished
	}
	if _, found := service.routeOf(catalog.Known{Table: table, AsOf: got.Add(-time.Second)}, next); found || finished() != passjob.Open {
		t.Errorf("by routes from before the job came: found %v, state %v", found, finished())
	}
	if _, found := service.routeOf(catalog.Known{Table: table, AsOf: time.Now().Add(time.Second)}, next); found || finished() != passjob.DeadLetter {
		t.Errorf("by routes that were the newest after it came: found %v, state %v", found, finished())
	}
}

package batch

import (
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/catalog"
)

// TestItemOfANewRouteIsNotGivenUp guards against losing items during a change of configuration. The
// store's two feeds are independent, so a node with an older configuration can get a job that
// another node accepted under a newer one. The job's items had no route there and became dead
// letters within one scheduling interval (40 ms).
func TestItemOfANewRouteIsNotGivenUp(t *testing.T) {
	service := newTestService(&acceptingStore{})
	acquired := time.Now()
	service.adopt(testRecord(1), 1, make([]passthrough.Item, 1))
	job := service.ownedJobs()[0]
	next := candidate{job: job}
	table := passroute.NewTable(1, nil, nil, passroute.Limits{}, passroute.Tenants{})
	finished := func() passjob.ItemState {
		service.mu.Lock()
		defer service.mu.Unlock()
		return job.work[0].finished
	}
	if _, found := service.routeOf(catalog.RoutesView{Table: table, AsOf: acquired.Add(-time.Second)}, next); found || finished() != passjob.Open {
		t.Errorf("routes older than the job: found %v, state %v", found, finished())
	}
	if _, found := service.routeOf(catalog.RoutesView{Table: table, AsOf: time.Now().Add(time.Second)}, next); found || finished() != passjob.DeadLetter {
		t.Errorf("routes newer than the job: found %v, state %v", found, finished())
	}
}

// TestItemIsNotGivenUpBeforeItsExpiry guards against items expiring too early. The node's estimate
// of the store's clock is never behind, and ahead by up to the duration of the quickest call of the
// last half minute: up to 1.9 s for a slow store (Wait and Slack of the feed). Items became dead
// letters by that much before their expiry.
func TestItemIsNotGivenUpBeforeItsExpiry(t *testing.T) {
	const expiry, ahead = time.Minute, 1500 * time.Millisecond
	service := newTestService(&acceptingStore{})
	record := testRecord(1)
	record.AcceptedAt, record.Expiry = time.Hour-expiry+time.Second, expiry // the job expires in one second
	service.adopt(record, 1, make([]passthrough.Item, 1))
	job := service.ownedJobs()[0]
	for _, test := range []struct {
		age  time.Duration // how long ago the answer with the clock may have been made
		want passjob.ItemState
	}{{ahead, passjob.Open}, {time.Second + 2*service.maxClockLead(), passjob.DeadLetter}} {
		service.setStoreClock(time.Hour, time.Now().Add(-test.age))
		service.expireOverdue()
		service.mu.Lock()
		if got := job.work[0].finished; got != test.want {
			t.Errorf("answer made %v ago: state %v, want %v", test.age, got, test.want)
		}
		service.mu.Unlock()
	}
}

func TestTenantsTakeTurns(t *testing.T) {
	first, second := &ownedJob{tenant: "a"}, &ownedJob{tenant: "b"}
	list := []candidate{
		{job: first, index: 0},
		{job: first, index: 1},
		{job: first, index: 2},
		{job: second, index: 0},
		{job: second, index: 1},
		{job: first, index: 3, rank: 1},
		{job: second, index: 2, late: true},
	}
	takeTurns(list)
	for i, next := range []candidate{
		{job: first, index: 0},
		{job: second, index: 0},
		{job: first, index: 1},
		{job: second, index: 1},
		{job: first, index: 2},
		{job: first, index: 3, rank: 1},
		{job: second, index: 2, late: true},
	} {
		if list[i].key() != next.key() {
			t.Errorf("place %d: item %d of tenant %s, want item %d of tenant %s", i, list[i].index, list[i].job.tenant, next.index, next.job.tenant)
		}
	}
}

package fairshares_test

import (
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/fairshares"
	"ringstream.example/ringstream/internal/core/grant"
)

// run is a request at a slot.
type run struct {
	request *grant.Waiting
	charge  grant.SlotCharge
	since   time.Time
}

// job is a request that a tenant sends. Its size in tokens is the time for which it holds a slot,
// in milliseconds.
type job struct {
	owner     uint64
	at        time.Duration // from start
	tokens    int
	objective time.Duration
}

// slotLane is a lane with one queue in virtual time, which grants slots in the order of the shares.
type slotLane struct {
	order  *fairshares.Order
	slots  int
	limit  int // longest queue; the requests at its end are dropped. 0: no limit
	queue  []*grant.Waiting
	runs   []run
	served map[uint64]time.Duration // slot time of granted requests by tenant
	wait   map[uint64]time.Duration // of each granted request by Waiting.ID
	// overtaken counts, for each waiting request, the grants to each other tenant since it came.
	overtaken map[uint64]map[uint64]int
	dropped   map[uint64]int // by tenant
}

func newSlotLane(slots int, weights map[uint64]float64) *slotLane {
	lane := &slotLane{
		order: fairshares.New(), slots: slots, served: make(map[uint64]time.Duration), wait: make(map[uint64]time.Duration),
		overtaken: make(map[uint64]map[uint64]int), dropped: make(map[uint64]int),
	}
	lane.order.SetTenants(parts(weights, 0))
	return lane
}

// parts returns the parts of tenants with weights and one burst.
func parts(weights map[uint64]float64, burst float64) map[uint64]grant.TenantPart {
	tenants := make(map[uint64]grant.TenantPart)
	for owner, weight := range weights {
		tenants[owner] = grant.TenantPart{Weight: weight, Burst: burst}
	}
	return tenants
}

// learn lets the order learn how long requests of the sizes hold their slots.
func (l *slotLane) learn(sizes ...int) {
	const stranger = 1 << 40
	for _, tokens := range sizes {
		charge := l.order.Granted(&grant.Waiting{Owner: stranger, MemoryTokens: tokens}, start)
		l.order.Finished(grant.SlotUse{SlotCharge: charge, Held: heldFor(tokens), Complete: true}, start)
	}
}

func heldFor(tokens int) time.Duration { return time.Duration(tokens) * time.Millisecond }

// play sends jobs, which are sorted by time, and runs the lane until a time.
func (l *slotLane) play(jobs []job, until time.Duration) {
	for next := 0; ; {
		now := start.Add(until)
		if next < len(jobs) && start.Add(jobs[next].at).Before(now) {
			now = start.Add(jobs[next].at)
		}
		for _, ends := range l.runs {
			if at := ends.since.Add(heldFor(ends.request.MemoryTokens)); at.Before(now) {
				now = at
			}
		}
		if !now.Before(start.Add(until)) {
			return
		}
		l.end(now)
		for ; next < len(jobs) && !start.Add(jobs[next].at).After(now); next++ {
			sent := jobs[next]
			l.queue = append(l.queue, &grant.Waiting{ID: uint64(next), Owner: sent.owner, MemoryTokens: sent.tokens, Since: now, Deadline: now.Add(sent.objective)}) //nolint:gosec // not negative
		}
		l.grant(now)
	}
}

// end ends the requests whose time is over.
func (l *slotLane) end(now time.Time) {
	l.runs = slices.DeleteFunc(l.runs, func(running run) bool {
		held := now.Sub(running.since)
		if held < heldFor(running.request.MemoryTokens) {
			return false
		}
		l.order.Finished(grant.SlotUse{SlotCharge: running.charge, Held: held, Complete: true}, now)
		return true
	})
}

// grant gives the free slots to the first requests of the queue and drops the last ones.
func (l *slotLane) grant(now time.Time) {
	for _, request := range l.queue {
		request.InTime = !now.After(request.Deadline)
	}
	l.order.Arrange(l.queue, now)
	for len(l.runs) < l.slots && len(l.queue) > 0 {
		request := l.queue[0]
		l.queue = l.queue[1:]
		l.runs = append(l.runs, run{request: request, charge: l.order.Granted(request, now), since: now})
		l.served[request.Owner] += heldFor(request.MemoryTokens)
		l.wait[request.ID] = now.Sub(request.Since)
		for _, other := range l.queue {
			if other.Owner != request.Owner && other.Since.Before(now) {
				if l.overtaken[other.ID] == nil {
					l.overtaken[other.ID] = make(map[uint64]int)
				}
				l.overtaken[other.ID][request.Owner]++
			}
		}
	}
	l.order.Arrange(l.queue, now)
	for l.limit > 0 && len(l.queue) > l.limit {
		last := l.queue[len(l.queue)-1]
		l.dropped[last.Owner]++
		l.queue = l.queue[:len(l.queue)-1]
	}
}

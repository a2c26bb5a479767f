package batch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/ordering"
	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/core/tenant"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/passthrough/guard"
	"ringstream.example/ringstream/internal/passthrough/slots"
)

// scheduleInterval is the longest pause between two scheduling passes. idleScheduleInterval applies
// to a node that owns no job, which is woken when it gets one. Of some 75 wake-ups a second on an
// idle node, 25 were for jobs that it did not have.
const (
	scheduleInterval     = 40 * time.Millisecond
	idleScheduleInterval = 500 * time.Millisecond
)

// promptRetention is how long an engine is assumed to keep the prompt of a run that was stopped
// there.
const promptRetention = 5 * time.Second

// candidate is an item that can be scheduled now.
type candidate struct {
	job      *ownedJob
	index    int
	rank     int           // priority of its tenant; 0 is the highest
	deadline time.Duration // on the store's clock
	late     bool          // it is forecast to miss its deadline
	hasText  bool          // it goes on after the events of earlier runs
	// lastEngine is the engine that last ran the item and may still keep its prompt.
	lastEngine enginechoice.Incarnation
}

// schedule requests slots for open items until ctx ends.
func (s *Service) schedule(ctx context.Context) error {
	timer := time.NewTimer(scheduleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-s.wake:
		}
		timer.Reset(s.loopInterval(scheduleInterval, s.ownsJobs()))
		s.suspensionWatch.Check()
		s.expireOverdue()
		if s.stale() || !s.settled(time.Now()) {
			s.Slots.SetBatchRequests(nil)
			continue
		}
		s.requestSlots()
	}
}

// loopInterval returns the pause between two passes of a loop: short while the node is busy,
// idleScheduleInterval otherwise.
func (s *Service) loopInterval(short time.Duration, busy bool) time.Duration {
	if busy {
		return short
	}
	return idleScheduleInterval
}

func (s *Service) ownsJobs() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.owned) > 0
}

// settled reports whether the node has been up long enough to know the other nodes. When all nodes
// start at once, the first ones know no other node, and each would act as the dispatcher of every
// lane for itself.
func (s *Service) settled(now time.Time) bool { return now.Sub(s.started) >= s.config.StartupDelay }

// routeOf returns the route of an item. An item without a route becomes a dead letter, but only if
// the routes were current at a time at which this node already had the job: the node that accepted
// the job may have known newer routes.
func (s *Service) routeOf(known catalog.RoutesView, next candidate) (*passroute.Route, bool) {
	route, found := known.Table.Lookup(next.job.host, next.job.items[next.index].Path)
	if !found && known.AsOf.After(next.job.acquiredAt) {
		s.finish(next.job, next.index, passjob.DeadLetter, "the route is gone")
	}
	return route, found
}

// heldRecheckInterval is the pause between two checks whether a held item may run.
const heldRecheckInterval = time.Second

// holdIfOrdered reports whether an item must not run because an operator has blocked its content or a part
// of its prompt. A held item stays open until its job expires or the block ends.
func (s *Service) holdIfOrdered(next candidate, identity quarantine.Identity, state guard.ItemState) bool {
	held := state.Order.Blocked
	s.mu.Lock()
	work := &next.job.work[next.index]
	changed := work.held != held
	work.held = held
	if held {
		work.notBefore = time.Now().Add(heldRecheckInterval)
	}
	s.mu.Unlock()
	if changed {
		events.ItemHeld.Log(s.Logger, zap.String("job", next.job.id), zap.String("request", next.job.itemIDs[next.index]), zap.Int64("epoch", next.job.epoch), zap.Bool("held", held),
			zap.Stringer("content", identity.Content), zap.Stringer("blocked", state.On), zap.Duration("for", max(time.Until(state.Order.Until), 0)))
	}
	return held
}

// pauseAfterCrash reports whether an item must not run yet because an engine has ended under it.
func (s *Service) pauseAfterCrash(next candidate, identity quarantine.Identity, state guard.ItemState) bool {
	pause := time.Until(state.NotBefore)
	if pause <= 0 {
		return false
	}
	s.mu.Lock()
	work := &next.job.work[next.index]
	isNew := work.pausedFor != state.Crashes
	work.pausedFor = state.Crashes
	s.mu.Unlock()
	if isNew {
		events.ItemPaused.Log(s.Logger, zap.String("job", next.job.id), zap.String("request", next.job.itemIDs[next.index]), zap.Int64("epoch", next.job.epoch),
			zap.Stringer("content", identity.Content), zap.Int("crashes", state.Crashes), zap.Duration("for", pause))
	}
	return true
}

// candidates returns the items that can run. Items on time come before late ones; within each group
// they are ordered by tenant priority, deadline and position in the job.
func (s *Service) candidates(tenants *tenant.Directory) []candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return nil
	}
	now, storeNow := time.Now(), s.storeClockLocked()
	var list []candidate
	for _, job := range s.owned {
		if job.items == nil || job.record.Ended {
			continue
		}
		rank := tenantRank(tenants, job.tenant)
		for index := range job.work {
			work := &job.work[index]
			if job.record.Items[index].State == passjob.Open && work.finished == passjob.Open && !work.running && !work.failurePending && !now.Before(work.notBefore) {
				next := candidate{job: job, index: index, rank: rank, deadline: job.deadline(), hasText: work.text.events > 0, late: job.missesDeadline(storeNow, s.forecast.remainingWithMargin(work.text.events))}
				if now.Sub(work.preemptedAt) < promptRetention {
					next.lastEngine = work.engine
				}
				list = append(list, next)
			}
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(ordering.FalseFirst(a.late, b.late), cmp.Compare(a.rank, b.rank), cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.index, b.index))
	})
	return list
}

// takeTurns lets tenants of one priority take turns in a list of candidates, so that one tenant's
// items do not take all of the node's slot requests. Each tenant's items keep their order.
func takeTurns(list []candidate) {
	type group struct {
		late   bool
		rank   int
		tenant string
	}
	taken := make(map[group]int)
	turns := make(map[workKey]int, len(list))
	for _, next := range list {
		key := group{next.late, next.rank, next.job.tenant}
		turns[next.key()] = taken[key]
		taken[key]++
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(ordering.FalseFirst(a.late, b.late), cmp.Compare(a.rank, b.rank), cmp.Compare(turns[a.key()], turns[b.key()]))
	})
}

// workKey identifies an item of a job of this node.
type workKey struct {
	job   *ownedJob
	index int
}

func (c candidate) key() workKey { return workKey{c.job, c.index} }

// tenantRank returns the priority of a tenant. An unknown tenant, or none, gets the highest.
func tenantRank(tenants *tenant.Directory, name string) int {
	if holder, found := tenants.ByName(name); found {
		return holder.Priority
	}
	return 0
}

// resolvedRoute is the route that an item runs on, with the version and the time of the route table
// it comes from.
type resolvedRoute struct {
	route   *passroute.Route
	version int64
	learned time.Time
}

// startItem runs an item that was granted a slot. It returns false if the item no longer waits for
// the slot.
func (s *Service) startItem(next candidate, requestID uint64, decision slots.Decision, routes resolvedRoute) bool {
	item := next.job.items[next.index]
	s.mu.Lock()
	work := &next.job.work[next.index]
	stillWaiting := !s.leaving && work.slotRequestID == requestID && !work.running && work.finished == passjob.Open && next.job.runContext.Err() == nil
	if stillWaiting && !work.text.mayGoOnAt(decision.Choice.Entry.Software) {
		work.slotRequestID, stillWaiting = 0, false // the next request names the version
	}
	if !stillWaiting {
		s.mu.Unlock()
		return false
	}
	ctx, stop := context.WithCancel(next.job.runContext)
	work.running, work.slotRequestID, work.slotPool, work.slot, work.engine, work.cancelRun = true, 0, "", decision.Slot, decision.Choice.Entry.Incarnation(), stop
	work.firstEventAt = time.Time{}
	lastEvent := work.text.lastEvent
	s.running.Add(1)
	s.mu.Unlock()
	events.ItemStarted.Log(s.Logger, zap.String("job", next.job.id), zap.String("request", item.ID), zap.Int64("epoch", next.job.epoch),
		zap.Stringer("engine", decision.Choice.Entry.Incarnation()), zap.String("software", decision.Choice.Entry.Software), zap.Int("in_flight", decision.Choice.InFlight), zap.String("last_event", lastEvent),
		zap.Stringer("chosen_by", decision.Source), zap.String("dispatcher", decision.From), zap.Duration("waited", decision.Waited),
		zap.Int64("routes_version", routes.version), zap.Duration("routes_age", time.Since(routes.learned)))
	go s.runItem(ctx, stop, itemRun{job: next.job, index: next.index, item: item, identity: s.identityOf(next.job, item), route: routes.route, decision: decision, lastEvent: lastEvent})
	return true
}

// finish sets the final state of an item, and writes it to the store.
func (s *Service) finish(job *ownedJob, index int, state passjob.ItemState, why string) {
	s.mu.Lock()
	if job.work[index].finished == passjob.Open {
		job.work[index].finished = state
	}
	s.mu.Unlock()
	events.ItemFinished.Log(s.Logger, zap.String("job", job.id), zap.String("request", job.itemIDs[index]), zap.Bool("succeeded", state == passjob.Succeeded), zap.String("why", why))
	s.flush(job)
}

// maxClockLead bounds how far the estimate of the store's clock may be ahead. The estimate dates
// the clock in an answer to the earliest time at which the answer can have been made. The answer
// may have been made as late as it arrived, which is up to one call later.
func (s *Service) maxClockLead() time.Duration { return s.Follow.Wait + s.Follow.Slack }

// expireOverdue turns the open items of jobs that have certainly expired into dead letters.
func (s *Service) expireOverdue() {
	now, known := s.storeClock()
	if !known {
		return
	}
	for _, job := range s.ownedJobs() {
		s.mu.Lock()
		var overdue []int
		if job.record.Overdue(now - s.maxClockLead()) {
			for index := range job.work {
				if job.record.Items[index].State == passjob.Open && job.work[index].finished == passjob.Open {
					overdue = append(overdue, index)
				}
			}
		}
		s.mu.Unlock()
		for _, index := range overdue {
			s.finish(job, index, passjob.DeadLetter, "expired")
		}
	}
}

// maxAttempts returns the number of failures after which an item becomes a dead letter.
func maxAttempts(route *passroute.Route) int { return max(route.Attempts, 1) }

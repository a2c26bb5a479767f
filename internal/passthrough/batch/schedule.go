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
	"ringstream.example/ringstream/internal/core/tenant"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/passthrough/relay"
	"ringstream.example/ringstream/internal/passthrough/slots"
)

// scheduleEvery is the longest pause between two looks for idle engines, and idleEvery that of a
// node which owns no job: it is woken when it does. Of some 75 times that an idle node woke in a
// second, 25 were for jobs that it did not have.
const (
	scheduleEvery = 40 * time.Millisecond
	idleEvery     = 500 * time.Millisecond
)

// formerTime is how long an engine is held to keep the prompt of a run that was
// stopped there.
const formerTime = 5 * time.Second

// candidate is an item that could run now.
type candidate struct {
	job   *ownedJob
	index int
	rank  int // priority of its tenant, 0 is the highest
	due   time.Duration
	late  bool // it cannot be done when it is due, by what is known of such items
	// former is the engine that ran it and may still keep its prompt.
	former enginechoice.Incarnation
}

// schedule starts items while engines have room for batch work.
func (s *Service) schedule(ctx context.Context) error {
	timer := time.NewTimer(scheduleEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-s.wake:
		}
		timer.Reset(s.pauseWhile(scheduleEvery, s.ownsJobs()))
		s.watch.Look()
		s.giveUpOverdue()
		if s.blind() || !s.settled(time.Now()) {
			s.Slots.WantBatch(nil)
			continue
		}
		s.askForSlots()
	}
}

// pauseWhile gives the pause between two looks: a short one while there is something to look at.
func (s *Service) pauseWhile(short time.Duration, busy bool) time.Duration {
	if busy {
		return short
	}
	return idleEvery
}

func (s *Service) ownsJobs() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.owned) > 0
}

// settled says whether the node has been up long enough to know the other
// nodes: when all start at once, the first would else be the dispatcher of each
// lane for itself.
func (s *Service) settled(now time.Time) bool { return now.Sub(s.started) >= s.config.SettleFor }

// mostAsks is how many items of this node wait at the dispatcher at a time: more
// than it grants a node between two looks here.
const mostAsks = 16

// askForSlots has the items that are due first wait for slots, those that will
// be late after all others.
func (s *Service) askForSlots() {
	known := s.Routes.Known()
	if known.Table == nil {
		return
	}
	tenants := known.Table.Tenants().Directory
	waiting := s.candidates(tenants)
	storeNow, _ := s.now()
	now := time.Now()
	asks := make([]slots.BatchAsk, 0, mostAsks)
	for _, next := range waiting {
		if len(asks) == mostAsks {
			break
		}
		route, found := s.routeOf(known, next)
		if !found || s.hold(next) {
			continue
		}
		asks = append(asks, s.askFor(next, route, now.Add(next.due-storeNow), runRoutes{route: route, version: known.Table.Version(), learned: known.Learned}))
	}
	s.Slots.WantBatch(asks)
}

// routeOf gives an item's route. An item without one is given up, but only when the routes
// were the newest at a time at which this node had the job: the node that accepted it may
// have known newer ones.
func (s *Service) routeOf(known catalog.Known, next candidate) (*passroute.Route, bool) {
	route, found := known.Table.Lookup(next.job.host, next.job.items[next.index].Path)
	if !found && known.AsOf.After(next.job.since) {
		s.finish(next.job, next.index, passjob.DeadLetter, "the route is gone")
	}
	return route, found
}

// hold says whether an item must not run, since engines end under its content. It stays
// open until its job's expiry, or until it is let through again.
func (s *Service) hold(next candidate) bool {
	item := next.job.items[next.index]
	digest := next.job.digestOf(item)
	verdict := s.Guard.Verdict(digest)
	if !verdict.Blocked {
		return false
	}
	s.mu.Lock()
	work := &next.job.work[next.index]
	work.notBefore = time.Now().Add(heldLook)
	first := !work.held
	work.held = true
	s.mu.Unlock()
	if first {
		events.ItemHeld.Log(s.Logger, zap.String("job", next.job.id), zap.String("request", item.ID), zap.Stringer("content", digest),
			zap.Int("crashes", verdict.Crashes), zap.Float64("evidence", verdict.Evidence), zap.Duration("for", time.Until(verdict.Until)))
	}
	return true
}

// heldLook is the pause between two looks whether a held item may run.
const heldLook = time.Second

// askFor makes the ask of an item, which keeps its id while it waits.
func (s *Service) askFor(next candidate, route *passroute.Route, due time.Time, routes runRoutes) slots.BatchAsk {
	item := next.job.items[next.index]
	suspect := s.Guard.Suspect(next.job.digestOf(item))
	query := relay.Query(s.Routes.Pool(route), s.Headers.Demand(item.Header))
	query.Batch, query.Former = true, next.former
	query.BatchPercent = s.config.PerEngine
	s.mu.Lock()
	defer s.mu.Unlock()
	work := &next.job.work[next.index]
	if work.ask == 0 {
		work.ask = s.Slots.NewID()
	}
	ask := work.ask
	return slots.BatchAsk{ID: ask, Query: query, RoomPercent: s.config.Room, TenantRank: next.rank, Rank: route.Priority, Due: due, Late: next.late, Suspect: suspect, Start: func(decision slots.Decision) bool {
		return s.startItem(next, ask, decision, routes)
	}}
}

// candidates gives the items that could run, those of the job that is due
// first at the front.
func (s *Service) candidates(tenants *tenant.Directory) []candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return nil
	}
	now, storeNow := time.Now(), s.storeTime()
	var list []candidate
	for _, job := range s.owned {
		if job.items == nil || job.record.Ended {
			continue
		}
		rank := tenantRank(tenants, job.tenant)
		for index := range job.work {
			work := &job.work[index]
			if job.record.Items[index].State == passjob.Open && work.finished == passjob.Open && !work.running && !work.failed && !now.Before(work.notBefore) {
				next := candidate{job: job, index: index, rank: rank, due: job.due(), late: job.isLate(storeNow, s.forecast.cautious(work.text.events))}
				if now.Sub(work.yieldedAt) < formerTime {
					next.former = work.engine
				}
				list = append(list, next)
			}
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(ordering.FalseFirst(a.late, b.late), cmp.Compare(a.rank, b.rank), cmp.Compare(a.due, b.due), cmp.Compare(a.index, b.index))
	})
	return list
}

// tenantRank gives the priority of a tenant; that of one that is gone, or of none, is
// the highest.
func tenantRank(tenants *tenant.Directory, name string) int {
	if holder, found := tenants.ByName(name); found {
		return holder.Priority
	}
	return 0
}

// runRoutes says by which routes an item runs.
type runRoutes struct {
	route   *passroute.Route
	version int64
	learned time.Time
}

// startItem runs an item that got a slot; false when it no longer waits.
func (s *Service) startItem(next candidate, ask uint64, decision slots.Decision, routes runRoutes) bool {
	item := next.job.items[next.index]
	s.mu.Lock()
	work := &next.job.work[next.index]
	waits := !s.leaving && work.ask == ask && !work.running && work.finished == passjob.Open && next.job.runs.Err() == nil
	if !waits {
		s.mu.Unlock()
		return false
	}
	ctx, stop := context.WithCancel(next.job.runs)
	work.running, work.ask, work.slot, work.engine, work.yield = true, 0, decision.Slot, decision.Choice.Entry.Incarnation(), stop
	lastEvent := work.text.lastEvent
	s.running.Add(1)
	s.mu.Unlock()
	events.ItemStarted.Log(s.Logger, zap.String("job", next.job.id), zap.String("request", item.ID), zap.Int64("epoch", next.job.epoch),
		zap.Stringer("engine", decision.Choice.Entry.Incarnation()), zap.Int("in_flight", decision.Choice.InFlight), zap.String("last_event", lastEvent),
		zap.Stringer("chosen_by", decision.Source), zap.String("dispatcher", decision.From), zap.Duration("waited", decision.Waited),
		zap.Int64("routes_version", routes.version), zap.Duration("routes_age", time.Since(routes.learned)))
	go s.runItem(ctx, stop, itemRun{job: next.job, index: next.index, item: item, digest: next.job.digestOf(item), route: routes.route, decision: decision})
	return true
}

// finish sets the state that an item is to be listed under.
func (s *Service) finish(job *ownedJob, index int, state passjob.ItemState, why string) {
	s.mu.Lock()
	if job.work[index].finished == passjob.Open {
		job.work[index].finished = state
	}
	s.mu.Unlock()
	events.ItemFinished.Log(s.Logger, zap.String("job", job.id), zap.String("request", job.itemIDs[index]), zap.Bool("succeeded", state == passjob.Succeeded), zap.String("why", why))
	s.flush(job)
}

// clockAhead is how much the estimate of the store's clock may be ahead: an answer that told it
// was made as late as it came, and its call may have been sent that much before.
func (s *Service) clockAhead() time.Duration { return s.Follow.Wait + s.Follow.Slack }

// giveUpOverdue lists what may be given up by now, for certain.
func (s *Service) giveUpOverdue() {
	now, known := s.now()
	if !known {
		return
	}
	for _, job := range s.ownedJobs() {
		s.mu.Lock()
		var overdue []int
		if job.record.Overdue(now - s.clockAhead()) {
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

// attemptsOf gives how many failures end an item.
func attemptsOf(route *passroute.Route) int { return max(route.Attempts, 1) }

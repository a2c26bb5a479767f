package batch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough/relay"
)

// scheduleEvery is the longest pause between two looks for idle engines.
const scheduleEvery = 40 * time.Millisecond

// formerTime is how long an engine is held to keep the prompt of a run that was
// stopped there.
const formerTime = 5 * time.Second

// candidate is an item that could run now.
type candidate struct {
	job   *ownedJob
	index int
	due   time.Duration
	late  bool // it cannot be done when it is due, by what is known of such items
	// former is the engine that ran it and may still keep its prompt.
	former string
}

// schedule starts items while engines have room for batch work.
func (s *Service) schedule(ctx context.Context) error {
	ticker := time.NewTicker(scheduleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.wake:
		}
		s.giveUpOverdue()
		s.makeRoom()
		if !s.blind() && s.settled(time.Now()) {
			s.startItems()
		}
	}
}

// settled says whether the node has been up long enough to know the other
// nodes' work at the engines. When all start at once, each would else fill all
// engines by itself, and the engines would read prompts of runs that are
// stopped at once, for more than a second.
func (s *Service) settled(now time.Time) bool { return now.Sub(s.started) >= s.config.SettleFor }

// startItems starts the items that are due first until no engine has room.
// Those that will be late wait for all others, also for those of other nodes:
// the engines' time would be lost for items that can be in time.
func (s *Service) startItems() {
	waiting := s.candidates()
	s.mu.Lock()
	s.backlog = 0
	for _, c := range waiting {
		if !c.late {
			s.backlog++
		}
	}
	rivals := len(s.rivals)
	s.mu.Unlock()
	turn := s.turns()
	for _, next := range waiting {
		if next.late && rivals > 0 {
			break
		}
		if !s.startItem(next, turn) {
			break
		}
	}
}

// candidates gives the items that could run, those of the job that is due
// first at the front.
func (s *Service) candidates() []candidate {
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
		for index := range job.work {
			work := &job.work[index]
			if job.record.Items[index].State == passjob.Open && work.finished == passjob.Open && !work.running && !work.failed && !now.Before(work.notBefore) {
				next := candidate{job: job, index: index, due: job.due(), late: job.isLate(storeNow, s.forecast.cautious(work.text.events))}
				if now.Sub(work.yieldedAt) < formerTime {
					next.former = work.engine
				}
				list = append(list, next)
			}
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(compareBool(a.late, b.late), cmp.Compare(a.due, b.due), cmp.Compare(a.index, b.index))
	})
	return list
}

// compareBool puts false first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// startItem starts one item; false when no engine has room for batch work.
func (s *Service) startItem(next candidate, turn func(engine string) bool) bool {
	item := next.job.items[next.index]
	table, learned := s.Routes.Table()
	if table == nil {
		return false
	}
	route, found := table.Lookup(next.job.host, item.Path)
	if !found {
		s.finish(next.job, next.index, passjob.DeadLetter, "the route is gone")
		return true
	}
	demand := s.Headers.Demand(item.Header)
	query := relay.Query(s.Routes.Pool(route), demand)
	query.Batch, query.Turn = true, turn
	query.Former, query.Connected = next.former, s.Pool.Connected()
	var choice enginechoice.Choice
	work := &enginechoice.Work{Batch: true}
	s.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		slots := max(table.Pool(query.Pool).Slots, 1)
		query.BatchLimit = max(slots*s.config.PerEngine/100, 1)
		query.RoomLimit = max(slots*s.config.Room/100, 1)
		if choice, found = set.Pick(query, now); found {
			work.PrefillTokens, work.MemoryTokens = choice.PrefillTokens, query.MemoryTokens
			set.Start(choice.Entry.ID, work)
		}
	})
	if !found {
		return false
	}
	s.mu.Lock()
	next.job.work[next.index].running = true
	lastEvent := next.job.work[next.index].text.lastEvent
	s.mu.Unlock()
	events.ItemStarted.Log(s.Logger, zap.String("job", next.job.id), zap.String("request", item.ID), zap.Int64("epoch", next.job.epoch),
		zap.String("engine", choice.Entry.ID), zap.Int("in_flight", choice.InFlight), zap.String("last_event", lastEvent),
		zap.Int64("routes_version", table.Version()), zap.Duration("routes_age", time.Since(learned)))
	s.running.Add(1)
	go s.runItem(itemRun{job: next.job, index: next.index, item: item, route: route, choice: choice, work: work})
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

// giveUpOverdue lists what may be given up by now.
func (s *Service) giveUpOverdue() {
	now, known := s.now()
	if !known {
		return
	}
	for _, job := range s.ownedJobs() {
		s.mu.Lock()
		var overdue []int
		if job.record.Overdue(now) {
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

package batch

import (
	"errors"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// errSlowEngine ends a run whose engine is too slow for the item's deadline.
var errSlowEngine = errors.New("the engine is too slow for the item's deadline")

// runPace is the pace of the events of one run.
type runPace struct {
	started bool // the first event has arrived
	events  int  // after the first
	waited  time.Duration
}

// add records events and how long the engine was waited for before them.
func (p *runPace) add(count int, waited time.Duration) {
	if !p.started {
		p.started = true
		return
	}
	p.events += count
	p.waited += waited
}

// runsTooSlowly reports whether a run should be stopped, so that its item continues at another
// engine. Only engines that are known to be slow are left, and an item leaves one once: in a flood
// all runs are slower than usual, and a move would cost the item its place and its prompt.
func (s *Service) runsTooSlowly(r itemRun, pace runPace) bool {
	if r.decision.Choice.Slowness <= 1 || !s.Slots.LearnsSpeeds(r.decision.Choice.Entry.Pool) || pace.events < minForecastEvents {
		return false
	}
	storeNow, known := s.storeClock()
	if !known || r.job.record.Due <= 0 {
		return false
	}
	s.mu.Lock()
	work := &r.job.work[r.index]
	kept, leftSlow := work.text.events, work.leftSlow
	s.mu.Unlock()
	if leftSlow != (enginechoice.Incarnation{}) || !s.forecast.shouldMove(kept, pace.waited/time.Duration(pace.events), r.job.deadline()-storeNow) {
		return false
	}
	engine := r.decision.Choice.Entry.Incarnation()
	if !s.canRun(enginechoice.Query{
		Pool: r.decision.Choice.Entry.Pool, Software: r.decision.Choice.Entry.Software, Batch: true, MaxBatchPercent: s.config.MaxEnginePercent, Exclude: map[enginechoice.Incarnation]bool{engine: true},
	}) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	work.leftSlow = engine
	return true
}

// canRun reports whether an engine accepts a batch request now.
func (s *Service) canRun(query enginechoice.Query) (can bool) {
	s.Engines.Use(func(set *enginechoice.Set, now time.Time) { can = set.CanPick(query, now) })
	return can
}

// avoidSlowEngine excludes the engine that an item has left because it is slow, if another engine
// accepts the item. A late item takes any engine.
func (s *Service) avoidSlowEngine(query *enginechoice.Query, next candidate) {
	s.mu.Lock()
	leftSlow := next.job.work[next.index].leftSlow
	s.mu.Unlock()
	if leftSlow == (enginechoice.Incarnation{}) || next.late {
		return
	}
	if query.PreviousEngine == leftSlow {
		query.PreviousEngine = enginechoice.Incarnation{}
	}
	elsewhere := *query
	elsewhere.Exclude = map[enginechoice.Incarnation]bool{leftSlow: true}
	if s.canRun(elsewhere) {
		query.Exclude = elsewhere.Exclude
	}
}

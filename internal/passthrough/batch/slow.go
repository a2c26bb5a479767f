package batch

import (
	"errors"
	"time"
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
// engine.
func (s *Service) runsTooSlowly(r itemRun, pace runPace) bool {
	if !s.Slots.LearnsSpeeds() || pace.events < minForecastEvents {
		return false
	}
	storeNow, known := s.storeClock()
	if !known || r.job.record.Due <= 0 {
		return false
	}
	s.mu.Lock()
	kept := r.job.work[r.index].text.events
	s.mu.Unlock()
	return s.forecast.shouldMove(kept, pace.waited/time.Duration(pace.events), r.job.deadline()-storeNow)
}

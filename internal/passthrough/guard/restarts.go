package guard

import (
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// restartDetectionWindow is how long after a run broke the entry of the engine's next incarnation
// counts as evidence that the engine ended during the run. If the engine is not yet back, the
// connection that is opened at once shows that it ended. If it is back, its entry arrives with
// the next read of the store, some hundred milliseconds later. A longer window would blame
// contents for runs that a network fault cut off.
const restartDetectionWindow = 2 * time.Second

// maxBrokenRuns bounds the broken runs that are kept until their engine is seen to restart.
const maxBrokenRuns = 1024

// brokenRun is a run that broke at an engine that still listened.
type brokenRun struct {
	run Run
	at  time.Time
}

// addBrokenRun keeps a broken run in case its engine has restarted meanwhile.
func (s *Service) addBrokenRun(run Run) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireBrokenRuns(now)
	if len(s.brokenRuns) < maxBrokenRuns {
		s.brokenRuns = append(s.brokenRuns, brokenRun{run: run, at: now})
	}
}

// takeBrokenRuns removes and returns the recent broken runs at an incarnation.
func (s *Service) takeBrokenRuns(engine enginechoice.Incarnation) []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireBrokenRuns(time.Now())
	var runs []Run
	remaining := s.brokenRuns[:0]
	for _, broken := range s.brokenRuns {
		if broken.run.Engine.Engine == engine {
			runs = append(runs, broken.run)
		} else {
			remaining = append(remaining, broken)
		}
	}
	s.brokenRuns = remaining
	return runs
}

// expireBrokenRuns removes runs whose engine was not seen to restart within
// restartDetectionWindow. The caller holds mu.
func (s *Service) expireBrokenRuns(now time.Time) {
	expired := 0
	for expired < len(s.brokenRuns) && now.Sub(s.brokenRuns[expired].at) > restartDetectionWindow {
		expired++
	}
	s.brokenRuns = append(s.brokenRuns[:0], s.brokenRuns[expired:]...)
}

// Restarted handles the restart of an engine: the former incarnation ended during the runs that
// broke there.
func (s *Service) Restarted(former enginechoice.Incarnation) {
	for _, run := range s.takeBrokenRuns(former) {
		s.recordEngineEnd(run)
	}
}

// engineState returns the state of an engine. An unknown engine counts as leaving.
func (s *Service) engineState(engine enginechoice.Incarnation) enginechoice.State {
	state := enginechoice.Leaving
	s.Engines.Use(func(set *enginechoice.Set, _ time.Time) {
		if listed, found := set.Find(engine); found {
			state = listed.State
		}
	})
	return state
}

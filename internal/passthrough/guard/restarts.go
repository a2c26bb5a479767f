package guard

import (
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// restartSeenWithin is how long after a run broke the entry of the engine's next
// incarnation may come for the run to count as one that its engine ended under. An engine
// that was not yet back was found ended by the connection that is opened at once; the entry
// of one that was comes with the next read of the store, some hundred milliseconds later.
// Beyond that a run that a fault cut off would be held against its content.
const restartSeenWithin = 2 * time.Second

// mostBroken bounds the runs that are kept for the news of a restart.
const mostBroken = 1024

// brokenRun is a run that broke at an engine that still listened.
type brokenRun struct {
	run Run
	at  time.Time
}

// awaitRestart keeps a run that broke, in case its engine has started again since.
func (s *Service) awaitRestart(run Run) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetBroken(now)
	if len(s.broken) < mostBroken {
		s.broken = append(s.broken, brokenRun{run: run, at: now})
	}
}

// takeBroken gives the runs that broke lately at an incarnation, and forgets them.
func (s *Service) takeBroken(engine enginechoice.Incarnation) []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetBroken(time.Now())
	var runs []Run
	kept := s.broken[:0]
	for _, known := range s.broken {
		if known.run.Engine.Engine == engine {
			runs = append(runs, known.run)
		} else {
			kept = append(kept, known)
		}
	}
	s.broken = kept
	return runs
}

// forgetBroken forgets runs whose engine was not seen to start again; the caller holds mu.
func (s *Service) forgetBroken(now time.Time) {
	old := 0
	for old < len(s.broken) && now.Sub(s.broken[old].at) > restartSeenWithin {
		old++
	}
	s.broken = append(s.broken[:0], s.broken[old:]...)
}

// Restarted takes word that an engine has started again: the incarnation before has ended
// under the runs that broke there.
func (s *Service) Restarted(former enginechoice.Incarnation) {
	for _, run := range s.takeBroken(former) {
		s.noteEnd(run)
	}
}

// stateOf gives what is known of an engine; one that is not known counts as leaving.
func (s *Service) stateOf(engine enginechoice.Incarnation) enginechoice.State {
	state := enginechoice.Leaving
	s.Engines.Use(func(set *enginechoice.Set, _ time.Time) {
		if listed, found := set.Find(engine); found {
			state = listed.State
		}
	})
	return state
}

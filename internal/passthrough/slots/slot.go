package slots

import (
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
)

// Slot is a request's slot at an engine, from the choice of the engine to End.
type Slot struct {
	service *Service
	lane    grant.Lane
	id      uint64
	engine  enginechoice.Incarnation
	shared  []enginechoice.Part
	counted *enginechoice.Work
}

// begin counts a request at an engine, here and at the lane's dispatcher.
func (s *Service) begin(lane grant.Lane, id uint64, choice enginechoice.Choice, query enginechoice.Query, suspect grant.Suspect) *Slot {
	slot := &Slot{
		service: s, lane: lane, id: id, engine: choice.Entry.Incarnation(), shared: query.Shared,
		counted: &enginechoice.Work{Batch: query.Batch, PrefillTokens: choice.PrefillTokens, MemoryTokens: query.MemoryTokens},
	}
	s.Engines.Use(func(set *enginechoice.Set, _ time.Time) { set.Start(slot.engine, slot.counted) })
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requester(lane, now).Begin(grant.Held{
		ID: id, Engine: grant.EngineHash(slot.engine), Batch: query.Batch, PrefillTokens: choice.PrefillTokens, MemoryTokens: query.MemoryTokens,
		Suspect: suspect,
	}, query.PromptTokens(), now)
	return slot
}

// ID is the ask's.
func (s *Slot) ID() uint64 { return s.id }

// AwaitsFirstToken says whether the request's first token has not come.
func (s *Slot) AwaitsFirstToken() bool { return s.counted.AwaitsFirstToken() }

// Started takes note of the first token: the engine has read the prompt.
func (s *Slot) Started() {
	if !s.AwaitsFirstToken() {
		return
	}
	s.service.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		set.FirstToken(s.engine, s.counted)
		set.Remember(s.engine, s.shared, now)
	})
	s.service.update(s.lane, func(known *requester, now time.Time) { known.Started(s.id, now) })
}

// Observe takes the engine's own count from the head of its answer.
func (s *Slot) Observe(running, waiting int) {
	s.service.Engines.Use(func(set *enginechoice.Set, now time.Time) { set.Observe(s.engine, running, waiting, now) })
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	if known := s.service.requesters[s.lane]; known != nil {
		known.Observe(grant.Load{Engine: grant.EngineHash(s.engine), Running: running, Waiting: waiting})
	}
}

// End frees the slot. Refused says that nothing listens at the engine's address.
// A second End does nothing.
func (s *Slot) End(result enginechoice.Result, refused bool) {
	s.service.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		set.Finish(s.engine, s.counted, result, now)
		if refused {
			set.ConnectionRefused(s.engine, now)
		}
	})
	ended := grant.Ended{ID: s.id, Engine: grant.EngineHash(s.engine), Result: result, Refused: refused}
	s.service.update(s.lane, func(known *requester, now time.Time) { known.End(ended, now) })
}

// update changes this node's side of a lane, and has the loop send what is new.
func (s *Service) update(lane grant.Lane, change func(known *requester, now time.Time)) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.requesters[lane]; known != nil {
		change(known, now)
		s.wakeBy(known.NextAt(now))
	}
}

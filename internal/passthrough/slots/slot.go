package slots

import (
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
)

// Slot is a request's reservation at an engine, held from the choice of the engine until End.
type Slot struct {
	service *Service
	lane    grant.Lane
	id      uint64
	engine  enginechoice.Incarnation
	shared  []enginechoice.Part
	counted *enginechoice.Work
	pace    paceWindow
}

// beginSlot counts a request at an engine, both locally and at the lane's dispatcher.
func (s *Service) beginSlot(lane grant.Lane, id uint64, choice enginechoice.Choice, query enginechoice.Query, suspect grant.Suspect) *Slot {
	slot := &Slot{
		service: s, lane: lane, id: id, engine: choice.Entry.Incarnation(), shared: query.Shared,
		counted: &enginechoice.Work{Batch: query.Batch, PrefillTokens: choice.PrefillTokens, MemoryTokens: query.MemoryTokens},
	}
	s.Engines.Use(func(set *enginechoice.Set, _ time.Time) { set.Start(slot.engine, slot.counted) })
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requesterFor(lane, now).Begin(grant.Held{
		ID: id, Engine: grant.EngineHash(slot.engine), Batch: query.Batch, PrefillTokens: choice.PrefillTokens, MemoryTokens: query.MemoryTokens,
		Suspect: suspect,
	}, query.PromptTokens(), now)
	return slot
}

// ID returns the id of the ask.
func (s *Slot) ID() uint64 { return s.id }

// AwaitsFirstToken reports whether the request's first token is outstanding.
func (s *Slot) AwaitsFirstToken() bool { return s.counted.AwaitsFirstToken() }

// Started records the arrival of the first token, by which time the engine has processed the
// prompt.
func (s *Slot) Started() {
	if !s.AwaitsFirstToken() {
		return
	}
	s.service.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		set.FirstToken(s.engine, s.counted)
		set.RecordPrompt(s.engine, s.shared, now)
	})
	s.service.updateRequester(s.lane, func(requester *laneRequester, now time.Time) { requester.Started(s.id, now) })
}

// End releases the slot. Refused says that the engine's address refused the connection. Further
// calls of End have no effect.
func (s *Slot) End(result enginechoice.Result, refused bool) {
	s.service.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		set.Finish(s.engine, s.counted, result, now)
		if refused {
			set.ConnectionRefused(s.engine, now)
		}
	})
	s.reportPace()
	ended := grant.Ended{ID: s.id, Engine: grant.EngineHash(s.engine), Result: result, Refused: refused}
	s.service.updateRequester(s.lane, func(requester *laneRequester, now time.Time) { requester.End(ended, now) })
}

// updateRequester changes this node's requester in a lane, if there is one, and wakes the loop in
// time to send the change.
func (s *Service) updateRequester(lane grant.Lane, change func(requester *laneRequester, now time.Time)) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if requester := s.requesters[lane]; requester != nil {
		change(requester, now)
		s.scheduleWake(requester.NextAt(now))
	}
}

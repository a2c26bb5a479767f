package slots

import (
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
)

// BatchAsk is a batch item that waits for a slot.
type BatchAsk struct {
	ID    uint64 // of NewID; the same while the item waits
	Query enginechoice.Query
	// RoomPercent is how many of the lane's slots may be in use when it gets one.
	RoomPercent int
	// TenantRank is the priority of its tenant, which goes before Rank, that of its
	// route; 0 is the highest.
	TenantRank, Rank int
	Due              time.Time
	Late             bool // it cannot be done when it is due
	Suspect          grant.Suspect
	// Start has the item run; false when it no longer waits.
	Start func(Decision) bool
}

// WantBatch replaces the batch items of this node that wait for a slot.
func (s *Service) WantBatch(asks []BatchAsk) {
	now := time.Now()
	wanted := make(map[uint64]bool, len(asks))
	for _, ask := range asks {
		wanted[ask.ID] = true
	}
	s.mu.Lock()
	for id := range s.batch {
		if !wanted[id] {
			s.dropBatch(id, now)
		}
	}
	var fresh []BatchAsk
	for _, ask := range asks {
		before, known := s.batch[ask.ID]
		if !known || before.Late != ask.Late {
			fresh = append(fresh, ask)
		}
	}
	s.mu.Unlock()
	for _, ask := range fresh {
		s.postBatch(ask)
	}
}

// dropBatch takes an item's ask back; the caller holds mu.
func (s *Service) dropBatch(id uint64, now time.Time) {
	if known := s.requesters[s.batchLanes[id]]; known != nil {
		known.Cancel(id, now)
	}
	delete(s.batch, id)
	delete(s.batchLanes, id)
}

func (s *Service) postBatch(ask BatchAsk) {
	sent := s.askOf(ask.ID, ask.Query)
	sent.RoomPercent = ask.RoomPercent
	sent.Late, sent.TenantRank, sent.Rank, sent.Suspect = ask.Late, ask.TenantRank, ask.Rank, ask.Suspect
	s.mu.Lock()
	lane, known := s.batchLanes[ask.ID]
	if !known {
		lane = s.laneFor(ask.Query.Pool, sent)
	}
	s.batch[ask.ID], s.batchLanes[ask.ID] = ask, lane
	s.mu.Unlock()
	s.post(lane, sent, ask.Due)
}

// startBatch has the item run that a grant is for; false when it no longer waits.
func (s *Service) startBatch(given granted) bool {
	s.mu.Lock()
	ask, known := s.batch[given.grant.ID]
	if known {
		delete(s.batch, ask.ID)
		delete(s.batchLanes, ask.ID)
	}
	s.mu.Unlock()
	if !known {
		return false
	}
	decision, usable := s.take(given, ask.Query)
	if !usable {
		return false
	}
	decision.Waited = given.grant.Waited
	decision.Slot = s.begin(given.lane, ask.ID, decision.Choice, ask.Query, ask.Suspect)
	s.Metrics.granted(decision)
	if !ask.Start(decision) {
		decision.Slot.End(enginechoice.Abandoned, false)
	}
	return true
}

// Load is what this node knows of a lane as its dispatcher.
type Load struct {
	Lane             grant.Lane
	UnderWay, Queued int
	Attached         int // nodes whose part of the tenants' limits is kept there
}

// Loads gives the lanes that this node looks after.
func (s *Service) Loads() []Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var loads []Load
	for lane, known := range s.dispatchers {
		underWay, queued := known.Counts()
		loads = append(loads, Load{Lane: lane, UnderWay: underWay, Queued: queued, Attached: known.Attached(now)})
	}
	return loads
}

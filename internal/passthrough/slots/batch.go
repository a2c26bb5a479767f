package slots

import (
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/events"
)

// BatchRequest is a batch item that waits for a slot.
type BatchRequest struct {
	ID    uint64 // from NewID; it stays the same while the item waits
	Query enginechoice.Query
	// RoomPercent is the share of the lane's slots that may be in use when the item gets one, in
	// percent.
	RoomPercent int
	// TenantRank is the priority of the item's tenant. It takes precedence over Rank, the
	// priority of its route. 0 is the highest priority.
	TenantRank, Rank int
	// Owner is the name of the item's tenant, in whose share of the engines it runs; empty if it
	// belongs to no tenant.
	Owner   string
	Due     time.Time
	Late    bool // the item cannot finish by Due
	Suspect grant.Suspect
	// Start runs the item. It returns false if the item no longer waits.
	Start func(Decision) bool
}

// SetBatchRequests replaces the set of this node's batch items that wait for a slot.
func (s *Service) SetBatchRequests(requests []BatchRequest) {
	now := time.Now()
	wanted := make(map[uint64]bool, len(requests))
	for _, request := range requests {
		wanted[request.ID] = true
	}
	s.mu.Lock()
	for id := range s.batchRequests {
		if !wanted[id] {
			s.cancelBatchAsk(id, now)
		}
	}
	var changed []BatchRequest
	for _, request := range requests {
		before, known := s.batchRequests[request.ID]
		if !known || before.Late != request.Late {
			changed = append(changed, request)
		}
	}
	s.mu.Unlock()
	for _, request := range changed {
		s.submitBatchAsk(request)
	}
}

// cancelBatchAsk withdraws the ask of a batch item. The caller holds mu.
func (s *Service) cancelBatchAsk(id uint64, now time.Time) {
	if requester := s.requesters[s.batchLanes[id]]; requester != nil {
		requester.Cancel(id, now)
	}
	delete(s.batchRequests, id)
	delete(s.batchLanes, id)
}

func (s *Service) submitBatchAsk(request BatchRequest) {
	ask := s.askFromQuery(request.ID, request.Query)
	ask.RoomPercent = request.RoomPercent
	ask.Late, ask.TenantRank, ask.Rank, ask.Suspect = request.Late, request.TenantRank, request.Rank, request.Suspect
	ask.Owner = s.ownerHash(request.Owner)
	s.mu.Lock()
	lane, known := s.batchLanes[request.ID]
	if !known {
		lane = s.laneForLocked(request.Query, ask)
	}
	s.batchRequests[request.ID], s.batchLanes[request.ID] = request, lane
	s.mu.Unlock()
	s.excludeOtherSoftware(&ask, lane, request.Query)
	s.submitAsk(lane, ask, grant.Deadlines{Objective: request.Due})
}

// startBatchItem starts the batch item that a grant is for. It returns false if the item no
// longer waits or the engine cannot be used.
func (s *Service) startBatchItem(received receivedGrant) bool {
	s.mu.Lock()
	ask, known := s.batchRequests[received.grant.ID]
	if known {
		delete(s.batchRequests, ask.ID)
		delete(s.batchLanes, ask.ID)
	}
	s.mu.Unlock()
	if !known {
		return false
	}
	decision, usable := s.resolveGrant(received, ask.Query)
	if !usable {
		return false
	}
	decision.Waited = received.grant.Waited
	decision.Slot = s.beginSlot(received.lane, ask.ID, decision.Choice, ask.Query, ask.Suspect)
	s.Metrics.granted(decision)
	if !ask.Start(decision) {
		decision.Slot.End(enginechoice.Abandoned, false)
	}
	return true
}

// batchStall is a lane whose batch requests get no engine.
type batchStall struct {
	lane  grant.Lane
	stall grant.BatchStall
}

// logBatchStall logs why the batch requests of a lane get no engine.
func (s *Service) logBatchStall(known batchStall) {
	stall := known.stall
	events.BatchStalled.Log(s.Logger, zap.String("pool", known.lane.Pool), zap.Uint32("part", known.lane.Part), zap.Stringer("reason", stall.Reason), zap.Duration("for", stall.For),
		zap.Int("queued", stall.Queued), zap.Int("slots", stall.Slots), zap.String("first_node", stall.Node), zap.Uint64("first_ask", stall.ID), zap.Int("first_memory", stall.MemoryTokens),
		zap.Duration("first_waited", stall.Waited), zap.Int("largest_memory", stall.LargestMemory))
}

// Load is the load of a lane as seen by its dispatcher on this node.
type Load struct {
	Lane             grant.Lane
	InFlight, Queued int
	Attached         int // nodes whose share of the tenants' limits is kept in the lane
}

// Loads returns the load of each lane for which this node is the dispatcher.
func (s *Service) Loads() []Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var loads []Load
	for lane, dispatcher := range s.dispatchers {
		underWay, queued := dispatcher.Counts()
		loads = append(loads, Load{Lane: lane, InFlight: underWay, Queued: queued, Attached: dispatcher.Attached(now)})
	}
	return loads
}

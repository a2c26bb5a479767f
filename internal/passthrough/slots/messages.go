package slots

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/events"
)

// outbox collects the actions that are to be done after the locks are released.
type outbox struct {
	states            []outgoingState
	replies           []outgoingReply
	grants            []receivedGrant
	refusals          []receivedRefusal
	noDispatcher      []uint64 // online asks that no dispatcher has answered; this node chooses the engine
	stops             []uint64 // ask ids of this node's batch runs to stop
	dispatcherChanges []dispatcherChange
	speedChanges      []speedChange
	batchStalls       []batchStall
	limitUses         []outgoingLimitUse
	attachments       []outgoingAttachment
}

type outgoingState struct {
	to    string
	lane  grant.Lane
	state grant.State
}

type outgoingReply struct {
	to    string
	lane  grant.Lane
	reply grant.Reply
}

// receivedGrant is a grant for an ask of this node.
type receivedGrant struct {
	lane  grant.Lane
	from  string
	grant grant.Grant
}

// receivedRefusal is a refusal of an ask of this node.
type receivedRefusal struct {
	from    string
	refusal grant.Refusal
}

type dispatcherChange struct {
	lane     grant.Lane
	from, to string
}

// recordDispatcherChange queues a log line if the dispatcher that this node uses for a lane has
// changed.
func (o *outbox) recordDispatcherChange(lane grant.Lane, before, after string) {
	if before != after {
		o.dispatcherChanges = append(o.dispatcherChanges, dispatcherChange{lane: lane, from: before, to: after})
	}
}

// ErrInvalidLane says that a message names a lane that cannot exist.
var ErrInvalidLane = errors.New("slots: invalid lane: the number of parts is not a power of two, or the part is out of range")

func checkLane(lane grant.Lane) error {
	if lane.Parts == 0 || lane.Parts&(lane.Parts-1) != 0 || lane.Part >= lane.Parts {
		return ErrInvalidLane
	}
	return nil
}

// HandleState handles another node's state in a lane. A node that does not know the engines yet
// does not reply, so that the sender asks the next node in its ranking.
func (s *Service) HandleState(from string, lane grant.Lane, state grant.State) error {
	if err := checkLane(lane); err != nil {
		return err
	}
	if !s.Ready() {
		return nil
	}
	s.watch.Check()
	now := time.Now()
	var out outbox
	s.mu.Lock()
	s.handleState(from, lane, state, now, &out)
	s.scheduleWake(now.Add(tickInterval))
	s.mu.Unlock()
	s.deliver(out)
	return nil
}

// handleState passes a state to the lane's dispatcher. The caller holds mu.
func (s *Service) handleState(from string, lane grant.Lane, state grant.State, now time.Time, out *outbox) {
	dispatcher := s.dispatcherFor(lane, now)
	if dispatcher == nil {
		return
	}
	dispatcher.ApplyState(from, state, now)
	s.collectReplies(lane, dispatcher, now, out)
}

// collectReplies collects a dispatcher's pending replies. The caller holds mu.
func (s *Service) collectReplies(lane grant.Lane, dispatcher *laneDispatcher, now time.Time, out *outbox) {
	s.collectLimitUse(lane, dispatcher, now, out)
	s.collectAttachmentQuestions(lane, dispatcher, now, out)
	for to, reply := range dispatcher.Replies() {
		if to == s.Self {
			s.handleReply(s.Self, lane, reply, now, out)
		} else {
			out.replies = append(out.replies, outgoingReply{to: to, lane: lane, reply: reply})
		}
	}
}

// HandleReply handles the reply of a lane's dispatcher.
func (s *Service) HandleReply(from string, lane grant.Lane, reply grant.Reply) error {
	if err := checkLane(lane); err != nil {
		return err
	}
	s.watch.Check()
	var out outbox
	s.mu.Lock()
	s.handleReply(from, lane, reply, time.Now(), &out)
	s.mu.Unlock()
	s.deliver(out)
	return nil
}

func (s *Service) handleReply(from string, lane grant.Lane, reply grant.Reply, now time.Time, out *outbox) {
	requester := s.requesters[lane]
	if requester == nil {
		return
	}
	before := requester.Current()
	result := requester.ApplyReply(from, reply, now)
	out.recordDispatcherChange(lane, before, requester.Current())
	for _, received := range result.Grants {
		out.grants = append(out.grants, receivedGrant{lane: lane, from: from, grant: received})
	}
	for _, refusal := range result.Refused {
		out.refusals = append(out.refusals, receivedRefusal{from: from, refusal: refusal})
	}
	out.stops = append(out.stops, result.Stops...)
}

// deliver sends the collected messages and delivers the grants. The caller holds no lock.
func (s *Service) deliver(out outbox) {
	for _, change := range out.dispatcherChanges {
		events.DispatcherChanged.Log(s.Logger, zap.String("pool", change.lane.Pool), zap.Uint32("part", change.lane.Part), zap.Uint32("parts", change.lane.Parts),
			zap.String("from", change.from), zap.String("to", change.to))
	}
	for _, change := range out.speedChanges {
		s.logSpeedChange(change)
	}
	for _, known := range out.batchStalls {
		s.logBatchStall(known)
	}
	s.sendLimitUses(out.limitUses)
	for _, message := range out.attachments {
		s.transport.SendAttachment(message.to, message.message)
	}
	for _, message := range out.states {
		s.transport.SendState(message.to, message.lane, message.state)
	}
	for _, message := range out.replies {
		s.transport.SendReply(message.to, message.lane, message.reply)
	}
	for _, given := range out.grants {
		s.deliverGrant(given)
	}
	for _, given := range out.refusals {
		s.Metrics.refused(given.refusal)
		s.deliverVerdict(given.refusal.ID, refusalVerdict(given))
	}
	for _, id := range out.noDispatcher {
		s.deliverVerdict(id, verdict{noDispatcher: true})
	}
	for _, id := range out.stops {
		s.Stop(id)
	}
}

// refusalVerdict returns the verdict of a request that a dispatcher refuses.
func refusalVerdict(received receivedRefusal) verdict {
	if received.refusal.Reason == grant.RefusedByOverload {
		return verdict{overloaded: &OverloadedError{Refusal: received.refusal.Overload, Dispatcher: received.from}}
	}
	return verdict{overLimit: &OverLimitError{Verdict: received.refusal.Verdict, Start: received.refusal.Start, Dispatcher: received.from}}
}

// scheduleWake makes the loop wake at the given time at the latest. The caller holds mu.
func (s *Service) scheduleWake(at time.Time) {
	if !s.nextWake.IsZero() && !at.Before(s.nextWake) {
		return
	}
	s.nextWake = at
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

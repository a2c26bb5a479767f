package slots

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/events"
)

// outbox is what is done once no lock is held.
type outbox struct {
	states  []stateTo
	replies []replyTo
	grants  []granted
	refused []refused
	alone   []uint64 // asks whose node chooses by itself
	stops   []uint64 // batch runs of this node
	changes []dispatcherChange
}

type stateTo struct {
	to    string
	lane  grant.Lane
	state grant.State
}

type replyTo struct {
	to    string
	lane  grant.Lane
	reply grant.Reply
}

// granted is a grant for an ask of this node.
type granted struct {
	lane  grant.Lane
	from  string
	grant grant.Grant
}

// refused is a refusal of an ask of this node.
type refused struct {
	from    string
	refusal grant.Refusal
}

type dispatcherChange struct {
	lane     grant.Lane
	from, to string
}

// noteDispatcher has a change of the dispatcher that this node turns to logged.
func (o *outbox) noteDispatcher(lane grant.Lane, before, after string) {
	if before != after {
		o.changes = append(o.changes, dispatcherChange{lane: lane, from: before, to: after})
	}
}

// ErrBadLane says that a message names a lane that cannot be.
var ErrBadLane = errors.New("slots: a lane's parts are no power of two, or its part is not one of them")

func checkLane(lane grant.Lane) error {
	if lane.Parts == 0 || lane.Parts&(lane.Parts-1) != 0 || lane.Part >= lane.Parts {
		return ErrBadLane
	}
	return nil
}

// HearState takes what another node has in a lane. A node that does not know
// the engines yet says nothing, so that the next one is asked.
func (s *Service) HearState(from string, lane grant.Lane, state grant.State) error {
	if err := checkLane(lane); err != nil {
		return err
	}
	if !s.Ready() {
		return nil
	}
	s.watch.Look()
	now := time.Now()
	var out outbox
	s.mu.Lock()
	s.hearState(from, lane, state, now, &out)
	s.wakeBy(now.Add(tickEvery))
	s.mu.Unlock()
	s.deliver(out)
	return nil
}

// hearState takes a State as the lane's dispatcher; the caller holds mu.
func (s *Service) hearState(from string, lane grant.Lane, state grant.State, now time.Time, out *outbox) {
	known := s.dispatcher(lane, now)
	if known == nil {
		return
	}
	known.Hear(from, state, now)
	s.gather(lane, known, now, out)
}

// gather takes what a dispatcher has to say; the caller holds mu.
func (s *Service) gather(lane grant.Lane, known *dispatcher, now time.Time, out *outbox) {
	for to, reply := range known.Replies() {
		if to == s.Self {
			s.hearReply(s.Self, lane, reply, now, out)
		} else {
			out.replies = append(out.replies, replyTo{to: to, lane: lane, reply: reply})
		}
	}
}

// HearReply takes a dispatcher's answer.
func (s *Service) HearReply(from string, lane grant.Lane, reply grant.Reply) error {
	if err := checkLane(lane); err != nil {
		return err
	}
	s.watch.Look()
	var out outbox
	s.mu.Lock()
	s.hearReply(from, lane, reply, time.Now(), &out)
	s.mu.Unlock()
	s.deliver(out)
	return nil
}

func (s *Service) hearReply(from string, lane grant.Lane, reply grant.Reply, now time.Time, out *outbox) {
	known := s.requesters[lane]
	if known == nil {
		return
	}
	before := known.Current()
	heard := known.HearReply(from, reply, now)
	out.noteDispatcher(lane, before, known.Current())
	for _, given := range heard.Grants {
		out.grants = append(out.grants, granted{lane: lane, from: from, grant: given})
	}
	for _, refusal := range heard.Refused {
		out.refused = append(out.refused, refused{from: from, refusal: refusal})
	}
	out.stops = append(out.stops, heard.Stops...)
}

// deliver sends what is to be sent, and hands grants on; no lock is held.
func (s *Service) deliver(out outbox) {
	for _, change := range out.changes {
		events.DispatcherChanged.Log(s.Logger, zap.String("pool", change.lane.Pool), zap.Uint32("part", change.lane.Part), zap.Uint32("parts", change.lane.Parts),
			zap.String("from", change.from), zap.String("to", change.to))
	}
	for _, message := range out.states {
		s.transport.SendState(message.to, message.lane, message.state)
	}
	for _, message := range out.replies {
		s.transport.SendReply(message.to, message.lane, message.reply)
	}
	for _, given := range out.grants {
		s.handOver(given)
	}
	for _, given := range out.refused {
		s.tell(given.refusal.ID, verdict{overLimit: &OverLimitError{Verdict: given.refusal.Verdict, Dispatcher: given.from}})
	}
	for _, id := range out.alone {
		s.tell(id, verdict{alone: true})
	}
	for _, id := range out.stops {
		s.Stop(id)
	}
}

// wakeBy has the loop wake at a time at the latest; the caller holds mu.
func (s *Service) wakeBy(at time.Time) {
	if !s.nextAt.IsZero() && !at.Before(s.nextAt) {
		return
	}
	s.nextAt = at
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

package rows

import (
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/peer"
)

// changeMessage floods one accepted edit.
type changeMessage struct {
	Change      policy.Change
	CommittedAt time.Time
}

// headMessage compares two nodes' tables.
type headMessage struct {
	Revision uint64
	// Digest is of the rows at Revision; zero when the sender holds later changes.
	Digest uint64
	// Answer marks a reply, which is not answered again.
	Answer bool
}

// changesRequest asks for the changes after a revision.
type changesRequest struct{ After uint64 }

// changesReply gives them in order, or says that they are too old to have.
type changesReply struct {
	Changes  []policy.Change
	Revision uint64 // the sender's
	TooOld   bool
	// Unready: the sender has no table yet, or is itself catching up.
	Unready bool
}

// snapshotRequest asks for the rows after an id, in order.
type snapshotRequest struct{ After identity.RowID }

// snapshotReply is one page; Done marks the last.
type snapshotReply struct {
	Revision uint64
	Rows     []policy.Row
	Done     bool
	Unready  bool
}

// statusRequest asks what a node holds.
type statusRequest struct{ Asked bool }

// statusReply says it.
type statusReply struct {
	Revision uint64
	Rows     int
	Ready    bool
}

const (
	// changesPage bounds the changes of one reply.
	changesPage = 128
	// snapshotPage bounds the rows of one reply.
	snapshotPage = 256
)

// changeSource is where a change came from, a label of the metrics.
type changeSource string

const (
	sourceOwn   changeSource = "own"
	sourceFlood changeSource = "flood"
	sourcePeer  changeSource = "peer"
	sourceStore changeSource = "store"
)

func (s *Service) handleMessages() {
	peer.Register(changesReply{}, snapshotReply{}, statusReply{})
	s.bus.Handle(changeMessage{}, func(from identity.NodeID, message any) any {
		s.takeChange(from, message.(changeMessage))
		return nil
	})
	s.bus.Handle(headMessage{}, func(from identity.NodeID, message any) any {
		s.takeHead(from, message.(headMessage))
		return nil
	})
	s.bus.Handle(changesRequest{}, func(_ identity.NodeID, message any) any {
		return s.changesAfter(message.(changesRequest).After)
	})
	s.bus.Handle(snapshotRequest{}, func(_ identity.NodeID, message any) any {
		return s.snapshotAfter(message.(snapshotRequest).After)
	})
	s.bus.Handle(statusRequest{}, func(identity.NodeID, any) any { return s.status() })
}

func (s *Service) takeChange(from identity.NodeID, message changeMessage) {
	s.metrics.inForce.Observe(max(0, time.Since(message.CommittedAt).Seconds()))
	s.apply(sourceFlood, message.Change)
	if table := s.Table(); table.Revision() < message.Change.Revision() {
		s.ask(want{revision: message.Change.Revision(), from: from})
	}
}

// headOf describes a table to another node.
func headOf(table *policy.Table) headMessage {
	message := headMessage{Revision: table.Revision()}
	if table.Highest() == table.Revision() {
		message.Digest = table.Digest()
	}
	return message
}

// takeHead compares another node's table with this one's: who has less asks
// for the rest.
func (s *Service) takeHead(from identity.NodeID, message headMessage) {
	if !s.loaded.Load() {
		return
	}
	mine := headOf(s.Table())
	switch {
	case mine.Revision < message.Revision:
		s.ask(want{revision: message.Revision, from: from})
	case mine.Revision > message.Revision && !message.Answer:
		mine.Answer = true
		_ = s.bus.Send(from, mine) // best effort; the next exchange repeats it
	case mine.Revision == message.Revision && mine.Digest != 0 && message.Digest != 0 && mine.Digest != message.Digest:
		events.RowsDiverged.Log(s.logger, zap.String("node", string(from)), zap.Uint64("revision", mine.Revision))
		s.ask(want{reload: true})
	}
}

// changesAfter answers from the recent changes.
func (s *Service) changesAfter(after uint64) changesReply {
	if !s.loaded.Load() || s.behind() {
		return changesReply{Unready: true}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := changesReply{Revision: s.table.Load().Revision()}
	last := min(reply.Revision, after+changesPage)
	for revision := after + 1; revision <= last; revision++ {
		change := s.recent[int(revision%uint64(len(s.recent)))]
		if change.Revision() != revision {
			return changesReply{Revision: reply.Revision, TooOld: true}
		}
		reply.Changes = append(reply.Changes, change)
	}
	return reply
}

// snapshotAfter answers with one page of rows.
func (s *Service) snapshotAfter(after identity.RowID) snapshotReply {
	if !s.loaded.Load() || s.behind() {
		return snapshotReply{Unready: true}
	}
	table := s.Table()
	reply := snapshotReply{Revision: table.Revision()}
	reply.Rows, reply.Done = table.Page(after, snapshotPage)
	return reply
}

func (s *Service) status() statusReply {
	table := s.Table()
	return statusReply{Revision: table.Revision(), Rows: table.Len(), Ready: s.Ready()}
}

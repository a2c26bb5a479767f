package rows

import (
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/peer"
)

// changeMessage distributes one accepted edit to all nodes.
type changeMessage struct {
	Change      policy.Change
	CommittedAt time.Time
}

// headMessage describes the sender's table, for comparison with the receiver's.
type headMessage struct {
	Revision uint64
	// Digest is the digest of the rows at Revision. It is zero if the sender
	// also holds later changes.
	Digest uint64
	// Answer marks a reply to another headMessage. A reply is not answered.
	Answer bool
}

// changesRequest requests the changes after a revision.
type changesRequest struct{ After uint64 }

// changesReply holds the changes in order. TooOld is set if the sender no longer
// has all of them.
type changesReply struct {
	Changes  []policy.Change
	Revision uint64 // revision of the sender's table
	TooOld   bool
	// Unready is set if the sender has no table yet, or is itself catching up
	// after a pause.
	Unready bool
}

// snapshotRequest requests the rows after an ID, in order.
type snapshotRequest struct{ After identity.RowID }

// snapshotReply is one page of rows. Done marks the last page.
type snapshotReply struct {
	Revision uint64
	Rows     []policy.Row
	Done     bool
	Unready  bool
}

// statusRequest requests the state of a node's table.
type statusRequest struct{ Asked bool }

// statusReply is the answer to a statusRequest.
type statusReply struct {
	Revision uint64
	Rows     int
	Ready    bool
}

const (
	// maxChangesPerReply bounds the changes in a changesReply.
	maxChangesPerReply = 128
	// maxRowsPerReply bounds the rows in a snapshotReply.
	maxRowsPerReply = 256
)

// changeSource states where a change came from. It is a metric label.
type changeSource string

const (
	sourceOwn   changeSource = "own"
	sourceFlood changeSource = "flood"
	sourcePeer  changeSource = "peer"
	sourceStore changeSource = "store"
)

func (s *Service) registerHandlers() {
	peer.Register(changesReply{}, snapshotReply{}, statusReply{})
	s.bus.Handle(changeMessage{}, func(from identity.NodeID, message any) any {
		s.handleChange(from, message.(changeMessage))
		return nil
	})
	s.bus.Handle(headMessage{}, func(from identity.NodeID, message any) any {
		s.handleHead(from, message.(headMessage))
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

func (s *Service) handleChange(from identity.NodeID, message changeMessage) {
	s.metrics.propagationDelay.Observe(max(0, time.Since(message.CommittedAt).Seconds()))
	s.apply(sourceFlood, message.Change)
	if table := s.Table(); table.Revision() < message.Change.Revision() {
		s.requestRepair(repairRequest{revision: message.Change.Revision(), from: from})
	}
}

// headOf returns the description of a table for another node.
func headOf(table *policy.Table) headMessage {
	message := headMessage{Revision: table.Revision()}
	if table.Highest() == table.Revision() {
		message.Digest = table.Digest()
	}
	return message
}

// handleHead compares another node's table with this node's. The node with the
// lower revision fetches the missing changes. Tables that differ at the same
// revision have diverged, and this node reloads its table from the store.
func (s *Service) handleHead(from identity.NodeID, message headMessage) {
	if !s.loaded.Load() {
		return
	}
	local := headOf(s.Table())
	switch {
	case local.Revision < message.Revision:
		s.requestRepair(repairRequest{revision: message.Revision, from: from})
	case local.Revision > message.Revision && !message.Answer:
		local.Answer = true
		_ = s.bus.Send(from, local) // best effort; the next comparison repeats it
	case local.Revision == message.Revision && local.Digest != 0 && message.Digest != 0 && local.Digest != message.Digest:
		events.RowsDiverged.Log(s.logger, zap.String("node", string(from)), zap.Uint64("revision", local.Revision))
		s.requestRepair(repairRequest{reload: true})
	}
}

// changesAfter answers a changesRequest from the recent changes.
func (s *Service) changesAfter(after uint64) changesReply {
	if !s.loaded.Load() || s.behind() {
		return changesReply{Unready: true}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := changesReply{Revision: s.table.Load().Revision()}
	last := min(reply.Revision, after+maxChangesPerReply)
	for revision := after + 1; revision <= last; revision++ {
		change := s.recentChanges[int(revision%uint64(len(s.recentChanges)))]
		if change.Revision() != revision {
			return changesReply{Revision: reply.Revision, TooOld: true}
		}
		reply.Changes = append(reply.Changes, change)
	}
	return reply
}

// snapshotAfter answers a snapshotRequest with one page of rows.
func (s *Service) snapshotAfter(after identity.RowID) snapshotReply {
	if !s.loaded.Load() || s.behind() {
		return snapshotReply{Unready: true}
	}
	table := s.Table()
	reply := snapshotReply{Revision: table.Revision()}
	reply.Rows, reply.Done = table.Page(after, maxRowsPerReply)
	return reply
}

func (s *Service) status() statusReply {
	table := s.Table()
	return statusReply{Revision: table.Revision(), Rows: table.Len(), Ready: s.Ready()}
}

package membership

import (
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
)

// received handles a message that arrived on a link.
func (m *Machine) received(event Received) {
	link := m.links[event.From]
	if link == nil {
		return
	}
	link.lastReceived = m.now
	switch message := event.Message.(type) {
	case Heartbeat:
		link.unwanted = message.Unwanted
		m.compareDigest(event.From, link, message.Digest)
	case Deltas:
		for _, member := range message.Members {
			m.merge(member)
		}
	case Sync:
		m.sync(event.From, message)
	}
}

// sync merges a full member list. A member that is dead in the list and not dead
// here at the same incarnation becomes suspected instead of dead, unless it left
// or was replaced. If it is alive, the suspicion reaches it and it refutes it.
func (m *Machine) sync(from identity.NodeID, message Sync) {
	for _, member := range message.Members {
		known := m.records[member.ID]
		gone := slices.Contains(message.Gone, member.ID)
		if member.State == Dead && !gone && known != nil && known.member.State != Dead && member.Incarnation == known.member.Incarnation {
			member.State = Suspect
		}
		m.merge(member)
		if known = m.records[member.ID]; gone && known != nil && known != m.self && known.member.State == Dead {
			known.gone = true
		}
	}
	if message.Reply {
		m.sendSync(from, false)
	}
}

// sendSync sends the full member list.
func (m *Machine) sendSync(to identity.NodeID, reply bool) {
	list := Sync{Members: make([]Member, 0, len(m.ordered)), Reply: reply}
	for _, record := range m.ordered {
		list.Members = append(list.Members, record.member)
		if record.gone {
			list.Gone = append(list.Gone, record.member.ID)
		}
	}
	m.links[to].syncedAt = m.now
	m.send(to, list)
}

// merge applies a member update from another node. The higher incarnation wins.
// At equal incarnations the state with the higher value of State wins.
func (m *Machine) merge(update Member) {
	if update.ID == m.self.member.ID {
		m.refute(update)
		return
	}
	known := m.records[update.ID]
	switch {
	case known == nil:
		m.add(update)
	case update.Incarnation < known.member.Incarnation:
	case update.Incarnation > known.member.Incarnation:
		m.override(known, update)
	case update.State == Suspect:
		m.startSuspicion(known)
	case update.State > known.member.State:
		m.override(known, update)
	}
}

// refute raises this node's incarnation above that of an update that declares this
// node suspect or dead at its current or a higher incarnation, or that has a
// higher incarnation in any state. A stopped node does not refute its death.
func (m *Machine) refute(update Member) {
	own := &m.self.member
	if update.State != Suspect && update.State != Dead && update.Incarnation <= own.Incarnation {
		return
	}
	if update.Incarnation < own.Incarnation || own.State == Dead {
		return
	}
	m.removeFromDigest(m.self)
	own.Incarnation = update.Incarnation + 1
	m.addToDigest(m.self)
	m.changedMembers[own.ID] = true
	m.viewChanged = true
	m.emit(Refuted{Incarnation: own.Incarnation})
}

// add inserts a member that was unknown.
func (m *Machine) add(update Member) {
	if update.PeerAddress == "" {
		return // a delta of an unknown node; the differing digests lead to a Sync
	}
	added := &record{member: update, ringPositions: positions(update.ID)}
	m.insert(added)
	if update.State == Dead {
		added.diedAt = m.now
		if _, held := m.addressOwners[update.PeerAddress]; !held {
			m.addressOwners[update.PeerAddress] = update.ID
		}
		return
	}
	if update.State == Suspect {
		added.member.State = Alive
	}
	m.addToDigest(added)
	m.changedMembers[update.ID] = true
	m.viewChanged, m.overlayStale = true, true
	m.emit(MemberChanged{Member: added.member})
	if update.State == Suspect {
		m.startSuspicion(added)
	}
	m.claimAddress(added)
}

// override replaces the record of a member by an update.
func (m *Machine) override(known *record, update Member) {
	if update.State == Dead {
		m.removeFromDigest(known)
		known.member.Incarnation = update.Incarnation
		m.addToDigest(known)
		m.markDead(known, known.member.State == Leaving)
		return
	}
	before := known.member
	m.removeFromDigest(known)
	m.clearSuspicion(known)
	if update.PeerAddress != "" {
		known.member = update
	}
	known.member.Incarnation = update.Incarnation
	known.member.State = update.State
	if update.State == Suspect {
		known.member.State = Alive
	}
	m.addToDigest(known)
	known.gone = false
	m.changedMembers[update.ID] = true
	m.viewChanged = true
	m.overlayStale = m.overlayStale || before.State == Dead
	if before.State != known.member.State {
		m.emit(MemberChanged{Member: known.member, Known: true, Before: before.State})
	}
	if update.State == Suspect {
		m.startSuspicion(known)
	}
	m.claimAddress(known)
}

// claimAddress resolves a conflict of two members with the same address. The
// member with the higher incarnation, which started later, gets the address, and
// the other one is marked dead. This node itself always keeps its address.
func (m *Machine) claimAddress(claimant *record) {
	address := claimant.member.PeerAddress
	holder := m.records[m.addressOwners[address]]
	if holder == nil || holder.member.State == Dead || holder == claimant {
		m.addressOwners[address] = claimant.member.ID
		return
	}
	if holder == m.self || holder.member.Incarnation > claimant.member.Incarnation {
		m.markDead(claimant, true)
		return
	}
	m.addressOwners[address] = claimant.member.ID
	m.markDead(holder, true)
}

// startSuspicion marks a member suspect. The member is marked dead unless it
// refutes the suspicion within DeadAfter.
func (m *Machine) startSuspicion(known *record) {
	if known.member.State == Dead || !known.suspicionDeadline.IsZero() {
		return
	}
	known.suspicionDeadline = m.now.Add(m.config.DeadAfter)
	m.suspectCount++
	m.changedMembers[known.member.ID] = true
	if known.member.State == Alive { // a leaving member stays Leaving in the view
		known.member.State = Suspect
		m.viewChanged = true
		m.emit(MemberChanged{Member: known.member, Known: true, Before: Alive})
	}
}

// clearSuspicion ends the suspicion of a member, if there is one.
func (m *Machine) clearSuspicion(known *record) {
	if known.suspicionDeadline.IsZero() {
		return
	}
	known.suspicionDeadline = time.Time{}
	m.suspectCount--
}

// markDead marks a member dead. If gone is true, the member is not dialed again.
func (m *Machine) markDead(known *record, gone bool) {
	m.viewChanged = m.viewChanged || known.gone != gone
	known.gone = known.gone || gone
	if known.member.State == Dead {
		return
	}
	before := known.member.State
	m.removeFromDigest(known)
	m.clearSuspicion(known)
	known.member.State = Dead
	known.diedAt = m.now
	m.addToDigest(known)
	m.changedMembers[known.member.ID] = true
	m.viewChanged, m.overlayStale = true, true
	m.emit(MemberChanged{Member: known.member, Known: true, Before: before})
	if m.links[known.member.ID] != nil {
		m.emit(Disconnect{ID: known.member.ID})
	}
}

package membership

import (
	"cmp"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
)

// linkUp registers an established link. The peer's own record is direct evidence
// that it is alive, unless it is recorded as dead at the same incarnation. In that
// case the differing digests lead to a Sync, and the peer refutes its death.
func (m *Machine) linkUp(event LinkUp) {
	id := event.Peer.ID
	if id == m.self.member.ID {
		m.emit(Disconnect{ID: id})
		return
	}
	known := m.records[id]
	syncImmediately := len(m.links) == 0 || (known != nil && known.member.State == Dead)
	m.links[id] = &link{since: m.now, lastReceived: m.now, lastSent: m.now, syncImmediately: syncImmediately}
	if neighbour := m.neighbours[id]; neighbour != nil {
		neighbour.dialing = false
	}
	m.merge(event.Peer)
	m.markReplaced(event.Peer.PeerAddress, id)
	m.heartbeat(id)
}

// markReplaced marks any other member recorded at an address as replaced, since
// the node with the given id answered there.
func (m *Machine) markReplaced(address string, id identity.NodeID) {
	holder := m.records[m.addressOwners[address]]
	if holder == nil || holder.member.ID == id || holder == m.self {
		return
	}
	m.markDead(holder, true)
	if current := m.records[id]; current != nil && current.member.State != Dead {
		m.addressOwners[address] = id
	}
}

// linkDown removes a broken link. The neighbour's silence counts from the last
// message received on it.
func (m *Machine) linkDown(id identity.NodeID) {
	link := m.links[id]
	delete(m.links, id)
	neighbour := m.neighbours[id]
	if neighbour == nil || link == nil {
		return
	}
	if m.now.Sub(link.since) >= m.config.LongestAccusing {
		neighbour.suspectTimeout = m.config.SuspectAfter
	}
	neighbour.silentSince = link.lastReceived
	neighbour.nextDial = m.now
}

// dialFailed schedules the next connection attempt to a neighbour. If another
// node answered at the address, the expected node is marked as replaced.
func (m *Machine) dialFailed(event DialFailed) {
	if neighbour := m.neighbours[event.Expected]; neighbour != nil {
		neighbour.dialing = false
		neighbour.nextDial = m.now.Add(m.config.RedialEvery)
	}
	if event.Found == "" || event.Found == event.Expected {
		return
	}
	if known := m.records[event.Expected]; known != nil && known != m.self {
		m.markDead(known, true)
	}
}

// updateNeighbours recomputes the overlay neighbours. Links outside the overlay
// are closed later, once neither end wants them.
func (m *Machine) updateNeighbours() {
	m.overlayStale = false
	wanted := neighbours(m.self, m.ordered)
	for id := range m.neighbours {
		if !slices.Contains(wanted, id) {
			delete(m.neighbours, id)
		}
	}
	for _, id := range wanted {
		if m.neighbours[id] != nil {
			continue
		}
		added := &neighbour{silentSince: m.now, nextDial: m.now, suspectTimeout: m.config.SuspectAfter}
		if id < m.self.member.ID {
			// The node with the lower id dials. The other one dials only if no
			// link comes up within a heartbeat interval.
			added.nextDial = m.now.Add(m.config.HeartbeatEvery)
		}
		m.neighbours[id] = added
	}
}

// compareDigest requests a full synchronization when the digests of both ends of
// a link differ. It does so immediately on a link that was this node's only one
// when it came up, and on a link to a node that was recorded as dead. Otherwise it
// waits until the digests have differed, and this node's digest has not changed,
// for two heartbeat intervals.
func (m *Machine) compareDigest(id identity.NodeID, link *link, digest uint64) {
	if digest == m.digest {
		link.differsSince = time.Time{}
		return
	}
	if link.differsSince.IsZero() {
		link.differsSince = m.now
	}
	rest := 2 * m.config.HeartbeatEvery
	atRest := m.now.Sub(link.differsSince) >= rest && m.now.Sub(m.digestChangedAt) >= rest
	first := link.syncImmediately && link.syncedAt.IsZero()
	if first || (atRest && m.now.Sub(link.syncedAt) >= m.config.SyncEvery) {
		m.sendSync(id, true)
	}
}

func sortedKeys[K cmp.Ordered, V any](entries map[K]V) []K {
	keys := make([]K, 0, len(entries))
	for key := range entries {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

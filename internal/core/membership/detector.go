package membership

import (
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/rendezvous"
)

const (
	// isolationMinNeighbours is the minimum number of neighbours with which this
	// node attributes the silence of more than half of them to a fault of its own.
	isolationMinNeighbours = 4
	// regionProbeMinSuspects is the number of simultaneous suspects in a region
	// at which every zone probes the region's other members.
	regionProbeMinSuspects = 2
	// suspicionSettleTime is how long a suspicion lasts before it counts toward
	// regionProbeMinSuspects. Most false suspicions are refuted by then.
	suspicionSettleTime = 300 * time.Millisecond
	// minProbeInterval is the minimum time between two probe rounds of a region. It
	// doubles up to maxProbeInterval while rounds follow each other closely.
	minProbeInterval = 5 * time.Second
	maxProbeInterval = time.Minute
	// tombstoneScanInterval is the time between two scans for expired tombstones.
	tombstoneScanInterval = time.Minute
	// seedsAtOnce is how many addresses a node without links dials in one round.
	seedsAtOnce = 3
)

// tick runs all time-based checks.
func (m *Machine) tick() {
	gap := m.now.Sub(m.lastTick)
	m.lastTick = m.now
	if gap > m.config.PauseNoticed {
		m.restartTimeouts(gap)
	}
	if m.overlayStale {
		m.updateNeighbours()
	}
	m.watchLinks()
	m.watchNeighbours()
	if m.suspectCount > 0 {
		m.expireSuspicions()
		m.probeRegions()
	}
	if !m.now.Before(m.nextRetry) {
		m.retryUnreachable()
	}
	if !m.now.Before(m.nextExpiry) {
		m.expireTombstones()
	}
}

// restartTimeouts restarts the timeouts of all links, neighbours and suspicions
// after a pause of this node, since silence during the pause proves nothing.
func (m *Machine) restartTimeouts(gap time.Duration) {
	for _, link := range m.links {
		link.lastReceived = m.now
	}
	for _, neighbour := range m.neighbours {
		neighbour.silentSince = m.now
	}
	for _, record := range m.ordered {
		if !record.suspicionDeadline.IsZero() {
			record.suspicionDeadline = m.now.Add(m.config.DeadAfter)
		}
	}
	m.emit(Paused{Seconds: gap.Seconds()})
}

// watchLinks sends heartbeats and closes silent or unwanted links.
func (m *Machine) watchLinks() {
	for _, id := range m.linkIDs() {
		link := m.links[id]
		wanted := m.neighbours[id] != nil
		switch {
		case m.now.Sub(link.lastReceived) >= m.config.SuspectAfter:
			m.emit(Disconnect{ID: id})
		case !wanted && link.unwanted && m.now.Sub(link.since) >= m.config.UnwantedFor:
			m.emit(Disconnect{ID: id})
		case m.now.Sub(link.lastSent) >= m.config.HeartbeatEvery:
			m.heartbeat(id)
		}
	}
}

func (m *Machine) heartbeat(to identity.NodeID) {
	m.send(to, Heartbeat{Unwanted: m.neighbours[to] == nil, Digest: m.digest})
}

// watchNeighbours connects to neighbours without a link and suspects those whose
// silence exceeds their timeout. The timeout is doubled while this node seems
// isolated.
func (m *Machine) watchNeighbours() {
	silent := 0
	for id, neighbour := range m.neighbours {
		if m.silence(id, neighbour) >= m.config.SuspectAfter {
			silent++
		}
	}
	isolated := len(m.neighbours) >= isolationMinNeighbours && 2*silent > len(m.neighbours)
	for _, id := range sortedKeys(m.neighbours) {
		neighbour := m.neighbours[id]
		timeout := neighbour.suspectTimeout
		if isolated {
			timeout *= 2
		}
		if m.silence(id, neighbour) >= timeout && m.now.Sub(neighbour.suspectedAt) >= timeout {
			m.suspectNeighbour(id, neighbour)
		}
		if m.links[id] == nil && !neighbour.dialing && !m.now.Before(neighbour.nextDial) {
			neighbour.dialing = true
			m.emit(Connect{ID: id, Address: m.records[id].member.PeerAddress})
		}
	}
}

// silence returns the time since the last message from a neighbour.
func (m *Machine) silence(id identity.NodeID, neighbour *neighbour) time.Duration {
	if link := m.links[id]; link != nil {
		return m.now.Sub(link.lastReceived)
	}
	return m.now.Sub(neighbour.silentSince)
}

// suspectNeighbour suspects a neighbour and doubles its timeout, because if the
// neighbour is alive, only this link is faulty.
func (m *Machine) suspectNeighbour(id identity.NodeID, neighbour *neighbour) {
	neighbour.suspectedAt = m.now
	neighbour.suspectTimeout = min(2*neighbour.suspectTimeout, m.config.LongestAccusing)
	m.raiseSuspicion(id, "silence")
}

func (m *Machine) raiseSuspicion(id identity.NodeID, reason string) {
	known := m.records[id]
	if known == nil || known.member.State == Dead || !known.suspicionDeadline.IsZero() {
		return
	}
	m.emit(SuspicionRaised{ID: id, Reason: reason})
	m.startSuspicion(known)
}

// expireSuspicions marks the suspects dead that did not refute the suspicion in time.
func (m *Machine) expireSuspicions() {
	for _, record := range m.ordered {
		if !record.suspicionDeadline.IsZero() && !m.now.Before(record.suspicionDeadline) {
			m.markDead(record, record.member.State == Leaving)
		}
	}
}

// probeRegions detects correlated failures. If a region has several suspects at
// the same time, each zone probes the region's other members directly, with one
// prober for each member. The loss of a zone or a partition between regions is
// thus detected in one round, also for members without a neighbour on this side.
func (m *Machine) probeRegions() {
	suspects := map[string]int{}
	for _, record := range m.ordered {
		if !record.suspicionDeadline.IsZero() && record.suspicionDeadline.Sub(m.now) <= m.config.DeadAfter-suspicionSettleTime {
			suspects[record.member.Region]++
		}
	}
	var probers []identity.NodeID
	for region, count := range suspects {
		if count < regionProbeMinSuspects || !m.regionProbes[region].due(m.now) {
			continue
		}
		m.regionProbes[region] = m.regionProbes[region].next(m.now)
		if probers == nil {
			probers = m.zoneProbers()
		}
		m.probeRegion(region, probers)
	}
}

// probeBackoff records when a region was last probed.
type probeBackoff struct {
	lastProbe time.Time
	interval  time.Duration // minimum time before the next round
}

func (p probeBackoff) due(now time.Time) bool { return now.Sub(p.lastProbe) >= p.interval }

// next returns the state after a probe round at now. A round soon after the last
// one doubles the interval, so that probes do not cause more suspicions in an
// overloaded fleet.
func (p probeBackoff) next(now time.Time) probeBackoff {
	interval := minProbeInterval
	if p.interval > 0 && now.Sub(p.lastProbe) < 2*p.interval {
		interval = min(2*p.interval, maxProbeInterval)
	}
	return probeBackoff{lastProbe: now, interval: interval}
}

// zoneProbers returns the members of this node's zone that are neither dead nor suspected.
func (m *Machine) zoneProbers() []identity.NodeID {
	own := &m.self.member
	var probers []identity.NodeID
	for _, record := range m.ordered {
		if record.member.State != Dead && record.suspicionDeadline.IsZero() && sameRing(zoneRing, own, &record.member) {
			probers = append(probers, record.member.ID)
		}
	}
	return probers
}

// probeRegion probes the members of a region that are assigned to this node by
// rendezvous hashing among the probers of its zone.
func (m *Machine) probeRegion(region string, probers []identity.NodeID) {
	for _, record := range m.ordered {
		id := record.member.ID
		if record.member.Region != region || record == m.self || record.member.State == Dead || !record.suspicionDeadline.IsZero() {
			continue
		}
		if m.links[id] != nil {
			continue // the link's timeout covers it
		}
		if owner, _ := rendezvous.Owner(string(id), probers); owner == m.self.member.ID {
			m.emit(Probe{ID: id, Address: record.member.PeerAddress})
		}
	}
}

// retryUnreachable dials one node that is recorded as dead or is unknown. A node
// without links dials several.
func (m *Machine) retryUnreachable() {
	pause, attempts := m.config.RetryDeadEvery, 1
	if len(m.links) == 0 {
		pause, attempts = m.config.RedialEvery, seedsAtOnce
	}
	m.nextRetry = m.now.Add(pause)
	candidates := m.retryCandidates()
	for range min(attempts, len(candidates)) {
		m.retries++
		m.emit(candidates[int(m.retries%uint64(len(candidates)))])
	}
}

// retryCandidates returns the connections that retryUnreachable chooses from. The
// order differs between nodes.
func (m *Machine) retryCandidates() []Connect {
	var candidates []Connect
	listed := map[string]bool{}
	for _, record := range m.ordered {
		id := record.member.ID
		if record.member.State != Dead || record.gone || m.addressOwners[record.member.PeerAddress] != id {
			continue
		}
		listed[record.member.PeerAddress] = true
		candidates = append(candidates, Connect{ID: id, Address: record.member.PeerAddress})
	}
	for _, address := range append(append([]string{}, m.seeds...), m.discovered...) {
		holder := m.records[m.addressOwners[address]]
		if listed[address] || (holder != nil && holder.member.State != Dead) {
			continue
		}
		listed[address] = true
		candidates = append(candidates, Connect{Address: address})
	}
	if len(candidates) > 1 {
		offset := int(m.self.ringPositions[globalRing] % uint64(len(candidates)))
		candidates = append(candidates[offset:], candidates[:offset]...)
	}
	return candidates
}

// expireTombstones removes the members whose tombstones have expired.
func (m *Machine) expireTombstones() {
	m.nextExpiry = m.now.Add(tombstoneScanInterval)
	m.ordered = slices.DeleteFunc(m.ordered, func(tombstone *record) bool {
		if !m.tombstoneExpired(tombstone) {
			return false
		}
		id, address := tombstone.member.ID, tombstone.member.PeerAddress
		if m.addressOwners[address] == id {
			delete(m.addressOwners, address)
		}
		delete(m.records, id)
		m.viewChanged = true
		return true
	})
}

func (m *Machine) tombstoneExpired(tombstone *record) bool {
	keep := m.config.TombstoneFor
	if tombstone.gone {
		keep = m.config.LeftTombstone
	}
	return tombstone.member.State == Dead && tombstone != m.self && m.now.Sub(tombstone.diedAt) >= keep
}

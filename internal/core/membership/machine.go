package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ringstream.example/ringstream/internal/core/identity"
)

// minViewInterval is the minimum time between two ViewChanged effects. Views
// emitted on a Tick are exempt.
const minViewInterval = 100 * time.Millisecond

// Config holds the timeouts and intervals of the failure detector.
type Config struct {
	HeartbeatEvery  time.Duration `koanf:"heartbeat_every" usage:"longest silence of this node on a link"`
	SuspectAfter    time.Duration `koanf:"suspect_after" usage:"silence on a link after which its other end is suspected"`
	DeadAfter       time.Duration `koanf:"dead_after" usage:"time a suspected node has to deny it"`
	RetryDeadEvery  time.Duration `koanf:"retry_dead_every" usage:"pause between attempts to reach one dead or unknown node"`
	TombstoneFor    time.Duration `koanf:"tombstone_for" usage:"how long a dead node is remembered and tried"`
	RedialEvery     time.Duration `koanf:"redial_every" usage:"pause between attempts to reach an overlay neighbour"`
	UnwantedFor     time.Duration `koanf:"unwanted_for" usage:"how long a link outside the overlay stays open"`
	SyncEvery       time.Duration `koanf:"sync_every" usage:"least pause between whole member lists on a link"`
	PauseNoticed    time.Duration `koanf:"pause_noticed" usage:"gap between two ticks that counts as a pause of this node"`
	LeftTombstone   time.Duration `koanf:"left_tombstone" usage:"how long a node that left or was replaced is remembered"`
	LongestAccusing time.Duration `koanf:"longest_accusing" usage:"longest pause between two accusations over one bad link"`
}

// DefaultConfig returns settings with which every node learns of a dead node within 5 s.
func DefaultConfig() Config {
	return Config{
		HeartbeatEvery:  700 * time.Millisecond,
		SuspectAfter:    2100 * time.Millisecond,
		DeadAfter:       1500 * time.Millisecond,
		RetryDeadEvery:  10 * time.Second,
		TombstoneFor:    24 * time.Hour,
		RedialEvery:     time.Second,
		UnwantedFor:     3 * time.Second,
		SyncEvery:       5 * time.Second,
		PauseNoticed:    time.Second,
		LeftTombstone:   10 * time.Minute,
		LongestAccusing: time.Minute,
	}
}

// Validate checks the settings. The error names the invalid key.
func (c Config) Validate() error {
	for _, setting := range []struct {
		key   string
		value time.Duration
	}{
		{"heartbeat_every", c.HeartbeatEvery},
		{"suspect_after", c.SuspectAfter},
		{"dead_after", c.DeadAfter},
		{"retry_dead_every", c.RetryDeadEvery},
		{"tombstone_for", c.TombstoneFor},
		{"redial_every", c.RedialEvery},
		{"unwanted_for", c.UnwantedFor},
		{"sync_every", c.SyncEvery},
		{"pause_noticed", c.PauseNoticed},
		{"left_tombstone", c.LeftTombstone},
		{"longest_accusing", c.LongestAccusing},
	} {
		if setting.value <= 0 {
			return fmt.Errorf("%s: must be above 0", setting.key)
		}
	}
	if c.SuspectAfter < 2*c.HeartbeatEvery {
		return fmt.Errorf("suspect_after: must be at least twice heartbeat_every (%s)", c.HeartbeatEvery)
	}
	return nil
}

// record is the machine's state of one member.
type record struct {
	member        Member
	ringPositions [ringCount]uint64
	// suspicionDeadline is when a suspected member is marked dead. It is zero
	// while the member is not suspected.
	suspicionDeadline time.Time
	// diedAt is when this node marked the member dead.
	diedAt time.Time
	// gone is true if the node left or was replaced. It is not dialed again.
	gone bool
}

// link is an established connection to a node.
type link struct {
	since           time.Time
	lastReceived    time.Time
	lastSent        time.Time
	unwanted        bool      // the other end's overlay does not include it
	syncImmediately bool      // member lists are synchronized without waiting for them to settle
	differsSince    time.Time // when the digests began to differ; zero while they are equal
	syncedAt        time.Time
}

// neighbour is the monitoring state of one overlay neighbour.
type neighbour struct {
	silentSince time.Time // when it became a neighbour, or when its last message on a link that broke arrived
	nextDial    time.Time
	dialing     bool
	// suspectTimeout is the silence after which the neighbour is suspected. It
	// doubles with each suspicion, up to LongestAccusing.
	suspectTimeout time.Duration
	suspectedAt    time.Time
}

// Machine is the failure detector and member list of one node. It is not safe
// for concurrent use.
type Machine struct {
	config     Config
	self       *record
	seeds      []string
	discovered []string
	records    map[identity.NodeID]*record
	ordered    []*record // the records, sorted by id
	// addressOwners maps a peer address to the member that has it. A dead member
	// keeps its entry until another member claims the address or its tombstone
	// expires.
	addressOwners   map[string]identity.NodeID
	links           map[identity.NodeID]*link
	neighbours      map[identity.NodeID]*neighbour
	suspectCount    int // records with a suspicionDeadline
	digest          uint64
	digestChangedAt time.Time // when the digest last changed
	lastTick        time.Time
	nextRetry       time.Time
	nextExpiry      time.Time
	retries         uint64
	regionProbes    map[string]probeBackoff // keyed by region
	viewEmittedAt   time.Time
	stopped         bool
	viewChanged     bool // the view has changed since the last ViewChanged effect
	overlayStale    bool // the overlay may have changed since it was last computed

	// State of the current step:
	now            time.Time
	effects        []Effect
	changedMembers map[identity.NodeID]bool // members to flood
}

// New returns the machine of a node that knows only itself and its seeds. The
// incarnation of self is its start time in milliseconds, so that a node
// restarted at an address overrides its predecessor there.
func New(config Config, self Member, seeds []string, now time.Time) *Machine {
	machine := &Machine{
		config:          config,
		self:            &record{member: self, ringPositions: positions(self.ID)},
		seeds:           seeds,
		records:         map[identity.NodeID]*record{},
		addressOwners:   map[string]identity.NodeID{self.PeerAddress: self.ID},
		links:           map[identity.NodeID]*link{},
		neighbours:      map[identity.NodeID]*neighbour{},
		regionProbes:    map[string]probeBackoff{},
		changedMembers:  map[identity.NodeID]bool{},
		lastTick:        now,
		digestChangedAt: now,
	}
	machine.insert(machine.self)
	machine.digest = memberHash(&self)
	return machine
}

// Step applies one event and returns its effects in order. A change of the view
// is emitted immediately, unless the previous view was emitted less than
// minViewInterval ago; then it is emitted at the next Tick or later event.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	m.now, m.effects = now, nil
	clear(m.changedMembers)
	if m.stopped {
		return nil
	}
	source := m.handle(event)
	m.flood(source)
	_, ticked := event.(Tick)
	if m.viewChanged && (ticked || now.Sub(m.viewEmittedAt) >= minViewInterval) {
		m.viewChanged, m.viewEmittedAt = false, now
		m.emit(ViewChanged{View: m.View()})
	}
	return m.effects
}

// handle applies an event and returns the node on whose link it arrived, or an
// empty id if it did not arrive on a link.
func (m *Machine) handle(event Event) identity.NodeID {
	switch event := event.(type) {
	case Tick:
		m.tick()
	case Received:
		m.received(event)
		return event.From
	case LinkUp:
		m.linkUp(event)
	case LinkDown:
		m.linkDown(event.Peer)
	case DialFailed:
		m.dialFailed(event)
	case ProbeDone:
		if !event.Answered {
			m.raiseSuspicion(event.ID, "probe")
		}
	case AddressesDiscovered:
		m.discovered = event.Addresses
	case LeaveAnnounced:
		m.announce(Leaving)
	case Stopped:
		m.announce(Dead)
		m.flood("")
		m.stopped = true
	}
	return ""
}

// announce sets the state of this node and increments its incarnation.
func (m *Machine) announce(state State) {
	if m.self.member.State >= state {
		return
	}
	m.removeFromDigest(m.self)
	m.self.member.State = state
	m.self.member.Incarnation++
	m.addToDigest(m.self)
	m.changedMembers[m.self.member.ID] = true
	m.viewChanged = true
}

// View returns the member list without the members that left or were replaced.
func (m *Machine) View() View {
	members := make([]Member, 0, len(m.ordered))
	for _, record := range m.ordered {
		if !record.gone {
			members = append(members, record.member)
		}
	}
	return View{Self: m.self.member.ID, Members: members}
}

// insert adds a record and keeps ordered sorted.
func (m *Machine) insert(added *record) {
	m.records[added.member.ID] = added
	at, _ := slices.BinarySearchFunc(m.ordered, added.member.ID, func(r *record, id identity.NodeID) int {
		return cmp.Compare(r.member.ID, id)
	})
	m.ordered = slices.Insert(m.ordered, at, added)
}

// OutsideOverlay reports whether there is a link to the node that neither end's overlay
// includes. Nothing is flooded on such a link.
func (m *Machine) OutsideOverlay(id identity.NodeID) bool {
	link := m.links[id]
	return link != nil && link.unwanted && m.neighbours[id] == nil
}

// Self returns this node's own record as other nodes receive it.
func (m *Machine) Self() Member { return m.self.member }

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

// send emits a Send effect for a link and records when the link was used.
func (m *Machine) send(to identity.NodeID, message Message) {
	if link := m.links[to]; link != nil {
		link.lastSent = m.now
		m.emit(Send{To: to, Message: message})
	}
}

// flood sends the members that changed in this step on all links except the
// source's link and those outside the overlay.
func (m *Machine) flood(source identity.NodeID) {
	if len(m.changedMembers) == 0 || len(m.links) == 0 {
		return
	}
	deltas := make([]Member, 0, len(m.changedMembers))
	for id := range m.changedMembers {
		deltas = append(deltas, m.delta(m.records[id]))
	}
	slices.SortFunc(deltas, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, id := range m.linkIDs() {
		if id != source && !m.OutsideOverlay(id) {
			m.send(id, Deltas{Members: deltas})
		}
	}
	clear(m.changedMembers)
}

// delta returns a record as it is flooded. A suspect or dead member is sent
// without its addresses, zone and region, since a receiver has them if it knows
// the member.
func (m *Machine) delta(record *record) Member {
	member := record.member
	if !record.suspicionDeadline.IsZero() && member.State < Dead {
		member.State = Suspect
	}
	if member.State == Suspect || member.State == Dead {
		return Member{ID: member.ID, Incarnation: member.Incarnation, State: member.State}
	}
	return member
}

// linkIDs returns the ids of the linked nodes in ascending order.
func (m *Machine) linkIDs() []identity.NodeID {
	ids := make([]identity.NodeID, 0, len(m.links))
	for id := range m.links {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// memberHash returns a member's contribution to the digest. A suspicion does not
// change the hash: it is short, and the digests of all nodes would differ for as
// long as it lasts. A dead member contributes nothing.
func memberHash(member *Member) uint64 {
	if member.State == Dead {
		return 0
	}
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(member.ID)) // xxhash writes never fail
	var fixed [9]byte
	for i := range 8 {
		fixed[i] = byte(member.Incarnation >> (8 * i))
	}
	if member.State == Leaving {
		fixed[8] = 1
	}
	_, _ = digest.Write(fixed[:])
	return digest.Sum64()
}

// removeFromDigest removes a record from the digest before the record changes.
func (m *Machine) removeFromDigest(record *record) { m.digest ^= memberHash(&record.member) }

// addToDigest adds a record to the digest after the record has changed.
func (m *Machine) addToDigest(record *record) {
	m.digest ^= memberHash(&record.member)
	m.digestChangedAt = m.now
}

// Package loadsum sums up the work that nodes report to have at the engines,
// so that each node sees an engine's whole load. How far a report goes depends
// on the number of nodes (type Scope): in a small fleet every node reports to
// every other, in a larger one to its zone's aggregator.
//
// An aggregator sends the sum of its zone to the aggregators of the other
// zones, and the sum of all to the nodes of its own. What a node receives is so
// independent of the number of nodes in other zones.
// There is no election: each node ranks the nodes of its zone alike, leaves out
// those that have fallen silent, and whoever is asked to sum up does so. Two
// aggregators in a zone for a while count nothing twice, since a node asks one
// of them. Nodes that see different numbers of nodes may use different scopes
// until both have followed the list; until then they may miss a part of each
// other's work, as when a datagram is lost.
//
// Reports are hints: they are lost without harm, and nothing durable rests on
// them. Time is an argument; the package does no I/O and takes no lock.
package loadsum

import (
	"cmp"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/rendezvous"
)

// Peer is a node that can be told something.
type Peer struct {
	Address string // IP:port
	Zone    string
}

// Report is one node's own work.
type Report struct {
	Life     uint32 // NodeHash of the node's life
	Sequence uint64 // rises within a life
	Loads    Loads
	Backlog  int // batch items that wait for an engine and can still be in time
	Scope    Scope
	// Asks: the receiver is this node's aggregator and answers with a Total.
	Asks bool
}

// Summary is what the nodes that report to one aggregator have together, the
// aggregator included.
type Summary struct {
	Life     uint32
	Sequence uint64
	Loads    Loads
	Backlogs []Backlog // of the nodes that have one
}

// Total is the work of all nodes, as sent to one that asked.
type Total struct {
	Life     uint32 // of the receiver, as its report told it
	Included uint64 // sequence of the receiver's newest report in it
	Loads    Loads
	Backlogs []Backlog
}

// Config bounds how long word counts.
type Config struct {
	Trust       time.Duration // a report or a sum counts this long
	SilentAfter time.Duration // an aggregator that answers no report for so long is left
	// LeftFor is for how long it is left. It is long: each silent one that is
	// tried again costs SilentAfter of hearing nothing, one after the other, and
	// nothing is lost by staying with the next. The dead go from SetPeers.
	LeftFor time.Duration
	// DirectNodes is the most nodes that report to each other directly: their
	// datagrams grow with the square of the nodes. With 24 nodes of each zone
	// doing so, 71 nodes sent 20,000 a second (docs/experiments.md, R10).
	DirectNodes int
}

// DefaultConfig suits reports every 200 ms at the least.
func DefaultConfig() Config {
	return Config{Trust: 800 * time.Millisecond, SilentAfter: 600 * time.Millisecond, LeftFor: time.Minute, DirectNodes: 16}
}

// historyLength is how many own reports are remembered, to be taken out of
// totals that include them.
const historyLength = 64

type heardReport struct {
	report Report
	at     time.Time
}

type heardSummary struct {
	summary Summary
	at      time.Time
}

// Tree is one node's part in the summing.
type Tree struct {
	config Config
	self   Peer

	peers  []Peer              // as last set, by address
	zones  map[string][]string // their addresses by zone, best ranked first
	seeds  []string            // asked while no other node is known
	scope  Scope
	own    Report
	past   [historyLength]Report // by sequence modulo its length
	left   map[string]time.Time  // aggregators left until then
	asked  string                // the aggregator reported to
	since  time.Time             // when it was first reported to, or last heard
	total  Total
	heard  time.Time // when total came
	nodes  map[string]heardReport
	others map[string]heardSummary
	told   uint64 // sequence of this node's summaries
}

// New makes the part of a node's life.
func New(config Config, self Peer, life uint32) *Tree {
	return &Tree{
		config: config, self: self, own: Report{Life: life}, zones: map[string][]string{self.Zone: {self.Address}},
		left: make(map[string]time.Time), nodes: make(map[string]heardReport), others: make(map[string]heardSummary),
	}
}

// SetPeers takes the other nodes that may be alive, and addresses to turn to
// while there are none.
func (t *Tree) SetPeers(peers []Peer, seeds []string) {
	sorted := slices.SortedFunc(slices.Values(peers), func(a, b Peer) int { return cmp.Compare(a.Address, b.Address) })
	if len(peers) > 0 && slices.Equal(sorted, t.peers) {
		return // ranking them costs more than the rest
	}
	t.peers = sorted
	t.zones = map[string][]string{t.self.Zone: {t.self.Address}}
	for _, peer := range peers {
		if peer.Address != t.self.Address {
			t.zones[peer.Zone] = append(t.zones[peer.Zone], peer.Address)
		}
	}
	for zone, addresses := range t.zones {
		slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(rank(zone, b), rank(zone, a)) })
	}
	t.seeds = nil
	if len(peers) == 0 {
		t.seeds = seeds
	}
	t.scope = t.scopeFor(len(peers))
}

func rank(zone, address string) uint64 { return rendezvous.Score(zone, identity.NodeID(address)) }

// Aggregator gives the address that this node reports to; its own when it is
// the aggregator. One that fell silent is left for a while.
func (t *Tree) Aggregator(now time.Time) string {
	if t.scope == FleetScope {
		t.asked, t.since = t.self.Address, now
		return t.asked
	}
	if t.asked != "" && t.asked != t.self.Address && now.Sub(t.since) > t.config.SilentAfter {
		t.left[t.asked] = now.Add(t.config.LeftFor)
	}
	chosen := t.firstSound(now)
	if chosen != t.asked {
		t.asked, t.since = chosen, now
	}
	return chosen
}

// Asked gives the address that this node reports to, and when that was last
// heard, or first reported to; empty and zero before the first.
func (t *Tree) Asked() (address string, heard time.Time) { return t.asked, t.since }

func (t *Tree) firstSound(now time.Time) string {
	for _, address := range slices.Concat(t.seeds, t.zones[t.self.Zone]) {
		if address == t.self.Address || !now.Before(t.left[address]) {
			return address
		}
	}
	return t.self.Address
}

// SetOwn takes this node's own work and gives it as a report, numbered anew.
func (t *Tree) SetOwn(loads Loads, backlog int) Report {
	t.own = Report{Life: t.own.Life, Sequence: t.own.Sequence + 1, Loads: loads, Backlog: backlog, Scope: t.scope}
	t.past[t.own.Sequence%historyLength] = t.own
	return t.own
}

// HearReport takes a node's report, unless a newer one of its life was heard.
func (t *Tree) HearReport(from string, report Report, now time.Time) {
	known, found := t.nodes[from]
	if from == t.self.Address || (found && known.report.Life == report.Life && known.report.Sequence >= report.Sequence) {
		return
	}
	t.nodes[from] = heardReport{report: report, at: now}
}

// HearTotal takes the sum of all from the aggregator that is reported to; one
// for an earlier life of this node's address is not taken.
func (t *Tree) HearTotal(from string, total Total, now time.Time) {
	if from != t.asked || total.Life != t.own.Life || total.Included < t.total.Included {
		return
	}
	t.total, t.heard, t.since = total, now, now
}

// expire forgets what is too old to count.
func (t *Tree) expire(now time.Time) {
	for address, known := range t.nodes {
		if now.Sub(known.at) > t.config.Trust {
			delete(t.nodes, address)
		}
	}
	for address, known := range t.others {
		if now.Sub(known.at) > t.config.Trust {
			delete(t.others, address)
		}
	}
	for address, until := range t.left {
		if now.After(until) {
			delete(t.left, address)
		}
	}
}

// Remote gives the work of the other nodes, and their backlogs.
func (t *Tree) Remote(now time.Time) (loads Loads, backlogs []Backlog) {
	t.expire(now)
	total := t.remoteTotal(now)
	loads = make(Loads, len(total.Loads))
	loads.Add(total.Loads, 1)
	if own := t.past[total.Included%historyLength]; total.Included > 0 && own.Sequence == total.Included {
		loads.Add(own.Loads, -1)
	}
	backlogs = slices.DeleteFunc(slices.Clone(total.Backlogs), func(known Backlog) bool { return known.Node == t.own.Life })
	return loads, backlogs
}

// remoteTotal gives the sum that Remote rests on; Included is zero where none
// of this node's own reports is in it.
func (t *Tree) remoteTotal(now time.Time) Total {
	switch {
	case t.scope == FleetScope:
		direct := t.heardDirectly()
		return Total{Loads: direct.Loads, Backlogs: direct.Backlogs}
	case t.asked == t.self.Address:
		total := t.everything(t.sum(now))
		total.Included = t.own.Sequence
		return total
	case now.Sub(t.heard) <= t.config.Trust:
		return t.total
	default:
		return Total{}
	}
}

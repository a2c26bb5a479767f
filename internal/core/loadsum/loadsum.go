// Package loadsum sums up the work that nodes report to have at the engines,
// so that each node sees an engine's whole load. How far a report goes depends
// on the number of nodes (type Scope): in a small fleet every node reports to
// every other, in a larger one to the nodes of its zone, and where a zone has
// too many nodes for that, to the zone's aggregator alone.
//
// An aggregator sends the sum of its zone to the aggregators of the other
// zones, and to the nodes of its own zone what they do not hear directly. What
// a node receives is so independent of the number of nodes in other zones.
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
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/rendezvous"
)

// Loads is work under way at engines, by EngineHash.
type Loads map[uint32]enginechoice.Counts

// EngineHash stands for an engine's id in what nodes tell each other.
func EngineHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) } //nolint:gosec // the low half is meant

// NodeHash stands for a node's life.
func NodeHash(life string) uint32 { return uint32(xxhash.Sum64String(life)) } //nolint:gosec // the low half is meant

// Peer is a node that can be told something.
type Peer struct {
	Address string // IP:port
	Zone    string
}

// Backlog is how many batch items wait at a node for an engine.
type Backlog struct {
	Node  uint32 // NodeHash of its life
	Items int
}

// Scope says to which nodes a node sends its reports.
type Scope uint8

// The scopes.
const (
	// AggregatorScope: reports go to the zone's aggregator alone, which answers
	// with the sum of all nodes.
	AggregatorScope Scope = iota
	// ZoneScope: reports go to all nodes of the zone, and the aggregator answers
	// with the sum of the other zones.
	ZoneScope
	// FleetScope: reports go to all nodes, and nobody sums up for others.
	FleetScope
)

// String gives the scope's name for logs.
func (s Scope) String() string { return [...]string{"aggregator", "zone", "fleet"}[s] }

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

// Total is the work of other nodes, as sent to one that asked: of all nodes in
// AggregatorScope, of the nodes of other zones in ZoneScope.
type Total struct {
	Scope    Scope  // of the receiver's report
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
	// DirectNodes is the most nodes that report to each other directly.
	DirectNodes int
}

// DefaultConfig suits reports every 200 ms at the least.
func DefaultConfig() Config {
	return Config{Trust: 800 * time.Millisecond, SilentAfter: 600 * time.Millisecond, LeftFor: time.Minute, DirectNodes: 32}
}

// backups is how many nodes of a zone hear the sums of other aggregators: the
// second takes over without a gap.
const backups = 2

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

func (t *Tree) scopeFor(peers int) Scope {
	switch {
	case peers == 0:
		return AggregatorScope // a seed is asked, which knows more
	case peers < t.config.DirectNodes:
		return FleetScope
	case len(t.zones[t.self.Zone]) <= t.config.DirectNodes:
		return ZoneScope
	default:
		return AggregatorScope
	}
}

// Scope gives how far this node's reports go.
func (t *Tree) Scope() Scope { return t.scope }

// Direct gives the addresses of the nodes that this node's reports go to
// without a sum, its aggregator left out.
func (t *Tree) Direct() []string {
	var direct []string
	for zone, addresses := range t.zones {
		if t.scope == FleetScope || (t.scope == ZoneScope && zone == t.self.Zone) {
			direct = append(direct, addresses...)
		}
	}
	return slices.DeleteFunc(direct, func(address string) bool { return address == t.self.Address || address == t.asked })
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

// HearSummary takes another aggregator's sum.
func (t *Tree) HearSummary(from string, summary Summary, now time.Time) {
	known, found := t.others[from]
	if from == t.self.Address || (found && known.summary.Life == summary.Life && known.summary.Sequence >= summary.Sequence) {
		return
	}
	t.others[from] = heardSummary{summary: summary, at: now}
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

// Acting says whether this node is an aggregator: others ask it, or it asks
// itself.
func (t *Tree) Acting(now time.Time) bool {
	t.expire(now)
	if t.scope != FleetScope && t.asked == t.self.Address {
		return true
	}
	for _, known := range t.nodes {
		if known.report.Asks {
			return true
		}
	}
	return false
}

// Summary gives the sum of the nodes that report to this one, and who is told:
// the first nodes of each zone, the aggregators that were heard, and one more
// of each zone in turn, so that aggregators find each other where the first
// ones are gone.
func (t *Tree) Summary(now time.Time) (summary Summary, to []string) {
	t.told++
	summary = t.sum(now)
	summary.Sequence = t.told
	return summary, t.listeners()
}

// sum adds up the reports of the nodes that ask this one, itself included.
func (t *Tree) sum(now time.Time) Summary {
	t.expire(now)
	summary := Summary{Life: t.own.Life, Loads: make(Loads)}
	if t.scope != FleetScope && t.asked == t.self.Address {
		summary.add(t.own)
	}
	for _, known := range t.nodes {
		if known.report.Asks {
			summary.add(known.report)
		}
	}
	return summary
}

// heardDirectly adds up the reports that came without a sum: of all nodes, or
// of those of this node's zone.
func (t *Tree) heardDirectly() Summary {
	sum := Summary{Loads: make(Loads)}
	for address, known := range t.nodes {
		if t.scope == FleetScope || slices.Contains(t.zones[t.self.Zone], address) {
			sum.add(known.report)
		}
	}
	return sum
}

func (t *Tree) listeners() []string {
	told := make(map[string]bool)
	for _, addresses := range t.zones {
		for _, address := range addresses[:min(backups, len(addresses))] {
			told[address] = true
		}
		told[addresses[t.told%uint64(len(addresses))]] = true
	}
	heard := slices.Sorted(maps.Keys(t.others))
	for _, address := range heard[:min(len(heard), backups*len(t.zones))] {
		told[address] = true
	}
	delete(told, t.self.Address)
	return slices.Sorted(maps.Keys(told))
}

func (s *Summary) add(report Report) {
	s.Loads.Add(report.Loads, 1)
	if report.Backlog > 0 {
		s.Backlogs = append(s.Backlogs, Backlog{Node: report.Life, Items: report.Backlog})
	}
}

// Totals gives what each node that asks this one is told.
func (t *Tree) Totals(summary Summary, now time.Time) map[string]Total {
	t.expire(now)
	var sums [FleetScope + 1]Total
	sums[ZoneScope] = t.otherZones()
	sums[AggregatorScope] = t.everything(summary)
	if t.scope == FleetScope { // a node that knows no other yet asks: it is told of all that report here
		reports := t.heardDirectly()
		reports.add(t.own)
		sums[AggregatorScope] = t.everything(reports)
	}
	totals := make(map[string]Total, len(t.nodes))
	for address, known := range t.nodes {
		if !known.report.Asks {
			continue
		}
		sum := sums[known.report.Scope%(FleetScope+1)]
		totals[address] = Total{Scope: known.report.Scope, Life: known.report.Life, Included: known.report.Sequence, Loads: sum.Loads, Backlogs: sum.Backlogs}
	}
	return totals
}

// everything adds the other aggregators' sums to one.
func (t *Tree) everything(summary Summary) Total {
	return t.addOthers(summary, func(string) bool { return true })
}

// otherZones adds up the sums of the other zones' aggregators. Those of a second
// one in this zone are left out: its nodes are heard directly.
func (t *Tree) otherZones() Total {
	own := t.zones[t.self.Zone]
	return t.addOthers(Summary{}, func(aggregator string) bool { return !slices.Contains(own, aggregator) })
}

func (t *Tree) addOthers(summary Summary, counts func(aggregator string) bool) Total {
	sum := Total{Loads: make(Loads), Backlogs: slices.Clone(summary.Backlogs)}
	sum.Loads.Add(summary.Loads, 1)
	for address, known := range t.others {
		if counts(address) {
			sum.Loads.Add(known.summary.Loads, 1)
			sum.Backlogs = append(sum.Backlogs, known.summary.Backlogs...)
		}
	}
	return sum
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
	told := Total{Loads: make(Loads)}
	switch {
	case t.scope == FleetScope:
		direct := t.heardDirectly()
		return Total{Loads: direct.Loads, Backlogs: direct.Backlogs}
	case t.asked == t.self.Address && t.scope == ZoneScope:
		told = t.otherZones()
	case t.asked == t.self.Address:
		told = t.everything(t.sum(now))
		told.Included = t.own.Sequence
	case now.Sub(t.heard) <= t.config.Trust && t.total.Scope == t.scope:
		told = t.total
	}
	if t.scope != ZoneScope {
		return told
	}
	sum := t.heardDirectly()
	sum.Loads.Add(told.Loads, 1)
	return Total{Loads: sum.Loads, Backlogs: append(sum.Backlogs, told.Backlogs...)}
}

// Preemptible gives how many batch requests at each engine run on nodes that
// are heard directly and can so be asked to stop one.
func (t *Tree) Preemptible() map[uint32]int {
	counts := make(map[uint32]int)
	for _, known := range t.nodes {
		for engine, load := range known.report.Loads {
			if load.Batch > 0 {
				counts[engine] += load.Batch
			}
		}
	}
	return counts
}

// Preempt picks the node to be asked to stop a batch request at an engine, the
// one that runs the most there, and counts that request as ended until the
// node's next report. It gives the age of the report that this rests on; false
// when no node that is heard directly runs batch work there.
func (t *Tree) Preempt(engine uint32, now time.Time) (address string, age time.Duration, found bool) {
	t.expire(now)
	most := 0
	for _, candidate := range slices.Sorted(maps.Keys(t.nodes)) {
		if batch := t.nodes[candidate].report.Loads[engine].Batch; batch > most {
			address, most = candidate, batch
		}
	}
	if most == 0 {
		return "", 0, false
	}
	known := t.nodes[address]
	counts := known.report.Loads[engine]
	counts.Batch--
	known.report.Loads = maps.Clone(known.report.Loads)
	known.report.Loads[engine] = counts
	t.nodes[address] = known
	return address, now.Sub(known.at), true
}

// Busiest gives the loads of so many engines at the most, those with the most
// requests: what is told of a large fleet stays small, and what matters in it
// is where not to send.
func (l Loads) Busiest(most int) Loads {
	if len(l) <= most {
		return l
	}
	engines := slices.SortedFunc(maps.Keys(l), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(l[b].Online+l[b].Batch, l[a].Online+l[a].Batch), cmp.Compare(a, b))
	})
	busiest := make(Loads, most)
	for _, engine := range engines[:most] {
		busiest[engine] = l[engine]
	}
	return busiest
}

// Add adds other loads, or takes them away when sign is -1. Counts do not fall
// below zero.
func (l Loads) Add(other Loads, sign int) {
	for engine, counts := range other {
		sum := l[engine]
		sum.Online = max(sum.Online+sign*counts.Online, 0)
		sum.Batch = max(sum.Batch+sign*counts.Batch, 0)
		sum.PrefillTokens = max(sum.PrefillTokens+sign*counts.PrefillTokens, 0)
		sum.MemoryTokens = max(sum.MemoryTokens+sign*counts.MemoryTokens, 0)
		l[engine] = sum
	}
}

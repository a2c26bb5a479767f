package loadsum

import (
	"maps"
	"slices"
	"time"
)

// Scope says to which nodes a node sends its reports.
type Scope uint8

// The scopes.
const (
	// AggregatorScope: reports go to the zone's aggregator alone, which answers
	// with the sum of all nodes.
	AggregatorScope Scope = iota
	// FleetScope: reports go to all nodes, and nobody sums up for others.
	FleetScope
)

// String gives the scope's name for logs.
func (s Scope) String() string { return [...]string{"aggregator", "fleet"}[s] }

func (t *Tree) scopeFor(peers int) Scope {
	switch {
	case peers == 0:
		return AggregatorScope // a seed is asked, which knows more
	case peers < t.config.DirectNodes:
		return FleetScope
	default:
		return AggregatorScope
	}
}

// Scope gives how far this node's reports go.
func (t *Tree) Scope() Scope { return t.scope }

// Direct gives the addresses of the nodes that this node reports to directly.
func (t *Tree) Direct() []string {
	if t.scope != FleetScope {
		return nil
	}
	var direct []string
	for _, peer := range t.peers {
		direct = append(direct, peer.Address)
	}
	return slices.DeleteFunc(direct, func(address string) bool { return address == t.self.Address })
}

// heardDirectly adds up the reports of all nodes that were heard.
func (t *Tree) heardDirectly() Summary {
	sum := Summary{Loads: make(Loads)}
	for _, known := range t.nodes {
		sum.add(known.report)
	}
	return sum
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

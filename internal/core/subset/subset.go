// Package subset chooses which nodes dispatch to which engines, so that no node
// communicates with the whole fleet. Every node computes the same result from the
// same member list. While lists differ, an engine has one dispatcher more or less;
// this affects only performance, since dispatching needs no lease.
package subset

import (
	"slices"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/rendezvous"
)

const (
	// enginesPerNode is the number of engines that a node should choose among.
	enginesPerNode = 36
	minReplicas    = 2
	maxReplicas    = 3
	// smallFleet is the number of engines up to which every node dispatches to
	// every engine.
	smallFleet = 64
)

// Replicas returns the number of nodes that dispatch to each engine.
func Replicas(nodes, engines int) int {
	if engines <= smallFleet {
		return nodes
	}
	wanted := (enginesPerNode*nodes + engines - 1) / engines
	return min(max(wanted, minReplicas), maxReplicas, nodes)
}

// Chooser chooses the nodes that dispatch to an engine, for one member list.
type Chooser struct {
	replicas int
	zones    map[string][]identity.NodeID
	regions  map[string][]identity.NodeID
	all      []identity.NodeID
}

// NewChooser returns a chooser for the members that may dispatch.
func NewChooser(live []membership.Member, engines int) *Chooser {
	chooser := &Chooser{
		zones:   make(map[string][]identity.NodeID),
		regions: make(map[string][]identity.NodeID),
	}
	for _, member := range live {
		chooser.all = append(chooser.all, member.ID)
		chooser.zones[member.Zone] = append(chooser.zones[member.Zone], member.ID)
		chooser.regions[member.Region] = append(chooser.regions[member.Region], member.ID)
	}
	chooser.replicas = Replicas(len(chooser.all), engines)
	return chooser
}

// All reports whether every node dispatches to every engine.
func (c *Chooser) All() bool { return c.replicas >= len(c.all) }

// Dispatchers returns the nodes that dispatch to an engine, the best first: nodes of
// its zone, then of its region, then any.
func (c *Chooser) Dispatchers(engine identity.EngineID, zone, region string) []identity.NodeID {
	if c.All() {
		return c.all
	}
	chosen := rendezvous.Top(string(engine), c.zones[zone], c.replicas)
	if len(chosen) < c.replicas {
		chosen = c.widen(chosen, engine, c.regions[region])
	}
	if len(chosen) < c.replicas {
		chosen = c.widen(chosen, engine, c.all)
	}
	return chosen
}

// widen adds nodes of a larger group until there are enough replicas.
func (c *Chooser) widen(chosen []identity.NodeID, engine identity.EngineID, group []identity.NodeID) []identity.NodeID {
	for _, node := range rendezvous.Top(string(engine), group, c.replicas+len(chosen)) {
		if len(chosen) == c.replicas {
			break
		}
		if !slices.Contains(chosen, node) {
			chosen = append(chosen, node)
		}
	}
	return chosen
}

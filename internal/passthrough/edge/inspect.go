package edge

import (
	"strconv"
	"strings"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/passthrough/slots"
)

// KnownEngines counts the engines that the node knows.
func (n *Node) KnownEngines() int {
	count := 0
	n.engines.Use(func(set *enginechoice.Set, _ time.Time) { count = len(set.Known()) })
	return count
}

// ServingEngines counts the engines of a pool that take new work.
func (n *Node) ServingEngines(pool string) int {
	count := 0
	n.engines.Use(func(set *enginechoice.Set, _ time.Time) { count = set.Serving(pool) })
	return count
}

// DoubtfulEngines counts the engines of a pool whose entry went while the list
// could not be trusted.
func (n *Node) DoubtfulEngines(pool string) int {
	count := 0
	n.engines.Use(func(set *enginechoice.Set, _ time.Time) { count = set.Doubtful(pool) })
	return count
}

// FirstChoice gives the number that ends the id of the engine that the next
// request of a pool would go to.
func (n *Node) FirstChoice(pool string) int {
	id := ""
	n.engines.Use(func(set *enginechoice.Set, now time.Time) {
		choice, _ := set.Pick(enginechoice.Query{Pool: pool, OwnTokens: 20}, now)
		id = choice.Entry.ID
	})
	number, err := strconv.Atoi(strings.TrimLeft(id, "abcdefghijklmnopqrstuvwxyz-"))
	if err != nil {
		return 0
	}
	return number
}

// StoreMissed says whether a call to the store has failed so far.
func (n *Node) StoreMissed() bool { return !n.engineFollower.Health().LastBad.IsZero() }

// EventsKept counts the events that this node keeps of a job's open items.
func (n *Node) EventsKept(job string) int { return n.batch.EventsKept(job) }

// LiveNodes counts the nodes that this node takes for alive, itself included.
func (n *Node) LiveNodes() int { return n.batch.LiveNodes() }

// OwnWayLost says whether this node's own way to the store counts as lost.
func (n *Node) OwnWayLost() bool { return n.store.Lost() }

// RoutesVersion gives the version of the routes in force; 0: none.
func (n *Node) RoutesVersion() int64 {
	_, version := n.routes.Document()
	return version
}

// RoutesAge gives how long ago the routes in force were known to be the newest.
func (n *Node) RoutesAge() time.Duration { return n.routes.Age() }

// SuspendedFor gives how long the machine was suspended in all, as far as this node has
// corrected what it keeps.
func (n *Node) SuspendedFor() time.Duration { return n.watch.Corrected() }

// Running counts the requests of clients under way.
func (n *Node) Running() int { return n.front.InFlight() }

// KnownJobs counts the jobs that this node has heard of.
func (n *Node) KnownJobs() int { return n.batch.KnownJobs() }

// OwnedJobs counts the jobs that this node runs.
func (n *Node) OwnedJobs() int { return n.batch.OwnedJobs() }

// UnderWay counts the requests at engines that this node knows of as the
// dispatcher of their lane.
func (n *Node) UnderWay() int {
	return n.countLanes(func(load slots.Load) int { return load.UnderWay })
}

// Attached counts the nodes that belong to this one as the dispatcher that keeps the
// limits of tenants.
func (n *Node) Attached() int {
	return n.countLanes(func(load slots.Load) int { return load.Attached })
}

// CrashesOf counts the engines that ended under a content, as far as this node knows.
func (n *Node) CrashesOf(content quarantine.Content) int {
	return n.guard.Verdict(content.Digest()).Crashes
}

// BlockedContents counts the contents that must reach no engine, as far as this node knows.
func (n *Node) BlockedContents() int { return len(n.guard.Blocked()) }

// ReadsForOthers says whether this node reads the store's tables for others of its zone.
func (n *Node) ReadsForOthers() bool {
	_, held := n.reader()
	return held
}

package edge

import (
	"strconv"
	"strings"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/passthrough/slots"
)

// KnownEngines returns the number of engines that the node knows.
func (n *Node) KnownEngines() int {
	count := 0
	n.engines.Use(func(set *enginechoice.Set, _ time.Time) { count = len(set.Known()) })
	return count
}

// RecordedSoftware returns the software versions of which this node has read in the store that they
// serve a pool.
func (n *Node) RecordedSoftware(pool string) []string { return n.batch.RecordedVersions(pool) }

// RefusesStarts reports whether this node stops and passes on no further requests.
func (n *Node) RefusesStarts() bool { return n.ingress.Relay.Stopping() }

// ServingEngines returns the number of engines of a pool that accept new work.
func (n *Node) ServingEngines(pool string) int {
	count := 0
	n.engines.Use(func(set *enginechoice.Set, _ time.Time) { count = set.Serving(pool) })
	return count
}

// DoubtfulEngines returns the number of engines of a pool whose entry disappeared while the list of
// engines was not reliable.
func (n *Node) DoubtfulEngines(pool string) int {
	count := 0
	n.engines.Use(func(set *enginechoice.Set, _ time.Time) { count = set.UnlistedCount(pool) })
	return count
}

// FirstChoice returns the number at the end of the id of the engine that the next request of a pool
// would be sent to, or 0 if there is none.
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

// StoreCallFailed reports whether a call to the store for the table of engines has failed so far.
func (n *Node) StoreCallFailed() bool { return !n.engineFollower.Health().LastFailure.IsZero() }

// EventsKept returns the number of events that this node holds for a job's open items.
func (n *Node) EventsKept(job string) int { return n.batch.EventsKept(job) }

// LiveNodes returns the number of nodes that this node considers alive, including itself.
func (n *Node) LiveNodes() int { return n.batch.LiveNodes() }

// StoreConnectionLost reports whether this node considers its direct connection to the store lost.
func (n *Node) StoreConnectionLost() bool { return n.store.Lost() }

// RoutesVersion returns the version of the current routes, or 0 if there are none.
func (n *Node) RoutesVersion() int64 {
	_, version := n.routes.Document()
	return version
}

// RoutesAge returns the time since the current routes were last known to be the newest.
func (n *Node) RoutesAge() time.Duration { return n.routes.Age() }

// SuspendedFor returns the total time of suspension of the machine for which this node has corrected
// its state.
func (n *Node) SuspendedFor() time.Duration { return n.watch.Corrected() }

// Running returns the number of client requests in flight.
func (n *Node) Running() int { return n.ingress.InFlight() }

// HeldBytes returns the bytes that the node holds for its clients.
func (n *Node) HeldBytes() int64 { return n.ingress.HeldBytes() }

// KnownJobs returns the number of jobs that this node knows.
func (n *Node) KnownJobs() int { return n.batch.KnownJobs() }

// OwnedJobs returns the number of jobs that this node runs.
func (n *Node) OwnedJobs() int { return n.batch.OwnedJobs() }

// DispatchedRequests returns the number of requests at engines in the lanes that this node dispatches.
func (n *Node) DispatchedRequests() int {
	return n.sumLanes(func(load slots.Load) int { return load.InFlight })
}

// AttachedNodes returns the number of nodes that are attached to this one as the dispatcher that enforces
// the limits of tenants.
func (n *Node) AttachedNodes() int {
	return n.sumLanes(func(load slots.Load) int { return load.Attached })
}

// CrashesOf returns the number of engines known to this node to have crashed while they ran a
// content.
func (n *Node) CrashesOf(content quarantine.Content) int {
	verdict, _ := n.guard.Verdict(quarantine.Identity{Content: content.Digest()})
	return verdict.Crashes
}

// BlockedContents returns the number of contents known to this node that must not be sent to any
// engine.
func (n *Node) BlockedContents() int { return len(n.guard.Blocked()) }

// ReadsForOthers reports whether this node reads the store's tables for other nodes of its zone.
func (n *Node) ReadsForOthers() bool {
	_, reads := n.readerSlot()
	return reads
}

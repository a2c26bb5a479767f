package faults

import (
	"net/netip"
	"time"

	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/emulator"
)

// Fault is one thing that goes wrong, at the place where a step was reached.
type Fault struct {
	Name string `json:"name"`
	// About is for people.
	About string `json:"about"`
	// begin makes it happen and gives what ends it; it is called outside the
	// stand-in's own goroutines, and may block.
	begin func(*cell, place) (end func())
	// lasts is the time until its end.
	lasts time.Duration
}

// place is where a step was reached.
type place struct {
	node   int    // the node that made the call
	engine string // the engine that the call is about, else the one last used
}

// Faults lists every fault.
func Faults() []Fault {
	const (
		brief = 3 * time.Second
		long  = 15 * time.Second // longer than a lease lives
	)
	return []Fault{
		{"node_killed", "the node's process dies; another takes its place 5 s later", killNode, 5 * time.Second},
		{"node_paused", "the node stands still for longer than its leases live", freezeNode, long},
		{"node_cut_off", "nothing passes between the node and peers, store and engines", cutNode(true, true), long},
		{"node_cut_out", "nothing that the node sends reaches peers, store and engines", cutNode(true, false), long},
		{"node_cut_in", "nothing that peers, store and engines send reaches the node", cutNode(false, true), long},
		{"zone_lost", "the node and all engines of its zone fall silent and are replaced", loseZone, long},
		{"node_stopped", "the node is stopped as planned, and another takes its place", stopNode, 5 * time.Second},
		{"engine_killed", "the engine dies with all that it runs, and comes back empty", killEngine, 5 * time.Second},
		{"engine_hung", "the engine answers nothing and makes no token", onEngine(func(s *emulator.FaultSettings) { s.Hang, s.Stall = true, true }), long},
		{"engine_stalled", "the engine answers calls and makes no token", onEngine(func(s *emulator.FaultSettings) { s.Stall = true }), long},
		{"engine_late", "the engine's tokens come 1.5 s late", onEngine(func(s *emulator.FaultSettings) { s.LateMillis = 1500 }), brief},
		{"engine_crossed", "streams carry lines of other attempts", onEngine(func(s *emulator.FaultSettings) { s.CrossStreams, s.DropStreamAfter = 6, 3 }), brief},
		{"engine_drops", "streams are cut after 3 tokens", onEngine(func(s *emulator.FaultSettings) { s.DropStreams, s.DropStreamAfter = 6, 3 }), brief},
		{"engine_leaves", "the engine takes no new work, and the machine list says so late", leaveEngine, long},
		{"engine_answer_lost", "the engine takes calls and its answers are lost", onEngine(func(s *emulator.FaultSettings) { s.LoseAnswers = 3 }), brief},
		{"table_down", "the table service refuses all calls", onTable(func(s *emulator.FaultSettings) { s.Outage = true }), long},
		{"table_hangs", "the table service answers nothing", onTable(func(s *emulator.FaultSettings) { s.Hang = true }), long},
		{"table_slow", "the table service takes 800 ms a call", onTable(func(s *emulator.FaultSettings) { s.DelayMillis = 800 }), long},
		{"table_answers_lost", "three commits take effect and their answers are lost", onTable(func(s *emulator.FaultSettings) {
			s.LoseAnswers, s.Operations = 3, []string{"commit"}
		}), brief},
		{"objects_down", "the object store refuses all calls", onObjects(func(s *emulator.FaultSettings) { s.Outage = true }), long},
		{"objects_answers_lost", "five calls of the object store lose their answers", onObjects(func(s *emulator.FaultSettings) { s.LoseAnswers = 5 }), brief},
		{"machines_stale", "the machine list stands still while an engine leaves and one dies", staleMachines, long},
		{"racing_edits", "three operators edit one row through three nodes at once", raceEdits, brief},
		{"client_resends", "every keyed request and job is sent again through another node", resend, brief},
		{"client_gone", "callers of running requests go away", leaveCallers, brief},
	}
}

func killNode(c *cell, at place) func() {
	stopped := ledger.NodeStop{Node: at.node, At: time.Now()}
	c.disturb(at.node)
	c.fleet.killNode(at.node)
	stopped.Ended = time.Now()
	c.lost(at.node, stopped.At)
	return func() { c.bringBack(at.node, stopped) }
}

func stopNode(c *cell, at place) func() {
	stopped := ledger.NodeStop{Node: at.node, At: time.Now(), Planned: true}
	c.noteFailure("stop", c.fleet.stopNode(at.node))
	stopped.Ended = time.Now()
	// A node that another fault met on its way cannot be held to its plan.
	stopped.Planned = !c.disturbed(at.node)
	return func() { c.bringBack(at.node, stopped) }
}

// bringBack starts a node again, unless it runs, and records its absence.
func (c *cell) bringBack(node int, stopped ledger.NodeStop) {
	if !c.fleet.isRunning(node) {
		c.noteFailure("start", c.fleet.startNode(node))
	}
	c.noteFailure("ready", c.fleet.awaitReady(c.ctx, node))
	stopped.Ready = time.Now()
	c.records.AddStop(stopped)
}

func freezeNode(c *cell, at place) func() {
	away := ledger.NodeStop{Node: at.node, At: time.Now()}
	host := c.fleet.members[at.node].host
	c.disturb(at.node)
	c.fleet.network.Freeze(host, true)
	return func() {
		c.fleet.network.Freeze(host, false)
		c.backAgain(away, host)
	}
}

// cutNode cuts a node from all machines but the callers'.
func cutNode(out, in bool) func(*cell, place) func() {
	return func(c *cell, at place) func() {
		away := ledger.NodeStop{Node: at.node, At: time.Now()}
		host := c.fleet.members[at.node].host
		others := c.others(host)
		c.disturb(at.node)
		for _, other := range others {
			if out {
				c.fleet.network.Cut(host, other)
			}
			if in {
				c.fleet.network.Cut(other, host)
			}
		}
		return func() {
			for _, other := range others {
				c.fleet.network.Join(host, other)
				c.fleet.network.Join(other, host)
			}
			c.backAgain(away, host)
		}
	}
}

// backAgain records the end of a time in which a node could not be reached.
func (c *cell) backAgain(away ledger.NodeStop, host netip.Addr) {
	away.Ended, away.Ready = time.Now(), time.Now()
	c.records.AddStop(away)
	c.records.AddDisturbance(ledger.Disturbance{At: away.At, Until: away.Ready, Node: host.String()})
}

// lost records that a node's process is gone with all that it knew.
func (c *cell) lost(node int, at time.Time) {
	host := c.fleet.members[node].host
	c.records.AddDisturbance(ledger.Disturbance{At: at, Until: time.Now().Add(inFlight), Node: host.String(), Lost: true})
}

// inFlight is how long after a process is gone its last bytes may arrive.
const inFlight = 100 * time.Millisecond

// others gives the hosts of all nodes and stand-ins but one.
func (c *cell) others(host netip.Addr) []netip.Addr {
	var others []netip.Addr
	for node := range c.fleet.Nodes() {
		others = append(others, c.fleet.members[node].host)
	}
	for _, name := range []string{"table", "objects", "weights", "machines"} {
		others = append(others, c.fleet.platform.Host(name))
	}
	for _, engine := range c.fleet.platform.Engines {
		others = append(others, c.fleet.platform.Host(engine.ID()))
	}
	kept := others[:0]
	for _, other := range others {
		if other != host {
			kept = append(kept, other)
		}
	}
	return kept
}

// loseZone takes away the node and the engines of its zone. They come back as
// new processes.
func loseZone(c *cell, at place) func() {
	away := ledger.NodeStop{Node: at.node, At: time.Now()}
	zone := zones[at.node]
	c.disturb(at.node)
	c.fleet.network.Lose(c.fleet.members[at.node].host)
	var restarts []func()
	for _, machine := range c.fleet.platform.Machines.Current() {
		if machine.Zone == zone {
			c.fleet.network.Lose(c.fleet.platform.Host(machine.ID))
			restarts = append(restarts, c.loseEngine(machine.ID))
		}
	}
	c.fleet.killNode(at.node)
	away.Ended = time.Now()
	c.lost(at.node, away.At)
	return func() {
		for _, restart := range restarts {
			restart()
		}
		c.bringBack(at.node, away)
	}
}

// loseEngine ends an engine with all that it holds, and gives what brings it
// back empty.
func (c *cell) loseEngine(engine string) (restart func()) {
	begun := time.Now()
	c.noteFailure("kill", c.fleet.platform.Kill(engine))
	return func() {
		c.records.AddDisturbance(ledger.Disturbance{At: begun, Until: time.Now(), Engine: engine, Lost: true})
		c.noteFailure("restart", c.fleet.platform.Restart(engine))
	}
}

func killEngine(c *cell, at place) func() {
	return c.loseEngine(at.engine)
}

func onEngine(edit func(*emulator.FaultSettings)) func(*cell, place) func() {
	return func(c *cell, at place) func() {
		engine, _ := c.fleet.platform.Engine(at.engine)
		begun := time.Now()
		end := misbehave(engine.Faults, edit)
		settings := engine.Faults.Settings()
		return func() {
			end()
			if settings.Hang || settings.Stall {
				c.records.AddDisturbance(ledger.Disturbance{At: begun, Until: time.Now(), Engine: at.engine})
			}
		}
	}
}

func onTable(edit func(*emulator.FaultSettings)) func(*cell, place) func() {
	return func(c *cell, _ place) func() { return c.storeFault(c.fleet.platform.Table.Faults, edit) }
}

func onObjects(edit func(*emulator.FaultSettings)) func(*cell, place) func() {
	return func(c *cell, _ place) func() { return c.storeFault(c.fleet.platform.Objects.Faults, edit) }
}

// storeFault has a store misbehave, and records for how long.
func (c *cell) storeFault(faults *emulator.Faults, edit func(*emulator.FaultSettings)) func() {
	begun := time.Now()
	end := misbehave(faults, edit)
	return func() {
		end()
		c.records.AddDisturbance(ledger.Disturbance{At: begun, Until: time.Now(), Store: true})
	}
}

// misbehave changes a stand-in's faults and gives what sets them back.
func misbehave(faults *emulator.Faults, edit func(*emulator.FaultSettings)) func() {
	standing := emulator.FaultSettings{RatePerSecond: faults.Settings().RatePerSecond}
	faults.Change(edit)
	return func() { faults.Set(standing) }
}

func leaveEngine(c *cell, at place) func() {
	c.records.AddDeparture(ledger.Departure{Engine: at.engine, At: time.Now()})
	c.noteFailure("leave", c.fleet.platform.Leave(at.engine))
	return func() {}
}

func staleMachines(c *cell, at place) func() {
	machines := c.fleet.platform.Machines
	const late = time.Minute
	machines.SetLag(late)
	leave := leaveEngine(c, at)
	other := c.otherEngine(at.engine)
	end := killEngine(c, place{engine: other})
	return func() {
		end()
		leave()
		machines.SetLag(machinesLag)
	}
}

// otherEngine gives an engine that is not the one named.
func (c *cell) otherEngine(not string) string {
	for _, engine := range c.fleet.platform.Engines {
		if engine.ID() != not {
			return engine.ID()
		}
	}
	return not
}

func raceEdits(c *cell, _ place) func() {
	for node := range c.fleet.Nodes() {
		c.running.Go(func() { c.edit(node, raceTries) })
	}
	return func() {}
}

func resend(c *cell, _ place) func() {
	c.resendAll()
	return func() {}
}

func leaveCallers(c *cell, _ place) func() {
	c.goAway()
	return func() {}
}

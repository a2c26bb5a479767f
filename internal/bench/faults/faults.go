package faults

import (
	"net/netip"
	"time"

	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/emulator"
)

// Fault is a failure that is injected at the location where a step is reached.
type Fault struct {
	Name string `json:"name"`
	// About describes the fault in reports.
	About string `json:"about"`
	// begin starts the fault and returns a function that ends it. It is called outside the
	// goroutines of the stand-in, and may block.
	begin func(*cell, location) (end func())
	// duration is the time between the beginning and the end of the fault.
	duration time.Duration
}

// location is where a step was reached.
type location struct {
	node   int    // the node that made the call
	engine string // the engine of the call, or else the engine last used
}

// Faults lists every fault.
func Faults() []Fault {
	const (
		shortFault = 3 * time.Second
		longFault  = 15 * time.Second // longer than the lifetime of a lease
	)
	return []Fault{
		{"node_killed", "the node's process dies; another takes its place 5 s later", killNode, 5 * time.Second},
		{"node_paused", "the node stands still for longer than its leases live", pauseNode, longFault},
		{"node_cut_off", "nothing passes between the node and peers, store and engines", cutNode(true, true), longFault},
		{"node_cut_out", "nothing that the node sends reaches peers, store and engines", cutNode(true, false), longFault},
		{"node_cut_in", "nothing that peers, store and engines send reaches the node", cutNode(false, true), longFault},
		{"zone_lost", "the node and all engines of its zone fall silent and are replaced", loseZone, longFault},
		{"node_stopped", "the node is stopped as planned, and another takes its place", stopNode, 5 * time.Second},
		{"engine_killed", "the engine dies with all that it runs, and comes back empty", killEngine, 5 * time.Second},
		{"engine_hung", "the engine answers nothing and makes no token", onEngine(func(s *emulator.FaultSettings) { s.Hang, s.Stall = true, true }), longFault},
		{"engine_stalled", "the engine answers calls and makes no token", onEngine(func(s *emulator.FaultSettings) { s.Stall = true }), longFault},
		{"engine_late", "the engine's tokens come 1.5 s late", onEngine(func(s *emulator.FaultSettings) { s.WriteDelayMillis = 1500 }), shortFault},
		{"engine_crossed", "streams carry lines of other attempts", onEngine(func(s *emulator.FaultSettings) { s.MixStreams, s.DropStreamAfter = 6, 3 }), shortFault},
		{"engine_drops", "streams are cut after 3 tokens", onEngine(func(s *emulator.FaultSettings) { s.DropStreams, s.DropStreamAfter = 6, 3 }), shortFault},
		{"engine_leaves", "the engine takes no new work, and the machine list says so late", drainEngine, longFault},
		{"engine_answer_lost", "the engine takes calls and its answers are lost", onEngine(func(s *emulator.FaultSettings) { s.LoseAnswers = 3 }), shortFault},
		{"table_down", "the table service refuses all calls", onTable(func(s *emulator.FaultSettings) { s.Outage = true }), longFault},
		{"table_hangs", "the table service answers nothing", onTable(func(s *emulator.FaultSettings) { s.Hang = true }), longFault},
		{"table_slow", "the table service takes 800 ms a call", onTable(func(s *emulator.FaultSettings) { s.DelayMillis = 800 }), longFault},
		{"table_answers_lost", "three commits take effect and their answers are lost", onTable(func(s *emulator.FaultSettings) {
			s.LoseAnswers, s.Operations = 3, []string{"commit"}
		}), shortFault},
		{"objects_down", "the object store refuses all calls", onObjects(func(s *emulator.FaultSettings) { s.Outage = true }), longFault},
		{"objects_answers_lost", "five calls of the object store lose their answers", onObjects(func(s *emulator.FaultSettings) { s.LoseAnswers = 5 }), shortFault},
		{"machines_stale", "the machine list stands still while an engine leaves and one dies", staleMachines, longFault},
		{"racing_edits", "three operators edit one row through three nodes at once", raceEdits, shortFault},
		{"client_resends", "every keyed request and job is sent again through another node", resendWork, shortFault},
		{"client_gone", "callers of running requests go away", abandonCallers, shortFault},
	}
}

func killNode(c *cell, at location) func() {
	stopped := ledger.NodeStop{Node: at.node, At: time.Now()}
	c.markDisturbed(at.node)
	c.fleet.killNode(at.node)
	stopped.Ended = time.Now()
	c.recordNodeLoss(at.node, stopped.At)
	return func() { c.restartNode(at.node, stopped) }
}

func stopNode(c *cell, at location) func() {
	stopped := ledger.NodeStop{Node: at.node, At: time.Now(), Planned: true}
	c.recordFailure("stop", c.fleet.stopNode(at.node))
	stopped.Ended = time.Now()
	// If another fault affected the node, the stop does not count as planned.
	stopped.Planned = !c.disturbed(at.node)
	return func() { c.restartNode(at.node, stopped) }
}

// restartNode starts a node again unless it is running, and records its absence.
func (c *cell) restartNode(node int, stopped ledger.NodeStop) {
	if !c.fleet.isRunning(node) {
		c.recordFailure("start", c.fleet.startNode(node))
	}
	c.recordFailure("ready", c.fleet.awaitReady(c.ctx, node))
	stopped.Ready = time.Now()
	c.records.AddStop(stopped)
}

func pauseNode(c *cell, at location) func() {
	away := ledger.NodeStop{Node: at.node, At: time.Now()}
	host := c.fleet.members[at.node].host
	c.markDisturbed(at.node)
	c.fleet.network.Freeze(host, true)
	return func() {
		c.fleet.network.Freeze(host, false)
		c.recordOutage(away, host)
	}
}

// cutNode cuts a node off from all machines except the callers'.
func cutNode(out, in bool) func(*cell, location) func() {
	return func(c *cell, at location) func() {
		away := ledger.NodeStop{Node: at.node, At: time.Now()}
		host := c.fleet.members[at.node].host
		others := c.otherHosts(host)
		c.markDisturbed(at.node)
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
				c.fleet.network.Heal(host, other)
				c.fleet.network.Heal(other, host)
			}
			c.recordOutage(away, host)
		}
	}
}

// recordOutage records the end of a period in which a node could not be reached.
func (c *cell) recordOutage(away ledger.NodeStop, host netip.Addr) {
	away.Ended, away.Ready = time.Now(), time.Now()
	c.records.AddStop(away)
	c.records.AddDisturbance(ledger.Disturbance{At: away.At, Until: away.Ready, Node: host.String()})
}

// recordNodeLoss records that a node's process has ended and its state is lost.
func (c *cell) recordNodeLoss(node int, at time.Time) {
	host := c.fleet.members[node].host
	c.records.AddDisturbance(ledger.Disturbance{At: at, Until: time.Now().Add(inFlightTime), Node: host.String(), Lost: true})
}

// inFlightTime is how long after the end of a process its last bytes may arrive.
const inFlightTime = 100 * time.Millisecond

// otherHosts returns the hosts of all other nodes and stand-ins.
func (c *cell) otherHosts(host netip.Addr) []netip.Addr {
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

// loseZone removes a node and the engines of its zone. They come back as new processes.
func loseZone(c *cell, at location) func() {
	away := ledger.NodeStop{Node: at.node, At: time.Now()}
	zone := zones[at.node]
	c.markDisturbed(at.node)
	c.fleet.network.Isolate(c.fleet.members[at.node].host)
	var restarts []func()
	for _, machine := range c.fleet.platform.Machines.Current() {
		if machine.Zone == zone {
			c.fleet.network.Isolate(c.fleet.platform.Host(machine.ID))
			restarts = append(restarts, c.loseEngine(machine.ID))
		}
	}
	c.fleet.killNode(at.node)
	away.Ended = time.Now()
	c.recordNodeLoss(at.node, away.At)
	return func() {
		for _, restart := range restarts {
			restart()
		}
		c.restartNode(at.node, away)
	}
}

// loseEngine ends an engine and discards its state. It returns a function that starts the engine
// again without state.
func (c *cell) loseEngine(engine string) (restart func()) {
	begun := time.Now()
	c.recordFailure("kill", c.fleet.platform.Kill(engine))
	return func() {
		c.records.AddDisturbance(ledger.Disturbance{At: begun, Until: time.Now(), Engine: engine, Lost: true})
		c.recordFailure("restart", c.fleet.platform.Restart(engine))
	}
}

func killEngine(c *cell, at location) func() {
	return c.loseEngine(at.engine)
}

func onEngine(edit func(*emulator.FaultSettings)) func(*cell, location) func() {
	return func(c *cell, at location) func() {
		engine, _ := c.fleet.platform.Engine(at.engine)
		begun := time.Now()
		end := changeFaults(engine.Faults, edit)
		settings := engine.Faults.Settings()
		return func() {
			end()
			if settings.Hang || settings.Stall {
				c.records.AddDisturbance(ledger.Disturbance{At: begun, Until: time.Now(), Engine: at.engine})
			}
		}
	}
}

func onTable(edit func(*emulator.FaultSettings)) func(*cell, location) func() {
	return func(c *cell, _ location) func() { return c.storeFault(c.fleet.platform.Table.Faults, edit) }
}

func onObjects(edit func(*emulator.FaultSettings)) func(*cell, location) func() {
	return func(c *cell, _ location) func() { return c.storeFault(c.fleet.platform.Objects.Faults, edit) }
}

// storeFault changes the faults of a store and records their duration.
func (c *cell) storeFault(faults *emulator.Faults, edit func(*emulator.FaultSettings)) func() {
	begun := time.Now()
	end := changeFaults(faults, edit)
	return func() {
		end()
		c.records.AddDisturbance(ledger.Disturbance{At: begun, Until: time.Now(), Store: true})
	}
}

// changeFaults changes the faults of a stand-in and returns a function that resets them.
func changeFaults(faults *emulator.Faults, edit func(*emulator.FaultSettings)) func() {
	normal := emulator.FaultSettings{RatePerSecond: faults.Settings().RatePerSecond}
	faults.Change(edit)
	return func() { faults.Set(normal) }
}

func drainEngine(c *cell, at location) func() {
	c.records.AddDeparture(ledger.Departure{Engine: at.engine, At: time.Now()})
	c.recordFailure("leave", c.fleet.platform.Leave(at.engine))
	return func() {}
}

func staleMachines(c *cell, at location) func() {
	machines := c.fleet.platform.Machines
	const lag = time.Minute
	machines.SetLag(lag)
	leave := drainEngine(c, at)
	other := c.otherEngine(at.engine)
	end := killEngine(c, location{engine: other})
	return func() {
		end()
		leave()
		machines.SetLag(machinesLag)
	}
}

// otherEngine returns an engine other than the given one.
func (c *cell) otherEngine(excluded string) string {
	for _, engine := range c.fleet.platform.Engines {
		if engine.ID() != excluded {
			return engine.ID()
		}
	}
	return excluded
}

func raceEdits(c *cell, _ location) func() {
	for node := range c.fleet.Nodes() {
		c.running.Go(func() { c.editRow(node, raceTries) })
	}
	return func() {}
}

func resendWork(c *cell, _ location) func() {
	c.resendAll()
	return func() {}
}

func abandonCallers(c *cell, _ location) func() {
	c.abandonRequests()
	return func() {}
}

package grant

import (
	"maps"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/quota"
)

// DispatcherConfig bounds how long word of nodes counts.
type DispatcherConfig struct {
	// SilentAfter is how long a node's work counts without a message. Nodes send
	// one every RefreshEvery while they have work, so four may be lost.
	SilentAfter time.Duration
	// AttachedFor is how long a node's part of the limits is kept here without a
	// message: for so long it may count at two dispatchers.
	AttachedFor time.Duration
	// UnusedAfter is how long a grant that its node does not confirm holds a slot.
	UnusedAfter time.Duration
	// AgainAfter is the least time between two messages with the same grant, or
	// the same stop: some times a round trip.
	AgainAfter time.Duration
	// BatchAfter is how long a new dispatcher gives batch work nothing: until
	// then every node with work has sent a message.
	BatchAfter time.Duration
	// QueuedAfter is how long a new dispatcher keeps requests waiting that waited in
	// another's queue: their engines were full, and it learns of the work there only as
	// nodes turn to it, most of them within a tenth of a second.
	QueuedAfter time.Duration
}

// DefaultDispatcherConfig suits round trips of some milliseconds.
func DefaultDispatcherConfig() DispatcherConfig {
	return DispatcherConfig{
		SilentAfter: time.Second, AttachedFor: 600 * time.Millisecond, UnusedAfter: 300 * time.Millisecond,
		AgainAfter: 15 * time.Millisecond, BatchAfter: 2 * RefreshEvery, QueuedAfter: RefreshEvery / 2,
	}
}

// work is one request at an engine, granted or told of.
type work struct {
	node      string
	id        uint64
	engine    enginechoice.Incarnation
	grant     Grant
	counted   *enginechoice.Work
	since     time.Time // granted, or first heard of
	toldAt    time.Time // when its grant, or the word to stop it, was last sent
	confirmed bool      // the node has told that it is under way
	tenant    uint64    // whose limit has counted it; 0: nobody's
	stopped   bool      // to make room; no longer counted
	suspect   Suspect
}

// waiting is an ask in the queue.
type waiting struct {
	node  string
	ask   Ask
	since time.Time
	due   time.Time
	// reserved: its tenant's limit has room for it, and counts it when it is granted.
	reserved bool
}

// node is what the dispatcher knows of one node.
type node struct {
	life, sequence uint64
	heard          time.Time
	zone           string
	connected      map[enginechoice.Incarnation]bool
	attached       bool
	works          map[uint64]*work
	asks           map[uint64]*waiting
}

// Dispatcher grants the slots of one lane.
type Dispatcher struct {
	config  DispatcherConfig
	lane    Lane
	engines *enginechoice.Set
	names   map[uint64]enginechoice.Incarnation // engines by EngineHash
	began   time.Time
	busy    time.Time // since when nodes have had something in the lane
	nodes   map[string]*node
	online  []*waiting // in no order; few
	batch   bool       // batch asks may have become grantable
	replies map[string]*Reply
	ready   readiness
	limits  *quota.Place // nil: no tenant has a limit that is kept here
	live    int          // nodes of the fleet; 0: not known
	// suspects are the works whose content engines have ended under.
	suspects map[*work]bool
}

// NewDispatcher makes the dispatcher of a lane for a node.
func NewDispatcher(config DispatcherConfig, lane Lane, self string, now time.Time) *Dispatcher {
	return &Dispatcher{
		config: config, lane: lane, engines: enginechoice.NewSet(self), names: make(map[uint64]enginechoice.Incarnation),
		began: now, nodes: make(map[string]*node), replies: make(map[string]*Reply),
		suspects: make(map[*work]bool),
	}
}

// SetEngines takes the lane's engines; those that are missing are gone.
func (d *Dispatcher) SetEngines(entries []enginechoice.Listed, now time.Time) {
	listed := make(map[uint64]bool, len(entries))
	for _, known := range entries {
		if d.takeEngine(known, now) {
			listed[EngineHash(known.Entry.Incarnation())] = true
		}
	}
	for hash := range d.names {
		if !listed[hash] {
			d.dropEngine(hash, now)
		}
	}
	d.enginesChanged(now)
}

// UpdateEngines takes the engines of the pool that have changed, and those that are gone.
func (d *Dispatcher) UpdateEngines(changed []enginechoice.Listed, gone []enginechoice.Incarnation, now time.Time) {
	touched := false
	for _, known := range changed {
		touched = d.takeEngine(known, now) || touched
	}
	for _, engine := range gone {
		touched = d.dropEngine(EngineHash(engine), now) || touched
	}
	if touched {
		d.enginesChanged(now)
	}
}

// takeEngine takes an engine's entry, where it is one of the lane.
func (d *Dispatcher) takeEngine(known enginechoice.Listed, now time.Time) bool {
	hash := EngineHash(known.Entry.Incarnation())
	if known.Entry.Pool != d.lane.Pool || !d.lane.Holds(hash) {
		return false
	}
	d.names[hash] = known.Entry.Incarnation()
	d.engines.Upsert(known.Entry, known.State, now)
	return true
}

// dropEngine takes an engine as gone; false: it was none of the lane.
func (d *Dispatcher) dropEngine(hash uint64, now time.Time) bool {
	engine, listed := d.names[hash]
	if listed {
		d.engines.Remove(engine, false, now)
		delete(d.names, hash)
	}
	return listed
}

// enginesChanged grants what other engines make possible.
func (d *Dispatcher) enginesChanged(now time.Time) {
	d.batch = true
	d.grantOnline(now)
}

// SetLimits has the dispatcher count the requests of tenants that have a limit;
// none: it counts nobody's.
func (d *Dispatcher) SetLimits(margin quota.Margin, limits map[uint64]quota.RateLimit, now time.Time) {
	if len(limits) == 0 {
		d.limits = nil
		return
	}
	if d.limits == nil {
		d.limits = quota.NewPlace(margin, now)
	}
	d.limits.SetLimits(limits)
}

// SetLive takes the number of nodes that are alive. 0 says that it is not known: until it
// is, no part of a limit is let through here.
func (d *Dispatcher) SetLive(nodes int) { d.live = nodes }

// advanceLimits brings the limits to a time.
func (d *Dispatcher) advanceLimits(now time.Time) {
	if d.limits == nil {
		return
	}
	share := 0.0
	if d.live > 0 {
		share = float64(d.Attached(now)) / float64(d.live)
	}
	d.limits.Advance(now, share)
}

// Attached counts the nodes whose part of the limits is kept here.
func (d *Dispatcher) Attached(now time.Time) int {
	attached := 0
	for _, known := range d.nodes {
		if known.attached && now.Sub(known.heard) <= d.config.AttachedFor {
			attached++
		}
	}
	return attached
}

// Idle says whether no node has had anything in the lane for some time.
func (d *Dispatcher) Idle() bool { return len(d.nodes) == 0 }

// Counts gives the requests under way at the lane's engines, and those waiting.
func (d *Dispatcher) Counts() (underWay, queued int) {
	for _, known := range d.nodes {
		underWay += len(known.works)
		queued += len(known.asks)
	}
	return underWay, queued
}

// Hear takes a node's State. What is to be sent is in Replies.
func (d *Dispatcher) Hear(from string, state State, now time.Time) {
	known := d.nodes[from]
	if known != nil && known.life == state.Life && state.Sequence <= known.sequence {
		return // overtaken by a newer one
	}
	if known == nil || known.life != state.Life {
		d.forget(from, now)
		if len(d.nodes) == 0 {
			d.busy = now
		}
		known = &node{life: state.Life, works: make(map[uint64]*work), asks: make(map[uint64]*waiting)}
		d.nodes[from] = known
	}
	known.sequence, known.heard, known.zone, known.attached = state.Sequence, now, state.Zone, state.Attached
	d.advanceLimits(now)
	known.connected = make(map[enginechoice.Incarnation]bool, len(state.Connected))
	for _, engine := range state.Connected {
		known.connected[d.names[engine]] = true
	}
	d.takeWork(from, known, state, now)
	for _, load := range state.Loads {
		d.engines.Observe(d.names[load.Engine], load.Running, load.Waiting, now)
	}
	for _, first := range state.Firsts {
		d.ready.observe(first)
	}
	d.takeAsks(from, known, state, now)
	d.grantOnline(now)
	reply := d.reply(from)
	reply.Life, reply.Sequence = state.Life, state.Sequence
	if len(state.Held)+len(state.Waiting) == 0 && len(known.works) == 0 && !state.Attached {
		delete(d.nodes, from)
	}
}

// takeWork brings what is counted of a node's work up to date.
func (d *Dispatcher) takeWork(from string, known *node, state State, now time.Time) {
	ended := make(map[uint64]Ended, len(state.Ended))
	for _, end := range state.Ended {
		ended[end.ID] = end
	}
	held := make(map[uint64]Held, len(state.Held))
	for _, request := range state.Held {
		held[request.ID] = request
	}
	asked := make(map[uint64]bool, len(state.Waiting))
	for _, ask := range state.Waiting {
		asked[ask.ID] = true
	}
	for id, request := range known.works {
		current, underWay := held[id]
		end, over := ended[id]
		switch {
		case over:
			d.end(known, request, end, now)
		case underWay:
			d.confirm(request, current, now)
		case request.confirmed:
			d.end(known, request, Ended{Result: enginechoice.Abandoned}, now)
		case asked[id] && now.Sub(request.toldAt) >= d.config.AgainAfter:
			d.tell(request, now)
		}
	}
	for _, request := range state.Held {
		if _, over := ended[request.ID]; !over && known.works[request.ID] == nil {
			d.add(from, known, request, now)
		}
	}
}

// confirm takes note that a request is under way.
func (d *Dispatcher) confirm(request *work, held Held, now time.Time) {
	request.confirmed = true
	if request.stopped {
		if now.Sub(request.toldAt) >= d.config.AgainAfter {
			request.toldAt = now
			d.reply(request.node).Stops = append(d.reply(request.node).Stops, request.id)
		}
		return
	}
	if held.Started {
		d.engines.FirstToken(request.engine, request.counted)
	}
}

// add counts a request that another dispatcher granted, or the node chose an
// engine for by itself.
func (d *Dispatcher) add(from string, known *node, held Held, now time.Time) {
	engine, listed := d.names[held.Engine]
	if !listed {
		return
	}
	counted := &enginechoice.Work{Batch: held.Batch, PrefillTokens: held.PrefillTokens, MemoryTokens: held.MemoryTokens}
	d.engines.Start(engine, counted)
	if held.Started {
		d.engines.FirstToken(engine, counted)
	}
	told := &work{node: from, id: held.ID, engine: engine, counted: counted, since: now, confirmed: true, suspect: held.Suspect}
	known.works[held.ID] = told
	d.noteSuspect(told)
}

// end takes a request as over.
func (d *Dispatcher) end(known *node, request *work, end Ended, now time.Time) {
	d.engines.Finish(request.engine, request.counted, end.Result, now)
	if end.Refused {
		d.engines.ConnectionRefused(request.engine, now)
	}
	if end.Unused && d.limits != nil {
		d.limits.Undo(request.tenant)
	}
	delete(known.works, request.id)
	delete(d.suspects, request)
	d.batch = true
}

// Tick does what time brings: silent nodes are forgotten, grants that were not
// used are taken back, batch work is granted, and engines with more requests
// than slots are relieved of it.
func (d *Dispatcher) Tick(now time.Time) {
	d.advanceLimits(now)
	for address, known := range d.nodes {
		if now.Sub(known.heard) > d.config.SilentAfter {
			d.forget(address, now)
			continue
		}
		for _, request := range known.works {
			if !request.confirmed && now.Sub(request.since) > d.config.UnusedAfter {
				d.end(known, request, Ended{Result: enginechoice.Abandoned, Unused: true}, now)
			}
		}
	}
	d.engines.UpdateOnlinePeaks(now)
	for _, crowd := range d.engines.Overcommitted(now) {
		for range crowd.Preempt {
			d.stopOne(crowd.Engine, now)
		}
	}
	d.grantOnline(now)
	if d.batch && now.Sub(d.began) >= d.config.BatchAfter {
		d.grantBatch(now)
	}
}

// Suspended takes note that this node's machine was suspended: what it heard is older by
// that, and nodes that turned to another dispatcher meanwhile no longer count here.
func (d *Dispatcher) Suspended(gap time.Duration, now time.Time) {
	for _, known := range d.nodes {
		known.heard = known.heard.Add(-gap)
		for _, request := range known.works {
			request.since = request.since.Add(-gap)
		}
	}
	d.Tick(now)
}

// forget takes all of a node's work as over.
func (d *Dispatcher) forget(address string, now time.Time) {
	known := d.nodes[address]
	if known == nil {
		return
	}
	for _, request := range known.works {
		d.end(known, request, Ended{Result: enginechoice.Abandoned}, now)
	}
	for _, entry := range known.asks {
		d.drop(entry)
	}
	delete(d.nodes, address)
	delete(d.replies, address)
}

// Replies gives what is to be sent to each node, and forgets it.
func (d *Dispatcher) Replies() map[string]Reply {
	if len(d.replies) == 0 {
		return nil
	}
	replies := make(map[string]Reply, len(d.replies))
	for address, reply := range d.replies {
		if known := d.nodes[address]; known != nil {
			reply.Life, reply.Sequence = known.life, known.sequence
		}
		reply.Queued = len(d.online)
		replies[address] = *reply
	}
	clear(d.replies)
	return replies
}

// reply gives the answer to a node that is being made.
func (d *Dispatcher) reply(address string) *Reply {
	if d.replies[address] == nil {
		d.replies[address] = &Reply{}
	}
	return d.replies[address]
}

// Nodes gives the addresses of the nodes that have something in the lane.
func (d *Dispatcher) Nodes() []string { return slices.Sorted(maps.Keys(d.nodes)) }

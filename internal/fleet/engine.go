package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/health"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/routing"
)

// Engine is this node's handle of one engine: its client, its last report and
// what this node has running on it. Reading it takes no lock.
type Engine struct {
	ID     identity.EngineID
	Client backend.Engine
	// Dispatchers names the nodes that send to this engine, this one included.
	dispatchers atomic.Pointer[[]identity.NodeID]

	machine  atomic.Pointer[backend.Machine]
	distance routing.Distance
	order    atomic.Int32 // place in the order that all nodes share
	slot     int
	report   atomic.Pointer[report]
	online   atomic.Int32
	batch    atomic.Int32
	prefill  atomic.Int64  // prompt tokens of own online work without a first token
	state    atomic.Uint32 // health.State
	leaving  atomic.Bool   // by its own report; sticks until it reports otherwise
	// lastOnline is when online work was last seen on it, in Unix nanoseconds.
	lastOnline atomic.Int64

	// mutex guards what follows; it is held for a few instructions, and no
	// other lock is taken under it.
	mutex      sync.Mutex
	inFlight   routing.InFlight
	health     health.Machine
	polling    bool
	nextPoll   time.Time
	nextEvents time.Time
}

// report is a load report and this node's part in it.
type report struct {
	load     backend.EngineLoad
	variants []routing.Variant
	// ownOnline and ownBatch are what this node had running when it was measured.
	ownOnline, ownBatch int
}

// Machine is the engine's latest entry in the machine list.
func (e *Engine) Machine() backend.Machine { return *e.machine.Load() }

// Dispatchers names the nodes that send work to this engine.
func (e *Engine) Dispatchers() []identity.NodeID {
	if nodes := e.dispatchers.Load(); nodes != nil {
		return *nodes
	}
	return nil
}

// Load is the engine's last report; false before the first.
func (e *Engine) Load() (backend.EngineLoad, bool) {
	if last := e.report.Load(); last != nil {
		return last.load, true
	}
	return backend.EngineLoad{}, false
}

// Begin counts one sequence as sent.
func (e *Engine) Begin(now time.Time, class routing.Class) { e.add(now, class, 1) }

// End counts one sequence as ended.
func (e *Engine) End(now time.Time, class routing.Class) { e.add(now, class, -1) }

func (e *Engine) add(now time.Time, class routing.Class, delta int) {
	e.mutex.Lock()
	e.inFlight.Add(now, class, delta)
	if class == routing.Online {
		e.lastOnline.Store(now.UnixNano())
	}
	online, batch := e.inFlight.Now()
	e.online.Store(int32(online)) //nolint:gosec // bounded by requests in flight
	e.batch.Store(int32(batch))   //nolint:gosec // bounded by requests in flight
	e.mutex.Unlock()
}

// AddPrefill counts prompt tokens that the engine must compute before a first
// token; a negative count takes them off.
func (e *Engine) AddPrefill(tokens int) { e.prefill.Add(int64(tokens)) }

// Own gives this node's sequences on the engine.
func (e *Engine) Own() (online, batch int) { return int(e.online.Load()), int(e.batch.Load()) }

// Candidate gives the engine as a routing decision sees it now.
func (e *Engine) Candidate() routing.Candidate {
	machine := e.machine.Load()
	state := health.State(e.state.Load())
	online, batch := e.Own()
	candidate := routing.Candidate{
		Engine: e.ID, Slot: e.slot, Distance: e.distance, Order: int(e.order.Load()), Speed: machine.Capacity,
		Leaving: machine.Leaving || e.leaving.Load(),
		Ejected: state == health.Ejected, Probing: state == health.Probing,
		Online: online, Batch: batch, Own: online + batch,
	}
	last := e.report.Load()
	if last == nil {
		return candidate
	}
	load := &last.load
	candidate.Variants = last.variants
	candidate.MaxRunning = load.MaxRunning
	reportedOnline, reportedBatch := load.RunningOnline, load.RunningBatch
	if load.RunningBatch > 0 {
		reportedBatch += load.Waiting // online work would have taken a place of batch's
	} else {
		reportedOnline += load.Waiting
	}
	candidate.Online = max(reportedOnline+online-last.ownOnline, online)
	dispatchers := max(len(e.Dispatchers()), 1)
	alike := (online - last.ownOnline) * dispatchers
	candidate.Prefill = int(e.prefill.Load()) * dispatchers
	candidate.Expected = max(reportedOnline+alike, online)
	candidate.Batch = max(reportedBatch+batch-last.ownBatch, batch)
	if load.KVCapacity > 0 {
		candidate.KVUsed = float64(load.KVUsed) / float64(load.KVCapacity)
	}
	return candidate
}

// oldestReport bounds how far back a report's own time is believed.
const oldestReport = 10 * time.Second

// take stores a load report that arrived now.
func (e *Engine) take(now time.Time, load backend.EngineLoad) {
	measured := load.ReportedAt
	if measured.After(now) {
		measured = now
	}
	if oldest := now.Add(-oldestReport); measured.Before(oldest) {
		measured = oldest
	}
	next := &report{load: load, variants: make([]routing.Variant, len(load.Models))}
	for i, loaded := range load.Models {
		next.variants[i] = routing.Variant{Model: loaded.Model, Version: loaded.Version, Adapters: loaded.Adapters}
	}
	e.mutex.Lock()
	next.ownOnline, next.ownBatch = e.inFlight.At(measured)
	e.report.Store(next)
	if load.RunningOnline > 0 {
		e.lastOnline.Store(now.UnixNano())
	}
	e.leaving.Store(load.Leaving)
	e.mutex.Unlock()
}

// step runs one transition of the health machine and says what it was before.
func (e *Engine) step(transition func(*health.Machine) health.State) (before, after health.State) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	before = e.health.State()
	after = transition(&e.health)
	e.state.Store(uint32(after))
	return before, after
}

// OnlineIdle is for how long no online work has been seen on the engine; zero
// until a report measured since then has confirmed that none is there.
func (e *Engine) OnlineIdle(now time.Time) time.Duration {
	seen := time.Unix(0, e.lastOnline.Load())
	if last := e.report.Load(); last == nil || last.load.ReportedAt.Before(seen) {
		return 0
	}
	return now.Sub(seen)
}

// sawOnline records that another node has sent online work to the engine, and
// has it asked for its load soon.
func (e *Engine) sawOnline(now time.Time, reportWithin time.Duration) {
	e.lastOnline.Store(now.UnixNano())
	e.pollBy(now.Add(reportWithin))
}

// pollBy has the engine asked for its load no later than due.
func (e *Engine) pollBy(due time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.nextPoll.After(due) {
		e.nextPoll = due
	}
}

// BatchShareSpent says whether this node has taken its part of the capacity that the
// last report showed idle. Several nodes grant batch work on one engine without asking
// each other; each takes an even part of what was idle until the next report, so that
// together they do not overfill it.
func (e *Engine) BatchShareSpent(allowed int) bool {
	last := e.report.Load()
	if last == nil {
		return true
	}
	load := &last.load
	idle := allowed - load.RunningBatch - load.Waiting
	dispatchers := max(len(e.Dispatchers()), 1)
	share := (max(idle, 0) + dispatchers - 1) / dispatchers
	return int(e.batch.Load())-last.ownBatch >= share
}

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

// Engine is this node's handle of one engine. It holds the engine's client, its
// last load report and the work of this node on it. Reads take no lock.
type Engine struct {
	ID     identity.EngineID
	Client backend.Engine
	// dispatchers holds the nodes that send work to this engine, including this one.
	dispatchers atomic.Pointer[[]identity.NodeID]

	machine  atomic.Pointer[backend.Machine]
	distance routing.Distance
	order    atomic.Int32 // position in the order that all nodes share
	slot     int
	report   atomic.Pointer[report]
	online   atomic.Int32
	batch    atomic.Int32
	prefill  atomic.Int64  // prompt tokens of this node's online work without a first token
	state    atomic.Uint32 // health.State
	leaving  atomic.Bool   // set by the engine's own report or refusal until a report clears it
	// lastOnline is when online work was last seen on the engine, in Unix nanoseconds.
	lastOnline atomic.Int64

	// mutex guards the fields below. It is held for a few instructions, and no
	// other lock is acquired while it is held.
	mutex      sync.Mutex
	inFlight   routing.InFlight
	health     health.Machine
	polling    bool
	nextPoll   time.Time
	nextEvents time.Time
}

// report is a load report with this node's share of the reported work.
type report struct {
	load     backend.EngineLoad
	variants []routing.Variant
	// ownOnline and ownBatch count this node's sequences on the engine when the
	// report was measured.
	ownOnline, ownBatch int
}

// Machine returns the engine's latest entry in the machine list.
func (e *Engine) Machine() backend.Machine { return *e.machine.Load() }

// Dispatchers returns the nodes that send work to this engine.
func (e *Engine) Dispatchers() []identity.NodeID {
	if nodes := e.dispatchers.Load(); nodes != nil {
		return *nodes
	}
	return nil
}

// Load returns the engine's last load report, or false before the first one.
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

// AddPrefill adds prompt tokens that the engine must compute before a first
// token. A negative count subtracts them.
func (e *Engine) AddPrefill(tokens int) { e.prefill.Add(int64(tokens)) }

// OwnSequences returns the number of this node's sequences on the engine.
func (e *Engine) OwnSequences() (online, batch int) { return int(e.online.Load()), int(e.batch.Load()) }

// Candidate returns the engine's present state as input for a routing decision.
func (e *Engine) Candidate() routing.Candidate {
	machine := e.machine.Load()
	state := health.State(e.state.Load())
	online, batch := e.OwnSequences()
	candidate := routing.Candidate{
		Engine: e.ID, Slot: e.slot, Distance: e.distance, PackOrder: int(e.order.Load()), Speed: machine.Capacity,
		Leaving: machine.Leaving || e.leaving.Load(),
		Ejected: state == health.Ejected, Probing: state == health.Probing,
		Online: online, Batch: batch, OwnInFlight: online + batch,
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
		reportedBatch += load.Waiting // waiting online work would have preempted batch work
	} else {
		reportedOnline += load.Waiting
	}
	candidate.Online = max(reportedOnline+online-last.ownOnline, online)
	dispatchers := max(len(e.Dispatchers()), 1)
	onlineGrowth := (online - last.ownOnline) * dispatchers
	candidate.Prefill = int(e.prefill.Load()) * dispatchers
	candidate.ExpectedOnline = max(reportedOnline+onlineGrowth, online)
	candidate.Batch = max(reportedBatch+batch-last.ownBatch, batch)
	if load.KVCapacity > 0 {
		candidate.KVUsed = float64(load.KVUsed) / float64(load.KVCapacity)
	}
	return candidate
}

// maxReportAge bounds how far in the past a report's own timestamp may lie. An older
// timestamp is raised to this bound.
const maxReportAge = 10 * time.Second

// applyReport stores a load report that arrived at now.
func (e *Engine) applyReport(now time.Time, load backend.EngineLoad) {
	measured := load.ReportedAt
	if measured.After(now) {
		measured = now
	}
	if oldest := now.Add(-maxReportAge); measured.Before(oldest) {
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

// applyTransition runs one transition of the health machine and returns the
// states before and after it.
func (e *Engine) applyTransition(transition func(*health.Machine) health.State) (before, after health.State) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	before = e.health.State()
	after = transition(&e.health)
	e.state.Store(uint32(after))
	return before, after
}

// OnlineIdle returns how long no online work has been seen on the engine. It is
// zero until a report that was measured after online work was last seen has arrived.
func (e *Engine) OnlineIdle(now time.Time) time.Duration {
	seen := time.Unix(0, e.lastOnline.Load())
	if last := e.report.Load(); last == nil || last.load.ReportedAt.Before(seen) {
		return 0
	}
	return now.Sub(seen)
}

// recordOnline records that another node has sent online work to the engine and
// schedules the next load report within reportWithin.
func (e *Engine) recordOnline(now time.Time, reportWithin time.Duration) {
	e.lastOnline.Store(now.UnixNano())
	e.advancePoll(now.Add(reportWithin))
}

// advancePoll schedules the next load report no later than due.
func (e *Engine) advancePoll(due time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.nextPoll.After(due) {
		e.nextPoll = due
	}
}

// BatchShareSpent reports whether this node has used its share of the capacity that
// the last report showed idle. Several nodes grant batch work on one engine without
// coordination. Until the next report, each uses an even share of the idle capacity,
// so that together they do not overload the engine.
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

package faults

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/bench/checker"
	"ringstream.example/ringstream/internal/bench/client"
	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/bench/workload"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/emulator"
	"ringstream.example/ringstream/internal/wait"
)

// Injection is a fault that is injected at a step.
type Injection struct {
	Step, Fault string
}

// Cell is one run of the matrix, with one injection or a pair.
type Cell struct {
	Seed       uint64      `json:"seed"`
	Injections []Injection `json:"injections"`
	// Bug is the name of a planted bug, or empty.
	Bug string `json:"bug,omitempty"`

	inspect func(*cell) // called at the end; set by tests only
	stop    bool        // includes a planned stop; set by tests only
}

// Result is the outcome of a cell.
type Result struct {
	Cell
	// Reached is true if every step was reached, so that every fault was injected.
	Reached    bool                `json:"reached"`
	ReachedAt  []float64           `json:"reached_at"` // seconds from the start of the load
	Violations []checker.Violation `json:"violations,omitempty"`
	// Failures lists operations that the cell itself could not perform, such as starting a node.
	Failures []string `json:"failures,omitempty"`

	Requests       int     `json:"requests"`
	Completed      int     `json:"completed"`
	Items          int     `json:"items"` // of accepted jobs that were not cancelled
	ItemsCompleted int     `json:"items_completed"`
	VirtualSeconds float64 `json:"virtual_seconds"`
}

// cell is the state of a running Cell.
type cell struct {
	Cell
	ctx          context.Context
	fleet        *fleet
	records      ledger.Ledger
	plan         workload.Plan
	running      sync.WaitGroup
	started      time.Time
	abandonCalls context.CancelFunc // ends the calls of the callers that may leave

	mutex          sync.Mutex
	classifier     *callClassifier
	armed          bool
	pending        []injection
	reachedAt      []float64
	lastEngine     string          // the engine last used
	seenSteps      map[string]bool // steps that were reached; recorded for tests only
	disturbedNodes map[int]bool    // nodes that a fault affected
	failures       []string
}

type injection struct {
	step  Step
	fault Fault
}

// Time limits of a cell, in virtual time.
const (
	jobTimeout     = 4 * time.Minute        // for jobs to end after the last request
	maxHookWait    = 100 * time.Millisecond // for a call to wait until its fault has begun
	editSettleTime = 6 * time.Second        // after the end, for edits to be in force
	shutdownTime   = 5 * time.Minute        // for stopped nodes to end
)

// runCell runs a cell in the current testing/synctest bubble.
func runCell(ctx context.Context, spec Cell, logger *zap.Logger) (Result, error) {
	c := &cell{Cell: spec, ctx: ctx, plan: makePlan(spec.Seed), classifier: newCallClassifier(), disturbedNodes: map[int]bool{}}
	if spec.inspect != nil {
		c.seenSteps = map[string]bool{}
	}
	for _, wanted := range spec.Injections {
		found, err := findInjection(wanted)
		if err != nil {
			return Result{}, err
		}
		c.pending = append(c.pending, found)
	}
	var err error
	if c.fleet, err = startFleet(ctx, spec.Seed, c.wrapperFor(spec.Bug), logger); err != nil {
		return Result{}, err
	}
	c.observeCalls()
	c.started = time.Now()
	c.load()
	result := c.judge()
	if c.inspect != nil {
		c.inspect(c)
	}
	c.fleet.close()
	time.Sleep(shutdownTime)
	return result, nil
}

func findInjection(wanted Injection) (injection, error) {
	steps, faults := Steps(), Faults()
	step := slices.IndexFunc(steps, func(s Step) bool { return s.Name == wanted.Step })
	fault := slices.IndexFunc(faults, func(f Fault) bool { return f.Name == wanted.Fault })
	if step < 0 || fault < 0 {
		return injection{}, fmt.Errorf("no step %q or no fault %q", wanted.Step, wanted.Fault)
	}
	return injection{steps[step], faults[fault]}, nil
}

// load runs the callers, the operators and the faults, and returns when all of them have ended.
func (c *cell) load() {
	watching, stopWatching := context.WithCancel(c.ctx)
	var watchers sync.WaitGroup
	for node := range c.fleet.Nodes() {
		watchers.Go(func() { c.watchRows(watching, node) })
	}
	c.mutex.Lock()
	c.armed = true
	c.mutex.Unlock()
	c.running.Go(c.editRows)
	if c.stop || slices.ContainsFunc(c.pending, func(i injection) bool { return i.step.needsStop }) {
		c.running.Go(c.plannedStop)
	}
	leaving, leave := context.WithCancel(c.ctx)
	c.abandonCalls = leave
	c.running.Go(func() { c.runCallers(leaving, leavingPlan(c.Seed)) })
	c.runCallers(c.ctx, c.plan)
	c.running.Wait()
	leave()
	wait.For(c.ctx, editSettleTime)
	stopWatching()
	watchers.Wait()
}

// runCallers sends a plan and follows its jobs to their end.
func (c *cell) runCallers(ctx context.Context, plan workload.Plan) {
	following, giveUp := context.WithCancel(ctx)
	defer giveUp()
	callers := client.NewWithDial(c.fleet, model, &c.records, c.fleet.network.Host(callersHost).DialContext)
	defer callers.Close()
	callers.Run(following, plan)
	callers.Wait(ctx, jobTimeout, giveUp)
}

// plannedStop performs a planned stop of a node and starts the node again.
func (c *cell) plannedStop() {
	const node = 1
	wait.For(c.ctx, stopAt)
	end := stopNode(c, location{node: node})
	wait.For(c.ctx, stopDuration)
	end()
}

// observeCalls installs observe as the hook of every stand-in.
func (c *cell) observeCalls() {
	platform := c.fleet.platform
	for _, faults := range []*emulator.Faults{platform.Table.Faults, platform.Objects.Faults, platform.Machines.Faults} {
		faults.SetHook(c.observe)
	}
	for _, engine := range platform.Engines {
		engine.Faults.SetHook(c.observe)
	}
}

// observe classifies one call. If the call is the step of the next pending injection, it is delayed
// until the fault has begun or maxHookWait has passed.
func (c *cell) observe(call emulator.Call) {
	c.mutex.Lock()
	seen := c.classifier.classify(call)
	if call.Operation == "generate" {
		c.lastEngine = call.System
	}
	if c.seenSteps != nil && c.armed {
		c.recordSteps(seen)
	}
	var matched []injection
	if c.armed && c.fleet.nodeAt(call.From.Addr()) >= 0 && len(c.pending) > 0 && c.pending[0].step.reached(seen) {
		matched = append(matched, c.pending[0])
		c.pending = c.pending[1:]
		c.reachedAt = append(c.reachedAt, time.Since(c.started).Seconds())
	}
	at := c.locationOf(call)
	c.mutex.Unlock()
	for _, injected := range matched {
		c.inject(injected.fault, at)
	}
}

// recordSteps records the steps that a call reaches. The caller holds the mutex.
func (c *cell) recordSteps(seen *observedCall) {
	for _, step := range Steps() {
		if step.reached(seen) {
			c.seenSteps[step.Name] = true
		}
	}
}

// locationOf returns the node and engine of a call. The caller holds the mutex.
func (c *cell) locationOf(call emulator.Call) location {
	at := location{node: max(0, c.fleet.nodeAt(call.From.Addr())), engine: c.lastEngine}
	if _, found := c.fleet.platform.Engine(call.System); found {
		at.engine = call.System
	}
	if at.engine == "" {
		at.engine = c.fleet.platform.Engines[0].ID()
	}
	return at
}

// inject begins a fault and ends it after the fault's duration.
func (c *cell) inject(fault Fault, at location) {
	begun := make(chan struct{})
	c.running.Go(func() {
		end := fault.begin(c, at)
		close(begun)
		wait.For(c.ctx, fault.duration)
		end()
	})
	timer := time.NewTimer(maxHookWait)
	defer timer.Stop()
	select {
	case <-begun:
	case <-timer.C: // for example, a planned stop waits for this call to end
	}
}

// markDisturbed records that a fault affected a node.
func (c *cell) markDisturbed(node int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.disturbedNodes[node] = true
}

func (c *cell) disturbed(node int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.disturbedNodes[node]
}

// recordFailure records an operation that the cell could not perform.
func (c *cell) recordFailure(what string, err error) {
	if err == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failures = append(c.failures, fmt.Sprintf("%s: %v", what, err))
}

// abandonRequests ends the calls of the callers that may leave.
func (c *cell) abandonRequests() { c.abandonCalls() }

// resendAll sends every keyed request and every job that was sent so far again, through another
// node.
func (c *cell) resendAll() {
	var again workload.Plan
	since := time.Since(c.started)
	for _, request := range c.plan.Requests {
		if request.Key != "" && request.At <= since {
			request.At, request.Resend, request.Node = 0, true, (request.Node+2)%c.fleet.Nodes()
			again.Requests = append(again.Requests, request)
		}
	}
	for _, job := range c.plan.Jobs {
		if job.At <= since && job.CancelAfter == 0 {
			job.At, job.SubmitTwice, job.Node = 0, false, (job.Node+1)%c.fleet.Nodes()
			again.Jobs = append(again.Jobs, job)
		}
	}
	c.running.Go(func() { c.runCallers(c.ctx, again) })
}

// editRows edits the batch row several times, through one node after another.
func (c *cell) editRows() {
	wait.For(c.ctx, editsStart)
	for number := range editCount {
		c.editRow(number%c.fleet.Nodes(), editTries)
		wait.For(c.ctx, editInterval)
	}
}

const (
	editTries = 1
	raceTries = 3
)

// editRow raises the weight of the batch row through a node. After a lost race it tries again with
// the current row.
func (c *cell) editRow(node, tries int) {
	operator, err := c.fleet.operator(node)
	if err != nil {
		c.recordFailure("operator", err)
		return
	}
	defer operator.Close()
	for range tries {
		row, err := operator.Row(c.ctx, identity.RowID(rowBatch))
		if err != nil {
			continue // the node may be down
		}
		row.Weight++
		accepted, err := operator.PutRow(c.ctx, row)
		if err == nil {
			c.records.AddEdit(ledger.Edit{Row: rowBatch, Revision: accepted.Row.Revision, Accepted: time.Now()})
			return
		}
	}
}

// watchRows records the revisions of the rows that a node shows.
func (c *cell) watchRows(ctx context.Context, node int) {
	const interval = 250 * time.Millisecond
	operator, err := c.fleet.operator(node)
	if err != nil {
		c.recordFailure("operator", err)
		return
	}
	defer operator.Close()
	last := map[identity.RowID]uint64{}
	for wait.For(ctx, interval) {
		list, err := operator.Rows(ctx)
		if err != nil {
			continue // the node may be down
		}
		for _, row := range list.Rows {
			if row.Revision != last[row.ID] {
				last[row.ID] = row.Revision
				c.records.AddSighting(ledger.Sighting{At: time.Now(), Node: node, Row: string(row.ID), Revision: row.Revision})
			}
		}
	}
}

func addressOf(r *http.Request) netip.AddrPort {
	from, _ := netip.ParseAddrPort(r.RemoteAddr) // zero if there is none
	return from
}

// callerOf returns the node that sent a request and the number of its process.
func (c *cell) callerOf(r *http.Request) (node, process int) {
	node = c.fleet.nodeAt(addressOf(r).Addr())
	return c.processOf(node)
}

// processOf returns how often a node was started so far, or 0 while it is down.
func (c *cell) processOf(node int) (at, process int) {
	if node < 0 || !c.fleet.isRunning(node) {
		return node, 0
	}
	member := c.fleet.members[node]
	member.mutex.Lock()
	defer member.mutex.Unlock()
	return node, member.starts
}

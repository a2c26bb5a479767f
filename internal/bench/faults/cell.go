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

// Injection is one fault at one step.
type Injection struct {
	Step, Fault string
}

// Cell is one run of the matrix: one injection, or a pair.
type Cell struct {
	Seed       uint64      `json:"seed"`
	Injections []Injection `json:"injections"`
	// Bug is a planted bug; empty: none.
	Bug string `json:"bug,omitempty"`

	inspect func(*cell) // called at the end, for tests
	stop    bool        // with a planned stop, for tests
}

// Result is what a cell showed.
type Result struct {
	Cell
	// Reached: every step came up, so that every fault was injected.
	Reached    bool                `json:"reached"`
	ReachedAt  []float64           `json:"reached_at"` // seconds from the start of the load
	Violations []checker.Violation `json:"violations,omitempty"`
	// Failures are what the cell itself could not do, such as start a node.
	Failures []string `json:"failures,omitempty"`

	Requests       int     `json:"requests"`
	Completed      int     `json:"completed"`
	Items          int     `json:"items"` // of accepted jobs that nobody cancelled
	ItemsCompleted int     `json:"items_completed"`
	VirtualSeconds float64 `json:"virtual_seconds"`
}

// cell is a Cell at work.
type cell struct {
	Cell
	ctx     context.Context
	fleet   *fleet
	records ledger.Ledger
	plan    workload.Plan
	running sync.WaitGroup
	started time.Time
	leave   context.CancelFunc // sends the callers away that may go

	mutex     sync.Mutex
	watcher   *watcher
	armed     bool
	pending   []injection
	reachedAt []float64
	engine    string          // last used
	seen      map[string]bool // steps that came up; kept for tests only
	touched   map[int]bool    // nodes that met a fault
	failures  []string
}

type injection struct {
	step  Step
	fault Fault
}

// The bounds of a cell, in virtual time.
const (
	settleWait = 4 * time.Minute        // for jobs to end after the last request
	hookWait   = 100 * time.Millisecond // that a call stands still for its fault to begin
	calmTime   = 6 * time.Second        // after the end, for edits to be in force
	endingTime = 5 * time.Minute        // for stopped nodes to end
)

// runCell runs a cell in the current testing/synctest bubble.
func runCell(ctx context.Context, spec Cell, logger *zap.Logger) (Result, error) {
	c := &cell{Cell: spec, ctx: ctx, plan: makePlan(spec.Seed), watcher: newWatcher(), touched: map[int]bool{}}
	if spec.inspect != nil {
		c.seen = map[string]bool{}
	}
	for _, wanted := range spec.Injections {
		found, err := find(wanted)
		if err != nil {
			return Result{}, err
		}
		c.pending = append(c.pending, found)
	}
	var err error
	if c.fleet, err = startFleet(ctx, spec.Seed, c.wrapperFor(spec.Bug), logger); err != nil {
		return Result{}, err
	}
	c.watch()
	c.started = time.Now()
	c.load()
	result := c.judge()
	if c.inspect != nil {
		c.inspect(c)
	}
	c.fleet.close()
	time.Sleep(endingTime)
	return result, nil
}

func find(wanted Injection) (injection, error) {
	steps, faults := Steps(), Faults()
	step := slices.IndexFunc(steps, func(s Step) bool { return s.Name == wanted.Step })
	fault := slices.IndexFunc(faults, func(f Fault) bool { return f.Name == wanted.Fault })
	if step < 0 || fault < 0 {
		return injection{}, fmt.Errorf("no step %q or no fault %q", wanted.Step, wanted.Fault)
	}
	return injection{steps[step], faults[fault]}, nil
}

// load runs the callers, the operators and the faults until all have ended.
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
	c.leave = leave
	c.running.Go(func() { c.callers(leaving, leavingPlan(c.Seed)) })
	c.callers(c.ctx, c.plan)
	c.running.Wait()
	leave()
	wait.For(c.ctx, calmTime)
	stopWatching()
	watchers.Wait()
}

// callers sends a plan and follows its jobs to their end.
func (c *cell) callers(ctx context.Context, plan workload.Plan) {
	following, giveUp := context.WithCancel(ctx)
	defer giveUp()
	callers := client.NewWithDial(c.fleet, model, &c.records, c.fleet.network.Host(callersHost).DialContext)
	defer callers.Close()
	callers.Run(following, plan)
	callers.Wait(ctx, settleWait, giveUp)
}

// plannedStop stops a node and starts it again.
func (c *cell) plannedStop() {
	const node = 1
	wait.For(c.ctx, stopAt)
	end := stopNode(c, place{node: node})
	wait.For(c.ctx, stopLasts)
	end()
}

// watch has every stand-in report its calls.
func (c *cell) watch() {
	platform := c.fleet.platform
	for _, faults := range []*emulator.Faults{platform.Table.Faults, platform.Objects.Faults, platform.Machines.Faults} {
		faults.SetHook(c.observe)
	}
	for _, engine := range platform.Engines {
		engine.Faults.SetHook(c.observe)
	}
}

// observe looks at one call. When it is an awaited step, the call stands still
// until the fault has begun.
func (c *cell) observe(call emulator.Call) {
	c.mutex.Lock()
	seen := c.watcher.look(call)
	if call.Operation == "generate" {
		c.engine = call.System
	}
	if c.seen != nil && c.armed {
		c.noteSteps(seen)
	}
	var due []injection
	if c.armed && c.fleet.nodeAt(call.From.Addr()) >= 0 && len(c.pending) > 0 && c.pending[0].step.reached(seen) {
		due = append(due, c.pending[0])
		c.pending = c.pending[1:]
		c.reachedAt = append(c.reachedAt, time.Since(c.started).Seconds())
	}
	at := c.placeOf(call)
	c.mutex.Unlock()
	for _, injected := range due {
		c.inject(injected.fault, at)
	}
}

// noteSteps notes which steps a call is. Caller holds the mutex.
func (c *cell) noteSteps(seen *sight) {
	for _, step := range Steps() {
		if step.reached(seen) {
			c.seen[step.Name] = true
		}
	}
}

// placeOf says where a call is. Caller holds the mutex.
func (c *cell) placeOf(call emulator.Call) place {
	at := place{node: max(0, c.fleet.nodeAt(call.From.Addr())), engine: c.engine}
	if _, found := c.fleet.platform.Engine(call.System); found {
		at.engine = call.System
	}
	if at.engine == "" {
		at.engine = c.fleet.platform.Engines[0].ID()
	}
	return at
}

// inject begins a fault and ends it when its time has come.
func (c *cell) inject(fault Fault, at place) {
	begun := make(chan struct{})
	c.running.Go(func() {
		end := fault.begin(c, at)
		close(begun)
		wait.For(c.ctx, fault.lasts)
		end()
	})
	timer := time.NewTimer(hookWait)
	defer timer.Stop()
	select {
	case <-begun:
	case <-timer.C: // such as a planned stop, which waits for this very call
	}
}

// disturb notes that a node met a fault.
func (c *cell) disturb(node int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.touched[node] = true
}

func (c *cell) disturbed(node int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.touched[node]
}

// noteFailure keeps what the cell could not do.
func (c *cell) noteFailure(what string, err error) {
	if err == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failures = append(c.failures, fmt.Sprintf("%s: %v", what, err))
}

// goAway ends the calls of the callers that may go.
func (c *cell) goAway() { c.leave() }

// resendAll sends every keyed request and every job that was sent so far
// again, through another node.
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
	c.running.Go(func() { c.callers(c.ctx, again) })
}

// editRows edits the batch row through one node after another.
func (c *cell) editRows() {
	wait.For(c.ctx, editsFrom)
	for number := range edits {
		c.edit(number%c.fleet.Nodes(), editTries)
		wait.For(c.ctx, editsEvery)
	}
}

const (
	editTries = 1
	raceTries = 3
)

// edit raises the batch row's weight through a node; a lost race is tried
// again on the current row.
func (c *cell) edit(node, tries int) {
	operator, err := c.fleet.operator(node)
	if err != nil {
		c.noteFailure("operator", err)
		return
	}
	defer operator.Close()
	for range tries {
		row, err := operator.Row(c.ctx, identity.RowID(rowBatch))
		if err != nil {
			continue // the node is down: an operator sees that
		}
		row.Weight++
		accepted, err := operator.PutRow(c.ctx, row)
		if err == nil {
			c.records.AddEdit(ledger.Edit{Row: rowBatch, Revision: accepted.Row.Revision, Accepted: time.Now()})
			return
		}
	}
}

// watchRows records how a node shows the rows.
func (c *cell) watchRows(ctx context.Context, node int) {
	const every = 250 * time.Millisecond
	operator, err := c.fleet.operator(node)
	if err != nil {
		c.noteFailure("operator", err)
		return
	}
	defer operator.Close()
	last := map[identity.RowID]uint64{}
	for wait.For(ctx, every) {
		list, err := operator.Rows(ctx)
		if err != nil {
			continue // down
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
	from, _ := netip.ParseAddrPort(r.RemoteAddr) // zero when there is none
	return from
}

// callerOf gives the node that a request came from, and which process of it.
func (c *cell) callerOf(r *http.Request) (node, process int) {
	node = c.fleet.nodeAt(addressOf(r).Addr())
	return c.processAt(node)
}

// processAt counts the processes of a node so far; zero while it is down.
func (c *cell) processAt(node int) (at, process int) {
	if node < 0 || !c.fleet.isRunning(node) {
		return node, 0
	}
	place := c.fleet.members[node]
	place.mutex.Lock()
	defer place.mutex.Unlock()
	return node, place.starts
}

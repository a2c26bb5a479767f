// Package operator simulates the operators of a fleet. It edits rows, watches the rows that each
// node shows, and stops or kills machines at the times given by a scenario. Its observations go to
// the ledger.
package operator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/bench/fleet"
	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/bench/report"
	"ringstream.example/ringstream/internal/bench/scenario"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
)

// Operator acts on a fleet. Run may be called only once.
type Operator struct {
	fleet  *fleet.Fleet
	ledger *ledger.Ledger

	mutex    sync.Mutex
	marks    []report.Mark
	failures []string
	started  time.Time
}

// New creates an operator whose records go to the ledger.
func New(of *fleet.Fleet, into *ledger.Ledger) *Operator {
	return &Operator{fleet: of, ledger: into}
}

// Run performs the actions at their scheduled times. It returns when all of them have ended or ctx
// is done.
func (o *Operator) Run(ctx context.Context, actions []scenario.Action) {
	o.started = time.Now()
	var ended sync.WaitGroup
	for _, action := range actions {
		ended.Go(func() {
			if !wait(ctx, time.Until(o.started.Add(action.At))) {
				return
			}
			o.addMark(action)
			if err := o.perform(ctx, action); err != nil {
				o.mutex.Lock()
				o.failures = append(o.failures, fmt.Sprintf("%s at %s: %v", action.Kind, action.At, err))
				o.mutex.Unlock()
			}
		})
	}
	ended.Wait()
}

// Marks returns the actions and their times, for plots.
func (o *Operator) Marks() []report.Mark {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return append([]report.Mark(nil), o.marks...)
}

// Failures returns the actions that failed.
func (o *Operator) Failures() []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return append([]string(nil), o.failures...)
}

func (o *Operator) addMark(action scenario.Action) {
	label := string(action.Kind)
	if action.Row != "" {
		label += " " + action.Row
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.marks = append(o.marks, report.Mark{At: time.Since(o.started).Seconds(), Label: label})
}

func (o *Operator) perform(ctx context.Context, action scenario.Action) error {
	switch action.Kind {
	case scenario.ActionEditRow:
		return o.editRow(ctx, action.Row, func(row *policy.Row) { row.Weight++ })
	case scenario.ActionSetShare:
		return o.editRow(ctx, action.Row, func(row *policy.Row) { row.NewSiteShare = action.Value })
	case scenario.ActionStopNode:
		return o.restartNode(ctx, action.Node, true)
	case scenario.ActionKillNode:
		return o.restartNode(ctx, action.Node, false)
	case scenario.ActionLeaveEngine:
		id := o.fleet.EngineID(action.Engine)
		o.ledger.AddDeparture(ledger.Departure{Engine: id, At: time.Now()})
		return o.fleet.Platform.Leave(id)
	case scenario.ActionKillEngine:
		return o.fleet.Platform.Kill(o.fleet.EngineID(action.Engine))
	case scenario.ActionRollout:
		return fmt.Errorf("no way to order a rollout to %s yet", action.Version)
	default:
		return fmt.Errorf("no such action")
	}
}

// restartNode stops or kills a node and starts it again.
func (o *Operator) restartNode(ctx context.Context, node int, planned bool) error {
	stop := ledger.NodeStop{Node: node, At: time.Now(), Planned: planned}
	var err error
	if planned {
		err = o.fleet.StopNode(node)
	} else {
		o.fleet.KillNode(node)
	}
	stop.Ended = time.Now()
	if err == nil {
		err = o.fleet.StartNode(node)
	}
	if err == nil {
		err = o.fleet.AwaitReady(ctx, node)
	}
	stop.Ready = time.Now()
	o.ledger.AddStop(stop)
	return err
}

// editRow changes a row through the first node that answers. After a lost race it tries again with
// the current row, as an operator does.
func (o *Operator) editRow(ctx context.Context, row string, change func(*policy.Row)) error {
	var failure error
	for try := range o.fleet.Nodes() * triesPerNode {
		node := try % o.fleet.Nodes()
		admin, err := o.fleet.Operator(node)
		if err != nil {
			return err
		}
		current, err := admin.Row(ctx, identity.RowID(row))
		if err == nil {
			change(&current)
			sent := time.Now()
			accepted, putErr := admin.PutRow(ctx, current)
			if putErr == nil {
				o.ledger.AddEdit(ledger.Edit{Row: row, Revision: accepted.Row.Revision, Sent: sent, Accepted: time.Now()})
				return nil
			}
			err = putErr
		}
		failure = err
	}
	return failure
}

const triesPerNode = 2

// watchInterval is the time between two reads of a watched row from a node.
const watchInterval = 20 * time.Millisecond

// Watch records the revisions of the rows that every node shows, until ctx is done.
func (o *Operator) Watch(ctx context.Context, rows []string) {
	var ended sync.WaitGroup
	for node := range o.fleet.Nodes() {
		ended.Go(func() { o.watchNode(ctx, node, rows) })
	}
	ended.Wait()
}

func (o *Operator) watchNode(ctx context.Context, node int, rows []string) {
	admin, err := o.fleet.Operator(node)
	if err != nil {
		return
	}
	last := map[string]uint64{}
	for wait(ctx, watchInterval) {
		for _, row := range rows {
			shown, err := admin.Row(ctx, identity.RowID(row))
			if err != nil || shown.Revision == last[row] {
				continue // the node is down, or the revision is unchanged
			}
			last[row] = shown.Revision
			o.ledger.AddSighting(ledger.Sighting{At: time.Now(), Node: node, Row: row, Revision: shown.Revision})
		}
	}
}

func wait(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(max(0, duration))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

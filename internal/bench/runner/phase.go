// Package runner runs a scenario and produces its report. It applies the same arrivals to a fleet
// with online requests only, the naive reference system and a ringstream fleet.
package runner

import (
	"context"
	"fmt"
	"time"

	"ringstream.example/ringstream/internal/wait"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/bench/client"
	"ringstream.example/ringstream/internal/bench/fleet"
	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/bench/measure"
	"ringstream.example/ringstream/internal/bench/naive"
	"ringstream.example/ringstream/internal/bench/operator"
	"ringstream.example/ringstream/internal/bench/report"
	"ringstream.example/ringstream/internal/bench/scenario"
	"ringstream.example/ringstream/internal/bench/workload"
	"ringstream.example/ringstream/internal/emulator"
)

// Progress is the progress of a phase.
type Progress struct {
	Phase    string
	Elapsed  time.Duration
	Duration time.Duration // of the arrivals
	Counts   ledger.Counts
}

// Phase is the result of one run of a plan on one system.
type Phase struct {
	Evidence ledger.Evidence
	Model    measure.EngineModel
	Started  time.Time
	Marks    []report.Mark
	Control  report.Control
	Failures []string // actions that failed
}

// Settings are common to all phases of a run.
type Settings struct {
	Scenario scenario.Scenario
	Seed     uint64
	Logger   *zap.Logger
	// Progress is called about five times a second. It may be nil.
	Progress func(Progress)
	// Settle delays the load until the fleet has distributed its batch shards.
	Settle bool

	// awaitOthers waits until the other systems of the run have reached the same point. It may be
	// nil.
	awaitOthers func(context.Context)
	// idleNodes is the number of nodes in the process. If it is positive, the cost of the idle
	// fleet is measured before the load.
	idleNodes int
}

func (s Settings) awaitOtherSystems(ctx context.Context) {
	if s.awaitOthers != nil {
		s.awaitOthers(ctx)
	}
}

// Ringstream runs a plan on a fleet of real nodes, and performs the scenario's actions if
// performActions is true.
func Ringstream(ctx context.Context, name string, settings Settings, plan workload.Plan, performActions bool) (Phase, error) {
	running, err := fleet.Start(ctx, settings.Scenario, settings.Seed, settings.Logger)
	if err != nil {
		return Phase{}, err
	}
	defer running.Close()
	if settings.Settle {
		running.AwaitSettled(ctx)
	}
	phase := Phase{Model: fleet.Model(settings.Scenario, running.Platform)}
	settings.awaitOtherSystems(ctx)
	if settings.idleNodes > 0 {
		phase.Control = measureIdle(ctx, running, settings.idleNodes)
		settings.awaitOtherSystems(ctx)
	}
	return runLoad(ctx, name, settings, plan, running, phase, performActions), nil
}

// runLoad sends the plan and collects all records after its end.
func runLoad(ctx context.Context, name string, settings Settings, plan workload.Plan, running *fleet.Fleet, phase Phase, performActions bool) Phase {
	var records ledger.Ledger
	callers := client.New(running, settings.Scenario.Model, &records)
	defer callers.Close()
	operators := operator.New(running, &records)
	stopProgress := watchProgress(name, settings, &records)
	defer stopProgress()

	watching, stopWatching := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if performActions {
			operators.Watch(watching, rowsOf(settings.Scenario))
		}
	}()
	acted := make(chan struct{})
	go func() {
		defer close(acted)
		if performActions {
			operators.Run(ctx, settings.Scenario.Actions)
		}
	}()
	following, giveUp := context.WithCancel(ctx)
	defer giveUp()
	callers.Run(following, plan)
	<-acted
	callers.Wait(ctx, settings.Scenario.Settle, giveUp)
	if performActions && len(settings.Scenario.Actions) > 0 {
		wait.For(ctx, editSettleTime)
	}
	stopWatching()
	<-watched
	phase.Evidence = records.Evidence()
	phase.Evidence.Nodes, phase.Evidence.Interrupted = running.Nodes(), ctx.Err() != nil
	phase.Started, phase.Marks, phase.Failures = callers.Started(), operators.Marks(), operators.Failures()
	fleet.Complete(&phase.Evidence, plan, settings.Scenario.Model, running.Platform)
	return phase
}

// editSettleTime is how long the nodes are watched at the end, to detect an edit that is reverted.
const editSettleTime = 500 * time.Millisecond

func rowsOf(from scenario.Scenario) []string {
	var names []string
	for _, row := range from.Rows {
		names = append(names, string(row.ID))
	}
	return names
}

// Naive runs a plan on the naive reference system with its own stand-ins.
func Naive(ctx context.Context, settings Settings, plan workload.Plan) (Phase, error) {
	stand, err := fleet.StartPlatform(settings.Scenario, settings.Seed)
	if err != nil {
		return Phase{}, err
	}
	defer stand.Close()
	clients, err := stand.Clients(false)
	if err != nil {
		return Phase{}, fmt.Errorf("naive: %w", err)
	}
	var engines []naive.Engine
	for _, machine := range stand.Machines.Current() {
		engine, found := stand.Engine(machine.ID)
		if !found {
			return Phase{}, fmt.Errorf("naive: no engine %s", machine.ID)
		}
		engines = append(engines, naive.Engine{Engine: clients.Engines.Engine(machine), Slots: engine.MaxRunning()})
	}
	settings.awaitOtherSystems(ctx)
	settings.awaitOtherSystems(ctx) // wait while the other systems measure the idle cost
	var records ledger.Ledger
	stopProgress := watchProgress(report.RunNaive, settings, &records)
	defer stopProgress()
	system := naive.New(len(settings.Scenario.Zones), engines, settings.Scenario.Model, &records)
	limited, cancel := context.WithTimeout(ctx, settings.Scenario.Duration+settings.Scenario.Settle)
	defer cancel()
	phase := Phase{Model: fleet.Model(settings.Scenario, stand)}
	phase.Started = system.Run(limited, plan)
	system.Close()
	phase.Evidence = records.Evidence()
	completeNaive(&phase.Evidence, plan, settings.Scenario.Model, stand)
	return phase, nil
}

// completeNaive adds the engines' records. The naive system gives all work the same priority, so
// the plan determines which runs are online.
func completeNaive(into *ledger.Evidence, plan workload.Plan, model string, stand *emulator.Fleet) {
	fleet.Complete(into, plan, model, stand)
	online := map[string]bool{}
	for _, request := range plan.Requests {
		online[request.Name] = true
	}
	for i := range into.Runs {
		into.Runs[i].Online = online[into.Runs[i].Name]
	}
	into.Index()
}

// watchProgress calls Progress until the returned function is called.
func watchProgress(phase string, settings Settings, records *ledger.Ledger) (stop func()) {
	if settings.Progress == nil {
		return func() {}
	}
	const interval = 200 * time.Millisecond
	done, ended := make(chan struct{}), make(chan struct{})
	started := time.Now()
	go func() {
		defer close(ended)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			settings.Progress(Progress{
				Phase: phase, Elapsed: time.Since(started), Duration: settings.Scenario.Duration, Counts: records.Counts(),
			})
			select {
			case <-done:
				return
			case <-ticker.C:
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// Package runner runs a scenario from its start to its report: the same
// arrivals against online alone, the naive version and a ringstream fleet.
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

// Progress tells how far a phase is.
type Progress struct {
	Phase    string
	Elapsed  time.Duration
	Duration time.Duration // of the arrivals
	Counts   ledger.Counts
}

// Phase is one run of a plan against one system.
type Phase struct {
	Evidence ledger.Evidence
	Model    measure.EngineModel
	Started  time.Time
	Marks    []report.Mark
	Control  report.Control
	Failures []string // actions that could not be carried out
}

// Settings are what the phases of a run share.
type Settings struct {
	Scenario scenario.Scenario
	Seed     uint64
	Logger   *zap.Logger
	// Progress, when set, is called about five times a second.
	Progress func(Progress)
	// Settle has the load wait until the fleet has shared out its batch shards.
	Settle bool

	// begin, when set, returns when the other systems of the run have come to
	// the same point.
	begin func(context.Context)
	// idleNodes is the number of nodes in the process; above zero, the cost of
	// the idle fleet is measured before the load.
	idleNodes int
}

func (s Settings) awaitBegin(ctx context.Context) {
	if s.begin != nil {
		s.begin(ctx)
	}
}

// Ringstream runs a plan against a fleet of real nodes, and carries out the
// scenario's actions when act is set.
func Ringstream(ctx context.Context, name string, settings Settings, plan workload.Plan, act bool) (Phase, error) {
	running, err := fleet.Start(ctx, settings.Scenario, settings.Seed, settings.Logger)
	if err != nil {
		return Phase{}, err
	}
	defer running.Close()
	if settings.Settle {
		running.AwaitSettled(ctx)
	}
	phase := Phase{Model: fleet.Model(settings.Scenario, running.Platform)}
	settings.awaitBegin(ctx)
	if settings.idleNodes > 0 {
		phase.Control = measureIdle(ctx, running, settings.idleNodes)
		settings.awaitBegin(ctx)
	}
	return load(ctx, name, settings, plan, running, phase, act), nil
}

// load sends the plan and gathers everything once it has ended.
func load(ctx context.Context, name string, settings Settings, plan workload.Plan, running *fleet.Fleet, phase Phase, act bool) Phase {
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
		if act {
			operators.Watch(watching, rowsOf(settings.Scenario))
		}
	}()
	acted := make(chan struct{})
	go func() {
		defer close(acted)
		if act {
			operators.Run(ctx, settings.Scenario.Actions)
		}
	}()
	following, giveUp := context.WithCancel(ctx)
	defer giveUp()
	callers.Run(following, plan)
	<-acted
	callers.Wait(ctx, settings.Scenario.Settle, giveUp)
	if act && len(settings.Scenario.Actions) > 0 {
		wait.For(ctx, settleEdits)
	}
	stopWatching()
	<-watched
	phase.Evidence = records.Evidence()
	phase.Evidence.Nodes, phase.Evidence.Interrupted = running.Nodes(), ctx.Err() != nil
	phase.Started, phase.Marks, phase.Failures = callers.Started(), operators.Marks(), operators.Failures()
	fleet.Complete(&phase.Evidence, plan, settings.Scenario.Model, running.Platform)
	return phase
}

// settleEdits leaves the last edit time to revert, should it do so.
const settleEdits = 500 * time.Millisecond

func rowsOf(from scenario.Scenario) []string {
	var names []string
	for _, row := range from.Rows {
		names = append(names, string(row.ID))
	}
	return names
}

// Naive runs a plan against the naive version on stand-ins of its own.
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
	settings.awaitBegin(ctx)
	settings.awaitBegin(ctx) // the idle cost has been measured
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

// completeNaive adds the engines' records. The naive version gives all its work
// one priority, so that the plan has to tell what is online.
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

// watchProgress calls Progress until the function that it gives is called.
func watchProgress(phase string, settings Settings, records *ledger.Ledger) (stop func()) {
	if settings.Progress == nil {
		return func() {}
	}
	const every = 200 * time.Millisecond
	done, ended := make(chan struct{}), make(chan struct{})
	started := time.Now()
	go func() {
		defer close(ended)
		ticker := time.NewTicker(every)
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

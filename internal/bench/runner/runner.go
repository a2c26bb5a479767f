package runner

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/bench/checker"
	"ringstream.example/ringstream/internal/bench/fleet"
	"ringstream.example/ringstream/internal/bench/measure"
	"ringstream.example/ringstream/internal/bench/report"
	"ringstream.example/ringstream/internal/bench/workload"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/emulator"
)

// Run runs a scenario on three systems with the same arrivals and returns its report. If ctx ends
// early, the report is partial and contains what was done until then.
func Run(ctx context.Context, settings Settings) (report.Report, report.Series, error) {
	plan := workload.Make(settings.Scenario, settings.Seed)
	result := report.Report{Scenario: settings.Scenario.Name, Seed: settings.Seed, Started: time.Now()}
	series := report.Series{Duration: settings.Scenario.Duration.Seconds(), Online: map[string][]report.Point{}}

	direct, err := directOverhead(ctx, settings)
	if err != nil && ctx.Err() == nil {
		return result, series, err
	}
	alone, plain, full, err := runSystems(ctx, settings, plan)
	if err != nil && ctx.Err() == nil {
		return result, series, err
	}
	result.Baselines.OnlineAlone = measure.OnlineFigures(alone.Evidence, direct)
	series.Online[report.RunAlone] = measure.Points(alone.Evidence, alone.Started)
	result.Baselines.NaiveOnline = measure.OnlineFigures(plain.Evidence, direct)
	result.Baselines.NaiveBatch, _ = measure.BatchFigures(plain.Evidence, plain.Model)
	series.Online[report.RunNaive] = measure.Points(plain.Evidence, plain.Started)
	addMainFigures(&result, &series, full, direct, settings.Scenario.Model)
	result.Partial = ctx.Err() != nil
	result.Judge(settings.Scenario.Rules)
	for _, failure := range full.Failures {
		result.RulesNot = append(result.RulesNot, "an action was not carried out: "+failure)
		result.RulesMet = false
	}
	return result, series, nil
}

// runSystems runs the plan on the three systems at the same time, each with its own stand-ins, so
// that all of them are exposed to the same noise of the machine.
func runSystems(ctx context.Context, settings Settings, plan workload.Plan) (alone, plain, full Phase, err error) {
	const systems, fleets = 3, 2
	settings.awaitOthers = newBarrier(systems).wait
	settings.idleNodes = fleets * len(settings.Scenario.Zones)
	quiet := settings
	quiet.Progress = nil
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		alone, err = Ringstream(ctx, report.RunAlone, quiet, plan.WithoutBatch(), false)
		return err
	})
	group.Go(func() (err error) {
		plain, err = Naive(ctx, quiet, plan)
		return err
	})
	group.Go(func() (err error) {
		full, err = Ringstream(ctx, report.RunRingstream, settings, plan, true)
		return err
	})
	err = group.Wait()
	return alone, plain, full, err
}

// barrier blocks its parties until all of them have arrived. It can be used repeatedly.
type barrier struct {
	parties int
	mutex   sync.Mutex
	arrived int
	open    chan struct{} // closed when all parties have arrived; then replaced
}

func newBarrier(parties int) *barrier {
	return &barrier{parties: parties, open: make(chan struct{})}
}

// wait returns when all parties have arrived or ctx is done.
func (b *barrier) wait(ctx context.Context) {
	b.mutex.Lock()
	open := b.open
	b.arrived++
	if b.arrived == b.parties {
		b.arrived, b.open = 0, make(chan struct{})
		close(open)
	}
	b.mutex.Unlock()
	select {
	case <-open:
	case <-ctx.Done():
	}
}

// maxListedViolations bounds the violations that a report lists.
const maxListedViolations = 50

// addMainFigures adds the figures of the ringstream run to the report and the series.
func addMainFigures(result *report.Report, series *report.Series, full Phase, direct time.Duration, model string) {
	violations := checker.Check(full.Evidence, Answer(model))
	result.Invariants = checker.Count(violations)
	result.Violations = violations[:min(len(violations), maxListedViolations)]
	result.Online = measure.OnlineFigures(full.Evidence, direct)
	var ideal measure.Ideal
	result.Batch, ideal = measure.BatchFigures(full.Evidence, full.Model)
	result.Control = full.Control
	result.Config = measure.ConfigFigures(full.Evidence)
	for _, standstill := range full.Evidence.Standstills {
		result.Noise.LateSteps++
		result.Noise.LateSeconds += standstill.Until.Sub(standstill.From).Seconds()
	}
	series.Online[report.RunRingstream] = measure.Points(full.Evidence, full.Started)
	series.Slots = measure.SlotUse(full.Evidence, full.Model, ideal, full.Started)
	series.Marks = full.Marks
	series.Convergence = measure.Convergence(full.Evidence, full.Started)
}

// Answer returns the function that computes the stand-ins' answers for a model.
func Answer(model string) checker.Answer {
	return func(prompt string, maxTokens int) string { return emulator.ExpectedText(model, prompt, maxTokens) }
}

// directOverhead returns the median time to the first token of a direct call to an idle engine,
// minus the engine's own time from the arrival to that token.
func directOverhead(ctx context.Context, settings Settings) (time.Duration, error) {
	stand, err := fleet.StartPlatform(settings.Scenario, settings.Seed)
	if err != nil {
		return 0, err
	}
	defer stand.Close()
	clients, err := stand.Clients(false)
	if err != nil {
		return 0, fmt.Errorf("direct call: %w", err)
	}
	machine := stand.Machines.Current()[0]
	engine := clients.Engines.Engine(machine)
	const calls = 60
	var overheads []time.Duration
	for call := range calls {
		sent := time.Now()
		if err := firstToken(ctx, engine, settings.Scenario.Model, call); err != nil {
			return 0, fmt.Errorf("direct call: %w", err)
		}
		overheads = append(overheads, time.Since(sent))
	}
	entries := stand.Engines[0].Ledger()
	for i, entry := range entries {
		overheads[i] -= entry.FirstTokenAt.Sub(entry.OfferedAt)
	}
	slices.Sort(overheads)
	return overheads[len(overheads)/2], nil
}

func firstToken(ctx context.Context, engine backend.Engine, model string, call int) error {
	stream, err := engine.Generate(ctx, backend.GenerateRequest{
		Attempt: identity.AttemptID(fmt.Sprintf("direct-%d", call)), Model: model, Prompt: fmt.Sprintf("direct call %d", call),
		MaxTokens: 1, Priority: backend.PriorityOnline,
	})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	if _, err := stream.Next(); err != nil {
		return err
	}
	_, err = stream.Next()
	if err != io.EOF { //nolint:errorlint // the contract is io.EOF itself
		return fmt.Errorf("a stream of one token goes on: %w", err)
	}
	return nil
}

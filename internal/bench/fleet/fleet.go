// Package fleet runs a whole small fleet in one process: the platform's
// stand-ins and real nodes, all over loopback sockets, with the scenario's
// table loaded. It starts and stops machines; it never judges them.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/adminclient"
	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/bench/engineledger"
	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/bench/measure"
	"ringstream.example/ringstream/internal/bench/scenario"
	"ringstream.example/ringstream/internal/bench/workload"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/emulator"
)

// OperatorKey is the key that every node takes for the operator "bench".
const OperatorKey = "operator-key"

// Fleet is a running fleet.
type Fleet struct {
	// Platform holds the stand-ins.
	Platform *emulator.Fleet

	scenario scenario.Scenario
	logger   *zap.Logger
	nodes    []*member
}

// StartPlatform starts only the stand-ins of a scenario.
func StartPlatform(from scenario.Scenario, seed uint64) (*emulator.Fleet, error) {
	const gigabyte = 1 << 30
	config := emulator.DefaultFleetConfig()
	config.Region, config.Zones, config.Seed = from.Region, from.Zones, seed
	models := []backend.LoadedModel{{Model: from.Model, Version: firstVersion}}
	config.Engine = EngineConfig(from)
	config.Pools = []emulator.Pool{{Name: from.Pool, Engines: from.EngineCount(), Models: models, Capacities: from.Capacities()}}
	config.Artifacts = []backend.Artifact{
		{Model: from.Model, Version: firstVersion, Bytes: 2 * gigabyte},
		{Model: from.Model, Version: "v2", Bytes: 2 * gigabyte},
	}
	return emulator.StartFleet(config)
}

const firstVersion = "v1"

// EngineConfig is the engine model of a scenario.
func EngineConfig(from scenario.Scenario) emulator.EngineConfig {
	config := emulator.DefaultEngineConfig()
	if from.EngineSlots > 0 {
		config.MaxRunning = from.EngineSlots
	}
	return config
}

// Start starts stand-ins and nodes, waits until every node is ready, and loads
// the scenario's rows through the admin API.
func Start(ctx context.Context, from scenario.Scenario, seed uint64, logger *zap.Logger) (*Fleet, error) {
	stand, err := StartPlatform(from, seed)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Platform: stand, scenario: from, logger: logger}
	if err := f.startNodes(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startNodes(ctx context.Context) error {
	if err := f.placeNodes(); err != nil {
		return err
	}
	for index := range f.nodes {
		if err := f.StartNode(index); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	if err := f.loadRows(ctx); err != nil {
		return err
	}
	for index := range f.nodes {
		if err := f.AwaitReady(ctx, index); err != nil {
			return err
		}
	}
	return nil
}

const (
	readyWait  = 20 * time.Second
	retryPause = 100 * time.Millisecond
)

// loadRows imports the scenario's rows and waits until every node shows them.
func (f *Fleet) loadRows(ctx context.Context) error {
	err := until(ctx, func() error {
		operator, err := f.Operator(0)
		if err != nil {
			return err
		}
		result, err := operator.ImportRows(ctx, f.scenario.Rows)
		if err == nil && result.Failed > 0 {
			err = fmt.Errorf("rows refused: %+v", result.Rows)
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("load the table: %w", err)
	}
	for index := range f.nodes {
		err := until(ctx, func() error {
			operator, err := f.Operator(index)
			if err != nil {
				return err
			}
			list, err := operator.Rows(ctx)
			if err == nil && len(list.Rows) < len(f.scenario.Rows) {
				err = fmt.Errorf("node %d shows %d rows of %d", index, len(list.Rows), len(f.scenario.Rows))
			}
			return err
		})
		if err != nil {
			return fmt.Errorf("table on node %d: %w", index, err)
		}
	}
	return nil
}

// until repeats a call until it succeeds or ctx is done; then it gives the
// call's last error.
func until(ctx context.Context, call func() error) error {
	for {
		err := call()
		if err == nil {
			return nil
		}
		timer := time.NewTimer(retryPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return errors.Join(ctx.Err(), err)
		case <-timer.C:
		}
	}
}

// AwaitReady waits until a node's admin port says that it is ready, at most
// readyWait.
func (f *Fleet) AwaitReady(ctx context.Context, node int) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	err := until(ctx, func() error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.nodes[node].admin+"/readyz", nil)
		if err != nil {
			return err
		}
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		defer func() { _ = answer.Body.Close() }()
		if answer.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", answer.StatusCode)
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("node %d is not ready: %w", node, err)
	}
	return nil
}

// AwaitSettled waits until the nodes have shared out their work: until they
// commit next to nothing to the table service. It gives up after a while.
func (f *Fleet) AwaitSettled(ctx context.Context) {
	const (
		look    = 500 * time.Millisecond
		quiet   = 8 // commits between two looks: lease renewals
		longest = 20 * time.Second
	)
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	for before := -quiet; ; {
		commits := f.Platform.Table.Faults.Calls()["commit"]
		if commits-before < quiet {
			return
		}
		before = commits
		timer := time.NewTimer(look)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// Operator makes a client of a node's admin API.
func (f *Fleet) Operator(node int) (*adminclient.Client, error) {
	const timeout = 10 * time.Second
	return adminclient.New(adminclient.Options{Server: "http://" + f.nodes[node].admin, Key: OperatorKey, Timeout: timeout})
}

// Gateway implements client.Directory.
func (f *Fleet) Gateway(node int) string { return f.nodes[node].gateway }

// Admin is the address of a node's admin API.
func (f *Fleet) Admin(node int) string { return f.nodes[node].admin }

// NodeID is a node's name.
func (f *Fleet) NodeID(node int) identity.NodeID { return identity.NodeID(f.nodes[node].id) }

// Nodes implements client.Directory.
func (f *Fleet) Nodes() int { return len(f.nodes) }

// Key implements client.Directory.
func (f *Fleet) Key(tenant string) string { return "key-of-" + tenant }

// Close ends everything, without a drain.
func (f *Fleet) Close() {
	var killed sync.WaitGroup
	for index := range f.nodes {
		killed.Go(func() { f.KillNode(index) })
	}
	killed.Wait()
	f.Platform.Close()
}

// Model gives the stand-ins' timing to the ideal schedule.
func Model(from scenario.Scenario, stand *emulator.Fleet) measure.EngineModel {
	engine := EngineConfig(from)
	model := measure.EngineModel{
		Slots: map[string]int{}, PrefixTokens: map[string]int{},
		StepBase: engine.StepBase, StepPerSequence: engine.StepPerSequence, StepPerPrefill: engine.StepPerPrefill,
	}
	for _, engine := range stand.Engines {
		model.Slots[engine.ID()] = engine.MaxRunning()
	}
	for _, stream := range from.Batch {
		model.PrefixTokens[stream.Name] = stream.Prefixes.Tokens
	}
	return model
}

// Complete adds to the callers' records what the stand-ins recorded of a plan.
func Complete(into *ledger.Evidence, plan workload.Plan, model string, stand *emulator.Fleet) {
	names := engineledger.PromptNames(model, plan)
	for _, engine := range stand.Engines {
		for _, entry := range engine.Ledger() {
			add(into, engine.ID(), entry, names[entry.PromptHash])
		}
		for _, stood := range engine.Standstills() {
			into.Standstills = append(into.Standstills, ledger.Standstill{Engine: engine.ID(), From: stood.From, Until: stood.Until})
		}
	}
	fillRefusals(into)
	for _, run := range stand.Site.Runs() {
		if !run.Forwarded {
			into.OtherSiteRuns = append(into.OtherSiteRuns, names[run.PromptHash])
		}
	}
	into.Ended = time.Now()
	into.Index()
}

func add(into *ledger.Evidence, engine string, entry emulator.LedgerEntry, name string) {
	online := entry.Priority == backend.PriorityOnline
	if entry.Refused != "" {
		into.Refusals = append(into.Refusals, ledger.EngineRefusal{
			At: entry.OfferedAt, Engine: engine, Name: name, Online: online, Code: entry.Refused,
		})
		return
	}
	into.Runs = append(into.Runs, ledger.Run{
		Engine: engine, Attempt: entry.Attempt, Name: name, Online: online, KeptTokens: entry.Kept,
		Accepted: entry.OfferedAt, Started: entry.StartedAt, FirstToken: entry.FirstTokenAt, Finished: entry.EndedAt,
		End: engineledger.RunEnd(entry.End), Tokens: entry.Tokens, Preemptions: entry.Preemptions,
	})
}

// fillRefusals counts the batch sequences that ran beside each refusal.
func fillRefusals(into *ledger.Evidence) {
	for i := range into.Refusals {
		refusal := &into.Refusals[i]
		for _, run := range into.Runs {
			running := !run.Started.IsZero() && run.Started.Before(refusal.At) && (run.Finished.IsZero() || run.Finished.After(refusal.At))
			if run.Engine == refusal.Engine && !run.Online && running {
				refusal.RunningBatch++
			}
		}
	}
}

// The ports of nodes lie below those that systems give to outgoing
// connections, so that a node that is down finds its own again.
const (
	firstPort = 20_000
	lastPort  = 30_000
)

// freePorts finds ports that nobody listens on.
func freePorts(count int) ([]string, error) {
	const triesPerPort = 50
	var addresses []string
	for range count * triesPerPort {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp", address) //nolint:noctx // returns at once
		if err != nil || slices.Contains(addresses, address) {
			continue // taken
		}
		_ = listener.Close()
		addresses = append(addresses, address)
		if len(addresses) == count {
			return addresses, nil
		}
	}
	return nil, fmt.Errorf("fleet: no %d free ports from %d to %d", count, firstPort, lastPort)
}

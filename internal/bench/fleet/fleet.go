// Package fleet runs a small fleet in one process: the platform stand-ins and real nodes, connected
// over loopback sockets, with the scenario's table loaded. It starts and stops machines, and does
// not judge them.
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

// OperatorKey is the key that every node accepts for the operator "bench".
const OperatorKey = "operator-key"

// Fleet is a running fleet.
type Fleet struct {
	// Platform contains the stand-ins.
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

// EngineConfig returns the engine configuration of a scenario.
func EngineConfig(from scenario.Scenario) emulator.EngineConfig {
	config := emulator.DefaultEngineConfig()
	if from.EngineSlots > 0 {
		config.MaxRunning = from.EngineSlots
	}
	return config
}

// Start starts the stand-ins and nodes, loads the scenario's rows through the admin API, and waits
// until every node is ready.
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
	if err := f.assignAddresses(); err != nil {
		return err
	}
	for index := range f.nodes {
		if err := f.StartNode(index); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
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
	readyTimeout  = 20 * time.Second
	retryInterval = 100 * time.Millisecond
)

// loadRows imports the scenario's rows and waits until every node shows them.
func (f *Fleet) loadRows(ctx context.Context) error {
	err := retryUntilSuccess(ctx, func() error {
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
		err := retryUntilSuccess(ctx, func() error {
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

// retryUntilSuccess repeats a call until it succeeds or ctx is done. Then it returns ctx's error
// joined with the last error of the call.
func retryUntilSuccess(ctx context.Context, call func() error) error {
	for {
		err := call()
		if err == nil {
			return nil
		}
		timer := time.NewTimer(retryInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return errors.Join(ctx.Err(), err)
		case <-timer.C:
		}
	}
}

// AwaitReady waits until a node reports on its admin port that it is ready, for at most
// readyTimeout.
func (f *Fleet) AwaitReady(ctx context.Context, node int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	err := retryUntilSuccess(ctx, func() error {
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

// AwaitSettled waits until the nodes have distributed their work, that is, until they commit almost
// nothing to the table service. It returns after a timeout in any case.
func (f *Fleet) AwaitSettled(ctx context.Context) {
	const (
		interval       = 500 * time.Millisecond
		maxIdleCommits = 8 // commits per interval for lease renewals
		timeout        = 20 * time.Second
	)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for before := -maxIdleCommits; ; {
		commits := f.Platform.Table.Faults.Calls()["commit"]
		if commits-before < maxIdleCommits {
			return
		}
		before = commits
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// Operator creates a client of a node's admin API.
func (f *Fleet) Operator(node int) (*adminclient.Client, error) {
	const timeout = 10 * time.Second
	return adminclient.New(adminclient.Options{Server: "http://" + f.nodes[node].admin, Key: OperatorKey, Timeout: timeout})
}

// Gateway implements client.Directory.
func (f *Fleet) Gateway(node int) string { return f.nodes[node].gateway }

// Admin returns the address of a node's admin API.
func (f *Fleet) Admin(node int) string { return f.nodes[node].admin }

// NodeID returns the id of a node.
func (f *Fleet) NodeID(node int) identity.NodeID { return identity.NodeID(f.nodes[node].id) }

// Nodes implements client.Directory.
func (f *Fleet) Nodes() int { return len(f.nodes) }

// Key implements client.Directory.
func (f *Fleet) Key(tenant string) string { return "key-of-" + tenant }

// Close kills all nodes without draining them, and closes the stand-ins.
func (f *Fleet) Close() {
	var killed sync.WaitGroup
	for index := range f.nodes {
		killed.Go(func() { f.KillNode(index) })
	}
	killed.Wait()
	f.Platform.Close()
}

// Model returns the timing of the stand-ins for the ideal schedule.
func Model(from scenario.Scenario, stand *emulator.Fleet) measure.EngineModel {
	engine := EngineConfig(from)
	model := measure.EngineModel{
		Slots: map[string]int{}, PrefixTokens: map[string]int{},
		StepBase: engine.StepBase, StepPerSequence: engine.StepPerSequence, StepPerPrefillToken: engine.StepPerPrefillToken,
	}
	for _, engine := range stand.Engines {
		model.Slots[engine.ID()] = engine.MaxRunning()
	}
	for _, stream := range from.Batch {
		model.PrefixTokens[stream.Name] = stream.Prefixes.Tokens
	}
	return model
}

// Complete adds the records of the stand-ins for a plan to the evidence.
func Complete(into *ledger.Evidence, plan workload.Plan, model string, stand *emulator.Fleet) {
	names := engineledger.PromptNames(model, plan)
	for _, engine := range stand.Engines {
		for _, entry := range engine.Ledger() {
			addEntry(into, engine.ID(), entry, names[entry.PromptHash])
		}
		for _, stall := range engine.SchedulingStalls() {
			into.Standstills = append(into.Standstills, ledger.Standstill{Engine: engine.ID(), From: stall.From, Until: stall.Until})
		}
	}
	countBatchAtRefusals(into)
	for _, run := range stand.Site.Runs() {
		if !run.Forwarded {
			into.OtherSiteRuns = append(into.OtherSiteRuns, names[run.PromptHash])
		}
	}
	into.Ended = time.Now()
	into.Index()
}

func addEntry(into *ledger.Evidence, engine string, entry emulator.LedgerEntry, name string) {
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

// countBatchAtRefusals counts the batch sequences that were running on the engine at each refusal.
func countBatchAtRefusals(into *ledger.Evidence) {
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

// The ports of nodes are below the usual range of ephemeral ports, so that a restarted node finds
// its ports free.
const (
	firstPort = 20_000
	lastPort  = 30_000
)

// freePorts returns the addresses of free ports.
func freePorts(count int) ([]string, error) {
	const triesPerPort = 50
	var addresses []string
	for range count * triesPerPort {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp", address) //nolint:noctx // returns at once
		if err != nil || slices.Contains(addresses, address) {
			continue // the port is in use or already chosen
		}
		_ = listener.Close()
		addresses = append(addresses, address)
		if len(addresses) == count {
			return addresses, nil
		}
	}
	return nil, fmt.Errorf("fleet: no %d free ports from %d to %d", count, firstPort, lastPort)
}

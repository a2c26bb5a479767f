package jobs

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/httpclient"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/dispatch"
	"ringstream.example/ringstream/internal/emulator"
	"ringstream.example/ringstream/internal/emulator/netsim"
	"ringstream.example/ringstream/internal/peer/peertest"
	"ringstream.example/ringstream/internal/store"
)

const (
	tenant    = identity.TenantID("corrib")
	tokenTime = 50 * time.Millisecond
)

// cluster is a fleet of managers in virtual time that use the emulated stores.
type cluster struct {
	t       *testing.T
	fleet   *emulator.Fleet
	clients *httpclient.Clients
	network *peertest.Network
	engines *engines
	config  Config
	logs    *observer.ObservedLogs
	logger  *zap.Logger
	nodes   []*testNode
}

// testNode is one manager with the gate that all its calls pass.
type testNode struct {
	*Manager
	id     identity.NodeID
	gate   *gate
	cancel context.CancelFunc
	done   chan struct{}
}

// newCluster starts a fleet. The caller must run in a synctest bubble.
func newCluster(t *testing.T, nodes int, edit func(*Config)) *cluster {
	t.Helper()
	fleetConfig := emulator.DefaultFleetConfig()
	fleetConfig.Network = netsim.New(nil)
	fleetConfig.Pools[0].Engines = 1
	fleetConfig.TableRate, fleetConfig.ObjectsRate = 0, 0
	fleet, err := emulator.StartFleet(fleetConfig)
	if err != nil {
		t.Fatal(err)
	}
	clients, err := fleet.Clients(false)
	if err != nil {
		t.Fatal(err)
	}
	config := DefaultConfig()
	config.Shards = 16
	if edit != nil {
		edit(&config)
	}
	c := &cluster{
		t: t, fleet: fleet, clients: clients, config: config, network: peertest.New(peertest.Options{Seed: 1}),
		engines: &engines{free: 32, released: make(chan struct{}), attempts: map[identity.AttemptID]*attempt{}},
	}
	core, logs := observer.New(zap.InfoLevel)
	c.logger, c.logs = zap.New(core), logs
	for range nodes {
		c.add()
	}
	advance(2 * time.Second)
	return c
}

// advance lets virtual time pass.
func advance(pause time.Duration) { time.Sleep(pause) }

func (c *cluster) add() *testNode {
	id := identity.NodeID(fmt.Sprintf("node-%d", len(c.nodes)+1))
	bus := c.network.Add(membership.Member{ID: id, State: membership.Alive})
	node := &testNode{id: id, gate: newGate(), done: make(chan struct{})}
	node.Manager = New(c.config, Dependencies{
		Store:   store.New(gatedTable{node.gate, c.clients.Table}),
		Objects: gatedObjects{node.gate, c.clients.Objects},
		Bus:     bus, Batch: gatedBatch{node.gate, c.engines}, Rows: fixedRows{},
	}, c.logger, nil)
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel = cancel
	go func() {
		defer close(node.done)
		_ = node.Run(ctx)
	}()
	c.nodes = append(c.nodes, node)
	return node
}

// close stops all nodes and the emulated services.
func (c *cluster) close() {
	for _, node := range c.nodes {
		node.gate.set(running)
		node.cancel()
	}
	for _, node := range c.nodes {
		<-node.done
	}
	c.clients.Close()
	c.fleet.Close()
}

// kill stops a node at once. None of its later calls has an effect.
func (c *cluster) kill(node *testNode) {
	node.gate.set(dead)
	c.network.Kill(node.id)
	node.cancel()
}

// holderOf returns the live node that holds a shard, or nil.
func (c *cluster) holderOf(number int) *testNode {
	for _, node := range c.nodes {
		if node.gate.get() == dead {
			continue
		}
		for _, held := range node.HeldShards() {
			if held == number {
				return node
			}
		}
	}
	return nil
}

// otherThan returns the first node that is not the given one.
func (c *cluster) otherThan(one *testNode) *testNode {
	if c.nodes[0] == one {
		return c.nodes[1]
	}
	return c.nodes[0]
}

func (c *cluster) submit(node *testNode, key string, items int, repeatable bool) Job {
	c.t.Helper()
	job, _, err := node.Submit(c.t.Context(), submission(key, items, repeatable))
	if err != nil {
		c.t.Fatal(err)
	}
	return job
}

func submission(key string, items int, repeatable bool) Submission {
	var lines strings.Builder
	for i := range items {
		fmt.Fprintf(&lines, `{"custom_id":"%s-%d","prompt":"prompt %s %d","max_tokens":20}`+"\n", key, i, key, i)
	}
	return Submission{Tenant: tenant, Key: key, Model: "m", Repeatable: repeatable, Items: strings.NewReader(lines.String())}
}

// await waits until the job has ended, and fails the test after patience.
func (c *cluster) await(node *testNode, id identity.JobID, patience time.Duration) Job {
	c.t.Helper()
	for deadline := time.Now().Add(patience); ; advance(100 * time.Millisecond) {
		job, err := node.Get(c.t.Context(), tenant, id)
		if err == nil && (job.State == StateCompleted || job.State == StateCancelled) {
			return job
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("the job has not ended: %+v, %v", job, err)
		}
	}
}

// checkResults checks that each item has exactly one result, with its own id and
// text.
func (c *cluster) checkResults(node *testNode, job Job, key string) []Result {
	c.t.Helper()
	results, err := node.Results(c.t.Context(), tenant, job.ID, 0, job.Total)
	if err != nil {
		c.t.Fatal(err)
	}
	if len(results) != job.Total {
		c.t.Fatalf("%d results of %d items", len(results), job.Total)
	}
	for i, result := range results {
		if result.Index != i || result.ID != fmt.Sprintf("%s-%d", key, i) {
			c.t.Fatalf("result %d is %+v", i, result)
		}
		if result.Outcome == outcome.Completed.String() && result.Text != answer(fmt.Sprintf("prompt %s %d", key, i), 20) {
			c.t.Fatalf("result %d has the wrong text: %+v", i, result)
		}
	}
	return results
}

// answer returns the text that the engines generate for a prompt.
func answer(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		fmt.Fprintf(&text, "[%s/%d]", prompt, i)
	}
	return text.String()
}

// fixedRows is a rows.Source whose table has one row.
type fixedRows struct{}

func (fixedRows) Table() *policy.Table {
	return policy.NewTable(1, []policy.Row{{ID: "r", Match: policy.Match{Tenant: policy.Any, Model: policy.Any, Kind: policy.Any}, Weight: 1, Pool: "p"}})
}

// engines simulates the engine capacity that all nodes share. An attempt continues
// after the loss of the node that sent it until it ends or is cancelled.
type engines struct {
	mu           sync.Mutex
	free         int
	released     chan struct{} // closed and replaced when slots become free
	attempts     map[identity.AttemptID]*attempt
	order        []*attempt
	sequence     int
	attemptsLost bool // no attempt can be resumed any more
}

type attempt struct {
	prompt     string
	tokens     int
	keptTokens int
	started    time.Time
	cancelled  time.Time
	preempted  bool // set together with cancelled
}

// progress returns the number of tokens generated by now, and whether the attempt
// has ended.
func (a *attempt) progress(now time.Time) (int, bool) {
	if !a.cancelled.IsZero() {
		now = a.cancelled
	}
	made := min(a.tokens, a.keptTokens+int(now.Sub(a.started)/tokenTime))
	return made, made == a.tokens || !a.cancelled.IsZero()
}

// sent counts the attempts of a prompt.
func (e *engines) sent(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, sent := range e.order {
		if sent.prompt == prompt {
			count++
		}
	}
	return count
}

// preempt preempts all running attempts.
func (e *engines) preempt() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, sent := range e.order {
		if _, ended := sent.progress(time.Now()); !ended {
			sent.cancelled, sent.preempted = time.Now(), true
		}
	}
}

// active counts the running attempts.
func (e *engines) active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, sent := range e.order {
		if _, ended := sent.progress(time.Now()); !ended {
			count++
		}
	}
	return count
}

// gatedBatch is one node's dispatch.Batch, whose calls pass the node's gate.
type gatedBatch struct {
	gate    *gate
	engines *engines
}

// Acquire implements dispatch.Batch.
func (b gatedBatch) Acquire(ctx context.Context, _, _ string) (dispatch.Slot, error) {
	for {
		b.engines.mu.Lock()
		if b.engines.free > 0 {
			b.engines.free--
			b.engines.mu.Unlock()
			return fakeSlot{b}, nil
		}
		released := b.engines.released
		b.engines.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-released:
		}
	}
}

// addFree changes the number of free slots, and wakes the waiting calls of Acquire.
func (e *engines) addFree(places int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.free += places
	close(e.released)
	e.released = make(chan struct{})
}

// Resume implements dispatch.Batch.
func (b gatedBatch) Resume(ctx context.Context, intent dispatch.Intent, offset int, sink dispatch.Sink) outcome.Outcome {
	b.engines.mu.Lock()
	joined := b.engines.attempts[intent.Attempt]
	if b.engines.attemptsLost {
		joined = nil
	}
	b.engines.mu.Unlock()
	if joined == nil {
		return outcome.Outcome{Kind: outcome.Unknown, Reason: "the engine does not know the attempt"}
	}
	return b.follow(ctx, intent, joined, offset, sink)
}

// Cancel implements dispatch.Batch.
func (b gatedBatch) Cancel(_ context.Context, intent dispatch.Intent) {
	if b.gate.get() == dead {
		return
	}
	b.engines.mu.Lock()
	defer b.engines.mu.Unlock()
	if sent := b.engines.attempts[intent.Attempt]; sent != nil && sent.cancelled.IsZero() {
		sent.cancelled = time.Now()
	}
}

func (b gatedBatch) follow(ctx context.Context, intent dispatch.Intent, sent *attempt, offset int, sink dispatch.Sink) outcome.Outcome {
	for {
		select {
		case <-ctx.Done():
			b.Cancel(ctx, intent)
			return outcome.Outcome{Kind: outcome.Cancelled}
		case <-time.After(tokenTime):
		}
		if b.gate.pass() != nil {
			return outcome.Outcome{Kind: outcome.Unknown, Reason: "dead"}
		}
		b.engines.mu.Lock()
		made, ended := sent.progress(time.Now())
		forgotten := b.engines.attemptsLost
		b.engines.mu.Unlock()
		if forgotten {
			return outcome.Outcome{Kind: outcome.Unknown, Reason: "the engine is gone"}
		}
		for ; offset < made; offset++ {
			if sink(backend.Token{Offset: offset, Text: fmt.Sprintf("[%s/%d]", sent.prompt, offset)}) != nil {
				return outcome.Outcome{Kind: outcome.Cancelled}
			}
		}
		if ended {
			if sent.preempted {
				return outcome.Outcome{Kind: outcome.Preempted}
			}
			if made < sent.tokens {
				return outcome.Outcome{Kind: outcome.Unknown, Reason: "the attempt was cancelled"}
			}
			return outcome.Outcome{Kind: outcome.Completed, OutputTokens: made}
		}
	}
}

type fakeSlot struct{ gatedBatch }

// Release implements dispatch.Slot.
func (s fakeSlot) Release() { s.engines.addFree(1) }

// Run implements dispatch.Slot.
func (s fakeSlot) Run(ctx context.Context, request dispatch.Request, sink dispatch.Sink) outcome.Outcome {
	defer s.Release()
	s.engines.mu.Lock()
	s.engines.sequence++
	intent := dispatch.Intent{Attempt: identity.AttemptID(fmt.Sprintf("a%d", s.engines.sequence)), Engine: "e1"}
	s.engines.mu.Unlock()
	if request.BeforeSend != nil {
		if err := request.BeforeSend(ctx, intent); err != nil {
			return outcome.Outcome{Kind: outcome.Refused, Reason: err.Error()}
		}
	}
	if s.gate.pass() != nil || ctx.Err() != nil {
		return outcome.Outcome{Kind: outcome.Refused}
	}
	sent := &attempt{prompt: request.Prompt, tokens: request.MaxTokens, keptTokens: len(request.KeptTokens), started: time.Now()}
	s.engines.mu.Lock()
	s.engines.attempts[intent.Attempt] = sent
	s.engines.order = append(s.engines.order, sent)
	s.engines.mu.Unlock()
	return s.follow(ctx, intent, sent, len(request.KeptTokens), sink)
}

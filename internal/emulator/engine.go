package emulator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
	"ringstream.example/ringstream/internal/core/identity"
)

// EngineConfig describes an engine stand-in.
type EngineConfig struct {
	ID       string
	Capacity float64 // relative size; scales MaxRunning, KVTokens and CacheTokens
	Seed     uint64
	Role     string
	Models   []backend.LoadedModel

	MaxRunning  int // sequences in the batch
	MaxWaiting  int // sequences queued, of each priority
	KVTokens    int // KV memory of running sequences
	CacheTokens int // KV memory of the prefix cache

	// A step takes StepBase + running sequences * StepPerSequence + prompt
	// tokens prefilled in it * StepPerPrefill, sizes corrected for Capacity.
	StepBase        time.Duration
	StepPerSequence time.Duration
	StepPerPrefill  time.Duration
	PrefillChunk    int // prompt tokens prefilled in one step, at most

	ReportEvery  time.Duration // load is measured this often
	ReportLag    time.Duration // and published this late
	CacheLag     time.Duration // cache events are published this late
	CacheLoss    float64       // share of cache events that are lost
	KeepFinished time.Duration // ended attempts can be resumed this long
	LoadTime     time.Duration // of a model or adapter, when there is no weight store
	LedgerSize   int           // attempts remembered for checkers
}

// DefaultEngineConfig is an engine with 20 ms steps at 16 to 32 sequences.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		ID: "engine", Capacity: 1, Role: "mixed",
		Models:     []backend.LoadedModel{{Model: "fleetlink-llm", Version: "1"}},
		MaxRunning: 32, MaxWaiting: 64, KVTokens: 64_000, CacheTokens: 32_000,
		StepBase: 13 * time.Millisecond, StepPerSequence: 280 * time.Microsecond,
		StepPerPrefill: 15 * time.Microsecond, PrefillChunk: 512,
		ReportEvery: 100 * time.Millisecond, ReportLag: 300 * time.Millisecond,
		CacheLag: 500 * time.Millisecond, CacheLoss: 0.05,
		KeepFinished: time.Minute, LoadTime: 2 * time.Second, LedgerSize: 200_000,
	}
}

// Engine is one model engine with continuous batching. Run must run for it to
// make tokens. Role and Capacity are reported; the role changes nothing else.
type Engine struct {
	Faults *Faults

	config  EngineConfig
	weights *Weights
	wake    chan struct{}

	mu        sync.Mutex
	stopped   chan struct{} // closed when Run has returned
	random    *rand.Rand
	attempts  map[string]*sequence
	cancelled map[string]bool // cancelled before they came: refused for good
	seen      map[string]bool // every attempt taken in this incarnation
	lives     int             // incarnations so far
	online    []*sequence     // waiting, first come first served
	batch     []*sequence
	running   []*sequence
	ended     []*sequence // oldest first, for KeepFinished
	kvUsed    int
	cache     *prefixCache
	step      step
	reports   []wire.Load
	models    []backend.LoadedModel
	loading   []loading
	role      string
	epoch     uint64 // the highest of any order
	orders    map[string]bool
	leaving   time.Time // zero: not leaving
	ledger    ledger
	usage     Usage

	standstills []Standstill
}

// NewEngine makes an engine; weights may be nil.
func NewEngine(config EngineConfig, weights *Weights) *Engine {
	if config.Capacity <= 0 {
		config.Capacity = 1
	}
	config.MaxRunning = max(1, int(float64(config.MaxRunning)*config.Capacity))
	config.KVTokens = int(float64(config.KVTokens) * config.Capacity)
	config.CacheTokens = int(float64(config.CacheTokens) * config.Capacity)
	e := &Engine{
		Faults: newFaults(config.ID, config.Seed, FaultSettings{}), config: config, weights: weights,
		wake: make(chan struct{}, 1),
	}
	e.reset()
	return e
}

// reset forgets everything but the ledger, as a restart does.
func (e *Engine) reset() {
	e.stopped = make(chan struct{})
	e.random = rand.New(rand.NewPCG(e.config.Seed, PromptHash("engine", e.config.ID))) //nolint:gosec // seeded on purpose
	e.attempts = map[string]*sequence{}
	e.cancelled, e.seen = map[string]bool{}, map[string]bool{}
	e.lives++
	e.online, e.batch, e.running, e.ended = nil, nil, nil, nil
	e.kvUsed = 0
	e.cache = newPrefixCache(e.config.CacheTokens / blockTokens)
	e.step = step{}
	e.models = cloneModels(e.config.Models)
	e.loading = nil
	e.role = e.config.Role
	e.orders = map[string]bool{}
	e.leaving = time.Time{}
	e.ledger.engine = e.config.ID
	e.ledger.limit = e.config.LedgerSize
	e.reports = []wire.Load{e.measure(time.Now())}
}

// Run makes the engine's steps until the context ends. What was running is
// then lost, as when its machine dies; Run may be called again.
func (e *Engine) Run(ctx context.Context) error {
	report := time.NewTicker(e.config.ReportEvery)
	defer report.Stop()
	stepEnd := time.NewTimer(e.config.ReportEvery) // set anew before it is waited for
	defer stepEnd.Stop()
	e.endStep(time.Now()) // the first step is an empty one
	stepping := false
	var due time.Time
	for {
		if !stepping {
			due = e.nextStep(due)
			stepping = !due.IsZero()
			if stepping {
				stepEnd.Reset(time.Until(due))
			}
		}
		var stepEnded <-chan time.Time
		if stepping {
			stepEnded = stepEnd.C
		}
		select {
		case <-ctx.Done():
			e.crash()
			return nil
		case <-report.C:
			e.publish(time.Now())
		case <-e.wake:
		case <-stepEnded:
			e.endStep(time.Now())
			stepping = false
		}
	}
}

// nextStep begins a step, if there is work for one, and gives when it is due; zero: there is none.
// The step before was due at lastDue.
func (e *Engine) nextStep(lastDue time.Time) time.Time {
	length := e.beginStep()
	if now := time.Now(); !lastDue.IsZero() && now.Sub(lastDue) > lateStep {
		e.noteStandstill(lastDue, now)
	}
	if length == 0 {
		return time.Time{}
	}
	return nextDue(lastDue, length)
}

// lateStep is how late a step may end by the machine's own scheduling before
// it is noted as a standstill.
const lateStep = 20 * time.Millisecond

// Standstill is a time in which an engine should have ended a step, and the
// machine that runs the stand-in did not let it.
type Standstill struct{ From, Until time.Time }

// Standstills gives the engine's standstills, oldest first, up to a bound.
func (e *Engine) Standstills() []Standstill {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.standstills)
}

func (e *Engine) noteStandstill(from, until time.Time) {
	const most = 10_000
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.standstills) < most {
		e.standstills = append(e.standstills, Standstill{From: from, Until: until})
	}
}

// nextDue gives the end of a step of this length. A step that ended late by the
// machine's own scheduling is made up for by the next, in part.
func nextDue(lastDue time.Time, length time.Duration) time.Time {
	now := time.Now()
	late := now.Sub(lastDue)
	if late < 0 || late > length/2 {
		late = 0
	}
	return now.Add(length - late)
}

// ID is the engine's identifier.
func (e *Engine) ID() string { return e.config.ID }

// Leave makes the engine refuse new work, or take it again.
func (e *Engine) Leave(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !leaving {
		e.leaving = time.Time{}
	} else if e.leaving.IsZero() {
		e.leaving = time.Now()
	}
}

// crash ends all that the engine holds, then forgets it.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, group := range [][]*sequence{e.online, e.batch, e.running} {
		for _, s := range group {
			s.entry.EndedAt = now
			s.entry.End = endCrashed
		}
	}
	close(e.stopped)
	e.reset()
}

// refusal is a call that the engine turned down without effect.
type refusal struct {
	code    backend.ErrorCode
	message string
}

// Error implements error.
func (r *refusal) Error() string { return string(r.code) + ": " + r.message }

// errNoAttempt answers calls on attempts that the engine does not hold.
var errNoAttempt = &refusal{backend.CodeNotFound, "no such attempt"}

// generate takes a new attempt, or gives the one that it already holds.
func (e *Engine) generate(request wire.GenerateRequest, from string) (*sequence, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, found := e.attempts[request.Attempt]; found {
		s.entry.Repeats++
		return s, nil
	}
	now := time.Now()
	s := newSequence(request, now)
	s.entry.From, _, _ = net.SplitHostPort(from) // empty when it has no port
	if err := e.admissible(request); err != nil {
		s.entry.EndedAt = now
		var refused *refusal
		if errors.As(err, &refused) {
			s.entry.Refused = string(refused.code)
		}
		_, s.entry.BatchRunning = e.runningByClass()
		s.entry.Queued = len(e.online) + len(e.batch)
		if !e.leaving.IsZero() {
			s.entry.LeavingFor = now.Sub(e.leaving)
		}
		e.ledger.add(s.entry)
		return nil, err
	}
	e.ledger.add(s.entry)
	e.attempts[request.Attempt] = s
	e.seen[request.Attempt] = true
	if s.priority == backend.PriorityOnline {
		e.online = append(e.online, s)
	} else {
		e.batch = append(e.batch, s)
	}
	e.nudge()
	return s, nil
}

// admissible says why a request cannot be taken; nil when it can.
func (e *Engine) admissible(request wire.GenerateRequest) error {
	e.settleLoads(time.Now())
	need := backend.PromptTokens(request.Prompt) + request.MaxTokens
	switch {
	case request.Attempt == "" || request.Model == "" || request.MaxTokens <= 0:
		return &refusal{backend.CodeInvalid, "attempt, model and max_tokens are required"}
	case len(request.Kept) >= request.MaxTokens:
		return &refusal{backend.CodeInvalid, "as many kept tokens as max_tokens"}
	case need > e.config.KVTokens:
		return &refusal{backend.CodeInvalid, fmt.Sprintf("needs %d tokens of KV memory of %d", need, e.config.KVTokens)}
	}
	if request.Incarnation != "" && request.Incarnation != e.incarnation() {
		return &refusal{backend.CodeFenced, "the engine was restarted"}
	}
	if e.cancelled[request.Attempt] {
		return &refusal{backend.CodeInvalid, "the attempt was cancelled before it came"}
	}
	if !e.leaving.IsZero() {
		return &refusal{backend.CodeLeaving, "the engine is leaving"}
	}
	if !e.loaded(request.Model, request.Version, request.Adapter) {
		return &refusal{backend.CodeNotLoaded, "model, version or adapter not loaded"}
	}
	waiting, room := len(e.batch), e.config.MaxWaiting
	if backend.Priority(request.Priority) == backend.PriorityOnline {
		// Places that batch holds, or no one, are taken at the next step.
		online, _ := e.runningByClass()
		waiting, room = len(e.online), e.config.MaxWaiting+e.config.MaxRunning-online
	}
	if waiting >= room {
		return &refusal{backend.CodeSaturated, "the queue is full"}
	}
	return nil
}

// incarnation names the engine's present life. Caller holds mu.
func (e *Engine) incarnation() identity.Incarnation {
	return identity.Incarnation(e.config.ID + "/" + strconv.Itoa(e.lives))
}

// cancel stops an attempt; one that has not come yet will be refused.
func (e *Engine) cancel(attempt string) wire.CancelReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	s, found := e.attempts[attempt]
	if !found {
		e.cancelled[attempt] = true
		return wire.CancelReport{Never: !e.seen[attempt], Incarnation: e.incarnation()}
	}
	report := wire.CancelReport{Found: true, Running: !s.done, OutputTokens: s.made, Incarnation: e.incarnation()}
	if !s.done {
		s.entry.CancelledAt = now
		e.drop(s)
		e.end(s, endCancelled, now)
		e.nudge()
	}
	return report
}

// nudge has Run look at the queues.
func (e *Engine) nudge() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Usage gives the engine's totals since it was made.
func (e *Engine) Usage() Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usage
}

// Ledger gives what the engine was asked to run, oldest first.
func (e *Engine) Ledger() []LedgerEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.copy()
}

// MaxRunning is the number of sequences that the engine runs at once.
func (e *Engine) MaxRunning() int { return e.config.MaxRunning }

func cloneModels(models []backend.LoadedModel) []backend.LoadedModel {
	cloned := slices.Clone(models)
	for i := range cloned {
		cloned[i].Adapters = slices.Clone(cloned[i].Adapters)
	}
	return cloned
}

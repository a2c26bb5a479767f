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

// EngineConfig configures an engine stand-in.
type EngineConfig struct {
	ID       string
	Capacity float64 // relative size; scales MaxRunning, KVTokens and CacheTokens
	Seed     uint64
	Role     string
	Models   []backend.LoadedModel

	MaxRunning  int // maximum number of running sequences
	MaxWaiting  int // sequences queued, per priority
	KVTokens    int // KV memory of running sequences, in tokens
	CacheTokens int // KV memory of the prefix cache, in tokens

	// A step takes StepBase + (running sequences * StepPerSequence + prompt
	// tokens prefilled in it * StepPerPrefillToken) / Capacity.
	StepBase            time.Duration
	StepPerSequence     time.Duration
	StepPerPrefillToken time.Duration
	PrefillChunk        int // maximum number of prompt tokens prefilled in one step

	ReportInterval    time.Duration // interval between load measurements
	ReportLag         time.Duration // delay before a load measurement is visible
	CacheLag          time.Duration // delay before a cache event is visible
	CacheLossRate     float64       // fraction of cache events that are lost
	FinishedRetention time.Duration // how long ended attempts can be resumed
	LoadTime          time.Duration // load time of a model or adapter without a weight store
	LedgerSize        int           // maximum number of attempts kept for checkers
}

// DefaultEngineConfig returns the settings of an engine with steps of about
// 20 ms at 16 to 32 sequences.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		ID: "engine", Capacity: 1, Role: "mixed",
		Models:     []backend.LoadedModel{{Model: "fleetlink-llm", Version: "1"}},
		MaxRunning: 32, MaxWaiting: 64, KVTokens: 64_000, CacheTokens: 32_000,
		StepBase: 13 * time.Millisecond, StepPerSequence: 280 * time.Microsecond,
		StepPerPrefillToken: 15 * time.Microsecond, PrefillChunk: 512,
		ReportInterval: 100 * time.Millisecond, ReportLag: 300 * time.Millisecond,
		CacheLag: 500 * time.Millisecond, CacheLossRate: 0.05,
		FinishedRetention: time.Minute, LoadTime: 2 * time.Second, LedgerSize: 200_000,
	}
}

// Engine emulates one model engine with continuous batching. It generates
// tokens only while Run is running. Its role is only reported and has no effect
// on its work.
type Engine struct {
	Faults *Faults

	config  EngineConfig
	weights *Weights
	wake    chan struct{}

	mu             sync.Mutex
	stopped        chan struct{} // closed when Run has returned
	random         *rand.Rand
	attempts       map[string]*sequence
	cancelledEarly map[string]bool // attempts cancelled before they arrived; always refused
	accepted       map[string]bool // every attempt accepted in this incarnation
	incarnations   int             // number of incarnations so far
	waitingOnline  []*sequence     // waiting online sequences in order of arrival
	waitingBatch   []*sequence     // waiting batch sequences in order of arrival
	running        []*sequence
	ended          []*sequence // ended sequences, oldest first, kept for FinishedRetention
	kvUsed         int
	cache          *prefixCache
	step           step
	reports        []wire.Load
	models         []backend.LoadedModel
	loading        []loading
	role           string
	highestEpoch   uint64          // the highest epoch of the orders applied
	appliedOrders  map[string]bool // identifiers of the orders applied in this incarnation
	leavingSince   time.Time       // when the engine began to leave; zero when it is not leaving
	ledger         ledger
	usage          Usage

	schedulingStalls []SchedulingStall
}

// NewEngine returns an engine. Without a weight store (weights is nil), loads take
// the configured LoadTime.
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

// reset clears all state that a restart loses. The ledger, the usage and the
// highest epoch are kept.
func (e *Engine) reset() {
	e.stopped = make(chan struct{})
	e.random = rand.New(rand.NewPCG(e.config.Seed, PromptHash("engine", e.config.ID))) //nolint:gosec // seeded on purpose
	e.attempts = map[string]*sequence{}
	e.cancelledEarly, e.accepted = map[string]bool{}, map[string]bool{}
	e.incarnations++
	e.waitingOnline, e.waitingBatch, e.running, e.ended = nil, nil, nil, nil
	e.kvUsed = 0
	e.cache = newPrefixCache(e.config.CacheTokens / blockTokens)
	e.step = step{}
	e.models = cloneModels(e.config.Models)
	e.loading = nil
	e.role = e.config.Role
	e.appliedOrders = map[string]bool{}
	e.leavingSince = time.Time{}
	e.ledger.engine = e.config.ID
	e.ledger.limit = e.config.LedgerSize
	e.reports = []wire.Load{e.measureLoad(time.Now())}
}

// Run executes the engine's steps until the context ends. All sequences are
// then lost, as when the engine's machine dies. Run may be called again.
func (e *Engine) Run(ctx context.Context) error {
	report := time.NewTicker(e.config.ReportInterval)
	defer report.Stop()
	stepEnd := time.NewTimer(e.config.ReportInterval) // reset before each use
	defer stepEnd.Stop()
	e.endStep(time.Now()) // ends the empty initial step
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
			e.publishLoad(time.Now())
		case <-e.wake:
		case <-stepEnded:
			e.endStep(time.Now())
			stepping = false
		}
	}
}

// nextStep begins a step if there is work and returns the time at which it ends, or the zero time if
// there is no work. The previous step was due to end at lastDue.
func (e *Engine) nextStep(lastDue time.Time) time.Time {
	length := e.beginStep()
	if now := time.Now(); !lastDue.IsZero() && now.Sub(lastDue) > lateStepThreshold {
		e.recordSchedulingStall(lastDue, now)
	}
	if length == 0 {
		return time.Time{}
	}
	return nextDue(lastDue, length)
}

// lateStepThreshold is how late a step may end because of the host's scheduling
// before it is recorded as a scheduling stall.
const lateStepThreshold = 20 * time.Millisecond

// SchedulingStall is a period in which an engine should have ended a step but was
// delayed by the machine that runs the stand-in.
type SchedulingStall struct{ From, Until time.Time }

// SchedulingStalls returns the engine's first 10,000 scheduling stalls, oldest first.
func (e *Engine) SchedulingStalls() []SchedulingStall {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.schedulingStalls)
}

func (e *Engine) recordSchedulingStall(from, until time.Time) {
	const maxSchedulingStalls = 10_000
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.schedulingStalls) < maxSchedulingStalls {
		e.schedulingStalls = append(e.schedulingStalls, SchedulingStall{From: from, Until: until})
	}
}

// nextDue returns the end of a step of the given length. If the previous step
// ended late because of the host's scheduling, by at most half a step, the step
// is shortened by that delay.
func nextDue(lastDue time.Time, length time.Duration) time.Time {
	now := time.Now()
	late := now.Sub(lastDue)
	if late < 0 || late > length/2 {
		late = 0
	}
	return now.Add(length - late)
}

// ID returns the engine's identifier.
func (e *Engine) ID() string { return e.config.ID }

// SetLeaving makes the engine refuse new requests, or accept them again.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !leaving {
		e.leavingSince = time.Time{}
	} else if e.leavingSince.IsZero() {
		e.leavingSince = time.Now()
	}
}

// crash ends all sequences as crashed and resets the engine.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, group := range [][]*sequence{e.waitingOnline, e.waitingBatch, e.running} {
		for _, s := range group {
			s.entry.EndedAt = now
			s.entry.End = endCrashed
		}
	}
	close(e.stopped)
	e.reset()
}

// refusal is the error of a call that the engine refused without effect.
type refusal struct {
	code    backend.ErrorCode
	message string
}

// Error implements error.
func (r *refusal) Error() string { return string(r.code) + ": " + r.message }

// errNoAttempt is the answer to calls about attempts that the engine does not hold.
var errNoAttempt = &refusal{backend.CodeNotFound, "no such attempt"}

// generate queues a new attempt, or returns the one that the engine already holds
// under this identifier.
func (e *Engine) generate(request wire.GenerateRequest, from string) (*sequence, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, found := e.attempts[request.Attempt]; found {
		s.entry.Repeats++
		return s, nil
	}
	now := time.Now()
	s := newSequence(request, now)
	s.entry.From, _, _ = net.SplitHostPort(from) // empty when the address has no port
	if err := e.checkAdmission(request); err != nil {
		s.entry.EndedAt = now
		var refused *refusal
		if errors.As(err, &refused) {
			s.entry.Refused = string(refused.code)
		}
		_, s.entry.BatchRunning = e.runningByPriority()
		s.entry.Queued = len(e.waitingOnline) + len(e.waitingBatch)
		if !e.leavingSince.IsZero() {
			s.entry.LeavingFor = now.Sub(e.leavingSince)
		}
		e.ledger.add(s.entry)
		return nil, err
	}
	e.ledger.add(s.entry)
	e.attempts[request.Attempt] = s
	e.accepted[request.Attempt] = true
	if s.priority == backend.PriorityOnline {
		e.waitingOnline = append(e.waitingOnline, s)
	} else {
		e.waitingBatch = append(e.waitingBatch, s)
	}
	e.notifyRun()
	return s, nil
}

// checkAdmission returns the reason why a request cannot be accepted, or nil if it can.
func (e *Engine) checkAdmission(request wire.GenerateRequest) error {
	e.completeLoads(time.Now())
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
	if e.cancelledEarly[request.Attempt] {
		return &refusal{backend.CodeInvalid, "the attempt was cancelled before it came"}
	}
	if !e.leavingSince.IsZero() {
		return &refusal{backend.CodeLeaving, "the engine is leaving"}
	}
	if !e.isLoaded(request.Model, request.Version, request.Adapter) {
		return &refusal{backend.CodeNotLoaded, "model, version or adapter not loaded"}
	}
	waiting, limit := len(e.waitingBatch), e.config.MaxWaiting
	if backend.Priority(request.Priority) == backend.PriorityOnline {
		// Free slots and slots of batch sequences go to online sequences at the next step.
		online, _ := e.runningByPriority()
		waiting, limit = len(e.waitingOnline), e.config.MaxWaiting+e.config.MaxRunning-online
	}
	if waiting >= limit {
		return &refusal{backend.CodeSaturated, "the queue is full"}
	}
	return nil
}

// incarnation identifies the engine's current incarnation. The caller holds mu.
func (e *Engine) incarnation() identity.Incarnation {
	return identity.Incarnation(e.config.ID + "/" + strconv.Itoa(e.incarnations))
}

// cancel stops an attempt. An attempt that has not arrived yet will be refused.
func (e *Engine) cancel(attempt string) wire.CancelReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	s, found := e.attempts[attempt]
	if !found {
		e.cancelledEarly[attempt] = true
		return wire.CancelReport{Never: !e.accepted[attempt], Incarnation: e.incarnation()}
	}
	report := wire.CancelReport{Found: true, Running: !s.done, OutputTokens: s.outputTokens, Incarnation: e.incarnation()}
	if !s.done {
		s.entry.CancelledAt = now
		e.remove(s)
		e.finish(s, endCancelled, now)
		e.notifyRun()
	}
	return report
}

// notifyRun makes Run check the queues.
func (e *Engine) notifyRun() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Usage returns the engine's totals since it was created.
func (e *Engine) Usage() Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usage
}

// Ledger returns the attempts that were offered to the engine, oldest first.
func (e *Engine) Ledger() []LedgerEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.copy()
}

// MaxRunning returns the number of sequences that the engine can run at once.
func (e *Engine) MaxRunning() int { return e.config.MaxRunning }

func cloneModels(models []backend.LoadedModel) []backend.LoadedModel {
	cloned := slices.Clone(models)
	for i := range cloned {
		cloned[i].Adapters = slices.Clone(cloned[i].Adapters)
	}
	return cloned
}

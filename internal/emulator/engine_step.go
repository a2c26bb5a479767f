package emulator

import (
	"slices"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
)

// sequence is one attempt on an engine. It is guarded by the engine's lock.
type sequence struct {
	request  wire.GenerateRequest
	priority backend.Priority
	hash     uint64
	entry    *LedgerEntry

	promptTokens int
	cachedTokens int // prompt tokens found in the prefix cache at the last start
	prefillLeft  int // tokens left to prefill before the next output token
	outputTokens int // output tokens, including those kept by the caller
	preemptions  int
	done         bool
	finishReason string
	endedAt      time.Time
	watchers     map[chan struct{}]struct{}
}

func newSequence(request wire.GenerateRequest, now time.Time) *sequence {
	s := &sequence{
		request: request, priority: backend.Priority(request.Priority),
		hash:         PromptHash(request.Model, request.Prompt),
		promptTokens: backend.PromptTokens(request.Prompt), outputTokens: len(request.Kept),
		watchers: map[chan struct{}]struct{}{},
	}
	s.entry = &LedgerEntry{
		Attempt: request.Attempt, Model: request.Model, PromptHash: s.hash, Priority: s.priority,
		Kept: len(request.Kept), MaxTokens: request.MaxTokens, OfferedAt: now,
	}
	return s
}

// kvTokens returns the KV memory that the sequence uses while it runs, in tokens.
func (s *sequence) kvTokens() int { return s.promptTokens + s.outputTokens }

func (s *sequence) notify() {
	for watcher := range s.watchers {
		select {
		case watcher <- struct{}{}:
		default:
		}
	}
}

// step is the engine's current step.
type step struct {
	length     time.Duration
	decoding   []*sequence // sequences that get one token each when the step ends
	lastLength time.Duration
}

// beginStep starts the waiting sequences that fit, plans a step and returns its
// length. It returns zero when nothing runs.
func (e *Engine) beginStep() time.Duration {
	if e.Faults.Settings().Stall {
		const stallPollInterval = 10 * time.Millisecond
		return stallPollInterval // an empty step, after which the stall is checked again
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.schedule()
	if len(e.running) == 0 {
		return 0
	}
	budget := e.config.PrefillChunk
	prefilled := 0
	e.step.decoding = e.step.decoding[:0]
	for _, priority := range []backend.Priority{backend.PriorityOnline, backend.PriorityBatch} {
		for _, s := range e.running {
			if s.priority != priority {
				continue
			}
			part := min(s.prefillLeft, budget)
			s.prefillLeft -= part
			budget -= part
			prefilled += part
			if s.prefillLeft == 0 {
				e.step.decoding = append(e.step.decoding, s)
			}
		}
	}
	scaled := time.Duration(float64(len(e.running))*float64(e.config.StepPerSequence)/e.config.Capacity) +
		time.Duration(float64(prefilled)*float64(e.config.StepPerPrefillToken)/e.config.Capacity)
	e.step.length = e.config.StepBase + scaled
	e.step.lastLength = e.step.length
	return e.step.length
}

// schedule moves waiting sequences into the running batch, online sequences
// first. An online sequence that does not fit preempts batch sequences.
func (e *Engine) schedule() {
	for len(e.waitingOnline) > 0 {
		s := e.waitingOnline[0]
		for !e.fits(s) && e.preempt() {
		}
		if !e.fits(s) {
			return
		}
		e.waitingOnline = e.waitingOnline[1:]
		e.startSequence(s)
	}
	for len(e.waitingBatch) > 0 && e.fits(e.waitingBatch[0]) {
		s := e.waitingBatch[0]
		e.waitingBatch = e.waitingBatch[1:]
		e.startSequence(s)
	}
}

// kvReserveTokens is the KV memory that must be free for a sequence's next tokens
// when it starts.
const kvReserveTokens = 64

func (e *Engine) fits(s *sequence) bool {
	return len(e.running) < e.config.MaxRunning && e.kvUsed+s.kvTokens()+kvReserveTokens <= e.config.KVTokens
}

// startSequence puts a waiting sequence into the running batch.
func (e *Engine) startSequence(s *sequence) {
	hashes := prefixHashes(s)
	s.cachedTokens = min(e.cache.match(hashes)*blockTokens, s.promptTokens)
	// Tokens generated before a preemption, or kept by the caller, are prefilled again.
	s.prefillLeft = s.kvTokens() - s.cachedTokens
	e.cache.store(hashes, time.Now())
	e.kvUsed += s.kvTokens()
	e.running = append(e.running, s)
	if s.entry.StartedAt.IsZero() {
		s.entry.StartedAt = time.Now()
	}
}

// preempt requeues the batch sequence that started last at the head of its
// queue. It returns false when no batch sequence runs. Only the sequence's
// stream reports the preemption.
func (e *Engine) preempt() bool {
	for _, s := range slices.Backward(e.running) {
		if s.priority == backend.PriorityBatch {
			e.requeue(s)
			return true
		}
	}
	return false
}

func (e *Engine) requeue(s *sequence) {
	e.remove(s)
	s.preemptions++
	s.entry.Preemptions++
	if s.priority == backend.PriorityOnline {
		e.waitingOnline = append([]*sequence{s}, e.waitingOnline...)
	} else {
		e.waitingBatch = append([]*sequence{s}, e.waitingBatch...)
	}
	s.notify()
}

// remove takes a sequence out of the running batch and the queues.
func (e *Engine) remove(s *sequence) {
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.kvUsed -= s.kvTokens()
	}
	if i := slices.Index(e.waitingOnline, s); i >= 0 {
		e.waitingOnline = slices.Delete(e.waitingOnline, i, i+1)
	}
	if i := slices.Index(e.waitingBatch, s); i >= 0 {
		e.waitingBatch = slices.Delete(e.waitingBatch, i, i+1)
	}
	if i := slices.Index(e.step.decoding, s); i >= 0 {
		e.step.decoding = slices.Delete(e.step.decoding, i, i+1)
	}
}

// endStep ends the current step: each decoding sequence gets its token, and
// sequences are preempted while the KV memory is over its limit.
func (e *Engine) endStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordUsage()
	decoding := e.step.decoding
	e.step = step{lastLength: e.step.lastLength}
	for _, s := range decoding {
		s.outputTokens++
		e.kvUsed++
		if s.entry.Tokens == 0 {
			s.entry.FirstTokenAt = now
		}
		s.entry.Tokens++
		if s.outputTokens >= s.request.MaxTokens {
			e.remove(s)
			e.finish(s, endLength, now)
		}
		s.notify()
	}
	for e.kvUsed > e.config.KVTokens && len(e.running) > 1 {
		if !e.preempt() {
			e.requeue(e.running[len(e.running)-1])
		}
	}
}

// recordUsage adds the ending step to the totals.
func (e *Engine) recordUsage() {
	seconds := e.step.length.Seconds()
	if seconds == 0 {
		return
	}
	e.usage.Steps++
	e.usage.BusySeconds += seconds
	for _, s := range e.running {
		if s.priority == backend.PriorityOnline {
			e.usage.OnlineSequenceSeconds += seconds
		} else {
			e.usage.BatchSequenceSeconds += seconds
		}
	}
	for _, s := range e.step.decoding {
		if s.priority == backend.PriorityOnline {
			e.usage.OnlineTokens++
		} else {
			e.usage.BatchTokens++
		}
	}
}

// finish ends a sequence. Its stream can be resumed until FinishedRetention has passed.
func (e *Engine) finish(s *sequence, reason string, now time.Time) {
	s.done = true
	s.finishReason = reason
	s.endedAt = now
	s.entry.EndedAt = now
	s.entry.End = reason
	e.ended = append(e.ended, s)
	s.notify()
}

// publishLoad measures the load, and removes load reports and ended attempts that
// are no longer needed.
func (e *Engine) publishLoad(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completeLoads(now)
	e.reports = append(e.reports, e.measureLoad(now))
	visible := now.Add(-e.config.ReportLag)
	for len(e.reports) > 1 && !e.reports[1].ReportedAt.After(visible) {
		e.reports = e.reports[1:]
	}
	expiredBefore := now.Add(-e.config.FinishedRetention)
	for len(e.ended) > 0 && e.ended[0].endedAt.Before(expiredBefore) {
		delete(e.attempts, e.ended[0].request.Attempt)
		e.ended = e.ended[1:]
	}
}

// measureLoad returns the current load.
func (e *Engine) measureLoad(now time.Time) wire.Load {
	load := wire.Load{
		Engine: e.config.ID, ReportedAt: now,
		Waiting: len(e.waitingOnline) + len(e.waitingBatch), MaxRunning: e.config.MaxRunning,
		KVUsed: e.kvUsed, KVCapacity: e.config.KVTokens,
		StepMillis: float64(e.step.lastLength) / float64(time.Millisecond),
		Role:       e.role, Leaving: !e.leavingSince.IsZero(),
		Incarnation: e.incarnation(),
	}
	load.RunningOnline, load.RunningBatch = e.runningByPriority()
	for _, model := range cloneModels(e.models) {
		load.Models = append(load.Models, wire.LoadedModel(model))
	}
	return load
}

// runningByPriority counts the sequences in the running batch by priority.
func (e *Engine) runningByPriority() (online, batch int) {
	for _, s := range e.running {
		if s.priority == backend.PriorityOnline {
			online++
		} else {
			batch++
		}
	}
	return online, batch
}

// publishedLoad returns the newest load report that is at least ReportLag old.
func (e *Engine) publishedLoad(now time.Time) wire.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	visible := now.Add(-e.config.ReportLag)
	report := e.reports[0]
	for _, later := range e.reports {
		if !later.ReportedAt.After(visible) {
			report = later
		}
	}
	return report
}

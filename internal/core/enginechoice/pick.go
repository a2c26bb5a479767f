package enginechoice

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Query describes a request for which an engine is picked.
type Query struct {
	Pool         string
	Shared       []Part // shared parts of the prompt, in order
	OwnTokens    int    // tokens of the prompt that no other request shares
	MemoryTokens int    // tokens of the prompt and of the expected output
	Batch        bool
	// MaxBatchPercent bounds the batch requests at an engine, as a percentage of its slots.
	MaxBatchPercent int
	Exclude         map[Incarnation]bool
	// Reserved is an engine that is kept for another batch request; the zero value if none. No batch
	// request may pick it, and online requests avoid it.
	Reserved Incarnation
	// Software is the only software version whose engines may be picked; empty if any will do.
	Software string
	// SoftwareAmong holds the only software versions whose engines may be picked; nil if any will do.
	SoftwareAmong []string
	// Zone is the zone of the node that sends the request; empty if any will do.
	Zone string
	// PreviousEngine is an engine that may have the whole prompt cached; the zero value if none.
	PreviousEngine Incarnation
	// Connected holds the engines to which the node keeps an idle connection.
	Connected map[Incarnation]bool
	// MaxSlowness is the largest ratio of the time to a first token to the usual one at which the
	// request is expected to start in its time; 0 if any will do.
	MaxSlowness float64
	// MaxPace is the largest time between two events at which the request is in time; 0 if any
	// will do.
	MaxPace time.Duration
}

// PromptTokens returns the length of the whole prompt.
func (q Query) PromptTokens() int {
	tokens := q.OwnTokens
	for _, part := range q.Shared {
		tokens += part.Tokens
	}
	return tokens
}

// allows reports whether an engine that accepts work may be picked for the query.
func (q Query) allows(id Incarnation, known *engine) bool {
	if q.Batch && id == q.Reserved {
		return false
	}
	return known.usable() && !q.Exclude[id] && q.AllowsSoftware(known.entry.Software)
}

// AllowsSoftware reports whether engines of a software version may be picked.
func (q Query) AllowsSoftware(software string) bool {
	return (q.Software == "" || q.Software == software) && (q.SoftwareAmong == nil || slices.Contains(q.SoftwareAmong, software))
}

// RestrictsSoftware reports whether engines of some software versions may not be picked.
func (q Query) RestrictsSoftware() bool { return q.Software != "" || q.SoftwareAmong != nil }

// Choice is the picked engine and the reasons for it.
type Choice struct {
	Entry         Entry
	Score         float64 // expected wait in milliseconds
	PrefillTokens int     // prompt tokens that the engine has to compute
	InFlight      int     // estimated requests at the engine before this one
	State         State
	// Preempts reports that the engine is full and that a batch request there must be
	// preempted before this request is sent.
	Preempts bool
	// Slowness is the time that work takes at the engine, relative to the usual time; 1 if it
	// is the usual.
	Slowness float64
}

// HasSlot reports whether the engine is expected to start the request at once.
func (c Choice) HasSlot() bool {
	return c.Preempts || c.Entry.Slots <= 0 || c.InFlight < c.Entry.Slots
}

// Terms of the score, in milliseconds, at an engine of the usual speed. Only the order of the
// scores matters.
const (
	prefillTokensPerMs = 50.0
	msPerRunning       = 0.6   // each running request slows down the others
	msFull             = 500.0 // no slot is free; a free slot or a preemption at another engine is preferred
	msPerQueued        = 40.0  // each request beyond the slots waits for another one to end
	msPreemption       = 150.0 // the prompt of a preempted batch request is computed again later, so preemption is worth it only if no slot is free nearby
	msPerFailureRate   = 300.0 // at a failure rate of 1
	msOtherZone        = 3.0
	msCold             = 30.0
	msUnlisted         = 20.0
	msShed             = 150.0
	msUnhealthy        = 2000.0
	msNoMemory         = 80.0
	// msConnect is the cost of opening a connection: the handshake, and one more of the
	// limited connections of an engine. A node therefore keeps to few engines while they
	// have slots, and fewer nodes share an engine.
	msConnect = 6.0
)

// affinityEngines is the number of engines that are assumed to have a shared part cached.
const affinityEngines = 1

// prefillWeight is the cost of computing a prompt token relative to that of waiting for a
// prompt token of another request.
const prefillWeight = 3

// Pick returns the engine with the lowest expected wait. It returns false if no engine can
// accept the request.
func (s *Set) Pick(query Query, now time.Time) (Choice, bool) {
	preferred := s.preferred(query, now)
	promptTokens := query.PromptTokens()
	var best bestEngines
	for id, known := range s.pools[query.Pool] {
		if !query.allows(id, known) || !known.canHold(promptTokens) {
			continue
		}
		inFlight := known.inFlight(now)
		if query.Batch && !known.acceptsBatch(query, inFlight, now) {
			continue
		}
		prefill := known.uncachedTokens(query, preferred)
		preempts := !query.Batch && known.canPreempt(inFlight)
		score := known.score(query, prefill, inFlight, preempts, now)
		if query.Zone != "" && known.entry.Zone != query.Zone {
			score += msOtherZone
		}
		if id == query.Reserved {
			score += msNoMemory
		}
		if !query.Connected[id] {
			score += msConnect
		}
		best.add(&candidate{
			engine: known, score: score, slowness: known.slownessFor(query), prefill: prefill, inFlight: inFlight, preempts: preempts,
			rank: affinity(s.node, known.hash),
		})
	}
	return best.choice(query)
}

// CanPick reports whether Pick would find an engine for the request. It stops at the first
// engine that qualifies.
func (s *Set) CanPick(query Query, now time.Time) bool {
	promptTokens := query.PromptTokens()
	for id, known := range s.pools[query.Pool] {
		if !query.allows(id, known) || !known.canHold(promptTokens) {
			continue
		}
		if !query.Batch || known.acceptsBatch(query, known.inFlight(now), now) {
			return true
		}
	}
	return false
}

// CanPickFree reports whether an engine that does not fail or shed work has a free slot for the
// online request.
func (s *Set) CanPickFree(query Query, now time.Time) bool {
	promptTokens := query.PromptTokens()
	for id, known := range s.pools[query.Pool] {
		if !query.allows(id, known) || !known.canHold(promptTokens) || now.Before(known.unhealthyUntil) || now.Before(known.shedUntil) {
			continue
		}
		if known.entry.Slots <= 0 || known.inFlight(now) < known.entry.Slots {
			return true
		}
	}
	return false
}

// acceptsBatch reports whether the engine can accept a batch request.
func (e *engine) acceptsBatch(query Query, inFlight int, now time.Time) bool {
	return e.takesBatch(query, inFlight, now) && query.MemoryTokens <= e.batchRoom(e.own.MemoryTokens)
}

// canHold reports whether the engine's memory is large enough for a prompt. The expected output does not
// count, since it is a forecast.
func (e *engine) canHold(promptTokens int) bool {
	return e.entry.MemoryTokens == 0 || promptTokens <= e.entry.MemoryTokens
}

// takesBatch reports whether the engine can accept a batch request that needs no memory.
func (e *engine) takesBatch(query Query, inFlight int, now time.Time) bool {
	if now.Before(e.unhealthyUntil) || now.Before(e.shedUntil) {
		return false
	}
	slots := max(e.entry.Slots, 1)
	return e.own.Batch < max(slots*query.MaxBatchPercent/100, 1) && inFlight < slots
}

// batchRoom returns the largest memory, in tokens, of a batch request that the engine has room for while
// other requests use the given memory. One batch request may exceed batchMemoryPercent where little else
// runs, or else no engine would ever accept it. An engine with nothing else decides by itself, since the
// output may be shorter than the request allows.
func (e *engine) batchRoom(used int) int {
	memory := e.entry.MemoryTokens
	if memory == 0 || used == 0 {
		return math.MaxInt
	}
	share, free := memory*batchMemoryPercent/100, memory-used
	if free > share {
		return free
	}
	return share - used
}

func (e *engine) online() int { return e.own.Online }

// batchMemoryPercent is the percentage of an engine's memory up to which batch requests are
// added to others.
const batchMemoryPercent = 70

// inFlight estimates the requests at the engine: those that this Set counts, plus those that
// the engine's last report had beyond them if it is recent.
func (e *engine) inFlight(now time.Time) int {
	own := e.own.Online + e.own.Batch
	if now.Sub(e.reportedAt) > maxReportAge {
		return own
	}
	return own + max(e.reportedInFlight-e.ownAtReport, 0)
}

// maxReportAge is how long an engine's own count is used.
const maxReportAge = 300 * time.Millisecond

// preferred returns the engines that rank first for the last shared part. Entries without
// an engine are zero.
func (s *Set) preferred(query Query, now time.Time) [affinityEngines]Incarnation {
	if len(query.Shared) == 0 {
		return [affinityEngines]Incarnation{}
	}
	key := xxhash.Sum64String(query.Shared[len(query.Shared)-1].ID)
	var best [affinityEngines]Incarnation
	var scores [affinityEngines]uint64
	for id, known := range s.pools[query.Pool] {
		if known.state != Ready || now.Before(known.unhealthyUntil) {
			continue
		}
		score := affinity(key, known.hash)
		for rank := range best {
			if best[rank] == (Incarnation{}) || score > scores[rank] || (score == scores[rank] && id.ID < best[rank].ID) {
				copy(best[rank+1:], best[rank:])
				copy(scores[rank+1:], scores[rank:])
				best[rank], scores[rank] = id, score
				break
			}
		}
	}
	return best
}

// The multipliers of splitmix64 (Steele et al.), which spreads each bit of a number over
// all others.
const (
	mixFirst  = 0xbf58476d1ce4e5b9
	mixSecond = 0x94d049bb133111eb
)

// affinity returns the rank of an engine for a key; the highest value ranks first. All
// nodes compute the same value. It mixes two hashes, which is cheaper for thousands of
// engines than hashing both strings again.
func affinity(key, engine uint64) uint64 {
	mixed := key ^ engine
	mixed = (mixed ^ mixed>>30) * mixFirst
	mixed = (mixed ^ mixed>>27) * mixSecond
	return mixed ^ mixed>>31
}

// uncachedTokens estimates the prompt tokens that the engine has to compute. A cached part
// is of use only if all parts before it are cached as well.
func (e *engine) uncachedTokens(query Query, preferred [affinityEngines]Incarnation) int {
	if query.PreviousEngine == e.entry.Incarnation() {
		return 0
	}
	tokens := query.OwnTokens
	kept := true
	for _, part := range query.Shared {
		_, sent := e.resident[part.ID]
		kept = kept && (sent || slices.Contains(preferred[:], e.entry.Incarnation()))
		if !kept {
			tokens += part.Tokens
		}
	}
	return tokens
}

// canPreempt reports whether the engine is full and runs a batch request that can be
// preempted.
func (e *engine) canPreempt(inFlight int) bool {
	return e.own.Batch > 0 && e.entry.Slots > 0 && inFlight >= e.entry.Slots
}

// score returns the expected wait at the engine in milliseconds, without the terms for the
// zone and the connection.
func (e *engine) score(query Query, prefill, inFlight int, preempts bool, now time.Time) float64 {
	backlog := max(e.own.PrefillTokens, 0)
	score := float64(backlog+prefillWeight*prefill) / prefillTokensPerMs
	if preempts {
		inFlight--
		score += msPreemption
	}
	score += float64(inFlight) * msPerRunning
	if slots := e.entry.Slots; slots > 0 && inFlight >= slots {
		score += msFull + float64(inFlight-slots+1)*msPerQueued
	}
	if memory := e.entry.MemoryTokens; memory > 0 && e.own.MemoryTokens+query.MemoryTokens > memory {
		score += msNoMemory
	}
	score += e.failureRate * msPerFailureRate
	if now.Before(e.unhealthyUntil) {
		score += msUnhealthy
	}
	if now.Before(e.shedUntil) {
		score += msShed
	}
	if now.Before(e.entry.ColdUntil) {
		score += msCold
	}
	if e.state == Unlisted {
		score += msUnlisted
	}
	return score
}

// Overcommit is an engine with more requests than slots, some of them online.
type Overcommit struct {
	Engine  Incarnation
	Preempt int // number of batch requests to preempt
}

// toleratedExcessPercent is the excess of requests over slots, as a percentage of the
// online requests, up to which waiting requests get a slot soon enough as others end.
const toleratedExcessPercent = 30

// preemptionPause is the minimum time between two preemptions at an engine, since other
// requests may end there meanwhile.
const preemptionPause = 120 * time.Millisecond

// Overcommitted returns the engines at which batch requests keep online requests waiting.
// It uses only the counts of this Set, since an engine's own count still includes requests
// that have just been preempted.
func (s *Set) Overcommitted(now time.Time) []Overcommit {
	var list []Overcommit
	for id, known := range s.engines {
		slots, online := known.entry.Slots, known.online()
		if known.own.Batch == 0 || slots == 0 || online == 0 || now.Sub(known.preemptedAt) < preemptionPause {
			continue
		}
		if excess := online + known.own.Batch - slots; excess > online*toleratedExcessPercent/100 {
			known.writable().preemptedAt = now
			list = append(list, Overcommit{Engine: id, Preempt: min(excess, known.own.Batch)})
		}
	}
	return list
}

// MayBeQueued reports whether a request that was sent by a choice may still wait for a slot, so
// that a missing response is no failure. No request waits at an incarnation that has ended.
func (s *Set) MayBeQueued(choice Choice, now time.Time) bool {
	engine := choice.Entry.Incarnation()
	if known := s.engines[engine]; known != nil && known.state == Ended {
		return false
	}
	return !choice.HasSlot() || s.IsFull(engine, now)
}

// IsFull reports whether an engine is estimated to have more requests than slots, so that a
// request there may be waiting.
func (s *Set) IsFull(engine Incarnation, now time.Time) bool {
	known := s.engines[engine]
	return known != nil && known.entry.Slots > 0 && known.inFlight(now) > known.entry.Slots
}

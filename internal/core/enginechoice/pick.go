package enginechoice

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Query is a request that looks for an engine.
type Query struct {
	Pool         string
	Shared       []Part // in order, without the request's own part
	OwnTokens    int    // of the prompt that nobody shares
	MemoryTokens int    // prompt and expected output
	Batch        bool
	// BatchPercent bounds the batch requests at an engine, in per cent of its slots.
	BatchPercent int
	Exclude      map[Incarnation]bool
	// Zone is that of the node that sends the request; empty: any.
	Zone string
	// Former is an engine that may keep all of the prompt; the zero value: none.
	Former Incarnation
	// Connected are the engines to which an idle connection is kept.
	Connected map[Incarnation]bool
}

// PromptTokens is the length of the whole prompt.
func (q Query) PromptTokens() int {
	tokens := q.OwnTokens
	for _, part := range q.Shared {
		tokens += part.Tokens
	}
	return tokens
}

// Choice is the engine picked and why.
type Choice struct {
	Entry         Entry
	Score         float64 // milliseconds of wait to expect
	PrefillTokens int     // that the engine has to read
	InFlight      int     // believed there before this request
	State         State
	// MakeRoom: the engine is full, and a batch request there is to be stopped
	// before this request is sent.
	MakeRoom bool
}

// HasSlot says whether the chosen engine is believed to start the request at
// once.
func (c Choice) HasSlot() bool {
	return c.MakeRoom || c.Entry.Slots <= 0 || c.InFlight < c.Entry.Slots
}

// The scale of scores, in milliseconds. The engines' own speeds differ little;
// what counts is their order.
const (
	prefillTokensPerMs = 50.0
	msPerRunning       = 0.6   // each running request slows the others a little
	msFull             = 500.0 // no slot is free: any that is, or can be made free, is better
	msPerQueued        = 40.0  // each request beyond the slots waits for an end
	msMakeRoom         = 150.0 // a batch request that gives way is read again later: only where no slot is free nearby
	msPerFailure       = 300.0 // at a failure rate of one
	msOtherZone        = 3.0
	msCold             = 30.0
	msUnlisted         = 20.0
	msShed             = 150.0
	msSick             = 2000.0
	msNoMemory         = 80.0
	// msConnect is what opening a connection costs: its handshake, and one more
	// of the connections that engines admit. A node so keeps to few engines
	// while these have slots, and fewer nodes share an engine.
	msConnect = 6.0
)

// affinityRanks is how many engines are taken to keep a shared part.
const affinityRanks = 1

// prefillWeight is what reading a prompt costs against waiting for others'.
const prefillWeight = 3

// Pick gives the engine with the least wait to expect, or false when none can
// take the request.
func (s *Set) Pick(query Query, now time.Time) (Choice, bool) {
	preferred := s.preferred(query, now)
	var best Choice
	var bestRank uint64 // equal engines are ranked differently by each node
	found := false
	for id, known := range s.pools[query.Pool] {
		if query.Exclude[id] || !known.usable() {
			continue
		}
		inFlight := known.inFlight(now)
		if query.Batch && !known.hasBatchRoom(query, inFlight, now) {
			continue
		}
		prefill := known.missing(query, preferred)
		makeRoom := !query.Batch && known.canMakeRoom(inFlight)
		score := known.score(query, prefill, inFlight, makeRoom, now)
		if query.Zone != "" && known.entry.Zone != query.Zone {
			score += msOtherZone
		}
		if !query.Connected[id] {
			score += msConnect
		}
		rank := affinity(s.node, known.hash)
		if !found || score < best.Score || (score == best.Score && rank > bestRank) {
			bestRank = rank
			best = Choice{Entry: known.entry, Score: score, PrefillTokens: prefill, InFlight: inFlight, State: known.state, MakeRoom: makeRoom}
			found = true
		}
	}
	return best, found
}

// Any says whether some engine may take the request, as Pick does, at the cost of a few
// engines in place of all.
func (s *Set) Any(query Query, now time.Time) bool {
	for id, known := range s.pools[query.Pool] {
		if query.Exclude[id] || !known.usable() {
			continue
		}
		if !query.Batch || known.hasBatchRoom(query, known.inFlight(now), now) {
			return true
		}
	}
	return false
}

func (e *engine) hasBatchRoom(query Query, inFlight int, now time.Time) bool {
	if now.Before(e.sickUntil) || now.Before(e.shedUntil) {
		return false
	}
	slots := max(e.entry.Slots, 1)
	if e.own.Batch >= max(slots*query.BatchPercent/100, 1) || inFlight >= slots {
		return false
	}
	memory := e.entry.MemoryTokens
	return memory == 0 || e.own.MemoryTokens+query.MemoryTokens <= memory*batchMemoryShare/100
}

func (e *engine) online() int { return e.own.Online }

// batchMemoryShare is the part of an engine's memory, in per cent, up to which
// batch work is added.
const batchMemoryShare = 70

// inFlight estimates the requests at the engine: those that are counted, and
// those beyond them in the engine's own last count.
func (e *engine) inFlight(now time.Time) int {
	own := e.own.Online + e.own.Batch
	if now.Sub(e.reportedAt) > reportTrust {
		return own
	}
	return own + max(e.reported-e.reportedOwn, 0)
}

// reportTrust is how long an engine's own count says something.
const reportTrust = 300 * time.Millisecond

// preferred gives the engines that the deepest shared part belongs to.
func (s *Set) preferred(query Query, now time.Time) [affinityRanks]Incarnation {
	if len(query.Shared) == 0 {
		return [affinityRanks]Incarnation{}
	}
	key := xxhash.Sum64String(query.Shared[len(query.Shared)-1].ID)
	var best [affinityRanks]Incarnation
	var scores [affinityRanks]uint64
	for id, known := range s.pools[query.Pool] {
		if known.state != Ready || now.Before(known.sickUntil) {
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

// The multipliers of Steele and others' splitmix64, whose steps spread each bit
// of a number over all others.
const (
	mixFirst  = 0xbf58476d1ce4e5b9
	mixSecond = 0x94d049bb133111eb
)

// affinity ranks an engine for a key, equal on all nodes; the highest is the
// first. It mixes two hashes in place of hashing both texts again for each of
// thousands of engines.
func affinity(key, engine uint64) uint64 {
	mixed := key ^ engine
	mixed = (mixed ^ mixed>>30) * mixFirst
	mixed = (mixed ^ mixed>>27) * mixSecond
	return mixed ^ mixed>>31
}

// missing estimates the tokens that the engine has to read: parts that it
// keeps count only while all parts before them are kept as well.
func (e *engine) missing(query Query, preferred [affinityRanks]Incarnation) int {
	if query.Former == e.entry.Incarnation() {
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

// canMakeRoom says whether the engine is full and runs batch work that can be
// stopped at once.
func (e *engine) canMakeRoom(inFlight int) bool {
	return e.own.Batch > 0 && e.entry.Slots > 0 && inFlight >= e.entry.Slots
}

func (e *engine) score(query Query, prefill, inFlight int, makeRoom bool, now time.Time) float64 {
	backlog := max(e.own.PrefillTokens, 0)
	score := float64(backlog+prefillWeight*prefill) / prefillTokensPerMs
	if makeRoom {
		inFlight--
		score += msMakeRoom
	}
	score += float64(inFlight) * msPerRunning
	if slots := e.entry.Slots; slots > 0 && inFlight >= slots {
		score += msFull + float64(inFlight-slots+1)*msPerQueued
	}
	if memory := e.entry.MemoryTokens; memory > 0 && e.own.MemoryTokens+query.MemoryTokens > memory {
		score += msNoMemory
	}
	score += e.failureRate * msPerFailure
	if now.Before(e.sickUntil) {
		score += msSick
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

// Crowd is an engine with more requests than slots, online ones among them.
type Crowd struct {
	Engine Incarnation
	Yield  int // how many batch requests should give way
}

// tolerableWait is the excess, in per cent of the online requests, at which
// those that wait get a slot soon enough from those that end.
const tolerableWait = 30

// yieldPause is how long after a yield an engine is left as it is: the next
// requests there may be ending meanwhile.
const yieldPause = 120 * time.Millisecond

// Crowded gives the engines at which batch requests keep online requests waiting,
// by what is counted: an engine's own count still holds requests that were
// stopped a moment ago.
func (s *Set) Crowded(now time.Time) []Crowd {
	var list []Crowd
	for id, known := range s.engines {
		slots, online := known.entry.Slots, known.online()
		if known.own.Batch == 0 || slots == 0 || online == 0 || now.Sub(known.yieldedAt) < yieldPause {
			continue
		}
		if excess := online + known.own.Batch - slots; excess > online*tolerableWait/100 {
			known.used().yieldedAt = now
			list = append(list, Crowd{Engine: id, Yield: min(excess, known.own.Batch)})
		}
	}
	return list
}

// Queues says whether a request that was sent by a choice may wait for a slot in silence.
// At an incarnation that has ended nothing waits any more.
func (s *Set) Queues(choice Choice, now time.Time) bool {
	engine := choice.Entry.Incarnation()
	if known := s.engines[engine]; known != nil && known.state == Ended {
		return false
	}
	return !choice.HasSlot() || s.Full(engine, now)
}

// Full says whether an engine is believed to have no free slot, so that a
// request there may wait in silence.
func (s *Set) Full(engine Incarnation, now time.Time) bool {
	known := s.engines[engine]
	return known != nil && known.entry.Slots > 0 && known.inFlight(now) > known.entry.Slots
}

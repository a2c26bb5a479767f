// Package enginechoice tracks the engines that a node may send requests to, and picks an
// engine for each request: it filters out the engines that cannot accept the request,
// scores the others by the expected wait, and picks the one with the lowest score. The
// current time is an argument; the package does no I/O and takes no locks.
package enginechoice

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Entry is an engine as described by the engine list.
type Entry struct {
	ID, Pool, Address, Zone string
	Born                    int64  // see Incarnation
	Software                string // version of the software that it runs
	Slots                   int
	MemoryTokens            int       // capacity of its memory in tokens; 0 if unknown
	ColdUntil               time.Time // until when the engine counts as cold
}

// MayExceed reports whether a request of the given length may be larger than the engine's memory. Length is
// that of the prompt and of the longest output. The engine then rejects it as if it were full.
func (e Entry) MayExceed(length int) bool { return e.MemoryTokens > 0 && length > e.MemoryTokens }

// RejectionResult returns the result of a request that the engine rejected without running it. If the request
// may be too large for the engine, its rejection tells nothing of other requests there.
func (e Entry) RejectionResult(length int) Result {
	if e.MayExceed(length) {
		return Abandoned
	}
	return Shed
}

// Counts is the work in flight at an engine.
type Counts struct {
	Online, Batch int
	PrefillTokens int // prompt tokens of the requests whose first token has not arrived
	MemoryTokens  int // memory that the requests will use at their end, in tokens
	// BatchMemoryTokens is the part of MemoryTokens that batch requests use.
	BatchMemoryTokens int
}

// Work is one request at an engine, as counted from Start to Finish.
type Work struct {
	Batch         bool
	PrefillTokens int
	MemoryTokens  int
	started       bool // the first token has arrived
	ended         bool // it is no longer counted
}

// AwaitsFirstToken reports whether the request's first token has not arrived yet.
func (w *Work) AwaitsFirstToken() bool { return !w.started }

// Result is how a request at an engine ended.
type Result uint8

// The results that count for an engine's health.
const (
	Succeeded Result = iota
	Shed             // the engine rejected the request without running it
	Failed           // refused connection, reset, timeout or an error status
	Abandoned        // the client left; does not affect the engine's health
)

// engine is what a Set knows about an engine.
type engine struct {
	entry Entry
	hash  uint64 // hash of its incarnation
	state State
	since time.Time // when state was set
	*observations
}

// observations is what a Set has learned about an engine from the requests that it counts.
// A node uses only a few of 10,000 engines; the others share noObservations, which saves
// 230 bytes per engine.
type observations struct {
	own                 Counts
	reportedInFlight    int // running and waiting requests by the header of the last response
	ownAtReport         int // requests counted here when the header was read
	reportedAt          time.Time
	unhealthyUntil      time.Time
	consecutiveFailures int
	failureRate         float64 // smoothed, from 0 to 1
	shedUntil           time.Time
	preemptedAt         time.Time               // when batch requests were last preempted
	resident            map[string]residentPart // prompt parts that were sent there last, by ID
	residentTokens      int                     // total of resident
	speed               Speed
}

// noObservations is the empty value shared by unused engines. It must not be modified.
var noObservations = &observations{}

// writable gives the engine observations of its own, which can be modified, and returns
// the engine.
func (e *engine) writable() *engine {
	if e.observations == noObservations {
		e.observations = &observations{resident: make(map[string]residentPart)}
	}
	return e
}

// Set holds the engines of all pools. It is not safe for concurrent use.
type Set struct {
	node         uint64 // hash of the node's name
	engines      map[Incarnation]*engine
	incarnations map[string]incarnationHistory // by engine ID
	pools        map[string]map[Incarnation]*engine
	software     map[string]map[string]int // number of engines by pool and software version
	peaks        map[string]onlinePeak     // by pool
	changes      changeLog
	// unlisted holds the engines that may be in the state Unlisted, so that
	// ExpireUnlisted need not scan all engines.
	unlisted map[Incarnation]bool
	// lastIdleScan is when removeIdle last scanned the engines.
	lastIdleScan time.Time
}

// NewSet returns an empty set for the node with the given name.
func NewSet(node string) *Set {
	return &Set{
		node: xxhash.Sum64String(node), peaks: make(map[string]onlinePeak), engines: make(map[Incarnation]*engine), incarnations: make(map[string]incarnationHistory),
		pools: make(map[string]map[Incarnation]*engine), software: make(map[string]map[string]int), unlisted: make(map[Incarnation]bool),
	}
}

// Upsert applies an engine's entry. An entry of a later incarnation than the known one ends
// that one and starts without observations. An entry of an earlier incarnation is ignored.
func (s *Set) Upsert(entry Entry, state State, now time.Time) UpsertResult {
	engine := entry.Incarnation()
	result := s.recordIncarnation(engine, now)
	if result == Outdated {
		return Outdated
	}
	known := s.engines[engine]
	if known == nil {
		s.add(entry, state, now)
		s.removeIdle(now)
		return max(result, Changed)
	}
	if known.state == Leaving && state == Ready && known.entry.Address == entry.Address {
		known.writable().unhealthyUntil = time.Time{}
	}
	changed := known.state != state
	if changed || known.entry != entry {
		s.changes.record(engine)
	}
	s.countSoftware(known.entry, -1)
	known.entry = entry
	s.countSoftware(entry, 1)
	if !changed {
		return Unchanged
	}
	known.state, known.since = state, now
	return Changed
}

// add adds an engine that is not in the set.
func (s *Set) add(entry Entry, state State, now time.Time) {
	incarnation := entry.Incarnation()
	added := &engine{entry: entry, hash: incarnation.Hash(), state: state, since: now, observations: noObservations}
	s.engines[incarnation] = added
	known := s.incarnations[incarnation.ID]
	known.count++
	s.incarnations[incarnation.ID] = known
	pool := s.pools[entry.Pool]
	if pool == nil {
		pool = make(map[Incarnation]*engine)
		s.pools[entry.Pool] = pool
	}
	pool[incarnation] = added
	s.countSoftware(entry, 1)
	s.changes.record(incarnation)
}

// countSoftware adds a number to the engines of an entry's pool and software version.
func (s *Set) countSoftware(entry Entry, number int) {
	versions := s.software[entry.Pool]
	if versions == nil {
		versions = make(map[string]int)
		s.software[entry.Pool] = versions
	}
	if versions[entry.Software] += number; versions[entry.Software] == 0 {
		delete(versions, entry.Software)
	}
}

// Remove applies the removal of an engine's entry from the list. If the list cannot be
// trusted, keepInUse leaves a usable engine in use until ExpireUnlisted.
func (s *Set) Remove(engine Incarnation, keepInUse bool, now time.Time) {
	known := s.engines[engine]
	if known == nil || known.state == Ended {
		return
	}
	keepInUse = keepInUse && known.usable() // an engine that was leaving stays so
	known.since = now
	known.state = Leaving
	s.changes.record(engine)
	if keepInUse {
		known.state = Unlisted
		s.unlisted[engine] = true
	}
	s.removeIdle(now)
}

// Withhold marks an engine whose entry currently does not name a usable engine. The
// observations are kept, since the entry may become valid again, and an engine that was
// leaving stays so. It reports whether the state changed.
func (s *Set) Withhold(engine Incarnation, now time.Time) bool {
	known := s.engines[engine]
	if known == nil || !known.usable() {
		return false
	}
	known.state, known.since = Withheld, now
	s.changes.record(engine)
	return true
}

// ExpireUnlisted marks as leaving, and returns, the unlisted engines that lost their entry
// before a time and have not been listed since.
func (s *Set) ExpireUnlisted(before, now time.Time) []Incarnation {
	var expired []Incarnation
	for id := range s.unlisted {
		known := s.engines[id]
		if known == nil || known.state != Unlisted {
			delete(s.unlisted, id)
			continue
		}
		if known.since.Before(before) {
			known.state, known.since = Leaving, now
			s.changes.record(id)
			delete(s.unlisted, id)
			expired = append(expired, id)
		}
	}
	return expired
}

// AnyUnlisted reports whether an engine may be in the state Unlisted.
func (s *Set) AnyUnlisted() bool { return len(s.unlisted) > 0 }

// engineRetention is how long an unusable engine is kept, since requests may still run
// there.
const engineRetention = time.Minute

// idleScanInterval is the minimum time between two scans for engines to remove. With a scan
// at each change the cost of applying a list is quadratic: 10,000 engines take 1.77 s of
// processor time instead of 31 ms (BenchmarkListing).
const idleScanInterval = engineRetention / 4

// removeIdle removes the unusable engines without requests whose retention has expired.
func (s *Set) removeIdle(now time.Time) {
	if now.Sub(s.lastIdleScan) < idleScanInterval {
		return
	}
	s.lastIdleScan = now
	for id, known := range s.engines {
		idle := known.own.Online == 0 && known.own.Batch == 0
		if known.usable() || !idle || now.Sub(known.since) <= engineRetention {
			continue
		}
		delete(s.engines, id)
		delete(s.pools[known.entry.Pool], id)
		s.countSoftware(known.entry, -1)
		s.changes.record(id)
		s.releaseIncarnation(id.ID)
	}
}

// Listed is an engine's entry and state.
type Listed struct {
	Entry Entry
	State State
}

// Pools returns the names of all pools that have had engines, sorted.
func (s *Set) Pools() []string { return slices.Sorted(maps.Keys(s.pools)) }

// List returns the engines of a pool in no particular order.
func (s *Set) List(pool string) []Listed {
	list := make([]Listed, 0, len(s.pools[pool]))
	for _, known := range s.pools[pool] {
		list = append(list, Listed{Entry: known.entry, State: known.state})
	}
	return list
}

// Find returns an engine's entry and state. It returns false if the engine is unknown.
func (s *Set) Find(engine Incarnation) (Listed, bool) {
	known := s.engines[engine]
	if known == nil {
		return Listed{}, false
	}
	return Listed{Entry: known.entry, State: known.state}, true
}

// Known returns the engines that have an entry or had one recently.
func (s *Set) Known() []Incarnation {
	ids := make([]Incarnation, 0, len(s.engines))
	for id := range s.engines {
		ids = append(ids, id)
	}
	return ids
}

// SoftwareVersions returns the software versions of a pool's engines, sorted, including those of
// engines that accept no work any longer but may still run requests.
func (s *Set) SoftwareVersions(pool string) []string {
	return slices.Sorted(maps.Keys(s.software[pool]))
}

// RunsOnly reports whether all engines of a pool run one of the given software versions.
func (s *Set) RunsOnly(pool string, versions []string) bool {
	for software := range s.software[pool] {
		if !slices.Contains(versions, software) {
			return false
		}
	}
	return true
}

// Serving returns the number of engines of a pool that accept new work.
func (s *Set) Serving(pool string) int {
	count := 0
	for _, known := range s.pools[pool] {
		if known.usable() {
			count++
		}
	}
	return count
}

// UnlistedCount returns the number of unlisted engines of a pool that are still in use.
func (s *Set) UnlistedCount(pool string) int {
	count := 0
	for _, known := range s.pools[pool] {
		if known.state == Unlisted {
			count++
		}
	}
	return count
}

func (e *engine) usable() bool { return e.state.Usable() }

// InFlight returns the work in flight that this Set has counted at each engine that has any.
func (s *Set) InFlight() map[Incarnation]Counts {
	counts := make(map[Incarnation]Counts)
	for id, known := range s.engines {
		if known.own != (Counts{}) {
			counts[id] = known.own
		}
	}
	return counts
}

// Start counts a request that is sent to an engine.
func (s *Set) Start(engine Incarnation, work *Work) {
	if known := s.engines[engine]; known != nil {
		known.writable().own.add(work, 1)
	}
}

// FirstToken records that the engine has computed the request's prompt.
func (s *Set) FirstToken(engine Incarnation, work *Work) {
	if work.started || work.ended {
		return
	}
	work.started = true
	if known := s.engines[engine]; known != nil {
		known.writable().own.PrefillTokens -= work.PrefillTokens
	}
}

// Finish records the end of a request and its result for the engine's health. A second
// Finish of the same request, such as one that was preempted, has no effect.
func (s *Set) Finish(engine Incarnation, work *Work, result Result, now time.Time) {
	known := s.engines[engine]
	if known == nil || work.ended {
		return
	}
	work.ended = true
	known.writable()
	if work.started {
		known.own.PrefillTokens += work.PrefillTokens
	}
	known.own.add(work, -1)
	known.recordResult(result, now)
}

func (c *Counts) add(work *Work, sign int) {
	if work.Batch {
		c.Batch += sign
		c.BatchMemoryTokens += sign * work.MemoryTokens
	} else {
		c.Online += sign
	}
	c.PrefillTokens += sign * work.PrefillTokens
	c.MemoryTokens += sign * work.MemoryTokens
}

// An engine that has failed repeatedly counts as unhealthy for a time that doubles with
// each consecutive failure. An engine that has shed a request is avoided for shedBackoff.
const (
	unhealthyBase     = 250 * time.Millisecond
	unhealthyMax      = 4 * time.Second
	shedBackoff       = 60 * time.Millisecond
	failureRateWeight = 0.15
)

func (e *engine) recordResult(result Result, now time.Time) {
	switch result {
	case Succeeded:
		e.consecutiveFailures = 0
		e.failureRate *= 1 - failureRateWeight
	case Shed:
		e.shedUntil = now.Add(shedBackoff)
	case Failed:
		e.consecutiveFailures++
		e.failureRate += failureRateWeight * (1 - e.failureRate)
		if e.consecutiveFailures > 1 {
			e.unhealthyUntil = now.Add(min(unhealthyBase<<min(e.consecutiveFailures-2, 6), unhealthyMax))
		}
	case Abandoned:
	}
}

// ConnectionRefused marks an engine as unhealthy for a while, since nothing listens at its
// address.
func (s *Set) ConnectionRefused(engine Incarnation, now time.Time) {
	if known := s.engines[engine]; known != nil {
		known.writable().consecutiveFailures = max(known.consecutiveFailures, 2)
		known.unhealthyUntil = now.Add(min(unhealthyBase<<min(known.consecutiveFailures-1, 6), unhealthyMax))
	}
}

// RecordReport records an engine's own count of its requests, from the header of a response.
func (s *Set) RecordReport(engine Incarnation, running, waiting int, now time.Time) {
	if known := s.engines[engine]; known != nil {
		known.writable().reportedInFlight = running + waiting
		known.ownAtReport = known.own.Online + known.own.Batch
		known.reportedAt = now
	}
}

// RecordPrompt records that the engine has computed the parts of a prompt and may have them
// cached.
func (s *Set) RecordPrompt(engine Incarnation, parts []Part, now time.Time) {
	known := s.engines[engine]
	if known == nil {
		return
	}
	known.writable()
	for _, part := range parts {
		known.residentTokens += part.Tokens - known.resident[part.ID].tokens
		known.resident[part.ID] = residentPart{lastUsed: now, tokens: part.Tokens}
	}
	known.evict()
}

// residentPart is a part of a prompt that an engine is assumed to have cached.
type residentPart struct {
	lastUsed time.Time
	tokens   int
}

// evict removes the least recently used parts that do not fit into the engine's memory.
func (e *engine) evict() {
	capacity := e.entry.MemoryTokens
	if capacity == 0 {
		capacity = defaultMemoryTokens
	}
	for e.residentTokens > capacity*residentPercent/100 {
		oldest := ""
		for id, part := range e.resident {
			if oldest == "" || part.lastUsed.Before(e.resident[oldest].lastUsed) {
				oldest = id
			}
		}
		e.residentTokens -= e.resident[oldest].tokens
		delete(e.resident, oldest)
	}
}

const (
	defaultMemoryTokens = 100_000
	residentPercent     = 60 // percentage of an engine's memory that is assumed to hold cached parts
)

// Package enginechoice keeps what a node believes of the engines it may send
// to, and picks one for each request: it filters the engines that cannot take
// the request, scores the others by the wait to expect there, and picks the
// least. Time is an argument; it does no I/O and takes no lock.
package enginechoice

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Entry is an engine as the list tells it.
type Entry struct {
	ID, Pool, Address, Zone string
	Born                    int64 // see Incarnation
	Slots                   int
	MemoryTokens            int // 0: not said
	ColdUntil               time.Time
}

// Counts is work under way at an engine.
type Counts struct {
	Online, Batch int
	PrefillTokens int // of requests whose first token has not come
	MemoryTokens  int // that the running requests hold at their end
}

// Work is one request at an engine, as counted from Start to Finish.
type Work struct {
	Batch         bool
	PrefillTokens int
	MemoryTokens  int
	started       bool // its first token has come
	ended         bool // it is no longer counted
}

// AwaitsFirstToken says whether the request's first token has not come.
func (w *Work) AwaitsFirstToken() bool { return !w.started }

// Result is how a request at an engine ended.
type Result uint8

// The results that count for an engine's health.
const (
	Succeeded Result = iota
	Shed             // the engine said that it did not run it
	Failed           // refused connection, reset, silence or an error status
	Abandoned        // the client left; says nothing of the engine
)

// engine is one engine's beliefs.
type engine struct {
	entry Entry
	hash  uint64 // of its incarnation
	state State
	since time.Time // of state
	*experience
}

// experience is what a node has learned of an engine by its own requests. A node uses a few of
// 10,000 engines; the others share one that is empty and never written to, which saves 230 bytes
// an engine.
type experience struct {
	own            Counts
	reported       int // running and waiting, from the last answer's head
	reportedOwn    int // own work when it was read
	reportedAt     time.Time
	sickUntil      time.Time
	failures       int     // in a row
	failureRate    float64 // smoothed share of failures
	shedUntil      time.Time
	yieldedAt      time.Time               // when batch requests were last told to give way
	resident       map[string]residentPart // prompt parts sent there lately
	residentTokens int                     // of all of them
}

var noExperience = &experience{}

// used gives the engine with an experience of its own, which can be written to.
func (e *engine) used() *engine {
	if e.experience == noExperience {
		e.experience = &experience{resident: make(map[string]residentPart)}
	}
	return e
}

// Set is the engines of all pools.
type Set struct {
	node    uint64 // hash of this node's name
	engines map[Incarnation]*engine
	lives   map[string]lives // of each id
	pools   map[string]map[Incarnation]*engine
	peaks   map[string]onlinePeak // of online requests, by pool
	changes changeLog
	// unlisted are those that may be in the state Unlisted, so that a look for the overdue
	// ones does not pass over all engines.
	unlisted map[Incarnation]bool
	// looked is when idle engines were last looked for that can be forgotten.
	looked time.Time
}

// NewSet makes an empty set for a node.
func NewSet(node string) *Set {
	return &Set{
		node: xxhash.Sum64String(node), peaks: make(map[string]onlinePeak), engines: make(map[Incarnation]*engine), lives: make(map[string]lives),
		pools: make(map[string]map[Incarnation]*engine), unlisted: make(map[Incarnation]bool),
	}
}

// Upsert takes an engine's entry. The entry of a later incarnation than the one that is
// known ends that one, and begins with nothing known; that of an earlier one is ignored.
func (s *Set) Upsert(entry Entry, state State, now time.Time) News {
	engine := entry.Incarnation()
	news := s.order(engine, now)
	if news == Outdated {
		return Outdated
	}
	known := s.engines[engine]
	if known == nil {
		s.add(entry, state, now)
		s.forgetIdle(now)
		return max(news, Changed)
	}
	if known.state == Leaving && state == Ready && known.entry.Address == entry.Address {
		known.used().sickUntil = time.Time{}
	}
	changed := known.state != state
	if changed || known.entry != entry {
		s.changes.note(engine)
	}
	known.entry = entry
	if !changed {
		return Unchanged
	}
	known.state, known.since = state, now
	return Changed
}

// add takes an engine of which nothing is known.
func (s *Set) add(entry Entry, state State, now time.Time) {
	incarnation := entry.Incarnation()
	added := &engine{entry: entry, hash: incarnation.Hash(), state: state, since: now, experience: noExperience}
	s.engines[incarnation] = added
	known := s.lives[incarnation.ID]
	known.count++
	s.lives[incarnation.ID] = known
	pool := s.pools[entry.Pool]
	if pool == nil {
		pool = make(map[Incarnation]*engine)
		s.pools[entry.Pool] = pool
	}
	pool[incarnation] = added
	s.changes.note(incarnation)
}

// Remove takes word that an engine's entry went. A doubtful removal leaves the
// engine in use until ExpireUnlisted, since the list could not be trusted.
func (s *Set) Remove(engine Incarnation, doubtful bool, now time.Time) {
	known := s.engines[engine]
	if known == nil || known.state == Ended {
		return
	}
	doubtful = doubtful && known.usable() // one that was leaving does not come back by it
	known.since = now
	known.state = Leaving
	s.changes.note(engine)
	if doubtful {
		known.state = Unlisted
		s.unlisted[engine] = true
	}
	s.forgetIdle(now)
}

// Withhold takes word that an engine's entry names no engine to use. What was learned
// of the engine stays, for the entry may hold again; one that was leaving still is. It
// reports whether the belief changed.
func (s *Set) Withhold(engine Incarnation, now time.Time) bool {
	known := s.engines[engine]
	if known == nil || !known.usable() {
		return false
	}
	known.state, known.since = Withheld, now
	s.changes.note(engine)
	return true
}

// ExpireUnlisted takes engines as gone that lost their entry before a time and
// were not listed again. It gives which.
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
			s.changes.note(id)
			delete(s.unlisted, id)
			expired = append(expired, id)
		}
	}
	return expired
}

// AnyUnlisted says whether an engine may be in the state Unlisted.
func (s *Set) AnyUnlisted() bool { return len(s.unlisted) > 0 }

// forgetAfter keeps an engine's counts while requests may still run there.
const forgetAfter = time.Minute

// forgetEvery is the pause between two looks for engines to forget. A look at each change
// made taking a list in cost the square of its length: 10,000 engines took 1.77 s of
// processor time in place of 31 ms (BenchmarkListing).
const forgetEvery = forgetAfter / 4

func (s *Set) forgetIdle(now time.Time) {
	if now.Sub(s.looked) < forgetEvery {
		return
	}
	s.looked = now
	for id, known := range s.engines {
		idle := known.own.Online == 0 && known.own.Batch == 0
		if known.usable() || !idle || now.Sub(known.since) <= forgetAfter {
			continue
		}
		delete(s.engines, id)
		delete(s.pools[known.entry.Pool], id)
		s.changes.note(id)
		s.forgetOrder(id.ID)
	}
}

// Listed is an engine's entry and its state.
type Listed struct {
	Entry Entry
	State State
}

// Pools gives the names of the pools that have had engines.
func (s *Set) Pools() []string { return slices.Sorted(maps.Keys(s.pools)) }

// List gives the engines of a pool, in no order.
func (s *Set) List(pool string) []Listed {
	list := make([]Listed, 0, len(s.pools[pool]))
	for _, known := range s.pools[pool] {
		list = append(list, Listed{Entry: known.entry, State: known.state})
	}
	return list
}

// Find gives an engine's entry and state.
func (s *Set) Find(engine Incarnation) (Listed, bool) {
	known := s.engines[engine]
	if known == nil {
		return Listed{}, false
	}
	return Listed{Entry: known.entry, State: known.state}, true
}

// Known gives the engines that have an entry, or had one lately.
func (s *Set) Known() []Incarnation {
	ids := make([]Incarnation, 0, len(s.engines))
	for id := range s.engines {
		ids = append(ids, id)
	}
	return ids
}

// Serving counts the engines of a pool that take new work.
func (s *Set) Serving(pool string) int {
	count := 0
	for _, known := range s.pools[pool] {
		if known.usable() {
			count++
		}
	}
	return count
}

// Doubtful counts the unlisted engines of a pool that are still in use.
func (s *Set) Doubtful(pool string) int {
	count := 0
	for _, known := range s.pools[pool] {
		if known.state == Unlisted {
			count++
		}
	}
	return count
}

func (e *engine) usable() bool { return e.state.Usable() }

// Own gives this node's work under way at each engine that has some.
func (s *Set) Own() map[Incarnation]Counts {
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
		known.used().own.add(work, 1)
	}
}

// FirstToken counts that the engine has read the request's prompt.
func (s *Set) FirstToken(engine Incarnation, work *Work) {
	if work.started || work.ended {
		return
	}
	work.started = true
	if known := s.engines[engine]; known != nil {
		known.used().own.PrefillTokens -= work.PrefillTokens
	}
}

// Finish counts a request's end and what it says of the engine. A second end of
// the same request, one that was stopped to make room, counts nothing.
func (s *Set) Finish(engine Incarnation, work *Work, result Result, now time.Time) {
	known := s.engines[engine]
	if known == nil || work.ended {
		return
	}
	work.ended = true
	known.used()
	if work.started {
		known.own.PrefillTokens += work.PrefillTokens
	}
	known.own.add(work, -1)
	known.judge(result, now)
}

func (c *Counts) add(work *Work, sign int) {
	if work.Batch {
		c.Batch += sign
	} else {
		c.Online += sign
	}
	c.PrefillTokens += sign * work.PrefillTokens
	c.MemoryTokens += sign * work.MemoryTokens
}

// Health: an engine that failed is left alone for a time that doubles with
// each failure in a row; one that shed work is left alone for a moment.
const (
	sickBase    = 250 * time.Millisecond
	sickMost    = 4 * time.Second
	shedPause   = 60 * time.Millisecond
	failureStep = 0.15
)

func (e *engine) judge(result Result, now time.Time) {
	switch result {
	case Succeeded:
		e.failures = 0
		e.failureRate *= 1 - failureStep
	case Shed:
		e.shedUntil = now.Add(shedPause)
	case Failed:
		e.failures++
		e.failureRate += failureStep * (1 - e.failureRate)
		if e.failures > 1 {
			e.sickUntil = now.Add(min(sickBase<<min(e.failures-2, 6), sickMost))
		}
	case Abandoned:
	}
}

// ConnectionRefused takes the address as dead for a while: nothing listens.
func (s *Set) ConnectionRefused(engine Incarnation, now time.Time) {
	if known := s.engines[engine]; known != nil {
		known.used().failures = max(known.failures, 2)
		known.sickUntil = now.Add(min(sickBase<<min(known.failures-1, 6), sickMost))
	}
}

// Observe takes an engine's own count from the head of an answer.
func (s *Set) Observe(engine Incarnation, running, waiting int, now time.Time) {
	if known := s.engines[engine]; known != nil {
		known.used().reported = running + waiting
		known.reportedOwn = known.own.Online + known.own.Batch
		known.reportedAt = now
	}
}

// Remember takes note that the engine has read the parts of a prompt.
func (s *Set) Remember(engine Incarnation, parts []Part, now time.Time) {
	known := s.engines[engine]
	if known == nil {
		return
	}
	known.used()
	for _, part := range parts {
		known.residentTokens += part.Tokens - known.resident[part.ID].tokens
		known.resident[part.ID] = residentPart{used: now, tokens: part.Tokens}
	}
	known.evict()
}

// residentPart is a part of a prompt that an engine is held to keep.
type residentPart struct {
	used   time.Time
	tokens int
}

// evict keeps the parts used last, within the engine's memory.
func (e *engine) evict() {
	room := e.entry.MemoryTokens
	if room == 0 {
		room = defaultMemoryTokens
	}
	for e.residentTokens > room*residentShare/100 {
		oldest := ""
		for id, part := range e.resident {
			if oldest == "" || part.used.Before(e.resident[oldest].used) {
				oldest = id
			}
		}
		e.residentTokens -= e.resident[oldest].tokens
		delete(e.resident, oldest)
	}
}

const (
	defaultMemoryTokens = 100_000
	residentShare       = 60 // per cent of an engine's memory held to be cached parts
)

// Package quarantine detects requests that crash the engines which run them. It records
// which requests, identified by their content, were in flight at each engine that ended,
// and decides whether a content is the cause and must be sent to no engine for a time.
//
// The state is a set of crashes, each a pair of a content and an engine's incarnation. Nodes
// exchange crashes in any order and any number of times: a known pair changes nothing, and an
// excused pair stays excused. Nodes that know the same pairs reach the same verdicts.
//
// The caller passes the time; the package does no I/O and takes no lock.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Crash states that an engine ended while a request with this content was in flight there.
type Crash struct {
	Content Digest
	Engine  uint64 // hash of the id of the engine's incarnation
	// Age is how long ago the engine ended, at the moment the report is sent.
	Age time.Duration
	// Excused is true when the content has since completed at an engine, or an operator has
	// cleared it. The crash then no longer counts against the content.
	Excused bool
}

// Config holds the thresholds for blocking a content.
type Config struct {
	// CrashesToBlock is the evidence at which a content is blocked, as a number of engines
	// that crashed while they ran it.
	CrashesToBlock float64
	// CrashesToBlockPair is the same threshold for contents that ran and crashed together,
	// so that neither has more evidence against it than the other.
	CrashesToBlockPair float64
	// CrashesToExplain and EvidenceToExplain are the minimum number of crashes of a content
	// and the minimum evidence, reduced for waves, at which the content explains the ends of
	// the engines that ran it.
	CrashesToExplain  int
	EvidenceToExplain float64
	// WaveWindow is the largest time between two ends of engines that may share one cause.
	WaveWindow time.Duration
	// Retention is how long after its newest crash a content is remembered and blocked.
	Retention time.Duration
	// MaxContents is the maximum number of contents that are remembered.
	MaxContents int
}

// DefaultConfig returns a configuration that blocks a content after it has crashed four
// engines. In the simulation of BenchmarkModel (1,500 runs with 1 to 3 contents that crash
// engines, waves of other crashes, node restarts and partitions, and clients that retry three
// times) it refuses 1 of 2.19 million innocent requests, and at most 3 runs of a content begin
// later than 3 s after it has crashed its third engine. It refuses 33 when it blocks after
// three engines, 9 when it blocks after four and ignores waves, and 22 when suspect contents
// may share an engine.
func DefaultConfig() Config {
	return Config{
		CrashesToBlock: 3.5, CrashesToBlockPair: 5, CrashesToExplain: 3, EvidenceToExplain: 1.5, WaveWindow: 100 * time.Millisecond,
		Retention: 30 * time.Minute, MaxContents: 4096,
	}
}

// crashRecord is the stored state of one crash.
type crashRecord struct {
	excused bool
}

// contentRecord holds the known crashes of a content.
type contentRecord struct {
	crashes map[uint64]crashRecord // by engine
	newest  time.Time              // time of the newest crash
}

// unexcusedCrashes returns the number of the content's crashes that are not excused.
func (r *contentRecord) unexcusedCrashes() int {
	count := 0
	for _, known := range r.crashes {
		if !known.excused {
			count++
		}
	}
	return count
}

// engineRecord describes an engine that ended.
type engineRecord struct {
	endedAt  time.Time // earliest reported time
	contents map[Digest]bool
}

// Ledger holds the known crashes of contents and of parts, and operators' orders. It is not safe for concurrent use.
type Ledger struct {
	config    Config
	contents  map[Digest]*contentRecord
	engines   map[uint64]*engineRecord
	orders    map[Digest]orderRecord // orders of operators
	evaluated *evaluation            // nil after a change
	changes   uint64                 // number of changes so far
	parts     *partLedger            // of the parts of prompts; nil in their own ledger
}

// NewLedger returns an empty ledger.
func NewLedger(config Config) *Ledger {
	ledger := &Ledger{config: config, contents: make(map[Digest]*contentRecord), engines: make(map[uint64]*engineRecord), orders: make(map[Digest]orderRecord)}
	ledger.parts = newPartLedger(ledger)
	return ledger
}

// RecordCrash records a crash that this node observed or another node reported. It returns whether
// the crash, or its excuse, was new. A crash older than Retention is ignored.
func (l *Ledger) RecordCrash(crash Crash, now time.Time) bool {
	if l.judgesParts(crash.Content) {
		return l.parts.recordCrash(crash, now)
	}
	at := now.Add(-crash.Age)
	if crash.Age > l.config.Retention {
		return false
	}
	record := l.contents[crash.Content]
	if record == nil {
		l.evictIfFull(now)
		record = &contentRecord{crashes: make(map[uint64]crashRecord), newest: at}
		l.contents[crash.Content] = record
	}
	engine := l.engines[crash.Engine]
	if engine == nil {
		engine = &engineRecord{endedAt: at, contents: make(map[Digest]bool)}
		l.engines[crash.Engine] = engine
	}
	if at.Before(engine.endedAt) {
		engine.endedAt = at
	}
	if at.After(record.newest) {
		record.newest = at
	}
	engine.contents[crash.Content] = true
	l.changed()
	known, found := record.crashes[crash.Engine]
	record.crashes[crash.Engine] = crashRecord{excused: known.excused || crash.Excused}
	return !found || (crash.Excused && !known.excused)
}

// changed records that crashes have changed.
func (l *Ledger) changed() {
	l.evaluated = nil
	l.changes++
}

// Excuse marks all crashes of a content as excused, since the content has completed at an
// engine. It returns the crashes that no longer count against it, or nil if there were none.
func (l *Ledger) Excuse(content Digest, now time.Time) []Crash {
	if l.judgesParts(content) {
		return l.parts.excuse(content, now)
	}
	record := l.contents[content]
	if record == nil {
		return nil
	}
	l.changed()
	var excused []Crash
	for _, engine := range slices.Sorted(maps.Keys(record.crashes)) {
		if !record.crashes[engine].excused {
			record.crashes[engine] = crashRecord{excused: true}
			excused = append(excused, l.crash(content, engine, now))
		}
	}
	return excused
}

// crash returns a known crash as it is reported at a time.
func (l *Ledger) crash(content Digest, engine uint64, now time.Time) Crash {
	return Crash{Content: content, Engine: engine, Age: now.Sub(l.engines[engine].endedAt), Excused: l.contents[content].crashes[engine].excused}
}

// Crashes returns the known crashes of a content, ordered by engine.
func (l *Ledger) Crashes(content Digest, now time.Time) []Crash {
	if l.judgesParts(content) {
		return l.parts.Crashes(content, now)
	}
	record := l.contents[content]
	if record == nil {
		return nil
	}
	var crashes []Crash
	for _, engine := range slices.Sorted(maps.Keys(record.crashes)) {
		crashes = append(crashes, l.crash(content, engine, now))
	}
	return crashes
}

// MostFrequentCrashes returns the crashes of parts and contents, without items, that have two or more crashes which
// are not excused, those with the most crashes first. Half of them at most are of parts. It returns at most `most` crashes and leaves
// out contents whose newest crash is older than `oldest`.
func (l *Ledger) MostFrequentCrashes(most int, oldest time.Duration, now time.Time) []Crash {
	var repeated []Digest
	for content, record := range l.contents {
		if !content.IsItem() && record.unexcusedCrashes() >= 2 && now.Sub(record.newest) <= oldest {
			repeated = append(repeated, content)
		}
	}
	var crashes []Crash
	if l.parts != nil {
		crashes = l.parts.MostFrequentCrashes(most/2, oldest, now)
	}
	slices.SortFunc(repeated, func(a, b Digest) int {
		return cmp.Or(cmp.Compare(l.contents[b].unexcusedCrashes(), l.contents[a].unexcusedCrashes()), slices.Compare(a[:], b[:]))
	})
	for _, content := range repeated {
		if len(crashes) >= most {
			break
		}
		crashes = append(crashes, l.Crashes(content, now)...)
	}
	return crashes[:min(most, len(crashes))]
}

// Knows reports whether a crash of a content is known.
func (l *Ledger) Knows(content Digest) bool {
	if l.judgesParts(content) {
		return l.parts.Knows(content)
	}
	return l.contents[content] != nil
}

// judgesParts reports whether a digest belongs in the ledger of parts.
func (l *Ledger) judgesParts(digest Digest) bool { return l.parts != nil && digest.IsPart() }

// Empty reports whether the ledger holds no crashes and no orders.
func (l *Ledger) Empty() bool {
	return len(l.contents)+len(l.orders) == 0 && (l.parts == nil || l.parts.Empty())
}

// Sizes returns the numbers of contents and engines that are remembered.
func (l *Ledger) Sizes() (contents, engines int) { return len(l.contents), len(l.engines) }

// Expire removes contents whose newest crash is older than Retention, and orders that ended
// longer ago than that.
func (l *Ledger) Expire(now time.Time) {
	for content, record := range l.contents {
		if now.Sub(record.newest) > l.config.Retention {
			l.remove(content)
		}
	}
	l.expireOrders(now)
	if l.parts != nil {
		l.parts.Expire(now)
	}
}

func (l *Ledger) remove(content Digest) {
	l.changed()
	for engine := range l.contents[content].crashes {
		known := l.engines[engine]
		delete(known.contents, content)
		if len(known.contents) == 0 {
			delete(l.engines, engine)
		}
	}
	delete(l.contents, content)
}

// evictionDivisor sets the part of the contents, 1/evictionDivisor, that is removed when the
// ledger is full.
const evictionDivisor = 8

// evictIfFull removes the contents with the fewest crashes, and among these the oldest first,
// when the ledger holds MaxContents.
func (l *Ledger) evictIfFull(now time.Time) {
	if len(l.contents) < l.config.MaxContents {
		return
	}
	l.Expire(now)
	byCrashCount := slices.Collect(maps.Keys(l.contents))
	slices.SortFunc(byCrashCount, func(a, b Digest) int {
		one, other := l.contents[a], l.contents[b]
		return cmp.Or(cmp.Compare(one.unexcusedCrashes(), other.unexcusedCrashes()), one.newest.Compare(other.newest), slices.Compare(a[:], b[:]))
	})
	for _, content := range byCrashCount[:len(byCrashCount)-len(byCrashCount)*(evictionDivisor-1)/evictionDivisor] {
		l.remove(content)
	}
}

// Package quarantine finds the requests that end the engines which run them. It keeps
// which requests, told apart by their content, were under way at each engine that ended,
// and says of a content whether it is to blame and must reach no engine for a time.
//
// What is kept is a set of crashes, pairs of a content and an engine's life. Nodes tell
// each other theirs in any order and as often as they like: a pair that is known changes
// nothing, and one that was excused stays so. Nodes that know the same pairs judge alike.
//
// Time is an argument; the package does no I/O and takes no lock.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Crash says that an engine ended while a request with this content was under way there.
type Crash struct {
	Content Digest
	Engine  uint64 // hash of the id of the engine's life
	// Age is how long ago the engine ended, at the moment of telling.
	Age time.Duration
	// Excused: the content has since run whole at an engine, or an operator let it
	// through; the crash no longer counts against it.
	Excused bool
}

// Config says when a content is to blame.
type Config struct {
	// CrashesToBlock is the evidence from which on a content is blocked, in engines
	// that ended under it.
	CrashesToBlock float64
	// CrashesOfPair is the same for contents that came and crashed together, so that
	// neither has more evidence against it than the other.
	CrashesOfPair float64
	// CrashesToExplain is how many engines ended under a content that explains the end
	// of each of them, and EvidenceToExplain what is left of them without waves.
	CrashesToExplain  int
	EvidenceToExplain float64
	// WaveWithin is how near in time engines end that end of one cause.
	WaveWithin time.Duration
	// KeepFor is how long after its newest crash a content is remembered, and blocked.
	KeepFor time.Duration
	// MostContents bounds the contents that are remembered.
	MostContents int
}

// DefaultConfig blocks a content once four engines ended under it. In the model
// (BenchmarkModel: 1,500 runs with 1 to 3 contents that end engines, waves of other ends,
// restarts and cuts, and clients that come back three times) it refuses 1 of 2.19 million
// innocent requests, and at most 3 runs of a content begin later than 3 s after the third
// engine ended under it. At 3 it refuses 33, without waves (at 4) 9, and where suspects
// share engines 22.
func DefaultConfig() Config {
	return Config{
		CrashesToBlock: 3.5, CrashesOfPair: 5, CrashesToExplain: 3, EvidenceToExplain: 1.5, WaveWithin: 100 * time.Millisecond,
		KeepFor: 30 * time.Minute, MostContents: 4096,
	}
}

// mark is one crash, as the ledger keeps it.
type mark struct {
	excused bool
}

// contentRecord is what is known of a content.
type contentRecord struct {
	marks  map[uint64]mark // by engine
	newest time.Time       // of its crashes
}

// counted is how many engines ended under the content, but for those it is excused for.
func (r *contentRecord) counted() int {
	count := 0
	for _, known := range r.marks {
		if !known.excused {
			count++
		}
	}
	return count
}

// engineRecord is an engine that ended.
type engineRecord struct {
	at       time.Time // when it ended, as far as is known
	contents map[Digest]bool
}

// Ledger keeps the crashes. It is not safe for concurrent use.
type Ledger struct {
	config   Config
	contents map[Digest]*contentRecord
	engines  map[uint64]*engineRecord
	orders   map[Digest]ordered // of operators
	judged   *judgement         // nil: something has changed since
}

// NewLedger makes an empty ledger.
func NewLedger(config Config) *Ledger {
	return &Ledger{config: config, contents: make(map[Digest]*contentRecord), engines: make(map[uint64]*engineRecord), orders: make(map[Digest]ordered)}
}

// Note takes a crash, own or told; it reports whether that was news.
func (l *Ledger) Note(crash Crash, now time.Time) bool {
	at := now.Add(-crash.Age)
	if crash.Age > l.config.KeepFor {
		return false
	}
	record := l.contents[crash.Content]
	if record == nil {
		l.makeRoom(now)
		record = &contentRecord{marks: make(map[uint64]mark), newest: at}
		l.contents[crash.Content] = record
	}
	engine := l.engines[crash.Engine]
	if engine == nil {
		engine = &engineRecord{at: at, contents: make(map[Digest]bool)}
		l.engines[crash.Engine] = engine
	}
	if at.Before(engine.at) {
		engine.at = at
	}
	if at.After(record.newest) {
		record.newest = at
	}
	engine.contents[crash.Content] = true
	l.judged = nil
	known, found := record.marks[crash.Engine]
	record.marks[crash.Engine] = mark{excused: known.excused || crash.Excused}
	return !found || (crash.Excused && !known.excused)
}

// Excuse takes word that a content is harmless, since it has run whole. It gives the
// crashes that no longer count against it; nil where there were none.
func (l *Ledger) Excuse(content Digest, now time.Time) []Crash {
	record := l.contents[content]
	if record == nil {
		return nil
	}
	l.judged = nil
	var excused []Crash
	for engine, known := range record.marks {
		if !known.excused {
			record.marks[engine] = mark{excused: true}
			excused = append(excused, l.crash(content, engine, now))
		}
	}
	return excused
}

// crash gives a known crash as it is told at a time.
func (l *Ledger) crash(content Digest, engine uint64, now time.Time) Crash {
	return Crash{Content: content, Engine: engine, Age: now.Sub(l.engines[engine].at), Excused: l.contents[content].marks[engine].excused}
}

// Crashes gives what is known of a content.
func (l *Ledger) Crashes(content Digest, now time.Time) []Crash {
	record := l.contents[content]
	if record == nil {
		return nil
	}
	var crashes []Crash
	for _, engine := range slices.Sorted(maps.Keys(record.marks)) {
		crashes = append(crashes, l.crash(content, engine, now))
	}
	return crashes
}

// Gravest gives the crashes of contents under which two engines or more ended, those with
// the most first, so many crashes at most, and none that are older than an age.
func (l *Ledger) Gravest(most int, oldest time.Duration, now time.Time) []Crash {
	var repeated []Digest
	for content, record := range l.contents {
		if record.counted() >= 2 && now.Sub(record.newest) <= oldest {
			repeated = append(repeated, content)
		}
	}
	slices.SortFunc(repeated, func(a, b Digest) int {
		return cmp.Or(cmp.Compare(l.contents[b].counted(), l.contents[a].counted()), slices.Compare(a[:], b[:]))
	})
	var crashes []Crash
	for _, content := range repeated {
		if len(crashes) >= most {
			break
		}
		crashes = append(crashes, l.Crashes(content, now)...)
	}
	return crashes[:min(most, len(crashes))]
}

// Knows says whether anything is known of a content.
func (l *Ledger) Knows(content Digest) bool { return l.contents[content] != nil }

// Empty says whether nothing is known of any content.
func (l *Ledger) Empty() bool { return len(l.contents)+len(l.orders) == 0 }

// Sizes gives how many contents and engines are remembered.
func (l *Ledger) Sizes() (contents, engines int) { return len(l.contents), len(l.engines) }

// Expire forgets contents whose newest crash is too long ago.
func (l *Ledger) Expire(now time.Time) {
	for content, record := range l.contents {
		if now.Sub(record.newest) > l.config.KeepFor {
			l.forget(content)
		}
	}
	l.expireOrders(now)
}

func (l *Ledger) forget(content Digest) {
	l.judged = nil
	for engine := range l.contents[content].marks {
		known := l.engines[engine]
		delete(known.contents, content)
		if len(known.contents) == 0 {
			delete(l.engines, engine)
		}
	}
	delete(l.contents, content)
}

// roomMade is the part of the contents that goes when there are too many.
const roomMade = 8

// makeRoom forgets the contents with the fewest crashes, the oldest first, when there are
// too many.
func (l *Ledger) makeRoom(now time.Time) {
	if len(l.contents) < l.config.MostContents {
		return
	}
	l.Expire(now)
	byWeight := slices.Collect(maps.Keys(l.contents))
	slices.SortFunc(byWeight, func(a, b Digest) int {
		one, other := l.contents[a], l.contents[b]
		return cmp.Or(cmp.Compare(one.counted(), other.counted()), one.newest.Compare(other.newest), slices.Compare(a[:], b[:]))
	})
	for _, content := range byWeight[:len(byWeight)-len(byWeight)*(roomMade-1)/roomMade] {
		l.forget(content)
	}
}

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Parts of prompts are judged by other rules than contents. A part may be in flight at all engines, so
// engines that end together, as when a rack loses power, say little about it. Against a part count the
// separate moments at which engines ended while they ran it, from its last complete run on.
const (
	// partCrashesToBlock is the least number of engines that a blocked part has crashed.
	partCrashesToBlock = 4
	// momentsToBlock is the number of separate moments at which a part is blocked.
	momentsToBlock = 4
	// spreadMomentsToBlock is the same for moments of which the first and the last are spreadToBlock
	// apart. An innocent part has completed elsewhere in that time.
	spreadMomentsToBlock = 3
	spreadToBlock        = time.Second
	// tiedMomentsToBlock is the same for parts of which none has more against it.
	tiedMomentsToBlock = 8
	// completedAllowance is subtracted from the moments of a part that was in a complete run at this
	// node lately, and clearedAllowance from those of a part that was in one after a crash.
	completedAllowance = 2
	clearedAllowance   = 4
	// partCrashesToSuspect is the number of engines from which on a part runs once at a time.
	partCrashesToSuspect = 4
)

// HarmlessAfter is the time from the first event of a run from which on its parts are not what crashed its
// engine. A part that does so crashes the engine as soon as it begins to write.
const HarmlessAfter = time.Second

// partLedger holds the crashes of parts.
type partLedger struct {
	*Ledger     // their crashes and orders
	contents    *Ledger
	completions completions
	cachedFor   uint64 // number of changes up to which strengths is right
	strengths   map[Digest]partStrength
	ends        []engineEnd // of all engines, by time
}

func newPartLedger(contents *Ledger) *partLedger {
	return &partLedger{Ledger: &Ledger{
		config: contents.config, contents: make(map[Digest]*contentRecord), engines: make(map[uint64]*engineRecord), orders: make(map[Digest]orderRecord),
	}, contents: contents}
}

// recordCrash records a crash of a part. A crash from before the part's last complete run at this node
// is excused.
func (l *partLedger) recordCrash(crash Crash, now time.Time) bool {
	if completed, found := l.completions.last(crash.Content); found && !completed.Before(now.Add(-crash.Age)) {
		crash.Excused = true
	}
	return l.RecordCrash(crash, now)
}

// excuse marks the crashes of a part as excused, since a run with it is complete.
func (l *partLedger) excuse(part Digest, now time.Time) []Crash {
	l.completions.record(part, now)
	l.strengths = nil
	return l.Excuse(part, now)
}

// verdict returns the verdict on a part from its crashes.
func (l *partLedger) verdict(part Digest, now time.Time) Verdict {
	record := l.Ledger.contents[part]
	if record == nil {
		return Verdict{}
	}
	verdict := Verdict{Crashes: record.unexcusedCrashes(), Until: record.newest.Add(l.config.Retention)}
	if verdict.Crashes < partCrashesToBlock || !now.Before(verdict.Until) {
		return verdict
	}
	moments, tied := l.momentsAsCause(part, now)
	verdict.Evidence = float64(max(len(moments)-l.allowance(part), 0))
	verdict.Blocked = isEnough(moments, l.allowance(part), tied) && !l.explainedByContent(part)
	return verdict
}

// minCorrected is the number of crashes of one part in a report from which on the sender is told that
// they are excused.
const minCorrected = 3

// ExcusedHere returns the reported crashes of parts that are not excused in the report but here. A node
// that has just started, or gets no requests with a part, is corrected this way.
func (l *Ledger) ExcusedHere(reported []Crash, now time.Time) []Crash {
	count := make(map[Digest]int)
	var excused []Crash
	for _, crash := range reported {
		if !crash.Excused && crash.Content.IsPart() && l.parts.isExcused(crash) {
			count[crash.Content]++
			excused = append(excused, l.parts.crash(crash.Content, crash.Engine, now))
		}
	}
	return slices.DeleteFunc(excused, func(crash Crash) bool { return count[crash.Content] < minCorrected })
}

func (l *partLedger) isExcused(crash Crash) bool {
	record := l.Ledger.contents[crash.Content]
	return record != nil && record.crashes[crash.Engine].excused
}

// isEnough reports whether the moments at which engines ended block a part.
func isEnough(moments []time.Time, allowance int, tied bool) bool {
	count := len(moments)
	switch {
	case tied:
		return count >= tiedMomentsToBlock
	case count >= momentsToBlock+allowance:
		return true
	default:
		return allowance == 0 && count >= spreadMomentsToBlock && moments[count-1].Sub(moments[0]) >= spreadToBlock
	}
}

// allowance returns how many moments do not count against a part, since it has completed.
func (l *partLedger) allowance(part Digest) int {
	for _, known := range l.Ledger.contents[part].crashes {
		if known.excused {
			return clearedAllowance
		}
	}
	if l.completions.known(part) {
		return completedAllowance
	}
	return 0
}

// suspect reports whether requests with a part are to run one at a time.
func (l *partLedger) suspect(part Digest, now time.Time) (crashes int, suspected bool) {
	record := l.Ledger.contents[part]
	if record == nil || l.completions.isRecent(part, now) {
		return 0, false
	}
	crashes = record.unexcusedCrashes()
	if crashes < partCrashesToSuspect {
		return 0, false
	}
	moments, _ := l.momentsAsCause(part, now)
	return crashes, len(moments) > 0
}

// momentsAsCause returns the moments at which engines ended that no other part is a likelier cause of,
// and whether another part is as likely a cause of any of them. Moments are left out until all nodes have
// told which engines ended with them.
func (l *partLedger) momentsAsCause(part Digest, now time.Time) (moments []time.Time, tied bool) {
	var ended []time.Time
	for engine, known := range l.Ledger.contents[part].crashes {
		at := l.engines[engine].endedAt
		if known.excused || now.Sub(at) < l.config.WaveWindow+tellingTime || !l.ranAtAllNear(part, at) {
			continue
		}
		likeliest, equal := l.compareAt(part, engine)
		if likeliest {
			ended = append(ended, at)
			tied = tied || equal
		}
	}
	return l.separate(ended), tied
}

// tellingTime is how long it takes until all nodes know of a crash.
const tellingTime = 50 * time.Millisecond

// ranAtAllNear reports whether a part ran at all engines that ended within WaveWindow of a time. Engines
// that end together while only some ran the part have another cause.
func (l *partLedger) ranAtAllNear(part Digest, at time.Time) bool {
	l.refresh()
	crashes := l.Ledger.contents[part].crashes
	first, _ := slices.BinarySearchFunc(l.ends, at.Add(-l.config.WaveWindow), func(end engineEnd, from time.Time) int { return end.at.Compare(from) })
	for _, end := range l.ends[first:] {
		if end.at.Sub(at) > l.config.WaveWindow {
			break
		}
		if _, ran := crashes[end.engine]; !ran {
			return false
		}
	}
	return true
}

// engineEnd is the end of an engine under any request.
type engineEnd struct {
	at     time.Time
	engine uint64
}

// refresh discards what is cached if crashes have changed.
func (l *partLedger) refresh() {
	changes := l.changes + l.contents.changes
	if l.strengths != nil && l.cachedFor == changes {
		return
	}
	l.cachedFor, l.strengths, l.ends = changes, make(map[Digest]partStrength), l.ends[:0]
	for engine, record := range l.contents.engines {
		l.ends = append(l.ends, engineEnd{at: record.endedAt, engine: engine})
	}
	slices.SortFunc(l.ends, func(a, b engineEnd) int { return a.at.Compare(b.at) })
}

// compareAt compares a part with the other parts that ran at an engine: by the moments at which engines
// ended, and where these are as many, by the engines.
func (l *partLedger) compareAt(part Digest, engine uint64) (likeliest, tied bool) {
	own := l.strength(part)
	for other := range l.engines[engine].contents {
		if other == part || l.Ledger.contents[other].crashes[engine].excused {
			continue
		}
		order := l.strength(other).compare(own)
		if order > 0 {
			return false, false
		}
		tied = tied || order == 0
	}
	return true, tied
}

// partStrength is what counts against a part.
type partStrength struct {
	moments int // separate moments at which engines ended that ran it, less its allowance
	engines int // engines that ended
}

func (s partStrength) compare(other partStrength) int {
	return cmp.Or(cmp.Compare(s.moments, other.moments), cmp.Compare(s.engines, other.engines))
}

// strength returns what counts against a part.
func (l *partLedger) strength(part Digest) partStrength {
	l.refresh()
	known, cached := l.strengths[part]
	if !cached {
		var ended []time.Time
		for engine, crash := range l.Ledger.contents[part].crashes {
			if at := l.engines[engine].endedAt; !crash.excused && l.ranAtAllNear(part, at) {
				ended = append(ended, at)
			}
		}
		known = partStrength{moments: len(l.separate(ended)) - l.allowance(part), engines: len(ended)}
		l.strengths[part] = known
	}
	return known
}

// separate returns the times without those that follow another within WaveWindow, sorted.
func (l *partLedger) separate(times []time.Time) []time.Time {
	slices.SortFunc(times, time.Time.Compare)
	var moments []time.Time
	for _, at := range times {
		if len(moments) == 0 || at.Sub(moments[len(moments)-1]) > l.config.WaveWindow {
			moments = append(moments, at)
		}
	}
	return moments
}

// explainedByContent reports whether one content was in flight at all of the part's crashed engines, or
// all but one. It is then judged by itself.
func (l *partLedger) explainedByContent(part Digest) bool {
	crashed := 0
	runs := make(map[Digest]int)
	for engine, known := range l.Ledger.contents[part].crashes {
		if known.excused {
			continue
		}
		crashed++
		if ended := l.contents.engines[engine]; ended != nil {
			for content := range ended.contents {
				if !content.IsItem() {
					runs[content]++
				}
			}
		}
	}
	for _, count := range runs {
		if count >= crashed-1 {
			return true
		}
	}
	return false
}

// Times for which complete runs with a part are remembered.
const (
	completionRetention = time.Minute
	// recentCompletion is the age of a complete run up to which the part is no suspect.
	recentCompletion = 10 * time.Second
	// maxCompletions bounds the parts of one generation, at some 60 bytes each.
	maxCompletions = 4096
)

// completions holds when parts were last in a complete run at this node, for completionRetention at
// least and twice that at most, unless maxCompletions are newer.
type completions struct {
	recent, previous map[Digest]time.Time
	rotatedAt        time.Time
}

func (c *completions) record(part Digest, now time.Time) {
	if age := now.Sub(c.rotatedAt); c.recent == nil || age >= completionRetention || len(c.recent) >= maxCompletions {
		c.previous = c.recent
		if age >= 2*completionRetention {
			c.previous = nil
		}
		c.recent, c.rotatedAt = make(map[Digest]time.Time), now
	}
	c.recent[part] = now
}

func (c *completions) last(part Digest) (at time.Time, found bool) {
	if at, found = c.recent[part]; found {
		return at, true
	}
	at, found = c.previous[part]
	return at, found
}

func (c *completions) known(part Digest) bool {
	_, found := c.last(part)
	return found
}

func (c *completions) isRecent(part Digest, now time.Time) bool {
	at, found := c.last(part)
	return found && now.Sub(at) <= recentCompletion
}

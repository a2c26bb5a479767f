package quarantine

import (
	"slices"
	"time"
)

// Verdict says what the crashes tell of a content.
type Verdict struct {
	// Crashes is how many engines ended under it, but for those it is excused for.
	Crashes int
	// Evidence is how many engines it has ended, by what is known of all else that
	// ran there and of all other engines that ended then.
	Evidence float64
	// Blocked: it must reach no engine before Until.
	Blocked bool
	Until   time.Time
}

// Verdict judges a content. One under which fewer engines ended than are needed to block
// it costs two look-ups.
func (l *Ledger) Verdict(content Digest, now time.Time) Verdict {
	record := l.contents[content]
	if record == nil {
		return Verdict{}
	}
	verdict := Verdict{Crashes: record.counted(), Until: record.newest.Add(l.config.KeepFor)}
	if float64(verdict.Crashes) < l.config.CrashesToBlock || !now.Before(verdict.Until) {
		return verdict
	}
	strength := l.strength(content)
	for engine, known := range record.marks {
		if !known.excused && l.leads(content, strength, engine) {
			verdict.Evidence += l.weight(content, engine)
		}
	}
	verdict.Blocked = verdict.Evidence >= l.config.CrashesToBlock
	return verdict
}

// strength is the evidence against a content by itself.
func (l *Ledger) strength(content Digest) float64 {
	sum := 0.0
	for engine, known := range l.contents[content].marks {
		if !known.excused {
			sum += l.weight(content, engine)
		}
	}
	return sum
}

// weight is what one engine's end tells against a content: less where several other
// engines ended at the same time without it and for no cause that shows, as when a rack
// loses power.
func (l *Ledger) weight(content Digest, engine uint64) float64 {
	ended := l.engines[engine].at
	without := 0
	for other, known := range l.engines {
		if other != engine && known.at.Sub(ended).Abs() <= l.config.WaveWithin && !known.contents[content] && !l.explained(known) {
			without++
		}
	}
	return 1 / float64(max(without, 1))
}

// explained says whether an engine's end has a cause that shows: a content under which
// other engines ended too.
func (l *Ledger) explained(engine *engineRecord) bool {
	for content := range engine.contents {
		if l.contents[content].counted() >= l.config.CrashesToExplain {
			return true
		}
	}
	return false
}

// leads says whether no other content that ran at an engine is likelier to have ended it.
func (l *Ledger) leads(content Digest, strength float64, engine uint64) bool {
	for other := range l.engines[engine].contents {
		if other == content || l.contents[other].marks[engine].excused {
			continue
		}
		against := l.strength(other)
		if against > strength || (against == strength && strength < l.config.CrashesOfPair) {
			return false
		}
	}
	return true
}

// BlockedContent is a content that must reach no engine.
type BlockedContent struct {
	Content Digest
	Verdict Verdict
	Crashes []Crash
}

// Blocked gives the contents that are blocked, in the order of their digests.
func (l *Ledger) Blocked(now time.Time) []BlockedContent {
	var blocked []BlockedContent
	for content := range l.contents {
		if verdict := l.Verdict(content, now); verdict.Blocked {
			blocked = append(blocked, BlockedContent{Content: content, Verdict: verdict, Crashes: l.Crashes(content, now)})
		}
	}
	slices.SortFunc(blocked, func(a, b BlockedContent) int { return slices.Compare(a.Content[:], b.Content[:]) })
	return blocked
}

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
	// Ordered: an operator has blocked it.
	Ordered bool
}

// Verdict judges a content, by the word of operators and by its crashes.
func (l *Ledger) Verdict(content Digest, now time.Time) Verdict {
	return l.byOrder(content, l.byCrashes(content, now), now)
}

// byCrashes judges a content. One under which fewer engines ended than are needed to block
// it costs two look-ups.
func (l *Ledger) byCrashes(content Digest, now time.Time) Verdict {
	record := l.contents[content]
	if record == nil {
		return Verdict{}
	}
	verdict := Verdict{Crashes: record.counted(), Until: record.newest.Add(l.config.KeepFor)}
	if float64(verdict.Crashes) < l.config.CrashesToBlock || !now.Before(verdict.Until) {
		return verdict
	}
	if l.judged == nil {
		l.judged = newJudgement(l)
	}
	evidence := l.judged.evidence(content)
	verdict.Evidence = float64(evidence) / whole
	verdict.Blocked = evidence >= weightOf(l.config.CrashesToBlock)
	return verdict
}

// BlockedContent is a content that must reach no engine.
type BlockedContent struct {
	Content Digest
	Verdict Verdict
	Crashes []Crash
}

// Blocked gives the contents that are blocked, in the order of their digests.
func (l *Ledger) Blocked(now time.Time) []BlockedContent {
	known := make(map[Digest]bool, len(l.contents))
	for content := range l.contents {
		known[content] = true
	}
	for content := range l.orders {
		known[content] = true
	}
	var blocked []BlockedContent
	for content := range known {
		if verdict := l.Verdict(content, now); verdict.Blocked {
			blocked = append(blocked, BlockedContent{Content: content, Verdict: verdict, Crashes: l.Crashes(content, now)})
		}
	}
	slices.SortFunc(blocked, func(a, b BlockedContent) int { return slices.Compare(a.Content[:], b.Content[:]) })
	return blocked
}

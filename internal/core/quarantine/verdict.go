package quarantine

import (
	"slices"
	"time"
)

// Verdict states whether a content is blocked, and why.
type Verdict struct {
	// Crashes is the number of engines that ended while they ran the content, without
	// excused crashes.
	Crashes int
	// Evidence is the estimated number of engines that the content has crashed. It takes into
	// account what else ran there and which other engines ended at the same time.
	Evidence float64
	// Blocked is true when the content must be sent to no engine before Until.
	Blocked bool
	Until   time.Time
	// Ordered is true when an operator has blocked the content.
	Ordered bool
}

// Verdict returns the verdict on a content, from its crashes and from operators' orders.
func (l *Ledger) Verdict(content Digest, now time.Time) Verdict {
	if l.judgesParts(content) {
		return l.parts.applyOrder(content, l.parts.verdict(content, now), now)
	}
	return l.applyOrder(content, l.crashVerdict(content, now), now)
}

// crashVerdict returns the verdict on a content from its crashes. A content with fewer crashes
// than CrashesToBlock costs two lookups.
func (l *Ledger) crashVerdict(content Digest, now time.Time) Verdict {
	record := l.contents[content]
	if record == nil {
		return Verdict{}
	}
	verdict := Verdict{Crashes: record.unexcusedCrashes(), Until: record.newest.Add(l.config.Retention)}
	if content.IsItem() || float64(verdict.Crashes) < l.config.CrashesToBlock || !now.Before(verdict.Until) {
		return verdict
	}
	if l.evaluated == nil {
		l.evaluated = newEvaluation(l)
	}
	evidence := l.evaluated.evidence(content)
	verdict.Evidence = float64(evidence) / fullWeight
	verdict.Blocked = evidence >= toWeight(l.config.CrashesToBlock)
	return verdict
}

// BlockedContent is a content that must be sent to no engine.
type BlockedContent struct {
	Content Digest
	Verdict Verdict
	Crashes []Crash
}

// IdentityVerdict returns the verdict on a request: that on its content, unless a part of its prompt
// is blocked and the content is not. It also returns the digest that the verdict is on.
func (l *Ledger) IdentityVerdict(identity Identity, now time.Time) (Verdict, Digest) {
	verdict := l.Verdict(identity.Content, now)
	if verdict.Blocked {
		return verdict, identity.Content
	}
	for _, part := range identity.Parts {
		if ofPart := l.Verdict(part, now); ofPart.Blocked {
			return ofPart, part
		}
	}
	return verdict, identity.Content
}

// SuspectPart returns the part of a request whose next runs show whether it crashes engines, and the
// number of engines that it may have crashed. It returns false if there is none.
func (l *Ledger) SuspectPart(identity Identity, now time.Time) (part Digest, crashes int, found bool) {
	for _, candidate := range identity.Parts {
		if count, suspected := l.parts.suspect(candidate, now); suspected && count > crashes {
			part, crashes, found = candidate, count, true
		}
	}
	return part, crashes, found
}

// blockedParts returns the parts that are blocked, in unspecified order.
func (l *Ledger) blockedParts(now time.Time) []BlockedContent {
	known := make(map[Digest]bool)
	for part := range l.parts.Ledger.contents {
		known[part] = true
	}
	for part := range l.parts.orders {
		known[part] = true
	}
	var blocked []BlockedContent
	for part := range known {
		if verdict := l.Verdict(part, now); verdict.Blocked {
			blocked = append(blocked, BlockedContent{Content: part, Verdict: verdict, Crashes: l.Crashes(part, now)})
		}
	}
	return blocked
}

// Blocked returns the contents and parts that are blocked, ordered by digest.
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
	if l.parts != nil {
		blocked = append(blocked, l.blockedParts(now)...)
	}
	slices.SortFunc(blocked, func(a, b BlockedContent) int { return slices.Compare(a.Content[:], b.Content[:]) })
	return blocked
}

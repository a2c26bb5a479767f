package quarantine

import "time"

// Items of jobs are no requests that crash engines: engines that end while they run one end for another
// reason, and the item is still owed. Crashes under an item are recorded under a digest of its own. They
// set how long the item pauses and tell which engines ended together. They never block anything.

// itemMark begins the digests of items. No digest of a content or part begins with it.
var itemMark = [...]byte{0x49, 0x54, 0x45, 0x4d}

// Item returns the digest under which crashes under an item with this content are recorded.
func (d Digest) Item() Digest {
	copy(d[:], itemMark[:])
	return d
}

// IsItem reports whether the digest is that of an item.
func (d Digest) IsItem() bool { return [len(itemMark)]byte(d[:]) == itemMark }

// Pauses of an item between the end of an engine that ran it and its next run, by the number of engines.
const (
	firstItemPause  = 50 * time.Millisecond
	secondItemPause = 500 * time.Millisecond
	// MaxItemPause bounds the pause, so that an item is placed within this time once engines no longer end.
	MaxItemPause = 4 * time.Second
)

// ItemPause returns how long an item pauses after the last of a number of engines has ended under it.
func ItemPause(crashes int) time.Duration {
	if crashes <= 1 {
		return firstItemPause
	}
	pause := secondItemPause
	for range crashes - 2 {
		if pause >= MaxItemPause {
			break
		}
		pause *= 2
	}
	return min(pause, MaxItemPause)
}

// ItemCrashes returns how many engines have ended under items with a content since one of them was
// complete, and when the last one did.
func (l *Ledger) ItemCrashes(content Digest) (crashes int, last time.Time) {
	record := l.contents[content.Item()]
	if record == nil {
		return 0, time.Time{}
	}
	for engine, known := range record.crashes {
		if known.excused {
			continue
		}
		crashes++
		if at := l.engines[engine].endedAt; at.After(last) {
			last = at
		}
	}
	return crashes, last
}

// OrderVerdict returns the verdict of operators alone on a request, and the digest of the content or part
// that it is on.
func (l *Ledger) OrderVerdict(identity Identity, now time.Time) (Verdict, Digest) {
	for _, digest := range identity.Digests() {
		ledger := l
		if l.judgesParts(digest) {
			ledger = l.parts.Ledger
		}
		if verdict := ledger.applyOrder(digest, Verdict{}, now); verdict.Blocked {
			return verdict, digest
		}
	}
	return Verdict{}, identity.Content
}

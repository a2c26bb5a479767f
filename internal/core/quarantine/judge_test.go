package quarantine

import "time"

// detector decides whether a node may send a content to an engine.
type detector interface {
	recordCrash(crash Crash, own bool, now time.Time)
	recordSuccess(content Digest, now time.Time) []Crash
	allows(content Digest, now time.Time) bool
	crashCount(content Digest, now time.Time) int
}

// ledgerDetector is the detector under test: a Ledger.
type ledgerDetector struct{ *Ledger }

func (j ledgerDetector) recordCrash(crash Crash, _ bool, now time.Time) { j.RecordCrash(crash, now) }

func (j ledgerDetector) recordSuccess(content Digest, now time.Time) []Crash {
	return j.Excuse(content, now)
}

func (j ledgerDetector) allows(content Digest, now time.Time) bool {
	return !j.Verdict(content, now).Blocked
}

func (j ledgerDetector) crashCount(content Digest, now time.Time) int {
	return j.Verdict(content, now).Crashes
}

// countDetector is the reference model. It counts the engines that crashed while they ran a
// content: all of them, or only those that this node observed itself.
type countDetector struct {
	ownOnly bool
	engines map[Digest]map[uint64]bool
}

func (j countDetector) recordCrash(crash Crash, own bool, _ time.Time) {
	if j.ownOnly && !own {
		return
	}
	if j.engines[crash.Content] == nil {
		j.engines[crash.Content] = make(map[uint64]bool)
	}
	j.engines[crash.Content][crash.Engine] = true
}

func (j countDetector) recordSuccess(Digest, time.Time) []Crash { return nil }

func (j countDetector) allows(content Digest, _ time.Time) bool { return len(j.engines[content]) < 3 }

func (j countDetector) crashCount(content Digest, _ time.Time) int { return len(j.engines[content]) }

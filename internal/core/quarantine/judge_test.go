package quarantine

import "time"

// judge is what decides whether a node may send a content to an engine.
type judge interface {
	crashed(crash Crash, own bool, now time.Time)
	served(content Digest, now time.Time) []Crash
	mayRun(content Digest, now time.Time) bool
	crashes(content Digest, now time.Time) int
}

// ledgerJudge is the package itself.
type ledgerJudge struct{ *Ledger }

func (j ledgerJudge) crashed(crash Crash, _ bool, now time.Time) { j.Note(crash, now) }

func (j ledgerJudge) served(content Digest, now time.Time) []Crash { return j.Excuse(content, now) }

func (j ledgerJudge) mayRun(content Digest, now time.Time) bool {
	return !j.Verdict(content, now).Blocked
}

func (j ledgerJudge) crashes(content Digest, now time.Time) int {
	return j.Verdict(content, now).Crashes
}

// countJudge is the naive twin: it counts the engines that ended under a content, all of
// them or only those that this node saw itself.
type countJudge struct {
	ownOnly bool
	engines map[Digest]map[uint64]bool
}

func (j countJudge) crashed(crash Crash, own bool, _ time.Time) {
	if j.ownOnly && !own {
		return
	}
	if j.engines[crash.Content] == nil {
		j.engines[crash.Content] = make(map[uint64]bool)
	}
	j.engines[crash.Content][crash.Engine] = true
}

func (j countJudge) served(Digest, time.Time) []Crash { return nil }

func (j countJudge) mayRun(content Digest, _ time.Time) bool { return len(j.engines[content]) < 3 }

func (j countJudge) crashes(content Digest, _ time.Time) int { return len(j.engines[content]) }

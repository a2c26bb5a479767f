package enginespeed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
)

// Review implements grant.EngineSpeeds.
func (t *Tracker) Review(now time.Time) []grant.SpeedChange {
	for of := range kinds {
		t.updateReference(of, now)
	}
	var changes []grant.SpeedChange
	for id, known := range t.engines {
		if t.reviewEngine(known, now) {
			changes = append(changes, changeOf(id, known, now))
		}
		if !known.isSlow() {
			known.slowSince, known.grants = time.Time{}, 0
		}
	}
	slices.SortFunc(changes, func(a, b grant.SpeedChange) int { return cmp.Compare(a.Engine.ID, b.Engine.ID) })
	return changes
}

// updateReference drops old observations of a kind and updates its median over the engines. Of
// an even number of engines the faster half counts.
func (t *Tracker) updateReference(of kind, now time.Time) {
	newest, all := make([]float64, 0, len(t.engines)), make([]float64, 0, len(t.engines))
	node, several := "", false
	for _, known := range t.engines {
		seen := &known.evidence[of]
		if seen.dropOld(now); len(seen.recent) == 0 {
			continue
		}
		latest := seen.newest()
		all = append(all, latest.ratio)
		if now.Sub(latest.at) <= referenceAge {
			newest = append(newest, latest.ratio)
		}
		several = several || (node != "" && latest.node != node)
		node = latest.node
	}
	if of == ofFirstTokens {
		t.severalNodes = several
	}
	if len(newest) < minReferences {
		newest = all
	}
	t.reference[of] = 0
	if len(newest) > 0 {
		slices.Sort(newest)
		t.reference[of] = newest[(len(newest)-1)/2]
	}
}

// dropOld drops the observations that no longer count. They are in the order of their times.
func (e *evidence) dropOld(now time.Time) {
	old := 0
	for old < len(e.recent) && now.Sub(e.recent[old].at) > observationAge {
		old++
	}
	e.recent = slices.Delete(e.recent, 0, old)
}

// reviewEngine decides whether an engine is slow. It reports whether that has changed.
func (t *Tracker) reviewEngine(e *engine, now time.Time) bool {
	before := e.slowness() > 0
	good, fresh := false, false
	for of := range kinds {
		known := &e.evidence[of]
		if known.slowness > 0 {
			trailing := t.trailingGood(of, known)
			good = good || (known.fresh && trailing > 0)
			if trailing >= forgiving {
				known.slowness = 0
			} else if known.fresh && trailing == 0 {
				known.slowness = t.slownessOf(of, known)
			}
		} else if t.agreeSlow(of, known) {
			known.slowness = t.slownessOf(of, known)
		}
		fresh = fresh || known.fresh
		known.fresh = false
	}
	if e.slowness() == 0 {
		return before
	}
	if !before {
		e.slowSince, e.grants = now, 0
		return true
	}
	return t.reviewSlow(e, good, fresh, now)
}

// reviewSlow decides how many requests may use a slow engine as if it were not slow. Good and
// fresh report that observations have come since the last review, and some that are not slow.
// It reports whether the engine is no longer slow, as it has given no observation for long.
func (t *Tracker) reviewSlow(e *engine, good, fresh bool, now time.Time) bool {
	quiet := now.Sub(e.latest())
	switch {
	case quiet >= forgetAfter:
		for of := range kinds {
			e.evidence[of].slowness = 0
		}
		return true
	case good:
		e.grants = recoveryGrants
	case fresh:
		e.grants = 0
	case quiet >= probeAfter:
		e.grants = 1
	}
	return false
}

// latest returns when the engine last gave an observation or was probed.
func (e *engine) latest() time.Time {
	latest := e.slowSince
	if e.probedAt.After(latest) {
		latest = e.probedAt
	}
	for of := range kinds {
		if known := &e.evidence[of]; len(known.recent) > 0 && known.newest().at.After(latest) {
			latest = known.newest().at
		}
	}
	return latest
}

// observations returns the number of observations of the engine that are kept.
func (e *engine) observations() int {
	count := 0
	for of := range kinds {
		count += len(e.evidence[of].recent)
	}
	return count
}

// agreeSlow reports whether enough observations are slow, one after the other. Those of one node
// alone count less, since they may be of one request. Its first tokens do not suffice at all
// where several nodes observe the lane, since the node may be slow itself.
func (t *Tracker) agreeSlow(of kind, e *evidence) bool {
	slow, sameNode := 0, true
	since := time.Time{}
	for i := len(e.recent) - 1; i >= 0 && t.slow(of, e.recent[i]); i-- {
		if slow++; slow == 1 || e.recent[i].since.Before(since) {
			since = e.recent[i].since
		}
		sameNode = sameNode && e.recent[i].node == e.newest().node
		enough := slow >= agreeingOfOne && (of != ofFirstTokens || !t.severalNodes) || slow >= agreeing && !sameNode
		longEnough := slow == maxObservations || e.newest().at.Sub(since) >= agreeingFor
		if enough && longEnough {
			return true
		}
	}
	return false
}

// trailingGood returns the number of the newest observations that are not slow.
func (t *Tracker) trailingGood(of kind, e *evidence) int {
	good := 0
	for i := len(e.recent) - 1; i >= 0 && !t.slow(of, e.recent[i]); i-- {
		good++
	}
	return good
}

// slownessOf returns the slowness of an engine by its last observations of a kind.
func (t *Tracker) slownessOf(of kind, e *evidence) float64 {
	return min(max(t.ratioOf(of, e), slowFrom[of]), maxSlowness)
}

// ratioOf returns the median ratio of an engine's last observations of a kind to those of the
// lane's other engines.
func (t *Tracker) ratioOf(of kind, e *evidence) float64 {
	ratios := make([]float64, 0, agreeing)
	for _, seen := range e.recent[max(len(e.recent)-agreeing, 0):] {
		ratios = append(ratios, seen.ratio)
	}
	slices.Sort(ratios)
	return math.Exp(ratios[(len(ratios)-1)/2] - t.reference[of])
}

// changeOf returns what an operator is told of an engine whose speed has changed.
func changeOf(id enginechoice.Incarnation, e *engine, now time.Time) grant.SpeedChange {
	change := grant.SpeedChange{Engine: id, Slowness: max(e.slowness(), 1), Observations: e.observations(), SlowFor: now.Sub(e.slowSince)}
	for of := range kinds {
		if known := &e.evidence[of]; len(known.recent) > 0 {
			newest, oldest := now.Sub(known.newest().at), now.Sub(known.recent[0].at)
			if change.Oldest == 0 || newest < change.Newest {
				change.Newest = newest
			}
			change.Oldest = max(change.Oldest, oldest)
		}
	}
	return change
}

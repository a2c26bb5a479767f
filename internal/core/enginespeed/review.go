package enginespeed

import (
	"math"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
)

// Review implements grant.EngineSpeeds.
func (t *Tracker) Review(now time.Time) []grant.SpeedChange {
	t.updateReference(now)
	var changes []grant.SpeedChange
	for id, known := range t.engines {
		if known.isSlow() {
			changes = t.reviewSlow(changes, id, known, now)
		} else if t.agreeSlow(known) {
			known.slowSince, known.slowness, known.grants = now, t.slownessOf(known), 0
			changes = append(changes, t.change(id, known, now))
		}
		known.fresh = false
		if len(known.recent) == 0 && !known.isSlow() {
			delete(t.engines, id)
		}
	}
	return changes
}

// updateReference drops old observations and updates the median over the engines. Of an even
// number of engines the faster half counts.
func (t *Tracker) updateReference(now time.Time) {
	newest := make([]float64, 0, len(t.engines))
	node := ""
	t.severalNodes = false
	for _, known := range t.engines {
		known.recent = slices.DeleteFunc(known.recent, func(seen observation) bool { return now.Sub(seen.at) > observationAge })
		if len(known.recent) == 0 {
			continue
		}
		newest = append(newest, known.newest().ratio)
		if node == "" {
			node = known.newest().node
		} else if other := known.newest().node; other != "" && other != node {
			t.severalNodes = true
		}
	}
	t.reference = 0
	if len(newest) > 0 {
		slices.Sort(newest)
		t.reference = newest[(len(newest)-1)/2]
	}
}

// agreeSlow reports whether enough observations are slow, one after the other. Where several
// nodes observe the lane's engines, one node alone does not suffice, since it may be slow itself.
func (t *Tracker) agreeSlow(e *engine) bool {
	latest := e.agreeing()
	sameNode := len(latest) > 0 && latest[0].node != ""
	for _, seen := range latest {
		if !t.slow(seen.ratio) {
			return false
		}
		sameNode = sameNode && seen.node == latest[0].node
	}
	return len(latest) > 0 && (!sameNode || !t.severalNodes)
}

// agreeing returns the last observations that must agree; none if there are too few.
func (e *engine) agreeing() []observation {
	for first := len(e.recent) - agreeing; first >= 0; first-- {
		if len(e.recent)-first == maxObservations || e.newest().at.Sub(e.recent[first].at) >= agreeingFor {
			return e.recent[first:]
		}
	}
	return nil
}

// reviewSlow updates an engine that is slow. It appends a change if the engine no longer is.
func (t *Tracker) reviewSlow(changes []grant.SpeedChange, id enginechoice.Incarnation, e *engine, now time.Time) []grant.SpeedChange {
	latest := e.probedAt
	if len(e.recent) > 0 && e.newest().at.After(latest) {
		latest = e.newest().at
	}
	if latest.Before(e.slowSince) {
		latest = e.slowSince
	}
	good := t.trailingGood(e)
	switch {
	case good >= forgiving || now.Sub(latest) >= forgetAfter:
		e.slowness = 0
		changes = append(changes, t.change(id, e, now))
		e.slowSince, e.grants = time.Time{}, 0
	case e.fresh && good > 0:
		e.grants = recoveryGrants
	case e.fresh:
		e.slowness, e.grants = t.slownessOf(e), 0
	case now.Sub(latest) >= probeAfter:
		e.grants = 1
	}
	return changes
}

// trailingGood returns the number of the newest observations that are not slow.
func (t *Tracker) trailingGood(e *engine) int {
	good := 0
	for i := len(e.recent) - 1; i >= 0 && !t.slow(e.recent[i].ratio); i-- {
		good++
	}
	return good
}

// slownessOf returns the slowness of an engine by its last observations.
func (t *Tracker) slownessOf(e *engine) float64 {
	ratios := make([]float64, 0, agreeing)
	for _, seen := range e.recent[max(len(e.recent)-agreeing, 0):] {
		ratios = append(ratios, seen.ratio)
	}
	slices.Sort(ratios)
	return min(max(math.Exp(ratios[(len(ratios)-1)/2]-t.reference), slowFrom), maxSlowness)
}

// change returns what an operator is told of an engine whose speed has changed.
func (t *Tracker) change(id enginechoice.Incarnation, e *engine, now time.Time) grant.SpeedChange {
	change := grant.SpeedChange{Engine: id, Slowness: max(e.slowness, 1), Observations: len(e.recent), SlowFor: now.Sub(e.slowSince)}
	if len(e.recent) > 0 {
		change.Newest, change.Oldest = now.Sub(e.newest().at), now.Sub(e.recent[0].at)
	}
	return change
}

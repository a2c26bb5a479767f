// Package enginespeed learns how long work takes at each engine of a lane, relative to the
// lane's other engines. It answers engines that work several times slower for some seconds
// while slots at engines of the usual speed are free.
//
// An observation is the time that a request took to its first token, the pace of its events,
// a request that has waited unusually long for its first token, or the engine's own figure. Each
// is compared with what work of that size takes at an engine that full, and then with the
// median over the lane's engines, so that a lane whose engines all become slower has no slow
// engine. Health checks are no observations.
//
// The package does no I/O, and the time is an argument. A Tracker is not safe for concurrent
// use.
package enginespeed

import (
	"math"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
)

const (
	// agreeing is the number of observations that must be slow, one after the other, before
	// an engine is taken for slow. A request that stalls is one of them.
	agreeing = 4
	// agreeingOfOne is the same if all of them are of one node, and so may be of one request.
	agreeingOfOne = 8
	// agreeingFor is the time that these observations must span at least. Observations of the
	// same moment may have one cause, such as a long prompt.
	agreeingFor = 300 * time.Millisecond
	// maxObservations bounds the observations of one kind that are kept. So many agree
	// whatever time they span.
	maxObservations = 16
	// forgiving is the number of observations that must not be slow, one after the other,
	// before an engine is used as usual again.
	forgiving = 2
	// observationAge is how long an observation counts.
	observationAge = 4 * time.Second
	// referenceAge is how long an observation counts for the median over the engines, while
	// enough engines have newer ones. Engines without work would hold it back otherwise.
	referenceAge = time.Second
	// minReferences is the number of engines with such observations that is enough.
	minReferences = 3
	// probeAfter is how long a slow engine has given no observation when one request may use
	// it as if it were not slow.
	probeAfter = time.Second
	// recoveryGrants is the number of requests that may use an engine after its first
	// observation that is not slow, so that a lane's requests do not all go there at once.
	recoveryGrants = 2
	// forgetAfter is how long a slow engine has given no observation when it counts as usual.
	forgetAfter = 30 * time.Second
	// maxSlowness bounds what a few stalled requests can make of an engine.
	maxSlowness = 16
)

// slowFrom is the ratio to the usual time from which an observation of a kind is slow. Smaller
// differences cost a request less than a wait for another engine. The time to a first token also
// depends on the prompts of other requests, most of all in a burst.
var slowFrom = [kinds]float64{ofFirstTokens: 3, ofPaces: 1.75, ofLoads: 1.75}

// kind is a kind of observations. Each is compared only with those of the same kind: the time
// to a first token includes delays that do not depend on the engine's speed, so its ratio is
// smaller than that of a pace.
type kind int

const (
	ofFirstTokens kind = iota
	ofPaces
	ofLoads
	kinds
)

// observation is the time that some work took.
type observation struct {
	key  grant.RequestKey // observations of the same request replace each other; zero: none
	node string           // which node observed it
	at   time.Time
	// since is when the first of the observations that replaced each other was made.
	since time.Time
	// ratio is the natural logarithm of the time, without the difference that its size and how
	// full the engine is make; only its distance from other engines' counts.
	ratio float64
	// reference is the median over the engines when it was made.
	reference float64
	seconds   float64 // the observed time
}

// evidence is what the observations of one kind tell about an engine.
type evidence struct {
	recent   []observation // the last ones, oldest first; at most maxObservations
	fresh    bool          // recent has changed since the last review
	slowness float64       // 0: the usual speed
	level    level         // while it has the usual speed
}

// pace returns the time between two events by the last paces; 0 if there are none.
func (e *engine) pace() time.Duration {
	recent := e.evidence[ofPaces].recent
	if len(recent) == 0 {
		return 0
	}
	seconds := 0.0
	for _, seen := range recent[max(len(recent)-agreeing, 0):] {
		seconds += seen.seconds
	}
	return time.Duration(seconds / float64(min(len(recent), agreeing)) * float64(time.Second))
}

// newest returns the last observation.
func (e *evidence) newest() observation { return e.recent[len(e.recent)-1] }

// engine is what a Tracker knows about one engine.
type engine struct {
	evidence  [kinds]evidence
	slowSince time.Time // zero: the engine has the usual speed
	grants    int       // requests that may use it as if it were not slow
	probedAt  time.Time // when one of them was granted
}

func (e *engine) isSlow() bool { return e.slowness() > 0 }

// slowness returns the largest slowness that the observations of a kind tell; 0 if the engine
// has the usual speed.
func (e *engine) slowness() float64 {
	slowness := 0.0
	for i := range e.evidence {
		slowness = max(slowness, e.evidence[i].slowness)
	}
	return slowness
}

// Tracker learns the speeds of the engines of one lane. It implements grant.EngineSpeeds.
type Tracker struct {
	usual   usual
	engines map[enginechoice.Incarnation]*engine
	// reference is, for each kind, the median over the engines of the ratio of their newest
	// observation.
	reference [kinds]float64
	// severalNodes reports that more than one node observes first tokens of the lane's engines.
	severalNodes bool
}

var _ grant.EngineSpeeds = (*Tracker)(nil)

// New returns a tracker that takes all engines for equally fast.
func New() *Tracker {
	return &Tracker{engines: make(map[enginechoice.Incarnation]*engine)}
}

// ObserveFirstToken implements grant.EngineSpeeds. A request at an engine without a free slot
// may have waited there, so its time tells nothing.
func (t *Tracker) ObserveFirstToken(id enginechoice.Incarnation, first grant.FirstToken, at grant.Observed) {
	if at.Fullness <= 1 {
		t.observe(id, ofFirstTokens, &t.usual.firstTokens[sizeClass(first.PrefillTokens)], logSeconds(first.Elapsed.Seconds()), at)
	}
}

// ObservePace implements grant.EngineSpeeds.
func (t *Tracker) ObservePace(id enginechoice.Incarnation, pace grant.Pace, at grant.Observed) {
	if pace.Events > 0 {
		t.observe(id, ofPaces, &t.usual.paces, logSeconds(pace.Elapsed.Seconds()/float64(pace.Events)), at)
	}
}

// ObserveLoad implements grant.EngineSpeeds. The engine's own figure counts as one observation.
func (t *Tracker) ObserveLoad(id enginechoice.Incarnation, load grant.Load, at grant.Observed) {
	if load.WorkPercent > 0 {
		t.add(id, ofLoads, observation{node: at.Node, at: at.At, ratio: math.Log(float64(load.WorkPercent) / usualPercent)})
	}
}

// usualPercent is the figure of an engine where work takes as long as usual.
const usualPercent = 100

// ObserveSilence implements grant.EngineSpeeds. The time so far is a lower bound of the time to
// the first token; it counts once it is slow.
func (t *Tracker) ObserveSilence(id enginechoice.Incarnation, request grant.RequestKey, first grant.FirstToken, at grant.Observed) {
	if at.Fullness > 1 {
		return
	}
	difference, known := t.usual.firstTokens[sizeClass(first.PrefillTokens)].difference(fullnessClass(at.Fullness))
	seen := observation{key: request, node: at.Node, at: at.At, ratio: logSeconds(first.Elapsed.Seconds()) - difference, reference: t.reference[ofFirstTokens]}
	if known && t.slow(ofFirstTokens, seen) {
		t.add(id, ofFirstTokens, seen)
	}
}

// observe records the logarithm of a duration. It updates what is usual, unless the engine is slow
// or seems so.
func (t *Tracker) observe(id enginechoice.Incarnation, of kind, work *classes, value float64, at grant.Observed) {
	class := fullnessClass(at.Fullness)
	difference, known := work.difference(class)
	if known {
		t.add(id, of, observation{node: at.Node, at: at.At, ratio: value - difference, seconds: math.Exp(value)})
	}
	found := t.engine(id)
	if t.seemsSlow(found, of) {
		return
	}
	average := &found.evidence[of].level
	if average.samples > 0 {
		work[class].observe(value - average.value)
	}
	average.observe(value - difference)
}

// engine returns what is known about an engine.
func (t *Tracker) engine(id enginechoice.Incarnation) *engine {
	if t.engines[id] == nil {
		t.engines[id] = &engine{}
	}
	return t.engines[id]
}

// seemsSlow reports whether an engine is slow, or half of the observations of a kind that would
// make it so are there.
func (t *Tracker) seemsSlow(e *engine, of kind) bool {
	recent := e.evidence[of].recent
	if e.isSlow() || len(recent) < agreeing/2 {
		return e.isSlow()
	}
	for _, seen := range recent[len(recent)-agreeing/2:] {
		if !t.slow(of, seen) {
			return false
		}
	}
	return true
}

// slow reports whether an observation is slow beside those of the other engines, both when it was
// made and now: when all engines become slower, or faster again, some show it earlier than others.
func (t *Tracker) slow(of kind, seen observation) bool {
	return seen.ratio-max(seen.reference, t.reference[of]) >= math.Log(slowFrom[of])
}

// add adds an observation of an engine.
func (t *Tracker) add(id enginechoice.Incarnation, of kind, seen observation) {
	known := &t.engine(id).evidence[of]
	known.fresh = true
	seen.reference, seen.since = t.reference[of], seen.at
	if seen.key != (grant.RequestKey{}) {
		known.recent = slices.DeleteFunc(known.recent, func(other observation) bool {
			if other.key == seen.key {
				seen.since = other.since
			}
			return other.key == seen.key
		})
	}
	if len(known.recent) == maxObservations {
		known.recent = slices.Delete(known.recent, 0, 1)
	}
	known.recent = append(known.recent, seen)
}

// firstTokenRatio returns the time to a first token at a slow engine relative to the usual; 0 if
// unknown.
func (t *Tracker) firstTokenRatio(e *engine) float64 {
	known := &e.evidence[ofFirstTokens]
	if len(known.recent) == 0 {
		return 0
	}
	return min(max(t.ratioOf(ofFirstTokens, known), 1), maxSlowness)
}

// Granted implements grant.EngineSpeeds.
func (t *Tracker) Granted(id enginechoice.Incarnation, now time.Time) {
	if known := t.engines[id]; known != nil && known.grants > 0 {
		known.grants--
		known.probedAt = now
	}
}

// Remove implements grant.EngineSpeeds.
func (t *Tracker) Remove(id enginechoice.Incarnation) { delete(t.engines, id) }

// Speed implements grant.EngineSpeeds.
func (t *Tracker) Speed(id enginechoice.Incarnation) enginechoice.Speed {
	known := t.engines[id]
	if known == nil || !known.isSlow() {
		return enginechoice.Speed{}
	}
	return enginechoice.Speed{Slowness: known.slowness(), Grants: known.grants, FirstToken: t.firstTokenRatio(known), Pace: known.pace()}
}

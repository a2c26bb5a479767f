package grant

import (
	"maps"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// isolationCrashes is the number of engine crashes from which on a suspected content runs
// isolated from all other suspects. When an engine crashes, all of its requests become
// suspects; running them again on separate engines shows which one causes the crashes.
const isolationCrashes = 2

// maxIsolationWait bounds how long a batch request waits to run isolated. Other suspects may run for longer
// than it has time.
const maxIsolationWait = 2 * time.Second

// trackSuspect records an in-flight request if its content is a suspect.
func (d *Dispatcher) trackSuspect(request *inFlightRequest) {
	if request.suspect.Content != 0 {
		d.suspects[request] = true
	}
}

// pick returns the best engine for an entry. A suspected content runs only once at a time
// in the lane, and apart from other suspects if possible. In the model of package
// quarantine, 22 of 2.19 million innocent requests are refused without this rule, and 1
// with it.
func (d *Dispatcher) pick(entry *queuedAsk, query enginechoice.Query, now time.Time) (enginechoice.Choice, bool) {
	suspect := entry.ask.Suspect
	if suspect.Content != 0 && d.isInFlight(suspect.Content) {
		return enginechoice.Choice{}, false
	}
	avoid := d.enginesToAvoid(suspect)
	if len(avoid) == 0 {
		return d.engines.Pick(query, now)
	}
	isolated := query
	isolated.Exclude = maps.Clone(query.Exclude)
	if isolated.Exclude == nil {
		isolated.Exclude = make(map[enginechoice.Incarnation]bool, len(avoid))
	}
	maps.Copy(isolated.Exclude, avoid)
	choice, found := d.engines.Pick(isolated, now)
	startsNow := found && (entry.ask.Batch || choice.HasSlot())
	if startsNow || (suspect.Crashes >= isolationCrashes && !d.mayRunBesideSuspects(entry, now)) {
		return choice, startsNow
	}
	return d.engines.Pick(query, now)
}

// mayRunBesideSuspects reports whether a suspect that is to run isolated no longer waits for that.
func (d *Dispatcher) mayRunBesideSuspects(entry *queuedAsk, now time.Time) bool {
	return entry.Place || (entry.ask.Batch && now.Sub(entry.Since) >= maxIsolationWait)
}

// isInFlight reports whether a request with the suspected content is in flight.
func (d *Dispatcher) isInFlight(content uint64) bool {
	for request := range d.suspects {
		if request.suspect.Content == content {
			return true
		}
	}
	return false
}

// enginesToAvoid returns the engines that a request should avoid. A suspect avoids engines
// with any other suspect; other requests avoid only engines with a suspect that is to run
// isolated. Batch requests are suspects for themselves only: engines end while they run them,
// but not because of them.
func (d *Dispatcher) enginesToAvoid(suspect Suspect) map[enginechoice.Incarnation]bool {
	if len(d.suspects) == 0 {
		return nil
	}
	avoid := make(map[enginechoice.Incarnation]bool)
	for request := range d.suspects {
		if request.work.Batch {
			continue
		}
		if suspect.Content != 0 || request.suspect.Crashes >= isolationCrashes {
			avoid[request.engine] = true
		}
	}
	return avoid
}

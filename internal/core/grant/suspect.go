package grant

import (
	"maps"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// apartFrom is how many engines have ended under a content before it runs apart from all
// others that any engine ended under: at an engine that ends all requests are suspects,
// and those that run again are to be told apart by what ends with them.
const apartFrom = 2

// noteSuspect keeps a work whose content engines have ended under.
func (d *Dispatcher) noteSuspect(request *work) {
	if request.suspect.Content != 0 {
		d.suspects[request] = true
	}
}

// pick gives the best engine for an entry. A content that engines have ended under runs
// once at a time in the lane, and away from others of its kind where it can; the model of
// package quarantine refuses 22 innocent requests in 2.19 million without this, and 1 with it.
func (d *Dispatcher) pick(entry *waiting, query enginechoice.Query, now time.Time) (enginechoice.Choice, bool) {
	suspect := entry.ask.Suspect
	if suspect.Content != 0 && d.runsNow(suspect.Content) {
		return enginechoice.Choice{}, false
	}
	away := d.away(suspect)
	if len(away) == 0 {
		return d.engines.Pick(query, now)
	}
	apart := query
	apart.Exclude = maps.Clone(query.Exclude)
	if apart.Exclude == nil {
		apart.Exclude = make(map[enginechoice.Incarnation]bool, len(away))
	}
	maps.Copy(apart.Exclude, away)
	choice, found := d.engines.Pick(apart, now)
	free := found && (entry.ask.Batch || choice.HasSlot())
	if free || (suspect.Crashes >= apartFrom && !entry.ask.Place) {
		return choice, free
	}
	return d.engines.Pick(query, now)
}

// runsNow says whether a content that engines have ended under is at an engine.
func (d *Dispatcher) runsNow(content uint64) bool {
	for request := range d.suspects {
		if request.suspect.Content == content {
			return true
		}
	}
	return false
}

// away gives the engines that a request is to be kept away from: a suspect from those with
// any other, and all others from those with one that is to run apart.
func (d *Dispatcher) away(suspect Suspect) map[enginechoice.Incarnation]bool {
	if len(d.suspects) == 0 {
		return nil
	}
	away := make(map[enginechoice.Incarnation]bool)
	for request := range d.suspects {
		if suspect.Content != 0 || request.suspect.Crashes >= apartFrom {
			away[request.engine] = true
		}
	}
	return away
}

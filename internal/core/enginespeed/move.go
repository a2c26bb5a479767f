package enginespeed

import (
	"math"
	"time"
)

// UsualTimes estimates how long requests of one kind usually take at engines of the usual speed,
// as one node sees it, and how many events they have. The zero value knows nothing.
type UsualTimes struct {
	firstEvent, pace, events median
}

// minUsualSamples is the number of observations from which a node uses a median. A node sees
// only its own requests.
const minUsualSamples = 3

// ObserveFirstEvent records the time from the start of an attempt to its first event.
func (u *UsualTimes) ObserveFirstEvent(elapsed time.Duration) {
	u.firstEvent.observe(logSeconds(elapsed.Seconds()))
}

// ObservePace records the time that events of an attempt took.
func (u *UsualTimes) ObservePace(events int, elapsed time.Duration) {
	if events > 0 {
		u.pace.observe(logSeconds(elapsed.Seconds() / float64(events)))
	}
}

// ObserveEnd records the number of events of a complete request.
func (u *UsualTimes) ObserveEnd(events int) { u.events.observe(math.Log(float64(max(events, 1)))) }

// Events returns the usual number of events of a request; 0 if unknown.
func (u *UsualTimes) Events() int {
	if u.events.samples < minUsualSamples {
		return 0
	}
	return int(math.Round(math.Exp(u.events.value)))
}

// FirstEvent returns the usual time to the first event; 0 if unknown.
func (u *UsualTimes) FirstEvent() time.Duration { return u.firstEvent.duration() }

// Pace returns the usual time between two events; 0 if unknown.
func (u *UsualTimes) Pace() time.Duration { return u.pace.duration() }

// Unusual reports whether a time between two events is so long that a single cause other than a
// slow engine is unlikely; false if the usual pace is unknown.
func (u *UsualTimes) Unusual(pace time.Duration) bool {
	usual := u.Pace()
	return usual > 0 && pace >= unusualFactor*usual
}

// duration returns the median; 0 while there are too few observations.
func (m *median) duration() time.Duration {
	if m.samples < minUsualSamples {
		return 0
	}
	return time.Duration(math.Exp(m.value) * float64(time.Second))
}

// Attempt is a request at an engine, for the decision to move it to another one. Moving costs
// one of the request's attempts, and the other engine computes the prompt again.
type Attempt struct {
	// MayMove reports that the route allows another attempt.
	MayMove bool
	// SpareAttempt reports that after a move the route still allows an attempt, for a failure.
	SpareAttempt bool
	// FreeElsewhere reports that another engine that may take the request is expected to have a
	// free slot.
	FreeElsewhere bool
	// EngineSlow reports that the engine is known to be slow.
	EngineSlow bool
	// PauseMissed reports that a pause has been longer than the objective.
	PauseMissed bool
	// Started reports that the request has had an event, at this engine or an earlier one.
	Started bool
	// Waited is the time from the request's arrival to the start of the attempt.
	Waited time.Duration
	// Objective is the route's objective for the time from the request's arrival to its first
	// event, and PauseObjective the one for the time between two events; 0 if there is none.
	Objective, PauseObjective time.Duration
	// Slowness is the time that work takes at the engine, relative to the usual time.
	Slowness float64
	// FirstEvent and Pace are the usual times; 0 if unknown.
	FirstEvent, Pace time.Duration
}

// Limits of the time that an engine may send nothing. A request that may move does so then.
const (
	minSilence             = 700 * time.Millisecond
	silenceObjectiveFactor = 4 // multiple of the first-event objective, before the first event
	silencePauseFactor     = 3 // multiple of the pause objective, between events
	// unusualFactor is the multiple of the expected time from which a silence is unusual.
	unusualFactor = 3
	// moveFactor is the multiple of the usual time to the first event that a request is given
	// at the engine to which it moves.
	moveFactor = 2
)

// SilenceLimit returns how long the engine may send nothing, from the start of the attempt or
// from the last event, before the request is moved; 0 if it is not. A request moves while the
// next event can still be in time elsewhere, if the silence is unusual even for this engine
// and other engines have free slots; otherwise after a few times its objective.
func (a Attempt) SilenceLimit() time.Duration {
	if !a.MayMove {
		return 0
	}
	objective, expected := a.Objective-a.Waited, a.FirstEvent
	latest := max(minSilence, silenceObjectiveFactor*a.Objective)
	if a.Started {
		objective, expected = a.PauseObjective, a.Pace
		latest = max(minSilence, silencePauseFactor*a.PauseObjective)
	}
	if !a.SpareAttempt || !a.FreeElsewhere || a.FirstEvent == 0 || expected == 0 {
		return latest
	}
	inTime := objective - moveFactor*a.FirstEvent
	unusual := time.Duration(unusualFactor * max(a.Slowness, 1) * float64(expected))
	if inTime < unusual {
		return latest
	}
	return min(inTime, latest)
}

// MissesObjective reports whether a request with some events left should move after an event,
// since by the pace seen at its engine its pauses are about to exceed their objective, or it will
// not end in the time left, and at another engine neither is expected. Events is 0 if unknown.
// Without a spare attempt it moves only if it would certainly not end in time.
func (a Attempt) MissesObjective(events int, pace, left time.Duration) bool {
	if !a.MayMove || !a.FreeElsewhere || !a.EngineSlow || events <= 0 {
		return false
	}
	if a.FirstEvent == 0 || a.Pace == 0 || pace < minGain*a.Pace {
		return false
	}
	move := moveFactor * a.FirstEvent
	pausesLong := a.PauseObjective > 0 && pace*pauseMarginPercent/100 > a.PauseObjective && move < a.PauseObjective
	here, elsewhere := time.Duration(events)*pace, move+time.Duration(events)*a.Pace
	endsInTime := elsewhere < left/2
	if !a.SpareAttempt {
		return endsInTime && here > certainlyLate*left
	}
	return (pausesLong && !a.PauseMissed) || (endsInTime && here > left)
}

const (
	// minGain is the multiple of the usual pace from which a request moves for its pace.
	minGain = 2
	// certainlyLate is the multiple of the time left that the rest of a request must take to
	// be certainly late: its number of events is an estimate.
	certainlyLate = 2
	// pauseMarginPercent is the longest pause to expect, as a percentage of the mean pace.
	pauseMarginPercent = 125
)

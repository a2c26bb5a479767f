package batch

import (
	"sync"
	"time"
)

// forecastWeight is the weight of the newest observation in the moving averages.
// minForecastItems is the number of completed items that must be observed before a forecast.
// minForecastEvents is the minimum number of events of a run that is observed.
const (
	forecastWeight    = 0.15
	minForecastItems  = 4
	minForecastEvents = 10  // shorter runs say little about the pace
	minRemainingShare = 0.1 // lower bound of the remaining events, as a share of an average item
)

// forecast estimates from this node's own runs how long an item takes.
type forecast struct {
	mu              sync.Mutex
	eventsPerItem   float64 // moving average
	secondsPerEvent float64 // moving average at the usual speed, including the wait for the first event
	observedItems   int     // number of completed items observed
}

// observeItem records the number of events of a completed item.
func (f *forecast) observeItem(events int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.observedItems == 0 {
		f.eventsPerItem = float64(events)
	}
	f.observedItems++
	f.eventsPerItem += forecastWeight * (float64(events) - f.eventsPerItem)
}

// observeRun records the duration of a run and the number of its events, at an engine where work
// takes slowness times the usual time; 0 if that is unknown.
func (f *forecast) observeRun(events int, elapsed time.Duration, slowness float64) {
	if events < minForecastEvents {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	gap := elapsed.Seconds() / float64(events) / max(slowness, 1)
	if f.secondsPerEvent == 0 {
		f.secondsPerEvent = gap
	}
	f.secondsPerEvent += forecastWeight * (gap - f.secondsPerEvent)
}

// remaining estimates the remaining run time of an item of which the given number of events is
// kept. It returns zero if too little was observed.
func (f *forecast) remaining(kept int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.observedItems < minForecastItems {
		return 0
	}
	left := max(f.eventsPerItem-float64(kept), f.eventsPerItem*minRemainingShare)
	return time.Duration(left * f.secondsPerEvent * float64(time.Second))
}

// remainingWithMargin is remaining with a safety margin, for items that have yet to start. Slots
// used for items that turn out late are missing for items that could have met their deadline.
func (f *forecast) remainingWithMargin(kept int) time.Duration {
	remaining := f.remaining(kept)
	if remaining == 0 {
		return 0
	}
	return remaining*marginPercent/100 + marginTime
}

const (
	marginPercent = 125 // of the estimate
	marginTime    = time.Second
)

// minSlowerPace is the multiple of the usual time per event from which an item is moved.
const minSlowerPace = 2

// shouldMove reports whether a running item should continue at another engine: it has so much
// time left until its deadline, its engine takes so long for an event, and it will end in time
// only at an engine of the usual speed.
func (f *forecast) shouldMove(kept int, perEvent, left time.Duration) bool {
	usual, elsewhere := f.remaining(kept), f.remainingWithMargin(kept)
	f.mu.Lock()
	defer f.mu.Unlock()
	if usual == 0 || f.secondsPerEvent == 0 || perEvent.Seconds() < minSlowerPace*f.secondsPerEvent {
		return false
	}
	here := time.Duration(usual.Seconds() * perEvent.Seconds() / f.secondsPerEvent * float64(time.Second))
	return here > left && elsewhere <= left
}

package batch

import (
	"sync"
	"time"
)

// Weights of the newest observation, and how many are needed before anything
// is forecast.
const (
	forecastWeight  = 0.15
	forecastLeast   = 4
	forecastEvents  = 10  // a run of fewer events says little of the pace
	forecastMinimum = 0.1 // of a usual item is left at the least
)

// forecast learns from this node's own runs how long an item takes.
type forecast struct {
	mu     sync.Mutex
	events float64 // of an item, smoothed
	gap    float64 // seconds between two events of a run, its wait included
	items  int     // whole items observed
}

// observeItem takes the number of events of an item that is whole.
func (f *forecast) observeItem(events int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.items == 0 {
		f.events = float64(events)
	}
	f.items++
	f.events += forecastWeight * (float64(events) - f.events)
}

// observeRun takes how long a run took for its events.
func (f *forecast) observeRun(events int, elapsed time.Duration) {
	if events < forecastEvents {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	gap := elapsed.Seconds() / float64(events)
	if f.gap == 0 {
		f.gap = gap
	}
	f.gap += forecastWeight * (gap - f.gap)
}

// remaining estimates how long an item still has to run of which so many
// events are kept; zero when too little is known.
func (f *forecast) remaining(kept int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.items < forecastLeast {
		return 0
	}
	left := max(f.events-float64(kept), f.events*forecastMinimum)
	return time.Duration(left * f.gap * float64(time.Second))
}

// cautious is remaining with a margin, for items that have yet to start: work
// on items that turn out late is lost for those that could have been in time.
func (f *forecast) cautious(kept int) time.Duration {
	remaining := f.remaining(kept)
	if remaining == 0 {
		return 0
	}
	return remaining*cautionShare/100 + cautionTime
}

const (
	cautionShare = 125 // per cent
	cautionTime  = time.Second
)

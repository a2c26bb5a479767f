package routing

import "time"

// historyLength is the number of changes that an InFlight keeps. Older changes are
// assumed to be included in every load report.
const historyLength = 256

// InFlight counts this node's sequences on one engine and keeps the recent
// changes, so that a stale load report can be corrected by the changes after its
// measurement.
type InFlight struct {
	online, batch int
	history       [historyLength]change
	next          int
}

type change struct {
	at            time.Time
	online, batch int
}

// Add records a change of one class at the time now: +1 for a sent sequence, -1
// for an ended one.
func (f *InFlight) Add(now time.Time, class Class, delta int) {
	entry := change{at: now}
	if class == Online {
		f.online += delta
		entry.online = delta
	} else {
		f.batch += delta
		entry.batch = delta
	}
	f.history[f.next] = entry
	f.next = (f.next + 1) % historyLength
}

// Now returns the current counts.
func (f *InFlight) Now() (online, batch int) { return f.online, f.batch }

// At returns the counts at an earlier time, as far as the history reaches back.
func (f *InFlight) At(when time.Time) (online, batch int) {
	online, batch = f.online, f.batch
	for i := range f.history {
		if f.history[i].at.After(when) {
			online -= f.history[i].online
			batch -= f.history[i].batch
		}
	}
	return online, batch
}

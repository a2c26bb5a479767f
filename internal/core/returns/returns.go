// Package returns schedules when refused requests may come back, so that they do not all
// come back at one moment and find that only the first of them can be served. Each refused
// request books a place: a time of its own, at a distance from all other places that the
// caller derives from the rate at which it can serve returning requests. A request that
// comes back when told finds its place kept.
//
// The package answers load beyond a capacity: requests that a lane of engines cannot
// serve in their time, and requests beyond a tenant's limit. It keeps no more places than it
// is configured for, and nothing of requests that have no place. It has no clock, does no
// I/O and takes no locks.
package returns

import (
	"slices"
	"sort"
	"time"
)

// Config bounds a schedule.
type Config struct {
	// MaxPlaces is the largest number of places that are booked at a time.
	MaxPlaces int
	// KeptFor is how long a place is kept for a request that comes late.
	KeptFor time.Duration
}

// place is a time that is booked for a request.
type place struct {
	at  time.Time
	key uint64
}

// Schedule is a schedule of returns. It is not safe for concurrent use.
type Schedule struct {
	config Config
	places []place // by time
	byKey  map[uint64]time.Time
}

// New returns an empty schedule.
func New(config Config) *Schedule {
	return &Schedule{config: config, byKey: make(map[uint64]time.Time)}
}

// Arrival tells how a request that arrives relates to the schedule.
type Arrival uint8

// The kinds of arrivals.
const (
	Unbooked Arrival = iota // it has no place
	Early                   // it comes before its place, which stays booked
	Due                     // it comes when told; its place is used up
)

// Arrive records that a request arrives. A key of 0 has no place.
func (s *Schedule) Arrive(key uint64, now time.Time) Arrival {
	at, booked := s.byKey[key]
	switch {
	case !booked || key == 0 || now.Sub(at) > s.config.KeptFor:
		return Unbooked
	case now.Before(at):
		return Early
	}
	s.remove(key)
	return Due
}

// Book books a place for a request and returns its time: the first from earliest to latest
// that is at least gap from every other place. A request that has a place already gets the
// same one, so that asking again gains nothing. Book returns false if there is no such
// time, if the schedule is full, or if key is 0. Places that are no longer kept must have
// been removed by Expire.
func (s *Schedule) Book(key uint64, earliest, latest time.Time, gap time.Duration) (time.Time, bool) {
	if key == 0 {
		return time.Time{}, false
	}
	if at, booked := s.byKey[key]; booked {
		return at, !at.After(latest)
	}
	if len(s.places) >= s.config.MaxPlaces {
		return time.Time{}, false
	}
	at, index := s.firstFree(earliest, gap)
	if at.After(latest) {
		return time.Time{}, false
	}
	s.places = slices.Insert(s.places, index, place{at: at, key: key})
	s.byKey[key] = at
	return at, true
}

// At returns the time of the place of a request, if it has one.
func (s *Schedule) At(key uint64) (time.Time, bool) {
	at, booked := s.byKey[key]
	return at, booked
}

// firstFree returns the first time from earliest that is at least gap from every place, and
// its index among the places.
func (s *Schedule) firstFree(earliest time.Time, gap time.Duration) (time.Time, int) {
	at := earliest
	first := sort.Search(len(s.places), func(i int) bool { return s.places[i].at.After(earliest.Add(-gap)) })
	for i := first; i < len(s.places); i++ {
		if s.places[i].at.Sub(at) >= gap {
			return at, i
		}
		at = s.places[i].at.Add(gap)
	}
	return at, len(s.places)
}

// Release gives up the place of a request, if it has one. It reports whether it had.
func (s *Schedule) Release(key uint64) bool {
	if _, booked := s.byKey[key]; !booked {
		return false
	}
	s.remove(key)
	return true
}

// remove removes the place of a key that has one.
func (s *Schedule) remove(key uint64) {
	at := s.byKey[key]
	delete(s.byKey, key)
	first := s.firstAfter(at.Add(-1))
	for i := first; i < len(s.places); i++ {
		if s.places[i].key == key {
			s.places = slices.Delete(s.places, i, i+1)
			return
		}
	}
}

// Expire removes the places that are no longer kept. It returns their number.
func (s *Schedule) Expire(now time.Time) int {
	expired := s.firstAfter(now.Add(-s.config.KeptFor - 1))
	for _, missed := range s.places[:expired] {
		delete(s.byKey, missed.key)
	}
	s.places = slices.Delete(s.places, 0, expired)
	return expired
}

// DueBy returns the number of booked places whose time is not after a time.
func (s *Schedule) DueBy(at time.Time) int { return s.firstAfter(at) }

// Len returns the number of booked places.
func (s *Schedule) Len() int { return len(s.places) }

// firstAfter returns the index of the first place after a time.
func (s *Schedule) firstAfter(at time.Time) int {
	return sort.Search(len(s.places), func(i int) bool { return s.places[i].at.After(at) })
}

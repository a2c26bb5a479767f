package enginechoice

import (
	"math"
	"time"
)

// onlinePeak is how many online requests were under way at a pool's engines at most,
// falling slowly from there.
type onlinePeak struct {
	value float64
	at    time.Time // when value was last brought up to date
}

// peakHalfLife is the time in which a peak of online requests counts half: a few
// fluctuations within a burst, and less than the pause between bursts.
const peakHalfLife = 250 * time.Millisecond

// TrackOnline brings the pools' peaks of online requests up to date; called some times
// a second.
func (s *Set) TrackOnline(now time.Time) {
	for pool := range s.pools {
		known := s.peaks[pool]
		fallen := known.value * math.Exp2(-now.Sub(known.at).Seconds()/peakHalfLife.Seconds())
		s.peaks[pool] = onlinePeak{value: max(fallen, float64(s.online(pool))), at: now}
	}
}

func (s *Set) online(pool string) int {
	online := 0
	for _, known := range s.pools[pool] {
		online += known.online()
	}
	return online
}

// BatchRoom gives how many batch requests the engines of a pool may be given so that
// all requests there use no more than some per cent of the slots, and the slots stay
// free that online requests have just left and may come back for. Both are counted over
// the whole pool: an online request goes to whichever engine has a free slot. Room kept
// at each engine by itself left one slot of six unused, and 0.03 of worth (mean of 6
// pairs of days of 72 engines).
func (s *Set) BatchRoom(pool string, percent int, now time.Time) int {
	slots, used := 0, 0
	for _, known := range s.pools[pool] {
		if !known.usable() || now.Before(known.sickUntil) {
			continue
		}
		own := max(known.entry.Slots, 1)
		slots += own
		used += min(known.inFlight(now), own)
	}
	comingBack := max(int(s.peaks[pool].value+0.5)-s.online(pool), 0)
	return max(slots*percent/100-used-comingBack, 0)
}

package enginechoice

import "time"

// paceWeight is the weight of the newest online request in a pool's pace: some
// dozen requests, so a second or less of a busy node's traffic.
const paceWeight = 0.05

// paceLeast is how many requests are observed before their mean is trusted;
// before that, the objective stands for what the engines can do: a request is
// taken to hold its slot for priorService objectives. Without that the first
// requests after a start, when all nodes come back, were never held
// (docs/experiments.md, R4).
const (
	paceLeast    = 20
	priorService = 2
)

// pace is what a pool's engines were seen to do with this node's online
// requests, smoothed.
type pace struct {
	first   time.Duration // until the first token, where a slot was free
	service time.Duration // that a request holds its slot
	seen    int           // requests that service rests on
}

func smooth(known *time.Duration, observed time.Duration) {
	if *known == 0 {
		*known = observed
	}
	*known += time.Duration(paceWeight * float64(observed-*known))
}

// ObserveFirst takes the time from sending an online request to its first
// token, at an engine that was believed to have a free slot.
func (s *Set) ObserveFirst(pool string, elapsed time.Duration) {
	smooth(&s.paceOf(pool).first, elapsed)
}

// ObserveService takes how long a whole online request ran from its first token
// to its end.
func (s *Set) ObserveService(pool string, elapsed time.Duration) {
	known := s.paceOf(pool)
	smooth(&known.service, elapsed)
	known.seen++
}

func (s *Set) paceOf(pool string) *pace {
	if s.paces[pool] == nil {
		s.paces[pool] = &pace{}
	}
	return s.paces[pool]
}

// ExpectedFirstToken estimates the time until the first token of an online
// request that is sent as chosen, with the objective for its first token. Each
// request beyond the engine's slots waits for one of those that run to end.
func (s *Set) ExpectedFirstToken(choice Choice, objective time.Duration) time.Duration {
	known := *s.paceOf(choice.Entry.Pool)
	if known.seen < paceLeast {
		known.service = priorService * objective
	}
	ahead := choice.InFlight - choice.Entry.Slots + 1
	if ahead <= 0 || choice.HasSlot() {
		return known.first
	}
	return known.first + time.Duration(ahead)*(known.first+known.service)/time.Duration(choice.Entry.Slots)
}

// HasSlot says whether the chosen engine is believed to start the request at
// once.
func (c Choice) HasSlot() bool {
	return c.MakeRoom || c.Entry.Slots <= 0 || c.InFlight < c.Entry.Slots
}

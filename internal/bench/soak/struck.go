package soak

import "time"

// The soak notes when a fault last struck what all nodes share, and apart from the others
// when one of the store did: an engine's fault takes no node out of touch. A fault that lasts
// strikes until it is over.

// lastFault is when a fault of the store or of an engine last struck.
func (s *soak) lastFault() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return orNow(s.struck, s.lasting)
}

// lastStoreFault is when a fault of the store last struck.
func (s *soak) lastStoreFault() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return orNow(s.storeStruck, s.storeLasting)
}

// orNow gives when a fault last struck: now, while some last.
func orNow(struck time.Time, lasting int) time.Time {
	if lasting > 0 {
		return time.Now()
	}
	return struck
}

// strike notes a fault of what all nodes share that is over at once.
func (s *soak) strike() { s.shift(0, 0) }

// beginFault notes a fault of engines that lasts until endFault.
func (s *soak) beginFault() { s.shift(1, 0) }

func (s *soak) endFault() { s.shift(-1, 0) }

// beginStoreFault notes a fault of the store that lasts until endStoreFault.
func (s *soak) beginStoreFault() { s.shift(1, 1) }

func (s *soak) endStoreFault() { s.shift(-1, -1) }

func (s *soak) shift(lasting, storeLasting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.struck = now
	s.lasting += lasting
	if storeLasting != 0 {
		s.storeStruck = now
		s.storeLasting += storeLasting
	}
}

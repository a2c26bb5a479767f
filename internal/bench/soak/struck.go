package soak

import "time"

// The soak records when a fault last affected a resource that all nodes share, and separately when
// a fault last affected the store, because an engine's fault does not disturb a node. An active
// fault counts as current until it ends.

// lastFault returns when a fault last affected the store or an engine.
func (s *soak) lastFault() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return nowIfActive(s.sharedFaultAt, s.sharedFaults)
}

// lastStoreFault returns when a fault last affected the store.
func (s *soak) lastStoreFault() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return nowIfActive(s.storeFaultAt, s.storeFaults)
}

// nowIfActive returns the current time while faults are active, and last otherwise.
func nowIfActive(last time.Time, active int) time.Time {
	if active > 0 {
		return time.Now()
	}
	return last
}

// recordFault records an instantaneous fault of a resource that all nodes share.
func (s *soak) recordFault() { s.recordFaultChange(0, 0) }

// beginFault records a fault of engines that lasts until endFault.
func (s *soak) beginFault() { s.recordFaultChange(1, 0) }

func (s *soak) endFault() { s.recordFaultChange(-1, 0) }

// beginStoreFault records a fault of the store that lasts until endStoreFault.
func (s *soak) beginStoreFault() { s.recordFaultChange(1, 1) }

func (s *soak) endStoreFault() { s.recordFaultChange(-1, -1) }

func (s *soak) recordFaultChange(sharedChange, storeChange int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sharedFaultAt = now
	s.sharedFaults += sharedChange
	if storeChange != 0 {
		s.storeFaultAt = now
		s.storeFaults += storeChange
	}
}

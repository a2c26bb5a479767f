// Package health decides from polls and streams whether an engine gets work. An engine
// that does not answer, or accepts work and produces no tokens, is ejected. After a hold
// time it is probed with one request at a time.
package health

import "time"

// State is the health of an engine.
type State uint8

// The states.
const (
	Healthy State = iota
	Ejected       // gets no work
	Probing       // gets one request at a time until one produces a token
)

const (
	failuresToEject = 2
	minHold         = time.Second
	maxHold         = 30 * time.Second
)

// Machine is the state of one engine's health. Its zero value is Healthy.
type Machine struct {
	state     State
	failures  int
	hold      time.Duration
	heldUntil time.Time
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// RecordAnswer records a load report, which shows that the engine answers but not that it
// does its work.
func (m *Machine) RecordAnswer(now time.Time) State {
	m.failures = 0
	if m.state == Ejected && !now.Before(m.heldUntil) {
		m.state = Probing
	}
	return m.state
}

// RecordToken records a token of a stream, which shows that the engine does its work.
func (m *Machine) RecordToken() State {
	m.failures = 0
	if m.state != Ejected {
		m.state = Healthy
		m.hold = 0
	}
	return m.state
}

// Unreachable records a call that got no answer.
func (m *Machine) Unreachable(now time.Time) State {
	m.failures++
	if m.failures >= failuresToEject || m.state == Probing {
		m.eject(now)
	}
	return m.state
}

// RecordTimeout records a stream that produced no token within its timeout.
func (m *Machine) RecordTimeout(now time.Time) State {
	m.eject(now)
	return m.state
}

// eject ejects the engine for the hold time. The hold doubles with each ejection, up
// to maxHold, until a token resets it.
func (m *Machine) eject(now time.Time) {
	if m.state == Ejected && now.Before(m.heldUntil) {
		return
	}
	m.hold = min(max(2*m.hold, minHold), maxHold)
	m.state = Ejected
	m.heldUntil = now.Add(m.hold)
}

// Package lease implements one node's view of the lease on a shard: a state
// machine without I/O or clock.
//
// A shard has one record (Record), which changes only when the holder changes.
// It names the holder's session. A session has one record, which its node
// rewrites to renew the session, however many shards refer to it.
//
// Safety depends only on compare-and-set writes: every write for a shard
// compares the version of the shard's record, and a claim changes that version.
// Time only decides when a claim may be tried. The session of a holder that the
// membership lists as live expires for an observer once the observer has seen
// the same version of its record for the time to live. An observer that cannot
// read the store sees no session expire, so after an outage of the store every
// live holder has a whole time to live in which to renew. The session of a
// holder that is not listed also expires when the renewal time in its record is
// older than the time to live. Clock differences cause an early or late claim,
// never a second writer.
package lease

import (
	"time"

	"ringstream.example/ringstream/internal/core/identity"
)

// Record is the stored state of a shard's lease.
type Record struct {
	// Session is the holder's session; empty when the shard is not held.
	Session string          `json:"session"`
	Node    identity.NodeID `json:"node"`
	// Epoch increases by one with each claim.
	Epoch uint64 `json:"epoch"`
}

// Session is the stored state of a node's session.
type Session struct {
	Node      identity.NodeID `json:"node"`
	RenewedAt time.Time       `json:"renewed_at"`
}

// State is the state of a shard's lease on this node.
type State uint8

// The states.
const (
	Idle    State = iota // not held, not wanted
	Seeking              // wanted, not held
	Held
	Leaving // held, and to be released once its work is flushed
)

// Versioned is a lease record as read from the store.
type Versioned struct {
	Record  Record
	Version uint64
}

// Action is the caller's next step.
type Action uint8

// The actions.
const (
	Nothing     Action = iota
	ReadSession        // read the holder's session record and call SessionRead
	Claim              // commit ClaimRecord, compared on the shard's version and on SessionFence
	AskHolder          // ask the live holder to hand the shard over, then proceed as for ReadSession
	Flush              // stop the shard's work, commit finished results and call Flushed
	Release            // commit ReleaseRecord, compared on the shard's version
)

// Machine is the state machine of one shard's lease on one node.
type Machine struct {
	Node    identity.NodeID
	Session string
	// TimeToLive is how long a session record may stay unchanged.
	TimeToLive time.Duration

	state      State
	lastSeen   Versioned
	holderLive bool
	watched    sessionWatch
}

// sessionWatch records which version of another node's session was seen, and since
// when.
type sessionWatch struct {
	session string
	version uint64
	since   time.Time
}

// State returns the state.
func (m *Machine) State() State { return m.state }

// Lease returns the shard's record as last seen. While Held, its version is the
// fencing token.
func (m *Machine) Lease() Versioned { return m.lastSeen }

// SetWanted sets whether this node should hold the shard.
func (m *Machine) SetWanted(wanted bool) Action {
	switch {
	case wanted && m.state == Idle:
		m.state = Seeking
	case !wanted && m.state == Seeking:
		m.state = Idle
	}
	return Nothing
}

// HandOver starts the release of a held shard.
func (m *Machine) HandOver() Action {
	if m.state != Held {
		return Nothing
	}
	m.state = Leaving
	return Flush
}

// Flushed records that the shard's work has stopped and its outcomes are committed.
func (m *Machine) Flushed() Action {
	if m.state != Leaving {
		return Nothing
	}
	return Release
}

// Released records that the release was committed, or that the lease was lost.
func (m *Machine) Released() { m.state = Idle }

// ShardRead processes the shard's record as read from the store. holderLive is
// true when the membership lists the holder's node as live.
func (m *Machine) ShardRead(read Versioned, holderLive bool) Action {
	m.lastSeen, m.holderLive = read, holderLive && read.Record.Node != m.Node
	switch m.state {
	case Held, Leaving:
		if read.Record.Session != m.Session {
			m.setLost()
		}
		return Nothing
	case Idle:
		return Nothing
	}
	switch {
	case read.Record.Session == "":
		return Claim
	case read.Record.Session == m.Session:
		// An earlier claim took effect, and its answer was lost.
		m.state = Held
		return Nothing
	case m.holderLive:
		return AskHolder
	default:
		return ReadSession
	}
}

// SessionRead processes the holder's session record and its version. A version of
// zero means that the record is absent because the session has ended.
func (m *Machine) SessionRead(session Session, version uint64, now time.Time) Action {
	if m.state != Seeking {
		return Nothing
	}
	if version == 0 {
		m.watched = sessionWatch{session: m.lastSeen.Record.Session}
		return Claim
	}
	if m.watched.session != m.lastSeen.Record.Session || m.watched.version != version {
		m.watched = sessionWatch{session: m.lastSeen.Record.Session, version: version, since: now}
	}
	unchanged := now.Sub(m.watched.since) >= m.TimeToLive
	expired := !m.holderLive && now.Sub(session.RenewedAt) >= m.TimeToLive
	if unchanged || expired {
		return Claim
	}
	return Nothing
}

// ClaimRecord returns the record that a claim writes.
func (m *Machine) ClaimRecord() Record {
	return Record{Session: m.Session, Node: m.Node, Epoch: m.lastSeen.Record.Epoch + 1}
}

// ReleaseRecord returns the record that a release writes.
func (m *Machine) ReleaseRecord() Record { return Record{Epoch: m.lastSeen.Record.Epoch} }

// SessionFence returns the session record and the version that a claim compares
// in addition to the shard's; needed is false when the shard was free.
func (m *Machine) SessionFence() (session string, version uint64, needed bool) {
	if m.lastSeen.Record.Session == "" {
		return "", 0, false
	}
	return m.lastSeen.Record.Session, m.watched.version, true
}

// Claimed records that the claim took effect with this version.
func (m *Machine) Claimed(version uint64) {
	if m.state != Seeking {
		return
	}
	m.lastSeen = Versioned{Record: m.ClaimRecord(), Version: version}
	m.state = Held
}

// Lost records that a compare on the shard's version failed.
func (m *Machine) Lost() {
	if m.state == Held || m.state == Leaving {
		m.setLost()
	}
}

func (m *Machine) setLost() {
	if m.state == Held {
		m.state = Seeking
		return
	}
	m.state = Idle
}

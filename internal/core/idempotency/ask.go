package idempotency

import (
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/site"
)

// Action is the next step of a request with an idempotency key.
type Action uint8

// The actions. Run, Resume and Forward are valid only once the decision's record
// has been committed against the version of the record that was passed to Decide.
const (
	// Run: run the request here.
	Run Action = iota + 1
	// Resume: join the attempt of the record's intent without sending the request.
	Resume
	// Forward: forward the request to the other site as the owner of the claim.
	Forward
	// Pass: forward the request to the other site, which is already responsible for
	// the key.
	Pass
	// Wait: another owner processes the key. Decide again later, at the latest when
	// the claim expires.
	Wait
	// Read: return the stored result.
	Read
	// RejectReused: reject the request, because the key belongs to another request.
	RejectReused
	// RejectOtherSite: reject the request, because the other site is responsible for the
	// key and the request came from there.
	RejectOtherSite
)

// String returns the label of the action in metrics and logs.
func (a Action) String() string {
	names := [...]string{Run: "run", Resume: "resume", Forward: "forward", Pass: "pass", Wait: "wait", Read: "read", RejectReused: "reuse", RejectOtherSite: "elsewhere"}
	if int(a) < len(names) && names[a] != "" {
		return names[a]
	}
	return "none"
}

// Request describes a request with a key, the node that processes it, and the time.
type Request struct {
	Node   identity.NodeID
	Digest string
	// Site is the site that the traffic share selects for the key. It is used only
	// for a new record.
	Site site.Site
	// FromOtherSite is true if the request came from the other site. Such a request is
	// never sent back there.
	FromOtherSite bool
	// OwnerDead is true if membership lists the record's owner as dead. If that is
	// wrong, a run may be wasted, but there is never a second result or a second send.
	OwnerDead bool
	Now       time.Time
	// Expiry and KeepUntil are the end of the claim and of the record's retention
	// if this request claims the key.
	Expiry, KeepUntil time.Time
}

// Decision is the result of Decide.
type Decision struct {
	Action Action
	// Record must be committed before a Run, Resume or Forward. For all other
	// actions it is the stored record.
	Record Record
	// First is true for a Forward if the key was never forwarded before. If such a
	// forward provably had no effect, its owner may run the request on this site.
	First bool
}

// Decide returns the next step of a request, given the stored record of its key.
// The zero Record means that there is none.
func Decide(stored Record, request Request) Decision {
	if !stored.Kept(request.Now) {
		return claim(newRecord(stored.Epoch, request), request, true)
	}
	if stored.Digest != request.Digest {
		return Decision{Action: RejectReused, Record: stored}
	}
	switch stored.Phase {
	case Done:
		return Decision{Action: Read, Record: stored}
	case Forwarded:
		if request.FromOtherSite {
			return Decision{Action: RejectOtherSite, Record: stored}
		}
		return Decision{Action: Pass, Record: stored}
	case Claimed:
		if !mayTakeOver(stored, request) {
			return Decision{Action: Wait, Record: stored}
		}
	case Released:
		stored.ConsecutiveClaims = 0
	}
	return claim(stored, request, false)
}

// newRecord returns the record of a new key or of a key whose retention has ended.
// In the latter case epochs continue from the former record's.
func newRecord(epoch uint64, request Request) Record {
	at := request.Site
	if request.FromOtherSite {
		at = site.Here
	}
	return Record{Digest: request.Digest, Epoch: epoch, Site: at}
}

// mayTakeOver reports whether a claim may be taken over: it has expired, its owner
// is the requesting node, or its owner is listed as dead and the claim is old
// enough. A node asks only while it does not run the key itself, so a claim of its
// own is one whose commit it abandoned.
func mayTakeOver(stored Record, request Request) bool {
	if !request.Now.Before(stored.Expiry) || stored.Owner == request.Node {
		return true
	}
	return request.OwnerDead && request.Now.Sub(stored.ClaimedAt) >= takeoverDelay(stored.ConsecutiveClaims)
}

// takeoverDelay returns the minimum age at which the claim of an owner listed as
// dead may be taken over. It doubles with each consecutive takeover. Otherwise two
// partitioned nodes that list each other as dead could take the key from each
// other forever, and no run would complete.
func takeoverDelay(consecutiveClaims int) time.Duration {
	const (
		initialDelay = 2 * time.Second // less than the time to detect a dead node
		maxDoublings = 8
	)
	return initialDelay << min(max(consecutiveClaims-1, 0), maxDoublings)
}

// claim returns the decision to claim the key. fresh is true if record is a new
// record and false if it is an earlier claim's.
func claim(record Record, request Request, fresh bool) Decision {
	if request.FromOtherSite && record.Site == site.Other {
		return Decision{Action: RejectOtherSite, Record: record}
	}
	record.Phase, record.Owner, record.Epoch = Claimed, request.Node, record.Epoch+1
	record.ClaimedAt, record.ConsecutiveClaims = request.Now, record.ConsecutiveClaims+1
	record.Expiry, record.KeepUntil = request.Expiry, request.KeepUntil
	switch {
	case record.Site == site.Other:
		return Decision{Action: Forward, Record: record, First: fresh}
	case record.Intent != Intent{}:
		return Decision{Action: Resume, Record: record}
	default:
		return Decision{Action: Run, Record: record}
	}
}

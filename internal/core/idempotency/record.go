// Package idempotency decides, from the stored record of an idempotency key,
// what a request with that key does: run, wait, return the stored result, resume
// an attempt, go to the other site, or be rejected. It is a state machine that
// does no I/O, reads no clock and starts no goroutine.
//
// A record is written only by a compare on its version. Epochs order the claims
// of one key. The owner of a claim that was taken over cannot change the record,
// because its compare fails. See docs/decisions/0041-idempotency-keys.md.
package idempotency

import (
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/site"
)

// Phase is the state of a key.
type Phase uint8

// The phases.
const (
	// Claimed: the owner runs or forwards the request until Expiry.
	Claimed Phase = iota + 1
	// Done: the result is available and never changes.
	Done
	// Forwarded: the other site has answered for the key and stays responsible for it.
	Forwarded
	// Released: the last claim ended without a result, and the key may run again.
	Released
)

// Intent identifies the attempt of a request that may run only once.
type Intent = identity.Intent

// Record is the stored state of one key of one tenant.
type Record struct {
	// Digest is the digest of the first request. Requests with another digest are rejected.
	Digest string `json:"digest"`
	Phase  Phase  `json:"phase"`
	// Site is the site that runs the key for as long as the record is kept. Other is
	// written before the first forward, so it means that a forward may have arrived.
	Site  site.Site       `json:"site"`
	Owner identity.NodeID `json:"owner"`
	Epoch uint64          `json:"epoch"`
	// ClaimedAt is the time of the claim. ConsecutiveClaims is the number of claims
	// since the record was created or last released.
	ClaimedAt         time.Time `json:"claimed_at"`
	ConsecutiveClaims int       `json:"turn"`
	Expiry            time.Time `json:"expiry"` // of the claim
	// Intent is written before a request that must not be repeated is sent.
	Intent Intent `json:"intent,omitzero"`
	// Result is the result itself. A result that is stored as an object has its
	// name in ResultObject instead.
	Result       []byte `json:"result,omitempty"`
	ResultObject string `json:"result_object,omitempty"`
	// KeepUntil is the end of the retention. From then on the key counts as new.
	KeepUntil time.Time `json:"keep_until"`
}

// Kept reports whether the record exists and its retention has not ended.
func (r Record) Kept(now time.Time) bool { return r.Phase != 0 && now.Before(r.KeepUntil) }

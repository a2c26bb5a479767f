// Package quota divides one limit among the nodes of a fleet. One node, the
// owner, lends capacity; the others borrow what their demand needs. The package
// has no clock, sends nothing and takes no lock: callers pass the time and
// transport the requests.
//
// A rate limit (requests or tokens per second) is lent as credits. The owner's
// RateLender is a token bucket, and lent credits are taken from it at once, so
// that a lost message loses credits and never duplicates them. A RateMeter
// spends credits until they expire. It also has a standing share, a small part
// of the limit that is divided evenly and needs no messages. A concurrency limit
// is lent as permits under a lease, with PermitLender and PermitMeter.
//
// # Worst overshoot
//
// With L the limit, K the number of nodes that act as owner at one time (1, and
// one more for each additional owner during a change of owner or a partition),
// and the fields of Parameters, in any window of w seconds the fleet admits at
// most
//
//	K*L*(w + Burst + Expiry) + K*L*(StandingPart*w + StandingBurst) + K*m
//
// where m is the cost of the largest single request. A new owner's bucket
// starts empty. While a borrower gets no answer from any owner, it continues
// with a decaying share of what it last got. This adds at most what was lent in
// the window, and K*L*(MemoryTimeConstant + Burst) for what was lent before it.
// Tokens that requests use beyond their estimates come on top and are paid back
// as debt.
//
// For a concurrency limit the fleet's usable permits are at most K*L at any
// time, where an owner counts until its last lease has decayed. Requests that
// still run on a node whose permits have decayed come on top.
package quota

import (
	"math"
	"time"
)

// Parameters are the same on every node.
type Parameters struct {
	// Burst is the capacity of an owner's bucket, as the time in which the rate
	// fills it.
	Burst time.Duration
	// Expiry is how long a credit may be spent.
	Expiry time.Duration
	// StandingPart is the part of a rate that all nodes share evenly without
	// messages.
	StandingPart float64
	// StandingBurst is the capacity of all standing shares together, as the time
	// in which the whole rate fills it. The shares fill in
	// StandingBurst/StandingPart.
	StandingBurst time.Duration
	// MemoryTimeConstant is the time constant of the average of the credits that
	// a borrower was lent.
	MemoryTimeConstant time.Duration
	// Lease is how long all permits stay valid without an answer of their owner.
	Lease time.Duration
	// HalfLife is the time in which the number of permits halves after the lease.
	HalfLife time.Duration
}

// DefaultParameters returns parameters that suit 3 to 340 nodes.
func DefaultParameters() Parameters {
	return Parameters{
		Burst:              time.Second,
		Expiry:             6 * time.Second,
		StandingPart:       0.1,
		StandingBurst:      5 * time.Second,
		MemoryTimeConstant: 5 * time.Second,
		Lease:              time.Minute,
		HalfLife:           10 * time.Second,
	}
}

// RateBound returns the maximum that a fleet admits under a rate limit in a
// window, when every borrower gets answers from an owner.
func (p Parameters) RateBound(limit float64, owners int, window time.Duration, largest float64) float64 {
	w := window.Seconds()
	lent := w + p.Burst.Seconds() + p.Expiry.Seconds()
	standing := p.StandingPart*w + p.StandingBurst.Seconds()
	return float64(owners) * (limit*(lent+standing) + largest)
}

// SilentRateBound returns the maximum that a fleet admits when any borrower may
// stop getting answers from its owner at any time.
func (p Parameters) SilentRateBound(limit float64, owners int, window time.Duration, largest float64) float64 {
	lent := window.Seconds() + p.Burst.Seconds() + p.Expiry.Seconds()
	remembered := p.MemoryTimeConstant.Seconds() + p.Burst.Seconds()
	return p.RateBound(limit, owners, window, largest) + float64(owners)*(limit*(lent+remembered)+2*largest)
}

// decayed returns how many permits are still valid some time after their lease
// began: all of them during the lease, then half as many after each HalfLife.
// Owner and borrower both use it; the borrower's age is never less than the
// owner's.
func (p Parameters) decayed(permits int, age time.Duration) int {
	if age <= p.Lease {
		return permits
	}
	halvings := (age - p.Lease).Seconds() / p.HalfLife.Seconds()
	return int(math.Floor(float64(permits) * math.Exp2(-halvings)))
}

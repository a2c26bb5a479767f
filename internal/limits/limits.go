// Package limits enforces the limits of rows and tenants across the fleet. Each
// limit has an owner node that lends credits and permits; every node admits
// requests only from what it has borrowed and from its standing share. Package
// quota states the worst overshoot, including the time of a change of owner.
//
// In this package, an ask is a node's message to the owner of a limit for
// credits or permits, as opposed to an inference request.
//
// A limit that no request on this node uses causes no messages, and its state
// is freed after the idle timeout.
//
// Service.mu is the only lock. No message is sent while it is held.
package limits

import (
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
)

// Decision is the result of one call of Admit.
type Decision struct {
	Allowed bool
	// Limit names the limit that refused the request ("row requests_per_second").
	Limit string
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

// Limiter admits requests under the limits of their row and tenant.
type Limiter interface {
	// Admit decides on one request with the estimated number of tokens. If the
	// request is allowed, the caller must call release exactly once when it
	// ends, with the number of tokens it used. A request may wait up to
	// Config.GrantWait for the owner's answer, for instance the first one under
	// a limit that this node has not used recently. A limit known to be
	// exhausted refuses at once.
	Admit(row policy.Row, tenant identity.TenantID, tokens int) (release func(used int), decision Decision)
}

// Package suspensiontest gives tests a clock of suspensions that is moved by hand.
package suspensiontest

import (
	"sync/atomic"
	"time"

	"ringstream.example/ringstream/internal/suspension"
)

// Clock tells of suspensions by hand. It is safe for concurrent use.
type Clock struct{ suspended atomic.Int64 }

var _ suspension.Clock = (*Clock)(nil)

// Suspended implements suspension.Clock.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// Suspend has the machine have been suspended for so long.
func (c *Clock) Suspend(length time.Duration) { c.suspended.Add(int64(length)) }

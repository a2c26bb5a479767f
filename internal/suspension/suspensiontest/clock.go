// Package suspensiontest provides a suspension clock that tests control.
package suspensiontest

import (
	"sync/atomic"
	"time"

	"ringstream.example/ringstream/internal/suspension"
)

// Clock is a suspension.Clock that tests advance with Suspend. It is safe for concurrent use.
type Clock struct{ suspended atomic.Int64 }

var _ suspension.Clock = (*Clock)(nil)

// Suspended implements suspension.Clock.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// Suspend adds a suspension of the given length.
func (c *Clock) Suspend(length time.Duration) { c.suspended.Add(int64(length)) }

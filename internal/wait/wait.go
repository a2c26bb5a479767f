// Package wait pauses a goroutine for a duration or until its context ends.
package wait

import (
	"context"
	"time"
)

// For waits for a duration. It returns false if ctx ends first. If the duration is
// not positive, it only reports whether ctx is still active.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Until waits until a point in time. It returns false if ctx ends first.
func Until(ctx context.Context, deadline time.Time) bool { return For(ctx, time.Until(deadline)) }

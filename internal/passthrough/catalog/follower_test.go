package catalog

import (
	"testing"
	"time"

	"go.uber.org/zap"
)

func TestPaceSlowsWithTheFleetWithinItsBound(t *testing.T) {
	config := DefaultFollowConfig()
	for _, test := range []struct {
		factor float64
		want   time.Duration
	}{{0, config.Pace}, {1, config.Pace}, {2, 2 * config.Pace}, {100, config.PaceMost}} {
		follower := NewFollower(config, nil, "t", nil, nil, zap.NewNop())
		follower.SlowBy(func() float64 { return test.factor })
		if got := follower.pace(); got != test.want {
			t.Errorf("factor %v: %s, want %s", test.factor, got, test.want)
		}
	}
}

func TestRetryPauseIsBoundedAndJittered(t *testing.T) {
	follower := NewFollower(DefaultFollowConfig(), nil, "t", nil, nil, zap.NewNop())
	for attempt := range 40 {
		if pause := follower.pause(attempt); pause < follower.config.RetryMin/2 || pause > follower.config.RetryMax {
			t.Errorf("attempt %d: %s", attempt, pause)
		}
	}
}

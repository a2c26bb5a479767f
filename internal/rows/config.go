package rows

import (
	"fmt"
	"time"
)

// Config holds the intervals, timeouts and bounds of the table's distribution.
type Config struct {
	PollInterval        time.Duration `koanf:"poll_interval" usage:"how often one node per zone reads the table's head from the store"`
	AntiEntropyInterval time.Duration `koanf:"anti_entropy_interval" usage:"how often a node compares its revision with a random other node"`
	CallTimeout         time.Duration `koanf:"call_timeout" usage:"longest wait for one answer of another node or of one store read"`
	PauseThreshold      time.Duration `koanf:"pause_threshold" usage:"a gap in the node's own clock after which it catches up before it is ready again"`
	CatchUpLimit        time.Duration `koanf:"catch_up_limit" usage:"after a gap, how long the node waits for anyone to catch up from before it goes on with the table it has"`
	EditTimeout         time.Duration `koanf:"edit_timeout" usage:"longest time that one edit takes, repeats included"`
	LogRetention        time.Duration `koanf:"log_retention" usage:"how long audit records and edit ids are kept in the store"`
	LogMaximum          int           `koanf:"log_maximum" usage:"how many audit records are kept in the store at most"`
	RecentChanges       int           `koanf:"recent_changes" usage:"how many changes a node keeps in memory for others that missed them"`
}

// DefaultConfig returns settings for 340 nodes and 66,000 edits per day.
func DefaultConfig() Config {
	return Config{
		PollInterval:        time.Second,
		AntiEntropyInterval: 2 * time.Second,
		CallTimeout:         500 * time.Millisecond,
		PauseThreshold:      2 * time.Second,
		CatchUpLimit:        2 * time.Second,
		EditTimeout:         5 * time.Second,
		LogRetention:        72 * time.Hour,
		LogMaximum:          500_000,
		RecentChanges:       512,
	}
}

// Validate checks the values. The error names the invalid key.
func (c Config) Validate() error {
	durations := []struct {
		key     string
		value   time.Duration
		minimum time.Duration
	}{
		{"poll_interval", c.PollInterval, 100 * time.Millisecond},
		{"anti_entropy_interval", c.AntiEntropyInterval, 100 * time.Millisecond},
		{"call_timeout", c.CallTimeout, 10 * time.Millisecond},
		{"pause_threshold", c.PauseThreshold, 4 * tickInterval},
		{"catch_up_limit", c.CatchUpLimit, 0},
		{"edit_timeout", c.EditTimeout, 100 * time.Millisecond},
		{"log_retention", c.LogRetention, time.Hour},
	}
	for _, duration := range durations {
		if duration.value < duration.minimum {
			return fmt.Errorf("%s: %s is not allowed, want at least %s", duration.key, duration.value, duration.minimum)
		}
	}
	if c.LogMaximum < 1000 {
		return fmt.Errorf("log_maximum: %d is not allowed, want at least 1000", c.LogMaximum)
	}
	if c.RecentChanges < 16 {
		return fmt.Errorf("recent_changes: %d is not allowed, want at least 16", c.RecentChanges)
	}
	return nil
}

// Package batch runs jobs of many items through pass-through routes. A job is in the platform's
// store before it is acknowledged. One node owns the job under an epoch, runs its items on idle
// engines and lists their results. Any node can answer calls about the job. The state that a node
// keeps in memory is a copy that follows the store.
package batch

import (
	"errors"
	"time"

	"ringstream.example/ringstream/internal/configcheck"
	"ringstream.example/ringstream/internal/core/liveness"
)

// Config configures how jobs are stored and run.
type Config struct {
	Shards           int           `koanf:"shards" usage:"parts of the store that jobs are spread over; the same on all nodes"`
	Heartbeat        time.Duration `koanf:"heartbeat" usage:"pause between two signs of life of a node in the store"`
	DeadAfter        time.Duration `koanf:"dead_after" usage:"a node without a sign of life for this long has its jobs taken over"`
	MaxEnginePercent int           `koanf:"per_engine_percent" usage:"share of an engine's slots that batch items may hold, in per cent"`
	MaxUsePercent    int           `koanf:"room_percent" usage:"share of all engines' slots in use up to which batch items are added, in per cent"`
	StartupDelay     time.Duration `koanf:"settle_for" usage:"no items are started for so long after the node's own start, so that it knows the other nodes' work at the engines first"`
	Retention        time.Duration `koanf:"keep" usage:"how long a job can be read after it was accepted, when it is not open"`
	MaxStaleness     time.Duration `koanf:"blind_for" usage:"items are sent to engines only while the store was heard within this time"`
	TextCacheBytes   int           `koanf:"text_cache_bytes" usage:"results kept in memory for readers"`
}

// DefaultConfig returns a configuration for engines with some dozen slots.
func DefaultConfig() Config {
	return Config{
		Shards: 8, Heartbeat: time.Second, DeadAfter: 2500 * time.Millisecond,
		MaxEnginePercent: 100, MaxUsePercent: 90, StartupDelay: 700 * time.Millisecond, Retention: 2 * time.Minute, MaxStaleness: 2 * time.Second, TextCacheBytes: 48 << 20,
	}
}

// heartbeatsPerTimeout is the number of heartbeat messages that a node sends within DeadAfter.
// DeadAfter divided by confirmDivisor is how long one watcher that no longer receives a node's
// messages waits for other watchers to report the node as alive, and DeadAfter divided by
// refuteDivisor how long a node has to refute a suspicion through the store: one write and one
// change of the feed each way.
const (
	heartbeatsPerTimeout = 4
	confirmDivisor       = 6
	refuteDivisor        = 2
)

// liveness returns the configuration of the failure detector for watched nodes.
func (c Config) liveness() liveness.Config {
	return liveness.Config{
		HeartbeatEvery: c.DeadAfter / heartbeatsPerTimeout, NodeTimeout: c.DeadAfter,
		ConfirmTimeout: c.DeadAfter / confirmDivisor, RefuteTimeout: c.DeadAfter / refuteDivisor,
	}
}

// Validate checks that the values are within their bounds.
func (c Config) Validate() error {
	return errors.Join(
		configcheck.Between("shards", c.Shards, 1, 256),
		configcheck.Positive("heartbeat", c.Heartbeat),
		configcheck.Positive("dead_after", c.DeadAfter),
		configcheck.Between("per_engine_percent", c.MaxEnginePercent, 1, 100),
		configcheck.Between("room_percent", c.MaxUsePercent, 1, 100),
		configcheck.NotNegative("settle_for", c.StartupDelay),
		configcheck.Positive("keep", c.Retention),
		configcheck.Positive("blind_for", c.MaxStaleness),
		configcheck.AtLeast("text_cache_bytes", c.TextCacheBytes, 1<<20),
	)
}

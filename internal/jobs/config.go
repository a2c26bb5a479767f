package jobs

import (
	"fmt"
	"time"
)

// Config sets how this node accepts, runs and retains batch jobs. Shards must be
// the same on all nodes; the other settings may differ.
type Config struct {
	Shards          int           `koanf:"shards" usage:"number of shards of batch jobs, the same on all nodes; may be raised, never lowered"`
	MaxItems        int           `koanf:"max_items" usage:"items in one job at most"`
	MaxLineBytes    int           `koanf:"max_line_bytes" usage:"bytes in one line of a submission at most"`
	MaxTokens       int           `koanf:"max_tokens" usage:"tokens that an item may ask for at most"`
	SegmentItems    int           `koanf:"segment_items" usage:"items in one stored segment at most"`
	SegmentBytes    int           `koanf:"segment_bytes" usage:"bytes in a stored segment from which on the next one is begun"`
	UploadTimeout   time.Duration `koanf:"upload_timeout" usage:"longest time from the start of a submission to its acceptance"`
	DefaultWindow   time.Duration `koanf:"default_window" usage:"time to the deadline of a job that states none"`
	CommitInterval  time.Duration `koanf:"commit_interval" usage:"longest time that an item's outcome waits for others to be committed with"`
	CommitItems     int           `koanf:"commit_items" usage:"outcomes of one job that are committed without waiting"`
	HeldResultBytes int64         `koanf:"held_result_bytes" usage:"uncommitted results in memory from which on no item is started"`
	InputCacheBytes int64         `koanf:"input_cache_bytes" usage:"memory for items that wait to be run"`
	MaxRunning      int           `koanf:"max_running" usage:"batch items that this node runs at once at most"`
	PollInterval    time.Duration `koanf:"poll_interval" usage:"time between looks at a shard's list of open jobs, should a message be lost"`
	IntentTimeout   time.Duration `koanf:"intent_timeout" usage:"longest time that the send of an item that must not be repeated waits for its record"`
	ResumeAttempts  int           `koanf:"resume_attempts" usage:"tries to join an item that must not be repeated, before its outcome is unknown"`
	RepeatAttempts  int           `koanf:"repeat_attempts" usage:"attempts of a repeatable item that engines leave unanswered, before it has failed"`
	StopGrace       time.Duration `koanf:"stop_grace" usage:"time that items which must not be repeated may go on at a planned stop"`
	Retention       time.Duration `koanf:"retention" usage:"time from a job's end to its removal with its results"`
	OrphanGrace     time.Duration `koanf:"orphan_grace" usage:"age from which objects of a job that was never accepted are removed; above upload_timeout"`
	CollectInterval time.Duration `koanf:"collect_interval" usage:"time between removals of expired jobs and orphaned objects"`
	LeaseTimeToLive time.Duration `koanf:"lease_time_to_live" usage:"time without renewal after which another node may take this node's shards"`
	LeaseRenew      time.Duration `koanf:"lease_renew" usage:"time between renewals of this node's lease session"`
	LeaseCheck      time.Duration `koanf:"lease_check" usage:"time between looks at shards that this node is to hold and does not"`
	HandOverTimeout time.Duration `koanf:"hand_over" usage:"time for committing what is finished at a planned hand-over of a shard"`
}

// DefaultConfig returns the settings for the target size. The reasons for the
// values are in docs/decisions.
func DefaultConfig() Config {
	return Config{
		Shards: 1024, MaxItems: 72_000, MaxLineBytes: 1 << 20, MaxTokens: 32_768,
		SegmentItems: 1000, SegmentBytes: 2 << 20, UploadTimeout: 30 * time.Minute, DefaultWindow: 24 * time.Hour,
		CommitInterval: time.Second, CommitItems: 256, HeldResultBytes: 64 << 20, InputCacheBytes: 16 << 20,
		MaxRunning: 1024, PollInterval: 10 * time.Second, IntentTimeout: 2 * time.Second,
		ResumeAttempts: 5, RepeatAttempts: 20, StopGrace: 30 * time.Second,
		Retention: 7 * 24 * time.Hour, OrphanGrace: 2 * time.Hour, CollectInterval: 5 * time.Minute,
		LeaseTimeToLive: 7 * time.Second, LeaseRenew: 2500 * time.Millisecond, LeaseCheck: time.Second,
		HandOverTimeout: 800 * time.Millisecond,
	}
}

// Validate checks the settings. An error names the key of the invalid one.
func (c Config) Validate() error {
	positive := []struct {
		key   string
		value int64
	}{
		{"shards", int64(c.Shards)},
		{"max_items", int64(c.MaxItems)},
		{"max_line_bytes", int64(c.MaxLineBytes)},
		{"max_tokens", int64(c.MaxTokens)},
		{"segment_items", int64(c.SegmentItems)},
		{"segment_bytes", int64(c.SegmentBytes)},
		{"upload_timeout", int64(c.UploadTimeout)},
		{"default_window", int64(c.DefaultWindow)},
		{"commit_interval", int64(c.CommitInterval)},
		{"commit_items", int64(c.CommitItems)},
		{"held_result_bytes", c.HeldResultBytes},
		{"input_cache_bytes", c.InputCacheBytes},
		{"max_running", int64(c.MaxRunning)},
		{"poll_interval", int64(c.PollInterval)},
		{"intent_timeout", int64(c.IntentTimeout)},
		{"resume_attempts", int64(c.ResumeAttempts)},
		{"repeat_attempts", int64(c.RepeatAttempts)},
		{"stop_grace", int64(c.StopGrace)},
		{"retention", int64(c.Retention)},
		{"collect_interval", int64(c.CollectInterval)},
		{"lease_renew", int64(c.LeaseRenew)},
		{"lease_check", int64(c.LeaseCheck)},
		{"hand_over", int64(c.HandOverTimeout)},
	}
	for _, field := range positive {
		if field.value <= 0 {
			return fmt.Errorf("%s: must be above zero", field.key)
		}
	}
	const maxShards = 99_999 // the stored keys have five digits for the shard
	switch {
	case c.Shards > maxShards:
		return fmt.Errorf("shards: at most %d", maxShards)
	case c.OrphanGrace <= c.UploadTimeout:
		return fmt.Errorf("orphan_grace: must be above upload_timeout (%s)", c.UploadTimeout)
	case c.LeaseTimeToLive < 2*c.LeaseRenew:
		return fmt.Errorf("lease_time_to_live: must be at least twice lease_renew (%s)", c.LeaseRenew)
	}
	return nil
}

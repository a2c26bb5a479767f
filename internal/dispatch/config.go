package dispatch

import (
	"fmt"
	"time"
)

// Config sets how requests are run on engines.
type Config struct {
	FirstTokenTimeout  time.Duration `koanf:"first_token_timeout" usage:"an engine that gives no first token for this long is taken as hung"`
	NextTokenTimeout   time.Duration `koanf:"next_token_timeout" usage:"an engine that gives no further token for this long is taken as hung"`
	CancelTimeout      time.Duration `koanf:"cancel_timeout" usage:"how long one try to cancel an attempt may take"`
	CancelRetryTimeout time.Duration `koanf:"cancel_patience" usage:"how long an engine that does not answer is asked again to cancel an attempt"`
	QueueWait          time.Duration `koanf:"queue_wait" usage:"how long an online request waits for an engine before it is refused"`
	QueueLength        int           `koanf:"queue_length" usage:"online requests of one pool and model that wait at the same time"`
	RetryAfter         time.Duration `koanf:"retry_after" usage:"when a request refused for want of capacity may come back"`
	MaxAttempts        int           `koanf:"max_attempts" usage:"engines that one request may be sent to"`
	RetryRatio         float64       `koanf:"retry_ratio" usage:"retries allowed for each request, on average"`
	RetryBurst         int           `koanf:"retry_burst" usage:"retries allowed at once"`
	ResumeAttempts     int           `koanf:"resume_attempts" usage:"how often a broken stream is joined again on its own engine"`
	ResumeBackoff      time.Duration `koanf:"resume_pause" usage:"pause before a broken stream is joined again; doubles each time"`
	PackTarget         float64       `koanf:"pack_target" usage:"part of an engine's sequences that online work fills before the next engine is used"`
	PackPrefill        int           `koanf:"pack_prefill" usage:"prompt tokens of online work that may wait on an engine before the next engine is used"`
	BatchLimit         float64       `koanf:"batch_limit" usage:"part of an engine's sequences that batch work may fill where there is no online work"`
	BatchDensity       float64       `koanf:"batch_density" usage:"part of an engine's sequences that batch work may fill beside online work, online included"`
	BatchHold          time.Duration `koanf:"batch_hold" usage:"how long an engine is kept from batch work after its last online work"`
}

// DefaultConfig returns settings for engines that return a first token within
// seconds.
func DefaultConfig() Config {
	return Config{
		FirstTokenTimeout:  8 * time.Second,
		NextTokenTimeout:   3 * time.Second,
		CancelTimeout:      time.Second,
		CancelRetryTimeout: time.Minute,
		QueueWait:          2 * time.Second,
		QueueLength:        256,
		RetryAfter:         time.Second,
		MaxAttempts:        4,
		RetryRatio:         0.1,
		RetryBurst:         50,
		ResumeAttempts:     3,
		ResumeBackoff:      20 * time.Millisecond,
		PackTarget:         0.9,
		PackPrefill:        1024,
		BatchLimit:         1,
		BatchDensity:       0.4,
		BatchHold:          300 * time.Millisecond,
	}
}

// Validate returns an error that names the first invalid key.
func (c Config) Validate() error {
	durations := []struct {
		key   string
		value time.Duration
	}{
		{"first_token_timeout", c.FirstTokenTimeout},
		{"next_token_timeout", c.NextTokenTimeout},
		{"cancel_timeout", c.CancelTimeout},
		{"cancel_patience", c.CancelRetryTimeout},
		{"queue_wait", c.QueueWait},
		{"retry_after", c.RetryAfter},
		{"resume_pause", c.ResumeBackoff},
		{"batch_hold", c.BatchHold},
	}
	for _, duration := range durations {
		if duration.value < time.Millisecond {
			return fmt.Errorf("%s: %v is too short; at least 1ms", duration.key, duration.value)
		}
	}
	counts := []struct {
		key   string
		value int
	}{
		{"queue_length", c.QueueLength},
		{"max_attempts", c.MaxAttempts},
		{"retry_burst", c.RetryBurst},
		{"resume_attempts", c.ResumeAttempts},
		{"pack_prefill", c.PackPrefill},
	}
	for _, count := range counts {
		if count.value < 1 {
			return fmt.Errorf("%s: %d; at least 1", count.key, count.value)
		}
	}
	if c.RetryRatio < 0 || c.RetryRatio > 1 {
		return fmt.Errorf("retry_ratio: %v; from 0 to 1", c.RetryRatio)
	}
	if c.BatchLimit <= 0 || c.BatchLimit > 1 {
		return fmt.Errorf("batch_limit: %v; above 0, at most 1", c.BatchLimit)
	}
	if c.PackTarget <= 0 || c.PackTarget > 1 {
		return fmt.Errorf("pack_target: %v; above 0, at most 1", c.PackTarget)
	}
	if c.BatchDensity < 0 || c.BatchDensity > 1 {
		return fmt.Errorf("batch_density: %v; from 0 to 1", c.BatchDensity)
	}
	return nil
}

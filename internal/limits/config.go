package limits

import (
	"fmt"
	"time"

	"ringstream.example/ringstream/internal/core/quota"
)

// Config sets how limits are shared between nodes. Burst, StandingPart and
// StandingBurst must be the same on all nodes.
type Config struct {
	Burst         time.Duration `koanf:"burst" usage:"how many seconds' worth of a rate limit may be used at once"`
	StandingPart  float64       `koanf:"standing_part" usage:"part of a rate limit that the nodes share evenly without messages, 0 to 0.5"`
	StandingBurst time.Duration `koanf:"standing_burst" usage:"how many seconds' worth of a rate limit the nodes' idle standing shares may hold together"`
	AskTimeout    time.Duration `koanf:"ask_timeout" usage:"after how long an owner that does not answer is passed over for its deputy"`
	GrantWait     time.Duration `koanf:"grant_wait" usage:"longest wait of a request for an owner's answer"`
	RenewInterval time.Duration `koanf:"renew_interval" usage:"how often held concurrency permits are renewed, and idle ones given back; at most 30s"`
	IdleTimeout   time.Duration `koanf:"idle_timeout" usage:"after how long an unused limit is forgotten; at least standing_burst / standing_part"`
}

// DefaultConfig returns settings for fleets of 3 to 340 nodes.
func DefaultConfig() Config {
	parameters := quota.DefaultParameters()
	return Config{
		Burst:         parameters.Burst,
		StandingPart:  parameters.StandingPart,
		StandingBurst: parameters.StandingBurst,
		AskTimeout:    300 * time.Millisecond,
		GrantWait:     500 * time.Millisecond,
		RenewInterval: 20 * time.Second,
		IdleTimeout:   time.Minute,
	}
}

// Validate checks the values. The error names the invalid key.
func (c Config) Validate() error {
	if c.Burst < 100*time.Millisecond || c.Burst > time.Minute {
		return fmt.Errorf("burst: %s is not allowed, want 100ms to 1m", c.Burst)
	}
	if !(c.StandingPart >= 0 && c.StandingPart <= 0.5) { // the inner comparison is false for NaN, too
		return fmt.Errorf("standing_part: %v is not allowed, want 0 to 0.5", c.StandingPart)
	}
	if c.StandingBurst < 0 || c.StandingBurst > time.Minute {
		return fmt.Errorf("standing_burst: %s is not allowed, want 0s to 1m", c.StandingBurst)
	}
	if c.AskTimeout < 10*time.Millisecond || c.AskTimeout > 5*time.Second {
		return fmt.Errorf("ask_timeout: %s is not allowed, want 10ms to 5s", c.AskTimeout)
	}
	if c.GrantWait < 0 || c.GrantWait > 5*time.Second {
		return fmt.Errorf("grant_wait: %s is not allowed, want 0s to 5s", c.GrantWait)
	}
	if lease := quota.DefaultParameters().Lease; c.RenewInterval < time.Second || c.RenewInterval > lease/2 {
		return fmt.Errorf("renew_interval: %s is not allowed, want 1s to %s", c.RenewInterval, lease/2)
	}
	if c.StandingPart > 0 && c.IdleTimeout.Seconds() < c.StandingBurst.Seconds()/c.StandingPart {
		return fmt.Errorf("idle_timeout: %s is not allowed, want at least standing_burst / standing_part", c.IdleTimeout)
	}
	if c.IdleTimeout < 10*time.Second {
		return fmt.Errorf("idle_timeout: %s is not allowed, want at least 10s", c.IdleTimeout)
	}
	return nil
}

func (c Config) parameters() quota.Parameters {
	parameters := quota.DefaultParameters()
	parameters.Burst = c.Burst
	parameters.StandingPart = c.StandingPart
	parameters.StandingBurst = c.StandingBurst
	return parameters
}

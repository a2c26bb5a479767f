package slots

import (
	"errors"

	"ringstream.example/ringstream/internal/configcheck"
	"ringstream.example/ringstream/internal/core/enginespeed"
	"ringstream.example/ringstream/internal/core/fairshares"
	"ringstream.example/ringstream/internal/core/grant"
)

// Config holds the settings of the service.
type Config struct {
	Limits     LimitsConfig
	Scheduling SchedulingConfig
}

// Validate checks that the values are within their bounds.
func (c Config) Validate() error {
	return errors.Join(configcheck.Under("limits", c.Limits.Validate()))
}

// SchedulingConfig selects how dispatchers schedule the requests of a lane. Every node of a fleet
// should have the same settings, since any node may become a dispatcher.
type SchedulingConfig struct {
	RefuseOverload bool `koanf:"refuse_overload" usage:"whether requests that the engines cannot serve in their time are refused at once, with the time to come back, at engines whose streaming routes have one objective"`
	FairShares     bool `koanf:"fair_shares" usage:"whether the tenants of one priority share the engines, where the configuration has tenants"`
	EngineSpeeds   bool `koanf:"engine_speeds" usage:"whether engines are chosen by the speed that was observed, in pools whose streaming routes have one objective"`
	KeepLimits     bool `koanf:"keep_limits" usage:"whether what tenants used of their limits is kept beyond the dispatcher that counted it"`
}

// DefaultSchedulingConfig selects none of the policies.
func DefaultSchedulingConfig() SchedulingConfig { return SchedulingConfig{} }

// policies returns the policies of a new dispatcher, but for the overload control.
func (c SchedulingConfig) policies() grant.Policies {
	var policies grant.Policies
	if c.EngineSpeeds {
		policies.Speeds = enginespeed.New()
	}
	if c.FairShares {
		policies.Order, policies.BatchOrder = fairshares.New(), fairshares.New()
	}
	return policies
}

// Package httpserver is the HTTP server that the client API and the admin API
// share: echo with request ids, an access log, panic recovery, body limits,
// JSON errors, optional TLS, and a graceful shutdown that lets requests in
// flight end. It defines no routes.
package httpserver

import (
	"errors"
	"time"

	"ringstream.example/ringstream/internal/configcheck"
	"ringstream.example/ringstream/internal/tlsconfig"
)

// Config is one listener's settings.
type Config struct {
	Address           string           `koanf:"address" usage:"IP:port to listen on"`
	ReadHeaderTimeout time.Duration    `koanf:"read_header_timeout" usage:"longest time for a request's header to arrive"`
	ReadBodyTimeout   time.Duration    `koanf:"read_body_timeout" usage:"longest time for a request's body to arrive"`
	IdleTimeout       time.Duration    `koanf:"idle_timeout" usage:"how long an idle connection is kept"`
	BodyLimit         int64            `koanf:"body_limit" unit:"bytes" usage:"largest request body"`
	LeaveTime         time.Duration    `koanf:"leave_time" usage:"when stopping: how long new connections are still taken, so that others learn of it first"`
	DrainTime         time.Duration    `koanf:"drain_time" usage:"when stopping: how long running requests may take to end"`
	TLS               tlsconfig.Config `koanf:"tls"`
}

// DefaultConfig returns the defaults. It has no address, which must be set.
func DefaultConfig() Config {
	return Config{
		ReadHeaderTimeout: 10 * time.Second,
		ReadBodyTimeout:   2 * time.Minute,
		IdleTimeout:       75 * time.Second,
		BodyLimit:         4 << 20,
		LeaveTime:         2 * time.Second,
		DrainTime:         2 * time.Minute,
		TLS:               tlsconfig.DefaultConfig(),
	}
}

// Validate checks the settings; its errors name the key.
func (c Config) Validate() error {
	return errors.Join(
		configcheck.Address("address", c.Address),
		configcheck.Positive("read_header_timeout", c.ReadHeaderTimeout),
		configcheck.Positive("read_body_timeout", c.ReadBodyTimeout),
		configcheck.Positive("idle_timeout", c.IdleTimeout),
		configcheck.AtLeast("body_limit", c.BodyLimit, 1),
		configcheck.NotNegative("leave_time", c.LeaveTime),
		configcheck.NotNegative("drain_time", c.DrainTime),
		configcheck.Under("tls", c.TLS.Validate()),
	)
}

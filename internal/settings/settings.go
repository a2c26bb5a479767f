// Package settings reads a node's settings: one YAML file, environment
// variables and flags of the same names. It composes the components' Config
// structs and owns how they are read, checked and shown; it starts nothing.
package settings

import (
	"errors"

	"go.uber.org/zap/zapcore"

	"ringstream.example/ringstream/internal/admin"
	"ringstream.example/ringstream/internal/auth"
	"ringstream.example/ringstream/internal/backend/httpclient"
	"ringstream.example/ringstream/internal/configcheck"
	"ringstream.example/ringstream/internal/dispatch"
	"ringstream.example/ringstream/internal/fleet"
	"ringstream.example/ringstream/internal/gateway"
	"ringstream.example/ringstream/internal/idempotency"
	"ringstream.example/ringstream/internal/jobs"
	"ringstream.example/ringstream/internal/limits"
	"ringstream.example/ringstream/internal/passthrough/edge"
	"ringstream.example/ringstream/internal/peer"
	"ringstream.example/ringstream/internal/rows"
	"ringstream.example/ringstream/internal/tlsconfig"
)

// Settings is everything that a node is told at its start. A component's
// Config is added here and in Default; file, flags, environment, checks and
// the page of keys follow from its tags.
type Settings struct {
	Node     Node              `koanf:"node"`
	Log      Log               `koanf:"log"`
	Gateway  gateway.Config    `koanf:"gateway"`
	Admin    admin.Config      `koanf:"admin"`
	Auth     auth.Config       `koanf:"auth"`
	Platform httpclient.Config `koanf:"platform"`
	Rows     rows.Config       `koanf:"rows"`
	Limits   limits.Config     `koanf:"limits"`
	Fleet    fleet.Config      `koanf:"fleet"`
	Dispatch dispatch.Config   `koanf:"dispatch"`
	Jobs     jobs.Config       `koanf:"jobs"`
	Peer     peer.Config       `koanf:"peer"`
	PeerTLS  tlsconfig.Config  `koanf:"peer_tls"`
	// Idempotency is how long callers' keys count.
	Idempotency idempotency.Config `koanf:"idempotency"`
	// PassThrough, when its address is set, makes the process a pass-through
	// node on the users' platform in place of the node of the other sections.
	PassThrough edge.Config `koanf:"pass_through"`
}

// Default gives the settings when nothing is set.
func Default() Settings {
	return Settings{
		Node:        DefaultNode(),
		Log:         DefaultLog(),
		Gateway:     gateway.DefaultConfig(),
		Admin:       admin.DefaultConfig(),
		Auth:        auth.DefaultConfig(),
		Platform:    httpclient.DefaultConfig(),
		Rows:        rows.DefaultConfig(),
		Limits:      limits.DefaultConfig(),
		Fleet:       fleet.DefaultConfig(),
		Dispatch:    dispatch.DefaultConfig(),
		Jobs:        jobs.DefaultConfig(),
		Peer:        defaultPeer(),
		PeerTLS:     tlsconfig.DefaultConfig(),
		Idempotency: idempotency.DefaultConfig(),
		PassThrough: edge.DefaultConfig(),
	}
}

// defaultPeer listens on loopback only, as the HTTP listeners do by default.
func defaultPeer() peer.Config {
	config := peer.DefaultConfig()
	config.ListenAddress = defaultPeerAddress
	return config
}

const defaultPeerAddress = "127.0.0.1:7946"

// Node says who and where the process is.
type Node struct {
	ID     string `koanf:"id" usage:"name of this process in logs and in the member list; empty: one is made at each start"`
	Zone   string `koanf:"zone" usage:"zone of the machine"`
	Region string `koanf:"region" usage:"region of the zone"`
}

// DefaultNode has neither zone nor region: they must be set.
func DefaultNode() Node { return Node{} }

// Validate checks that the place is given.
func (n Node) Validate() error {
	return errors.Join(configcheck.Required("zone", n.Zone), configcheck.Required("region", n.Region))
}

// Log says what is logged and how.
type Log struct {
	Level  string `koanf:"level" usage:"lowest level written: debug, info, warn or error"`
	Format string `koanf:"format" usage:"json or console"`
	Output string `koanf:"output" usage:"stderr or stdout"`
}

// The log formats.
const (
	LogJSON    = "json"
	LogConsole = "console"
)

// The log outputs.
const (
	LogStderr = "stderr"
	LogStdout = "stdout"
)

// DefaultLog writes JSON from info up to standard error.
func DefaultLog() Log {
	return Log{Level: zapcore.InfoLevel.String(), Format: LogJSON, Output: LogStderr}
}

// Validate checks level and format.
func (l Log) Validate() error {
	return errors.Join(
		configcheck.OneOf("level", l.Level, "debug", "info", "warn", "error"),
		configcheck.OneOf("format", l.Format, LogJSON, LogConsole),
		configcheck.OneOf("output", l.Output, LogStderr, LogStdout),
	)
}

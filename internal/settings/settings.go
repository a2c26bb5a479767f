// Package settings loads a node's settings from one YAML file, environment
// variables and flags that share their key names. It composes the components'
// Config structs, and loads, validates and prints them; it starts no component.
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

// Settings holds all settings of a node, which are read once at startup. A
// component's Config is added here and in Default; its file keys, flags,
// environment variables, validation and documentation page are derived from
// its struct tags.
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
	// Idempotency sets how long callers' idempotency keys are retained.
	Idempotency idempotency.Config `koanf:"idempotency"`
	// PassThrough makes the process a pass-through node on the users' platform,
	// instead of the node that the other sections describe, when its address is
	// set.
	PassThrough edge.Config `koanf:"pass_through"`
}

// Default returns the settings that apply when no source sets a key.
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

// defaultPeer returns the peer settings with a loopback listen address, like the
// HTTP listeners' defaults.
func defaultPeer() peer.Config {
	config := peer.DefaultConfig()
	config.ListenAddress = defaultPeerAddress
	return config
}

const defaultPeerAddress = "127.0.0.1:7946"

// Node identifies the process and its location.
type Node struct {
	ID     string `koanf:"id" usage:"name of this process in logs and in the member list; empty: one is made at each start"`
	Zone   string `koanf:"zone" usage:"zone of the machine"`
	Region string `koanf:"region" usage:"region of the zone"`
}

// DefaultNode returns a Node without zone and region, which must be set.
func DefaultNode() Node { return Node{} }

// Validate checks that zone and region are set.
func (n Node) Validate() error {
	return errors.Join(configcheck.Required("zone", n.Zone), configcheck.Required("region", n.Region))
}

// Log configures the log's level, format and output.
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

// DefaultLog returns a Log that writes JSON lines of level info and above to
// standard error.
func DefaultLog() Log {
	return Log{Level: zapcore.InfoLevel.String(), Format: LogJSON, Output: LogStderr}
}

// Validate checks level, format and output.
func (l Log) Validate() error {
	return errors.Join(
		configcheck.OneOf("level", l.Level, "debug", "info", "warn", "error"),
		configcheck.OneOf("format", l.Format, LogJSON, LogConsole),
		configcheck.OneOf("output", l.Output, LogStderr, LogStdout),
	)
}

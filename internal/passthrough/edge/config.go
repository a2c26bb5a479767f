// Package edge assembles a pass-through node from the followers of the store's tables, the relay,
// the batch service and the ingress server. It owns their start order, the node's readiness and its
// graceful shutdown. All other decisions are left to these components.
package edge

import (
	"errors"
	"time"

	"ringstream.example/ringstream/internal/configcheck"
	"ringstream.example/ringstream/internal/passthrough/batch"
	"ringstream.example/ringstream/internal/passthrough/ingress"
	"ringstream.example/ringstream/internal/passthrough/replicas"
	"ringstream.example/ringstream/internal/passthrough/slots"
)

// Config is the pass_through section of the settings.
type Config struct {
	Address      string                 `koanf:"address" usage:"IP:port for clients of pass-through routes; empty: none are served"`
	ReadyAddress string                 `koanf:"ready_address" usage:"IP:port that answers whether the node takes clients"`
	ReadyPath    string                 `koanf:"ready_path" usage:"path of that answer"`
	MetricsPath  string                 `koanf:"metrics_path" usage:"path of the metrics, at metrics_address"`
	MetricsAt    string                 `koanf:"metrics_address" usage:"IP:port that serves metrics; empty: none"`
	StoreAddress string                 `koanf:"store_address" usage:"IP:port of the platform's store"`
	PeerAddress  string                 `koanf:"peer_address" usage:"IP:port for what nodes tell each other; empty: they tell nothing"`
	Seeds        []string               `koanf:"seeds" usage:"IP:port of nodes that may be asked for others"`
	Capacity     float64                `koanf:"capacity" usage:"what the machine can do, as a share of a processor core: dispatchers are chosen among the larger machines"`
	MemoryMB     float64                `koanf:"memory_mb" usage:"MB of memory that the node may use: a quarter of it may hold the bodies of requests in flight, further ones are refused; 0: not bounded"`
	Readers      int                    `koanf:"readers_per_zone" usage:"nodes of a zone that serve the store's tables to the others there"`
	LeaveTime    time.Duration          `koanf:"leave_time" usage:"at a planned stop: how long new connections are still taken after readiness ended"`
	StopTime     time.Duration          `koanf:"stop_time" usage:"at a planned stop: the latest end, counted from its start"`
	Keys         ingress.KeysConfig     `koanf:"keys"`
	Limits       slots.LimitsConfig     `koanf:"limits"`
	Scheduling   slots.SchedulingConfig `koanf:"scheduling"`
	Batch        batch.Config           `koanf:"batch"`
}

// DefaultConfig returns settings that serve no pass-through routes.
func DefaultConfig() Config {
	return Config{
		Capacity: 1, Readers: replicas.DefaultConfig().Slots, ReadyPath: "/readyz", MetricsPath: "/metrics",
		LeaveTime: 2600 * time.Millisecond, StopTime: 7300 * time.Millisecond,
		Keys: ingress.DefaultKeysConfig(), Limits: slots.DefaultLimitsConfig(), Scheduling: slots.DefaultSchedulingConfig(), Batch: batch.DefaultConfig(),
	}
}

// heldShare is the share of the node's memory that may hold bodies and unread answers. Growing a body's buffer and
// decoding a job take more than the body itself for a moment.
const heldShare = 0.25

// maxHeldBytes returns how many bytes may be held for all clients; 0: no bound.
func (c Config) maxHeldBytes() int64 { return int64(c.MemoryMB * heldShare * (1 << 20)) }

// Enabled reports whether the node serves pass-through routes.
func (c Config) Enabled() bool { return c.Address != "" }

// Validate checks the addresses, the durations and the other bounds.
func (c Config) Validate() error {
	problems := []error{
		configcheck.OptionalAddress("address", c.Address),
		configcheck.OptionalAddress("ready_address", c.ReadyAddress),
		configcheck.OptionalAddress("metrics_address", c.MetricsAt),
		configcheck.OptionalAddress("peer_address", c.PeerAddress),
		configcheck.OptionalAddress("store_address", c.StoreAddress),
		configcheck.AtLeast("capacity", c.Capacity, 0.001),
		configcheck.AtLeast("memory_mb", c.MemoryMB, 0),
		configcheck.Between("readers_per_zone", c.Readers, 1, 99),
		configcheck.NotNegative("leave_time", c.LeaveTime),
		configcheck.Positive("stop_time", c.StopTime),
		configcheck.Under("keys", c.Keys.Validate()),
		configcheck.Under("limits", c.Limits.Validate()),
		configcheck.Under("batch", c.Batch.Validate()),
	}
	if c.Enabled() {
		problems = append(problems, configcheck.Address("store_address", c.StoreAddress), configcheck.Address("ready_address", c.ReadyAddress))
	}
	return errors.Join(problems...)
}

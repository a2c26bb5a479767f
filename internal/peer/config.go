package peer

import (
	"errors"
	"fmt"
	"net"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
)

// Config is the peer section of the settings.
type Config struct {
	ListenAddress    string            `koanf:"listen_address" usage:"IP and port to listen on for other nodes"`
	AdvertiseAddress string            `koanf:"advertise_address" usage:"IP and port at which other nodes reach this one; empty: listen_address"`
	Seeds            []string          `koanf:"seeds" usage:"peer addresses of some nodes, to join by"`
	Fleet            string            `koanf:"fleet" usage:"name of the fleet; nodes of another name are refused"`
	MaxFrameBytes    int               `koanf:"max_frame_bytes" usage:"largest message between nodes"`
	SendQueue        int               `koanf:"send_queue" usage:"messages that wait on one connection before more are dropped"`
	MaxConnections   int               `koanf:"max_connections" usage:"connections from other nodes at once"`
	DialTimeout      time.Duration     `koanf:"dial_timeout" usage:"limit for opening a connection to a node"`
	ProbeTimeout     time.Duration     `koanf:"probe_timeout" usage:"limit for a direct question whether a node lives"`
	WriteTimeout     time.Duration     `koanf:"write_timeout" usage:"limit for one write to a node"`
	IdleTimeout      time.Duration     `koanf:"idle_timeout" usage:"unused direct connections close after this"`
	TickEvery        time.Duration     `koanf:"tick_every" usage:"step of the failure detector"`
	Detector         membership.Config `koanf:"detector"`
}

// DefaultConfig returns the defaults. The listen address has no default.
func DefaultConfig() Config {
	return Config{
		Fleet:          "ringstream",
		MaxFrameBytes:  4 << 20,
		SendQueue:      256,
		MaxConnections: 2048,
		DialTimeout:    time.Second,
		ProbeTimeout:   600 * time.Millisecond,
		WriteTimeout:   5 * time.Second,
		IdleTimeout:    time.Minute,
		TickEvery:      100 * time.Millisecond,
		Detector:       membership.DefaultConfig(),
	}
}

// Validate checks the settings. Its error names the invalid key.
func (c Config) Validate() error {
	if err := checkAddress("listen_address", c.ListenAddress); err != nil {
		return err
	}
	if c.AdvertiseAddress != "" {
		if err := checkAddress("advertise_address", c.AdvertiseAddress); err != nil {
			return err
		}
	}
	for _, seed := range c.Seeds {
		if err := checkAddress("seeds", seed); err != nil {
			return err
		}
	}
	for key, value := range map[string]int64{
		"max_frame_bytes": int64(c.MaxFrameBytes), "send_queue": int64(c.SendQueue),
		"max_connections": int64(c.MaxConnections), "dial_timeout": int64(c.DialTimeout),
		"probe_timeout": int64(c.ProbeTimeout), "write_timeout": int64(c.WriteTimeout),
		"idle_timeout": int64(c.IdleTimeout), "tick_every": int64(c.TickEvery),
	} {
		if value <= 0 {
			return fmt.Errorf("%s: must be above 0", key)
		}
	}
	if err := c.Detector.Validate(); err != nil {
		return fmt.Errorf("detector.%w", err)
	}
	return nil
}

// advertised returns the address at which other nodes reach this one.
func (c Config) advertised() string {
	if c.AdvertiseAddress != "" {
		return c.AdvertiseAddress
	}
	return c.ListenAddress
}

// checkAddress checks that an address has the form IP:port.
func checkAddress(key, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%s: %q is not host:port", key, address)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%s: %q: the host must be an IP number", key, address)
	}
	return nil
}

// Identity is a node's description of itself to other nodes.
type Identity struct {
	ID             identity.NodeID
	Zone, Region   string
	GatewayAddress string
}

func (i Identity) validate() error {
	if i.ID == "" || len(i.ID) > maxOriginBytes {
		return errors.New("peer: node id is empty or too long")
	}
	return nil
}

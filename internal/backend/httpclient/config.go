// Package httpclient implements the interfaces of package backend over HTTP, with one
// adapter for each. It defines URLs, encoding and connections, and determines the
// effect of a failed call. It never retries, because only its callers know which
// calls may be repeated.
package httpclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"
)

// Config holds the addresses of the platform's systems and the limits of calls.
type Config struct {
	TableURL     string `koanf:"table_url" usage:"base URL of the transactional table service"`
	ObjectsURL   string `koanf:"objects_url" usage:"base URL of the object store"`
	WeightsURL   string `koanf:"weights_url" usage:"base URL of the weight store"`
	MachinesURL  string `koanf:"machines_url" usage:"base URL of the platform's machine list"`
	OtherSiteURL string `koanf:"other_site_url" usage:"base URL of the other site's callers' API; empty: there is no other site"`

	ConnectTimeout time.Duration `koanf:"connect_timeout" usage:"longest wait for a TCP connection"`
	CallTimeout    time.Duration `koanf:"call_timeout" usage:"longest time of one call, streams excepted"`
	AcceptTimeout  time.Duration `koanf:"accept_timeout" usage:"longest wait for an engine or the other site to take a request"`
	IdleTimeout    time.Duration `koanf:"idle_timeout" usage:"how long an unused connection is kept"`

	IdleConnections        int `koanf:"idle_connections" usage:"unused connections kept in all"`
	IdleConnectionsPerHost int `koanf:"idle_connections_per_host" usage:"unused connections kept to one engine or system"`
}

// DefaultConfig returns settings that suit a node with 100 to 200 engines. The URLs
// are empty.
func DefaultConfig() Config {
	return Config{
		ConnectTimeout:         time.Second,
		CallTimeout:            5 * time.Second,
		AcceptTimeout:          5 * time.Second,
		IdleTimeout:            90 * time.Second,
		IdleConnections:        4096,
		IdleConnectionsPerHost: 64,
	}
}

// Validate checks the settings. Each error names its key.
func (c Config) Validate() error {
	var problems []error
	urls := []struct {
		key, value string
		required   bool
	}{
		{"table_url", c.TableURL, true},
		{"objects_url", c.ObjectsURL, true},
		{"weights_url", c.WeightsURL, true},
		{"machines_url", c.MachinesURL, true},
		{"other_site_url", c.OtherSiteURL, false},
	}
	for _, entry := range urls {
		if entry.value == "" && !entry.required {
			continue
		}
		if err := checkURL(entry.value); err != nil {
			problems = append(problems, fmt.Errorf("%s: %w", entry.key, err))
		}
	}
	durations := []struct {
		key   string
		value time.Duration
	}{
		{"connect_timeout", c.ConnectTimeout},
		{"call_timeout", c.CallTimeout},
		{"accept_timeout", c.AcceptTimeout},
		{"idle_timeout", c.IdleTimeout},
	}
	for _, entry := range durations {
		if entry.value <= 0 {
			problems = append(problems, fmt.Errorf("%s: must be above 0, is %s", entry.key, entry.value))
		}
	}
	if c.IdleConnections < 1 {
		problems = append(problems, fmt.Errorf("idle_connections: must be at least 1, is %d", c.IdleConnections))
	}
	if c.IdleConnectionsPerHost < 1 {
		problems = append(problems, fmt.Errorf("idle_connections_per_host: must be at least 1, is %d", c.IdleConnectionsPerHost))
	}
	return errors.Join(problems...)
}

// checkURL requires the scheme http or https, an IP address, a port and no path.
func checkURL(raw string) error {
	parsed, err := url.Parse(raw)
	if err != nil {
		return err
	}
	if parsed.Scheme != "http" && parsed.Scheme != "https" {
		return fmt.Errorf("must be http://ADDRESS:PORT or https://ADDRESS:PORT, is %q", raw)
	}
	if net.ParseIP(parsed.Hostname()) == nil {
		return fmt.Errorf("the host must be an IP number, is %q", parsed.Hostname())
	}
	if parsed.Port() == "" {
		return fmt.Errorf("needs a port, is %q", raw)
	}
	if parsed.Path != "" && parsed.Path != "/" {
		return fmt.Errorf("must have no path, is %q", raw)
	}
	return nil
}

// newTransport returns a transport that pools connections. It does not limit the
// duration of a stream.
func newTransport(config Config, dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, config.ConnectTimeout)
			defer cancel()
			return dial(ctx, network, address)
		},
		MaxIdleConns:        config.IdleConnections,
		MaxIdleConnsPerHost: config.IdleConnectionsPerHost,
		IdleConnTimeout:     config.IdleTimeout,
		TLSHandshakeTimeout: config.ConnectTimeout,
		DisableCompression:  true,
		ReadBufferSize:      streamBufferBytes,
	}
}

// streamBufferBytes is the size of a read buffer. It holds some tens of token lines.
const streamBufferBytes = 4 << 10

package httpclient

import (
	"context"
	"net"
	"net/http"
	"time"

	"ringstream.example/ringstream/internal/backend"
)

// Clients holds one adapter for each system of the platform.
type Clients struct {
	Table    backend.Table
	Objects  backend.Objects
	Weights  backend.Weights
	Machines backend.MachineList
	// Site is nil if there is no other site.
	Site    backend.Site
	Engines backend.Engines

	transport *http.Transport
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New creates the adapters. It opens no connection.
func New(config Config) (*Clients, error) {
	return NewWithDial(config, (&net.Dialer{KeepAlive: keepAlive}).DialContext)
}

// keepAlive is the interval of TCP keep-alive probes on idle connections.
const keepAlive = 15 * time.Second

// NewWithDial creates adapters that open their connections with dial.
func NewWithDial(config Config, dial DialFunc) (*Clients, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	transport := newTransport(config, dial)
	// The client follows no redirects and returns the first response.
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	caller := func(system, base string) *caller {
		return &caller{
			client: client, system: system, base: trimSlash(base),
			callTimeout: config.CallTimeout, acceptTimeout: config.AcceptTimeout,
		}
	}
	clients := &Clients{
		Table:     &table{caller("table", config.TableURL)},
		Objects:   &objects{caller("objects", config.ObjectsURL)},
		Weights:   &weights{caller("weights", config.WeightsURL)},
		Machines:  &machines{caller("machines", config.MachinesURL)},
		Engines:   &engines{caller: caller},
		transport: transport,
	}
	if config.OtherSiteURL != "" {
		clients.Site = &site{caller("site", config.OtherSiteURL)}
	}
	return clients, nil
}

// Close closes idle connections.
func (c *Clients) Close() {
	c.transport.CloseIdleConnections()
}

func trimSlash(base string) string {
	for base != "" && base[len(base)-1] == '/' {
		base = base[:len(base)-1]
	}
	return base
}

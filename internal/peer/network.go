package peer

import (
	"context"
	"crypto/tls"
	"net"
)

// Network opens and accepts connections. Nodes use TCP; tests and the bench use
// package memnet.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

// TCP is the machine's TCP network.
type TCP struct{}

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen listens on a TCP address.
func (TCP) Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // the HTTP servers' planned stop needs plain TCP sockets
	return config.Listen(context.Background(), "tcp", address)
}

// TLS is the pair of configurations for mutual TLS between nodes. Both verify
// the other side against the fleet's authority.
type TLS struct {
	Server *tls.Config
	// Client returns the configuration for one dial.
	Client func() *tls.Config
}

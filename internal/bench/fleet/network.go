package fleet

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"ringstream.example/ringstream/internal/peer"
)

// cuttableNetwork is a node's TCP network that can be cut permanently, as when the machine is lost.
// A cut closes every socket at once, and no socket can be opened afterwards.
type cuttableNetwork struct {
	tcp         peer.TCP
	peerAddress string
	// peerBytes counts the bytes in both directions of connections that other nodes opened, so that
	// each byte between nodes counts once.
	peerBytes atomic.Int64

	mutex   sync.Mutex
	isCut   bool
	sockets map[interface{ Close() error }]struct{}
}

var errCut = errors.New("the machine is lost")

// cut closes all sockets and prevents new ones.
func (n *cuttableNetwork) cut() {
	n.mutex.Lock()
	n.isCut = true
	sockets := n.sockets
	n.sockets = nil
	n.mutex.Unlock()
	for socket := range sockets {
		_ = socket.Close() // the socket may already be closed
	}
}

// register adds an open socket. After the cut it closes the socket and returns errCut.
func (n *cuttableNetwork) register(socket interface{ Close() error }) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.isCut {
		_ = socket.Close()
		return errCut
	}
	if n.sockets == nil {
		n.sockets = map[interface{ Close() error }]struct{}{}
	}
	n.sockets[socket] = struct{}{}
	return nil
}

func (n *cuttableNetwork) unregister(socket interface{ Close() error }) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.sockets, socket)
}

// Listen implements peer.Network.
func (n *cuttableNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.tcp.Listen(address)
	if err != nil {
		return nil, err
	}
	kept := &cuttableListener{Listener: listener, network: n}
	if address == n.peerAddress {
		kept.bytes = &n.peerBytes
	}
	return kept, n.register(kept.Listener)
}

// Dial implements peer.Network.
func (n *cuttableNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := n.tcp.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return n.wrap(connection, nil)
}

func (n *cuttableNetwork) wrap(connection net.Conn, bytes *atomic.Int64) (net.Conn, error) {
	if err := n.register(connection); err != nil {
		return nil, err
	}
	return &cuttableConnection{Conn: connection, network: n, bytes: bytes}, nil
}

type cuttableListener struct {
	net.Listener
	network *cuttableNetwork
	bytes   *atomic.Int64 // nil: not counted
}

// Accept implements net.Listener.
func (l *cuttableListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.wrap(connection, l.bytes)
}

type cuttableConnection struct {
	net.Conn
	network *cuttableNetwork
	bytes   *atomic.Int64 // nil: not counted
}

// Read implements net.Conn.
func (c *cuttableConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.count(count)
	return count, err
}

// Write implements net.Conn.
func (c *cuttableConnection) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.count(count)
	return count, err
}

func (c *cuttableConnection) count(bytes int) {
	if c.bytes != nil {
		c.bytes.Add(int64(bytes))
	}
}

// Close implements net.Conn.
func (c *cuttableConnection) Close() error {
	c.network.unregister(c.Conn)
	return c.Conn.Close()
}

package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"time"

	"ringstream.example/ringstream/internal/core/membership"
)

// protocolVersion is incremented by changes that make nodes incompatible.
const protocolVersion = 1

// purpose is the use of a connection. Its values are part of the wire format.
type purpose uint8

const (
	purposeLink   purpose = iota + 1 // an overlay link
	purposeDirect                    // sends and calls to a node without a link
	purposeStream                    // one stream
	purposeProbe                     // the handshake alone
)

// hello is the message of the first frame in each direction.
type hello struct {
	Version int
	Fleet   string
	Purpose purpose
	From    membership.Member
}

var errHandshakeRejected = errors.New("peer: handshake rejected")

// wire is a network connection with its encoder and decoder, each of which is
// used by one goroutine at a time.
type wire struct {
	conn    net.Conn
	writer  *bufio.Writer
	encoder *encoder
	decoder *decoder
}

func newWire(conn net.Conn, limit int) *wire {
	writer := bufio.NewWriter(conn)
	return &wire{conn: conn, writer: writer, encoder: newEncoder(writer, limit), decoder: newDecoder(bufio.NewReader(conn), limit)}
}

// close closes the connection at once, without sending TLS's close_notify alert.
func (w *wire) close() {
	if secured, ok := w.conn.(*tls.Conn); ok {
		_ = secured.NetConn().Close()
		return
	}
	_ = w.conn.Close()
}

// sendHello sends this node's hello.
func (n *Node) sendHello(w *wire, connPurpose purpose) error {
	n.mu.Lock()
	self := n.machine.Self()
	n.mu.Unlock()
	message := hello{Version: protocolVersion, Fleet: n.config.Fleet, Purpose: connPurpose, From: self}
	msgType, err := typeOf(message)
	if err != nil {
		return err
	}
	size, err := w.encoder.encode(&frame{kind: frameMessage, message: message, msgType: msgType})
	if err != nil {
		return err
	}
	n.traffic.sent(msgType, size)
	return w.writer.Flush()
}

// receiveHello receives and verifies the hello of the other side.
func (n *Node) receiveHello(w *wire) (hello, error) {
	f, size, err := w.decoder.decode()
	if err != nil {
		return hello{}, err
	}
	n.traffic.received(f.msgType, size)
	greeting, ok := f.message.(hello)
	switch {
	case !ok:
		return hello{}, fmt.Errorf("%w: first frame is not a hello", errFrameInvalid)
	case greeting.Version != protocolVersion:
		return hello{}, fmt.Errorf("%w: unsupported protocol version %d", errHandshakeRejected, greeting.Version)
	case greeting.Fleet != n.config.Fleet:
		return hello{}, fmt.Errorf("%w: node belongs to fleet %q", errHandshakeRejected, greeting.Fleet)
	case greeting.From.ID == "" || len(greeting.From.ID) > maxOriginBytes:
		return hello{}, fmt.Errorf("%w: node id is empty or too long", errHandshakeRejected)
	}
	return greeting, verifyCertificate(w.conn, greeting.From)
}

// verifyCertificate checks a claimed address against the certificate: a node may
// claim only an IP address that its certificate names. A certificate without IP
// addresses is valid for all nodes of the fleet.
func verifyCertificate(conn net.Conn, claimed membership.Member) error {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	chain := secured.ConnectionState().PeerCertificates
	if len(chain) == 0 {
		return fmt.Errorf("%w: no certificate", errHandshakeRejected)
	}
	return verifyAddress(chain[0], claimed.PeerAddress)
}

// verifyAddress checks that a certificate is valid for the IP address of a host:port pair.
func verifyAddress(certificate *x509.Certificate, address string) error {
	if len(certificate.IPAddresses) == 0 {
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%w: invalid peer address %q", errHandshakeRejected, address)
	}
	ip := net.ParseIP(host)
	for _, named := range certificate.IPAddresses {
		if named.Equal(ip) {
			return nil
		}
	}
	return fmt.Errorf("%w: certificate does not name IP address %s", errHandshakeRejected, host)
}

// dial opens a connection and completes the handshake. It returns the member that the other side claims to be.
// Its errors wrap ErrUnreachable.
func (n *Node) dial(ctx context.Context, address string, connPurpose purpose) (*wire, membership.Member, error) {
	conn, err := n.network.Dial(ctx, address)
	if err != nil {
		return nil, membership.Member{}, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(n.config.DialTimeout)
	}
	_ = conn.SetDeadline(deadline)
	if n.tls != nil {
		conn = n.secure(conn, address)
	}
	w := newWire(conn, n.config.MaxFrameBytes)
	stop := context.AfterFunc(ctx, w.close)
	defer stop()
	if err = n.sendHello(w, connPurpose); err != nil {
		w.close()
		return nil, membership.Member{}, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	greeting, err := n.receiveHello(w)
	if err != nil {
		w.close()
		return nil, membership.Member{}, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	_ = conn.SetDeadline(time.Time{})
	return w, greeting.From, nil
}

// secure wraps a dialed connection in TLS.
func (n *Node) secure(conn net.Conn, address string) net.Conn {
	config := n.tls.Client()
	if config.ServerName == "" {
		config = config.Clone()
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	return tls.Client(conn, config)
}

// accept completes the handshake on an accepted connection and returns the hello of the other side.
func (n *Node) accept(conn net.Conn) (*wire, hello, error) {
	_ = conn.SetDeadline(time.Now().Add(n.config.DialTimeout))
	if n.tls != nil {
		conn = tls.Server(conn, n.tls.Server)
	}
	w := newWire(conn, n.config.MaxFrameBytes)
	greeting, err := n.receiveHello(w)
	if err == nil {
		err = n.sendHello(w, greeting.Purpose)
	}
	if err != nil {
		w.close()
		return nil, hello{}, err
	}
	_ = conn.SetDeadline(time.Time{})
	return w, greeting, nil
}

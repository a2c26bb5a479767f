// Package netsim simulates a network inside one process. Hosts with IP
// addresses listen, dial and exchange bytes over connections with latency.
// Links can be cut, and hosts can be frozen, killed or lost. The package blocks
// only on timers and channels, so that whole nodes run on it in a
// testing/synctest bubble. It models TCP as far as programs see it: bytes that
// a cut delays arrive when the cut ends.
//
// Lock order: a pipe's lock is taken before the Network's.
package netsim

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Latency returns the one-way delay between two hosts.
type Latency func(from, to netip.Addr) time.Duration

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	latency Latency

	mu          sync.Mutex
	listeners   map[netip.AddrPort]*listener
	conns       map[*conn]struct{}
	cuts        map[link]bool
	frozen      map[netip.Addr]bool
	lost        map[netip.Addr]bool
	dead        map[netip.Addr]bool
	generations map[netip.Addr]int // number of processes killed or lost so far, by host
	changed     chan struct{}      // closed and replaced when cuts, frozen, lost or dead change
	lastPort    uint16
}

type link struct{ from, to netip.Addr }

// New returns a network without hosts. A nil latency means no delay.
func New(latency Latency) *Network {
	if latency == nil {
		latency = func(netip.Addr, netip.Addr) time.Duration { return 0 }
	}
	const firstPort = 40_000
	return &Network{
		latency: latency, listeners: map[netip.AddrPort]*listener{}, conns: map[*conn]struct{}{},
		cuts: map[link]bool{}, frozen: map[netip.Addr]bool{}, lost: map[netip.Addr]bool{}, dead: map[netip.Addr]bool{},
		generations: map[netip.Addr]int{}, changed: make(chan struct{}), lastPort: firstPort,
	}
}

// update edits the state of the network and wakes all goroutines that wait for it to change.
func (n *Network) update(edit func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	edit()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Cut delays what the first host sends to the second until Heal, in this
// direction only. Meanwhile no connection is established between the two.
func (n *Network) Cut(from, to netip.Addr) { n.update(func() { n.cuts[link{from, to}] = true }) }

// Heal ends a Cut.
func (n *Network) Heal(from, to netip.Addr) { n.update(func() { delete(n.cuts, link{from, to}) }) }

// Freeze blocks a host's own reads, writes, dials and accepts, as when its
// process is paused, or unblocks them. Other hosts can still connect and send
// to a frozen host.
func (n *Network) Freeze(host netip.Addr, frozen bool) {
	n.update(func() { n.frozen[host] = frozen })
}

// Kill ends a host's process: its listeners are closed and its connections are
// reset. Goroutines of the killed process can no longer use the network.
func (n *Network) Kill(host netip.Addr) {
	n.update(func() {
		n.dead[host] = true
		n.generations[host]++
	})
	n.closeHost(host)
}

// Isolate makes a host unreachable, as when its machine fails: its peers receive
// neither data nor a reset.
func (n *Network) Isolate(host netip.Addr) {
	n.update(func() {
		n.lost[host] = true
		n.generations[host]++
	})
}

// Revive makes a killed or lost host usable again; its old connections are reset.
func (n *Network) Revive(host netip.Addr) {
	n.closeHost(host)
	n.update(func() { n.dead[host], n.lost[host], n.frozen[host] = false, false, false })
}

// closeHost closes all listeners and resets all connections of a host.
func (n *Network) closeHost(host netip.Addr) {
	n.mu.Lock()
	var listeners []*listener
	for address, open := range n.listeners {
		if address.Addr() == host {
			listeners = append(listeners, open)
		}
	}
	var conns []*conn
	for open := range n.conns {
		if open.local.Addr() == host {
			conns = append(conns, open)
		}
	}
	n.mu.Unlock()
	for _, open := range listeners {
		_ = open.Close() // closing twice is harmless
	}
	for _, open := range conns {
		open.reset()
	}
}

// linkBlocked reports whether bytes from one host currently do not reach
// another. The returned channel is closed at the next change of the network.
func (n *Network) linkBlocked(from, to netip.Addr) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[link{from, to}] || n.lost[from] || n.lost[to], n.changed
}

// isFrozen reports whether a host's own calls are currently blocked. The
// returned channel is closed at the next change of the network.
func (n *Network) isFrozen(host netip.Addr) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen[host], n.changed
}

// Host returns the network interface of one process on a host. Once the process
// has been killed or lost, a new process needs a new Host.
func (n *Network) Host(address netip.Addr) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &Host{network: n, address: address, generation: n.generations[address]}
}

// Host listens and dials as one process.
type Host struct {
	network    *Network
	address    netip.Addr
	generation int
}

// Listen opens a listener at an address of this host. Port 0 selects a free port.
func (h *Host) Listen(address string) (net.Listener, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if at.Port() == 0 {
		n.lastPort++
		at = netip.AddrPortFrom(at.Addr(), n.lastPort)
	}
	if at.Addr() != h.address || h.terminated() {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRNOTAVAIL}
	}
	if n.listeners[at] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	const backlog = 512
	open := &listener{network: n, address: at, backlog: make(chan *conn, backlog), closed: make(chan struct{})}
	n.listeners[at] = open
	return open, nil
}

// DialContext is Dial with the signature of net.Dialer.DialContext; the network name is ignored.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return h.Dial(ctx, address)
}

// Dial connects to an address.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	if err := h.handshake(ctx, to.Addr()); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	client, err := h.connect(to)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	return client, nil
}

// sleep waits for a duration and returns the error of ctx if that ends first. It creates no timer for a
// duration of zero or less: such a timer fires at once inside a synctest bubble, where the runtime
// crashed under the race detector in 10 of 12 runs of package jobs on a busy machine.
func sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// handshake waits for one round trip, and then until the host is not frozen and
// the link is open in both directions.
func (h *Host) handshake(ctx context.Context, to netip.Addr) error {
	n := h.network
	if err := sleep(ctx, n.latency(h.address, to)+n.latency(to, h.address)); err != nil {
		return err
	}
	for {
		frozen, changed := n.isFrozen(h.address)
		outboundBlocked, _ := n.linkBlocked(h.address, to)
		inboundBlocked, _ := n.linkBlocked(to, h.address)
		if !frozen && !outboundBlocked && !inboundBlocked {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// terminated reports whether the process was killed or lost. The caller holds the network's lock.
func (h *Host) terminated() bool { return h.generation != h.network.generations[h.address] }

// connect creates both ends of a connection and queues the server's end at the listener.
func (h *Host) connect(to netip.AddrPort) (*conn, error) {
	n, from := h.network, h.address
	n.mu.Lock()
	defer n.mu.Unlock()
	if h.terminated() {
		return nil, syscall.ENETDOWN
	}
	target := n.listeners[to]
	if target == nil || n.dead[to.Addr()] {
		return nil, syscall.ECONNREFUSED
	}
	n.lastPort++
	local := netip.AddrPortFrom(from, n.lastPort)
	toServer, toClient := newPipe(n, from, to.Addr()), newPipe(n, to.Addr(), from)
	client := &conn{network: n, local: local, remote: to, in: toClient, out: toServer}
	server := &conn{network: n, local: to, remote: local, in: toServer, out: toClient}
	select {
	case target.backlog <- server:
	default:
		return nil, syscall.ECONNREFUSED
	}
	n.conns[client], n.conns[server] = struct{}{}, struct{}{}
	return client, nil
}

// listener accepts connections at one address.
type listener struct {
	network *Network
	address netip.AddrPort
	backlog chan *conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		frozen, changed := l.network.isFrozen(l.address.Addr())
		if frozen {
			select {
			case <-l.closed:
				return nil, net.ErrClosed
			case <-changed:
			}
			continue
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-changed:
		case accepted := <-l.backlog:
			return accepted, nil
		}
	}
}

// Close implements net.Listener. Connections not yet accepted are reset.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
		for {
			select {
			case waiting := <-l.backlog:
				waiting.reset()
			default:
				return
			}
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// OpenConnections returns the number of open connections of a host, dialed and accepted ones.
func (n *Network) OpenConnections(host netip.Addr) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for open := range n.conns {
		if open.local.Addr() == host {
			count++
		}
	}
	return count
}

// Cuts returns the cuts in force as pairs of sender and receiver in address order, for reports.
func (n *Network) Cuts() [][2]netip.Addr {
	n.mu.Lock()
	defer n.mu.Unlock()
	var cuts [][2]netip.Addr
	for cut := range n.cuts {
		cuts = append(cuts, [2]netip.Addr{cut.from, cut.to})
	}
	slices.SortFunc(cuts, func(a, b [2]netip.Addr) int {
		if by := a[0].Compare(b[0]); by != 0 {
			return by
		}
		return a[1].Compare(b[1])
	})
	return cuts
}

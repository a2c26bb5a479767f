// Package netsim is a network inside one process: hosts with IP numbers that
// listen, dial and exchange bytes over connections with latency, and that can
// be cut, frozen, killed and lost. It keeps to timers and channels, so that
// whole nodes run on it in a testing/synctest bubble. It models TCP as far as
// programs see it: what a cut holds back arrives when the cut ends.
//
// Lock order: a pipe's lock before the Network's.
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

// Latency gives the one-way delay between two hosts.
type Latency func(from, to netip.Addr) time.Duration

// Network joins hosts. It is safe for concurrent use.
type Network struct {
	latency Latency

	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	conns     map[*conn]struct{}
	cuts      map[link]bool
	frozen    map[netip.Addr]bool
	lost      map[netip.Addr]bool
	dead      map[netip.Addr]bool
	processes map[netip.Addr]int // killed or lost so far, by host
	changed   chan struct{}      // closed and replaced when cuts, frozen, lost or dead change
	lastPort  uint16
}

type link struct{ from, to netip.Addr }

// New makes a network; nil latency means none.
func New(latency Latency) *Network {
	if latency == nil {
		latency = func(netip.Addr, netip.Addr) time.Duration { return 0 }
	}
	const firstPort = 40_000
	return &Network{
		latency: latency, listeners: map[netip.AddrPort]*listener{}, conns: map[*conn]struct{}{},
		cuts: map[link]bool{}, frozen: map[netip.Addr]bool{}, lost: map[netip.Addr]bool{}, dead: map[netip.Addr]bool{},
		processes: map[netip.Addr]int{}, changed: make(chan struct{}), lastPort: firstPort,
	}
}

// change edits the state of the network and wakes all that wait on it.
func (n *Network) change(edit func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	edit()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Cut holds back what the first host sends to the second, in this direction
// only. No connection is made between the two meanwhile.
func (n *Network) Cut(from, to netip.Addr) { n.change(func() { n.cuts[link{from, to}] = true }) }

// Join ends a Cut.
func (n *Network) Join(from, to netip.Addr) { n.change(func() { delete(n.cuts, link{from, to}) }) }

// Freeze stops a host's own reads, writes, dials and accepts, as when its
// process is paused; others can still connect and send to it.
func (n *Network) Freeze(host netip.Addr, frozen bool) {
	n.change(func() { n.frozen[host] = frozen })
}

// Kill ends a host's process: its listeners go and its connections are reset.
// What is left of the process in memory can do nothing more.
func (n *Network) Kill(host netip.Addr) {
	n.change(func() {
		n.dead[host] = true
		n.processes[host]++
	})
	n.drop(host)
}

// Lose takes a host's machine away: whoever talks to it hears nothing more.
func (n *Network) Lose(host netip.Addr) {
	n.change(func() {
		n.lost[host] = true
		n.processes[host]++
	})
}

// Revive makes a killed or lost host usable again; its old connections are reset.
func (n *Network) Revive(host netip.Addr) {
	n.drop(host)
	n.change(func() { n.dead[host], n.lost[host], n.frozen[host] = false, false, false })
}

// drop ends all listeners and connections of a host.
func (n *Network) drop(host netip.Addr) {
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

// held says whether bytes from one host do not reach another now.
func (n *Network) held(from, to netip.Addr) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[link{from, to}] || n.lost[from] || n.lost[to], n.changed
}

// stopped says whether a host's own calls stand still now.
func (n *Network) stopped(host netip.Addr) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen[host], n.changed
}

// Host gives the calls of one process on a host. Once the process has been
// killed or lost, a new one needs a new Host.
func (n *Network) Host(address netip.Addr) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &Host{network: n, address: address, process: n.processes[address]}
}

// Host listens and dials as one process.
type Host struct {
	network *Network
	address netip.Addr
	process int
}

// Listen opens a listener at an address of this host; port 0 takes a free one.
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
	if at.Addr() != h.address || h.gone() {
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

// DialContext is Dial in the form of net.Dialer.
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

// pass waits for a time; its error is that of ctx. Without a time there is no timer: one that is due as
// it is made runs at once inside of a synctest bubble, where the runtime crashed under the race
// detector in 10 of 12 runs of package jobs on a busy machine.
func pass(ctx context.Context, length time.Duration) error {
	if length <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// handshake takes the time of one round trip, and as long as anything is in
// its way.
func (h *Host) handshake(ctx context.Context, to netip.Addr) error {
	n := h.network
	if err := pass(ctx, n.latency(h.address, to)+n.latency(to, h.address)); err != nil {
		return err
	}
	for {
		frozen, changed := n.stopped(h.address)
		out, _ := n.held(h.address, to)
		back, _ := n.held(to, h.address)
		if !frozen && !out && !back {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// gone says that the process was killed or lost. Caller holds the network's lock.
func (h *Host) gone() bool { return h.process != h.network.processes[h.address] }

// connect makes both ends of a connection.
func (h *Host) connect(to netip.AddrPort) (*conn, error) {
	n, from := h.network, h.address
	n.mu.Lock()
	defer n.mu.Unlock()
	if h.gone() {
		return nil, syscall.ENETDOWN
	}
	target := n.listeners[to]
	if target == nil || n.dead[to.Addr()] {
		return nil, syscall.ECONNREFUSED
	}
	n.lastPort++
	local := netip.AddrPortFrom(from, n.lastPort)
	there, back := newPipe(n, from, to.Addr()), newPipe(n, to.Addr(), from)
	client := &conn{network: n, local: local, remote: to, in: back, out: there}
	server := &conn{network: n, local: to, remote: local, in: there, out: back}
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
		frozen, changed := l.network.stopped(l.address.Addr())
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

// Close implements net.Listener; connections not yet accepted are reset.
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

// Open counts the open connections of a host, both those dialled and accepted.
func (n *Network) Open(host netip.Addr) int {
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

// Cuts lists the cuts in force, for reports.
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

package peer

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/events"
)

const (
	// sweepEvery is the minimum time between two calls of sweep.
	sweepEvery = 10 * time.Second
	// stopFlushTimeout is how long a stopping node waits until its links have sent their last messages.
	stopFlushTimeout = 500 * time.Millisecond
)

// Node connects this process to the other nodes of the fleet. It implements Bus.
type Node struct {
	config   Config
	identity Identity
	tls      *TLS
	network  Network
	logger   *zap.Logger

	ctx    context.Context // ends with Run
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu      sync.Mutex // guards machine, links and changed; never held while waiting
	machine *membership.Machine
	links   map[identity.NodeID]*connection
	changed chan struct{}
	view    atomic.Pointer[membership.View]

	connectionsMu sync.Mutex
	stopping      bool
	direct        map[identity.NodeID]*connection
	streams       map[*stream]struct{}
	accepted      map[*connection]struct{}

	handlersMu     sync.RWMutex
	handlers       map[reflect.Type]Handler
	streamHandlers map[reflect.Type]StreamHandler

	seen            seenFloods
	floods          atomic.Uint64
	traffic         traffic
	accusations     atomic.Int64
	refutations     atomic.Int64
	connectionSlots chan struct{}
}

var _ Bus = (*Node)(nil)

// Option changes a default of New.
type Option func(*Node)

// WithNetwork makes the node use a network other than TCP.
func WithNetwork(network Network) Option { return func(n *Node) { n.network = network } }

// New creates a node, which opens no connections before Run. Without tls (nil) the
// connections are not encrypted, and without registerer (nil) there are no metrics.
func New(config Config, self Identity, tls *TLS, logger *zap.Logger, registerer prometheus.Registerer, options ...Option) (*Node, error) {
	if err := config.Validate(); err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	if err := self.validate(); err != nil {
		return nil, err
	}
	now := time.Now()
	member := membership.Member{
		ID: self.ID, PeerAddress: config.advertised(), GatewayAddress: self.GatewayAddress,
		Zone: self.Zone, Region: self.Region, Incarnation: uint64(now.UnixMilli()),
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := &Node{
		config: config, identity: self, tls: tls, network: TCP{}, logger: logger,
		ctx: ctx, cancel: cancel,
		machine: membership.New(config.Detector, member, config.Seeds, now),
		links:   map[identity.NodeID]*connection{}, changed: make(chan struct{}),
		direct:   map[identity.NodeID]*connection{},
		streams:  map[*stream]struct{}{},
		accepted: map[*connection]struct{}{},
		handlers: map[reflect.Type]Handler{}, streamHandlers: map[reflect.Type]StreamHandler{},
		seen:            seenFloods{origins: map[identity.NodeID]*floodHistory{}},
		connectionSlots: make(chan struct{}, config.MaxConnections),
	}
	view := node.machine.View()
	node.view.Store(&view)
	for _, option := range options {
		option(node)
	}
	if registerer != nil {
		if err := registerer.Register(collector{node}); err != nil {
			cancel()
			return nil, fmt.Errorf("peer: metrics: %w", err)
		}
	}
	return node, nil
}

// Run listens, joins the fleet and takes part in it until ctx is done. It then announces
// to the others that the node has stopped, and closes all connections.
func (n *Node) Run(ctx context.Context) error {
	defer n.cancel()
	listener, err := n.network.Listen(n.config.ListenAddress)
	if err != nil {
		return fmt.Errorf("peer: listen on %s: %w", n.config.ListenAddress, err)
	}
	events.PeerListening.Log(n.logger, zap.String("address", n.config.ListenAddress))
	n.spawn(func() { n.listen(listener) })
	n.step(membership.Tick{})
	ticker := time.NewTicker(n.config.TickEvery)
	defer ticker.Stop()
	// There is one ticker for both tasks: in Go 1.26, two timer channels that fire at
	// the same instant of a synctest bubble can crash the race detector.
	lastSweep := time.Now()
	for {
		select {
		case now := <-ticker.C:
			n.step(membership.Tick{})
			if now.Sub(lastSweep) >= sweepEvery {
				lastSweep = now
				n.sweep()
			}
		case <-ctx.Done():
			n.stop(listener)
			return nil
		}
	}
}

// Leave announces that this node will stop, so that others send it no new work. Run
// continues until its context ends.
func (n *Node) Leave() { n.step(membership.LeaveAnnounced{}) }

// Hint adds peer addresses from the platform's machine list as addresses to dial. They
// do not make a node a member.
func (n *Node) Hint(addresses []string) { n.step(membership.AddressesDiscovered{Addresses: addresses}) }

// Links returns the number of established overlay links.
func (n *Node) Links() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links)
}

// stop announces that this node has stopped, waits up to stopFlushTimeout until its links have sent their
// queues, closes everything and waits for the node's goroutines.
func (n *Node) stop(listener net.Listener) {
	_ = listener.Close()
	n.step(membership.LeaveAnnounced{})
	n.mu.Lock()
	n.perform(n.machine.Step(time.Now(), membership.Stopped{}))
	links := make([]*connection, 0, len(n.links))
	for _, link := range n.links {
		links = append(links, link)
		_ = link.enqueue(frame{kind: frameEnd})
	}
	n.mu.Unlock()
	flushTimer := time.NewTimer(stopFlushTimeout)
	defer flushTimer.Stop()
	for _, link := range links {
		select {
		case <-link.done:
		case <-flushTimer.C:
			flushTimer.Reset(0)
		}
	}
	n.cancel()
	n.closeAll()
	n.group.Wait()
}

// closeAll closes all connections and streams and prevents new ones.
func (n *Node) closeAll() {
	n.mu.Lock()
	links := n.links
	n.links = map[identity.NodeID]*connection{}
	n.mu.Unlock()
	n.connectionsMu.Lock()
	n.stopping = true
	direct, accepted, streams := n.direct, n.accepted, n.streams
	n.direct = map[identity.NodeID]*connection{}
	n.accepted = map[*connection]struct{}{}
	n.streams = map[*stream]struct{}{}
	n.connectionsMu.Unlock()
	for _, link := range links {
		link.close(ErrConnectionLost)
	}
	for _, connection := range direct {
		connection.close(ErrConnectionLost)
	}
	for connection := range accepted {
		connection.close(ErrConnectionLost)
	}
	for open := range streams {
		open.abort()
	}
}

// spawn starts a goroutine that stop waits for. It returns false, without starting one, if the node is stopping.
func (n *Node) spawn(run func()) bool {
	n.connectionsMu.Lock()
	defer n.connectionsMu.Unlock()
	if n.stopping {
		return false
	}
	n.group.Add(1)
	go func() {
		defer n.group.Done()
		run()
	}()
	return true
}

// step passes an event to the membership machine and executes its effects.
func (n *Node) step(event membership.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.perform(n.machine.Step(time.Now(), event))
}

// perform executes effects of the membership machine without blocking. The caller holds mu.
func (n *Node) perform(effects []membership.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case membership.Send:
			n.sendControl(effect)
		case membership.Connect:
			n.spawn(func() { n.connect(effect) })
		case membership.Disconnect:
			if link := n.links[effect.ID]; link != nil {
				link.close(ErrConnectionLost)
			}
		case membership.Probe:
			n.spawn(func() { n.probe(effect) })
		case membership.ViewChanged:
			n.view.Store(&effect.View)
			close(n.changed)
			n.changed = make(chan struct{})
		case membership.MemberChanged:
			n.memberChanged(effect)
		case membership.SuspicionRaised:
			n.accusations.Add(1)
			events.MemberSuspected.Log(n.logger, zap.String("member", string(effect.ID)), zap.String("reason", effect.Reason))
		case membership.Refuted:
			n.refutations.Add(1)
			events.DeathReportRefuted.Log(n.logger, zap.Uint64("incarnation", effect.Incarnation))
		case membership.Paused:
			events.NodePaused.Log(n.logger, zap.Float64("seconds", effect.Seconds))
		}
	}
}

// sendControl queues a membership message on the link to its receiver, if there is one. The caller holds mu.
func (n *Node) sendControl(effect membership.Send) {
	link := n.links[effect.To]
	if link == nil {
		return
	}
	if msgType, err := typeOf(effect.Message); err == nil {
		_ = link.enqueue(frame{kind: frameMessage, message: effect.Message, msgType: msgType})
	}
}

// memberChanged logs a change of a member. If the member is dead, memberChanged starts closing all
// connections and streams to it, since they would wait for answers in vain. The caller holds mu.
func (n *Node) memberChanged(effect membership.MemberChanged) {
	fields := []zap.Field{
		zap.String("member", string(effect.Member.ID)), zap.String("zone", effect.Member.Zone),
		zap.String("state", effect.Member.State.String()),
	}
	switch {
	case !effect.Known:
		events.MemberJoined.Log(n.logger, fields...)
	case effect.Member.State == membership.Dead && effect.Before == membership.Leaving:
		events.MemberLeft.Log(n.logger, fields...)
	case effect.Member.State == membership.Dead:
		events.MemberDead.Log(n.logger, fields...)
	default:
		events.MemberChanged.Log(n.logger, fields...)
	}
	if effect.Member.State == membership.Dead {
		n.spawn(func() { n.closeMember(effect.Member.ID) })
	}
}

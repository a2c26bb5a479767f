// Package node builds a production node from its components and runs them in one
// run.Group. It controls their start order and the planned stop, and contains no
// other logic.
package node

import (
	"context"
	"errors"
	"sync"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/admin"
	"ringstream.example/ringstream/internal/auth"
	"ringstream.example/ringstream/internal/backend/httpclient"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/dispatch"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/fleet"
	"ringstream.example/ringstream/internal/gateway"
	"ringstream.example/ringstream/internal/idempotency"
	"ringstream.example/ringstream/internal/jobs"
	"ringstream.example/ringstream/internal/limits"
	"ringstream.example/ringstream/internal/peer"
	"ringstream.example/ringstream/internal/rows"
	"ringstream.example/ringstream/internal/settings"
	"ringstream.example/ringstream/internal/suspension"
	"ringstream.example/ringstream/internal/tlsconfig"
	"ringstream.example/ringstream/internal/version"
)

// Node is one ringstream node.
type Node struct {
	id       identity.NodeID
	settings settings.Settings
	logger   *zap.Logger
	registry *prometheus.Registry
	network  peer.Network
	// suspensions is nil if suspensions are not detected.
	suspensions *suspension.Watch

	platform    *httpclient.Clients
	auth        *auth.Keys
	bus         *peer.Node
	rows        *rows.Service
	limits      *limits.Service
	engines     *fleet.Service
	dispatch    *dispatch.Service
	idempotency *idempotency.Store
	jobs        *jobs.Manager
	gateway     *gateway.Server
	admin       *admin.Server

	peerCertificates *tlsconfig.Reloader // nil without mutual TLS

	draining  chan struct{}
	drainOnce sync.Once
}

// Option changes a node from its defaults.
type Option func(*Node)

// WithNetwork sets the network for the node's listeners and outgoing connections
// in place of the machine's TCP.
func WithNetwork(network peer.Network) Option {
	return func(n *Node) { n.network = network }
}

// WithSuspensions makes the node detect suspensions of its machine with a clock. Without
// it, the node assumes that the machine is never suspended.
func WithSuspensions(clock suspension.Clock) Option {
	return func(n *Node) { n.suspensions = suspension.NewWatch(clock) }
}

// New builds a node from validated settings. It opens no socket. It fails if
// settings are incompatible or a file cannot be read.
func New(config settings.Settings, logger *zap.Logger, options ...Option) (*Node, error) {
	id := identity.NodeID(config.Node.ID)
	if id == "" {
		id = identity.NodeID("node-" + ulid.Make().String())
	}
	node := &Node{
		id: id, settings: config, logger: logger.With(zap.String("node", string(id))),
		registry: prometheus.NewRegistry(), network: peer.TCP{},
		draining: make(chan struct{}),
	}
	for _, option := range options {
		option(node)
	}
	if err := node.compose(); err != nil {
		return nil, err
	}
	return node, nil
}

// Run builds a node and runs it until ctx is done.
func Run(ctx context.Context, config settings.Settings, logger *zap.Logger) error {
	node, err := New(config, logger, WithSuspensions(suspension.NewSystemClock()))
	if err != nil {
		return err
	}
	return node.Run(ctx)
}

// ID returns the node's ID in the member list.
func (n *Node) ID() identity.NodeID { return n.id }

// Run runs the node until ctx is done, Stop is called or a component fails. It
// then drains the node without interrupting requests and returns the failure, if
// any.
func (n *Node) Run(ctx context.Context) error {
	events.NodeStarting.Log(n.logger, zap.String("zone", n.settings.Node.Zone), zap.String("version", version.Version))
	actors := &group{logger: n.logger}
	n.addActors(actors)
	actors.add("stop", phaseServing, func(interrupted context.Context) error {
		select {
		case <-ctx.Done():
		case <-n.draining:
		case <-interrupted.Done():
		}
		n.beginDrain()
		return nil
	})
	err := actors.run()
	if err != nil {
		events.NodeFailed.Log(n.logger, zap.Error(err))
		return err
	}
	events.NodeStopped.Log(n.logger)
	return nil
}

// Stop begins the planned stop. Run returns when the stop is complete.
func (n *Node) Stop() { n.drainOnce.Do(func() { close(n.draining) }) }

// beginDrain announces the planned stop before any component stops.
func (n *Node) beginDrain() {
	n.Stop()
	events.NodeDraining.Log(n.logger)
	n.bus.Leave()
	n.gateway.Drain()
}

// The errors that Ready returns.
var (
	errDraining       = errors.New("the node is draining")
	errTableNotLoaded = errors.New("the class table is not loaded")
)

// Ready implements admin.Readiness.
func (n *Node) Ready() error {
	select {
	case <-n.draining:
		return errDraining
	default:
	}
	if !n.rows.Ready() {
		return errTableNotLoaded
	}
	return nil
}

package node

import (
	"context"
	"fmt"
	"net"

	"github.com/prometheus/client_golang/prometheus/collectors"

	"ringstream.example/ringstream/internal/admin"
	"ringstream.example/ringstream/internal/auth"
	"ringstream.example/ringstream/internal/backend/httpclient"
	"ringstream.example/ringstream/internal/dispatch"
	"ringstream.example/ringstream/internal/fleet"
	"ringstream.example/ringstream/internal/gateway"
	"ringstream.example/ringstream/internal/idempotency"
	"ringstream.example/ringstream/internal/jobs"
	"ringstream.example/ringstream/internal/limits"
	"ringstream.example/ringstream/internal/peer"
	"ringstream.example/ringstream/internal/rows"
	"ringstream.example/ringstream/internal/store"
	"ringstream.example/ringstream/internal/tlsconfig"
)

// compose builds the components in the order of their dependencies.
func (n *Node) compose() error {
	n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if err := n.composeExternal(); err != nil {
		return err
	}
	config := &n.settings
	client := store.New(n.platform.Table)
	n.rows = rows.New(config.Rows, client, n.bus, n.logger, n.registry)
	n.limits = limits.New(config.Limits, n.bus, n.rows, n.logger, n.registry)
	n.limits.SetSuspensionWatch(n.suspensions)
	n.engines = fleet.New(config.Fleet, n.platform.Machines, n.platform.Engines, n.bus, n.logger, n.registry)
	n.dispatch = dispatch.New(config.Dispatch, n.engines, n.bus, n.rows, n.logger, n.registry)
	n.idempotency = idempotency.New(config.Idempotency, client, n.platform.Objects, n.bus, n.logger)
	n.jobs = jobs.New(config.Jobs, jobs.Dependencies{
		Store: client, Objects: n.platform.Objects, Bus: n.bus,
		Batch: n.dispatch, Rows: n.rows, Limits: n.limits,
	}, n.logger, n.registry)
	n.gateway = gateway.New(config.Gateway, gateway.Dependencies{
		Auth: n.auth, Rows: n.rows, Limits: n.limits, Online: n.dispatch, Jobs: n.jobs,
		Keys: n.idempotency, Resume: n.dispatch, Site: n.platform.Site,
		Models: modelList{n.engines}, TableReady: n.rows.Ready,
	}, n.logger, n.registry)
	n.admin = admin.New(config.Admin, admin.Dependencies{
		Authenticator: n.auth, Fleet: n.bus, Readiness: n, Rows: n.rows, Editor: n.rows,
		Revisions: n.rows, Audit: n.rows, Jobs: n.jobs.Operators(), Engines: engineList{n.engines},
		Drainer: n, Gatherer: n.registry,
	}, n.logger, n.registry)
	n.gateway.SetListenFunc(n.network.Listen)
	n.admin.SetListenFunc(n.network.Listen)
	peer.Register(drainTaken{})
	n.bus.Handle(drainOrder{}, n.handleDrainOrder)
	return nil
}

// composeExternal builds the components with external dependencies: the keys, the
// platform clients and the peer bus.
func (n *Node) composeExternal() error {
	var err error
	if n.auth, err = auth.NewKeys(n.settings.Auth, n.logger); err != nil {
		return fmt.Errorf("auth: %w", err)
	}
	dial := func(ctx context.Context, _, address string) (net.Conn, error) { return n.network.Dial(ctx, address) }
	if n.platform, err = httpclient.NewWithDial(n.settings.Platform, dial); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	mutual, err := n.peerTLS()
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	self := peer.Identity{
		ID: n.id, Zone: n.settings.Node.Zone, Region: n.settings.Node.Region,
		GatewayAddress: n.settings.Gateway.HTTP.Address,
	}
	n.bus, err = peer.New(n.settings.Peer, self, mutual, n.logger, n.registry, peer.WithNetwork(n.network))
	return err
}

// peerTLS returns the mutual TLS configuration between nodes, or nil if none is
// configured.
func (n *Node) peerTLS() (*peer.TLS, error) {
	if !n.settings.PeerTLS.Enabled() {
		return nil, nil
	}
	reloader, err := tlsconfig.New(n.settings.PeerTLS, n.logger)
	if err != nil {
		return nil, err
	}
	n.peerCertificates = reloader
	return &peer.TLS{Server: reloader.Server(), Client: reloader.Client}, nil
}

// addActors adds every long-running component to the group.
func (n *Node) addActors(actors *group) {
	actors.add("gateway", phaseServing, n.gateway.Run)
	actors.add("jobs", phaseServing, n.jobs.Run)
	actors.add("dispatch", phaseSupport, n.dispatch.Serve)
	actors.add("limits", phaseSupport, n.limits.Run)
	actors.add("idempotency", phaseSupport, n.idempotency.Run)
	actors.add("fleet", phaseSupport, n.engines.Run)
	actors.add("rows", phaseSupport, n.rows.Run)
	actors.add("auth", phaseSupport, n.auth.Run)
	if n.peerCertificates != nil {
		actors.add("peer certificates", phaseFleet, n.peerCertificates.Run)
	}
	actors.add("peer", phaseFleet, n.bus.Run)
	actors.add("admin", phaseFleet, n.admin.Run)
}

package edge

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/heapgrowth"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/batch"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/passthrough/engineconn"
	"ringstream.example/ringstream/internal/passthrough/guard"
	"ringstream.example/ringstream/internal/passthrough/ingress"
	"ringstream.example/ringstream/internal/passthrough/peerstore"
	"ringstream.example/ringstream/internal/passthrough/relay"
	"ringstream.example/ringstream/internal/passthrough/replicas"
	"ringstream.example/ringstream/internal/passthrough/slots"
	"ringstream.example/ringstream/internal/peer/sharing"
	"ringstream.example/ringstream/internal/suspension"
	"ringstream.example/ringstream/internal/version"
	"ringstream.example/ringstream/internal/wait"
)

// Platform is what the node needs of the platform that it runs on.
type Platform struct {
	Headers   passthrough.Headers
	Format    passthrough.JobFormat
	Documents passthrough.Documents
	Rows      passthrough.Rows
	Objects   passthrough.Objects
	// Clock tells of suspensions of the machine; nil: the machine's own.
	Clock suspension.Clock
}

// Identity says who and where the node is.
type Identity struct {
	Name, Zone string
}

// Node is one pass-through node.
type Node struct {
	config   Config
	identity Identity
	self     string // of this life
	platform Platform
	logger   *zap.Logger
	registry *prometheus.Registry
	started  time.Time

	routes         *catalog.Routes
	engines        *catalog.Engines
	routesFollower *catalog.Follower
	engineFollower *catalog.Follower
	storeTime      *catalog.StoreTime
	pool           *engineconn.Pool
	store          *peerstore.Store
	share          *sharing.Share    // nil: the node tells others nothing
	replicas       *replicas.Service // nil: the node reads the store itself
	slots          *slots.Service
	guard          *guard.Service
	watch          *suspension.Watch
	batch          *batch.Service
	front          *ingress.Server

	candidateList atomic.Pointer[candidateList]

	leaving   atomic.Bool
	ready     atomic.Bool
	listening chan struct{} // closed once address is set
	address   string
}

// New makes a node; Run starts it.
func New(config Config, identity Identity, platform Platform, logger *zap.Logger) *Node {
	node := &Node{
		config: config, identity: identity, platform: platform, started: time.Now(),
		self: identity.Name + "/" + ulid.Make().String(), registry: prometheus.NewRegistry(), listening: make(chan struct{}),
	}
	node.logger = logger.With(zap.String("node", identity.Name))
	node.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	places := platform.Documents.Places()
	node.store = peerstore.New(peerstore.DefaultConfig(), platform.Rows, platform.Objects, places.EnginesTable, node.logger)
	follow := catalog.DefaultFollowConfig()
	whole := []string{""}
	node.routes = catalog.NewRoutes(platform.Documents, node.logger)
	node.engines = catalog.NewEngines(identity.Name, platform.Documents, node.routes, node.logger)
	refusals := catalog.NewRefusals(node.registry, node.logger)
	node.routes.CountBy(refusals)
	node.engines.CountBy(refusals)
	node.routesFollower = catalog.NewFollower(follow, node.store, places.RoutesTable, whole, node.routes, node.logger)
	engineFollow := follow
	engineFollow.Pace = enginePace
	node.engineFollower = catalog.NewFollower(engineFollow, node.store, places.EnginesTable, whole, node.engines, node.logger)
	node.storeTime = catalog.NewStoreTime()
	node.routesFollower.TimeBy(node.storeTime)
	node.engineFollower.TimeBy(node.storeTime)
	node.engines.JudgeBy(node.engineFollower.Health)
	node.engines.CopyBy(node.engineFollower.Copy())
	node.routes.JudgeBy(node.routesFollower.Health)
	follow.Pace = jobPace
	node.pool = engineconn.New(engineconn.DefaultConfig())
	node.guard = guard.New(quarantine.DefaultConfig(), guard.Dependencies{
		Engines: node.engines, Pool: node.pool, Logger: node.logger, Metrics: guard.NewMetrics(node.registry), Self: node.self, Peers: node.peerAddresses, Seeds: node.seeds,
	})
	node.slots = slots.New(config.Limits, slots.Dependencies{
		Engines: node.engines, Logger: node.logger, Metrics: slots.NewMetrics(node.registry),
		Self: node.peerName(), Name: identity.Name, Life: node.self, Zone: identity.Zone,
		Candidates: node.candidates, LiveNodes: node.LiveNodes, Seeds: node.seeds, Ready: node.knows, MembersKnown: node.knowsMembers, Connected: node.pool.Connected,
		Stop: func(ask uint64) { node.batch.Stop(ask) },
	})
	node.routes.OnChange(node.slots.TakeTable)
	node.batch = batch.New(config.Batch, batch.Dependencies{
		Store: node.store, Objects: node.store, Headers: platform.Headers, Format: platform.Format,
		Routes: node.routes, Engines: node.engines, Slots: node.slots, Pool: node.pool, Guard: node.guard, Logger: node.logger,
		Self: node.self, Name: identity.Name, Zone: identity.Zone, Peer: config.PeerAddress, Capacity: config.Capacity, Ready: node.knows, Follow: follow, StoreTime: node.storeTime, Registerer: node.registry,
		Reader: node.reader,
	})
	node.guard.KeepBy(node.batch)
	node.relistTogether()
	for _, follower := range node.followers() {
		follower.SlowBy(node.crowding)
	}
	forward := relay.New(platform.Headers, node.engines, node.slots, node.pool, node.guard, node.logger, relay.NewMetrics(node.registry))
	node.guard.OnBlocked(forward.StopContent)
	node.engines.OnRestart(node.guard.Restarted)
	node.watch = suspension.NewWatch(clockOr(platform.Clock))
	node.front = ingress.New(ingress.Config{Keys: config.Keys}, ingress.Dependencies{
		Registerer: node.registry,
		Headers:    platform.Headers, Format: platform.Format, Routes: node.routes, Batch: node.batch, Logger: node.logger,
		Relay: forward, Watch: node.watch,
	})
	if config.PeerAddress != "" {
		local := &sharer{node: node}
		node.share = sharing.New(sharing.DefaultConfig(config.PeerAddress), local, node.slots, node.guard, node.batch, node.logger)
		node.slots.UseTransport(node.share)
		node.guard.UseTransport(node.share)
		node.batch.UseTransport(node.share)
		node.store.UsePeers(storePeers{Share: node.share, local: local}, node.caughtUp)
		node.readTogether()
	}
	node.watchSuspensions(forward)
	node.registerBeliefs()
	return node
}

// followers gives the followers of the store's tables, by the tables' names.
func (n *Node) followers() map[string]*catalog.Follower {
	places := n.platform.Documents.Places()
	return map[string]*catalog.Follower{
		places.RoutesTable: n.routesFollower, places.EnginesTable: n.engineFollower, batch.Table: n.batch.Follower(),
	}
}

// readTogether has a few nodes of each zone read the store for the others.
func (n *Node) readTogether() {
	config := replicas.DefaultConfig()
	config.Slots = n.config.Readers
	n.replicas = replicas.New(config, replicas.Dependencies{
		Rows: n.store, Peers: n.share, Logger: n.logger, Name: n.identity.Name, Life: n.self, Zone: n.identity.Zone,
		Address: n.config.PeerAddress, Capacity: n.config.Capacity, StoreTime: n.storeTime, Leaving: n.leaving.Load,
	})
	for table, follower := range n.followers() {
		n.replicas.Offer(table, follower.Copy())
		follower.RelayBy(n.replicas.Relay())
	}
	n.share.UseTables(n.replicas.Tables())
}

// reader names this node's slot among the zone's, and says whether it reads the store for others.
func (n *Node) reader() (slot string, reads bool) {
	if n.replicas == nil {
		return "", false
	}
	return n.replicas.ReadsStore()
}

// crowding is how much slower than usual this node asks the store, as a factor: the more the
// larger the fleet is, where it asks for itself alone.
func (n *Node) crowding() float64 {
	if n.replicas != nil && !n.replicas.Alone() {
		return 1
	}
	return n.batch.Crowding()
}

// relistTogether has all tables listed anew once a feed has passed something over: only the table of
// jobs is written by this node, and so finds a store whose feeds tell nothing.
func (n *Node) relistTogether() {
	n.batch.OnPassedOver(func() {
		n.routesFollower.Relist()
		n.engineFollower.Relist()
	})
}

// Run serves until ctx ends, and then stops as planned.
func (n *Node) Run(ctx context.Context) error {
	events.PassStarting.Log(n.logger, zap.String("incarnation", n.self), zap.String("zone", n.identity.Zone), zap.String("version", version.Version))
	var listening net.ListenConfig
	listening.SetMultipathTCP(false)
	front, err := listening.Listen(ctx, "tcp", n.config.Address)
	if err != nil {
		return err
	}
	n.address = front.Addr().String()
	close(n.listening)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	add := func(part func(context.Context) error) {
		partCtx, cancel := context.WithCancel(background)
		group.Add(func() error { return part(partCtx) }, func(error) { cancel() })
	}
	add(n.routesFollower.Run)
	add(n.engineFollower.Run)
	add(n.batch.Run)
	add(n.serveReady)
	if n.config.MetricsAt != "" {
		add(n.serveMetrics)
	}
	add(n.engines.Run)
	add(n.slots.Run)
	add(n.guard.Run)
	if n.share != nil {
		add(n.share.Run)
		add(n.replicas.Run)
	}
	add(n.store.Run)
	add(n.sweep)
	add(n.watchClock)
	add(n.watch.Run)
	add(heapgrowth.Run)
	stopped := make(chan struct{})
	group.Add(func() error {
		if err := n.front.Serve(front); err != nil {
			return err
		}
		<-stopped // the requests under way end after the listener
		return nil
	}, func(error) { _ = front.Close() })
	group.Add(func() error {
		defer close(stopped)
		n.stopAsPlanned(ctx, background)
		return nil
	}, func(error) { stop() })
	return group.Run()
}

// Listening is closed when clients can connect.
func (n *Node) Listening() <-chan struct{} { return n.listening }

// Address is where clients connect, once Listening is closed.
func (n *Node) Address() string { return n.address }

// stopAsPlanned waits for ctx to end. Readiness ends at once; clients are
// still taken until the platform has noticed, then what runs is finished.
func (n *Node) stopAsPlanned(ctx, background context.Context) {
	select {
	case <-ctx.Done():
	case <-background.Done():
		return
	}
	begun := time.Now()
	n.leaving.Store(true)
	n.front.CloseConnections()
	events.PassDraining.Log(n.logger, zap.Int("running", n.front.InFlight()))
	limit, cancel := context.WithDeadline(background, begun.Add(n.config.StopTime))
	defer cancel()
	handedOver := make(chan struct{})
	go func() {
		n.batch.Leave(limit)
		close(handedOver)
	}()
	wait.For(limit, n.config.LeaveTime)
	n.front.Stop(limit)
	select {
	case <-handedOver:
	case <-limit.Done():
	}
	events.PassStopped.Log(n.logger, zap.Int("running", n.front.InFlight()), zap.Duration("elapsed", time.Since(begun)))
}

// Ready says whether the node takes clients: it knows the routes and the
// engines, and is not leaving.
func (n *Node) Ready() bool {
	if n.leaving.Load() {
		return false
	}
	ready := n.knows()
	table, _ := n.routes.Table()
	if ready && n.ready.CompareAndSwap(false, true) {
		engines := 0
		n.engines.Use(func(set *enginechoice.Set, _ time.Time) { engines = len(set.Known()) })
		events.PassReady.Log(n.logger, zap.Int64("routes_version", table.Version()), zap.Int("engines", engines), zap.Duration("after", time.Since(n.started)))
	}
	return ready
}

// knows says whether the node knows the routes and the engines.
func (n *Node) knows() bool {
	table, _ := n.routes.Table()
	return table != nil && n.engineFollower.Health().Listed
}

// caughtUp says whether the node has listed all that it follows. Before that it
// asks the store alone: when all nodes start at once the store throttles all
// of them, and listings by way of peers would only add to it.
func (n *Node) caughtUp() bool { return n.knows() && n.knowsMembers() }

// knowsMembers says whether the node has listed the table that tells of the other nodes.
func (n *Node) knowsMembers() bool { return n.batch.Health().Listed }

// serveReady answers the platform's question.
func (n *Node) serveReady(ctx context.Context) error {
	server := newEcho()
	server.GET(n.config.ReadyPath, func(c echo.Context) error {
		if n.Ready() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	return serveEcho(ctx, server, n.config.ReadyAddress)
}

func (n *Node) serveMetrics(ctx context.Context) error {
	server := newEcho()
	server.GET(n.config.MetricsPath, echo.WrapHandler(promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{})))
	return serveEcho(ctx, server, n.config.MetricsAt)
}

func newEcho() *echo.Echo {
	server := echo.New()
	server.HideBanner = true
	server.HidePort = true
	return server
}

func serveEcho(ctx context.Context, server *echo.Echo, address string) error {
	ended := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer ended()
	err := server.Start(address)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// The least times between two calls for the changes of a table. Every call
// costs; engines that leave may get work for two seconds more, and jobs' results
// are read about twice a second.
const (
	enginePace = 300 * time.Millisecond
	jobPace    = 200 * time.Millisecond
)

const (
	sweepEvery = 500 * time.Millisecond
	clockEvery = 500 * time.Millisecond
	clockGap   = clockEvery + 600*time.Millisecond
)

// sweep closes engine connections that have rested too long.
func (n *Node) sweep(ctx context.Context) error {
	for wait.For(ctx, sweepEvery) {
		live := n.pool.Connected()
		n.engines.Use(func(set *enginechoice.Set, _ time.Time) {
			for engine := range live {
				known, found := set.Find(engine)
				live[engine] = found && known.State != enginechoice.Ended
			}
		})
		n.pool.Sweep(func(engine enginechoice.Incarnation) bool {
			alive, looked := live[engine]
			return alive || !looked // one that was connected to since is looked at the next time
		})
	}
	return nil
}

// clockOr gives the machine's own clock of suspensions where there is none.
func clockOr(clock suspension.Clock) suspension.Clock {
	if clock == nil {
		return suspension.NewSystemClock()
	}
	return clock
}

// watchSuspensions has each part correct what it believes after the machine was suspended,
// before it acts on it.
func (n *Node) watchSuspensions(forward *relay.Relay) {
	n.watch.OnWake(func(gap time.Duration) { events.Suspended.Log(n.logger, zap.Duration("gap", gap)) })
	n.storeTime.WatchBy(n.watch)
	n.routesFollower.WatchBy(n.watch)
	n.engineFollower.WatchBy(n.watch)
	n.routes.WatchBy(n.watch)
	n.slots.WatchBy(n.watch)
	n.batch.WatchBy(n.watch)
	n.watch.OnWake(n.pool.Suspended)
	if n.replicas != nil {
		n.replicas.WatchBy(n.watch)
	}
	forward.SetSuspensionWatch(n.watch)
}

// watchClock notes when the process stood still.
func (n *Node) watchClock(ctx context.Context) error {
	last := time.Now()
	for wait.For(ctx, clockEvery) {
		now := time.Now()
		if gap := now.Sub(last); gap > clockGap {
			events.ClockGap.Log(n.logger, zap.Duration("gap", gap))
		}
		last = now
	}
	return nil
}

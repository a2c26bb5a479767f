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
	"ringstream.example/ringstream/internal/passthrough/answerend"
	"ringstream.example/ringstream/internal/passthrough/batch"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/passthrough/engineconn"
	"ringstream.example/ringstream/internal/passthrough/guard"
	"ringstream.example/ringstream/internal/passthrough/ingress"
	"ringstream.example/ringstream/internal/passthrough/memorybudget"
	"ringstream.example/ringstream/internal/passthrough/origins"
	"ringstream.example/ringstream/internal/passthrough/peerstore"
	"ringstream.example/ringstream/internal/passthrough/relay"
	"ringstream.example/ringstream/internal/passthrough/replicas"
	"ringstream.example/ringstream/internal/passthrough/slots"
	"ringstream.example/ringstream/internal/peer/sharing"
	"ringstream.example/ringstream/internal/suspension"
	"ringstream.example/ringstream/internal/version"
	"ringstream.example/ringstream/internal/wait"
)

// Platform holds the adapters to the platform that the node runs on.
type Platform struct {
	Headers   passthrough.Headers
	Format    passthrough.JobFormat
	Documents passthrough.Documents
	Reports   passthrough.EngineReports
	Rows      passthrough.Rows
	Objects   passthrough.Objects
	// Clock measures suspensions of the machine. Nil selects the system clock.
	Clock suspension.Clock
}

// Identity is the node's name and the zone that it runs in.
type Identity struct {
	Name, Zone string
}

// Node is one pass-through node.
type Node struct {
	config      Config
	identity    Identity
	incarnation string // the node's name and an id that is new at each start
	platform    Platform
	logger      *zap.Logger
	registry    *prometheus.Registry
	started     time.Time

	routes         *catalog.Routes
	engines        *catalog.Engines
	routesFollower *catalog.Follower
	engineFollower *catalog.Follower
	storeTime      *catalog.StoreTime
	pool           *engineconn.Pool
	store          *peerstore.Store
	share          *sharing.Share    // nil without a peer address
	replicas       *replicas.Service // nil without a peer address; the node then reads the store itself
	slots          *slots.Service
	guard          *guard.Service
	origins        *origins.Service
	watch          *suspension.Watch
	batch          *batch.Service
	ingress        *ingress.Server

	candidateList atomic.Pointer[candidateList]

	leaving     atomic.Bool
	readyLogged atomic.Bool
	listening   chan struct{} // closed once address is set
	address     string
}

// New returns a node. Run starts it.
func New(config Config, identity Identity, platform Platform, logger *zap.Logger) *Node {
	node := &Node{
		config: config, identity: identity, platform: platform, started: time.Now(),
		incarnation: identity.Name + "/" + ulid.Make().String(), registry: prometheus.NewRegistry(), listening: make(chan struct{}),
	}
	node.logger = logger.With(zap.String("node", identity.Name))
	node.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	places := platform.Documents.Places()
	node.store = peerstore.New(peerstore.DefaultConfig(), platform.Rows, platform.Objects, places.EnginesTable, node.logger)
	follow := catalog.DefaultFollowConfig()
	wholeTable := []string{""}
	node.routes = catalog.NewRoutes(platform.Documents, node.logger)
	node.engines = catalog.NewEngines(identity.Name, platform.Documents, node.routes, node.logger)
	refusals := catalog.NewRefusals(node.registry, node.logger)
	node.routes.SetRefusals(refusals)
	node.engines.SetRefusals(refusals)
	node.routesFollower = catalog.NewFollower(follow, node.store, places.RoutesTable, wholeTable, node.routes, node.logger)
	engineFollow := follow
	engineFollow.PollInterval = engineFeedInterval
	node.engineFollower = catalog.NewFollower(engineFollow, node.store, places.EnginesTable, wholeTable, node.engines, node.logger)
	node.storeTime = catalog.NewStoreTime()
	node.routesFollower.SetStoreTime(node.storeTime)
	node.engineFollower.SetStoreTime(node.storeTime)
	node.engines.SetHealth(node.engineFollower.Health)
	node.engines.SetCopy(node.engineFollower.Copy())
	node.routes.SetHealth(node.routesFollower.Health)
	follow.PollInterval = jobFeedInterval
	node.pool = engineconn.New(engineconn.DefaultConfig())
	node.guard = guard.New(quarantine.DefaultConfig(), guard.Dependencies{
		Engines: node.engines, Pool: node.pool, Logger: node.logger, Metrics: guard.NewMetrics(node.registry), Self: node.incarnation, Peers: node.peerAddresses, Seeds: node.seeds,
	})
	node.origins = origins.New(origins.Dependencies{
		Engines: node.engines, Logger: node.logger, Peers: node.originPeers, Seeds: node.seeds, PeersKnown: node.hasNodeList, EnginesAge: node.engines.Age,
		Served:   func(pool string) ([]string, bool) { return node.batch.ServedVersions(pool) },
		Recorded: func(pool string) []string { return node.batch.RecordedVersions(pool) },
	})
	node.slots = slots.New(slots.Config{Limits: config.Limits, Scheduling: config.Scheduling}, slots.Dependencies{
		Engines: node.engines, Logger: node.logger, Metrics: slots.NewMetrics(node.registry),
		Self: node.peerName(), Name: identity.Name, Incarnation: node.incarnation, Zone: identity.Zone,
		Candidates: node.candidates, LiveNodes: node.LiveNodes, Seeds: node.seeds, Ready: node.hasRoutesAndEngines, MembersKnown: node.hasNodeList, Connected: node.pool.Connected,
		Stop: func(ask uint64) { node.batch.Preempt(ask) },
	})
	node.routes.OnChange(node.slots.SetRoutes)
	ends := answerend.NewChecker(node.pool, platform.Headers, platform.Reports, node.routes.PoolNamed)
	held := memorybudget.New(config.maxHeldBytes())
	node.batch = batch.New(config.Batch, batch.Dependencies{
		Held:  held,
		Store: node.store, Objects: node.store, Headers: platform.Headers, Format: platform.Format,
		Routes: node.routes, Engines: node.engines, Slots: node.slots, Pool: node.pool, Ends: ends, Guard: node.guard, Logger: node.logger,
		Self: node.incarnation, Name: identity.Name, Zone: identity.Zone, Peer: config.PeerAddress, Capacity: config.Capacity, Ready: node.hasRoutesAndEngines, Follow: follow, StoreTime: node.storeTime, Registerer: node.registry,
		Reader: node.readerSlot,
	})
	node.guard.UseKeeper(node.batch)
	node.relistAllTables()
	for _, follower := range node.followers() {
		follower.SetPaceFactor(node.storeSlowdown)
	}
	forward := relay.New(platform.Headers, node.engines, node.slots, node.pool, ends, node.guard, node.logger, relay.NewMetrics(node.registry))
	forward.SetMemoryBudget(held)
	forward.SetOrigins(node.origins)
	node.guard.OnBlocked(forward.StopContent)
	node.engines.OnRestart(node.guard.Restarted)
	node.watch = suspension.NewWatch(clockOrSystem(platform.Clock))
	node.ingress = ingress.New(ingress.Config{Keys: config.Keys}, ingress.Dependencies{
		Registerer: node.registry,
		Headers:    platform.Headers, Format: platform.Format, Routes: node.routes, Batch: node.batch, Logger: node.logger,
		Relay: forward, Watch: node.watch, Held: held,
	})
	if config.PeerAddress != "" {
		local := &sharer{node: node}
		node.share = sharing.New(sharing.DefaultConfig(config.PeerAddress), local, node.slots, node.guard, node.batch, node.logger)
		node.slots.UseTransport(node.share)
		node.guard.UseTransport(node.share)
		node.batch.UseTransport(node.share)
		node.origins.UseTransport(node.share)
		node.share.UseOrigins(node.origins)
		node.store.UsePeers(storePeers{Share: node.share, local: local}, node.caughtUp)
		node.shareStoreReads()
	}
	node.watchSuspensions(forward)
	node.registerMetrics()
	return node
}

// followers returns the followers of the store's tables by table name.
func (n *Node) followers() map[string]*catalog.Follower {
	places := n.platform.Documents.Places()
	return map[string]*catalog.Follower{
		places.RoutesTable: n.routesFollower, places.EnginesTable: n.engineFollower, batch.Table: n.batch.Follower(),
	}
}

// shareStoreReads sets up the replicas service, by which a few nodes of each zone read the store for
// the other nodes of the zone.
func (n *Node) shareStoreReads() {
	config := replicas.DefaultConfig()
	config.Slots = n.config.Readers
	n.replicas = replicas.New(config, replicas.Dependencies{
		Rows: n.store, Peers: n.share, Logger: n.logger, Name: n.identity.Name, Incarnation: n.incarnation, Zone: n.identity.Zone,
		Address: n.config.PeerAddress, Capacity: n.config.Capacity, StoreTime: n.storeTime, Leaving: n.leaving.Load,
	})
	for table, follower := range n.followers() {
		n.replicas.Offer(table, follower.Copy())
		follower.SetRelay(n.replicas.Relay())
	}
	n.share.UseTables(n.replicas.Tables())
}

// readerSlot returns this node's reader slot in its zone, and whether the node reads the store for
// others.
func (n *Node) readerSlot() (slot string, reads bool) {
	if n.replicas == nil {
		return "", false
	}
	return n.replicas.ReadsStore()
}

// storeSlowdown returns the factor by which this node polls the store more slowly than configured. A
// node that reads the store for itself alone slows down as the fleet grows.
func (n *Node) storeSlowdown() float64 {
	if n.replicas != nil && !n.replicas.Alone() {
		return 1
	}
	return n.batch.FleetSizeFactor()
}

// relistAllTables relists all tables once the feed of the jobs table has missed a change. Only that
// table is written by this node, so only its feed shows that the store's feeds deliver nothing.
func (n *Node) relistAllTables() {
	n.batch.OnSkippedChange(func() {
		n.routesFollower.Relist()
		n.engineFollower.Relist()
	})
}

// Run serves until ctx ends and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	events.PassStarting.Log(n.logger, zap.String("incarnation", n.incarnation), zap.String("zone", n.identity.Zone), zap.String("version", version.Version))
	var listenConfig net.ListenConfig
	listenConfig.SetMultipathTCP(false)
	listener, err := listenConfig.Listen(ctx, "tcp", n.config.Address)
	if err != nil {
		return err
	}
	n.address = listener.Addr().String()
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
	add(n.origins.Run)
	if n.share != nil {
		add(n.share.Run)
		add(n.replicas.Run)
	}
	add(n.store.Run)
	add(n.sweep)
	add(n.logClockGaps)
	add(n.watch.Run)
	add(heapgrowth.Run)
	stopped := make(chan struct{})
	group.Add(func() error {
		if err := n.ingress.Serve(listener); err != nil {
			return err
		}
		<-stopped // requests in flight end after the listener is closed
		return nil
	}, func(error) { _ = listener.Close() })
	group.Add(func() error {
		defer close(stopped)
		n.shutDown(ctx, background)
		return nil
	}, func(error) { stop() })
	return group.Run()
}

// Listening returns a channel that is closed when clients can connect.
func (n *Node) Listening() <-chan struct{} { return n.listening }

// Address returns the address for clients. It is valid once Listening is closed.
func (n *Node) Address() string { return n.address }

// shutDown waits for ctx to end and then stops the node. Readiness ends at once. New connections are
// accepted for LeaveTime, until the platform has noticed. Then the requests in flight are finished,
// at most until StopTime after the start of the shutdown.
func (n *Node) shutDown(ctx, background context.Context) {
	select {
	case <-ctx.Done():
	case <-background.Done():
		return
	}
	startedAt := time.Now()
	n.leaving.Store(true)
	n.ingress.CloseConnections()
	events.PassDraining.Log(n.logger, zap.Int("running", n.ingress.InFlight()))
	stopCtx, cancel := context.WithDeadline(background, startedAt.Add(n.config.StopTime))
	defer cancel()
	batchStopped := make(chan struct{})
	go func() {
		n.batch.Leave(stopCtx)
		close(batchStopped)
	}()
	wait.For(stopCtx, n.config.LeaveTime)
	n.ingress.Stop(stopCtx)
	select {
	case <-batchStopped:
	case <-stopCtx.Done():
	}
	events.PassStopped.Log(n.logger, zap.Int("running", n.ingress.InFlight()), zap.Duration("elapsed", time.Since(startedAt)))
}

// Ready reports whether the node accepts clients, which is so when it knows the routes and the
// engines and is not leaving.
func (n *Node) Ready() bool {
	if n.leaving.Load() {
		return false
	}
	ready := n.hasRoutesAndEngines()
	table, _ := n.routes.Table()
	if ready && n.readyLogged.CompareAndSwap(false, true) {
		engines := 0
		n.engines.Use(func(set *enginechoice.Set, _ time.Time) { engines = len(set.Known()) })
		events.PassReady.Log(n.logger, zap.Int64("routes_version", table.Version()), zap.Int("engines", engines), zap.Duration("after", time.Since(n.started)))
	}
	return ready
}

// hasRoutesAndEngines reports whether the node knows the routes and has listed the engines.
func (n *Node) hasRoutesAndEngines() bool {
	table, _ := n.routes.Table()
	return table != nil && n.engineFollower.Health().Listed
}

// caughtUp reports whether the node has listed all tables that it follows. Until then it reads from
// the store only. When all nodes start at once, the store throttles all of them, and listings by way
// of peers would only add to its load.
func (n *Node) caughtUp() bool { return n.hasRoutesAndEngines() && n.hasNodeList() }

// hasNodeList reports whether the node has listed the table that holds the other nodes.
func (n *Node) hasNodeList() bool { return n.batch.Health().Listed }

// serveReady serves the platform's readiness check.
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

// Time limits of a connection to the readiness check or the metrics. A client that goes silent would
// keep its connection for ever otherwise.
const (
	probeReadTimeout  = 5 * time.Second  // for a whole request
	probeWriteTimeout = 20 * time.Second // from the end of its header to the end of its answer
	probeIdleTimeout  = 2 * time.Minute  // above the usual interval of a collector of metrics
)

func newEcho() *echo.Echo {
	server := echo.New()
	server.Server.ReadTimeout, server.Server.WriteTimeout, server.Server.IdleTimeout = probeReadTimeout, probeWriteTimeout, probeIdleTimeout
	server.HideBanner = true
	server.HidePort = true
	return server
}

func serveEcho(ctx context.Context, server *echo.Echo, address string) error {
	stopAfterFunc := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopAfterFunc()
	err := server.Start(address)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Minimum intervals between two calls for the changes of a table. Each call has a cost. A delay is
// acceptable because engines that leave may get work for two more seconds, and the results of jobs
// are read about twice a second.
const (
	engineFeedInterval = 300 * time.Millisecond
	jobFeedInterval    = 200 * time.Millisecond
)

const (
	sweepInterval      = 500 * time.Millisecond
	clockCheckInterval = 500 * time.Millisecond
	minClockGap        = clockCheckInterval + 600*time.Millisecond
)

// sweep periodically closes the connections to engines that have been idle too long or whose engine
// has ended.
func (n *Node) sweep(ctx context.Context) error {
	for wait.For(ctx, sweepInterval) {
		live := n.pool.Connected()
		n.engines.Use(func(set *enginechoice.Set, _ time.Time) {
			for engine := range live {
				known, found := set.Find(engine)
				live[engine] = found && known.State != enginechoice.Ended
			}
		})
		n.pool.Sweep(func(engine enginechoice.Incarnation) bool {
			alive, checked := live[engine]
			return alive || !checked // an engine connected to meanwhile is checked in the next sweep
		})
	}
	return nil
}

// clockOrSystem returns the given clock, or the system clock if it is nil.
func clockOrSystem(clock suspension.Clock) suspension.Clock {
	if clock == nil {
		return suspension.NewSystemClock()
	}
	return clock
}

// watchSuspensions registers the components that correct their state after a suspension of the
// machine, before they act on it.
func (n *Node) watchSuspensions(forward *relay.Relay) {
	n.watch.OnResume(func(gap time.Duration) { events.Suspended.Log(n.logger, zap.Duration("gap", gap)) })
	n.storeTime.SetSuspensionWatch(n.watch)
	n.routesFollower.SetSuspensionWatch(n.watch)
	n.engineFollower.SetSuspensionWatch(n.watch)
	n.routes.SetSuspensionWatch(n.watch)
	n.slots.SetSuspensionWatch(n.watch)
	n.batch.SetSuspensionWatch(n.watch)
	n.watch.OnResume(n.pool.AdjustForSuspension)
	if n.replicas != nil {
		n.replicas.SetSuspensionWatch(n.watch)
	}
	forward.SetSuspensionWatch(n.watch)
}

// logClockGaps logs when two consecutive checks of the clock are more than minClockGap apart, which
// shows that the process stood still.
func (n *Node) logClockGaps(ctx context.Context) error {
	last := time.Now()
	for wait.For(ctx, clockCheckInterval) {
		now := time.Now()
		if gap := now.Sub(last); gap > minClockGap {
			events.ClockGap.Log(n.logger, zap.Duration("gap", gap))
		}
		last = now
	}
	return nil
}

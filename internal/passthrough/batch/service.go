package batch

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/answerend"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/passthrough/engineconn"
	"ringstream.example/ringstream/internal/passthrough/guard"
	"ringstream.example/ringstream/internal/passthrough/memorybudget"
	"ringstream.example/ringstream/internal/passthrough/slots"
	"ringstream.example/ringstream/internal/suspension"
	"ringstream.example/ringstream/internal/wait"
)

// Dependencies are the components that the service uses.
type Dependencies struct {
	Store   passthrough.Rows
	Objects passthrough.Objects
	Headers passthrough.Headers
	Format  passthrough.JobFormat
	Routes  *catalog.Routes
	Engines *catalog.Engines
	Slots   *slots.Service
	Pool    *engineconn.Pool
	Ends    *answerend.Checker
	Guard   *guard.Service
	Logger  *zap.Logger
	// Self identifies this incarnation of the node.
	Self, Name, Zone string
	// Peer is this node's address for messages from other nodes; empty: none.
	Peer string
	// Capacity is the capacity of this node's machine, as a share of a processor core.
	Capacity float64
	// Ready reports whether the node accepts clients; nil: always.
	Ready func() bool
	// Reader returns this node's slot among the readers of the store, and whether the node holds it
	// now; nil: the node reads the store only for itself.
	Reader func() (slot string, held bool)
	// Follow configures how the table of jobs is followed.
	Follow catalog.FollowConfig
	// Held bounds the bytes held for all clients and items together; nil: there is no bound.
	Held *memorybudget.Budget
	// StoreTime estimates the store's clock; nil: the estimate uses only the answers to this
	// service's own calls.
	StoreTime  *catalog.StoreTime
	Registerer prometheus.Registerer
}

// Service accepts jobs, runs them and answers calls about them.
//
// Lock order: Service.mu, then view.mu or the engines' lock. No lock is held during a call to
// another process.
type Service struct {
	Dependencies
	config          Config
	store           passthrough.Rows
	view            *view
	follower        *catalog.Follower
	metrics         *metrics
	texts           *textCache
	started         time.Time
	writeLatency    writeLatency
	suspensionWatch *suspension.Watch
	forecast        forecast
	// confirmer reads jobs from the store on behalf of readers.
	confirmer    *confirmer
	nodeLiveness livenessState
	lastClaimAt  time.Time // when this node last claimed a job; used by maintainOwnership only

	mu            sync.Mutex // guards the fields below
	owned         map[string]*ownedJob
	submitting    map[string]int       // number of submissions in flight, by job
	orphans       map[string]time.Time // since when a job has been seen without a live owner
	leaving       bool
	running       sync.WaitGroup
	wake          chan struct{} // holds one token when there may be items to start
	fleetCache    fleetSnapshot // last snapshot of the fleet
	fleetCachedAt time.Time     // when fleetCache was last known to be valid
	// lastAllWatched is when all nodes were last watched.
	lastAllWatched time.Time
	// heartbeatFailedAt is when this node last failed to write its heartbeat row.
	heartbeatFailedAt time.Time
	// heartbeatWrittenAt is when the store last accepted a heartbeat row of this node.
	heartbeatWrittenAt time.Time
	heartbeatVersion   int64         // of that row
	storeClockValue    time.Duration // the store's clock at storeClockAt
	storeClockAt       time.Time     // zero: the store's clock is not known yet
}

// New returns a service. Run starts it.
func New(config Config, dependencies Dependencies) *Service {
	service := &Service{
		Dependencies: dependencies, config: config, store: dependencies.Store,
		view: newView(config, dependencies.Logger), metrics: newMetrics(dependencies.Registerer),
		texts: newTextCache(config.TextCacheBytes), started: time.Now(),
		owned: make(map[string]*ownedJob), submitting: make(map[string]int), orphans: make(map[string]time.Time), wake: make(chan struct{}, 1),
	}
	if service.Reader == nil {
		service.Reader = func() (string, bool) { return "", false }
	}
	service.confirmer = newConfirmer(service.readRecordWithRetry)
	service.nodeLiveness = newLivenessState(config, dependencies.Self)
	service.follower = catalog.NewFollower(dependencies.Follow, dependencies.Store, tableJobs, config.parts(), service.view, dependencies.Logger)
	service.follower.OnStoreClock(service.setStoreClock)
	service.follower.Copy().Hide(isPulse)
	if dependencies.StoreTime != nil {
		service.follower.SetStoreTime(dependencies.StoreTime)
	}
	return service
}

// SetSuspensionWatch makes the service correct the ages of what it knows after a suspension. It must be called
// before Run. The times for which other nodes were silent are not corrected, since this node did
// not receive anything during the suspension.
func (s *Service) SetSuspensionWatch(watch *suspension.Watch) {
	s.suspensionWatch = watch
	s.follower.SetSuspensionWatch(watch)
	watch.OnResume(func(gap time.Duration) {
		s.mu.Lock()
		s.storeClockAt = shiftBack(s.storeClockAt, gap)
		s.heartbeatWrittenAt = shiftBack(s.heartbeatWrittenAt, gap)
		s.mu.Unlock()
		s.wakeScheduler()
	})
}

// shiftBack moves a past time back. A zero time stays zero.
func shiftBack(at time.Time, by time.Duration) time.Time {
	if at.IsZero() {
		return at
	}
	return at.Add(-by)
}

// Follower returns the follower of the table of jobs, which can be configured further before Run.
func (s *Service) Follower() *catalog.Follower { return s.follower }

// OnSkippedChange registers a function that is called when the feed of jobs has skipped a change. It
// must be called before Run.
func (s *Service) OnSkippedChange(notify func()) { s.follower.OnSkippedChange(notify) }

// Health returns how well the table of jobs is followed.
func (s *Service) Health() catalog.Health { return s.follower.Health() }

// Run runs the service until ctx ends. Leave must be called before that to hand over the jobs.
func (s *Service) Run(ctx context.Context) error {
	var group run.Group
	for _, component := range []func(context.Context) error{s.follow, s.writeHeartbeats, s.writePulses, s.watchNodes, s.maintainOwnership, s.schedule, s.saveProgress, s.collect, s.keepServed} {
		partCtx, cancel := context.WithCancel(ctx)
		group.Add(func() error { return component(partCtx) }, func(error) { cancel() })
	}
	return group.Run()
}

// follow follows the table of jobs once the node accepts clients. When all nodes start at once, the
// tables that clients wait for are read first.
func (s *Service) follow(ctx context.Context) error {
	for s.Ready != nil && !s.Ready() {
		if !wait.For(ctx, readyPollInterval) {
			return nil
		}
	}
	return s.follower.Run(ctx)
}

const readyPollInterval = 20 * time.Millisecond

// setStoreClock records the store's clock as of a local time.
func (s *Service) setStoreClock(value time.Duration, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeClockValue, s.storeClockAt = value, at
}

// storeClock returns an estimate of the store's clock, and false if the clock is not known yet.
func (s *Service) storeClock() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeClockLocked(), !s.storeClockAt.IsZero()
}

// storeClockLocked estimates the store's clock. The estimate is valid only once the clock is known.
// The caller holds Service.mu.
func (s *Service) storeClockLocked() time.Duration {
	return s.storeClockValue + time.Since(s.storeClockAt)
}

// stale reports whether the copy of the table of jobs may be too old to act on.
func (s *Service) stale() bool {
	health := s.follower.Health()
	return !health.Listed || time.Since(health.AsOf) > s.config.MaxStaleness
}

func (s *Service) wakeScheduler() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

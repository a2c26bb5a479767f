package batch

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/liveness"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/passthrough/engineconn"
	"ringstream.example/ringstream/internal/passthrough/guard"
	"ringstream.example/ringstream/internal/passthrough/slots"
	"ringstream.example/ringstream/internal/suspension"
	"ringstream.example/ringstream/internal/wait"
)

// Dependencies are the parts that the service works with.
type Dependencies struct {
	Store   passthrough.Rows
	Objects passthrough.Objects
	Headers passthrough.Headers
	Format  passthrough.JobFormat
	Routes  *catalog.Routes
	Engines *catalog.Engines
	Slots   *slots.Service
	Pool    *engineconn.Pool
	Guard   *guard.Service
	Logger  *zap.Logger
	// Self names this life of the node, unlike any other.
	Self, Name, Zone string
	// Peer is where this node hears others; empty: nowhere.
	Peer string
	// Capacity is what this node's machine can do, as a share of a processor core.
	Capacity float64
	// Ready says whether the node takes clients; nil: it does.
	Ready func() bool
	// Reader names this node's slot among the readers of the store, and says whether it is one now;
	// nil: it reads for itself alone.
	Reader func() (slot string, held bool)
	// Follow says how the table of jobs is followed.
	Follow catalog.FollowConfig
	// StoreTime is what this node knows of the store's clock; nil: what the service itself hears.
	StoreTime  *catalog.StoreTime
	Registerer prometheus.Registerer
}

// Service accepts, runs and answers for jobs.
//
// Lock order: Service.mu, then view.mu or the engines' lock; none is held
// during a call.
type Service struct {
	Dependencies
	config   Config
	store    passthrough.Rows
	view     *view
	follower *catalog.Follower
	metrics  *metrics
	texts    *textCache
	started  time.Time
	pace     storePace
	watch    *suspension.Watch
	forecast forecast
	// confirmations asks the store on behalf of readers.
	confirmations *confirmations
	watchers      watchers
	claimedAt     time.Time // when a job was last claimed; tend's alone

	mu      sync.Mutex // guards the rest
	owned   map[string]*ownedJob
	taking  map[string]int       // hand-ins under way, by job
	orphans map[string]time.Time // since when a job was seen without a live owner
	leaving bool
	running sync.WaitGroup
	wake    chan struct{} // has one token when there may be items to start
	seen    fleet         // the last look at the nodes
	seenAt  time.Time     // of seen
	// watchedLast is when all nodes were last watched.
	watchedLast time.Time
	// signMissed is when this node last failed to write its sign of life.
	signMissed time.Time
	// signTaken is when the store last took one.
	signTaken time.Time
	storeAt   time.Duration // the store's clock, as of storeAtLocal
	storeAs   time.Time
}

// New makes a service; Run starts it.
func New(config Config, dependencies Dependencies) *Service {
	service := &Service{
		Dependencies: dependencies, config: config, store: dependencies.Store,
		view: newView(config, dependencies.Logger), metrics: newMetrics(dependencies.Registerer),
		texts: newTextCache(config.TextCacheBytes), started: time.Now(),
		owned: make(map[string]*ownedJob), taking: make(map[string]int), orphans: make(map[string]time.Time), wake: make(chan struct{}, 1),
	}
	if service.Reader == nil {
		service.Reader = func() (string, bool) { return "", false }
	}
	service.confirmations = newConfirmations(service.askRecord)
	service.watchers.watch = liveness.New(config.liveness(), dependencies.Self, time.Now())
	service.follower = catalog.NewFollower(dependencies.Follow, dependencies.Store, tableJobs, config.parts(), service.view, dependencies.Logger)
	service.follower.OnStoreClock(service.tellTime)
	service.follower.Copy().Hide(isPulse)
	if dependencies.StoreTime != nil {
		service.follower.TimeBy(dependencies.StoreTime)
	}
	return service
}

// WatchBy has the service correct the ages of what it knows after a suspension; called
// before Run. How long other nodes were silent is not corrected: this one did not listen.
func (s *Service) WatchBy(watch *suspension.Watch) {
	s.watch = watch
	s.follower.WatchBy(watch)
	watch.OnWake(func(gap time.Duration) {
		s.mu.Lock()
		s.storeAs = earlier(s.storeAs, gap)
		s.signTaken = earlier(s.signTaken, gap)
		s.mu.Unlock()
		s.signal()
	})
}

// earlier moves a moment that has been.
func earlier(at time.Time, by time.Duration) time.Time {
	if at.IsZero() {
		return at
	}
	return at.Add(-by)
}

// Follower gives the follower of the table of jobs, which is set up further before Run.
func (s *Service) Follower() *catalog.Follower { return s.follower }

// OnPassedOver has a function hear that the feed of jobs has passed something over; called before Run.
func (s *Service) OnPassedOver(hear func()) { s.follower.OnPassedOver(hear) }

// Health says how well the table of jobs is followed.
func (s *Service) Health() catalog.Health { return s.follower.Health() }

// Run works until ctx ends; jobs are handed over by Leave before that.
func (s *Service) Run(ctx context.Context) error {
	var group run.Group
	for _, part := range []func(context.Context) error{s.follow, s.beat, s.pulse, s.watchNodes, s.tend, s.schedule, s.saveProgress, s.collect} {
		partCtx, cancel := context.WithCancel(ctx)
		group.Add(func() error { return part(partCtx) }, func(error) { cancel() })
	}
	return group.Run()
}

// follow follows the table of jobs once the node takes clients: when all nodes
// start at once, what clients wait for is read first.
func (s *Service) follow(ctx context.Context) error {
	for s.Ready != nil && !s.Ready() {
		if !wait.For(ctx, readyPause) {
			return nil
		}
	}
	return s.follower.Run(ctx)
}

const readyPause = 20 * time.Millisecond

// tellTime takes the store's clock as of a moment.
func (s *Service) tellTime(at time.Duration, as time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeAt, s.storeAs = at, as
}

// now estimates the store's clock; false before it was heard.
func (s *Service) now() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeTime(), !s.storeAs.IsZero()
}

// storeTime estimates the store's clock, once it was heard; the caller holds
// Service.mu.
func (s *Service) storeTime() time.Duration { return s.storeAt + time.Since(s.storeAs) }

// blind says that what is known of jobs may be too old to act on.
func (s *Service) blind() bool {
	health := s.follower.Health()
	return !health.Listed || time.Since(health.AsOf) > s.config.BlindFor
}

func (s *Service) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

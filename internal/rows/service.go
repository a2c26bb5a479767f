package rows

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/peer"
	"ringstream.example/ringstream/internal/store"
)

// tickInterval is the pace at which a node looks at its own clock.
const tickInterval = 250 * time.Millisecond

// Service is one node's copy of the table and its part in the distribution.
// Two pollers of a zone, or two compactors, cost reads and nothing else.
type Service struct {
	config  Config
	store   *store.Client
	bus     peer.Bus
	logger  *zap.Logger
	metrics *metrics

	table atomic.Pointer[policy.Table]
	// lastTick is the time of the last tick, in nanoseconds of the wall clock.
	lastTick atomic.Int64
	loaded   atomic.Bool
	pauses   atomic.Uint64 // that were noticed
	caughtUp atomic.Uint64 // of them, those that the node has caught up after
	// editing is held by the edit that this node is committing.
	editing chan struct{}
	// repair holds one token when the repair loop has something to do.
	repair chan struct{}

	mu     sync.Mutex
	recent []policy.Change // a ring by revision
	wanted want
	head   head
	told   told
}

// told is the highest revision that this node has told its zone, and how often.
type told struct {
	revision uint64
	times    int
}

// want is what the repair loop is asked for.
type want struct {
	revision uint64          // a revision that someone has
	from     identity.NodeID // who has it; empty: the store
	confirm  bool            // ask someone, even with no revision missing
	reload   bool            // replace the table by the store's
}

var (
	_ Source = (*Service)(nil)
	_ Editor = (*Service)(nil)
)

// New makes a service. It registers its messages with the bus; Run starts it.
func New(config Config, client *store.Client, bus peer.Bus, logger *zap.Logger, registerer prometheus.Registerer) *Service {
	if logger == nil {
		logger = zap.NewNop()
	}
	s := &Service{
		config:  config,
		store:   client,
		bus:     bus,
		logger:  logger,
		editing: make(chan struct{}, 1),
		repair:  make(chan struct{}, 1),
		recent:  make([]policy.Change, config.RecentChanges),
	}
	s.table.Store(policy.NewTable(0, nil))
	s.metrics = newMetrics(registerer, s)
	s.handleMessages()
	return s
}

// Table implements Source.
func (s *Service) Table() *policy.Table { return s.table.Load() }

// Ready says whether the table may be served by: it was loaded, and the node
// has caught up since its last pause. It is false from the first instant after
// a pause, before any goroutine of the service has run.
func (s *Service) Ready() bool {
	return s.loaded.Load() && !s.behind() && s.sinceTick(time.Now()) < s.config.PauseThreshold
}

// behind says that the node has paused, and not yet caught up.
func (s *Service) behind() bool { return s.caughtUp.Load() < s.pauses.Load() }

// Run loads the table, then keeps it up to date until the context ends.
func (s *Service) Run(ctx context.Context) error {
	s.lastTick.Store(wallClock(time.Now()))
	var group sync.WaitGroup
	group.Go(func() { s.tickLoop(ctx) })
	group.Go(func() {
		if s.load(ctx) {
			s.repairLoop(ctx)
		}
	})
	group.Go(func() { s.pollLoop(ctx) })
	group.Go(func() { s.compactLoop(ctx) })
	group.Wait()
	return nil
}

// tickLoop watches the clock for pauses and paces the anti-entropy.
func (s *Service) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	nextExchange := time.Now().Add(jitter(s.config.AntiEntropyInterval))
	for {
		changed := s.bus.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			// Someone may have come back after a cut: compare soon.
			nextExchange = earlier(nextExchange, time.Now().Add(jitter(tickInterval)))
		case <-ticker.C:
			s.noticePause(time.Now())
		}
		if now := time.Now(); !now.Before(nextExchange) {
			nextExchange = now.Add(jitter(s.config.AntiEntropyInterval))
			s.exchange()
		}
	}
}

// noticePause compares the clock with the last tick. After a gap the node is
// not ready until it has asked someone what it missed.
func (s *Service) noticePause(now time.Time) {
	gap := s.sinceTick(now)
	if gap >= s.config.PauseThreshold && s.loaded.Load() {
		s.pauses.Add(1)
		s.metrics.catchUps.Inc()
		events.RowsPauseNoticed.Log(s.logger, zap.Duration("gap", gap), zap.Uint64("revision", s.Table().Revision()))
		s.ask(want{confirm: true})
	}
	s.lastTick.Store(wallClock(now))
}

func (s *Service) sinceTick(now time.Time) time.Duration {
	return time.Duration(wallClock(now) - s.lastTick.Load())
}

// wallClock gives the time without its monotonic reading, which on some
// machines stands still while the machine is suspended.
func wallClock(now time.Time) int64 { return now.UnixNano() }

// apply takes changes into the table; it gives the revision reached.
func (s *Service) apply(source changeSource, changes ...policy.Change) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	table := s.table.Load()
	for _, change := range changes {
		next := table.Apply(change)
		if next != table {
			s.recent[int(change.Revision()%uint64(len(s.recent)))] = change
			s.metrics.changes.WithLabelValues(string(source)).Inc()
		}
		table = next
	}
	s.table.Store(table)
	if table.Highest() > table.Revision() {
		s.askLocked(want{revision: table.Highest()})
	}
	return table.Revision()
}

// merge takes a whole table of a revision.
func (s *Service) merge(revision uint64, rows []policy.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Store(s.table.Load().Merge(revision, rows))
}

// ask adds to what the repair loop does.
func (s *Service) ask(wanted want) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.askLocked(wanted)
}

func (s *Service) askLocked(wanted want) {
	if wanted.revision > s.wanted.revision || (wanted.revision == s.wanted.revision && s.wanted.from == "") {
		s.wanted.revision = wanted.revision
		s.wanted.from = wanted.from
	}
	s.wanted.confirm = s.wanted.confirm || wanted.confirm
	s.wanted.reload = s.wanted.reload || wanted.reload
	select {
	case s.repair <- struct{}{}:
	default:
	}
}

// noteHead remembers the newest head read from the store.
func (s *Service) noteHead(current head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.head.known || current.revision >= s.head.revision {
		s.head = current
	}
}

// jitter gives a random time from a half to one and a half of the interval.
func jitter(interval time.Duration) time.Duration {
	return interval/2 + rand.N(interval+1) //nolint:gosec // jitter, not a secret
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

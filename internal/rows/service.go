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

// tickInterval is the interval at which a node checks its clock for pauses.
const tickInterval = 250 * time.Millisecond

// Service maintains one node's copy of the table and takes part in its
// distribution. If two nodes act as the poller of a zone or as the compactor at
// the same time, the only cost is additional reads.
type Service struct {
	config  Config
	store   *store.Client
	bus     peer.Bus
	logger  *zap.Logger
	metrics *metrics

	table atomic.Pointer[policy.Table]
	// lastTick is the time of the last tick, in nanoseconds of the wall clock.
	lastTick       atomic.Int64
	loaded         atomic.Bool
	pausesDetected atomic.Uint64 // number of pauses detected
	pausesResolved atomic.Uint64 // number of those after which the node has caught up
	// editSlot is occupied while this node commits an edit.
	editSlot chan struct{}
	// repairSignal holds one token while the repair loop has pending work.
	repairSignal chan struct{}

	mu            sync.Mutex
	recentChanges []policy.Change // ring buffer indexed by revision
	pendingRepair repairRequest
	head          head
	announced     announcement
}

// announcement is the highest revision that this node has announced to its zone,
// and how often.
type announcement struct {
	revision uint64
	count    int
}

// repairRequest is work for the repair loop.
type repairRequest struct {
	revision uint64          // a revision that exists elsewhere
	from     identity.NodeID // the node that has it; empty for the store
	confirm  bool            // ask another node or the store even if no revision is known to be missing
	reload   bool            // replace the table with the store's
}

var (
	_ Source = (*Service)(nil)
	_ Editor = (*Service)(nil)
)

// New returns a service whose messages are registered with the bus. Run starts it.
func New(config Config, client *store.Client, bus peer.Bus, logger *zap.Logger, registerer prometheus.Registerer) *Service {
	if logger == nil {
		logger = zap.NewNop()
	}
	s := &Service{
		config:        config,
		store:         client,
		bus:           bus,
		logger:        logger,
		editSlot:      make(chan struct{}, 1),
		repairSignal:  make(chan struct{}, 1),
		recentChanges: make([]policy.Change, config.RecentChanges),
	}
	s.table.Store(policy.NewTable(0, nil))
	s.metrics = newMetrics(registerer, s)
	s.registerHandlers()
	return s
}

// Table implements Source.
func (s *Service) Table() *policy.Table { return s.table.Load() }

// Ready reports whether requests may be served by the table: it has been loaded,
// and the node has caught up since its last pause. Ready returns false
// immediately after a pause, even before any goroutine of the service has run.
func (s *Service) Ready() bool {
	return s.loaded.Load() && !s.behind() && s.sinceTick(time.Now()) < s.config.PauseThreshold
}

// behind reports whether the node has paused and not yet caught up.
func (s *Service) behind() bool { return s.pausesResolved.Load() < s.pausesDetected.Load() }

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

// tickLoop detects pauses by the clock and schedules the anti-entropy.
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
			// A node may have rejoined after a partition: compare tables soon.
			nextExchange = earlier(nextExchange, time.Now().Add(jitter(tickInterval)))
		case <-ticker.C:
			s.detectPause(time.Now())
		}
		if now := time.Now(); !now.Before(nextExchange) {
			nextExchange = now.Add(jitter(s.config.AntiEntropyInterval))
			s.sendHeadToRandomPeer()
		}
	}
}

// detectPause compares the clock with the last tick. After a gap of at least
// PauseThreshold, the node is not ready until it has caught up.
func (s *Service) detectPause(now time.Time) {
	gap := s.sinceTick(now)
	if gap >= s.config.PauseThreshold && s.loaded.Load() {
		s.pausesDetected.Add(1)
		s.metrics.catchUps.Inc()
		events.RowsPauseNoticed.Log(s.logger, zap.Duration("gap", gap), zap.Uint64("revision", s.Table().Revision()))
		s.requestRepair(repairRequest{confirm: true})
	}
	s.lastTick.Store(wallClock(now))
}

func (s *Service) sinceTick(now time.Time) time.Duration {
	return time.Duration(wallClock(now) - s.lastTick.Load())
}

// wallClock returns the wall clock time in nanoseconds. The monotonic clock
// stands still on some machines while they are suspended.
func wallClock(now time.Time) int64 { return now.UnixNano() }

// apply applies changes to the table and returns the revision reached.
func (s *Service) apply(source changeSource, changes ...policy.Change) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	table := s.table.Load()
	for _, change := range changes {
		next := table.Apply(change)
		if next != table {
			s.recentChanges[int(change.Revision()%uint64(len(s.recentChanges)))] = change
			s.metrics.changes.WithLabelValues(string(source)).Inc()
		}
		table = next
	}
	s.table.Store(table)
	if table.Highest() > table.Revision() {
		s.requestRepairLocked(repairRequest{revision: table.Highest()})
	}
	return table.Revision()
}

// merge merges a whole table of a revision into this node's table.
func (s *Service) merge(revision uint64, rows []policy.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Store(s.table.Load().Merge(revision, rows))
}

// requestRepair adds a request to the pending work of the repair loop.
func (s *Service) requestRepair(request repairRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestRepairLocked(request)
}

// requestRepairLocked is requestRepair for callers that hold mu.
func (s *Service) requestRepairLocked(request repairRequest) {
	if request.revision > s.pendingRepair.revision || (request.revision == s.pendingRepair.revision && s.pendingRepair.from == "") {
		s.pendingRepair.revision = request.revision
		s.pendingRepair.from = request.from
	}
	s.pendingRepair.confirm = s.pendingRepair.confirm || request.confirm
	s.pendingRepair.reload = s.pendingRepair.reload || request.reload
	select {
	case s.repairSignal <- struct{}{}:
	default:
	}
}

// cacheHead keeps the head unless a newer one is known.
func (s *Service) cacheHead(current head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.head.known || current.revision >= s.head.revision {
		s.head = current
	}
}

// jitter returns a random duration from 0.5 to 1.5 times the interval.
func jitter(interval time.Duration) time.Duration {
	return interval/2 + rand.N(interval+1) //nolint:gosec // jitter, not a secret
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

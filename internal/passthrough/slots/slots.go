// Package slots gets slots at engines for this node's requests: it asks the
// dispatcher of the engines' lane, is the dispatcher of a lane where this node's
// rank says so, and chooses an engine by itself when no dispatcher answers
// (package core/grant decides all of it). It owns the waiting of requests for
// their grants and the counting of work at engines; it sends nothing to engines.
package slots

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/quota"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/suspension"
)

// Transport sends datagrams to other nodes. What is sent may be lost.
type Transport interface {
	SendState(to string, lane grant.Lane, state grant.State)
	SendReply(to string, lane grant.Lane, reply grant.Reply)
}

// Dependencies are the parts that the service works with.
type Dependencies struct {
	Engines *catalog.Engines
	Logger  *zap.Logger
	Metrics *Metrics
	// Self is where this node hears others; Life names this life of it.
	Self, Name, Life, Zone string
	// Candidates gives the nodes that may be dispatchers, this one among them. As long as
	// nothing has changed it gives the same list.
	Candidates func() []grant.Candidate
	// LiveNodes counts the nodes that are alive, this one and those that leave among them: all
	// that may send requests.
	LiveNodes func() int
	// Seeds gives addresses to turn to while no other node is known.
	Seeds func() []string
	// Ready says whether this node knows the engines.
	Ready func() bool
	// MembersKnown says whether Candidates are those of the whole fleet. A node that has
	// just started knows only itself: it must not take a limit for its own.
	MembersKnown func() bool
	// Connected gives the engines to which an idle connection is kept.
	Connected func() map[enginechoice.Incarnation]bool
	// Stop ends one of this node's batch runs, by the id of its ask.
	Stop func(id uint64)
}

// Times of the service.
const (
	// tickEvery is the pause between two rounds of a dispatcher's periodic work,
	// batch work among it.
	tickEvery = 10 * time.Millisecond
	// lookEvery is the pause between two looks at the nodes and the engines.
	lookEvery = 200 * time.Millisecond
	// forgetAfter is how long an idle dispatcher or requester is kept.
	forgetAfter = 5 * time.Second
	// mostConnected bounds the engines with an idle connection that are told.
	mostConnected = 48
	// mostLanes bounds the lanes that other nodes may have this one serve.
	mostLanes = 256
)

// requester is this node's side of a lane.
type requester struct {
	*grant.Requester
	used time.Time
}

// dispatcher is a lane that this node looks after.
type dispatcher struct {
	*grant.Dispatcher
	used   time.Time
	ticked time.Time
}

// Service gets slots. It is safe for concurrent use.
//
// Lock order: the engines' lock, then Service.mu; neither is held while datagrams
// are sent, grants are delivered or runs are stopped.
type Service struct {
	Dependencies
	life      uint64
	config    LimitsConfig
	transport Transport // nil: this node is alone
	watch     *suspension.Watch
	wake      chan struct{}
	asks      atomic.Uint64 // ids given so far

	mu          sync.Mutex // guards the rest
	requesters  map[grant.Lane]*requester
	dispatchers map[grant.Lane]*dispatcher
	waits       map[uint64]*waiter // by ask
	batch       map[uint64]BatchAsk
	batchLanes  map[uint64]grant.Lane
	engines     engineView
	lookedAt    time.Time
	rankedBy    []grant.Candidate // that the lanes' dispatchers are ranked among
	limits      limits
	live        int          // nodes that are alive, this one among them; 0: not known
	lone        *quota.Place // this node's part of the limits, for when it reaches no dispatcher
	nextAt      time.Time    // when the loop wakes by itself
}

// New makes a service; Run does its periodic work.
func New(config LimitsConfig, dependencies Dependencies) *Service {
	return &Service{
		config: config, lone: quota.NewLonePlace(config.margin(), time.Now()),
		Dependencies: dependencies, life: grant.LifeHash(dependencies.Life), wake: make(chan struct{}, 1),
		requesters: make(map[grant.Lane]*requester), dispatchers: make(map[grant.Lane]*dispatcher),
		waits: make(map[uint64]*waiter), batch: make(map[uint64]BatchAsk), batchLanes: make(map[uint64]grant.Lane),
		engines: newEngineView(),
	}
}

// UseTransport has the service ask other nodes; called before Run.
func (s *Service) UseTransport(transport Transport) { s.transport = transport }

// WatchBy has the service forget what it cannot know to hold after a suspension: the work
// of nodes that are looked after by another dispatcher now, and grants that were not used
// in time, whose slots are another's; called before Run.
func (s *Service) WatchBy(watch *suspension.Watch) {
	s.watch = watch
	watch.OnWake(func(gap time.Duration) {
		now := time.Now()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, known := range s.dispatchers {
			known.Suspended(gap, now)
		}
		for _, known := range s.requesters {
			known.Suspended()
		}
		s.wakeBy(now)
	})
}

// Run does the periodic work until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	timer := time.NewTimer(tickEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-s.wake:
		}
		s.look()
		timer.Reset(s.round())
	}
}

// round does what is due, and gives the pause until the next round.
func (s *Service) round() time.Duration {
	now := time.Now()
	var out outbox
	s.mu.Lock()
	s.tick(now, &out)
	next := s.poll(now, &out)
	s.nextAt = next
	s.mu.Unlock()
	s.deliver(out)
	return max(time.Until(next), 0)
}

// tick does the dispatchers' periodic work; the caller holds mu.
func (s *Service) tick(now time.Time, out *outbox) {
	for lane, known := range s.dispatchers {
		if known.Idle() {
			if now.Sub(known.used) > forgetAfter {
				delete(s.dispatchers, lane)
			}
			continue
		}
		if now.Sub(known.ticked) >= tickEvery {
			known.ticked = now
			known.Tick(now)
			s.gather(lane, known, now, out)
		}
	}
}

// poll has each lane's side say what is due, and gives when to do so again; the
// caller holds mu.
func (s *Service) poll(now time.Time, out *outbox) time.Time {
	next := now.Add(lookEvery)
	var connected []uint64
	if len(s.requesters) > 0 {
		connected = s.connected()
	}
	for lane, known := range s.requesters {
		if known.Idle() {
			if now.Sub(known.used) > forgetAfter && !known.Attached() {
				delete(s.requesters, lane)
				continue
			}
		} else {
			known.used = now
		}
		if at := s.pollLane(lane, known, now, connected, out); at.Before(next) {
			next = at
		}
	}
	for _, known := range s.dispatchers {
		if at := known.ticked.Add(tickEvery); !known.Idle() && at.Before(next) {
			next = at
		}
	}
	return next
}

// pollLane does what is due in one lane; the caller holds mu.
func (s *Service) pollLane(lane grant.Lane, known *requester, now time.Time, connected []uint64, out *outbox) time.Time {
	before := known.Current()
	due, next := known.Poll(now, connected)
	out.noteDispatcher(lane, before, known.Current())
	out.alone = append(out.alone, due.Alone...)
	for _, send := range due.Sends {
		if send.To != s.Self {
			out.states = append(out.states, stateTo{to: send.To, lane: lane, state: send.State})
			continue
		}
		s.hearState(s.Self, lane, send.State, now, out)
	}
	return next
}

// connected gives the engines that an idle connection is kept to.
func (s *Service) connected() []uint64 {
	var hashes []uint64
	for engine := range s.Connected() {
		if hashes = append(hashes, grant.EngineHash(engine)); len(hashes) == mostConnected {
			break
		}
	}
	return hashes
}

// look brings the view of the engines and of the ranking of nodes up to date.
func (s *Service) look() {
	var out outbox
	defer func() { s.deliver(out) }()
	now := time.Now()
	s.mu.Lock()
	due := now.Sub(s.lookedAt) >= lookEvery
	seen := s.engines.seen
	s.mu.Unlock()
	var changes engineChanges
	s.Engines.Use(func(set *enginechoice.Set, _ time.Time) { changes = changesSince(set, seen) })
	var candidates []grant.Candidate
	live := 0
	if due {
		candidates, live = s.Candidates(), s.liveNodes()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takeEngines(changes, now)
	if !due {
		return
	}
	s.lookedAt = now
	s.live = live
	if !sameList(s.rankedBy, candidates) {
		s.rankedBy = candidates
		s.rankAnew(candidates, now, &out)
	}
	for _, known := range s.dispatchers {
		known.SetLive(s.live)
	}
	s.attach(candidates, now)
}

// sameList says whether two lists are one and the same, which is not changed once it is given.
func sameList(a, b []grant.Candidate) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// rankAnew has each lane's side know the nodes that may be its dispatcher; the caller holds mu. To
// rank 1,000 nodes in four lanes takes 0.38 ms, which was done five times a second for
// lists that had not changed (BenchmarkLook).
func (s *Service) rankAnew(candidates []grant.Candidate, now time.Time, out *outbox) {
	for lane, known := range s.requesters {
		before := known.Current()
		known.SetRanking(s.ranking(lane, candidates), now)
		out.noteDispatcher(lane, before, known.Current())
	}
}

// takeEngines has all parts know the engines; the caller holds mu.
func (s *Service) takeEngines(changes engineChanges, now time.Time) {
	if changes.count == s.engines.seen {
		return
	}
	s.engines.take(changes)
	for lane, known := range s.dispatchers {
		if changes.whole {
			known.SetEngines(s.engines.list(lane.Pool), now)
		} else {
			known.UpdateEngines(changes.listed, changes.gone, now)
		}
	}
}

// ranking gives the nodes that may be a lane's dispatcher. A node that knows no
// other asks the seeds, which know more.
func (s *Service) ranking(lane grant.Lane, candidates []grant.Candidate) []string {
	if s.transport == nil {
		return []string{s.Self}
	}
	ranking := grant.Rank(lane, candidates)
	if !s.anyOther(candidates) {
		ranking = s.Seeds()
	}
	if !slices.Contains(ranking, s.Self) {
		ranking = append(ranking, s.Self) // a node that reaches no other decides for itself
	}
	return ranking
}

// anyOther says whether a node besides this one, which is no candidate while it leaves, may be
// a dispatcher.
func (s *Service) anyOther(candidates []grant.Candidate) bool {
	return slices.ContainsFunc(candidates, func(candidate grant.Candidate) bool { return candidate.Address != s.Self })
}

// requester gives this node's side of a lane; the caller holds mu.
func (s *Service) requester(lane grant.Lane, now time.Time) *requester {
	known := s.requesters[lane]
	if known == nil {
		known = &requester{Requester: grant.NewRequester(grant.DefaultRequesterConfig(), s.life, s.Zone)}
		known.SetAttached(s.keepsLimits(lane), now)
		s.requesters[lane] = known
	}
	known.used = now
	return known
}

// dispatcher gives a lane's dispatcher; the caller holds mu.
func (s *Service) dispatcher(lane grant.Lane, now time.Time) *dispatcher {
	known := s.dispatchers[lane]
	if known == nil && len(s.dispatchers) < mostLanes {
		known = &dispatcher{Dispatcher: grant.NewDispatcher(grant.DefaultDispatcherConfig(), lane, s.Name, now)}
		known.SetEngines(s.engines.list(lane.Pool), now)
		known.SetLimits(s.config.margin(), s.limitsIn(lane), now)
		known.SetLive(s.live)
		s.dispatchers[lane] = known
	}
	if known != nil {
		known.used = now
	}
	return known
}

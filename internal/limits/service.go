package limits

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/core/quota"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/peer"
	"ringstream.example/ringstream/internal/rows"
	"ringstream.example/ringstream/internal/suspension"
)

const (
	// tickInterval is the pace of routine asks, which are batched by owner.
	tickInterval = 250 * time.Millisecond
	// lookAhead is the demand that credits in hand must cover, else more are
	// asked for: the next tick and an answer's way.
	lookAhead = 2 * tickInterval
)

// Service borrows from the owners of the limits in use, and lends as owner.
type Service struct {
	config     Config
	parameters quota.Parameters
	bus        peer.Bus
	rows       rows.Source
	logger     *zap.Logger
	metrics    *metrics
	started    time.Time
	watch      *suspension.Watch // nil: the machine is never suspended

	mu        sync.Mutex
	ownership ownership
	meters    map[meterKey]*meter
	lenders   map[meterKey]*lender
	sequence  uint64
	asked     map[uint64]*meter // by the sequence of its unanswered ask
	recalls   []recall          // to be sent
}

var _ Limiter = (*Service)(nil)

// New makes a limiter. It registers its messages with the bus; Run starts it.
func New(config Config, bus peer.Bus, source rows.Source, logger *zap.Logger, registerer prometheus.Registerer) *Service {
	if logger == nil {
		logger = zap.NewNop()
	}
	s := &Service{
		config:     config,
		parameters: config.parameters(),
		bus:        bus,
		rows:       source,
		logger:     logger,
		started:    time.Now(),
		ownership:  ownership{self: bus.Self()},
		meters:     map[meterKey]*meter{},
		lenders:    map[meterKey]*lender{},
		asked:      map[uint64]*meter{},
	}
	s.metrics = newMetrics(registerer, s)
	s.ownership.update(bus.View(), s.started)
	bus.Handle(asksMessage{}, func(from identity.NodeID, message any) any {
		s.takeAsks(from, message.(asksMessage))
		return nil
	})
	bus.Handle(answersMessage{}, func(_ identity.NodeID, message any) any {
		s.takeAnswers(message.(answersMessage))
		return nil
	})
	bus.Handle(recallMessage{}, func(_ identity.NodeID, message any) any {
		s.takeRecall(message.(recallMessage))
		return nil
	})
	return s
}

// WatchBy has the service look for suspensions of the machine before it admits, lends or
// borrows; called before Run.
func (s *Service) WatchBy(watch *suspension.Watch) {
	s.watch = watch
	watch.OnWake(func(time.Duration) { s.woke(time.Now()) })
}

// woke drops what this node had borrowed, and what it lent: its clock stood still while the
// leases on both sides ran out. What runs here is told to the owners with the next asks.
func (s *Service) woke(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.asked)
	for _, m := range s.meters {
		m.drop(now)
	}
	clear(s.lenders)
	s.ownership.notBefore = now
}

// Run follows the member list and makes the routine asks until the context ends.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := s.bus.Changed()
		s.updateView(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
			s.tick(time.Now())
		}
	}
}

func (s *Service) updateView(now time.Time) {
	view := s.bus.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ownership.update(view, now) {
		s.dropLenders()
	}
}

// outbox is the asks to send, by whom they go to.
type outbox map[identity.NodeID][]ask

// meterFor gives the meter of a set of limits, or nil when it limits nothing.
// Caller holds mu.
func (s *Service) meterFor(key meterKey, limits policy.Limits, now time.Time) *meter {
	if limits == (policy.Limits{}) {
		return nil
	}
	m := s.meters[key]
	if m == nil {
		nodes := len(s.ownership.current.nodes)
		m = &meter{
			key:      key,
			requests: quota.NewRateMeter(now, s.started, quota.Share{Limit: limits.RequestsPerSecond, Nodes: nodes}, s.parameters),
			tokens:   quota.NewRateMeter(now, s.started, quota.Share{Limit: limits.TokensPerSecond, Nodes: nodes}, s.parameters),
			permits:  quota.NewPermitMeter(s.sequence), // rises with every ask, so that it is above any that was used
		}
		m.limits = limits
		s.meters[key] = m
	}
	m.setLimits(limits)
	return m
}

// post adds an ask to the outbox, or answers it here when this node is the one
// to ask. Caller holds mu.
func (s *Service) post(asks outbox, m *meter, next ask, now time.Time) {
	s.resolve(m, now)
	s.sequence++
	if !next.givesBack() {
		next.Sequence = s.sequence
		m.sequence, m.asking, m.askedAt = next.Sequence, true, now
		s.asked[next.Sequence] = m
	}
	target := m.target(now)
	if target != s.bus.Self() {
		asks[target] = append(asks[target], next)
		return
	}
	if given, ok := s.answerAsk(target, next, now); ok {
		s.receive(given, now)
	}
}

// receive takes an answer; a late one is void. Caller holds mu.
func (s *Service) receive(given answer, now time.Time) {
	m := s.asked[given.Sequence]
	if m == nil {
		return
	}
	delete(s.asked, given.Sequence)
	m.receive(now, given, s.config.RenewInterval, s.parameters)
}

// resolve finds a meter's owner in the current view. A new owner is told what
// the node holds with the next tick. Caller holds mu.
func (s *Service) resolve(m *meter, now time.Time) {
	if m.generation == s.ownership.generation {
		return
	}
	m.generation = s.ownership.generation
	owner, deputy := s.ownership.owners(m.key.ownerKey())
	if owner != m.owner {
		m.renewAt = now
		m.deputyUntil, m.unreachable = time.Time{}, time.Time{}
	}
	m.owner, m.deputy = owner, deputy
}

// send sends the asks and recalls; an ask that is lost is overdue after the ask
// timeout, a recall is repeated while the limit is short.
func (s *Service) send(asks outbox) {
	s.mu.Lock()
	recalls := s.recalls
	s.recalls = nil
	s.mu.Unlock()
	for _, due := range recalls {
		for _, node := range due.holders {
			if node == s.bus.Self() {
				s.takeRecall(due.message)
				continue
			}
			_ = s.bus.Send(node, due.message) // a lost recall is made good by the next one, recallInterval later
		}
	}
	for node, list := range asks {
		s.metrics.asks.Add(float64(len(list)))
		_ = s.bus.Send(node, asksMessage{Asks: list}) // a lost ask is overdue after AskTimeout (expire)
	}
}

// expire notes an ask that is overdue. Caller holds mu.
func (s *Service) expire(m *meter, now time.Time) {
	if m.asking && now.Sub(m.askedAt) >= s.config.AskTimeout {
		s.metrics.unanswered.Inc()
		events.LimitOwnerSilent.Log(s.logger, zap.String("owner", string(m.target(now))), zap.String("row", string(m.key.row)))
		delete(s.asked, m.sequence)
		m.unanswered(now)
	}
}

// tick makes the routine asks of the limits in use, and forgets idle ones.
func (s *Service) tick(now time.Time) {
	s.watch.Look()
	s.mu.Lock()
	asks := outbox{}
	for key, m := range s.meters {
		s.expire(m, now)
		m.advance(now, len(s.ownership.current.nodes), s.parameters)
		if m.idle(now, s.config.IdleTimeout) {
			delete(s.meters, key)
			continue
		}
		s.resolve(m, now)
		if m.asking || now.Before(m.unreachable) {
			continue
		}
		if next, ok := m.routineAsk(now, lookAhead, s.parameters); ok {
			s.post(asks, m, next, now)
		}
	}
	for key, held := range s.lenders {
		if now.Sub(held.lastAsk) > s.config.IdleTimeout {
			delete(s.lenders, key)
		}
	}
	s.mu.Unlock()
	s.send(asks)
}

func (s *Service) takeAsks(from identity.NodeID, message asksMessage) {
	s.watch.Look()
	now := time.Now()
	s.mu.Lock()
	answers := make([]answer, 0, len(message.Asks))
	for _, asked := range message.Asks {
		if given, ok := s.answerAsk(from, asked, now); ok && asked.Sequence != 0 {
			answers = append(answers, given)
		}
	}
	s.mu.Unlock()
	s.send(nil)
	if len(answers) > 0 {
		_ = s.bus.Send(from, answersMessage{Answers: answers}) // a lost answer is asked again
	}
}

func (s *Service) takeRecall(message recallMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.meters[meterKey{row: message.Row, tenant: message.Tenant}]; m != nil {
		m.short = true
	}
}

func (s *Service) takeAnswers(message answersMessage) {
	s.watch.Look()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, given := range message.Answers {
		s.receive(given, now)
	}
}

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
	// tickInterval is the interval of routine asks, which are batched by owner.
	tickInterval = 250 * time.Millisecond
	// prefetchHorizon is the time for which credits must cover the demand before
	// more are asked for. It spans the wait for the next tick and for its answer.
	prefetchHorizon = 2 * tickInterval
)

// Service borrows from the owners of the limits in use, and lends the limits of
// which this node is owner or deputy.
type Service struct {
	config      Config
	parameters  quota.Parameters
	bus         peer.Bus
	rows        rows.Source
	logger      *zap.Logger
	metrics     *metrics
	started     time.Time
	suspensions *suspension.Watch // nil without suspension detection

	mu             sync.Mutex
	ownership      ownership
	meters         map[meterKey]*meter
	lenders        map[meterKey]*lender
	lastSequence   uint64
	inFlight       map[uint64]*meter // by the sequence of the unanswered ask
	pendingRecalls []recall          // to be sent
}

var _ Limiter = (*Service)(nil)

// New returns a limiter whose messages are registered with the bus. Run starts it.
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
		inFlight:   map[uint64]*meter{},
	}
	s.metrics = newMetrics(registerer, s)
	s.ownership.update(bus.View(), s.started)
	bus.Handle(asksMessage{}, func(from identity.NodeID, message any) any {
		s.handleAsks(from, message.(asksMessage))
		return nil
	})
	bus.Handle(answersMessage{}, func(_ identity.NodeID, message any) any {
		s.handleAnswers(message.(answersMessage))
		return nil
	})
	bus.Handle(recallMessage{}, func(_ identity.NodeID, message any) any {
		s.handleRecall(message.(recallMessage))
		return nil
	})
	return s
}

// SetSuspensionWatch makes the service check for suspensions of the machine before it
// admits, lends or borrows. It must be called before Run.
func (s *Service) SetSuspensionWatch(watch *suspension.Watch) {
	s.suspensions = watch
	watch.OnResume(func(time.Duration) { s.handleWake(time.Now()) })
}

// handleWake discards what this node has borrowed and its records of what it
// has lent. Its clock stood still during the suspension while the leases on both
// sides expired. The next asks report the requests that still run here to the
// owners.
func (s *Service) handleWake(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.inFlight)
	for _, m := range s.meters {
		m.dropBorrowed(now)
	}
	clear(s.lenders)
	s.ownership.earliestOwnership = now
}

// Run follows the membership and sends the routine asks until the context ends.
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

// outbox holds the asks to send by recipient.
type outbox map[identity.NodeID][]ask

// meterFor returns the meter of a set of limits, which it creates if needed. It
// returns nil if no limit is set. The caller holds mu.
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
			permits:  quota.NewPermitMeter(s.lastSequence), // increases with every ask, so it is at least any sequence used before
		}
		m.limits = limits
		s.meters[key] = m
	}
	m.setLimits(limits)
	return m
}

// enqueue adds an ask to the outbox, or answers it locally if this node is the
// recipient. The caller holds mu.
func (s *Service) enqueue(asks outbox, m *meter, next ask, now time.Time) {
	s.updateOwner(m, now)
	s.lastSequence++
	if !next.onlyReturns() {
		next.Sequence = s.lastSequence
		m.askSequence, m.askInFlight, m.askSentAt = next.Sequence, true, now
		s.inFlight[next.Sequence] = m
	}
	target := m.target(now)
	if target != s.bus.Self() {
		asks[target] = append(asks[target], next)
		return
	}
	if reply, ok := s.answerAsk(target, next, now); ok {
		s.handleAnswer(reply, now)
	}
}

// handleAnswer applies an answer, unless it arrives after the ask expired. The
// caller holds mu.
func (s *Service) handleAnswer(reply answer, now time.Time) {
	m := s.inFlight[reply.Sequence]
	if m == nil {
		return
	}
	delete(s.inFlight, reply.Sequence)
	m.applyAnswer(now, reply, s.config.RenewInterval, s.parameters)
}

// updateOwner sets a meter's owner and deputy by the current view. The next tick
// reports the permits that this node holds to a new owner. The caller holds mu.
func (s *Service) updateOwner(m *meter, now time.Time) {
	if m.generation == s.ownership.generation {
		return
	}
	m.generation = s.ownership.generation
	owner, deputy := s.ownership.owners(m.key.ownerKey())
	if owner != m.owner {
		m.renewAt = now
		m.useDeputyUntil, m.unreachableUntil = time.Time{}, time.Time{}
	}
	m.owner, m.deputy = owner, deputy
}

// send sends the given asks and the pending recalls. A lost ask expires after
// the ask timeout. A recall is repeated while permits are short.
func (s *Service) send(asks outbox) {
	s.mu.Lock()
	recalls := s.pendingRecalls
	s.pendingRecalls = nil
	s.mu.Unlock()
	for _, pending := range recalls {
		for _, node := range pending.holders {
			if node == s.bus.Self() {
				s.handleRecall(pending.message)
				continue
			}
			_ = s.bus.Send(node, pending.message) // best effort; the next recall follows after recallInterval
		}
	}
	for node, list := range asks {
		s.metrics.asks.Add(float64(len(list)))
		_ = s.bus.Send(node, asksMessage{Asks: list}) // a lost ask expires after AskTimeout (expireAsk)
	}
}

// expireAsk marks the meter's ask as unanswered if it is overdue. The caller
// holds mu.
func (s *Service) expireAsk(m *meter, now time.Time) {
	if m.askInFlight && now.Sub(m.askSentAt) >= s.config.AskTimeout {
		s.metrics.unanswered.Inc()
		events.LimitOwnerSilent.Log(s.logger, zap.String("owner", string(m.target(now))), zap.String("row", string(m.key.row)))
		delete(s.inFlight, m.askSequence)
		m.markUnanswered(now)
	}
}

// tick sends the routine asks of the limits in use and deletes idle meters and
// lenders.
func (s *Service) tick(now time.Time) {
	s.suspensions.Check()
	s.mu.Lock()
	asks := outbox{}
	for key, m := range s.meters {
		s.expireAsk(m, now)
		m.advance(now, len(s.ownership.current.nodes), s.parameters)
		if m.idle(now, s.config.IdleTimeout) {
			delete(s.meters, key)
			continue
		}
		s.updateOwner(m, now)
		if m.askInFlight || now.Before(m.unreachableUntil) {
			continue
		}
		if next, ok := m.routineAsk(now, prefetchHorizon, s.parameters); ok {
			s.enqueue(asks, m, next, now)
		}
	}
	for key, entry := range s.lenders {
		if now.Sub(entry.lastAskAt) > s.config.IdleTimeout {
			delete(s.lenders, key)
		}
	}
	s.mu.Unlock()
	s.send(asks)
}

func (s *Service) handleAsks(from identity.NodeID, message asksMessage) {
	s.suspensions.Check()
	now := time.Now()
	s.mu.Lock()
	answers := make([]answer, 0, len(message.Asks))
	for _, request := range message.Asks {
		if reply, ok := s.answerAsk(from, request, now); ok && request.Sequence != 0 {
			answers = append(answers, reply)
		}
	}
	s.mu.Unlock()
	s.send(nil)
	if len(answers) > 0 {
		_ = s.bus.Send(from, answersMessage{Answers: answers}) // best effort; the borrower asks again
	}
}

func (s *Service) handleRecall(message recallMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.meters[meterKey{row: message.Row, tenant: message.Tenant}]; m != nil {
		m.permitsShort = true
	}
}

func (s *Service) handleAnswers(message answersMessage) {
	s.suspensions.Check()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, reply := range message.Answers {
		s.handleAnswer(reply, now)
	}
}

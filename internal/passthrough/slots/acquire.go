package slots

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/wait"
)

// Request is an online request that needs a slot.
type Request struct {
	ID    string // for the log
	Query enginechoice.Query
	// TenantRank is the priority of the request's tenant. It takes precedence over Rank, the
	// priority of its route. 0 is the highest priority.
	TenantRank, Rank int
	// Tenant is the name of the tenant whose limit applies to the request. It is empty if no
	// limit applies or the request has been counted already.
	Tenant             string
	FirstTokenDeadline time.Time // deadline of the first token; zero: no objective
	// PlacementDeadline is when the request stops waiting for a free slot. From then on it is placed at an
	// engine regardless of the engine's queue.
	PlacementDeadline time.Time
	// EndsAt is when the client or the route gives the request up; zero: unknown.
	EndsAt time.Time
	// Owner is the name of the request's tenant, in whose share of the engines it runs; empty if
	// it belongs to no tenant.
	Owner string
	// Content is a hash of the request's content, by which a dispatcher recognizes a request that
	// returns; 0 if unknown.
	Content uint64
	// MayHaveRun reports that an engine ran the request or may have.
	MayHaveRun bool
	Suspect    grant.Suspect
	// PauseObjective is the route's objective for the longest time between two events; zero: none.
	PauseObjective time.Duration
}

// OverloadedError reports that the engines cannot serve a request in its time.
type OverloadedError struct {
	Refusal    grant.OverloadRefusal
	Dispatcher string // address of the dispatcher that refused it
}

// Error implements error.
func (e *OverloadedError) Error() string {
	return fmt.Sprintf("slots: %d requests are before it and the engines complete %.0f a second; it can come back after %v", e.Refusal.Queued, e.Refusal.PerSecond, e.Refusal.RetryAfter)
}

// Source identifies which node chose an engine.
type Source uint8

// Sources of a decision.
const (
	ByDispatcher      Source = iota // another node, as the lane's dispatcher
	ByLocalDispatcher               // this node, as the lane's dispatcher
	WithoutDispatcher               // this node, since no dispatcher answered
)

var sourceNames = [...]string{"dispatcher", "self", "alone"}

// String returns the name used in logs and metrics.
func (s Source) String() string { return sourceNames[s] }

// Decision is the engine chosen for a request and the slot reserved there.
type Decision struct {
	Choice enginechoice.Choice
	Slot   *Slot
	Source Source
	From   string // address of the dispatcher
	Waited time.Duration
}

// verdict is the outcome that is delivered to a waiting request.
type verdict struct {
	granted      *receivedGrant
	noDispatcher bool
	overLimit    *OverLimitError
	overloaded   *OverloadedError
}

// waiter is an online request that waits for a verdict.
type waiter struct {
	lane     grant.Lane
	verdicts chan verdict // buffered, with a capacity of one
}

// NewID returns a new ask id.
func (s *Service) NewID() uint64 { return s.lastAskID.Add(1) }

// Acquire waits for a slot. It returns ErrNoEngine, ErrLimitNotKnown, a PromptTooLargeError, an
// OverLimitError, an OverloadedError, or the error of ctx if ctx ends first.
func (s *Service) Acquire(ctx context.Context, request Request) (Decision, error) {
	started := time.Now()
	query := request.Query
	var admission *receivedGrant // by the dispatcher that counts the tenant, if that grants no slot
	for {
		suspensions := s.watch.Count()
		if err := s.checkUsableEngine(query); err != nil {
			return Decision{}, err // a dispatcher could grant nothing
		}
		ask := s.newRequestAsk(request, query)
		lane := s.laneForAsk(query, ask)
		s.excludeOtherSoftware(&ask, lane, query)
		if counted, granted, err := s.countAgainstLimit(ctx, request, ask, lane); err != nil {
			return Decision{}, err
		} else if counted {
			request.Tenant, ask.Tenant = "", 0
			admission = cmp.Or(granted, admission)
		}
		result, err := s.waitForKnownMembers(ctx, request, lane, ask)
		if err != nil {
			s.returnAdmission(admission, err)
			return Decision{}, err
		}
		if result.granted != nil && s.watch.Count() != suspensions { // the dispatcher may have revoked the grant
			s.decline(*result.granted)
			continue
		}
		decision, usable := s.useVerdict(result, query)
		if usable {
			decision.Waited = time.Since(started)
			s.Metrics.granted(decision)
			return decision, nil
		}
		if result.granted != nil && result.engine == (enginechoice.Incarnation{}) {
			wait.For(ctx, unknownEngineRetryDelay) // if ctx has ended, the next wait returns its error
			continue
		}
		query = excludeEngine(query, result)
	}
}

// unknownEngineRetryDelay is the delay before another ask after a grant at an engine that this
// node has not yet read from the store, which it reads several times a second. Without the delay
// the node would ask and be granted the same engine again on each round trip.
const unknownEngineRetryDelay = 20 * time.Millisecond

// countAgainstLimit counts a request against its tenant's limit, if the dispatcher that counts
// the tenant is not the one that grants the slot. It returns false if the request is still to be
// counted, together with the ask for the slot. The admission is nil if no dispatcher has granted it.
func (s *Service) countAgainstLimit(ctx context.Context, request Request, ask grant.Ask, lane grant.Lane) (counted bool, admission *receivedGrant, err error) {
	if request.Tenant == "" {
		return true, nil, nil
	}
	s.mu.Lock()
	_, limited := s.limits.byTenant[ask.Tenant]
	home := s.limitLane(ask.Tenant)
	s.mu.Unlock()
	if !limited || home == lane {
		return !limited, nil, nil
	}
	ask.ID, ask.AdmitOnly = s.NewID(), true
	result, err := s.waitForKnownMembers(ctx, request, home, ask)
	return err == nil, result.granted, err
}

// newRequestAsk returns the ask of an online request.
func (s *Service) newRequestAsk(request Request, query enginechoice.Query) grant.Ask {
	ask := s.askFromQuery(s.NewID(), query)
	ask.TenantRank, ask.Rank, ask.Suspect = request.TenantRank, request.Rank, request.Suspect
	ask.MayHaveRun = request.MayHaveRun
	if s.config.Scheduling.RefuseOverload {
		ask.Content = request.Content
	}
	if s.LearnsSpeeds(query.Pool) {
		ask.PauseObjective = request.PauseObjective
	}
	ask.Owner = s.ownerHash(request.Owner)
	if request.Tenant != "" {
		ask.Tenant = grant.TenantHash(request.Tenant)
	}
	return ask
}

// SharesAmongTenants reports whether the tenants of one priority share the engines.
func (s *Service) SharesAmongTenants() bool { return s.config.Scheduling.FairShares }

// ownerHash returns the hash of the tenant in whose share a request runs, or 0 if there are no
// shares or it belongs to no tenant.
func (s *Service) ownerHash(tenant string) uint64 {
	if !s.config.Scheduling.FairShares || tenant == "" {
		return 0
	}
	return grant.TenantHash(tenant)
}

// pickLocally returns the engine that this node chooses without a dispatcher.
func (s *Service) pickLocally(query enginechoice.Query) (choice enginechoice.Choice, found bool) {
	query.Zone = s.Zone
	s.Engines.Use(func(set *enginechoice.Set, now time.Time) { choice, found = set.Pick(query, now) })
	return choice, found
}

// checkUsableEngine returns nil if any engine known to this node may take the request, or else a
// PromptTooLargeError if none of the pool can ever hold its prompt, or ErrNoEngine.
func (s *Service) checkUsableEngine(query enginechoice.Query) error {
	largest, found := 0, false
	s.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		if found = set.CanPick(query, now); !found {
			largest = set.LargestMemory(enginechoice.Query{Pool: query.Pool})
		}
	})
	switch {
	case found:
		return nil
	case largest > 0 && query.PromptTokens() > largest:
		return &PromptTooLargeError{Pool: query.Pool, PromptTokens: query.PromptTokens(), Memory: largest}
	default:
		return ErrNoEngine
	}
}

// askVerdict is a verdict together with the ask that it answers.
type askVerdict struct {
	verdict
	suspect grant.Suspect
	id      uint64
	lane    grant.Lane
	engine  enginechoice.Incarnation // the granted engine; zero: not known here
}

// submitAndWait submits an ask to a lane's dispatcher and waits for the verdict.
func (s *Service) submitAndWait(ctx context.Context, request Request, lane grant.Lane, ask grant.Ask) (askVerdict, error) {
	id := ask.ID
	pending := &waiter{verdicts: make(chan verdict, 1), lane: lane}
	s.mu.Lock()
	s.waiters[id] = pending
	s.mu.Unlock()
	defer s.removeWaiter(id)
	s.submitAsk(pending.lane, ask, request.deadlines())
	place := time.NewTimer(max(time.Until(request.PlacementDeadline), 0))
	defer place.Stop()
	for {
		select {
		case answer := <-pending.verdicts:
			result := askVerdict{verdict: answer, id: id, lane: pending.lane, suspect: ask.Suspect}
			if answer.overloaded != nil {
				return askVerdict{}, answer.overloaded
			}
			if err := s.limitError(answer, ask.Tenant); err != nil {
				return askVerdict{}, err
			}
			if answer.granted != nil {
				result.engine = s.engineByHash(answer.granted.grant.Engine)
			}
			return result, nil
		case <-place.C:
			ask.Place = true
			s.submitAsk(pending.lane, ask, request.deadlines())
		case <-ctx.Done():
			s.cancelAsk(pending, id)
			return askVerdict{}, ctx.Err()
		}
	}
}

// deadlines returns the deadlines that are reported with the ask.
func (r Request) deadlines() grant.Deadlines {
	return grant.Deadlines{Objective: r.firstTokenDeadline(), End: r.EndsAt}
}

// firstTokenDeadline returns the deadline of the first token. For a request without an objective
// this is PlacementDeadline.
func (r Request) firstTokenDeadline() time.Time {
	if r.FirstTokenDeadline.IsZero() {
		return r.PlacementDeadline
	}
	return r.FirstTokenDeadline
}

// askFromQuery converts an engine query to an ask.
func (s *Service) askFromQuery(id uint64, query enginechoice.Query) grant.Ask {
	ask := grant.Ask{
		ID: id, Batch: query.Batch, Shared: query.Shared, OwnTokens: query.OwnTokens, MemoryTokens: query.MemoryTokens,
		BatchPercent: query.MaxBatchPercent,
	}
	if query.PreviousEngine != (enginechoice.Incarnation{}) {
		ask.Former = grant.EngineHash(query.PreviousEngine)
	}
	for engine := range query.Exclude {
		ask.Exclude = append(ask.Exclude, grant.EngineHash(engine))
	}
	return ask
}

// laneForLocked returns the lane to which an ask is sent. Requests that share prompt parts use the
// same lane, and so do requests with the same content if engines have ended while they ran it. If
// the query names software versions, the lane has an engine of one if any lane has. The caller holds mu.
func (s *Service) laneForLocked(query enginechoice.Query, ask grant.Ask) grant.Lane {
	lane := grant.Lane{Pool: query.Pool, Parts: s.engines.laneCount(query.Pool)}
	key := grant.LifeHash(s.Incarnation) + ask.ID
	if ask.Suspect.Content != 0 {
		key = ask.Suspect.Content // one dispatcher sees all runs of a content
	} else if len(ask.Shared) > 0 {
		key = grant.PartHash(ask.Shared[len(ask.Shared)-1].ID)
	}
	lane.Part = uint32(key) & (lane.Parts - 1) //nolint:gosec // the low bits are meant
	if query.RestrictsSoftware() {
		lane = s.engines.laneWithSoftware(lane, query)
	}
	return lane
}

// laneForAsk acquires mu and calls laneForLocked.
func (s *Service) laneForAsk(query enginechoice.Query, ask grant.Ask) grant.Lane {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.laneForLocked(query, ask)
}

// excludeOtherSoftware adds the lane's engines of other software versions to those that the ask
// excludes, if the query names versions. Dispatchers of all builds understand such an ask.
func (s *Service) excludeOtherSoftware(ask *grant.Ask, lane grant.Lane, query enginechoice.Query) {
	if !query.RestrictsSoftware() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ask.Exclude = append(ask.Exclude, s.engines.otherSoftware(lane, query)...)
}

// submitAsk adds an ask to the lane's requester and sends it.
func (s *Service) submitAsk(lane grant.Lane, ask grant.Ask, due grant.Deadlines) {
	now := time.Now()
	var candidates []grant.Candidate
	s.mu.Lock()
	isNew := s.requesters[lane] == nil
	s.mu.Unlock()
	if isNew {
		candidates = s.Candidates()
	}
	var out outbox
	s.mu.Lock()
	requester := s.requesterFor(lane, now)
	if isNew {
		requester.SetRanking(s.ranking(lane, candidates), now)
	}
	requester.Wait(ask, due, now)
	s.scheduleWake(s.pollLane(lane, requester, now, s.connectedHashes(), &out))
	s.mu.Unlock()
	s.deliver(out)
}

func (s *Service) removeWaiter(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, id)
}

// cancelAsk withdraws the ask of a request that has ended. A grant that has arrived meanwhile is
// declined.
func (s *Service) cancelAsk(pending *waiter, id uint64) {
	s.mu.Lock()
	cancelled := s.requesters[pending.lane] != nil && s.requesters[pending.lane].Cancel(id, time.Now())
	s.mu.Unlock()
	if cancelled {
		s.runDueWork()
		return
	}
	select {
	case answer := <-pending.verdicts:
		if answer.granted != nil {
			s.decline(*answer.granted)
		}
	default:
	}
}

// deliverVerdict delivers the verdict of an ask. It returns false if no request is waiting for
// it.
func (s *Service) deliverVerdict(id uint64, answer verdict) bool {
	s.mu.Lock()
	pending := s.waiters[id]
	s.mu.Unlock()
	if pending == nil {
		return false
	}
	select {
	case pending.verdicts <- answer:
		return true
	default:
		return false
	}
}

// deliverGrant delivers a grant to the request or batch item that asked for it, and declines it
// if neither waits any longer.
func (s *Service) deliverGrant(received receivedGrant) {
	if s.deliverVerdict(received.grant.ID, verdict{granted: &received}) || s.startBatchItem(received) {
		return
	}
	s.decline(received)
}

// decline returns a grant to its dispatcher.
func (s *Service) decline(received receivedGrant) {
	s.mu.Lock()
	if requester := s.requesters[received.lane]; requester != nil {
		requester.Decline(received.grant, time.Now())
	}
	s.mu.Unlock()
	s.runDueWork()
}

// useVerdict begins a slot at the granted engine, or at one that this node chooses when no
// dispatcher answered. It returns false if, as far as this node knows, the engine takes no work.
func (s *Service) useVerdict(result askVerdict, query enginechoice.Query) (decision Decision, usable bool) {
	if result.granted == nil {
		decision.Source = WithoutDispatcher
		decision.Choice, usable = s.pickLocally(query)
	} else if decision, usable = s.resolveGrant(*result.granted, query); !usable {
		s.decline(*result.granted)
	}
	if usable {
		decision.Slot = s.beginSlot(result.lane, result.id, decision.Choice, query, result.suspect)
	}
	return decision, usable
}

// resolveGrant returns a decision for the engine that a grant names. It returns false if the
// engine is unknown, unusable or excluded, or runs another software version than the query wants.
func (s *Service) resolveGrant(received receivedGrant, query enginechoice.Query) (Decision, bool) {
	engine := s.engineByHash(received.grant.Engine)
	var listed enginechoice.Listed
	found := false
	s.Engines.Use(func(set *enginechoice.Set, _ time.Time) { listed, found = set.Find(engine) })
	if !found || !listed.State.Usable() || query.Exclude[engine] || !query.AllowsSoftware(listed.Entry.Software) {
		events.GrantDeclined.Log(s.Logger, zap.Uint64("ask", received.grant.ID), zap.Stringer("engine", engine), zap.String("dispatcher", received.from), zap.Bool("known", found), zap.Stringer("state", listed.State))
		return Decision{}, false
	}
	decision := Decision{Source: ByDispatcher, From: received.from, Choice: enginechoice.Choice{
		Entry: listed.Entry, State: listed.State, Score: received.grant.Score, PrefillTokens: received.grant.PrefillTokens,
		InFlight: received.grant.InFlight, Preempts: received.grant.Preempts, Slowness: received.grant.Slowness,
	}}
	if received.from == s.Self {
		decision.Source = ByLocalDispatcher
	}
	return decision, true
}

// engineByHash returns the engine with a hash, or the zero value if it is not known here.
func (s *Service) engineByHash(hash uint64) enginechoice.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines.engineByHash(hash)
}

// excludeEngine returns the query with the granted engine, which could not be used, excluded.
func excludeEngine(query enginechoice.Query, result askVerdict) enginechoice.Query {
	exclude := make(map[enginechoice.Incarnation]bool, len(query.Exclude)+1)
	for id := range query.Exclude {
		exclude[id] = true
	}
	if result.granted != nil {
		exclude[result.engine] = true
	}
	query.Exclude = exclude
	return query
}

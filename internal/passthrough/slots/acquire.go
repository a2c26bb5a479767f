package slots

import (
	"context"
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
	// TenantRank is its tenant's priority, which goes before Rank, that of its route;
	// 0 is the highest.
	TenantRank, Rank int
	// Tenant is whose limit is to count it, by name; empty: nobody's, or it is counted
	// already.
	Tenant string
	Due    time.Time // of its first token; zero: no objective
	// PlaceAt is when it waits no longer for a free slot: it then takes its place
	// at an engine, however many are before it.
	PlaceAt time.Time
	Suspect grant.Suspect
}

// Source says who chose an engine.
type Source uint8

// The sources.
const (
	ByDispatcher Source = iota // another node that looks after the engine's lane
	BySelf                     // this node, as the lane's dispatcher
	Alone                      // this node, since no dispatcher answered
)

var sourceNames = [...]string{"dispatcher", "self", "alone"}

// String gives the name for logs and metrics.
func (s Source) String() string { return sourceNames[s] }

// Decision is an engine for a request, and the slot that it holds there.
type Decision struct {
	Choice enginechoice.Choice
	Slot   *Slot
	Source Source
	From   string // the dispatcher
	Waited time.Duration
}

// verdict is what a waiting request is told.
type verdict struct {
	granted   *granted
	alone     bool
	overLimit *OverLimitError
}

// waiter is an online request that waits.
type waiter struct {
	lane grant.Lane
	told chan verdict // of one place
}

// NewID gives an id for an ask.
func (s *Service) NewID() uint64 { return s.asks.Add(1) }

// Acquire waits for a slot. Its errors are ErrNoEngine, ErrLimitNotKnown, an
// OverLimitError, and that of ctx when it has ended first.
func (s *Service) Acquire(ctx context.Context, request Request) (Decision, error) {
	started := time.Now()
	query := request.Query
	for {
		suspensions := s.watch.Count()
		if !s.anyEngine(query) {
			return Decision{}, ErrNoEngine // nothing that a dispatcher could grant
		}
		ask := s.newAsk(request, query)
		lane := s.laneOf(query.Pool, ask)
		if counted, err := s.count(ctx, request, ask, lane); err != nil {
			return Decision{}, err
		} else if counted {
			request.Tenant, ask.Tenant = "", 0
		}
		told, err := s.waitForMembers(ctx, request, lane, ask)
		if err != nil {
			return Decision{}, err
		}
		if told.granted != nil && s.watch.Count() != suspensions { // the dispatcher has taken it back
			s.decline(*told.granted)
			continue
		}
		decision, usable := s.use(told, query)
		if usable {
			decision.Waited = time.Since(started)
			s.Metrics.granted(decision)
			return decision, nil
		}
		if told.granted != nil && told.engine == (enginechoice.Incarnation{}) {
			wait.For(ctx, unknownEnginePause) // where ctx has ended, the next wait says so
			continue
		}
		query = excluding(query, told)
	}
}

// unknownEnginePause is the pause after a grant at an engine that this node has not read of
// yet: it reads the store some times a second. Without it the node asked, and was granted
// the same, at each round trip until then.
const unknownEnginePause = 20 * time.Millisecond

// count has a request counted by its tenant's limit, where that is not the same
// lane's dispatcher that will grant it a slot; false: it is yet to be counted there.
func (s *Service) count(ctx context.Context, request Request, ask grant.Ask, lane grant.Lane) (bool, error) {
	if request.Tenant == "" {
		return true, nil
	}
	s.mu.Lock()
	_, limited := s.limits.byTenant[ask.Tenant]
	home := s.limitLane(ask.Tenant)
	s.mu.Unlock()
	if !limited || home == lane {
		return !limited, nil
	}
	ask.ID, ask.AdmitOnly = s.NewID(), true
	_, err := s.waitForMembers(ctx, request, home, ask)
	return err == nil, err
}

// newAsk makes the ask of a request.
func (s *Service) newAsk(request Request, query enginechoice.Query) grant.Ask {
	ask := s.askOf(s.NewID(), query)
	ask.TenantRank, ask.Rank, ask.Suspect = request.TenantRank, request.Rank, request.Suspect
	if request.Tenant != "" {
		ask.Tenant = grant.TenantHash(request.Tenant)
	}
	return ask
}

// pickAlone gives the engine that this node would choose by itself.
func (s *Service) pickAlone(query enginechoice.Query) (choice enginechoice.Choice, found bool) {
	query.Zone = s.Zone
	s.Engines.Use(func(set *enginechoice.Set, now time.Time) { choice, found = set.Pick(query, now) })
	return choice, found
}

// anyEngine says whether some engine may take a request, by what this node knows.
func (s *Service) anyEngine(query enginechoice.Query) (found bool) {
	s.Engines.Use(func(set *enginechoice.Set, now time.Time) { found = set.Any(query, now) })
	return found
}

// answered is a verdict with the ask that it is for.
type answered struct {
	verdict
	suspect grant.Suspect
	id      uint64
	lane    grant.Lane
	engine  enginechoice.Incarnation // that was granted
}

// wait asks a lane's dispatcher, and waits for its word.
func (s *Service) wait(ctx context.Context, request Request, lane grant.Lane, ask grant.Ask) (answered, error) {
	id := ask.ID
	waiting := &waiter{told: make(chan verdict, 1), lane: lane}
	s.mu.Lock()
	s.waits[id] = waiting
	s.mu.Unlock()
	defer s.forgetWait(id)
	s.post(waiting.lane, ask, request.due())
	place := time.NewTimer(max(time.Until(request.PlaceAt), 0))
	defer place.Stop()
	for {
		select {
		case told := <-waiting.told:
			result := answered{verdict: told, id: id, lane: waiting.lane, suspect: ask.Suspect}
			if err := s.limitError(told, ask.Tenant); err != nil {
				return answered{}, err
			}
			if told.granted != nil {
				result.engine = s.engineBy(told.granted.grant.Engine)
			}
			return result, nil
		case <-place.C:
			ask.Place = true
			s.post(waiting.lane, ask, request.due())
		case <-ctx.Done():
			s.cancel(waiting, id)
			return answered{}, ctx.Err()
		}
	}
}

// due is when the request is due; one without an objective is due when it is
// placed.
func (r Request) due() time.Time {
	if r.Due.IsZero() {
		return r.PlaceAt
	}
	return r.Due
}

// askOf translates a query.
func (s *Service) askOf(id uint64, query enginechoice.Query) grant.Ask {
	ask := grant.Ask{
		ID: id, Batch: query.Batch, Shared: query.Shared, OwnTokens: query.OwnTokens, MemoryTokens: query.MemoryTokens,
		BatchPercent: query.BatchPercent,
	}
	if query.Former != (enginechoice.Incarnation{}) {
		ask.Former = grant.EngineHash(query.Former)
	}
	for engine := range query.Exclude {
		ask.Exclude = append(ask.Exclude, grant.EngineHash(engine))
	}
	return ask
}

// laneFor gives the lane of a pool that an ask goes to: requests that share parts of
// their prompts ask in the same, and so do those of one content that engines have ended
// under. The caller holds mu.
func (s *Service) laneFor(pool string, ask grant.Ask) grant.Lane {
	lane := grant.Lane{Pool: pool, Parts: s.engines.parts(pool)}
	key := grant.LifeHash(s.Life) + ask.ID
	if ask.Suspect.Content != 0 {
		key = ask.Suspect.Content // so that one dispatcher knows all runs of a content
	} else if len(ask.Shared) > 0 {
		key = grant.PartHash(ask.Shared[len(ask.Shared)-1].ID)
	}
	lane.Part = uint32(key) & (lane.Parts - 1) //nolint:gosec // the low bits are meant
	return lane
}

// laneOf is laneFor without mu held.
func (s *Service) laneOf(pool string, ask grant.Ask) grant.Lane {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.laneFor(pool, ask)
}

// post hands an ask to this node's side of the lane, and sends it.
func (s *Service) post(lane grant.Lane, ask grant.Ask, due time.Time) {
	now := time.Now()
	var candidates []grant.Candidate
	s.mu.Lock()
	fresh := s.requesters[lane] == nil
	s.mu.Unlock()
	if fresh {
		candidates = s.Candidates()
	}
	var out outbox
	s.mu.Lock()
	known := s.requester(lane, now)
	if fresh {
		known.SetRanking(s.ranking(lane, candidates), now)
	}
	known.Wait(ask, due, now)
	s.wakeBy(s.pollLane(lane, known, now, s.connected(), &out))
	s.mu.Unlock()
	s.deliver(out)
}

func (s *Service) forgetWait(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waits, id)
}

// cancel takes an ask back whose request has ended.
func (s *Service) cancel(waiting *waiter, id uint64) {
	s.mu.Lock()
	waited := s.requesters[waiting.lane] != nil && s.requesters[waiting.lane].Cancel(id, time.Now())
	s.mu.Unlock()
	if waited {
		s.round()
		return
	}
	select {
	case told := <-waiting.told:
		if told.granted != nil {
			s.decline(*told.granted)
		}
	default:
	}
}

// tell gives a waiting request its verdict; false when nobody waits.
func (s *Service) tell(id uint64, told verdict) bool {
	s.mu.Lock()
	waiting := s.waits[id]
	s.mu.Unlock()
	if waiting == nil {
		return false
	}
	select {
	case waiting.told <- told:
		return true
	default:
		return false
	}
}

// handOver gives a grant to who asked for it.
func (s *Service) handOver(given granted) {
	if s.tell(given.grant.ID, verdict{granted: &given}) || s.startBatch(given) {
		return
	}
	s.decline(given)
}

// decline gives a grant back.
func (s *Service) decline(given granted) {
	s.mu.Lock()
	if known := s.requesters[given.lane]; known != nil {
		known.Decline(given.grant, time.Now())
	}
	s.mu.Unlock()
	s.round()
}

// use takes the slot at the engine that was granted, or at one that this node
// chooses; false when the engine takes no work, as far as this node knows.
func (s *Service) use(told answered, query enginechoice.Query) (decision Decision, usable bool) {
	if told.granted == nil {
		decision.Source = Alone
		decision.Choice, usable = s.pickAlone(query)
	} else if decision, usable = s.take(*told.granted, query); !usable {
		s.decline(*told.granted)
	}
	if usable {
		decision.Slot = s.begin(told.lane, told.id, decision.Choice, query, told.suspect)
	}
	return decision, usable
}

// take gives the engine that a grant names.
func (s *Service) take(given granted, query enginechoice.Query) (Decision, bool) {
	engine := s.engineBy(given.grant.Engine)
	var listed enginechoice.Listed
	found := false
	s.Engines.Use(func(set *enginechoice.Set, _ time.Time) { listed, found = set.Find(engine) })
	if !found || !listed.State.Usable() || query.Exclude[engine] {
		events.GrantDeclined.Log(s.Logger, zap.Uint64("ask", given.grant.ID), zap.Stringer("engine", engine), zap.String("dispatcher", given.from), zap.Bool("known", found), zap.Stringer("state", listed.State))
		return Decision{}, false
	}
	decision := Decision{Source: ByDispatcher, From: given.from, Choice: enginechoice.Choice{
		Entry: listed.Entry, State: listed.State, Score: given.grant.Score, PrefillTokens: given.grant.PrefillTokens,
		InFlight: given.grant.InFlight, MakeRoom: given.grant.Preempts,
	}}
	if given.from == s.Self {
		decision.Source = BySelf
	}
	return decision, true
}

// engineBy gives an engine by its hash; the zero value: not known here.
func (s *Service) engineBy(hash uint64) enginechoice.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines.engine(hash)
}

// excluding leaves the engine out that could not be used.
func excluding(query enginechoice.Query, told answered) enginechoice.Query {
	exclude := make(map[enginechoice.Incarnation]bool, len(query.Exclude)+1)
	for id := range query.Exclude {
		exclude[id] = true
	}
	if told.granted != nil {
		exclude[told.engine] = true
	}
	query.Exclude = exclude
	return query
}

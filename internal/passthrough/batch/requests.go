package batch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/passthrough/relay"
	"ringstream.example/ringstream/internal/passthrough/slots"
)

// maxSlotRequests bounds the items of this node in one requestGroup that wait at the dispatcher at a
// time. It is more than the dispatcher grants a node between two scheduling passes.
const maxSlotRequests = 16

// requestGroup is a set of items that wait for the same engines. The bound applies to each group, so that
// items whose engines are full or gone keep no others from being requested.
type requestGroup struct {
	pool     string
	software string // the only version that may run the items; empty if any will do
	suspect  bool   // engines have ended under them, so that they run apart from each other
	large    bool   // grant.IsLarge: they wait for an engine that is nearly idle
}

// requestSlots requests slots for the items with the earliest deadlines. Items that will miss their
// deadline come last.
func (s *Service) requestSlots() {
	known := s.Routes.Known()
	if known.Table == nil {
		return
	}
	waiting := s.candidates(known.Table.Tenants().Directory)
	if s.Slots.SharesAmongTenants() {
		takeTurns(waiting)
	}
	s.Slots.SetBatchRequests(s.selectRequests(known, waiting))
}

// selectRequests returns the slot requests of the first items of each requestGroup.
func (s *Service) selectRequests(known catalog.RoutesView, waiting []candidate) []slots.BatchRequest {
	storeNow, _ := s.storeClock()
	pass := requestPass{now: time.Now(), routes: make(map[routeKey]*passroute.Route), taken: make(map[requestGroup]int), memory: make(map[requestGroup]int)}
	for _, next := range waiting {
		route := s.routeInPass(&pass, known, next)
		if route == nil || (!next.hasText && pass.isFull(route)) {
			continue
		}
		due := pass.now.Add(next.deadline - storeNow)
		s.selectRequest(&pass, next, resolvedRoute{route: route, version: known.Table.Version(), learned: known.Learned}, due)
	}
	return pass.requests
}

// requestPass is the state of one selection of slot requests.
type requestPass struct {
	now      time.Time
	requests []slots.BatchRequest
	routes   map[routeKey]*passroute.Route
	taken    map[requestGroup]int // requests by group
	memory   map[requestGroup]int // Set.LargestMemory by group
}

// routeKey is what an item's route is looked up by.
type routeKey struct{ host, path string }

// routeInPass returns the route of an item, or nil if it has none.
func (s *Service) routeInPass(pass *requestPass, known catalog.RoutesView, next candidate) *passroute.Route {
	key := routeKey{host: next.job.host, path: next.job.items[next.index].Path}
	if route, found := pass.routes[key]; found {
		return route
	}
	route, found := s.routeOf(known, next)
	if !found {
		return nil
	}
	pass.routes[key] = route
	return route
}

// isFull reports whether no further item that may run at any engine is selected on a route.
func (p *requestPass) isFull(route *passroute.Route) bool {
	return !slices.ContainsFunc(route.Targets, func(target passroute.Target) bool {
		return p.taken[requestGroup{pool: target.Pool}] < maxSlotRequests
	})
}

// selectRequest adds the slot request of an item, unless its group is full, an operator holds it, it pauses
// after a crash, or no engine can hold its prompt.
func (s *Service) selectRequest(pass *requestPass, next candidate, route resolvedRoute, due time.Time) {
	pool := s.poolOf(next, route.route)
	software, waiting := s.softwareOf(next, pool)
	group := requestGroup{pool: pool, software: software}
	if !waiting || pass.taken[group] >= maxSlotRequests {
		return
	}
	query := relay.Query(pool, s.Headers.Demand(next.job.items[next.index].Header))
	query.Batch, query.PreviousEngine = true, next.lastEngine
	query.MaxBatchPercent, query.Software = s.config.MaxEnginePercent, group.software
	identity := s.identityOf(next.job, next.job.items[next.index])
	state := s.Guard.Item(identity)
	if s.exceedsMemory(pass, next, query) || s.holdIfOrdered(next, identity, state) || s.pauseAfterCrash(next, identity, state) {
		return
	}
	group.suspect, group.large = state.Suspect.Content != 0, grant.IsLarge(query.MemoryTokens, s.largestMemory(pass, query))
	if pass.taken[group] >= maxSlotRequests {
		return
	}
	pass.taken[group]++
	s.avoidSlowEngine(&query, next)
	pass.requests = append(pass.requests, s.slotRequest(next, query, state.Suspect, due, route))
}

// poolOf returns the pool in which an item waits for a slot. It stays the same while the item waits and
// the route leads there.
func (s *Service) poolOf(next candidate, route *passroute.Route) string {
	s.mu.Lock()
	pool := next.job.work[next.index].slotPool
	s.mu.Unlock()
	if slices.ContainsFunc(route.Targets, func(target passroute.Target) bool { return target.Pool == pool }) {
		return pool
	}
	return s.Routes.Pool(route)
}

// largestMemory returns the largest memory of an engine that may run an item, in tokens; 0 if unknown.
func (s *Service) largestMemory(pass *requestPass, query enginechoice.Query) int {
	group := requestGroup{pool: query.Pool, software: query.Software}
	largest, known := pass.memory[group]
	if !known {
		s.Engines.Use(func(set *enginechoice.Set, _ time.Time) { largest = set.LargestMemory(query) })
		pass.memory[group] = largest
	}
	return largest
}

// exceedsMemory reports whether the prompt of an item is larger than the memory of each engine that may
// run it. The item stays open, since an engine with more memory may come before its job expires.
func (s *Service) exceedsMemory(pass *requestPass, next candidate, query enginechoice.Query) bool {
	largest := s.largestMemory(pass, query)
	exceeds := largest > 0 && query.PromptTokens() > largest
	s.mu.Lock()
	work := &next.job.work[next.index]
	changed := work.exceedsMemory != exceeds
	work.exceedsMemory = exceeds
	s.mu.Unlock()
	if changed {
		events.ItemExceedsMemory.Log(s.Logger, zap.String("job", next.job.id), zap.String("request", next.job.itemIDs[next.index]), zap.Int64("epoch", next.job.epoch),
			zap.Bool("exceeds", exceeds), zap.Int("prompt_tokens", query.PromptTokens()), zap.Int("largest_memory", largest), zap.String("pool", query.Pool), zap.String("software", query.Software))
	}
	return exceeds
}

// slotRequest builds the slot request of an item. The item keeps its request id while it waits.
func (s *Service) slotRequest(next candidate, query enginechoice.Query, suspect grant.Suspect, due time.Time, route resolvedRoute) slots.BatchRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	work := &next.job.work[next.index]
	if work.slotRequestID == 0 {
		work.slotRequestID = s.Slots.NewID()
	}
	work.slotPool = query.Pool
	id := work.slotRequestID
	return slots.BatchRequest{
		ID: id, Query: query, RoomPercent: s.config.MaxUsePercent, TenantRank: next.rank, Rank: route.route.Priority, Owner: next.job.tenant,
		Due: due, Late: next.late, Suspect: suspect,
		Start: func(decision slots.Decision) bool { return s.startItem(next, id, decision, route) },
	}
}

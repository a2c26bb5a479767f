// Package fleet tracks the engines: which exist, which of them this node
// dispatches to, their load, the contents of their prefix caches, and which do
// not respond. It sends no caller requests.
//
// It holds no lease. While nodes disagree on the member list, an engine may
// briefly have too many or too few dispatchers, and its load estimate is less
// accurate.
//
// Lock order: Service.mutex before Engine.mutex. Service.prefixMutex is
// acquired last, and no other lock is acquired while it is held. Reading a Snapshot
// takes no lock.
package fleet

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/health"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/routing"
	"ringstream.example/ringstream/internal/core/subset"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/peer"
)

// Snapshot holds the engines that this node dispatches to. The set is immutable;
// the state of each engine is not.
type Snapshot struct {
	pools map[string][]*Engine
	byID  map[identity.EngineID]*Engine
}

// Pool returns a pool's engines. The caller must not modify the slice.
func (s *Snapshot) Pool(name string) []*Engine { return s.pools[name] }

// Engines returns all engines of the subset by ID. The caller must not modify
// the map.
func (s *Snapshot) Engines() map[identity.EngineID]*Engine { return s.byID }

// Service keeps the snapshot of the engines up to date.
type Service struct {
	config   Config
	machines backend.MachineList
	clients  backend.Engines
	bus      peer.Bus
	logger   *zap.Logger
	metrics  *metrics

	snapshot atomic.Pointer[Snapshot]
	changed  chan struct{} // signals a possible change of capacity; holds at most one pending signal

	mutex       sync.Mutex
	version     uint64
	machineList map[identity.EngineID]backend.Machine
	engines     map[identity.EngineID]*Engine // the subset that this node dispatches to
	slots       [routing.MaxSlots]bool
	chooser     *subset.Chooser
	// remoteEngines lists the engines of each pool that only other nodes dispatch to.
	remoteEngines map[string][]identity.EngineID
	duePolls      chan *Engine

	prefixMutex sync.RWMutex
	prefixes    *routing.PrefixIndex
}

// New creates a service, which is idle until Run is called.
func New(config Config, machines backend.MachineList, engines backend.Engines, bus peer.Bus, logger *zap.Logger, registerer prometheus.Registerer) *Service {
	service := &Service{
		config: config, machines: machines, clients: engines, bus: bus, logger: logger,
		metrics:     newMetrics(registerer),
		changed:     make(chan struct{}, 1),
		machineList: make(map[identity.EngineID]backend.Machine),
		engines:     make(map[identity.EngineID]*Engine),

		remoteEngines: make(map[string][]identity.EngineID),
		duePolls:      make(chan *Engine),
		prefixes:      routing.NewPrefixIndex(config.PrefixIndexSize),
	}
	service.snapshot.Store(&Snapshot{})
	return service
}

// Snapshot returns the current snapshot. It is cheap and never blocks.
func (s *Service) Snapshot() *Snapshot { return s.snapshot.Load() }

// Changed returns a channel that signals that engines were added or removed,
// reported, or freed capacity. It supports one reader.
func (s *Service) Changed() <-chan struct{} { return s.changed }

// Notify sends a signal on the Changed channel unless one is pending.
func (s *Service) Notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Client returns a client for any engine of the machine list, including engines
// outside the subset. It returns false if the engine is not listed.
func (s *Service) Client(id identity.EngineID) (backend.Engine, bool) {
	if engine, ok := s.Snapshot().byID[id]; ok {
		return engine.Client, true
	}
	s.mutex.Lock()
	machine, ok := s.machineList[id]
	s.mutex.Unlock()
	if !ok {
		return nil, false
	}
	return s.clients.Engine(machine), true
}

// RandomOtherDispatcher returns a random node that dispatches to an engine of the pool
// outside this node's subset, or false if there is none. Every node computes the
// dispatchers from the machine list and the member list, so no message is needed.
func (s *Service) RandomOtherDispatcher(pool string, random routing.Random) (identity.NodeID, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	others := s.remoteEngines[pool]
	if len(others) == 0 {
		return "", false
	}
	machine := s.machineList[others[random.Uint64()%uint64(len(others))]]
	nodes := s.chooser.Dispatchers(machine.EngineID(), machine.Zone, machine.Region)
	if len(nodes) == 0 {
		return "", false
	}
	return nodes[random.Uint64()%uint64(len(nodes))], true
}

// Run watches the fleet until ctx is done. Its error is always nil.
func (s *Service) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range s.config.PollWorkers {
		workers.Go(func() { s.pollWorker(ctx) })
	}
	workers.Go(func() { s.schedulePolls(ctx) })
	workers.Go(func() { s.watchMachines(ctx) })
	workers.Wait()
	return nil
}

// watchMachines reads the machine list every MachineListInterval and recomputes
// the subset when the list or the members change.
func (s *Service) watchMachines(ctx context.Context) {
	pause := time.NewTimer(s.config.MachineListInterval)
	defer pause.Stop()
	failing := false
	membersChanged := true
	changed := s.bus.Changed()
	for {
		listChanged, err := s.readMachines(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			events.MachineListStale.Log(s.logger, zap.Error(err))
		}
		failing = err != nil
		if listChanged || membersChanged {
			s.updateSubset(s.bus.View())
		}
		membersChanged = false
		pause.Reset(s.config.MachineListInterval) // avoids an immediate second read after a slow one
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		case <-changed:
		}
		select {
		case <-changed: // also checked when the timer fired first
			changed = s.bus.Changed()
			membersChanged = true
		default:
		}
	}
}

// readMachines reads changes of the machine list. The list lags and can be
// unavailable; the last known list stays in use until it responds again.
func (s *Service) readMachines(ctx context.Context) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.PollTimeout)
	defer cancel()
	reading, err := s.machines.Machines(ctx, s.version)
	if err != nil {
		return false, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if reading.Version == s.version {
		return false, nil
	}
	s.version = reading.Version
	clear(s.machineList)
	for _, machine := range reading.Machines {
		if machine.Kind == backend.MachineEngine {
			s.machineList[machine.EngineID()] = machine
		}
	}
	return true, nil
}

// updateSubset recomputes this node's subset and publishes a snapshot if it changed.
func (s *Service) updateSubset(view membership.View) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	self, known := view.Member(view.Self)
	live := view.Live()
	if known && self.State == membership.Leaving {
		live = append(live, self) // a draining node still resumes its streams
	}
	chooser := subset.NewChooser(live, len(s.machineList))
	next := make(map[identity.EngineID]*Engine)
	s.chooser = chooser
	clear(s.remoteEngines)
	for id, machine := range s.machineList {
		dispatchers := chooser.Dispatchers(id, machine.Zone, machine.Region)
		if len(live) > 0 && !slices.Contains(dispatchers, view.Self) {
			if !machine.Leaving {
				s.remoteEngines[machine.Pool] = append(s.remoteEngines[machine.Pool], id)
			}
			continue
		}
		engine, known := s.engines[id]
		if !known || engine.Machine().Address != machine.Address {
			engine = s.newEngine(machine, self)
		}
		if machine.Leaving && !engine.Machine().Leaving {
			events.EngineLeaving.Log(s.logger, zap.String("engine", machine.ID), zap.String("source", "machine list"))
		}
		engine.machine.Store(&machine)
		engine.dispatchers.Store(&dispatchers)
		next[id] = engine
	}
	s.publish(next)
}

// newEngine creates the handle of an engine that is new to the subset or has a
// new address.
func (s *Service) newEngine(machine backend.Machine, self membership.Member) *Engine {
	engine := &Engine{ID: machine.EngineID(), Client: s.clients.Engine(machine), slot: s.takeSlot()}
	switch {
	case machine.Zone == self.Zone:
		engine.distance = routing.SameZone
	case machine.Region == self.Region:
		engine.distance = routing.SameRegion
	default:
		engine.distance = routing.OtherRegion
	}
	engine.machine.Store(&machine)
	events.EngineAdded.Log(s.logger, zap.String("engine", machine.ID), zap.String("pool", machine.Pool), zap.String("zone", machine.Zone))
	return engine
}

// publish replaces the subset and the snapshot if the subset changed.
func (s *Service) publish(next map[identity.EngineID]*Engine) {
	if maps.Equal(next, s.engines) {
		return
	}
	for id, engine := range s.engines {
		if next[id] != engine {
			s.freeSlot(engine.slot)
			events.EngineRemoved.Log(s.logger, zap.String("engine", string(id)))
		}
	}
	s.engines = next
	assignOrder(next)
	snapshot := &Snapshot{pools: make(map[string][]*Engine), byID: next}
	for _, engine := range next {
		pool := engine.Machine().Pool
		snapshot.pools[pool] = append(snapshot.pools[pool], engine)
	}
	s.snapshot.Store(snapshot)
	s.advancePolls(next)
	s.metrics.engines.Set(float64(len(next)))
	s.Notify()
}

// advancePolls reschedules polls that were planned for a larger subset. A node
// that starts knows only itself, so its subset holds all engines of the list.
func (s *Service) advancePolls(engines map[identity.EngineID]*Engine) {
	now := time.Now()
	for _, engine := range engines {
		engine.advancePoll(now.Add(s.pollInterval(engine)))
	}
}

// assignOrder sets each engine's position in its pool, in the order that all
// nodes share.
func assignOrder(engines map[identity.EngineID]*Engine) {
	ordered := slices.SortedFunc(maps.Values(engines), func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))), cmp.Compare(a.ID, b.ID))
	})
	places := make(map[string]int32)
	for _, engine := range ordered {
		pool := engine.Machine().Pool
		engine.order.Store(places[pool])
		places[pool]++
	}
}

func (s *Service) takeSlot() int {
	for slot, taken := range s.slots {
		if !taken {
			s.slots[slot] = true
			return slot
		}
	}
	return -1
}

func (s *Service) freeSlot(slot int) {
	if slot < 0 {
		return
	}
	s.slots[slot] = false
	s.prefixMutex.Lock()
	s.prefixes.Reset(slot)
	s.prefixMutex.Unlock()
}

// transition runs one transition of an engine's health machine and logs a change
// of state.
func (s *Service) transition(engine *Engine, cause string, step func(*health.Machine) health.State) {
	before, after := engine.applyTransition(step)
	if before == after {
		return
	}
	name := zap.String("engine", string(engine.ID))
	switch after {
	case health.Ejected:
		s.metrics.ejections.Inc()
		events.EngineEjected.Log(s.logger, name, zap.String("cause", cause))
	case health.Probing:
		events.EngineProbing.Log(s.logger, name)
	case health.Healthy:
		events.EngineBack.Log(s.logger, name)
	}
	s.Notify()
}

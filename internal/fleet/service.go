// Package fleet is this node's picture of the engines: which there are, which
// of them this node dispatches to, how loaded they are, what their prefix caches
// hold, and which do not answer. It sends no requests of callers.
//
// It holds no lease: while nodes disagree on the member list, an engine has a
// dispatcher more or fewer for a moment, and its load is estimated less well.
//
// Lock order: Service.mutex before Engine.mutex; Service.prefixMutex is taken
// alone. Reading a Snapshot takes no lock.
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

// Snapshot is the engines that this node dispatches to. It never changes; the
// engines' own state does.
type Snapshot struct {
	pools map[string][]*Engine
	byID  map[identity.EngineID]*Engine
}

// Pool gives a pool's engines; the caller must not change the slice.
func (s *Snapshot) Pool(name string) []*Engine { return s.pools[name] }

// Engines gives all engines of the subset by id; the caller must not change it.
func (s *Snapshot) Engines() map[identity.EngineID]*Engine { return s.byID }

// Service keeps the picture up to date.
type Service struct {
	config   Config
	machines backend.MachineList
	clients  backend.Engines
	bus      peer.Bus
	logger   *zap.Logger
	metrics  *metrics

	snapshot atomic.Pointer[Snapshot]
	changed  chan struct{} // signalled, at most once pending, when capacity may have changed

	mutex   sync.Mutex
	version uint64
	list    map[identity.EngineID]backend.Machine
	engines map[identity.EngineID]*Engine // the subset
	slots   [routing.MaxSlots]bool
	chooser *subset.Chooser
	// elsewhere is the engines of each pool that only other nodes dispatch to.
	elsewhere map[string][]identity.EngineID
	due       chan *Engine

	prefixMutex sync.RWMutex
	prefixes    *routing.PrefixIndex
}

// New makes a service; it does nothing before Run.
func New(config Config, machines backend.MachineList, engines backend.Engines, bus peer.Bus, logger *zap.Logger, registerer prometheus.Registerer) *Service {
	service := &Service{
		config: config, machines: machines, clients: engines, bus: bus, logger: logger,
		metrics: newMetrics(registerer),
		changed: make(chan struct{}, 1),
		list:    make(map[identity.EngineID]backend.Machine),
		engines: make(map[identity.EngineID]*Engine),

		elsewhere: make(map[string][]identity.EngineID),
		due:       make(chan *Engine),
		prefixes:  routing.NewPrefixIndex(config.PrefixIndexSize),
	}
	service.snapshot.Store(&Snapshot{})
	return service
}

// Snapshot is the present picture; it is cheap and never blocks.
func (s *Service) Snapshot() *Snapshot { return s.snapshot.Load() }

// Changed signals that engines came, went, reported or freed capacity. It has
// one reader.
func (s *Service) Changed() <-chan struct{} { return s.changed }

// Notify signals Changed.
func (s *Service) Notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Client opens any engine of the machine list, also one outside the subset;
// false when the list does not have it.
func (s *Service) Client(id identity.EngineID) (backend.Engine, bool) {
	if engine, ok := s.Snapshot().byID[id]; ok {
		return engine.Client, true
	}
	s.mutex.Lock()
	machine, ok := s.list[id]
	s.mutex.Unlock()
	if !ok {
		return nil, false
	}
	return s.clients.Engine(machine), true
}

// Elsewhere gives a node that dispatches to an engine of the pool outside this
// node's subset, drawn at random; false when there is none. Every node computes
// it from the machine list and the member list, so that no message is needed.
func (s *Service) Elsewhere(pool string, random routing.Random) (identity.NodeID, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	others := s.elsewhere[pool]
	if len(others) == 0 {
		return "", false
	}
	machine := s.list[others[random.Uint64()%uint64(len(others))]]
	nodes := s.chooser.Dispatchers(machine.EngineID(), machine.Zone, machine.Region)
	if len(nodes) == 0 {
		return "", false
	}
	return nodes[random.Uint64()%uint64(len(nodes))], true
}

// Run watches the fleet until the context ends.
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

// watchMachines reads the machine list at its pace and recomputes the subset
// when the list or the members change.
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
			s.choose(s.bus.View())
		}
		membersChanged = false
		pause.Reset(s.config.MachineListInterval) // a slow list is not asked for again at once
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		case <-changed:
		}
		select {
		case <-changed: // also when the pause was over first
			changed = s.bus.Changed()
			membersChanged = true
		default:
		}
	}
}

// readMachines takes the list's changes. The list lags and can be down: what
// was known stays in force until it answers again.
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
	clear(s.list)
	for _, machine := range reading.Machines {
		if machine.Kind == backend.MachineEngine {
			s.list[machine.EngineID()] = machine
		}
	}
	return true, nil
}

// choose recomputes this node's subset and publishes a snapshot when it changed.
func (s *Service) choose(view membership.View) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	self, known := view.Member(view.Self)
	live := view.Live()
	if known && self.State == membership.Leaving {
		live = append(live, self) // a draining node still resumes its streams
	}
	chooser := subset.NewChooser(live, len(s.list))
	next := make(map[identity.EngineID]*Engine)
	s.chooser = chooser
	clear(s.elsewhere)
	for id, machine := range s.list {
		dispatchers := chooser.Dispatchers(id, machine.Zone, machine.Region)
		if len(live) > 0 && !slices.Contains(dispatchers, view.Self) {
			if !machine.Leaving {
				s.elsewhere[machine.Pool] = append(s.elsewhere[machine.Pool], id)
			}
			continue
		}
		engine, known := s.engines[id]
		if !known || engine.Machine().Address != machine.Address {
			engine = s.open(machine, self)
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

// open makes the handle of an engine that is new to the subset.
func (s *Service) open(machine backend.Machine, self membership.Member) *Engine {
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

// publish replaces the subset when it changed.
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
	number(next)
	snapshot := &Snapshot{pools: make(map[string][]*Engine), byID: next}
	for _, engine := range next {
		pool := engine.Machine().Pool
		snapshot.pools[pool] = append(snapshot.pools[pool], engine)
	}
	s.snapshot.Store(snapshot)
	s.planPolls(next)
	s.metrics.engines.Set(float64(len(next)))
	s.Notify()
}

// planPolls brings forward what was planned for a larger subset: a node that
// starts knows only itself and has all engines of the list in its subset.
func (s *Service) planPolls(engines map[identity.EngineID]*Engine) {
	now := time.Now()
	for _, engine := range engines {
		engine.pollBy(now.Add(s.interval(engine)))
	}
}

// number gives the engines their places in the order that all nodes share.
func number(engines map[identity.EngineID]*Engine) {
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

// transition runs one step of an engine's health and logs what changed.
func (s *Service) transition(engine *Engine, cause string, step func(*health.Machine) health.State) {
	before, after := engine.step(step)
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

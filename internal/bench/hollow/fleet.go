package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ringstream.example/ringstream/internal/backend/backendtest"
	"ringstream.example/ringstream/internal/core/identity"
	enginefleet "ringstream.example/ringstream/internal/fleet"
	"ringstream.example/ringstream/internal/limits"
	"ringstream.example/ringstream/internal/peer"
	"ringstream.example/ringstream/internal/peer/memnet"
	"ringstream.example/ringstream/internal/rows"
	"ringstream.example/ringstream/internal/store"
)

const (
	seedCount   = 3
	sameZone    = 250 * time.Microsecond
	sameRegion  = time.Millisecond
	otherRegion = 30 * time.Millisecond
)

func zoneName(zone int) string { return fmt.Sprintf("zone-%02d", zone) }

// regionIndex spreads the zones over the regions evenly.
func regionIndex(zone int, options Options) int { return zone * options.Regions / options.Zones }

func regionName(zone int, options Options) string {
	return fmt.Sprintf("region-%d", regionIndex(zone, options))
}

// place is a machine on which one node after another runs.
type place struct {
	index        int
	address      string
	zone, region int
	node         *node // nil: down
}

// node is one hollow node.
type node struct {
	id      identity.NodeID
	place   *place
	bus     *peer.Node
	rows    *rows.Service
	limits  *limits.Service
	started time.Time
	cancel  context.CancelFunc
	running sync.WaitGroup
	stopped atomic.Bool
}

// fleet is all hollow nodes and what they run before.
type fleet struct {
	options  Options
	network  *memnet.Network
	table    *backendtest.Table
	engines  *engines
	observer *observer
	seeds    []string
	cutOff   atomic.Int64 // the region that is cut off; -1: none

	mu      sync.Mutex
	places  []*place
	byName  map[string]*place // by address, for the network
	started int
	past    traffic // of nodes that have stopped
	random  *rand.Rand
}

func newFleet(options Options) (*fleet, error) {
	f := &fleet{
		options: options, network: memnet.New(), table: backendtest.NewTable(),
		engines: newEngines(options), observer: newObserver(),
		byName: map[string]*place{}, past: traffic{}, random: rand.New(rand.NewPCG(options.Seed, 1)), //nolint:gosec // a seeded run
	}
	f.cutOff.Store(-1)
	for i := range options.Nodes {
		zone := i % options.Zones
		address := fmt.Sprintf("10.%d.%d.%d:7000", zone, i/256, i%256)
		if options.TCP {
			var err error
			if address, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		added := &place{index: i, address: address, zone: zone, region: regionIndex(zone, options)}
		f.places = append(f.places, added)
		f.byName[address] = added
		if i < seedCount {
			f.seeds = append(f.seeds, address)
		}
	}
	f.network.Delay = f.delay
	f.network.Cut = f.cut
	return f, nil
}

// freeAddress finds a loopback port that is free now.
func freeAddress() (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

func (f *fleet) delay(from, to string) time.Duration {
	a, b := f.byName[from], f.byName[to]
	switch {
	case a.zone == b.zone:
		return sameZone
	case a.region == b.region:
		return sameRegion
	default:
		return otherRegion
	}
}

func (f *fleet) cut(from, to string) bool {
	region := f.cutOff.Load()
	return region >= 0 && (int64(f.byName[from].region) == region) != (int64(f.byName[to].region) == region)
}

// start runs a new node at a place.
func (f *fleet) start(at *place) error {
	f.mu.Lock()
	f.started++
	id := identity.NodeID(fmt.Sprintf("node-%06d", f.started))
	f.mu.Unlock()
	config := peer.DefaultConfig()
	config.ListenAddress, config.Seeds = at.address, f.seeds
	self := peer.Identity{ID: id, Zone: zoneName(at.zone), Region: regionName(at.zone, f.options), GatewayAddress: at.address}
	logger := f.observer.logger(id)
	var network peer.Network = peer.TCP{}
	if !f.options.TCP {
		network = f.network.Host(at.address)
	}
	bus, err := peer.New(config, self, nil, logger, nil, peer.WithNetwork(network))
	if err != nil {
		return err
	}
	added := &node{id: id, place: at, bus: bus, started: time.Now()}
	added.rows = rows.New(rows.DefaultConfig(), store.New(f.table), bus, logger, nil)
	added.limits = limits.New(limits.DefaultConfig(), bus, added.rows, logger, nil)
	ctx, cancel := context.WithCancel(context.Background())
	added.cancel = cancel
	components := []func(context.Context) error{bus.Run, added.rows.Run, added.limits.Run}
	if f.options.EnginePicture {
		picture := enginefleet.New(enginefleet.DefaultConfig(), f.engines, f.engines, bus, logger, nil)
		components = append(components, picture.Run)
	}
	for _, run := range components {
		added.running.Go(func() {
			if err := run(ctx); err != nil {
				f.options.progress("%s: %v", id, err)
			}
		})
	}
	f.mu.Lock()
	at.node = added
	f.mu.Unlock()
	return nil
}

// live gives the nodes that run.
func (f *fleet) live() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var nodes []*node
	for _, at := range f.places {
		if at.node != nil {
			nodes = append(nodes, at.node)
		}
	}
	return nodes
}

func ids(nodes []*node) []identity.NodeID {
	all := make([]identity.NodeID, len(nodes))
	for i, node := range nodes {
		all[i] = node.id
	}
	return all
}

// take removes the node of a place from those that run.
func (f *fleet) take(at *place) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := at.node
	at.node = nil
	if taken != nil {
		taken.stopped.Store(true)
	}
	return taken
}

// kill loses a node without a word, as its machine's failure does.
func (f *fleet) kill(at *place) {
	victim := f.take(at)
	if victim == nil {
		return
	}
	f.observer.died(victim.id, ids(f.live()))
	f.network.Kill(at.address)
	f.end(victim)
}

// restart stops a node as planned and starts another in its place.
func (f *fleet) restart(at *place) {
	leaving := f.take(at)
	if leaving == nil {
		return
	}
	f.observer.gone(leaving.id)
	leaving.bus.Leave()
	time.Sleep(200 * time.Millisecond)
	f.end(leaving)
	if err := f.start(at); err != nil {
		f.options.progress("restart: %v", err)
	}
}

// end stops a node's goroutines and keeps its traffic for the counts.
func (f *fleet) end(n *node) {
	n.cancel()
	n.running.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.past.add(n.bus.Traffic())
}

// stopAll ends the run. The network goes first: the farewells of a whole fleet
// at once would cost more than the run.
func (f *fleet) stopAll() {
	var running sync.WaitGroup
	nodes := f.live()
	for _, n := range nodes {
		f.network.Kill(n.place.address)
	}
	for _, n := range nodes {
		running.Go(func() { n.cancel(); n.running.Wait() })
	}
	running.Wait()
}

package emulator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/httpclient"
	"ringstream.example/ringstream/internal/emulator/netsim"
)

// Pool is a set of engines that serve the same models.
type Pool struct {
	Name    string
	Engines int
	Models  []backend.LoadedModel
	// Capacities are assigned to the engines in turn; empty means 1 for all.
	Capacities []float64
}

// FleetConfig configures the stand-ins of a fleet.
type FleetConfig struct {
	Region string
	Zones  []string // engines are assigned to the zones in turn
	Pools  []Pool
	Engine EngineConfig // settings of each engine; ID, Capacity, Seed and Models are set per engine
	Seed   uint64

	TableRate, ObjectsRate float64 // calls per second; zero means no limit
	WeightsBudget          int64   // bytes per second
	Artifacts              []backend.Artifact
	MachinesLag            time.Duration
	SiteTokenInterval      time.Duration // time per token at the other site

	// Network is the network to run on; nil means loopback sockets. Each stand-in
	// is a separate host, with addresses from FirstHost on.
	Network *netsim.Network
	// Wrap, when set, may replace the handler of each stand-in.
	Wrap Wrapper
	// BasePort is the port of the first loopback listener, and the others follow
	// it; zero means any free ports.
	BasePort int
}

// DefaultFleetConfig returns the fleet of the first user: one pool of 12 engines
// in three zones.
func DefaultFleetConfig() FleetConfig {
	const gigabyte = 1 << 30
	models := []backend.LoadedModel{{Model: "fleetlink-llm", Version: "1"}}
	return FleetConfig{
		Region: "ie-west", Zones: []string{"galway-hall", "athlone-hall", "limerick-hall"},
		Pools:  []Pool{{Name: "fleetlink", Engines: 12, Models: models}},
		Engine: DefaultEngineConfig(), Seed: 1,
		TableRate: 500, ObjectsRate: 1000, WeightsBudget: 4 * gigabyte, MachinesLag: 2 * time.Second,
		Artifacts: []backend.Artifact{
			{Model: "fleetlink-llm", Version: "1", Bytes: 8 * gigabyte},
			{Model: "fleetlink-llm", Version: "2", Bytes: 8 * gigabyte},
			{Model: "fleetlink-llm", Version: "1", Adapter: "alerts", Bytes: gigabyte / 8},
		},
		SiteTokenInterval: 5 * time.Millisecond,
	}
}

// Wrapper returns the handler to serve in place of a stand-in's own. The name is
// one of those that Kill accepts.
type Wrapper func(name string, handler http.Handler) http.Handler

// Fleet is a running set of stand-ins.
type Fleet struct {
	Engines  []*Engine
	Table    *Table
	Objects  *Objects
	Weights  *Weights
	Machines *Machines
	Site     *Site

	config FleetConfig
	cancel context.CancelFunc
	ctx    context.Context
	tasks  sync.WaitGroup

	mu    sync.Mutex
	hosts map[string]*fleetHost // by stand-in name: "table", an engine's ID
}

// fleetHost is the host of one stand-in, with its listener and server.
type fleetHost struct {
	address string
	host    netip.Addr // set on a netsim.Network only
	handler http.Handler
	engine  *Engine
	server  *http.Server
	stop    context.CancelFunc
	stopped chan struct{} // closed when the engine's Run has returned
}

// StartFleet starts all stand-ins. Close stops them.
func StartFleet(config FleetConfig) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{config: config, ctx: ctx, cancel: cancel, hosts: map[string]*fleetHost{}}
	f.Table = NewTable(config.Seed, config.TableRate)
	f.Objects = NewObjects(config.Seed, config.ObjectsRate)
	f.Weights = NewWeights(config.Seed, max(1, config.WeightsBudget), config.Artifacts)
	f.Site = NewSite(config.Seed, config.SiteTokenInterval)
	if err := f.startEngines(); err != nil {
		f.Close()
		return nil, err
	}
	systems := []struct {
		name    string
		handler http.Handler
	}{
		{"table", f.Table.Handler()},
		{"objects", f.Objects.Handler()},
		{"weights", f.Weights.Handler()},
		{"machines", f.Machines.Handler()},
		{"site", f.Site.Handler()},
	}
	for _, system := range systems {
		if err := f.start(system.name, &fleetHost{handler: system.handler}); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// startEngines starts the engines and creates the machine list with them.
func (f *Fleet) startEngines() error {
	var list []backend.Machine
	for _, pool := range f.config.Pools {
		for i := range pool.Engines {
			machine := f.machine(pool, i, len(list))
			engine := NewEngine(f.engineConfig(pool, machine, len(list)), f.Weights)
			f.Engines = append(f.Engines, engine)
			host := &fleetHost{handler: engine.Handler(), engine: engine}
			if err := f.start(engine.ID(), host); err != nil {
				return err
			}
			machine.Address = host.address
			list = append(list, machine)
		}
	}
	f.Machines = NewMachines(f.config.Seed, f.config.MachinesLag, list)
	return nil
}

func (f *Fleet) machine(pool Pool, index, total int) backend.Machine {
	machine := backend.Machine{
		ID: fmt.Sprintf("%s-%03d", pool.Name, index), Kind: backend.MachineEngine,
		Region: f.config.Region, Pool: pool.Name, Capacity: 1,
	}
	if zones := f.config.Zones; len(zones) > 0 {
		machine.Zone = zones[total%len(zones)]
	}
	if len(pool.Capacities) > 0 {
		machine.Capacity = pool.Capacities[index%len(pool.Capacities)]
	}
	return machine
}

func (f *Fleet) engineConfig(pool Pool, machine backend.Machine, total int) EngineConfig {
	config := f.config.Engine
	config.ID = machine.ID
	config.Capacity = machine.Capacity
	config.Seed = f.config.Seed + uint64(total)
	config.Models = pool.Models
	return config
}

// start opens a host's listener, at its previous address if it had one, and runs
// its engine.
func (f *Fleet) start(name string, host *fleetHost) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config.Wrap != nil && f.hosts[name] == nil {
		host.handler = f.config.Wrap(name, host.handler)
	}
	if err := f.listen(host); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if host.engine != nil {
		ctx, stop := context.WithCancel(f.ctx)
		host.stop, host.stopped = stop, make(chan struct{})
		f.tasks.Go(func() {
			defer close(host.stopped)
			_ = host.engine.Run(ctx) // returns only when the context ends
		})
	}
	f.hosts[name] = host
	return nil
}

// listen opens a host's listener and starts its HTTP server.
func (f *Fleet) listen(host *fleetHost) error {
	listener, err := f.openListener(host)
	if err != nil {
		return err
	}
	host.address = listener.Addr().String()
	const headerTimeout = 10 * time.Second
	server := &http.Server{Handler: host.handler, ReadHeaderTimeout: headerTimeout}
	host.server = server
	f.tasks.Go(func() { _ = server.Serve(listener) }) // returns when the server is closed
	return nil
}

// FirstHost is the address of the first stand-in on a netsim.Network; the
// others follow it.
var FirstHost = netip.MustParseAddr("10.200.0.1")

// hostPort is the port of each stand-in on a netsim.Network.
const hostPort = 80

func (f *Fleet) openListener(host *fleetHost) (net.Listener, error) {
	if f.config.Network != nil {
		if host.address == "" {
			host.host = FirstHost
			for range f.hosts {
				host.host = host.host.Next()
			}
			host.address = netip.AddrPortFrom(host.host, hostPort).String()
		}
		f.config.Network.Revive(host.host)
		return f.config.Network.Host(host.host).Listen(host.address)
	}
	address := host.address
	if address == "" {
		port := 0
		if f.config.BasePort > 0 {
			port = f.config.BasePort + len(f.hosts)
		}
		address = net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	}
	return (&net.ListenConfig{}).Listen(f.ctx, "tcp", address)
}

// ErrNoStandIn means that the fleet has no stand-in of that name.
var ErrNoStandIn = errors.New("no such stand-in")

// Kill stops a stand-in as if its machine failed: its connections are cut, and an
// engine loses its state as in a restart. Names are engine IDs, "table",
// "objects", "weights", "machines" and "site". The machine list is not changed.
func (f *Fleet) Kill(name string) error {
	f.mu.Lock()
	host, found := f.hosts[name]
	f.mu.Unlock()
	if !found {
		return fmt.Errorf("%s: %w", name, ErrNoStandIn)
	}
	f.stop(host)
	return nil
}

func (f *Fleet) stop(host *fleetHost) {
	if f.config.Network != nil {
		f.config.Network.Kill(host.host)
	}
	if host.server != nil {
		_ = host.server.Close() // the stand-in is killed, so there is no one to report an error to
	}
	if host.stop != nil {
		host.stop()
		<-host.stopped
	}
}

// Restart starts a killed stand-in again at its previous address. An engine
// restarts empty.
func (f *Fleet) Restart(name string) error {
	f.mu.Lock()
	host, found := f.hosts[name]
	f.mu.Unlock()
	if !found {
		return fmt.Errorf("%s: %w", name, ErrNoStandIn)
	}
	return f.start(name, host)
}

// Leave makes an engine leave: it refuses new requests, and the machine list
// shows it as leaving after the list's lag.
func (f *Fleet) Leave(id string) error {
	engine, found := f.Engine(id)
	if !found {
		return fmt.Errorf("%s: %w", id, ErrNoStandIn)
	}
	engine.SetLeaving(true)
	f.Machines.SetLeaving(id, true)
	return nil
}

// Engine returns an engine by its ID.
func (f *Fleet) Engine(id string) (*Engine, bool) {
	for _, engine := range f.Engines {
		if engine.ID() == id {
			return engine, true
		}
	}
	return nil, false
}

// URL returns a stand-in's base URL, or an empty string if there is no stand-in of that name.
func (f *Fleet) URL(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if host, found := f.hosts[name]; found {
		return "http://" + host.address
	}
	return ""
}

// PlatformConfig returns the client settings of a node that uses this fleet. They
// include the other site only if withSite is true.
func (f *Fleet) PlatformConfig(withSite bool) httpclient.Config {
	config := httpclient.DefaultConfig()
	config.TableURL = f.URL("table")
	config.ObjectsURL = f.URL("objects")
	config.WeightsURL = f.URL("weights")
	config.MachinesURL = f.URL("machines")
	if withSite {
		config.OtherSiteURL = f.URL("site")
	}
	return config
}

// Host returns a stand-in's address on a netsim.Network.
func (f *Fleet) Host(name string) netip.Addr {
	f.mu.Lock()
	defer f.mu.Unlock()
	if host, found := f.hosts[name]; found {
		return host.host
	}
	return netip.Addr{}
}

// ClientHost is the address that Clients dials from on a netsim.Network.
var ClientHost = netip.MustParseAddr("10.201.0.1")

// Clients returns a set of clients for the fleet's stand-ins.
func (f *Fleet) Clients(withSite bool) (*httpclient.Clients, error) {
	if f.config.Network == nil {
		return httpclient.New(f.PlatformConfig(withSite))
	}
	return httpclient.NewWithDial(f.PlatformConfig(withSite), f.config.Network.Host(ClientHost).DialContext)
}

// Ledger returns the ledger entries of all engines.
func (f *Fleet) Ledger() []LedgerEntry {
	var entries []LedgerEntry
	for _, engine := range f.Engines {
		entries = append(entries, engine.Ledger()...)
	}
	return entries
}

// Close stops all stand-ins and waits for them.
func (f *Fleet) Close() {
	f.mu.Lock()
	hosts := make([]*fleetHost, 0, len(f.hosts))
	for _, host := range f.hosts {
		hosts = append(hosts, host)
	}
	f.mu.Unlock()
	f.cancel()
	for _, host := range hosts {
		f.stop(host)
	}
	f.tasks.Wait()
	if f.config.Network != nil {
		time.Sleep(lingerTime)
	}
}

// lingerTime covers the time for which net/http keeps goroutines for connections
// that it has closed. Tests in virtual time must not end before these goroutines.
const lingerTime = time.Second

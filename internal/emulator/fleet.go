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
	// Capacities are given to the engines in turn; empty: all 1.
	Capacities []float64
}

// FleetConfig says which stand-ins to start.
type FleetConfig struct {
	Region string
	Zones  []string // engines are put in them in turn
	Pools  []Pool
	Engine EngineConfig // of each engine; ID, Capacity, Seed and Models are set per engine
	Seed   uint64

	TableRate, ObjectsRate float64 // calls a second; zero: no bound
	WeightsBudget          int64   // bytes a second
	Artifacts              []backend.Artifact
	MachinesLag            time.Duration
	SiteStep               time.Duration // a token of the other site

	// Network to run on; nil: loopback sockets. Each stand-in is a host of its
	// own, from FirstHost on.
	Network *netsim.Network
	// Wrap, when set, may put a handler of its own before each stand-in's.
	Wrap Wrapper
	// BasePort numbers the loopback listeners from there on; zero: any free ports.
	BasePort int
}

// DefaultFleetConfig is the fleet of the first user: one pool of 12 engines in
// three zones.
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
		SiteStep: 5 * time.Millisecond,
	}
}

// Wrapper gives the handler to serve in place of a stand-in's own; name is as
// for Kill.
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
	hosts map[string]*fleetHost // by name: "table", an engine's ID
}

// fleetHost is where one stand-in listens.
type fleetHost struct {
	address string
	host    netip.Addr // on a netsim.Network only
	handler http.Handler
	engine  *Engine
	server  *http.Server
	stop    context.CancelFunc
	stopped chan struct{} // closed when the engine's Run has returned
}

// StartFleet starts all stand-ins. Close ends them.
func StartFleet(config FleetConfig) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{config: config, ctx: ctx, cancel: cancel, hosts: map[string]*fleetHost{}}
	f.Table = NewTable(config.Seed, config.TableRate)
	f.Objects = NewObjects(config.Seed, config.ObjectsRate)
	f.Weights = NewWeights(config.Seed, max(1, config.WeightsBudget), config.Artifacts)
	f.Site = NewSite(config.Seed, config.SiteStep)
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

// startEngines starts the engines and puts them on the machine list.
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

// start opens a host's listener, at its old address when it had one.
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
			_ = host.engine.Run(ctx) // ends with the context only
		})
	}
	f.hosts[name] = host
	return nil
}

// listen opens a host's listener and serves it.
func (f *Fleet) listen(host *fleetHost) error {
	listener, err := f.openListener(host)
	if err != nil {
		return err
	}
	host.address = listener.Addr().String()
	const headerTimeout = 10 * time.Second
	server := &http.Server{Handler: host.handler, ReadHeaderTimeout: headerTimeout}
	host.server = server
	f.tasks.Go(func() { _ = server.Serve(listener) }) // ends when the server is closed
	return nil
}

// FirstHost is the address of the first stand-in on a netsim.Network; the
// others follow it.
var FirstHost = netip.MustParseAddr("10.200.0.1")

// hostPort is where stand-ins listen on a netsim.Network.
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

// ErrNoHost says that the fleet has no stand-in of that name.
var ErrNoHost = errors.New("no such stand-in")

// Kill takes a stand-in's machine away: its connections are cut, and an engine
// loses all that it holds. Names are engine IDs, "table", "objects", "weights",
// "machines" and "site". The machine list is left as it is.
func (f *Fleet) Kill(name string) error {
	f.mu.Lock()
	host, found := f.hosts[name]
	f.mu.Unlock()
	if !found {
		return fmt.Errorf("%s: %w", name, ErrNoHost)
	}
	f.stop(host)
	return nil
}

func (f *Fleet) stop(host *fleetHost) {
	if f.config.Network != nil {
		f.config.Network.Kill(host.host)
	}
	if host.server != nil {
		_ = host.server.Close() // the machine is gone; there is no one to tell
	}
	if host.stop != nil {
		host.stop()
		<-host.stopped
	}
}

// Restart brings a killed stand-in back, empty where it is an engine, at its
// old address.
func (f *Fleet) Restart(name string) error {
	f.mu.Lock()
	host, found := f.hosts[name]
	f.mu.Unlock()
	if !found {
		return fmt.Errorf("%s: %w", name, ErrNoHost)
	}
	return f.start(name, host)
}

// Leave makes an engine leave: it takes no new work, and the machine list says
// so after its lag.
func (f *Fleet) Leave(id string) error {
	engine, found := f.Engine(id)
	if !found {
		return fmt.Errorf("%s: %w", id, ErrNoHost)
	}
	engine.Leave(true)
	f.Machines.Leave(id, true)
	return nil
}

// Engine finds an engine.
func (f *Fleet) Engine(id string) (*Engine, bool) {
	for _, engine := range f.Engines {
		if engine.ID() == id {
			return engine, true
		}
	}
	return nil, false
}

// URL gives a stand-in's base URL.
func (f *Fleet) URL(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if host, found := f.hosts[name]; found {
		return "http://" + host.address
	}
	return ""
}

// PlatformConfig gives the settings of a node that uses this fleet; without
// the other site unless asked.
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

// Host is a stand-in's address on a netsim.Network.
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

// Clients makes one set of adapters to the fleet.
func (f *Fleet) Clients(withSite bool) (*httpclient.Clients, error) {
	if f.config.Network == nil {
		return httpclient.New(f.PlatformConfig(withSite))
	}
	return httpclient.NewWithDial(f.PlatformConfig(withSite), f.config.Network.Host(ClientHost).DialContext)
}

// Ledger joins the ledgers of all engines.
func (f *Fleet) Ledger() []LedgerEntry {
	var entries []LedgerEntry
	for _, engine := range f.Engines {
		entries = append(entries, engine.Ledger()...)
	}
	return entries
}

// Close ends all stand-ins and waits for them.
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

// lingerTime is how long net/http keeps goroutines for connections that it has
// closed; tests in virtual time must outlive them.
const lingerTime = time.Second

package faults

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/adminclient"
	"ringstream.example/ringstream/internal/auth"
	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/emulator"
	"ringstream.example/ringstream/internal/emulator/netsim"
	"ringstream.example/ringstream/internal/node"
	"ringstream.example/ringstream/internal/settings"
	"ringstream.example/ringstream/internal/wait"
)

// The world of a cell: one pool, three zones with a node and two engines each.
const (
	model        = "fleetlink-llm"
	pool         = "fleetlink"
	region       = "ie-west"
	enginesInAll = 6
	places       = 6 // sequences that an engine runs at once
	shards       = 8
	machinesLag  = 2 * time.Second
	operatorKey  = "operator-key"
	rowOnline    = "online"
	rowBatch     = "batch"
)

var zones = []string{"galway-hall", "athlone-hall", "limerick-hall"}

var tenants = []string{"alerts", "digests"}

// The ports of a node's host.
const (
	portGateway = 8080
	portAdmin   = 7070
	portPeer    = 7946
)

// callersHost is where callers and operators dial from.
var callersHost = netip.MustParseAddr("10.250.0.1")

// fleet is a running fleet on a simulated network.
type fleet struct {
	platform *emulator.Fleet
	network  *netsim.Network
	logger   *zap.Logger
	members  []*member
}

// member is the place of one node; its host stays the same over restarts.
type member struct {
	host   netip.Addr
	starts int

	mutex   sync.Mutex
	running *node.Node // nil: down
	stop    context.CancelFunc
	ended   chan struct{} // closed when Run has returned
	err     error         // of Run, once ended is closed
}

func (m *member) address(port uint16) string { return netip.AddrPortFrom(m.host, port).String() }

// latency: one millisecond between machines, three to callers, as at the users.
func latency(from, to netip.Addr) time.Duration {
	if from == callersHost || to == callersHost {
		return 3 * time.Millisecond
	}
	return time.Millisecond
}

// startFleet starts stand-ins and nodes and loads the table.
func startFleet(ctx context.Context, seed uint64, wrap emulator.Wrapper, logger *zap.Logger) (*fleet, error) {
	f := &fleet{network: netsim.New(latency), logger: logger}
	config := emulator.DefaultFleetConfig()
	config.Network, config.Seed, config.Wrap = f.network, seed, wrap
	config.Region, config.Zones, config.MachinesLag = region, zones, machinesLag
	config.Engine.MaxRunning = places
	config.Pools = []emulator.Pool{{Name: pool, Engines: enginesInAll, Models: []backend.LoadedModel{{Model: model, Version: "1"}}}}
	var err error
	if f.platform, err = emulator.StartFleet(config); err != nil {
		return nil, err
	}
	first := netip.MustParseAddr("10.100.0.1")
	for range zones {
		f.members = append(f.members, &member{host: first})
		first = first.Next()
	}
	if err := f.begin(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// begin starts the nodes and waits until all are ready with the whole table.
func (f *fleet) begin(ctx context.Context) error {
	for index := range f.members {
		if err := f.startNode(index); err != nil {
			return err
		}
	}
	const readyWait = time.Minute
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	operator, err := f.operator(0)
	if err != nil {
		return err
	}
	defer operator.Close()
	err = until(ctx, func() error {
		result, err := operator.ImportRows(ctx, table())
		if err == nil && result.Failed > 0 {
			err = fmt.Errorf("rows refused: %+v", result.Rows)
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("load the table: %w", err)
	}
	for index := range f.members {
		if err := f.awaitReady(ctx, index); err != nil {
			return err
		}
	}
	return nil
}

func table() []policy.Row {
	row := func(id identity.RowID, kind policy.Kind, weight int, class policy.DeadlineClass) policy.Row {
		return policy.Row{
			ID: id, Match: policy.Match{Tenant: policy.Any, Model: policy.Any, Kind: kind},
			Weight: weight, DeadlineClass: class, NewSiteShare: 1, Pool: pool,
		}
	}
	return []policy.Row{
		row(rowOnline, policy.KindOnline, 10, policy.DeadlineInteractive),
		row(rowBatch, policy.KindBatch, 1, policy.DeadlineWindow),
	}
}

// until repeats a call until it succeeds or ctx is done; then it gives the
// call's last error.
func until(ctx context.Context, call func() error) error {
	const pause = 200 * time.Millisecond
	for {
		err := call()
		if err == nil {
			return nil
		}
		if !wait.For(ctx, pause) {
			return errors.Join(ctx.Err(), err)
		}
	}
}

// awaitReady waits until a node answers with the whole table.
func (f *fleet) awaitReady(ctx context.Context, index int) error {
	const readyWait = time.Minute
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	operator, err := f.operator(index)
	if err != nil {
		return err
	}
	defer operator.Close()
	err = until(ctx, func() error {
		list, err := operator.Rows(ctx)
		if err == nil && len(list.Rows) < len(table()) {
			err = fmt.Errorf("shows %d rows", len(list.Rows))
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("node %d is not ready: %w", index, err)
	}
	return nil
}

func (f *fleet) nodeSettings(index int) settings.Settings {
	place := f.members[index]
	made := settings.Default()
	made.Node = settings.Node{ID: fmt.Sprintf("node-%d-%d", index, place.starts), Zone: zones[index], Region: region}
	made.Admin.Address = place.address(portAdmin)
	made.Gateway.HTTP.Address = place.address(portGateway)
	made.Peer.ListenAddress = place.address(portPeer)
	made.Jobs.Shards = shards
	for other, seed := range f.members {
		if other != index {
			made.Peer.Seeds = append(made.Peer.Seeds, seed.address(portPeer))
		}
	}
	made.Platform = f.platform.PlatformConfig(false)
	for _, tenant := range tenants {
		made.Auth.Tenants = append(made.Auth.Tenants, auth.TenantKeys{Tenant: tenant, SHA256: []string{digest(f.Key(tenant))}})
	}
	made.Auth.Operators = []auth.OperatorKey{{Name: "bench", SHA256: []string{digest(operatorKey)}}}
	return made
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// startNode starts a node that is down, under a new name, as a replaced
// machine has.
func (f *fleet) startNode(index int) error {
	place := f.members[index]
	place.mutex.Lock()
	defer place.mutex.Unlock()
	if place.running != nil {
		return fmt.Errorf("node %d is running", index)
	}
	place.starts++
	f.network.Revive(place.host)
	made, err := node.New(f.nodeSettings(index), f.logger, node.WithNetwork(f.network.Host(place.host)))
	if err != nil {
		return fmt.Errorf("node %d: %w", index, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	place.running, place.stop, place.ended = made, stop, ended
	go func() {
		err := made.Run(ctx)
		stop()
		place.mutex.Lock()
		defer place.mutex.Unlock()
		if place.running == made {
			place.running, place.err = nil, err
		}
		close(ended)
	}()
	return nil
}

// stopNode stops a node as planned and returns when it has ended.
func (f *fleet) stopNode(index int) error {
	place := f.members[index]
	stop, ended := place.handles()
	if stop == nil {
		return nil
	}
	stop()
	<-ended
	return place.err
}

// killNode ends a node's process. What is left of it in memory is cut off
// from everything, and told to end.
func (f *fleet) killNode(index int) {
	place := f.members[index]
	stop, _ := place.handles()
	if stop == nil {
		return
	}
	f.network.Kill(place.host)
	stop()
	place.mutex.Lock()
	defer place.mutex.Unlock()
	place.running = nil
}

func (f *fleet) isRunning(index int) bool {
	stop, _ := f.members[index].handles()
	return stop != nil
}

// handles gives what ends a running node; nil when it is down.
func (m *member) handles() (context.CancelFunc, chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running == nil {
		return nil, nil
	}
	return m.stop, m.ended
}

// operator makes a client of a node's admin API.
func (f *fleet) operator(index int) (*adminclient.Client, error) {
	const timeout = 10 * time.Second
	return adminclient.New(adminclient.Options{
		Server: "http://" + f.members[index].address(portAdmin), Key: operatorKey, Timeout: timeout,
		Dial: f.network.Host(callersHost).DialContext,
	})
}

// nodeAt gives the index of the node at a host, or -1.
func (f *fleet) nodeAt(host netip.Addr) int {
	for index, place := range f.members {
		if place.host == host {
			return index
		}
	}
	return -1
}

// Gateway implements client.Directory.
func (f *fleet) Gateway(index int) string { return f.members[index].address(portGateway) }

// Nodes implements client.Directory.
func (f *fleet) Nodes() int { return len(f.members) }

// Key implements client.Directory.
func (f *fleet) Key(tenant string) string { return "key-of-" + tenant }

// close ends everything. Nodes are killed; what is left of them ends with
// their contexts.
func (f *fleet) close() {
	for index := range f.members {
		f.killNode(index)
	}
	f.platform.Close()
}

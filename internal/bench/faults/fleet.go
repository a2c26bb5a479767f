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

// The fleet of a cell has one pool and three zones, with a node and two engines each.
const (
	model          = "fleetlink-llm"
	pool           = "fleetlink"
	region         = "ie-west"
	engineCount    = 6
	slotsPerEngine = 6 // sequences that an engine runs at once
	shards         = 8
	machinesLag    = 2 * time.Second
	operatorKey    = "operator-key"
	rowOnline      = "online"
	rowBatch       = "batch"
)

var zones = []string{"galway-hall", "athlone-hall", "limerick-hall"}

var tenants = []string{"alerts", "digests"}

// Ports of a node.
const (
	portGateway = 8080
	portAdmin   = 7070
	portPeer    = 7946
)

// callersHost is the host from which callers and operators connect.
var callersHost = netip.MustParseAddr("10.250.0.1")

// fleet is a running fleet on a simulated network.
type fleet struct {
	platform *emulator.Fleet
	network  *netsim.Network
	logger   *zap.Logger
	members  []*member
}

// member is one node of the fleet. Its host stays the same across restarts.
type member struct {
	host   netip.Addr
	starts int

	mutex   sync.Mutex
	running *node.Node // nil while the node is down
	stop    context.CancelFunc
	ended   chan struct{} // closed when Run has returned
	err     error         // of Run, once ended is closed
}

func (m *member) address(port uint16) string { return netip.AddrPortFrom(m.host, port).String() }

// latency returns 1 ms between machines and 3 ms to callers, as in the users' network.
func latency(from, to netip.Addr) time.Duration {
	if from == callersHost || to == callersHost {
		return 3 * time.Millisecond
	}
	return time.Millisecond
}

// startFleet starts the stand-ins and nodes and imports the table.
func startFleet(ctx context.Context, seed uint64, wrap emulator.Wrapper, logger *zap.Logger) (*fleet, error) {
	f := &fleet{network: netsim.New(latency), logger: logger}
	config := emulator.DefaultFleetConfig()
	config.Network, config.Seed, config.Wrap = f.network, seed, wrap
	config.Region, config.Zones, config.MachinesLag = region, zones, machinesLag
	config.Engine.MaxRunning = slotsPerEngine
	config.Pools = []emulator.Pool{{Name: pool, Engines: engineCount, Models: []backend.LoadedModel{{Model: model, Version: "1"}}}}
	var err error
	if f.platform, err = emulator.StartFleet(config); err != nil {
		return nil, err
	}
	first := netip.MustParseAddr("10.100.0.1")
	for range zones {
		f.members = append(f.members, &member{host: first})
		first = first.Next()
	}
	if err := f.startNodes(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// startNodes starts the nodes and waits until each of them shows the whole table.
func (f *fleet) startNodes(ctx context.Context) error {
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
	err = retryUntilSuccess(ctx, func() error {
		result, err := operator.ImportRows(ctx, tableRows())
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

func tableRows() []policy.Row {
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

// retryUntilSuccess repeats a call until it succeeds or ctx is done. Then it returns ctx's error
// joined with the last error of the call.
func retryUntilSuccess(ctx context.Context, call func() error) error {
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
	err = retryUntilSuccess(ctx, func() error {
		list, err := operator.Rows(ctx)
		if err == nil && len(list.Rows) < len(tableRows()) {
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
	member := f.members[index]
	made := settings.Default()
	made.Node = settings.Node{ID: fmt.Sprintf("node-%d-%d", index, member.starts), Zone: zones[index], Region: region}
	made.Admin.Address = member.address(portAdmin)
	made.Gateway.HTTP.Address = member.address(portGateway)
	made.Peer.ListenAddress = member.address(portPeer)
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

// startNode starts a node that is down. The node gets a new name, as the node of a replaced machine
// does.
func (f *fleet) startNode(index int) error {
	member := f.members[index]
	member.mutex.Lock()
	defer member.mutex.Unlock()
	if member.running != nil {
		return fmt.Errorf("node %d is running", index)
	}
	member.starts++
	f.network.Revive(member.host)
	made, err := node.New(f.nodeSettings(index), f.logger, node.WithNetwork(f.network.Host(member.host)))
	if err != nil {
		return fmt.Errorf("node %d: %w", index, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	member.running, member.stop, member.ended = made, stop, ended
	go func() {
		err := made.Run(ctx)
		stop()
		member.mutex.Lock()
		defer member.mutex.Unlock()
		if member.running == made {
			member.running, member.err = nil, err
		}
		close(ended)
	}()
	return nil
}

// stopNode performs a planned stop of a node and returns when the node has ended.
func (f *fleet) stopNode(index int) error {
	member := f.members[index]
	stop, ended := member.handles()
	if stop == nil {
		return nil
	}
	stop()
	<-ended
	return member.err
}

// killNode simulates the end of a node's process. It cuts the node off from the network and cancels
// its context.
func (f *fleet) killNode(index int) {
	member := f.members[index]
	stop, _ := member.handles()
	if stop == nil {
		return
	}
	f.network.Kill(member.host)
	stop()
	member.mutex.Lock()
	defer member.mutex.Unlock()
	member.running = nil
}

func (f *fleet) isRunning(index int) bool {
	stop, _ := f.members[index].handles()
	return stop != nil
}

// handles returns the functions and channel that end a running node, or nil if it is down.
func (m *member) handles() (context.CancelFunc, chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running == nil {
		return nil, nil
	}
	return m.stop, m.ended
}

// operator creates a client of a node's admin API.
func (f *fleet) operator(index int) (*adminclient.Client, error) {
	const timeout = 10 * time.Second
	return adminclient.New(adminclient.Options{
		Server: "http://" + f.members[index].address(portAdmin), Key: operatorKey, Timeout: timeout,
		Dial: f.network.Host(callersHost).DialContext,
	})
}

// nodeAt returns the index of the node at a host, or -1.
func (f *fleet) nodeAt(host netip.Addr) int {
	for index, member := range f.members {
		if member.host == host {
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

// close kills all nodes and closes the stand-ins. The goroutines of the nodes end with their
// contexts.
func (f *fleet) close() {
	for index := range f.members {
		f.killNode(index)
	}
	f.platform.Close()
}

package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/auth"
	"ringstream.example/ringstream/internal/node"
	"ringstream.example/ringstream/internal/settings"
)

// member is one node of the fleet. Its addresses stay the same across restarts.
type member struct {
	id, zone             string
	gateway, admin, peer string

	mutex    sync.Mutex
	running  *node.Node // nil while the node is down
	network  *cuttableNetwork
	logLevel zap.AtomicLevel // of the running node's logs
	stop     context.CancelFunc
	ended    chan struct{} // closed when Run has returned
	err      error         // of Run, once ended is closed
	starts   int
}

// assignAddresses assigns a zone and addresses to each node.
func (f *Fleet) assignAddresses() error {
	const addressesPerNode = 3
	addresses, err := freePorts(addressesPerNode * len(f.scenario.Zones))
	if err != nil {
		return err
	}
	for index, zone := range f.scenario.Zones {
		own := addresses[index*addressesPerNode:]
		f.nodes = append(f.nodes, &member{zone: zone, gateway: own[0], admin: own[1], peer: own[2]})
	}
	return nil
}

// nodeSettings returns the settings of a node, as a settings file would contain them.
func (f *Fleet) nodeSettings(index int) settings.Settings {
	member := f.nodes[index]
	made := settings.Default()
	made.Node = settings.Node{ID: member.id, Zone: member.zone, Region: f.scenario.Region}
	made.Admin.Address = member.admin
	made.Gateway.HTTP.Address = member.gateway
	made.Peer.ListenAddress = member.peer
	for other, seed := range f.nodes {
		if other != index {
			made.Peer.Seeds = append(made.Peer.Seeds, seed.peer)
		}
	}
	made.Platform = f.Platform.PlatformConfig(f.sharesWork())
	for _, tenant := range f.scenario.Tenants() {
		made.Auth.Tenants = append(made.Auth.Tenants, auth.TenantKeys{Tenant: tenant, SHA256: []string{digest(f.Key(tenant))}})
	}
	made.Auth.Operators = []auth.OperatorKey{{Name: "bench", SHA256: []string{digest(OperatorKey)}}}
	return made
}

// sharesWork reports whether any row of the scenario leaves work to the other site.
func (f *Fleet) sharesWork() bool {
	for _, row := range f.scenario.Rows {
		if row.NewSiteShare < 1 {
			return true
		}
	}
	return false
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// StartNode starts a node that is down. A restarted node gets a new name, as the node of a replaced
// machine does.
func (f *Fleet) StartNode(index int) error {
	member := f.nodes[index]
	member.mutex.Lock()
	defer member.mutex.Unlock()
	if member.running != nil {
		return fmt.Errorf("node %d is running", index)
	}
	member.starts++
	member.id = fmt.Sprintf("node-%d-%d", index, member.starts)
	member.network, member.logLevel = &cuttableNetwork{peerAddress: member.peer}, zap.NewAtomicLevelAt(f.logger.Level())
	logger := f.logger.With(zap.Int("bench_node", index)).WithOptions(zap.IncreaseLevel(member.logLevel))
	made, err := node.New(f.nodeSettings(index), logger, node.WithNetwork(member.network))
	if err != nil {
		return fmt.Errorf("node %d: %w", index, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended, network := make(chan struct{}), member.network
	member.running, member.stop, member.ended = made, stop, ended
	go func() {
		err := made.Run(ctx)
		member.mutex.Lock()
		defer member.mutex.Unlock()
		if member.network == network {
			member.running, member.err = nil, err
		}
		stop()
		close(ended)
	}()
	return nil
}

// StopNode performs a planned stop of a node, which drains the node. It returns when the node has
// ended.
func (f *Fleet) StopNode(index int) error {
	stop, ended, _ := f.nodes[index].handles()
	if stop == nil {
		return nil
	}
	stop()
	const timeout = 2 * time.Minute
	select {
	case <-ended:
		return f.nodes[index].err
	case <-time.After(timeout):
		return fmt.Errorf("node %d has not stopped in %s", index, timeout)
	}
}

// KillNode closes all sockets of a node at once, without draining it.
func (f *Fleet) KillNode(index int) {
	member := f.nodes[index]
	stop, ended, network := member.handles()
	if stop == nil {
		return
	}
	member.logLevel.SetLevel(zap.FatalLevel) // a lost machine logs nothing
	network.cut()
	stop()
	const timeout = 3 * time.Second
	select {
	case <-ended:
	case <-time.After(timeout):
		// The remaining goroutines of the node can reach nothing, so the node counts as down.
		member.mutex.Lock()
		defer member.mutex.Unlock()
		if member.network == network {
			member.running = nil
		}
	}
}

// handles returns the function, channel and network that end a running node, or nil if it is down.
func (m *member) handles() (context.CancelFunc, chan struct{}, *cuttableNetwork) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running == nil {
		return nil, nil, nil
	}
	return m.stop, m.ended, m.network
}

// PeerBytes returns the number of bytes that the running nodes have exchanged.
func (f *Fleet) PeerBytes() int64 {
	var sum int64
	for _, member := range f.nodes {
		if _, _, network := member.handles(); network != nil {
			sum += network.peerBytes.Load()
		}
	}
	return sum
}

// Running reports whether a node is running.
func (f *Fleet) Running(index int) bool {
	stop, _, _ := f.nodes[index].handles()
	return stop != nil
}

// EngineID returns the id of an engine, counted from 0.
func (f *Fleet) EngineID(index int) string { return f.Platform.Engines[index].ID() }

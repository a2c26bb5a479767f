package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

// Names of the configuration.
const (
	host       = "nony24.example"
	service    = "fleetlink-llm"
	healthPath = "/healthz"
)

// record is the account of a play, which is written to record.txt.
type record struct {
	began time.Time
	mu    sync.Mutex // guards file
	file  *os.File
}

// openRecord creates the account in a folder.
func openRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{began: time.Now(), file: file}, err
}

// add adds a line with the time since the start.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...)) // a line that is lost changes no verdict
}

// Ports of the stand-ins and the nodes. They are outside the range that the kernel takes for outgoing connections, so
// that an engine finds its port free when it starts again.
const (
	firstPort = 12000
	portCount = 16000
)

// freeAddress returns a loopback address that is free for TCP and UDP and that was not returned before.
func freeAddress() (string, error) {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(portOffset+portsTaken)%portCount)
		portsTaken++
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("no port is free")
}

// The first port that is tried, and the number of ports tried so far. Only the start of a play uses them.
var (
	portOffset = rand.IntN(portCount)
	portsTaken int
)

func isFree(address string) bool {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return false
	}
	datagrams, err := config.ListenPacket(context.Background(), "udp", address)
	if err != nil {
		_ = listener.Close() // the port is not used
		return false
	}
	return errors.Join(listener.Close(), datagrams.Close()) == nil
}

// node is one node of the system, whose process the script starts.
type node struct {
	name, zone, front, ready, control, metrics string
}

// newNode reserves the addresses of a node.
func newNode(name, zone string) (*node, error) {
	made := &node{name: name, zone: zone}
	for _, address := range []*string{&made.front, &made.ready, &made.control, &made.metrics} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	return made, nil
}

// The parts of the settings that deploy/node.yaml adds where a deployment has tenants with limits.
const (
	tenantLimits = `  keys:
    strict: false
    confirm_within: 5000ms
  limits:
    window: 5s
    overrun: 0.1
    slack_requests: 20
`
	tenantShares = `    fair_shares: true
    keep_limits: true
`
)

// writeSettings writes the node's settings as deploy/node.yaml gives them.
func (n *node) writeSettings(folder, store string, seeds []string, tenants bool) error {
	quoted, err := json.Marshal(seeds)
	if err != nil {
		return err
	}
	limits, shares := "", ""
	if tenants {
		limits, shares = tenantLimits, tenantShares
	}
	settings := fmt.Sprintf(`node:
  id: %q
  zone: %q
  region: "ie-west"
log:
  level: info
  format: json
  output: stdout
pass_through:
  address: %q
  ready_address: %q
  peer_address: %q
  metrics_address: %s
  store_address: %q
  seeds: %s
  capacity: 0.8
  memory_mb: 314
%s  scheduling:
    refuse_overload: true
    engine_speeds: true
%s`, n.name, n.zone, n.front, n.ready, n.control, n.metrics, store, quoted, limits, shares)
	return os.WriteFile(filepath.Join(folder, n.name+".yaml"), []byte(settings), 0o600)
}

// isReady asks the node whether it accepts clients.
func (n *node) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	return answer.Body.Close() == nil && answer.StatusCode == http.StatusOK
}

// fleet is the platform with its engines, and the nodes of the system.
type fleet struct {
	record  *record
	store   *platformtest.Store
	nodes   []*node
	engines []*engine
}

var zones = []string{"galway-hall", "athlone-hall", "limerick-hall"}

// fleetSize is the size of a fleet, and whether it has tenants.
type fleetSize struct {
	nodes, engines int
	tenants        bool
}

// newFleet starts the store and the engines, and writes the settings of the nodes. The file "nodes" names the nodes
// to the script that starts them.
func newFleet(ctx context.Context, folder string, size fleetSize) (*fleet, error) {
	account, err := openRecord(folder)
	if err != nil {
		return nil, err
	}
	made := &fleet{record: account, store: platformtest.NewStore()}
	endpoint := made.store.Open()
	var names, seeds []string
	for i := range size.nodes {
		next, err := newNode(fmt.Sprintf("front-%d", i+1), zones[i%len(zones)])
		if err != nil {
			return nil, err
		}
		made.nodes, names, seeds = append(made.nodes, next), append(names, next.name), append(seeds, next.control)
	}
	for _, next := range made.nodes {
		if err := next.writeSettings(folder, endpoint.Address(), seeds, size.tenants); err != nil {
			return nil, err
		}
	}
	for i := range size.engines {
		next, err := newEngine(fmt.Sprintf("i-%02d", i+1), zones[i%len(zones)], made.store, account)
		if err != nil {
			return nil, err
		}
		if err := next.start(ctx, "7"); err != nil {
			return nil, err
		}
		made.engines = append(made.engines, next)
	}
	return made, os.WriteFile(filepath.Join(folder, "nodes"), []byte(strings.Join(names, "\n")+"\n"), 0o600)
}

// awaitReady waits until all nodes accept clients.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, next := range f.nodes {
		for !next.isReady(ctx) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready: %w", next.name, ctx.Err())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	f.record.add("all nodes are ready")
	return nil
}

// route is a route of the configuration.
type route map[string]any

// streamRoute returns a route for streams that may be resumed, as in the sheet of the deployment.
func streamRoute(name, host, prefix string) route {
	return route{
		"name": name, "host": host, "path_prefix": prefix, "kind": "streaming", "service": service, "resumable": true,
		"timeout_ms": 5000, "slo_ms": 200, "gap_slo_ms": 250, "max_attempts": 2, "priority": 0,
	}
}

// batchRoute returns a route for batch jobs, as in the sheet of the deployment.
func batchRoute() route {
	return route{
		"name": "fleet-batch", "host": host, "path_prefix": batchPrefix, "kind": "batch", "service": service,
		"timeout_ms": 30000, "slo_ms": 400, "gap_slo_ms": 250, "max_attempts": 3, "priority": 2, "due_ms": 20000, "expiry_s": 60, "max_queued": 1600000,
	}
}

// batchPrefix is the path prefix of the route for batch jobs.
const batchPrefix = "/pule252/"

// configure writes a configuration with the given routes and no tenants.
func (f *fleet) configure(routes ...route) error { return f.configureTenants(nil, routes...) }

// configureTenants writes a configuration with the given tenants and routes.
func (f *fleet) configureTenants(tenants []map[string]any, routes ...route) error {
	document, err := json.Marshal(map[string]any{
		"version": 3, "routes": routes, "tenants": tenants,
		"services": []map[string]any{{"name": service, "health_path": healthPath, "max_conns": 370, "engine": map[string]any{"slots": engineSlots, "kv_capacity_tokens": engineMemory}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 2000000, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
	if err != nil {
		return err
	}
	f.store.Put("op", "", "config", document)
	return nil
}

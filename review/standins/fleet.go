package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

// node is one process of the system. The script that calls this program starts it.
type node struct {
	name, zone                        string
	address, ready, metrics, peerAddr string
}

// run is one request that an engine worked on.
type run struct {
	id           string
	began, ended time.Time // ended is zero while it runs
}

// engine is a stand-in of an engine behind a proxy. Its answers announce how long an idle connection is kept.
type engine struct {
	*platformtest.Engine
	service, zone string
	link          *proxy
	server        *http.Server
	keepAlive     string
	log           *record

	mu   sync.Mutex // guards runs
	runs []*run
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	current := &run{id: request.Header.Get("X-Request-Id"), began: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, current)
	e.mu.Unlock()
	e.log.note("engine %s (%s) begins %s, path %s, Last-Event-Id %q", e.ID, e.service, current.id, request.RequestURI, request.Header.Get("Last-Event-Id"))
	if e.keepAlive != "" {
		to.Header().Set("Keep-Alive", e.keepAlive)
	}
	if tokensOf(request) > memoryTokens { // it rejects what is larger than its memory as if it were full
		to.Header().Set("X-Request-Id", current.id)
		to.Header().Set("X-Not-Executed", "1")
		to.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		current.ended = time.Now()
		e.mu.Unlock()
		e.log.note("engine %s ends %s", e.ID, current.id)
	}()
	e.Engine.ServeHTTP(to, request)
}

// tokensOf returns the tokens of a request's prompt and the most that it generates.
func tokensOf(request *http.Request) int {
	prompt, output, _ := strings.Cut(request.Header.Get("X-Token-Count"), ",")
	first, _ := strconv.Atoi(prompt) // 0 if there are none
	second, _ := strconv.Atoi(output)
	return first + second
}

// crash ends the engine: its connections break, and its address refuses new ones.
func (e *engine) crash() {
	e.link.close()
	_ = e.server.Close()
}

// all returns what the engine has worked on.
func (e *engine) all() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]run, 0, len(e.runs))
	for _, known := range e.runs {
		list = append(list, *known)
	}
	return list
}

// fleet is a small deployment: the platform's store, engines and nodes.
type fleet struct {
	host      string
	folder    string
	log       *record
	store     *platformtest.Store
	endpoint  *platformtest.Endpoint
	storeLink *proxy
	nodes     []*node
	engines   []*engine
	reserved  []net.Listener // of the nodes' addresses, until the nodes start
}

const (
	slotsPerEngine = 8
	memoryTokens   = 108000 // of an engine
	settings       = `node: {id: %q, zone: %q, region: "r1"}
log: {level: info, format: json, output: stdout}
pass_through:
  address: %q
  ready_address: %q
  metrics_address: %q
  peer_address: %q
  store_address: %q
  seeds: [%q]
  capacity: 0.8
  memory_mb: 304
  scheduling: {refuse_overload: true, engine_speeds: true}
`
)

func newFleet(folder string, log *record) (*fleet, error) {
	number := os.Getpid()
	made := &fleet{host: fmt.Sprintf("127.9.%d.%d", 1+number/250%250, 1+number%250), folder: folder, log: log, store: platformtest.NewStore()}
	made.endpoint = made.store.Open()
	made.endpoint.Slow(4 * time.Millisecond) // as the sheets say
	var err error
	made.storeLink, err = newProxy(made.host, made.endpoint.Address())
	return made, err
}

// addEngine starts an engine and writes its entry.
func (f *fleet) addEngine(id, service, zone, announced string, events int, pace time.Duration) error {
	made := &engine{Engine: platformtest.NewEngine(id, events), service: service, zone: zone, keepAlive: announced, log: f.log}
	made.Pace(pace)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(f.host, "0"))
	if err != nil {
		return err
	}
	made.server = &http.Server{Handler: made, ReadHeaderTimeout: time.Minute}
	go func() { _ = made.server.Serve(listener) }()
	if made.link, err = newProxy(f.host, listener.Addr().String()); err != nil {
		return err
	}
	f.engines = append(f.engines, made)
	f.list(made, "ready")
	return nil
}

// list writes an engine's entry.
func (f *fleet) list(listed *engine, state string) {
	f.store.Put("servers", "", listed.ID, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"cold_ms":0,"call_seq":1}`,
		listed.service, listed.link.address(), listed.zone, cmp.Or(listed.Software, "v1"), slotsPerEngine, state))
}

// route is a route of the configuration.
type route struct {
	name, kind, service string
	more                map[string]any
}

// configure writes a configuration as the operator does.
func (f *fleet) configure(version int, routes []route) {
	list := make([]map[string]any, 0, len(routes))
	services := make(map[string]bool)
	for _, known := range routes {
		made := map[string]any{
			"name": known.name, "host": platformtest.Host, "path_prefix": "/" + known.name + "/", "kind": known.kind, "service": known.service,
			"timeout_ms": 4000, "slo_ms": 250, "max_attempts": 2, "gap_slo_ms": 300, "priority": 0,
		}
		for key, value := range known.more {
			made[key] = value
		}
		list = append(list, made)
		services[known.service] = true
	}
	var described []map[string]any
	for name := range services {
		described = append(described, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 210, "engine": map[string]any{"slots": slotsPerEngine, "kv_capacity_tokens": memoryTokens}})
	}
	document, err := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": described,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
	if err != nil {
		panic(err) // cannot happen: the document has only values that JSON can encode
	}
	f.store.Put("op", "", "config", document)
	f.log.note("operator: configuration %d acknowledged", version)
}

// batchRoute returns the route of the batch jobs.
func batchRoute(service string) route {
	return route{"batch", "batch", service, map[string]any{"max_attempts": 3, "due_ms": 20000, "expiry_s": 60, "max_queued": 1600000, "priority": 2}}
}

// startNodes writes the settings of a number of nodes, tells the script to start them, and waits until all are ready.
func (f *fleet) startNodes(ctx context.Context, count, zones int) error {
	for i := range count {
		if err := f.addNode(fmt.Sprintf("n%02d", i), fmt.Sprintf("z%d", i%zones)); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

// addNode chooses a node's addresses and writes its settings.
func (f *fleet) addNode(name, zone string) error {
	made := &node{name: name, zone: zone}
	for _, address := range []*string{&made.address, &made.ready, &made.metrics, &made.peerAddr} {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(f.host, "0"))
		if err != nil {
			return err
		}
		*address = listener.Addr().String()
		f.reserved = append(f.reserved, listener)
	}
	f.nodes = append(f.nodes, made)
	text := fmt.Sprintf(settings, made.name, made.zone, made.address, made.ready, made.metrics, made.peerAddr, f.storeLink.address(), f.nodes[0].peerAddr)
	return os.WriteFile(filepath.Join(f.folder, name+".yaml"), []byte(text), 0o600)
}

// awaitReady tells the script to start the nodes, and waits until all are ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, listener := range f.reserved {
		_ = listener.Close()
	}
	if err := os.WriteFile(filepath.Join(f.folder, "start"), nil, 0o600); err != nil {
		return err
	}
	for _, waited := range f.nodes {
		for !isReady(ctx, waited) {
			if ctx.Err() != nil {
				return fmt.Errorf("node %s is not ready: %w", waited.name, ctx.Err())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.log.note("all nodes are ready")
	return nil
}

func isReady(ctx context.Context, asked *node) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+asked.ready+"/readyz", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// close ends the stand-ins. The script ends the nodes.
func (f *fleet) close() {
	f.storeLink.close()
	f.endpoint.Close()
	for _, known := range f.engines {
		known.link.close()
	}
}

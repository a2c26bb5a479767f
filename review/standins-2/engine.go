package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

// Size and pace of the engines, as in the sheet of the deployment.
const (
	engineSlots = 17
	engineQueue = 48
	eventPause  = 25 * time.Millisecond
	// engineMemory is an engine's memory in tokens.
	engineMemory = 153_000
)

// engine is an engine that keeps its id and its address over its starts.
type engine struct {
	id, zone, address string
	store             *platformtest.Store
	record            *record
	// crashesOn ends the engine if a request crashes it as it begins to run it, and reports whether it did; nil: none
	// does. It is set before the engine serves clients.
	crashesOn func(request *http.Request, body string) bool
	// clockLead is by how much the clock of its machine is ahead when it starts.
	clockLead time.Duration

	mu       sync.Mutex // guards the fields below
	software string
	state    string // in its entry
	born     int64
	running  int
	weights  int // version of the weights
	server   *http.Server
	dark     chan struct{} // closed while the engine says nothing; nil before its first start
}

// newEngine reserves the address of an engine.
func newEngine(id, zone string, store *platformtest.Store, record *record) (*engine, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return &engine{id: id, zone: zone, address: address, store: store, record: record, weights: 1}, nil
}

// start writes the engine's entry and serves once the store has taken it.
func (e *engine) start(ctx context.Context, software string) error {
	e.mu.Lock()
	e.dark = make(chan struct{})
	e.software, e.state, e.born, e.running = software, "ready", time.Now().Add(e.clockLead).UnixMilli(), 0
	born := e.born
	e.mu.Unlock()
	e.store.Put("servers", "", e.id, e.entry())
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", e.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	e.mu.Lock()
	e.server = server
	e.mu.Unlock()
	go server.Serve(listener) //nolint:errcheck // ends with the process
	e.record.add("engine %s serves, software %s, born %d", e.id, software, born)
	return nil
}

// goDark makes the engine say nothing on its connections until it ends.
func (e *engine) goDark() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.dark:
	default:
		close(e.dark)
	}
	e.record.add("engine %s goes dark", e.id)
}

// awaitEnd blocks if the engine is dark, until its connections are cut.
func (e *engine) awaitEnd(request *http.Request) {
	e.mu.Lock()
	dark := e.dark
	e.mu.Unlock()
	select {
	case <-dark:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	default:
	}
}

// end ends the engine's process: its address refuses connections, and those that are open are cut.
func (e *engine) end() {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	e.record.add("engine %s ends", e.id)
	_ = server.Close() // fails only if it is closed already
}

// drain writes to the engine's entry that it leaves. It serves on.
func (e *engine) drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.store.Put("servers", "", e.id, e.entry())
	e.record.add("the store has taken that engine %s is draining", e.id)
}

// entry returns the engine's entry in the store.
func (e *engine) entry() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, err := json.Marshal(map[string]any{
		"service": service, "address": e.address, "zone": e.zone, "version": e.software, "slots": engineSlots,
		"state": e.state, "cold_ms": 0, "call_seq": 0, "born": e.born, "stage": "both", "models": []any{},
	})
	if err != nil {
		panic(err) // cannot happen: the entry holds only plain values
	}
	return entry
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	e.awaitEnd(request)
	e.mu.Lock()
	software, born, running, weights := e.software, e.born, e.running, e.weights
	e.mu.Unlock()
	to.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	to.Header().Set("X-Weight-Versions", strconv.Itoa(weights))
	to.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, engineSlots))
	expected, pinned := request.Header.Get("X-Expect-Instance"), request.Header.Get("X-Expect-Version")
	switch {
	case expected != "" && expected != e.id:
		refuse(to, http.StatusMisdirectedRequest)
	case request.URL.Path == "/report":
		to.Header().Set("X-Instance-Id", e.id)
		_ = json.NewEncoder(to).Encode(map[string]any{ // the caller may have left
			"stage": "both", "models": []any{}, "busy_slots": false, "call_seq": 0, "num_waiting": 0, "num_running": running,
			"kv_used": 0, "kv_total": engineMemory, "handles": 0, "born": born,
		})
	case request.URL.Path == healthPath:
		to.Header().Set("X-Instance-Id", e.id)
	case request.Header.Get("X-Request-Id") == "":
		refuse(to, http.StatusBadRequest)
	case pinned != "" && pinned != strconv.Itoa(weights):
		e.record.add("engine %s, whose weights have version %d, answers 421 to %s, which expects %s", e.id, weights, request.Header.Get("X-Request-Id"), pinned)
		refuse(to, http.StatusMisdirectedRequest)
	case running >= engineSlots+engineQueue:
		refuse(to, http.StatusServiceUnavailable)
	default:
		e.run(to, request, software)
	}
}

// refuse answers that the engine has not run the request.
func refuse(to http.ResponseWriter, status int) {
	to.Header().Set("X-Not-Executed", "1")
	to.WriteHeader(status)
}

// run answers with a stream of one event a token, each of which names the software that wrote it.
func (e *engine) run(to http.ResponseWriter, request *http.Request, software string) {
	e.count(1)
	defer e.count(-1)
	id := request.Header.Get("X-Request-Id")
	_, out, _ := strings.Cut(request.Header.Get("X-Token-Count"), ",")
	events, _ := strconv.Atoi(out)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return // the caller has left
	}
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	e.record.add("engine %s software %s runs %s after event %d", e.id, software, id, last)
	if e.crashesOn != nil && e.crashesOn(request, string(body)) {
		e.awaitEnd(request)
		panic(http.ErrAbortHandler)
	}
	to.Header().Set("X-Response-Seal", "seal-"+e.id+"-"+id)
	to.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(to)
	for event := last + 1; event <= events; event++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(eventPause):
		}
		e.awaitEnd(request)
		if _, err := fmt.Fprintf(to, "id: %d\ndata: %s\n\n", event, software); err != nil || control.Flush() != nil {
			return
		}
	}
}

// setWeights gives the engine weights of another version.
func (e *engine) setWeights(version int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights = version
	e.record.add("engine %s has weights of version %d", e.id, version)
}

// runs returns the number of requests that the engine runs.
func (e *engine) runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *engine) count(change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += change
}

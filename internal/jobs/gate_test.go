package jobs

import (
	"context"
	"strings"
	"sync"

	"ringstream.example/ringstream/internal/backend"
)

// gateMode is how a gate treats a node's calls.
type gateMode int

const (
	running gateMode = iota
	paused           // calls and answers wait, as in a stopped process
	dead             // calls fail without an effect, and answers are dropped
)

// gate simulates the state of a node's process. Each call of the node and each
// answer to it passes the gate.
type gate struct {
	mu              sync.Mutex
	mode            gateMode
	change          chan struct{}
	stalledPrefixes map[string]bool // by prefix of the transaction ids; true while such transactions wait
}

func newGate() *gate { return &gate{change: make(chan struct{}), stalledPrefixes: map[string]bool{}} }

// setStalled holds or releases the transactions whose id has the prefix.
func (g *gate) setStalled(prefix string, held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stalledPrefixes[prefix] = held
	close(g.change)
	g.change = make(chan struct{})
}

func (g *gate) await(id string) {
	for {
		g.mu.Lock()
		held, change := g.stalledPrefixes[id[:strings.IndexByte(id, '-')+1]], g.change
		g.mu.Unlock()
		if !held {
			return
		}
		<-change
	}
}

func (g *gate) set(mode gateMode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.mode != dead {
		g.mode = mode
	}
	close(g.change)
	g.change = make(chan struct{})
}

func (g *gate) get() gateMode {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mode
}

func (g *gate) pass() error {
	for {
		g.mu.Lock()
		mode, change := g.mode, g.change
		g.mu.Unlock()
		switch mode {
		case running:
			return nil
		case dead:
			return &backend.Error{Code: backend.CodeInvalid, System: "gate", Operation: "pass"}
		}
		<-change
	}
}

func throughGate[T any](g *gate, call func() (T, error)) (T, error) {
	var none T
	if err := g.pass(); err != nil {
		return none, err
	}
	value, err := call()
	if failure := g.pass(); failure != nil {
		return none, failure
	}
	return value, err
}

type gatedTable struct {
	gate *gate
	next backend.Table
}

// Get implements backend.Table.
func (t gatedTable) Get(ctx context.Context, key string) (backend.Record, error) {
	return throughGate(t.gate, func() (backend.Record, error) { return t.next.Get(ctx, key) })
}

// List implements backend.Table.
func (t gatedTable) List(ctx context.Context, prefix, after string, limit int) ([]backend.Record, error) {
	return throughGate(t.gate, func() ([]backend.Record, error) { return t.next.List(ctx, prefix, after, limit) })
}

// Commit implements backend.Table.
func (t gatedTable) Commit(ctx context.Context, transaction backend.Transaction) (backend.CommitResult, error) {
	t.gate.await(transaction.ID)
	return throughGate(t.gate, func() (backend.CommitResult, error) { return t.next.Commit(ctx, transaction) })
}

type gatedObjects struct {
	gate *gate
	next backend.Objects
}

// Put implements backend.Objects.
func (o gatedObjects) Put(ctx context.Context, name string, body []byte) error {
	_, err := throughGate(o.gate, func() (struct{}, error) { return struct{}{}, o.next.Put(ctx, name, body) })
	return err
}

// Get implements backend.Objects.
func (o gatedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	return throughGate(o.gate, func() ([]byte, error) { return o.next.Get(ctx, name) })
}

// List implements backend.Objects.
func (o gatedObjects) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	return throughGate(o.gate, func() ([]string, error) { return o.next.List(ctx, prefix, after, limit) })
}

// Delete implements backend.Objects.
func (o gatedObjects) Delete(ctx context.Context, name string) error {
	_, err := throughGate(o.gate, func() (struct{}, error) { return struct{}{}, o.next.Delete(ctx, name) })
	return err
}

package jobs

import (
	"context"
	"strings"
	"sync"

	"ringstream.example/ringstream/internal/backend"
)

// gateMode is what becomes of a node's calls.
type gateMode int

const (
	running gateMode = iota
	paused           // calls and answers wait, as in a stopped process
	dead             // no call has an effect, no answer arrives
)

// gate stands for a node's process: each call passes it on its way out and
// each answer on its way in.
type gate struct {
	mu     sync.Mutex
	mode   gateMode
	change chan struct{}
	stalls map[string]bool // prefixes of the ids of transactions that wait
}

func newGate() *gate { return &gate{change: make(chan struct{}), stalls: map[string]bool{}} }

// stall holds transactions whose id has the prefix back, or lets them go.
func (g *gate) stall(prefix string, held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stalls[prefix] = held
	close(g.change)
	g.change = make(chan struct{})
}

func (g *gate) await(id string) {
	for {
		g.mu.Lock()
		held, change := g.stalls[id[:strings.IndexByte(id, '-')+1]], g.change
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

func through[T any](g *gate, call func() (T, error)) (T, error) {
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
	return through(t.gate, func() (backend.Record, error) { return t.next.Get(ctx, key) })
}

// List implements backend.Table.
func (t gatedTable) List(ctx context.Context, prefix, after string, limit int) ([]backend.Record, error) {
	return through(t.gate, func() ([]backend.Record, error) { return t.next.List(ctx, prefix, after, limit) })
}

// Commit implements backend.Table.
func (t gatedTable) Commit(ctx context.Context, transaction backend.Transaction) (backend.CommitResult, error) {
	t.gate.await(transaction.ID)
	return through(t.gate, func() (backend.CommitResult, error) { return t.next.Commit(ctx, transaction) })
}

type gatedObjects struct {
	gate *gate
	next backend.Objects
}

// Put implements backend.Objects.
func (o gatedObjects) Put(ctx context.Context, name string, body []byte) error {
	_, err := through(o.gate, func() (struct{}, error) { return struct{}{}, o.next.Put(ctx, name, body) })
	return err
}

// Get implements backend.Objects.
func (o gatedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	return through(o.gate, func() ([]byte, error) { return o.next.Get(ctx, name) })
}

// List implements backend.Objects.
func (o gatedObjects) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	return through(o.gate, func() ([]string, error) { return o.next.List(ctx, prefix, after, limit) })
}

// Delete implements backend.Objects.
func (o gatedObjects) Delete(ctx context.Context, name string) error {
	_, err := through(o.gate, func() (struct{}, error) { return struct{}{}, o.next.Delete(ctx, name) })
	return err
}

package replicas

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/peer/sharing"
)

// slotsTable is the rows of slots, as all nodes of a test see them.
type slotsTable struct {
	passthrough.Rows
	mu      sync.Mutex
	rows    map[string]passthrough.Row
	version int64
	lost    bool
	began   time.Time
}

func (t *slotsTable) List(_ context.Context, _, part, from, to string, _ int) (passthrough.Snapshot, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost {
		return passthrough.Snapshot{}, passthrough.ErrNothingDone
	}
	snapshot := passthrough.Snapshot{Version: t.version, StoreAt: time.Since(t.began)}
	for _, place := range slices.Sorted(maps.Keys(t.rows)) {
		if place >= part+"/"+from && place < part+"/"+to {
			snapshot.Rows = append(snapshot.Rows, t.rows[place])
		}
	}
	return snapshot, nil
}

func (t *slotsTable) Commit(_ context.Context, transaction passthrough.Transaction) (passthrough.CommitResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost {
		return passthrough.CommitResult{}, passthrough.ErrNothingDone
	}
	expected, put := transaction.Expected[0], transaction.Put[0]
	place := expected.Part + "/" + expected.Key
	if current := t.rows[place]; current.Version != expected.Version {
		return passthrough.CommitResult{Current: []passthrough.Row{current}, Version: t.version}, nil
	}
	t.version++
	put.Version = t.version
	t.rows[place] = put
	return passthrough.CommitResult{Applied: true, Version: t.version}, nil
}

func (t *slotsTable) setLost(lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = lost
}

// neighbours are nodes that reach each other by their addresses. An answer takes its time both ways.
type neighbours struct {
	mu     sync.Mutex
	nodes  map[string]*Service
	silent map[string]bool
	way    time.Duration
}

var errSilent = errors.New("no answer")

func (n *neighbours) Follow(ctx context.Context, peer string, call sharing.FollowCall) (sharing.FollowAnswer, time.Time, error) {
	sent := time.Now()
	time.Sleep(n.way)
	n.mu.Lock()
	node, silent := n.nodes[peer], n.silent[peer]
	n.mu.Unlock()
	if node == nil || silent {
		return sharing.FollowAnswer{}, sent, errSilent
	}
	answered := node.Tables().Follow(ctx, call)
	time.Sleep(n.way)
	return answered, sent, nil
}

func (n *neighbours) Forget(string) {}

func (n *neighbours) setSilent(peer string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[peer] = silent
}

// zone is nodes of one slot, each of which follows an empty table.
type zone struct {
	slots *slotsTable
	peers *neighbours
	store *quietStore
	began time.Time
	count int // of slots
}

func newZone() *zone {
	return &zone{
		began: time.Now(), store: newQuietStore(time.Now()), count: 1,
		slots: &slotsTable{rows: make(map[string]passthrough.Row), began: time.Now()},
		peers: &neighbours{nodes: make(map[string]*Service), silent: make(map[string]bool), way: 2 * time.Millisecond},
	}
}

type emptySink struct{}

func (emptySink) Replace([]passthrough.Row, int64) {}
func (emptySink) Change([]passthrough.Row)         {}

// quietStore has an empty table in which nothing changes, and a clock.
type quietStore struct {
	passthrough.Rows
	began time.Time

	mu       sync.Mutex               // guards the rest
	listings map[string]int           // by node
	forgets  map[string]time.Duration // nodes whose next call for changes finds the history gone
	listing  map[string]time.Duration // how long their listings after it take
	refused  map[string]bool          // nodes whose calls it refuses
	asked    map[string]int           // calls for changes, by node
}

func newQuietStore(began time.Time) *quietStore {
	return &quietStore{began: began, listings: make(map[string]int), forgets: make(map[string]time.Duration), listing: make(map[string]time.Duration), refused: make(map[string]bool), asked: make(map[string]int)}
}

// forget has the next call of each node for changes find the history gone, and the listing after it
// take a time.
func (s *quietStore) forget(nodes []string, listing time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range nodes {
		s.forgets[name] = listing
	}
}

// refuse has the store refuse the calls of some nodes, and of no others.
func (s *quietStore) refuse(nodes ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.refused)
	for _, name := range nodes {
		s.refused[name] = true
	}
}

func (s *quietStore) refuses(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[node]
}

func (s *quietStore) listedBy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.listings)
}

// rowsOf is the store as one node reaches it.
type rowsOf struct {
	*quietStore
	node string
}

func (s *quietStore) snapshot() passthrough.Snapshot {
	return passthrough.Snapshot{Version: 1, StoreAt: time.Since(s.began)}
}

func (r rowsOf) List(context.Context, string, string, string, string, int) (passthrough.Snapshot, error) {
	r.mu.Lock()
	r.listings[r.node]++
	listing := r.listing[r.node]
	delete(r.listing, r.node)
	r.mu.Unlock()
	time.Sleep(listing)
	if r.refuses(r.node) {
		return passthrough.Snapshot{}, passthrough.ErrNothingDone
	}
	return r.snapshot(), nil
}

func (r rowsOf) Feed(ctx context.Context, _ string, _ int64, hold time.Duration) (passthrough.Snapshot, error) {
	r.mu.Lock()
	r.asked[r.node]++
	listing, forgotten := r.forgets[r.node]
	if forgotten {
		delete(r.forgets, r.node)
		r.listing[r.node] = listing
	}
	r.mu.Unlock()
	if forgotten {
		return passthrough.Snapshot{}, passthrough.ErrHistoryGone
	}
	select {
	case <-ctx.Done():
		return passthrough.Snapshot{}, ctx.Err()
	case <-time.After(hold):
	}
	if r.refuses(r.node) {
		return passthrough.Snapshot{}, passthrough.ErrNothingDone
	}
	return r.snapshot(), nil
}

// start starts a node with a follower.
func (z *zone) start(ctx context.Context, name string, capacity float64) (*Service, *catalog.Follower) {
	config := DefaultConfig()
	config.Slots = z.count
	storeTime := catalog.NewStoreTime()
	service := New(config, Dependencies{
		Rows: z.slots, Peers: z.peers, StoreTime: storeTime, Logger: zap.NewNop(), Name: name, Life: name + "/1", Zone: "z", Address: name, Capacity: capacity,
		Leaving: func() bool { return false },
	})
	follower := catalog.NewFollower(catalog.DefaultFollowConfig(), rowsOf{z.store, name}, "table", []string{""}, emptySink{}, zap.NewNop())
	follower.TimeBy(storeTime)
	service.Offer("table", follower.Copy())
	follower.RelayBy(service.Relay())
	z.peers.mu.Lock()
	z.peers.nodes[name] = service
	z.peers.mu.Unlock()
	go func() { _ = follower.Run(ctx) }()
	go func() { _ = service.Run(ctx) }()
	return service, follower
}

func inBubble(t *testing.T, test func(t *testing.T, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		test(t, ctx)
		cancel()
		time.Sleep(10 * time.Second) // all calls under way end
	})
}

func (s *Service) modeNow() mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// startMany starts nodes of a zone with four slots, and gives them once they have found each other.
func startMany(ctx context.Context, z *zone) (services []*Service, followers []*catalog.Follower) {
	z.count = 4
	for i := range 12 {
		service, follower := z.start(ctx, fmt.Sprint("node-", i), 0.2)
		services, followers = append(services, service), append(followers, follower)
	}
	time.Sleep(8 * time.Second)
	return services, followers
}

// readers gives the nodes that read the store for others.
func readers(services []*Service) (names []string) {
	for _, service := range services {
		if _, reads := service.ReadsStore(); reads {
			names = append(names, service.Name)
		}
	}
	return names
}

// sources gives whom the nodes follow, by their names.
func sources(services []*Service) map[string]string {
	followed := make(map[string]string, len(services))
	for _, service := range services {
		service.mu.Lock()
		followed[service.Name] = service.source.name()
		service.mu.Unlock()
	}
	return followed
}

// askedBy gives the nodes that have asked the store for changes since it was last called.
func (s *quietStore) askedBy() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer clear(s.asked)
	return slices.Sorted(maps.Keys(s.asked))
}

// expectFresh checks for a time that no node's copy is 2 s old, except one's.
func expectFresh(t *testing.T, services []*Service, followers []*catalog.Follower, during time.Duration, except string) {
	t.Helper()
	const step = 50 * time.Millisecond
	for range during / step {
		time.Sleep(step)
		for i, follower := range followers {
			if age := time.Since(follower.Health().AsOf); services[i].Name != except && age >= 2*time.Second {
				t.Errorf("%s is %v behind", services[i].Name, age)
			}
		}
	}
}

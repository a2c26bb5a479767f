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

// slotsTable is an in-memory table of slot rows that all nodes of a test share.
type slotsTable struct {
	passthrough.Rows
	mu          sync.Mutex
	rows        map[string]passthrough.Row
	version     int64
	unavailable bool
	began       time.Time
}

func (t *slotsTable) List(_ context.Context, _, part, from, to string, _ int) (passthrough.Snapshot, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unavailable {
		return passthrough.Snapshot{}, passthrough.ErrNothingDone
	}
	snapshot := passthrough.Snapshot{Version: t.version, StoreAt: time.Since(t.began)}
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if key >= part+"/"+from && key < part+"/"+to {
			snapshot.Rows = append(snapshot.Rows, t.rows[key])
		}
	}
	return snapshot, nil
}

func (t *slotsTable) Commit(_ context.Context, transaction passthrough.Transaction) (passthrough.CommitResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unavailable {
		return passthrough.CommitResult{}, passthrough.ErrNothingDone
	}
	expected, put := transaction.Expected[0], transaction.Put[0]
	key := expected.Part + "/" + expected.Key
	if current := t.rows[key]; current.Version != expected.Version {
		return passthrough.CommitResult{Current: []passthrough.Row{current}, Version: t.version}, nil
	}
	t.version++
	put.Version = t.version
	t.rows[key] = put
	return passthrough.CommitResult{Applied: true, Version: t.version}, nil
}

func (t *slotsTable) setUnavailable(unavailable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unavailable = unavailable
}

// testPeers are nodes that reach each other by their addresses. Each call takes oneWayDelay in
// both directions.
type testPeers struct {
	mu          sync.Mutex
	nodes       map[string]*Service
	silent      map[string]bool
	oneWayDelay time.Duration
}

var errSilent = errors.New("no answer")

func (n *testPeers) Follow(ctx context.Context, peer string, call sharing.FollowCall) (sharing.FollowAnswer, time.Time, error) {
	sent := time.Now()
	time.Sleep(n.oneWayDelay)
	n.mu.Lock()
	node, silent := n.nodes[peer], n.silent[peer]
	n.mu.Unlock()
	if node == nil || silent {
		return sharing.FollowAnswer{}, sent, errSilent
	}
	answer := node.Tables().Follow(ctx, call)
	time.Sleep(n.oneWayDelay)
	return answer, sent, nil
}

func (n *testPeers) CloseIdleConnections(string) {}

func (n *testPeers) setSilent(peer string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[peer] = silent
}

// zone is a set of nodes, each of which follows an empty table.
type zone struct {
	slots     *slotsTable
	peers     *testPeers
	store     *quietStore
	began     time.Time
	slotCount int // slots of the zone
}

func newZone() *zone {
	return &zone{
		began: time.Now(), store: newQuietStore(time.Now()), slotCount: 1,
		slots: &slotsTable{rows: make(map[string]passthrough.Row), began: time.Now()},
		peers: &testPeers{nodes: make(map[string]*Service), silent: make(map[string]bool), oneWayDelay: 2 * time.Millisecond},
	}
}

type emptySink struct{}

func (emptySink) Replace([]passthrough.Row, int64) {}
func (emptySink) Change([]passthrough.Row)         {}

// quietStore is a store with a clock and an empty table in which nothing changes.
type quietStore struct {
	passthrough.Rows
	began time.Time

	mu          sync.Mutex               // guards the fields below
	listings    map[string]int           // number of listings, by node
	historyGone map[string]time.Duration // nodes whose next call for changes finds the history gone, with the time of the listing after it
	listingTime map[string]time.Duration // how long a node's next listing takes
	refused     map[string]bool          // nodes whose calls are refused
	feedCalls   map[string]int           // calls for changes, by node
}

func newQuietStore(began time.Time) *quietStore {
	return &quietStore{began: began, listings: make(map[string]int), historyGone: make(map[string]time.Duration), listingTime: make(map[string]time.Duration), refused: make(map[string]bool), feedCalls: make(map[string]int)}
}

// dropHistory makes the next call of each node for changes find the history gone, and the listing
// after it take the given time.
func (s *quietStore) dropHistory(nodes []string, listing time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range nodes {
		s.historyGone[name] = listing
	}
}

// refuse makes the store refuse the calls of the given nodes, and of no others.
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

func (s *quietStore) nodesThatListed() int {
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
	listing := r.listingTime[r.node]
	delete(r.listingTime, r.node)
	r.mu.Unlock()
	time.Sleep(listing)
	if r.refuses(r.node) {
		return passthrough.Snapshot{}, passthrough.ErrNothingDone
	}
	return r.snapshot(), nil
}

func (r rowsOf) Feed(ctx context.Context, _ string, _ int64, hold time.Duration) (passthrough.Snapshot, error) {
	r.mu.Lock()
	r.feedCalls[r.node]++
	listing, forgotten := r.historyGone[r.node]
	if forgotten {
		delete(r.historyGone, r.node)
		r.listingTime[r.node] = listing
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
	config.Slots = z.slotCount
	storeTime := catalog.NewStoreTime()
	service := New(config, Dependencies{
		Rows: z.slots, Peers: z.peers, StoreTime: storeTime, Logger: zap.NewNop(), Name: name, Incarnation: name + "/1", Zone: "z", Address: name, Capacity: capacity,
		Leaving: func() bool { return false },
	})
	follower := catalog.NewFollower(catalog.DefaultFollowConfig(), rowsOf{z.store, name}, "table", []string{""}, emptySink{}, zap.NewNop())
	follower.SetStoreTime(storeTime)
	service.Offer("table", follower.Copy())
	follower.SetRelay(service.Relay())
	z.peers.mu.Lock()
	z.peers.nodes[name] = service
	z.peers.mu.Unlock()
	go func() { _ = follower.Run(ctx) }()
	go func() { _ = service.Run(ctx) }()
	return service, follower
}

func runInBubble(t *testing.T, test func(t *testing.T, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		test(t, ctx)
		cancel()
		time.Sleep(10 * time.Second) // until all calls in flight have ended
	})
}

func (s *Service) currentMode() mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// startMany starts nodes of a zone with four slots and waits until they have found each other.
func startMany(ctx context.Context, z *zone) (services []*Service, followers []*catalog.Follower) {
	z.slotCount = 4
	for i := range 12 {
		service, follower := z.start(ctx, fmt.Sprint("node-", i), 0.2)
		services, followers = append(services, service), append(followers, follower)
	}
	time.Sleep(8 * time.Second)
	return services, followers
}

// readers returns the names of the nodes that read the store for others.
func readers(services []*Service) (names []string) {
	for _, service := range services {
		if _, reads := service.ReadsStore(); reads {
			names = append(names, service.Name)
		}
	}
	return names
}

// sources returns the address that each node follows, by the node's name.
func sources(services []*Service) map[string]string {
	followed := make(map[string]string, len(services))
	for _, service := range services {
		service.mu.Lock()
		followed[service.Name] = service.source.name()
		service.mu.Unlock()
	}
	return followed
}

// takeFeedCallers returns the nodes that have asked the store for changes since the last call.
func (s *quietStore) takeFeedCallers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer clear(s.feedCalls)
	return slices.Sorted(maps.Keys(s.feedCalls))
}

// expectFresh checks for the given time that the copy of every node but one stays younger than
// 2 s.
func expectFresh(t *testing.T, services []*Service, followers []*catalog.Follower, duration time.Duration, except string) {
	t.Helper()
	const step = 50 * time.Millisecond
	for range duration / step {
		time.Sleep(step)
		for i, follower := range followers {
			if age := time.Since(follower.Health().AsOf); services[i].Name != except && age >= 2*time.Second {
				t.Errorf("%s is %v behind", services[i].Name, age)
			}
		}
	}
}

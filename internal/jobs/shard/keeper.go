// Package shard keeps this node's leases on shards of batch jobs: it claims the
// shards that rendezvous hashing over the live members gives to this node,
// renews the node's one session, and hands shards over. What a lease protects
// is protected by compares on the shard's record (see core/lease), never by
// this package's timing.
//
// Lock order: Keeper.mu is taken before no other lock, and is not held during
// calls to the store, the bus or the Worker.
package shard

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/lease"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/rendezvous"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/jobs/record"
	"ringstream.example/ringstream/internal/peer"
	"ringstream.example/ringstream/internal/store"
)

// Config sets the times of leases.
type Config struct {
	// Shards is the number of shards; the same on all nodes.
	Shards int
	// TimeToLive is how long a session lives without a renewal.
	TimeToLive time.Duration
	// Renew is the pause between renewals.
	Renew time.Duration
	// Check is the pause between looks at shards that are wanted and not held.
	Check time.Duration
	// HandOver bounds the flush of a shard's work at a planned hand-over.
	HandOver time.Duration
}

// Fence is the compare that every write for a shard carries.
type Fence struct {
	Shard int
	Epoch uint64
	// Compare holds while this node holds the shard.
	Compare backend.Compare
}

// Worker runs the jobs of held shards.
type Worker interface {
	// Acquired starts the work of shards that were taken together. They come in one call, so that
	// one list can tell their open jobs: shard by shard, a start of three nodes took up to 65 lists.
	Acquired(fences []Fence)
	// Flush stops a shard's work and commits what is finished; it returns when
	// that is done or the context ends. What is not committed then is dropped.
	Flush(ctx context.Context, shard int)
	// Lost drops a shard's work: another node holds it.
	Lost(shard int)
}

// Keeper keeps the leases. Create it with New and call Run once.
type Keeper struct {
	config Config
	store  *store.Client
	bus    peer.Bus
	worker Worker
	logger *zap.Logger

	wake chan struct{} // of capacity 1

	mu       sync.Mutex
	session  string
	version  uint64    // of the session's record as last seen; 0: not written yet
	renewal  time.Time // when the session was last renewed
	reported time.Time // when a failing renewal was last logged
	machines map[int]*lease.Machine
	leavers  map[identity.NodeID]time.Time // nodes that announced their stop, and when
	straying bool                          // shards are being given up without being held
	ranked   []identity.NodeID             // the candidates for which wanted was worked out
	wanted   []bool                        // by shard
	stopped  bool
	tasks    sync.WaitGroup // hand-overs under way
}

// New makes a keeper and sets its message handlers.
func New(config Config, client *store.Client, bus peer.Bus, worker Worker, logger *zap.Logger) *Keeper {
	keeper := &Keeper{
		config: config, store: client, bus: bus, worker: worker, logger: logger,
		wake:     make(chan struct{}, 1),
		machines: make(map[int]*lease.Machine),
		leavers:  make(map[identity.NodeID]time.Time),
	}
	keeper.newSession()
	bus.Handle(HandOverRequest{}, keeper.onHandOverRequest)
	bus.Handle(Released{}, keeper.onReleased)
	return keeper
}

func (k *Keeper) newSession() {
	k.session, k.version = string(k.bus.Self())+"-"+ulid.Make().String(), 0
}

// Run keeps the leases until the context ends, and hands them over then.
func (k *Keeper) Run(ctx context.Context) error {
	renewals := make(chan struct{})
	go func() {
		defer close(renewals)
		k.renewLoop(ctx)
	}()
	k.awaitMembers(ctx)
	for ctx.Err() == nil {
		changed := k.bus.Changed()
		k.pass(ctx)
		// The pause is spread so that nodes which wake together do not stay together.
		pause := time.NewTimer(k.config.Check*3/4 + rand.N(k.config.Check/2+1)) //nolint:gosec // jitter
		select {
		case <-ctx.Done():
		case <-changed:
		case <-k.wake:
		case <-pause.C:
		}
		pause.Stop()
	}
	<-renewals
	k.stop(context.WithoutCancel(ctx))
	return nil
}

// The wait for the member list at the start.
const (
	membersQuiet   = time.Second
	membersLongest = 3 * time.Second
)

// awaitMembers waits until the member list is quiet: a node that has just begun
// knows itself alone, and would claim all shards only to hand them over.
func (k *Keeper) awaitMembers(ctx context.Context) {
	longest := time.NewTimer(membersLongest)
	defer longest.Stop()
	for {
		quiet := time.NewTimer(membersQuiet)
		select {
		case <-k.bus.Changed():
			quiet.Stop()
		case <-quiet.C:
			return
		case <-longest.C:
			quiet.Stop()
			return
		case <-ctx.Done():
			quiet.Stop()
			return
		}
	}
}

// Holder says which node is to hold a shard, as far as this node can see.
func (k *Keeper) Holder(shard int) (identity.NodeID, bool) {
	return rendezvous.Owner(record.ShardKey(shard), k.candidates())
}

// Held gives the shards held now, in order.
func (k *Keeper) Held() []int {
	k.mu.Lock()
	defer k.mu.Unlock()
	var held []int
	for number, machine := range k.machines {
		if machine.State() == lease.Held {
			held = append(held, number)
		}
	}
	slices.Sort(held)
	return held
}

// Lost takes the word of a failed compare: the shard's record is not the one
// that this node holds. The shard's work has been dropped.
func (k *Keeper) Lost(shard int) {
	k.mu.Lock()
	machine := k.machines[shard]
	if machine != nil {
		events.ShardLost.Log(k.logger, zap.Int("shard", shard), zap.Uint64("epoch", machine.Lease().Record.Epoch))
		machine.Lost()
	}
	k.mu.Unlock()
	k.nudge()
}

func (k *Keeper) nudge() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// candidates gives the nodes that may hold shards.
func (k *Keeper) candidates() []identity.NodeID {
	live := k.bus.View().Live()
	k.mu.Lock()
	defer k.mu.Unlock()
	nodes := make([]identity.NodeID, 0, len(live))
	for _, member := range live {
		if _, leaving := k.leavers[member.ID]; !leaving {
			nodes = append(nodes, member.ID)
		}
	}
	return nodes
}

// pass compares what is wanted with what is held, and acts.
func (k *Keeper) pass(ctx context.Context) {
	seeking, surplus := k.sort()
	if len(surplus) > 0 {
		k.handOver(surplus, "")
	}
	if len(seeking) == 0 {
		return
	}
	read, err := k.readShards(ctx, seeking)
	if err != nil {
		return // the next pass asks again
	}
	claims, asks := k.decide(ctx, read)
	for holder, shards := range asks {
		_ = k.bus.Send(holder, HandOverRequest{Shards: shards}) // asked again at the next pass
	}
	k.claim(ctx, claims)
}

// sort brings the machines up to the member list. Surplus shards are those to
// give up at once, because this node is leaving.
func (k *Keeper) sort() (seeking, surplus []int) {
	self := k.bus.Self()
	view := k.bus.View()
	nodes := k.candidates()
	leaving := !slices.Contains(nodes, self)
	k.mu.Lock()
	defer k.mu.Unlock()
	for node, since := range k.leavers {
		if _, known := view.Member(node); !known || time.Since(since) > leaverMemory {
			delete(k.leavers, node)
		}
	}
	k.rank(nodes)
	for number, wanted := range k.wanted {
		machine := k.machines[number]
		if machine == nil {
			if !wanted {
				continue
			}
			machine = &lease.Machine{Node: self, Session: k.session, TimeToLive: k.config.TimeToLive}
			k.machines[number] = machine
		}
		machine.Want(wanted)
		switch machine.State() {
		case lease.Idle:
			delete(k.machines, number)
		case lease.Seeking:
			seeking = append(seeking, number)
		case lease.Held:
			if leaving {
				surplus = append(surplus, number)
			}
		}
	}
	return seeking, surplus
}

// rank finds the shards that this node is to hold; it costs a hash for each
// shard and node, and is done only when the nodes have changed. k.mu is held.
func (k *Keeper) rank(nodes []identity.NodeID) {
	if k.wanted != nil && slices.Equal(nodes, k.ranked) {
		return
	}
	k.ranked, k.wanted = nodes, make([]bool, k.config.Shards)
	for number := range k.wanted {
		owner, found := rendezvous.Owner(record.ShardKey(number), nodes)
		k.wanted[number] = found && owner == k.bus.Self()
	}
}

// leaverMemory is how long an announced stop is kept when the member list does
// not confirm it.
const leaverMemory = 30 * time.Second

// listFrom is the number of shards from which on one list is cheaper than
// reading their records one by one.
const listFrom = 8

func (k *Keeper) readShards(ctx context.Context, shards []int) (map[int]backend.Record, error) {
	read := make(map[int]backend.Record, len(shards))
	if len(shards) >= listFrom {
		all, err := k.store.List(ctx, record.ShardPrefix, "")
		if err != nil {
			return nil, err
		}
		for _, found := range all {
			if number, err := record.SegmentNumber(found.Key); err == nil {
				read[number] = found
			}
		}
		return read, nil
	}
	for _, number := range shards {
		found, err := k.store.Get(ctx, record.ShardKey(number))
		if err != nil {
			return nil, err
		}
		read[number] = found
	}
	return read, nil
}

// decide steps the machines of the wanted shards by what was read.
func (k *Keeper) decide(ctx context.Context, read map[int]backend.Record) (claims []int, asks map[identity.NodeID][]int) {
	view := k.bus.View()
	asks = make(map[identity.NodeID][]int)
	sessions := make(map[string][]int)
	var resumed []Fence
	k.mu.Lock()
	for number, machine := range k.machines {
		if machine.State() != lease.Seeking {
			continue
		}
		seen, err := versioned(read[number])
		if err != nil {
			continue
		}
		holder, known := view.Member(seen.Record.Node)
		switch machine.ShardRead(seen, known && holder.State != membership.Dead) {
		case lease.Claim:
			claims = append(claims, number)
		case lease.AskHolder:
			asks[seen.Record.Node] = append(asks[seen.Record.Node], number)
			sessions[seen.Record.Session] = append(sessions[seen.Record.Session], number)
		case lease.ReadSession:
			sessions[seen.Record.Session] = append(sessions[seen.Record.Session], number)
		}
		if machine.State() == lease.Held {
			resumed = append(resumed, k.fence(number))
		}
	}
	k.mu.Unlock()
	k.worker.Acquired(resumed)
	claims = append(claims, k.lapsed(ctx, sessions)...)
	slices.Sort(claims)
	return claims, asks
}

// lapsed reads the holders' sessions and gives the shards that may be claimed.
func (k *Keeper) lapsed(ctx context.Context, sessions map[string][]int) (claims []int) {
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(listFrom)
	for name, shards := range sessions {
		group.Go(func() error {
			found, err := k.store.Get(ctx, record.SessionKey(name))
			if err != nil {
				return nil //nolint:nilerr // the next pass asks again
			}
			session, err := decodeSession(found)
			if err != nil {
				return nil //nolint:nilerr // a session that cannot be read does not lapse
			}
			mu.Lock()
			defer mu.Unlock()
			k.mu.Lock()
			defer k.mu.Unlock()
			for _, number := range shards {
				machine := k.machines[number]
				if machine != nil && machine.SessionRead(session, found.Version, time.Now()) == lease.Claim {
					claims = append(claims, number)
				}
			}
			return nil
		})
	}
	_ = group.Wait() // the tasks return no errors
	return claims
}

func versioned(found backend.Record) (lease.Versioned, error) {
	if found.Version == 0 {
		return lease.Versioned{}, nil
	}
	value, err := record.Decode[lease.Record](found.Value)
	return lease.Versioned{Record: value, Version: found.Version}, err
}

func decodeSession(found backend.Record) (lease.Session, error) {
	if found.Version == 0 {
		return lease.Session{}, nil
	}
	return record.Decode[lease.Session](found.Value)
}

// fence gives a held shard's fence; k.mu is held.
func (k *Keeper) fence(number int) Fence {
	held := k.machines[number].Lease()
	return Fence{
		Shard: number, Epoch: held.Record.Epoch,
		Compare: backend.Compare{Key: record.ShardKey(number), Version: held.Version},
	}
}

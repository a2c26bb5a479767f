// Package shard keeps this node's leases on shards of batch jobs. It claims the
// shards that rendezvous hashing over the live members assigns to this node,
// renews the node's single session, and hands shards over. Safety comes from
// compares on the shard's record (see core/lease), never from the timing of this
// package.
//
// Lock order: no other lock is acquired while Keeper.mu is held, and it is not
// held during calls to the store, the bus or the Worker.
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

// Config sets the number of shards and the timing of leases.
type Config struct {
	// Shards is the number of shards; the same on all nodes.
	Shards int
	// TimeToLive is how long a session is valid without a renewal.
	TimeToLive time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// CheckInterval is the average time between checks for shards that this node
	// should hold and does not.
	CheckInterval time.Duration
	// FlushTimeout bounds the flush of a shard's work at a planned hand-over. The
	// whole hand-over is bounded by twice this time.
	FlushTimeout time.Duration
}

// Fence identifies a held shard and the compare that every write for it carries.
type Fence struct {
	Shard int
	Epoch uint64
	// Compare holds while this node holds the shard.
	Compare backend.Compare
}

// Worker runs the jobs of held shards.
type Worker interface {
	// Acquired starts the work of shards that were claimed together. They are passed in one call, so
	// that one list can return their open jobs. With one call per shard, a start of three nodes took
	// up to 65 lists.
	Acquired(fences []Fence)
	// Flush stops a shard's work and commits what is finished. It returns when
	// that is done or the context ends, and drops what is not committed by then.
	Flush(ctx context.Context, shard int)
	// Lost drops a shard's work because another node holds the shard.
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

	mu                   sync.Mutex
	session              string
	version              uint64    // of the session's record as last seen; 0 before it is written
	renewedAt            time.Time // when the session was last renewed
	renewFailureLoggedAt time.Time // when a failing renewal was last logged
	machines             map[int]*lease.Machine
	leavingNodes         map[identity.NodeID]time.Time // nodes that announced their stop, with the time of the message
	releasingUnheld      bool                          // a releaseUnheld task is running
	wantedFor            []identity.NodeID             // the candidates for which wanted was computed
	wanted               []bool                        // by shard; whether this node should hold it
	stopped              bool
	tasks                sync.WaitGroup // hand-overs in flight
}

// New returns a keeper and registers its message handlers on the bus.
func New(config Config, client *store.Client, bus peer.Bus, worker Worker, logger *zap.Logger) *Keeper {
	keeper := &Keeper{
		config: config, store: client, bus: bus, worker: worker, logger: logger,
		wake:         make(chan struct{}, 1),
		machines:     make(map[int]*lease.Machine),
		leavingNodes: make(map[identity.NodeID]time.Time),
	}
	keeper.newSession()
	bus.Handle(HandOverRequest{}, keeper.onHandOverRequest)
	bus.Handle(Released{}, keeper.onReleased)
	return keeper
}

func (k *Keeper) newSession() {
	k.session, k.version = string(k.bus.Self())+"-"+ulid.Make().String(), 0
}

// Run keeps the leases until the context ends, and then hands them over.
func (k *Keeper) Run(ctx context.Context) error {
	renewals := make(chan struct{})
	go func() {
		defer close(renewals)
		k.renewLoop(ctx)
	}()
	k.awaitMembers(ctx)
	for ctx.Err() == nil {
		changed := k.bus.Changed()
		k.reconcile(ctx)
		// Jitter keeps nodes that wake at the same time from staying in step.
		pause := time.NewTimer(k.config.CheckInterval*3/4 + rand.N(k.config.CheckInterval/2+1)) //nolint:gosec // jitter
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

// The limits of the wait for the member list at the start.
const (
	membersQuietPeriod = time.Second
	maxMembersWait     = 3 * time.Second
)

// awaitMembers waits until the member list has not changed for membersQuietPeriod,
// for at most maxMembersWait. A node that has just started knows only itself, and
// would claim all shards only to hand them over.
func (k *Keeper) awaitMembers(ctx context.Context) {
	longest := time.NewTimer(maxMembersWait)
	defer longest.Stop()
	for {
		quiet := time.NewTimer(membersQuietPeriod)
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

// Holder returns the node that should hold a shard according to this node's member
// list. It returns false when there is no candidate.
func (k *Keeper) Holder(shard int) (identity.NodeID, bool) {
	return rendezvous.Owner(record.ShardKey(shard), k.candidates())
}

// Held returns the shards held now, in ascending order.
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

// Lost reports a failed compare on a shard's record, which means that this node no
// longer holds the shard. The caller has dropped the shard's work.
func (k *Keeper) Lost(shard int) {
	k.mu.Lock()
	machine := k.machines[shard]
	if machine != nil {
		events.ShardLost.Log(k.logger, zap.Int("shard", shard), zap.Uint64("epoch", machine.Lease().Record.Epoch))
		machine.Lost()
	}
	k.mu.Unlock()
	k.wakeRun()
}

func (k *Keeper) wakeRun() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// candidates returns the nodes that may hold shards: live members that have not
// announced their stop.
func (k *Keeper) candidates() []identity.NodeID {
	live := k.bus.View().Live()
	k.mu.Lock()
	defer k.mu.Unlock()
	nodes := make([]identity.NodeID, 0, len(live))
	for _, member := range live {
		if _, leaving := k.leavingNodes[member.ID]; !leaving {
			nodes = append(nodes, member.ID)
		}
	}
	return nodes
}

// reconcile compares the shards that this node should hold with those it holds,
// and claims, requests or hands over the difference.
func (k *Keeper) reconcile(ctx context.Context) {
	seeking, surplus := k.updateMachines()
	if len(surplus) > 0 {
		k.handOver(surplus, "")
	}
	if len(seeking) == 0 {
		return
	}
	read, err := k.readShards(ctx, seeking)
	if err != nil {
		return // the next reconcile reads again
	}
	claims, requests := k.decide(ctx, read)
	for holder, shards := range requests {
		_ = k.bus.Send(holder, HandOverRequest{Shards: shards}) // sent again at the next reconcile
	}
	k.claim(ctx, claims)
}

// updateMachines updates the shards' state machines to the member list. It returns
// the shards that this node seeks, and the surplus ones that it must hand over at
// once because it is leaving.
func (k *Keeper) updateMachines() (seeking, surplus []int) {
	self := k.bus.Self()
	view := k.bus.View()
	nodes := k.candidates()
	leaving := !slices.Contains(nodes, self)
	k.mu.Lock()
	defer k.mu.Unlock()
	for node, since := range k.leavingNodes {
		if _, known := view.Member(node); !known || time.Since(since) > leavingNodeTimeout {
			delete(k.leavingNodes, node)
		}
	}
	k.updateWanted(nodes)
	for number, wanted := range k.wanted {
		machine := k.machines[number]
		if machine == nil {
			if !wanted {
				continue
			}
			machine = &lease.Machine{Node: self, Session: k.session, TimeToLive: k.config.TimeToLive}
			k.machines[number] = machine
		}
		machine.SetWanted(wanted)
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

// updateWanted computes the shards that this node should hold. This costs a hash
// for each shard and node, so it is done only when the nodes have changed. k.mu is
// held.
func (k *Keeper) updateWanted(nodes []identity.NodeID) {
	if k.wanted != nil && slices.Equal(nodes, k.wantedFor) {
		return
	}
	k.wantedFor, k.wanted = nodes, make([]bool, k.config.Shards)
	for number := range k.wanted {
		owner, found := rendezvous.Owner(record.ShardKey(number), nodes)
		k.wanted[number] = found && owner == k.bus.Self()
	}
}

// leavingNodeTimeout is how long an announced stop is remembered when the member
// list does not confirm it.
const leavingNodeTimeout = 30 * time.Second

// listMinShards is the number of shards at which one list becomes cheaper than
// reading their records one by one. It also limits concurrent reads of sessions.
const listMinShards = 8

func (k *Keeper) readShards(ctx context.Context, shards []int) (map[int]backend.Record, error) {
	read := make(map[int]backend.Record, len(shards))
	if len(shards) >= listMinShards {
		all, err := k.store.List(ctx, record.ShardPrefix, "")
		if err != nil {
			return nil, err
		}
		for _, found := range all {
			if number, err := record.TrailingNumber(found.Key); err == nil {
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

// decide advances the state machines of the sought shards with the records that
// were read. It returns the shards to claim, and those to request by holder.
func (k *Keeper) decide(ctx context.Context, read map[int]backend.Record) (claims []int, requests map[identity.NodeID][]int) {
	view := k.bus.View()
	requests = make(map[identity.NodeID][]int)
	sessions := make(map[string][]int)
	var resumed []Fence
	k.mu.Lock()
	for number, machine := range k.machines {
		if machine.State() != lease.Seeking {
			continue
		}
		seen, err := decodeLease(read[number])
		if err != nil {
			continue
		}
		holder, known := view.Member(seen.Record.Node)
		switch machine.ShardRead(seen, known && holder.State != membership.Dead) {
		case lease.Claim:
			claims = append(claims, number)
		case lease.AskHolder:
			requests[seen.Record.Node] = append(requests[seen.Record.Node], number)
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
	claims = append(claims, k.claimableShards(ctx, sessions)...)
	slices.Sort(claims)
	return claims, requests
}

// claimableShards reads the holders' sessions and returns the shards that may be
// claimed.
func (k *Keeper) claimableShards(ctx context.Context, sessions map[string][]int) (claims []int) {
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(listMinShards)
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

func decodeLease(found backend.Record) (lease.Versioned, error) {
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

// fence returns a held shard's fence. k.mu is held.
func (k *Keeper) fence(number int) Fence {
	held := k.machines[number].Lease()
	return Fence{
		Shard: number, Epoch: held.Record.Epoch,
		Compare: backend.Compare{Key: record.ShardKey(number), Version: held.Version},
	}
}

package shard

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/lease"
	"ringstream.example/ringstream/internal/core/rendezvous"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/jobs/record"
	"ringstream.example/ringstream/internal/store"
)

// onHandOverRequest hands the requested shards over to the sender if this node's
// member list also selects the sender as their holder.
func (k *Keeper) onHandOverRequest(from identity.NodeID, message any) any {
	request, ok := message.(HandOverRequest)
	if !ok {
		return nil
	}
	var agreed []int
	for _, number := range request.Shards {
		if holder, found := k.Holder(number); found && holder == from {
			agreed = append(agreed, number)
		}
	}
	if len(agreed) > 0 {
		k.handOver(agreed, from)
		k.releaseUnheldAsync(agreed, from)
	}
	return nil
}

// releaseUnheldAsync releases shards whose records name this node's session
// although it does not hold them. This happens when the answer to a claim or a
// release was lost.
func (k *Keeper) releaseUnheldAsync(shards []int, to identity.NodeID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped || k.releasingUnheld {
		return
	}
	session := k.session
	var unheld []int
	for _, number := range shards {
		if machine := k.machines[number]; machine == nil || machine.State() == lease.Idle {
			unheld = append(unheld, number)
		}
	}
	if len(unheld) == 0 {
		return
	}
	k.releasingUnheld = true
	k.tasks.Go(func() {
		if freed := k.releaseUnheld(unheld, session); len(freed) > 0 {
			k.notifyReleased(freed, to, false)
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		k.releasingUnheld = false
	})
}

// releaseUnheld releases the shards whose records name the session, and returns
// those that were released.
func (k *Keeper) releaseUnheld(shards []int, session string) (freed []int) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*k.config.FlushTimeout)
	defer cancel()
	read, err := k.readShards(ctx, shards)
	if err != nil {
		return nil
	}
	for group := range slices.Chunk(shards, maxShardsPerCommit) {
		transaction := backend.Transaction{ID: "stray-" + ulid.Make().String()}
		var named []int
		for _, number := range group {
			seen, err := decodeLease(read[number])
			if err != nil || seen.Record.Session != session {
				continue
			}
			named = append(named, number)
			key := record.ShardKey(number)
			transaction.Compares = append(transaction.Compares, backend.Compare{Key: key, Version: seen.Version})
			transaction.Writes = append(transaction.Writes, backend.Write{Key: key, Value: record.Encode(lease.Record{Epoch: seen.Record.Epoch})})
		}
		if len(named) > 0 && k.store.Commit(ctx, transaction).Status == store.Applied {
			freed = append(freed, named...)
		}
	}
	return freed
}

// onReleased starts a reconcile that claims released shards. It also records a
// sender that is stopping.
func (k *Keeper) onReleased(from identity.NodeID, message any) any {
	if released, ok := message.(Released); ok && released.Leaving {
		k.mu.Lock()
		k.leavingNodes[from] = time.Now()
		k.mu.Unlock()
	}
	k.wakeRun()
	return nil
}

// handOver releases shards in the background and then notifies the node to, or,
// when to is empty, the next holder of each shard.
func (k *Keeper) handOver(shards []int, to identity.NodeID) {
	leaving := k.startLeaving(shards)
	if len(leaving) == 0 {
		return
	}
	go func() {
		defer k.tasks.Done()
		ctx, cancel := context.WithTimeout(context.Background(), 2*k.config.FlushTimeout)
		defer cancel()
		k.flush(ctx, leaving)
		k.release(ctx, leaving)
		k.notifyReleased(leaving, to, false)
	}()
}

// startLeaving moves held shards to the Leaving state and returns them. If there
// are any, it adds one to k.tasks for the task that releases them.
func (k *Keeper) startLeaving(shards []int) (leaving []int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return nil
	}
	for _, number := range shards {
		if machine := k.machines[number]; machine != nil && machine.HandOver() == lease.Flush {
			leaving = append(leaving, number)
		}
	}
	if len(leaving) > 0 {
		k.tasks.Add(1)
	}
	return leaving
}

// flush stops the work of all the shards concurrently.
func (k *Keeper) flush(ctx context.Context, shards []int) {
	ctx, cancel := context.WithTimeout(ctx, k.config.FlushTimeout)
	defer cancel()
	var flushes sync.WaitGroup
	for _, number := range shards {
		flushes.Go(func() { k.worker.Flush(ctx, number) })
	}
	flushes.Wait()
}

// release commits in groups that the shards are free. A shard whose release fails
// becomes free when the session expires, or when its next holder requests it again.
func (k *Keeper) release(ctx context.Context, shards []int) {
	for group := range slices.Chunk(shards, maxShardsPerCommit) {
		if rest := k.commitRelease(ctx, group); len(rest) > 0 {
			k.commitRelease(ctx, rest)
		}
	}
	k.mu.Lock()
	for _, number := range shards {
		if machine := k.machines[number]; machine != nil {
			machine.Released()
		}
	}
	k.mu.Unlock()
	events.ShardReleased.Log(k.logger, zap.Ints("shards", shards))
}

// commitRelease releases shards. On a conflict it releases none and returns the
// shards whose compares did not fail.
func (k *Keeper) commitRelease(ctx context.Context, shards []int) (rest []int) {
	transaction := backend.Transaction{ID: "release-" + ulid.Make().String()}
	k.mu.Lock()
	for _, number := range shards {
		machine := k.machines[number]
		if machine == nil || machine.Flushed() != lease.Release {
			continue
		}
		key := record.ShardKey(number)
		rest = append(rest, number)
		transaction.Compares = append(transaction.Compares, backend.Compare{Key: key, Version: machine.Lease().Version})
		transaction.Writes = append(transaction.Writes, backend.Write{Key: key, Value: record.Encode(machine.ReleaseRecord())})
	}
	k.mu.Unlock()
	if len(rest) == 0 {
		return nil
	}
	result := k.store.Commit(ctx, transaction)
	if result.Status != store.Conflict {
		return nil
	}
	return slices.DeleteFunc(rest, func(number int) bool { return hasConflict(result.Conflicts, record.ShardKey(number)) })
}

// notifyReleased sends Released to the node to, or, when to is empty, to the next
// holder of each shard. If leaving is true, this node is not a next holder.
func (k *Keeper) notifyReleased(shards []int, to identity.NodeID, leaving bool) {
	next := make(map[identity.NodeID][]int)
	nodes := k.candidates()
	for i, node := range nodes {
		if leaving && node == k.bus.Self() {
			nodes = append(nodes[:i], nodes[i+1:]...)
			break
		}
	}
	for _, number := range shards {
		node := to
		if node == "" {
			node, _ = rendezvous.Owner(record.ShardKey(number), nodes)
		}
		if node != "" && node != k.bus.Self() {
			next[node] = append(next[node], number)
		}
	}
	for node, numbers := range next {
		_ = k.bus.Send(node, Released{Shards: numbers, Leaving: leaving}) // a lost message delays the claim by one check interval
	}
}

// stop releases all shards and ends the session. Run calls it last.
func (k *Keeper) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*k.config.FlushTimeout)
	defer cancel()
	held := k.startLeaving(k.Held())
	k.mu.Lock()
	k.stopped = true
	session, version := k.session, k.version
	k.mu.Unlock()
	if len(held) > 0 {
		k.flush(ctx, held)
		k.release(ctx, held)
		k.notifyReleased(held, "", true)
		k.tasks.Done()
	}
	k.tasks.Wait()
	if version == 0 {
		return
	}
	// No compare is needed: a delete may be repeated, and no other node writes
	// this record.
	k.store.Commit(ctx, backend.Transaction{
		ID:     "end-" + ulid.Make().String(),
		Writes: []backend.Write{{Key: record.SessionKey(session), Delete: true}},
	})
}

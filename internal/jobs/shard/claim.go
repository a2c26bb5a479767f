package shard

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/lease"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/jobs/record"
	"ringstream.example/ringstream/internal/store"
	"ringstream.example/ringstream/internal/wait"
)

// maxShardsPerCommit bounds the shards in one claim or release transaction.
const maxShardsPerCommit = 64

// claim claims shards in groups of at most maxShardsPerCommit.
func (k *Keeper) claim(ctx context.Context, shards []int) {
	if len(shards) == 0 || !k.ensureSession(ctx) {
		return
	}
	for group := range slices.Chunk(shards, maxShardsPerCommit) {
		// A group in which some compares fail is retried once without those. The
		// next reconcile reads the shards that were not claimed again.
		if rest := k.commitClaim(ctx, group); len(rest) > 0 && ctx.Err() == nil {
			k.commitClaim(ctx, rest)
		}
	}
}

// commitClaim claims shards. On a conflict it claims none and returns the shards
// whose compares did not fail.
func (k *Keeper) commitClaim(ctx context.Context, shards []int) (rest []int) {
	transaction, shards, sessions := k.claimTransaction(shards)
	if len(shards) == 0 {
		return nil
	}
	result := k.store.Commit(ctx, transaction)
	switch result.Status {
	case store.Applied:
		k.applyClaims(shards, result.Versions)
	case store.Conflict:
		for i, number := range shards {
			if !hasConflict(result.Conflicts, record.ShardKey(number), record.SessionKey(sessions[i])) {
				rest = append(rest, number)
			}
		}
	}
	return rest // empty unless on a conflict; a claim whose answer was lost shows at the next read
}

// hasConflict reports whether one of the keys is among the records.
func hasConflict(conflicts []backend.Record, keys ...string) bool {
	return slices.ContainsFunc(conflicts, func(current backend.Record) bool { return slices.Contains(keys, current.Key) })
}

// claimTransaction builds a transaction that claims shards and ends the expired
// sessions of their holders. It compares each shard's record and its holder's
// session, so that a holder that has renewed its session meanwhile keeps its
// shards. It also returns the shards that are still wanted, in the order of the
// first writes, and the session that each one is claimed from.
func (k *Keeper) claimTransaction(shards []int) (transaction backend.Transaction, claimed []int, sessions []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	transaction = backend.Transaction{ID: "claim-" + ulid.Make().String()}
	ended := make(map[string]uint64)
	for _, number := range shards {
		machine := k.machines[number]
		if machine == nil || machine.State() != lease.Seeking {
			continue
		}
		key := record.ShardKey(number)
		session, version, needed := machine.SessionFence()
		claimed, sessions = append(claimed, number), append(sessions, session)
		transaction.Compares = append(transaction.Compares, backend.Compare{Key: key, Version: machine.Lease().Version})
		transaction.Writes = append(transaction.Writes, backend.Write{Key: key, Value: record.Encode(machine.ClaimRecord())})
		if needed {
			ended[session] = version
		}
	}
	for session, version := range ended {
		key := record.SessionKey(session)
		transaction.Compares = append(transaction.Compares, backend.Compare{Key: key, Version: version})
		if version != 0 {
			transaction.Writes = append(transaction.Writes, backend.Write{Key: key, Delete: true})
		}
	}
	return transaction, claimed, sessions
}

// applyClaims marks shards as held after their claim was committed, and starts
// their work. When the versions of the commit are not known, it leaves that to
// the next reconcile, which finds the claim by reading.
func (k *Keeper) applyClaims(shards []int, versions []uint64) {
	if len(versions) < len(shards) {
		k.wakeRun()
		return
	}
	var fences []Fence
	k.mu.Lock()
	for i, number := range shards {
		machine := k.machines[number]
		if machine == nil || machine.State() != lease.Seeking {
			continue
		}
		machine.Claimed(versions[i])
		fences = append(fences, k.fence(number))
	}
	k.mu.Unlock()
	k.worker.Acquired(fences)
	events.ShardClaimed.Log(k.logger, zap.Ints("shards", shards), zap.Int("count", len(shards)))
}

// ensureSession writes the session's record if it has not been written yet. It
// returns false when the write fails.
func (k *Keeper) ensureSession(ctx context.Context) bool {
	k.mu.Lock()
	version := k.version
	k.mu.Unlock()
	return version != 0 || k.renew(ctx)
}

// renewFailureLogInterval is the minimum time between log lines about failing
// renewals.
const renewFailureLogInterval = time.Minute

// Renewal returns a write that renews the session as part of another transaction.
// It is not due when the session was renewed recently or has not been written
// yet. The write needs no compare: if it recreates a session that was ended
// meanwhile, that session still owns only the shards whose records name it.
func (k *Keeper) Renewal() (write backend.Write, due bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.version == 0 || time.Since(k.renewedAt) < k.config.RenewInterval/2 {
		return backend.Write{}, false
	}
	return k.renewalWrite(), true
}

// Renewed records that a transaction with a Renewal write was committed.
func (k *Keeper) Renewed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.renewedAt = time.Now()
}

// renewalWrite returns the write of the session's record as of now. k.mu is held.
func (k *Keeper) renewalWrite() backend.Write {
	value := record.Encode(lease.Session{Node: k.bus.Self(), RenewedAt: time.Now().UTC()})
	return backend.Write{Key: record.SessionKey(k.session), Value: value}
}

// renewLoop renews the session once it has been written, unless other
// transactions have renewed it in time.
func (k *Keeper) renewLoop(ctx context.Context) {
	const checksPerRenewal = 5 // checks in one RenewInterval
	for wait.For(ctx, k.config.RenewInterval/checksPerRenewal) {
		k.mu.Lock()
		due := k.version != 0 && time.Since(k.renewedAt) >= k.config.RenewInterval
		k.mu.Unlock()
		if due && !k.renew(ctx) {
			wait.For(ctx, k.config.RenewInterval/2+rand.N(k.config.RenewInterval)) //nolint:gosec // jitter
		}
	}
}

// renew rewrites the session's record with a compare on its version, so that a
// session that another node has ended is not recreated.
func (k *Keeper) renew(ctx context.Context) bool {
	k.mu.Lock()
	session, version, write := k.session, k.version, k.renewalWrite()
	k.mu.Unlock()
	result := k.store.ForPeriodicWork().Commit(ctx, backend.Transaction{
		ID:       "renew-" + ulid.Make().String(),
		Compares: []backend.Compare{{Key: write.Key, Version: version}},
		Writes:   []backend.Write{write},
	})
	switch result.Status {
	case store.Applied:
		return k.sessionRenewed(ctx, session, result.Versions)
	case store.Conflict:
		if len(result.Conflicts) > 0 && result.Conflicts[0].Version != 0 {
			// Only this node writes the record, so the newer version comes from
			// another transaction or from a renewal whose answer was lost.
			return k.sessionRenewed(ctx, session, []uint64{result.Conflicts[0].Version})
		}
		k.sessionEnded(session)
		return false
	default:
		k.mu.Lock()
		report := ctx.Err() == nil && time.Since(k.renewFailureLoggedAt) >= renewFailureLogInterval
		if report {
			k.renewFailureLoggedAt = time.Now()
		}
		k.mu.Unlock()
		if report {
			events.RenewFailed.Log(k.logger, zap.String("session", session), zap.Error(result.Cause))
		}
		return false
	}
}

func (k *Keeper) sessionRenewed(ctx context.Context, session string, versions []uint64) bool {
	var version uint64
	if len(versions) > 0 {
		version = versions[0]
	} else {
		found, err := k.store.Get(ctx, record.SessionKey(session))
		if err != nil || found.Version == 0 {
			return false
		}
		version = found.Version
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.session == session {
		k.version, k.renewedAt = version, time.Now()
	}
	return true
}

// sessionEnded drops all shards and starts a new session, because another node
// has ended the session.
func (k *Keeper) sessionEnded(session string) {
	k.mu.Lock()
	if k.session != session {
		k.mu.Unlock()
		return
	}
	var lost []int
	for number, machine := range k.machines {
		if machine.State() == lease.Held || machine.State() == lease.Leaving {
			lost = append(lost, number)
		}
		delete(k.machines, number)
	}
	k.newSession()
	k.mu.Unlock()
	events.SessionLapsed.Log(k.logger, zap.String("session", session))
	for _, number := range lost {
		k.worker.Lost(number)
	}
	k.wakeRun()
}

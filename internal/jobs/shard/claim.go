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

// claimsPerCommit bounds one claiming transaction.
const claimsPerCommit = 64

// claim commits claims in groups.
func (k *Keeper) claim(ctx context.Context, shards []int) {
	if len(shards) == 0 || !k.begin(ctx) {
		return
	}
	for group := range slices.Chunk(shards, claimsPerCommit) {
		// A group in which some compares fail is tried once more without those;
		// the next pass reads the shards that were not claimed again.
		if rest := k.commitClaim(ctx, group); len(rest) > 0 && ctx.Err() == nil {
			k.commitClaim(ctx, rest)
		}
	}
}

// commitClaim claims shards, or gives those whose compares did not fail.
func (k *Keeper) commitClaim(ctx context.Context, shards []int) (rest []int) {
	transaction, shards, sessions := k.claimTransaction(shards)
	if len(shards) == 0 {
		return nil
	}
	result := k.store.Commit(ctx, transaction)
	switch result.Status {
	case store.Applied:
		k.claimed(shards, result.Versions)
	case store.Conflict:
		for i, number := range shards {
			if !conflicting(result.Conflicts, record.ShardKey(number), record.SessionKey(sessions[i])) {
				rest = append(rest, number)
			}
		}
	}
	return rest // a claim that did take effect shows at the next read
}

// conflicting says whether one of the keys is among the records.
func conflicting(conflicts []backend.Record, keys ...string) bool {
	return slices.ContainsFunc(conflicts, func(current backend.Record) bool { return slices.Contains(keys, current.Key) })
}

// claimTransaction compares each shard's record and its holder's session, so
// that a holder which has renewed meanwhile keeps its shards, and ends the
// lapsed sessions. It gives the shards that are still wanted, in the order of
// the first writes, and the session that each is taken from.
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

// claimed takes shards over whose claim took effect. The versions are empty
// when that was learned by reading; the next pass then finds the claim.
func (k *Keeper) claimed(shards []int, versions []uint64) {
	if len(versions) < len(shards) {
		k.nudge()
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

// begin writes the session's record if it is not there yet; false when it cannot.
func (k *Keeper) begin(ctx context.Context) bool {
	k.mu.Lock()
	version := k.version
	k.mu.Unlock()
	return version != 0 || k.renew(ctx)
}

// reportEvery is how often a failing renewal is logged.
const reportEvery = time.Minute

// Renewal gives the write by which a transaction renews the session on its way;
// not due: the session was renewed lately, or is not begun. The write needs no
// compare: a session that was ended meanwhile and is revived by it still owns
// only the shards whose records name it.
func (k *Keeper) Renewal() (write backend.Write, due bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.version == 0 || time.Since(k.renewal) < k.config.Renew/2 {
		return backend.Write{}, false
	}
	return k.renewalWrite(), true
}

// Renewed says that a transaction with the Renewal took effect.
func (k *Keeper) Renewed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.renewal = time.Now()
}

// renewalWrite is the session's record as of now. k.mu is held.
func (k *Keeper) renewalWrite() backend.Write {
	value := record.Encode(lease.Session{Node: k.bus.Self(), RenewedAt: time.Now().UTC()})
	return backend.Write{Key: record.SessionKey(k.session), Value: value}
}

// renewLoop renews the session while it is begun and no other transaction does.
func (k *Keeper) renewLoop(ctx context.Context) {
	const looks = 5 // in one renewal's time
	for wait.For(ctx, k.config.Renew/looks) {
		k.mu.Lock()
		due := k.version != 0 && time.Since(k.renewal) >= k.config.Renew
		k.mu.Unlock()
		if due && !k.renew(ctx) {
			wait.For(ctx, k.config.Renew/2+rand.N(k.config.Renew)) //nolint:gosec // jitter
		}
	}
}

// renew rewrites the session's record by compare on its own version: a session
// that another node ended is not revived.
func (k *Keeper) renew(ctx context.Context) bool {
	k.mu.Lock()
	session, version, write := k.session, k.version, k.renewalWrite()
	k.mu.Unlock()
	result := k.store.Patient().Commit(ctx, backend.Transaction{
		ID:       "renew-" + ulid.Make().String(),
		Compares: []backend.Compare{{Key: write.Key, Version: version}},
		Writes:   []backend.Write{write},
	})
	switch result.Status {
	case store.Applied:
		return k.renewed(ctx, session, result.Versions)
	case store.Conflict:
		if len(result.Conflicts) > 0 && result.Conflicts[0].Version != 0 {
			// Only this node writes the record: by another transaction, or by a
			// renewal whose answer was lost for good.
			return k.renewed(ctx, session, []uint64{result.Conflicts[0].Version})
		}
		k.lapse(session)
		return false
	default:
		k.mu.Lock()
		report := ctx.Err() == nil && time.Since(k.reported) >= reportEvery
		if report {
			k.reported = time.Now()
		}
		k.mu.Unlock()
		if report {
			events.RenewFailed.Log(k.logger, zap.String("session", session), zap.Error(result.Cause))
		}
		return false
	}
}

func (k *Keeper) renewed(ctx context.Context, session string, versions []uint64) bool {
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
		k.version, k.renewal = version, time.Now()
	}
	return true
}

// lapse drops all shards: another node has ended the session.
func (k *Keeper) lapse(session string) {
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
	k.nudge()
}

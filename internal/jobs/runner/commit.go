package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/batch"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/jobs/record"
	"ringstream.example/ringstream/internal/store"
	"ringstream.example/ringstream/internal/wait"
)

// The delays of the commit loop.
const (
	// commitBatchDelay lets outcomes written at about the same time share a commit.
	commitBatchDelay = 10 * time.Millisecond
	// initialCommitBackoff and maxCommitBackoff bound the backoff after a commit
	// that the store did not answer. Jitter spreads each delay over its whole
	// length, so that nodes do not retry together when the store recovers.
	initialCommitBackoff = 250 * time.Millisecond
	maxCommitBackoff     = 15 * time.Second
)

// commitLoop commits written outcomes and intents, one transaction at a time.
func (r *Runner) commitLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wakeCommit:
		}
		wait.For(ctx, commitBatchDelay)
		pause := initialCommitBackoff
		for ctx.Err() == nil {
			r.mu.Lock()
			next := r.plan()
			r.mu.Unlock()
			if next == nil {
				break
			}
			r.renew(next)
			if r.commit(ctx, next) {
				pause = initialCommitBackoff
				continue
			}
			wait.For(ctx, jitter(pause))
			pause = min(2*pause, maxCommitBackoff)
		}
	}
}

// renew adds the lease renewal to a transaction when one is due.
func (r *Runner) renew(p *plan) {
	if write, due := r.leases.Renewal(); due {
		p.transaction.Writes, p.renewsLeases = append(p.transaction.Writes, write), true
	}
}

func jitter(longest time.Duration) time.Duration {
	return rand.N(longest + 1) //nolint:gosec // jitter, not a secret
}

// commit commits a plan and applies the result. It returns false when the store
// did not apply the plan, which is then requeued, or when the context has ended. A
// plan that may have taken effect is retried unchanged until its result is known,
// and nothing else is committed before that.
func (r *Runner) commit(ctx context.Context, p *plan) bool {
	pause := initialCommitBackoff
	for {
		result := r.deps.Store.Commit(ctx, p.transaction)
		r.metrics.commits.WithLabelValues(statusLabel(result.Status)).Inc()
		switch result.Status {
		case store.Applied:
			r.applied(ctx, p, result.Versions)
			return true
		case store.Conflict:
			if p.wrote(result.Conflicts) {
				r.applied(ctx, p, nil)
				return true
			}
			r.conflict(p, result.Conflicts)
			return true
		case store.NotApplied:
			r.logDelayed(p, result)
			r.locked(func() { r.requeue(p) })
			return false
		}
		r.logDelayed(p, result)
		if wait.For(ctx, jitter(pause)); ctx.Err() != nil {
			return false
		}
		pause = min(2*pause, maxCommitBackoff)
	}
}

func (r *Runner) logDelayed(p *plan, result store.Result) {
	items, held := 0, int64(0)
	for _, part := range p.parts {
		for _, group := range part.uploads {
			items += len(group.items)
			held += group.bytes
		}
	}
	events.CommitDelayed.Log(r.logger, zap.String("status", statusLabel(result.Status)), zap.Int("items", items),
		zap.Int64("bytes", held), zap.Error(result.Cause))
}

// applied updates this node's state with a committed plan.
func (r *Runner) applied(ctx context.Context, p *plan, versions []uint64) {
	if len(versions) != len(p.transaction.Writes) {
		versions = r.readVersions(ctx, p)
	}
	if p.renewsLeases {
		r.leases.Renewed()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range p.parts {
		r.appliedPart(part, versions)
	}
	r.wakeLocked()
}

func (r *Runner) appliedPart(part *planPart, versions []uint64) {
	j := part.job
	for i, update := range part.updates {
		j.versions[update.Number] = versions[part.firstWrite+i]
	}
	j.state.Committed(part.updates)
	for _, group := range part.uploads {
		r.heldResultBytes -= group.bytes
		j.uncommitted -= len(group.items)
		r.metrics.items.Add(float64(len(group.items)))
	}
	for _, wait := range part.intents {
		wait.done <- nil
	}
	if part.completesJob && !j.state.Closed() {
		counts := j.state.Counts()
		r.removeJob(j, true)
		r.metrics.jobs.Inc()
		events.JobCompleted.Log(r.logger, zap.String("job", string(j.header.ID)), zap.String("tenant", string(j.header.Tenant)),
			zap.Int("completed", counts.Completed), zap.Int("failed", counts.Failed), zap.Int("unknown", counts.Unknown))
	}
}

// readVersions reads the versions of the records written by a commit whose answer
// was lost. Only this node writes them while it holds the shard. If it no longer
// holds the shard, its next compare fails.
func (r *Runner) readVersions(ctx context.Context, p *plan) []uint64 {
	versions := make([]uint64, len(p.transaction.Writes))
	for i, write := range p.transaction.Writes {
		for ctx.Err() == nil {
			found, err := r.deps.Store.Get(ctx, write.Key)
			if err == nil {
				versions[i] = found.Version
				break
			}
			wait.For(ctx, jitter(maxCommitBackoff))
		}
	}
	return versions
}

// conflict handles a plan whose compares failed. It drops the shards that were
// lost and the jobs that ended or changed, and requeues the rest for the next plan.
func (r *Runner) conflict(p *plan, conflicts []backend.Record) {
	var lost []int
	var stale []*shardWork
	r.mu.Lock()
	for _, current := range conflicts {
		for _, part := range p.parts {
			j := part.job
			switch {
			case current.Key == j.shard.fence.Compare.Key:
				if r.shards[j.shard.fence.Shard] == j.shard {
					r.dropShard(j.shard)
					lost = append(lost, j.shard.fence.Shard)
				}
			case current.Key == j.fence.Key:
				r.removeJob(j, headerEnded(current))
			case part.writes(current.Key):
				// The record was not written by this holder, so the job is read again.
				r.removeJob(j, false)
				stale = append(stale, j.shard)
			}
		}
	}
	r.requeue(p)
	r.mu.Unlock()
	for _, number := range lost {
		r.leases.Lost(number)
	}
	for _, work := range stale {
		r.requestPoll(work)
	}
}

// headerEnded reports whether the job of a header record has ended or was removed.
func headerEnded(current backend.Record) bool {
	if current.Version == 0 {
		return true
	}
	header, err := record.Decode[record.Job](current.Value)
	return err == nil && header.Ended()
}

// requeue returns the parts of a plan that was not applied to the queues. r.mu is
// held.
func (r *Runner) requeue(p *plan) {
	var uploads []*upload
	var intents []*intentWait
	for _, part := range p.parts {
		uploads = append(uploads, part.uploads...)
		intents = append(intents, part.intents...)
	}
	r.written = append(uploads, r.written...)
	r.intents = append(intents, r.intents...)
}

func statusLabel(status store.Status) string {
	switch status {
	case store.Applied:
		return "applied"
	case store.Conflict:
		return "conflict"
	case store.NotApplied:
		return "not_applied"
	default:
		return "uncertain"
	}
}

// plan is one transaction with the uploads and intents that it commits.
type plan struct {
	transaction  backend.Transaction
	parts        []*planPart
	renewsLeases bool // the last write renews the leases
}

// planPart holds the changes of a plan to one job.
type planPart struct {
	job          *job
	uploads      []*upload
	intents      []*intentWait
	updates      []batch.SegmentUpdate
	completesJob bool
	firstWrite   int // index of the first update's write; the others follow it
}

// writes reports whether the part writes the record.
func (p *planPart) writes(key string) bool {
	for _, update := range p.updates {
		if record.SegmentKey(p.job.header.ID, update.Number) == key {
			return true
		}
	}
	return false
}

// wrote reports whether one of the records was written by this plan's transaction.
func (p *plan) wrote(records []backend.Record) bool {
	for _, current := range records {
		if current.TransactionID == p.transaction.ID {
			return true
		}
	}
	return false
}

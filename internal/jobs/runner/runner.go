// Package runner runs the items of the jobs whose shards this node holds, and
// commits their outcomes. Results are first written as objects. The following
// commit makes them readable and final. It compares the shard's lease and the
// job's header, so an outcome is dropped when another node has claimed the shard
// or the job has ended.
//
// Runner.mu guards all state. No other lock is acquired while it is held, and it
// is not held during calls to the stores or to dispatch.
package runner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/batch"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/dispatch"
	"ringstream.example/ringstream/internal/jobs/blob"
	"ringstream.example/ringstream/internal/jobs/record"
	"ringstream.example/ringstream/internal/jobs/shard"
	"ringstream.example/ringstream/internal/limits"
	"ringstream.example/ringstream/internal/rows"
	"ringstream.example/ringstream/internal/store"
)

// Config bounds a node's batch work.
type Config struct {
	CommitInterval  time.Duration // longest time an outcome waits to share a commit
	CommitItems     int           // outcomes of one job that trigger a commit at once
	HeldResultBytes int64         // uncommitted results in memory at which no further item is started
	InputCacheBytes int64         // loaded input items; a job's next segment is loaded even above it
	MaxRunning      int           // items run concurrently
	PollInterval    time.Duration // average time between reads of all shards' open jobs
	IntentTimeout   time.Duration // longest wait of a send for the commit of its intent
	ResumeAttempts  int           // attempts to learn the outcome of a non-repeatable item
	RepeatAttempts  int           // unanswered attempts after which a repeatable item fails
	StopGrace       time.Duration // time for non-repeatable items to end at a planned stop
	Retention       time.Duration // time from a job's end to its removal
}

// Leases is the part of the lease keeper that the runner uses.
type Leases interface {
	// Lost reports that a compare on a shard's lease failed.
	Lost(shard int)
	// Renewal returns the write with which a transaction renews the leases, and
	// whether a renewal is due. Renewed reports that such a write was committed.
	Renewal() (write backend.Write, due bool)
	Renewed()
}

// Dependencies holds the components that the runner uses.
type Dependencies struct {
	Store  *store.Client
	Blobs  blob.Store
	Batch  dispatch.Batch
	Rows   rows.Source
	Limits limits.Limiter
}

// capacityGroup identifies the items that a slot of the pool and model can run.
type capacityGroup struct{ pool, model string }

// Runner runs jobs. Create it with New and call Run once.
type Runner struct {
	config  Config
	deps    Dependencies
	logger  *zap.Logger
	metrics *metrics

	leases Leases // nil before Bind

	wakeUpload chan struct{} // of capacity 1
	wakeCommit chan struct{} // of capacity 1
	wakePoll   chan struct{} // of capacity 1
	tasks      sync.WaitGroup

	// nonRepeatable is the parent of all jobs' contexts of that name.
	nonRepeatable       context.Context
	cancelNonRepeatable context.CancelFunc

	mu         sync.Mutex
	runContext context.Context // of Run; nil before Run is called
	shards     map[int]*shardWork
	jobs       map[identity.JobID]*job
	// loading holds the jobs that are being read; the value is true for a job
	// that was cancelled meanwhile.
	loading          map[identity.JobID]bool
	scheduler        batch.Scheduler
	groups           map[capacityGroup]*throughput // one goroutine each acquires capacity
	changed          chan struct{}                 // closed and replaced when more items may be runnable
	heldResultBytes  int64                         // size of uncommitted results
	cachedInputBytes int64                         // size of loaded inputs
	runningItems     int
	written          []*upload // objects to be committed
	intents          []*intentWait
}

// shardWork is the state of one held shard.
type shardWork struct {
	fence    shard.Fence
	sequence uint64 // of the last result object
	// context ends when the shard is flushed or lost.
	context context.Context
	cancel  context.CancelFunc
	// listStale is true when the shard's list of open jobs must be read.
	listStale bool
}

// New returns a runner. Bind must be called before Run.
func New(config Config, deps Dependencies, logger *zap.Logger, registerer prometheus.Registerer) *Runner {
	runner := &Runner{
		config: config, deps: deps, logger: logger,
		wakeUpload: make(chan struct{}, 1),
		wakeCommit: make(chan struct{}, 1),
		wakePoll:   make(chan struct{}, 1),
		shards:     make(map[int]*shardWork),
		jobs:       make(map[identity.JobID]*job),
		loading:    make(map[identity.JobID]bool),
		groups:     make(map[capacityGroup]*throughput),
		changed:    make(chan struct{}),
	}
	runner.nonRepeatable, runner.cancelNonRepeatable = context.WithCancel(context.Background())
	runner.metrics = newMetrics(registerer, runner)
	return runner
}

// Bind sets the lease keeper, which New cannot take because the keeper is
// created with the runner.
func (r *Runner) Bind(leases Leases) { r.leases = leases }

// Run runs jobs until the context ends. The lease keeper's Run must have
// returned before that, so that the shards are flushed.
func (r *Runner) Run(ctx context.Context) error {
	r.locked(func() { r.runContext = ctx })
	r.tasks.Go(func() { r.uploadLoop(ctx) })
	r.tasks.Go(func() { r.commitLoop(ctx) })
	r.tasks.Go(func() { r.pollLoop(ctx) })
	r.tasks.Go(func() { r.groupLoop(ctx) })
	<-ctx.Done()
	r.mu.Lock()
	for _, work := range r.shards {
		r.dropShard(work)
	}
	r.mu.Unlock()
	grace := time.AfterFunc(r.config.StopGrace, r.cancelNonRepeatable)
	defer grace.Stop()
	r.tasks.Wait()
	r.cancelNonRepeatable()
	return nil
}

// start runs a task that Run waits for. It returns false when Run has not started
// or its context has ended. r.mu is held.
func (r *Runner) start(task func(ctx context.Context)) bool {
	ctx := r.runContext
	if ctx == nil || ctx.Err() != nil {
		return false
	}
	r.tasks.Go(func() { task(ctx) })
	return true
}

// Acquired implements shard.Worker.
func (r *Runner) Acquired(fences []shard.Fence) {
	if len(fences) == 0 {
		return
	}
	r.locked(func() {
		for _, fence := range fences {
			r.addShard(fence)
		}
	})
	signal(r.wakePoll)
}

// addShard adds a shard and marks its list of open jobs to be read. r.mu is held.
func (r *Runner) addShard(fence shard.Fence) {
	if earlier := r.shards[fence.Shard]; earlier != nil {
		r.dropShard(earlier)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.shards[fence.Shard] = &shardWork{fence: fence, context: ctx, cancel: cancel, listStale: true}
}

// Lost implements shard.Worker.
func (r *Runner) Lost(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if work := r.shards[number]; work != nil {
		r.dropShard(work)
	}
}

// dropShard ends a shard's work without committing anything more. r.mu is held.
func (r *Runner) dropShard(work *shardWork) {
	work.cancel()
	if r.shards[work.fence.Shard] == work {
		delete(r.shards, work.fence.Shard)
	}
	for _, j := range r.jobs {
		if j.shard == work {
			r.removeJob(j, false)
		}
	}
}

// Flush implements shard.Worker. It stops the repeatable items of the shard,
// waits for their tasks, commits what is finished and drops the rest.
// Non-repeatable items continue, because stopping them would lose their outcome;
// the next holder resumes them from their recorded intents.
func (r *Runner) Flush(ctx context.Context, number int) {
	r.mu.Lock()
	work := r.shards[number]
	r.mu.Unlock()
	if work == nil {
		return
	}
	work.cancel()
	const check = 5 * time.Millisecond
	ticker := time.NewTicker(check)
	defer ticker.Stop()
	for !r.flushed(work) {
		signal(r.wakeUpload)
		select {
		case <-ctx.Done():
			r.Lost(number)
			return
		case <-ticker.C:
		}
	}
	r.Lost(number)
}

// flushed reports whether no repeatable item of a shard is running and no outcome
// waits for its upload or commit.
func (r *Runner) flushed(work *shardWork) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.jobs {
		if j.shard == work && (j.repeatableRunning > 0 || len(j.finished) > 0 || j.uncommitted > 0) {
			return false
		}
	}
	return true
}

// Submitted reports that a job was accepted for a shard.
func (r *Runner) Submitted(number int) {
	r.mu.Lock()
	work := r.shards[number]
	r.mu.Unlock()
	if work != nil {
		r.requestPoll(work)
	}
}

// Cancelled stops a job's items. Its cancellation has been committed.
func (r *Runner) Cancelled(id identity.JobID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, reading := r.loading[id]; reading {
		r.loading[id] = true
	}
	if j := r.jobs[id]; j != nil {
		r.removeJob(j, true)
	}
}

// wakeLocked wakes the loops that wait for runnable items. r.mu is held.
func (r *Runner) wakeLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// row returns the row that governs a job now.
func (r *Runner) row(header *record.Job) (policy.Row, bool) {
	return r.deps.Rows.Table().Lookup(string(header.Tenant), header.Model, policy.KindBatch)
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func requestID(id identity.JobID, index int) identity.RequestID {
	return identity.RequestID(fmt.Sprintf("%s-%d", id, index))
}

// Package runner runs the items of the jobs whose shards this node holds, and
// commits their outcomes. Results are written as objects first; the commit that
// follows makes them readable and final, and compares the shard's lease and the
// job's header, so that an outcome is dropped when the shard has changed hands
// or the job has ended.
//
// Runner.mu guards all state. It is taken before no other lock, and is not held
// during calls to the stores or to dispatch.
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
	CommitInterval  time.Duration // the longest that an outcome waits for others
	CommitItems     int           // outcomes that are committed without waiting
	HeldResultBytes int64         // results in memory from which on no item is started
	InputCacheBytes int64         // items in memory that wait to be run
	MaxRunning      int           // items at once
	Poll            time.Duration // between looks at a shard's list of open jobs
	IntentTimeout   time.Duration // that a send waits for its intent's commit
	ResumeAttempts  int           // to learn the outcome of an item that must not run again
	RepeatAttempts  int           // of a repeatable item whose engine does not answer
	StopGrace       time.Duration // for items that must not run again, at a planned stop
	Retention       time.Duration // of an ended job
}

// Leases is what the runner needs of the keeper of leases.
type Leases interface {
	// Lost tells that a compare on a shard's lease failed.
	Lost(shard int)
	// Renewal gives the write by which a transaction renews the leases, if it
	// is due, and Renewed tells that one took effect.
	Renewal() (write backend.Write, due bool)
	Renewed()
}

// Dependencies are what the runner works with.
type Dependencies struct {
	Store  *store.Client
	Blobs  blob.Store
	Batch  dispatch.Batch
	Rows   rows.Source
	Limits limits.Limiter
}

// group is the work that one reservation of capacity can serve.
type group struct{ pool, model string }

// Runner runs jobs. Create it with New and call Run once.
type Runner struct {
	config  Config
	deps    Dependencies
	logger  *zap.Logger
	metrics *metrics

	leases Leases // nil before Bind

	kickUpload chan struct{} // of capacity 1
	kickCommit chan struct{} // of capacity 1
	kickPoll   chan struct{} // of capacity 1
	tasks      sync.WaitGroup

	// once is the parent of all jobs' contexts of that name.
	once       context.Context
	cancelOnce context.CancelFunc

	mu      sync.Mutex
	context context.Context // of Run; nil before
	shards  map[int]*shardWork
	jobs    map[identity.JobID]*job
	// loading holds the jobs that are being read; true: cancelled meanwhile.
	loading   map[identity.JobID]bool
	scheduler batch.Scheduler
	groups    map[group]*progress // with a goroutine that acquires capacity
	changed   chan struct{}       // closed and replaced when more may be runnable
	heldBytes int64               // of results not committed
	cached    int64               // bytes of loaded inputs
	running   int
	ready     []*upload // written objects, to be committed
	intents   []*intentWait
}

// shardWork is the work of one held shard.
type shardWork struct {
	fence    shard.Fence
	sequence uint64 // of result objects
	// context ends when the shard is flushed or lost.
	context context.Context
	cancel  context.CancelFunc
	// unread: its list of open jobs is to be read.
	unread bool
}

// New makes a runner; Bind is called before Run.
func New(config Config, deps Dependencies, logger *zap.Logger, registerer prometheus.Registerer) *Runner {
	runner := &Runner{
		config: config, deps: deps, logger: logger,
		kickUpload: make(chan struct{}, 1),
		kickCommit: make(chan struct{}, 1),
		kickPoll:   make(chan struct{}, 1),
		shards:     make(map[int]*shardWork),
		jobs:       make(map[identity.JobID]*job),
		loading:    make(map[identity.JobID]bool),
		groups:     make(map[group]*progress),
		changed:    make(chan struct{}),
	}
	runner.once, runner.cancelOnce = context.WithCancel(context.Background())
	runner.metrics = newMetrics(registerer, runner)
	return runner
}

// Bind sets the keeper of leases, which itself is made with the runner.
func (r *Runner) Bind(leases Leases) { r.leases = leases }

// Run works until the context ends. The keeper's Run must have ended before,
// so that the shards are flushed.
func (r *Runner) Run(ctx context.Context) error {
	r.locked(func() { r.context = ctx })
	r.tasks.Go(func() { r.uploadLoop(ctx) })
	r.tasks.Go(func() { r.commitLoop(ctx) })
	r.tasks.Go(func() { r.pollLoop(ctx) })
	r.tasks.Go(func() { r.groupLoop(ctx) })
	<-ctx.Done()
	r.mu.Lock()
	for _, work := range r.shards {
		r.drop(work)
	}
	r.mu.Unlock()
	grace := time.AfterFunc(r.config.StopGrace, r.cancelOnce)
	defer grace.Stop()
	r.tasks.Wait()
	r.cancelOnce()
	return nil
}

// start runs a task that Run waits for; false when Run has not begun or has ended.
// r.mu is held.
func (r *Runner) start(task func(ctx context.Context)) bool {
	ctx := r.context
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
			r.acquire(fence)
		}
	})
	signal(r.kickPoll)
}

// acquire has a shard's list of open jobs read. r.mu is held.
func (r *Runner) acquire(fence shard.Fence) {
	if earlier := r.shards[fence.Shard]; earlier != nil {
		r.drop(earlier)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.shards[fence.Shard] = &shardWork{fence: fence, context: ctx, cancel: cancel, unread: true}
}

// Lost implements shard.Worker.
func (r *Runner) Lost(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if work := r.shards[number]; work != nil {
		r.drop(work)
	}
}

// drop ends a shard's work without committing anything more. r.mu is held.
func (r *Runner) drop(work *shardWork) {
	work.cancel()
	if r.shards[work.fence.Shard] == work {
		delete(r.shards, work.fence.Shard)
	}
	for _, j := range r.jobs {
		if j.shard == work {
			r.remove(j, false)
		}
	}
}

// Flush implements shard.Worker: it stops the repeatable items of the shard,
// waits for their tasks, commits what is finished and drops the rest. Items that
// must not be repeated run on, since stopping them would lose their outcome; the
// next holder joins them by their intents.
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
		signal(r.kickUpload)
		select {
		case <-ctx.Done():
			r.Lost(number)
			return
		case <-ticker.C:
		}
	}
	r.Lost(number)
}

// flushed says that nothing of a shard is running, waiting for its upload or
// for its commit.
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

// Submitted tells that a job was accepted for a shard.
func (r *Runner) Submitted(number int) {
	r.mu.Lock()
	work := r.shards[number]
	r.mu.Unlock()
	if work != nil {
		r.poll(work)
	}
}

// Cancelled tells that a job's cancellation was committed: its items stop now.
func (r *Runner) Cancelled(id identity.JobID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, reading := r.loading[id]; reading {
		r.loading[id] = true
	}
	if j := r.jobs[id]; j != nil {
		r.remove(j, true)
	}
}

// wakeLocked tells those who wait that more may be runnable. r.mu is held.
func (r *Runner) wakeLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// row gives the row that governs a job now.
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

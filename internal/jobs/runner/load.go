package runner

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/batch"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/jobs/record"
)

// combinedListMinShards is the number of shards at which one list of all open
// jobs becomes cheaper than one list for each shard.
const combinedListMinShards = 16

// maxParallelReads bounds concurrent reads of shards' open jobs.
const maxParallelReads = 8

// requestPoll marks a shard's list of open jobs as stale and wakes pollLoop.
func (r *Runner) requestPoll(work *shardWork) {
	r.locked(func() { work.listStale = true })
	signal(r.wakePoll)
}

// pollLoop reads lists of open jobs on request. It also reads all of them about
// once every PollInterval, because a message about a submission or cancellation
// may be lost. Failed reads are retried with exponential backoff.
func (r *Runner) pollLoop(ctx context.Context) {
	const initialRetryDelay = time.Second
	retryDelay := r.config.PollInterval
	nextFullPoll := time.Now().Add(r.config.PollInterval)
	for {
		timer := time.NewTimer(retryDelay*3/4 + jitter(retryDelay/2))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.wakePoll:
			timer.Stop()
		case <-timer.C:
		}
		if time.Now().After(nextFullPoll) {
			nextFullPoll = time.Now().Add(r.config.PollInterval*3/4 + jitter(r.config.PollInterval/2))
			r.locked(func() {
				for _, work := range r.shards {
					work.listStale = true
				}
			})
		}
		switch {
		case r.readOpen(ctx):
			retryDelay = r.config.PollInterval
		case retryDelay >= r.config.PollInterval:
			retryDelay = min(initialRetryDelay, r.config.PollInterval)
		default:
			retryDelay = min(2*retryDelay, r.config.PollInterval)
		}
	}
}

// takeStale returns the shards whose lists must be read, with their jobs known
// now, and marks their lists as read.
func (r *Runner) takeStale() map[*shardWork]map[identity.JobID]*job {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := make(map[*shardWork]map[identity.JobID]*job)
	for _, work := range r.shards {
		if work.listStale && work.context.Err() == nil {
			work.listStale = false
			known[work] = make(map[identity.JobID]*job)
		}
	}
	for id, j := range r.jobs {
		if jobs := known[j.shard]; jobs != nil {
			jobs[id] = j
		}
	}
	return known
}

// readOpen reads the stale lists. It returns false when a list could not be read.
func (r *Runner) readOpen(ctx context.Context) bool {
	stale := r.takeStale()
	if len(stale) >= combinedListMinShards {
		return r.readAllOpen(ctx, stale)
	}
	var reads errgroup.Group
	reads.SetLimit(maxParallelReads)
	for work, known := range stale {
		reads.Go(func() error {
			open, err := r.deps.Store.ForPeriodicWork().List(ctx, record.OpenPrefix(work.fence.Shard), "")
			if err != nil {
				r.locked(func() { work.listStale = true })
				return err
			}
			r.reconcile(work, known, open)
			return nil
		})
	}
	return reads.Wait() == nil
}

func (r *Runner) readAllOpen(ctx context.Context, stale map[*shardWork]map[identity.JobID]*job) bool {
	all, err := r.deps.Store.ForPeriodicWork().List(ctx, record.AllOpenPrefix, "")
	if err != nil {
		r.locked(func() {
			for work := range stale {
				work.listStale = true
			}
		})
		return false
	}
	byPrefix := make(map[string][]backend.Record)
	for _, entry := range all {
		prefix := entry.Key[:strings.LastIndexByte(entry.Key, '/')+1]
		byPrefix[prefix] = append(byPrefix[prefix], entry)
	}
	var reads errgroup.Group
	reads.SetLimit(maxParallelReads)
	for work, known := range stale {
		reads.Go(func() error {
			r.reconcile(work, known, byPrefix[record.OpenPrefix(work.fence.Shard)])
			return nil
		})
	}
	return reads.Wait() == nil
}

// reconcile loads the shard's open jobs that are not known yet. It removes those
// that were known before the list was read and are not on it, because they have
// ended.
func (r *Runner) reconcile(work *shardWork, known map[identity.JobID]*job, open []backend.Record) {
	for _, entry := range open {
		id := record.JobOfOpenKey(entry.Key)
		if known[id] != nil {
			delete(known, id)
			continue
		}
		if err := r.load(work, id); err != nil && work.context.Err() == nil {
			events.JobLoadFailed.Log(r.logger, zap.String("job", string(id)), zap.Error(err))
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range known {
		r.removeJob(j, true)
	}
}

// load reads a job's durable state, adds the job and resumes its recorded intents.
func (r *Runner) load(work *shardWork, id identity.JobID) error {
	ctx := work.context
	r.locked(func() { r.loading[id] = false })
	defer r.locked(func() { delete(r.loading, id) })
	found, err := r.deps.Store.Get(ctx, record.JobKey(id))
	if err != nil || found.Version == 0 {
		return err
	}
	header, err := record.Decode[record.Job](found.Value)
	if err != nil || header.Ended() {
		return err
	}
	segments, versions, err := r.readSegments(ctx, &header)
	if err != nil {
		return err
	}
	j := &job{
		header: header, fence: backend.Compare{Key: found.Key, Version: found.Version},
		versions: versions, state: batch.NewJob(segments), shard: work,
		inputs: make(map[int]*input), requeued: make(map[int]itemRun),
	}
	j.context, j.cancel = context.WithCancel(work.context)
	j.nonRepeatable, j.cancelNonRepeatable = context.WithCancel(r.nonRepeatable)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shards[work.fence.Shard] != work || r.jobs[id] != nil || ctx.Err() != nil {
		return nil
	}
	if r.loading[id] {
		return nil // cancelled during the read, which may have returned older state
	}
	r.jobs[id] = j
	r.scheduler.Add(id)
	for _, intended := range j.state.Intents() {
		r.start(func(context.Context) { r.resumeIntent(j, intended) })
	}
	r.wakeLocked()
	return nil
}

func (r *Runner) readSegments(ctx context.Context, header *record.Job) ([]batch.Segment, []uint64, error) {
	stored, err := r.deps.Store.List(ctx, record.SegmentsPrefix(header.ID), "")
	if err != nil {
		return nil, nil, err
	}
	versions := make([]uint64, len(header.Segments))
	segments := make([]batch.Segment, len(header.Segments))
	for number, items := range header.Segments {
		segments[number] = batch.NewSegment(items)
	}
	for _, entry := range stored {
		number, err := record.TrailingNumber(entry.Key)
		if err != nil || number >= len(segments) {
			return nil, nil, fmt.Errorf("segment record %s: unexpected key", entry.Key)
		}
		segments[number], err = record.DecodeSegment(entry.Value, header.Segments[number])
		if err != nil {
			return nil, nil, fmt.Errorf("segment record %s: %w", entry.Key, err)
		}
		versions[number] = entry.Version
	}
	return segments, versions, nil
}

// loadInput starts reading a segment's items when the input cache has capacity
// or the job needs the segment to continue. r.mu is held.
func (r *Runner) loadInput(j *job, number int, needed bool) {
	if number >= j.state.Segments() || j.inputs[number] != nil {
		return
	}
	if r.cachedInputBytes >= r.config.InputCacheBytes && !needed {
		return
	}
	loading := &input{}
	if r.start(func(context.Context) { r.readInput(j, number, loading) }) {
		j.inputs[number] = loading
	}
}

func (r *Runner) readInput(j *job, number int, loading *input) {
	items, size, err := r.fetchInput(j, number)
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.inputs[number] != loading {
		return
	}
	if err != nil {
		delete(j.inputs, number) // read again when the job is next a candidate
		j.notBefore = time.Now().Add(inputRetryDelay)
		if j.context.Err() == nil {
			events.JobLoadFailed.Log(r.logger, zap.String("job", string(j.header.ID)), zap.Error(err))
		}
		return
	}
	loading.items, loading.bytes = items, size
	r.cachedInputBytes += size
	r.wakeLocked()
}

// inputRetryDelay is how long a job waits after its items could not be read.
const inputRetryDelay = 2 * time.Second

func (r *Runner) fetchInput(j *job, number int) ([]record.Item, int64, error) {
	name := record.InputObject(j.header.ID, number)
	body, err := r.deps.Blobs.Get(j.context, name)
	if err != nil {
		return nil, 0, err
	}
	items := make([]record.Item, 0, j.header.Segments[number])
	lines := bufio.NewScanner(bytes.NewReader(body))
	lines.Buffer(nil, len(body)+1)
	for lines.Scan() {
		var item record.Item
		if err := json.Unmarshal(lines.Bytes(), &item); err != nil {
			return nil, 0, fmt.Errorf("object %s: %w", name, err)
		}
		items = append(items, item)
	}
	if len(items) != j.header.Segments[number] {
		return nil, 0, fmt.Errorf("object %s: %d items, want %d", name, len(items), j.header.Segments[number])
	}
	return items, int64(len(body)), nil
}

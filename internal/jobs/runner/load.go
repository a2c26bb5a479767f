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

// listFrom is the number of shards from which on one list of all open jobs is
// cheaper than one for each shard.
const listFrom = 16

// loads bounds the reads at once.
const loads = 8

// poll has a shard's list of open jobs read soon.
func (r *Runner) poll(work *shardWork) {
	r.locked(func() { work.unread = true })
	signal(r.kickPoll)
}

// pollLoop reads lists of open jobs: when asked, and now and then all of them,
// in case the word of a submission or of a cancellation was lost. Lists that
// could not be read are asked for again, ever more seldom.
func (r *Runner) pollLoop(ctx context.Context) {
	const soon = time.Second
	again := r.config.Poll
	all := time.Now().Add(r.config.Poll)
	for {
		timer := time.NewTimer(again*3/4 + jitter(again/2))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.kickPoll:
			timer.Stop()
		case <-timer.C:
		}
		if time.Now().After(all) {
			all = time.Now().Add(r.config.Poll*3/4 + jitter(r.config.Poll/2))
			r.locked(func() {
				for _, work := range r.shards {
					work.unread = true
				}
			})
		}
		switch {
		case r.readOpen(ctx):
			again = r.config.Poll
		case again >= r.config.Poll:
			again = min(soon, r.config.Poll)
		default:
			again = min(2*again, r.config.Poll)
		}
	}
}

// unread takes the shards whose lists are to be read, with their jobs known now.
func (r *Runner) unread() map[*shardWork]map[identity.JobID]*job {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := make(map[*shardWork]map[identity.JobID]*job)
	for _, work := range r.shards {
		if work.unread && work.context.Err() == nil {
			work.unread = false
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

// readOpen reads the lists that are to be read; false when one could not be.
func (r *Runner) readOpen(ctx context.Context) bool {
	unread := r.unread()
	if len(unread) >= listFrom {
		return r.readAllOpen(ctx, unread)
	}
	var reads errgroup.Group
	reads.SetLimit(loads)
	for work, known := range unread {
		reads.Go(func() error {
			open, err := r.deps.Store.Patient().List(ctx, record.OpenPrefix(work.fence.Shard), "")
			if err != nil {
				r.locked(func() { work.unread = true })
				return err
			}
			r.reconcile(work, known, open)
			return nil
		})
	}
	return reads.Wait() == nil
}

func (r *Runner) readAllOpen(ctx context.Context, unread map[*shardWork]map[identity.JobID]*job) bool {
	all, err := r.deps.Store.Patient().List(ctx, record.AllOpenPrefix, "")
	if err != nil {
		r.locked(func() {
			for work := range unread {
				work.unread = true
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
	reads.SetLimit(loads)
	for work, known := range unread {
		reads.Go(func() error {
			r.reconcile(work, known, byPrefix[record.OpenPrefix(work.fence.Shard)])
			return nil
		})
	}
	return reads.Wait() == nil
}

// reconcile loads the shard's open jobs that are not known yet, and drops those
// that were known before the list was read and are not on it: they have ended.
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
		r.remove(j, true)
	}
}

// load reads a job's durable state and starts it.
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
		inputs: make(map[int]*input), kept: make(map[int]unit),
	}
	j.context, j.cancel = context.WithCancel(work.context)
	j.once, j.cancelOnce = context.WithCancel(r.once)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shards[work.fence.Shard] != work || r.jobs[id] != nil || ctx.Err() != nil {
		return nil
	}
	if r.loading[id] {
		return nil // cancelled while it was read: what was read may be older
	}
	r.jobs[id] = j
	r.scheduler.Joined(id)
	for _, intended := range j.state.Intents() {
		r.start(func(context.Context) { r.rejoin(j, intended) })
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
		number, err := record.SegmentNumber(entry.Key)
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

// loadInput starts reading a segment's items, when there is room or when the
// job could not go on without. r.mu is held.
func (r *Runner) loadInput(j *job, number int, needed bool) {
	if number >= j.state.Segments() || j.inputs[number] != nil {
		return
	}
	if r.cached >= r.config.InputCacheBytes && !needed {
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
		delete(j.inputs, number) // asked for again at the next pick
		j.notBefore = time.Now().Add(loadPause)
		if j.context.Err() == nil {
			events.JobLoadFailed.Log(r.logger, zap.String("job", string(j.header.ID)), zap.Error(err))
		}
		return
	}
	loading.items, loading.bytes = items, size
	r.cached += size
	r.wakeLocked()
}

// loadPause is how long a job waits after its items could not be read.
const loadPause = 2 * time.Second

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

package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/batch"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/jobs/record"
	"ringstream.example/ringstream/internal/wait"
)

// upload is a group of one job's outcomes in one result object.
type upload struct {
	job       *job
	reference batch.Reference
	items     []finishedItem
	bytes     int64
}

// uploadLoop writes outcomes in groups. The outcomes of one job from one commit
// interval share an object.
func (r *Runner) uploadLoop(ctx context.Context) {
	ticker := time.NewTicker(r.config.CommitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.wakeUpload:
		}
		r.mu.Lock()
		for _, j := range r.jobs {
			r.startUpload(j)
		}
		r.mu.Unlock()
	}
}

// startUpload starts writing a job's outcomes. Each job writes one object at a
// time, so that outcomes that arrive meanwhile are grouped. r.mu is held.
func (r *Runner) startUpload(j *job) {
	if j.uploading || len(j.finished) == 0 {
		return
	}
	work := j.shard
	work.sequence++
	group := &upload{job: j, items: j.finished, reference: batch.Reference{Epoch: work.fence.Epoch, Sequence: work.sequence}}
	for _, item := range group.items {
		group.bytes += item.bytes()
	}
	if !r.start(func(ctx context.Context) { r.write(ctx, group) }) {
		return
	}
	j.finished, j.uploading = nil, true
	j.uncommitted += len(group.items)
}

func (r *Runner) write(ctx context.Context, group *upload) {
	name := record.ResultObject(group.job.header.ID, group.reference)
	err := r.deps.Blobs.Put(ctx, name, encodeResults(group.items))
	if err == nil {
		r.metrics.objects.Inc()
		r.mu.Lock()
		group.job.uploading = false
		r.written = append(r.written, group)
		r.mu.Unlock()
		signal(r.wakeCommit)
		return
	}
	events.CommitDelayed.Log(r.logger, zap.String("status", "object not written"), zap.Int("items", len(group.items)),
		zap.Int64("bytes", group.bytes), zap.Error(err))
	wait.For(ctx, jitter(uploadRetryDelay))
	r.mu.Lock()
	defer r.mu.Unlock()
	j := group.job
	j.uploading = false
	if j.state.Closed() {
		r.heldResultBytes -= group.bytes
		return
	}
	j.uncommitted -= len(group.items)
	j.finished = append(group.items, j.finished...)
}

// uploadRetryDelay is the maximum delay after a write whose retries all failed.
const uploadRetryDelay = 2 * time.Second

func encodeResults(items []finishedItem) []byte {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false)
	for _, item := range items {
		_ = encoder.Encode(item.result) // writes to a buffer do not fail, and a Result always encodes
	}
	return body.Bytes()
}

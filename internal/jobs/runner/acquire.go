package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/batch"
	"ringstream.example/ringstream/internal/dispatch"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/wait"
)

// groupCheckInterval is the interval at which the runner checks the rows for new
// pools and the jobs for deadlines at risk.
const groupCheckInterval = time.Second

// groupLoop starts one goroutine for each pool and model that has work.
func (r *Runner) groupLoop(ctx context.Context) {
	ticker := time.NewTicker(groupCheckInterval)
	defer ticker.Stop()
	for {
		r.mu.Lock()
		r.startGroups()
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			r.mu.Lock()
			r.updateForecasts(time.Now())
			r.mu.Unlock()
		}
	}
}

// startGroups starts acquiring capacity for new groups. r.mu is held.
func (r *Runner) startGroups() {
	for _, j := range r.jobs {
		row, found := r.row(&j.header)
		if !found {
			if !j.missingRowLogged {
				j.missingRowLogged = true
				events.JobNoRow.Log(r.logger, zap.String("job", string(j.header.ID)),
					zap.String("tenant", string(j.header.Tenant)), zap.String("model", j.header.Model))
			}
			continue
		}
		key := capacityGroup{pool: row.Pool, model: j.header.Model}
		if r.groups[key] == nil {
			r.groups[key] = &throughput{}
			r.start(func(ctx context.Context) { r.acquireLoop(ctx, key) })
		}
	}
}

// acquireLoop acquires idle capacity and only then chooses the item to run on it.
func (r *Runner) acquireLoop(ctx context.Context, key capacityGroup) {
	const acquireRetryDelay = 200 * time.Millisecond
	for ctx.Err() == nil {
		if !r.awaitWork(ctx, key) {
			continue
		}
		slot, err := r.deps.Batch.Acquire(ctx, key.pool, key.model)
		if err != nil {
			wait.For(ctx, acquireRetryDelay)
			continue
		}
		if !r.startItem(slot, key) {
			slot.Release()
		}
	}
}

// awaitWork reports whether an item of the group can run now. If not, it first
// waits for a change or for the next check.
func (r *Runner) awaitWork(ctx context.Context, key capacityGroup) bool {
	const recheckInterval = 250 * time.Millisecond
	r.mu.Lock()
	ready := r.runningItems < r.config.MaxRunning && r.heldResultBytes < r.config.HeldResultBytes && len(r.candidates(key)) > 0
	changed := r.changed
	r.mu.Unlock()
	if ready {
		return true
	}
	timer := time.NewTimer(recheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
	return false
}

// startItem picks an item for the slot and starts it. It returns false, and leaves
// the slot to the caller, when no item is ready any more or the runner has stopped.
func (r *Runner) startItem(slot dispatch.Slot, key capacityGroup) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ready := r.candidates(key)
	choices := make([]batch.Candidate, len(ready))
	for i, j := range ready {
		choices[i] = r.candidate(j, r.groups[key])
	}
	chosen := r.scheduler.Pick(time.Now(), choices)
	if chosen < 0 {
		return false
	}
	j := ready[chosen]
	next, found := r.takeNext(j)
	if !found {
		return false
	}
	if !r.start(func(context.Context) { r.execute(slot, next) }) {
		j.state.Requeue(next.index)
		j.requeued[next.index] = next
		return false
	}
	r.runningItems++
	if next.repeatable() {
		j.repeatableRunning++
	}
	return true
}

// candidates returns the group's jobs whose next item is loaded, and starts
// loading the next item of the others. r.mu is held.
func (r *Runner) candidates(key capacityGroup) []*job {
	now := time.Now()
	var ready []*job
	for _, j := range r.jobs {
		if j.shard.context.Err() != nil || now.Before(j.notBefore) {
			continue
		}
		row, found := r.row(&j.header)
		if !found || row.Pool != key.pool || j.header.Model != key.model {
			continue
		}
		index, found := j.state.Next()
		if !found {
			continue
		}
		if _, ran := j.requeued[index]; ran || r.prefetch(j) {
			ready = append(ready, j)
		}
	}
	return ready
}

// prefetch starts loading the segment of the job's next fresh item and the
// segment after it. It reports whether the first is loaded. r.mu is held.
func (r *Runner) prefetch(j *job) bool {
	index, found := j.state.NextFresh()
	if !found {
		return false
	}
	number, _ := j.state.Locate(index)
	r.loadInput(j, number, true)
	r.loadInput(j, number+1, false)
	loaded := j.inputs[number]
	return loaded != nil && loaded.items != nil
}

func (r *Runner) candidate(j *job, group *throughput) batch.Candidate {
	weight := 1
	if row, found := r.row(&j.header); found {
		weight = max(1, row.Weight)
	}
	return batch.Candidate{
		Job: j.header.ID, Deadline: j.header.Deadline,
		RemainingWork: group.expectedDuration(j.remaining()), Weight: weight,
	}
}

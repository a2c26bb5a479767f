package runner

import (
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/batch"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/events"
)

// throughput measures how fast a group's items end on this node. Older
// observations have exponentially decreasing weight.
type throughput struct {
	endedItems     int // since the last observation
	since          time.Time
	items          float64
	seconds        float64
	itemsPerSecond float64 // 0 while unknown
}

// observationDecay is the factor applied to past observations at each new one.
const observationDecay = 0.95

// observe adds the time since the last observation if the group had work.
func (t *throughput) observe(now time.Time, busy bool) {
	elapsed := now.Sub(t.since).Seconds()
	if !t.since.IsZero() && busy && elapsed > 0 {
		t.items = observationDecay*t.items + float64(t.endedItems)
		t.seconds = observationDecay*t.seconds + elapsed
		t.itemsPerSecond = t.items / t.seconds
	}
	t.since, t.endedItems = now, 0
}

// expectedDuration estimates how long the items take; 0 while the rate is unknown.
func (t *throughput) expectedDuration(items int) time.Duration {
	if t == nil || t.itemsPerSecond <= 0 {
		return 0
	}
	const maxExpected = 365 * 24 * time.Hour
	return time.Duration(min(float64(items)/t.itemsPerSecond*float64(time.Second), float64(maxExpected)))
}

// updateForecasts updates rates and logs deadlines at risk. r.mu is held.
func (r *Runner) updateForecasts(now time.Time) {
	busy := make(map[capacityGroup]bool)
	for _, j := range r.jobs {
		if row, found := r.row(&j.header); found {
			busy[capacityGroup{pool: row.Pool, model: j.header.Model}] = true
		}
	}
	for key, rate := range r.groups {
		rate.observe(now, busy[key])
	}
	for id, finish := range r.forecasts(now) {
		j := r.jobs[id]
		if j.deadlineWarned || j.header.Deadline.IsZero() || !finish.After(j.header.Deadline) {
			continue
		}
		j.deadlineWarned = true
		r.metrics.atRisk.Inc()
		events.JobAtRisk.Log(r.logger, zap.String("job", string(id)), zap.String("tenant", string(j.header.Tenant)),
			zap.Time("deadline", j.header.Deadline), zap.Time("expected_finish", finish))
	}
}

// forecasts returns the expected finish of each job whose group's rate is known.
// r.mu is held.
func (r *Runner) forecasts(now time.Time) map[identity.JobID]time.Time {
	byGroup := make(map[capacityGroup][]batch.Candidate)
	for _, j := range r.jobs {
		row, found := r.row(&j.header)
		if !found {
			continue
		}
		key := capacityGroup{pool: row.Pool, model: j.header.Model}
		if rate := r.groups[key]; rate != nil && rate.itemsPerSecond > 0 {
			byGroup[key] = append(byGroup[key], r.candidate(j, rate))
		}
	}
	finish := make(map[identity.JobID]time.Time)
	for _, candidates := range byGroup {
		for id, at := range batch.Forecast(now, candidates) {
			finish[id] = at
		}
	}
	return finish
}

// ExpectedFinish returns a job's expected finish; false when the job does not run
// on this node or has no forecast yet.
func (r *Runner) ExpectedFinish(id identity.JobID) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	finish, found := r.forecasts(time.Now())[id]
	return finish, found
}

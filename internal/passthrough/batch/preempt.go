package batch

import (
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/events"
)

// reasonOnlineWork is the logged reason for a preemption.
const reasonOnlineWork = "online work needs its slot"

// Preempt preempts the run that was granted a slot under the given request id, because online work
// needs the slot. The events received so far are kept.
func (s *Service) Preempt(requestID uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stopped := false
	s.eachRun(func(job *ownedJob, index int) {
		if slot := job.work[index].slot; !stopped && slot != nil && slot.ID() == requestID {
			stopped = true
			s.stopRun(job, index, reasonOnlineWork)
		}
	})
	if !stopped {
		events.NothingToPreempt.Log(s.Logger, zap.Uint64("ask", requestID))
	}
}

// eachRun calls a function for each run that can be stopped. The caller holds Service.mu.
func (s *Service) eachRun(do func(job *ownedJob, index int)) {
	for _, job := range s.owned {
		for index := range job.work {
			if job.work[index].cancelRun != nil {
				do(job, index)
			}
		}
	}
}

// stopRun stops one run. The caller holds Service.mu. The slot is freed at once, since the engine
// drops the run as soon as it sees the connection close.
func (s *Service) stopRun(job *ownedJob, index int, why string) {
	work := &job.work[index]
	events.ItemPreempted.Log(s.Logger, zap.String("job", job.id), zap.String("request", job.itemIDs[index]), zap.Stringer("engine", work.engine),
		zap.Int("events_kept", work.text.events), zap.String("why", why))
	work.cancelRun()
	work.cancelRun = nil
	work.preemptedAt = time.Now()
	if work.slot != nil {
		work.slot.End(enginechoice.Abandoned, false)
	}
}

// deadline returns the time, on the store's clock, by which the job's results are due.
func (j *ownedJob) deadline() time.Duration { return j.record.AcceptedAt + j.record.Due }

// maxLateFactor is the multiple of a job's time to its deadline after which late items are no
// longer postponed. Under lasting load they would never run otherwise.
const maxLateFactor = 2

// missesDeadline reports whether an item with the given remaining run time will miss its deadline,
// and may be postponed in favor of others.
func (j *ownedJob) missesDeadline(storeNow, remaining time.Duration) bool {
	if j.record.Due <= 0 || storeNow > j.record.AcceptedAt+maxLateFactor*j.record.Due {
		return false
	}
	return storeNow+remaining > j.deadline()
}

package batch

import (
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/events"
)

// Why a run is stopped, for the log.
const yieldsToOnline = "online work needs its slot"

// Stop ends the run that has a slot, given by its ask: online work needs it. What
// came of its text is kept.
func (s *Service) Stop(ask uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stopped := false
	s.eachRun(func(job *ownedJob, index int) {
		if slot := job.work[index].slot; !stopped && slot != nil && slot.ID() == ask {
			stopped = true
			s.stopRun(job, index, yieldsToOnline)
		}
	})
	if !stopped {
		events.NothingToPreempt.Log(s.Logger, zap.Uint64("ask", ask))
	}
}

// eachRun calls a function for each run that can be stopped; the caller holds
// Service.mu.
func (s *Service) eachRun(do func(job *ownedJob, index int)) {
	for _, job := range s.owned {
		for index := range job.work {
			if job.work[index].yield != nil {
				do(job, index)
			}
		}
	}
}

// stopRun stops one run; the caller holds Service.mu. It counts as ended at
// once: the engine drops it as soon as it sees the connection close.
func (s *Service) stopRun(job *ownedJob, index int, why string) {
	work := &job.work[index]
	events.ItemYields.Log(s.Logger, zap.String("job", job.id), zap.String("request", job.itemIDs[index]), zap.Stringer("engine", work.engine),
		zap.Int("events_kept", work.text.events), zap.String("why", why))
	work.yield()
	work.yield = nil
	work.yieldedAt = time.Now()
	if work.slot != nil {
		work.slot.End(enginechoice.Abandoned, false)
	}
}

// due is when the job's results are due, on the store's clock.
func (j *ownedJob) due() time.Duration { return j.record.AcceptedAt + j.record.Due }

// lateMost is how many times a job's due time has to pass until its late items
// are no longer put back: under lasting load they would never run.
const lateMost = 2

// isLate says whether an item that needs so much more time will miss what it
// is due at, and may be put back for others.
func (j *ownedJob) isLate(storeNow, needs time.Duration) bool {
	if j.record.Due <= 0 || storeNow > j.record.AcceptedAt+lateMost*j.record.Due {
		return false
	}
	return storeNow+needs > j.due()
}

package batch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/events"
)

// Why a run is stopped, for the log.
const (
	yieldsToOnline = "online work needs its slot"
	yieldsToPeer   = "online work of another node needs its slot"
	yieldsToTimely = "it will be late, and others need not be"
)

// lateKeep is what a run that will be late may still take, to go on all the
// same.
const lateKeep = 1500 * time.Millisecond

// makeRoom stops runs at engines where batch work keeps online work waiting.
func (s *Service) makeRoom() {
	var crowds []enginechoice.Crowd
	s.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		set.TrackOnline(now)
		crowds = set.Crowded(now, rand.Float64)
	})
	for _, crowd := range crowds {
		s.Yield(crowd.Engine, crowd.Yield)
	}
}

// Yield stops some of this node's runs at an engine: those that will be late
// first, then those due last. What came of their texts is kept. It gives the
// number stopped.
func (s *Service) Yield(engine string, count int) int {
	return s.yieldRuns(engine, count, yieldsToOnline)
}

// YieldTo stops one run at an engine for a request of another node.
func (s *Service) YieldTo(engine, peer string) {
	if s.yieldRuns(engine, 1, yieldsToPeer) == 0 {
		events.NothingToPreempt.Log(s.Logger, zap.String("engine", engine), zap.String("peer", peer))
	}
}

func (s *Service) yieldRuns(engine string, count int, why string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	storeNow := s.storeTime()
	var runs []candidate
	s.eachRun(func(job *ownedJob, index int) {
		work := &job.work[index]
		if work.engine == engine {
			runs = append(runs, candidate{job: job, index: index, due: job.due(), late: job.isLate(storeNow, s.forecast.remaining(work.text.events))})
		}
	})
	slices.SortFunc(runs, func(a, b candidate) int {
		return cmp.Or(compareBool(b.late, a.late), cmp.Compare(b.due, a.due))
	})
	runs = runs[:min(count, len(runs))]
	for _, run := range runs {
		s.stopRun(run.job, run.index, why)
	}
	return len(runs)
}

// stopLate stops the run that would be late and take longest, where items wait
// that can be in time, here or at other nodes.
func (s *Service) stopLate() {
	timely := slices.ContainsFunc(s.candidates(), func(c candidate) bool { return !c.late })
	s.mu.Lock()
	defer s.mu.Unlock()
	if !timely && len(s.rivals) == 0 {
		return
	}
	storeNow := s.storeTime()
	var longest candidate
	most := lateKeep
	s.eachRun(func(job *ownedJob, index int) {
		remaining := s.forecast.remaining(job.work[index].text.events)
		if job.isLate(storeNow, remaining) && remaining > most {
			longest, most = candidate{job: job, index: index}, remaining
		}
	})
	if longest.job != nil {
		s.stopRun(longest.job, longest.index, yieldsToTimely)
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
	events.ItemYields.Log(s.Logger, zap.String("job", job.id), zap.String("request", job.itemIDs[index]), zap.String("engine", work.engine),
		zap.Int("events_kept", work.text.events), zap.String("why", why))
	work.yield()
	work.yield = nil
	work.yieldedAt = time.Now()
	s.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		set.Finish(work.engine, work.counted, enginechoice.Abandoned, now)
	})
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

package batch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/wait"
)

// Leave hands over all jobs. It stops their runs, saves the texts in the store and releases the
// jobs for other nodes to claim. It returns when that is done or ctx ends. Jobs that could not be
// written are claimed once the other nodes consider this node dead.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	started := time.Now()
	jobs := s.ownedJobs()
	done := make(chan struct{}, len(jobs))
	for _, job := range jobs {
		go func() {
			s.handOver(ctx, job)
			done <- struct{}{}
		}()
	}
	for range jobs {
		<-done
	}
	events.JobsHandedOver.Log(s.Logger, zap.Int("jobs", len(jobs)), zap.Int("left", len(s.ownedJobs())), zap.Duration("elapsed", time.Since(started)))
}

// handOverPollInterval is the pause between two checks whether a transaction or a run has ended.
const handOverPollInterval = 10 * time.Millisecond

// handOver writes the pending changes and the texts of one job, then releases it.
func (s *Service) handOver(ctx context.Context, job *ownedJob) {
	s.stopRuns(ctx, job)
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			wait.For(ctx, handOverPollInterval)
		}
		s.mu.Lock()
		mine := s.owned[job.id] == job
		busy := job.writing
		next, hasChange := s.nextChange(job)
		rows, _ := s.gatherProgress(job, 1)
		if !mine || busy {
			s.mu.Unlock()
			if !mine {
				return
			}
			continue
		}
		if hasChange {
			s.mu.Unlock()
			s.flush(job)
			continue
		}
		job.writing = true
		next.record.Release()
		version := job.version
		s.mu.Unlock()
		result, err := s.writeRecord(ctx, passthrough.Transaction{Put: rows}, next.record, version)
		events.JobReleased.Log(s.Logger, zap.String("job", next.record.ID), zap.Bool("applied", result.applied), zap.Int64("epoch", next.record.Epoch), zap.Int("rows_of_progress", len(rows)), zap.Error(err))
		mine = err == nil && !result.applied && s.resumeFromCurrent(job, result.current)
		s.mu.Lock()
		job.writing = false
		s.mu.Unlock()
		if mine {
			continue
		}
		s.drop(job, "handed over")
		return
	}
}

// stopRuns stops the runs of a job, and waits for them to end.
func (s *Service) stopRuns(ctx context.Context, job *ownedJob) {
	s.mu.Lock()
	job.cancelRuns()
	s.mu.Unlock()
	for ctx.Err() == nil {
		s.mu.Lock()
		running := false
		for index := range job.work {
			running = running || job.work[index].running
		}
		s.mu.Unlock()
		if !running {
			return
		}
		wait.For(ctx, handOverPollInterval)
	}
}

// releaseWhileLeaving releases a job that was accepted or claimed while the node leaves.
func (s *Service) releaseWhileLeaving(record passjob.Record, version int64) {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	record.Release()
	result, err := s.writeRecord(ctx, passthrough.Transaction{}, record, version)
	events.JobReleased.Log(s.Logger, zap.String("job", record.ID), zap.Bool("applied", result.applied), zap.Int64("epoch", record.Epoch), zap.Int("rows_of_progress", 0), zap.Error(err))
}

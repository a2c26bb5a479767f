package batch

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
)

// Each further node in the ranking for a job waits one more claimRankDelay before it claims the
// job, so that claims rarely conflict.
const (
	claimRankDelay = 300 * time.Millisecond
	maxClaimRank   = 8 // nodes beyond this rank wait equally long
	// ownJobClaimDelay is how long a job may belong to this node in the store without being in
	// memory. The store's feed lags behind a job that has just been finished.
	ownJobClaimDelay  = 600 * time.Millisecond
	ownershipInterval = 120 * time.Millisecond
)

// A node that has just started paces its claims. Machines that start together become ready some
// seconds apart when they are busy, and the first one, which knows no other node, would claim all jobs.
const (
	startupClaimPeriod = 4 * time.Second        // after StartupDelay
	startupClaimPause  = 150 * time.Millisecond // between two claims
)

// claimThrottled reports whether this node started recently and has just claimed a job.
func (s *Service) claimThrottled(now time.Time) bool {
	early := now.Sub(s.started) < s.config.StartupDelay+startupClaimPeriod
	return early && now.Sub(s.lastClaimAt) < startupClaimPause
}

// maintainOwnership drops jobs that have ended or belong to another node, and claims jobs without a
// live owner. A node that has just started claims nothing yet: when all nodes start at once, the
// first would claim all jobs, since it knows no other node.
func (s *Service) maintainOwnership(ctx context.Context) error {
	timer := time.NewTimer(ownershipInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-s.view.wake:
		}
		timer.Reset(s.loopInterval(ownershipInterval, s.hasOwnershipWork()))
		s.suspensionWatch.Check()
		s.learnCrashes()
		s.dropLostJobs()
		s.mu.Lock()
		leaving := s.leaving
		s.mu.Unlock()
		if !leaving && !s.stale() && s.settled(time.Now()) {
			s.claimOrphans(ctx)
		}
	}
}

// hasOwnershipWork reports whether this node owns jobs or has seen jobs without a live owner.
func (s *Service) hasOwnershipWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.owned)+len(s.orphans) > 0
}

// dropLostJobs drops jobs that have ended or are owned by another node according to their rows.
func (s *Service) dropLostJobs() {
	for _, job := range s.ownedJobs() {
		seen, found := s.view.job(job.id)
		s.mu.Lock()
		newer := found && seen.version > job.version && !job.writing
		s.mu.Unlock()
		switch {
		case found && seen.record.Ended && seen.record.Epoch >= job.epoch:
			s.drop(job, "the job was ended")
		case newer && (seen.record.Owner != s.Self || seen.record.Epoch != job.epoch):
			s.drop(job, "another node owns it")
		}
	}
}

func (s *Service) claimOrphans(ctx context.Context) {
	now := time.Now()
	fleet := s.currentFleet(now)
	for _, known := range s.view.all() {
		id := known.record.ID
		s.mu.Lock()
		_, owned := s.owned[id]
		ownInStore := known.record.Owner == s.Self
		orphan := known.record.Active() && !owned && s.submitting[id] == 0 && (ownInStore || !fleet.live[known.record.Owner])
		if !orphan {
			delete(s.orphans, id)
			s.mu.Unlock()
			continue
		}
		orphanSince, alreadySeen := s.orphans[id]
		if !alreadySeen {
			orphanSince = now
			s.orphans[id] = now
		}
		s.mu.Unlock()
		if now.Sub(orphanSince) >= s.claimDelay(known.record, fleet) && !s.claimThrottled(time.Now()) {
			s.lastClaimAt = time.Now()
			s.claim(ctx, known, fleet.dead[known.record.Owner])
		}
	}
}

// claimDelay returns how long a job must have been without a live owner before this node claims it.
// An owner that is not known yet may have just started, so it is given the node timeout first.
func (s *Service) claimDelay(record passjob.Record, fleet fleetSnapshot) time.Duration {
	pause := time.Duration(min(fleet.rank(record.ID, s.Self), maxClaimRank)) * claimRankDelay
	switch {
	case record.Owner == s.Self:
		return ownJobClaimDelay
	case record.Owner != "" && fleet.dead[record.Owner] == "" && fleet.allWatched:
		return pause + s.config.DeadAfter
	case record.Owner != "" && fleet.dead[record.Owner] == "":
		return pause + s.nodeTimeout()
	default:
		return pause
	}
}

// claim takes over a job under a new epoch. The compare on the row's version lets one node win.
func (s *Service) claim(ctx context.Context, known jobEntry, why string) {
	record := known.record.Clone()
	former := record.Owner
	record.Claim(s.Self)
	call, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	result, err := s.writeRecord(call, passthrough.Transaction{}, record, known.version)
	s.metrics.claims.WithLabelValues(strconv.FormatBool(result.applied)).Inc()
	events.JobClaimed.Log(s.Logger, zap.String("job", record.ID), zap.Bool("won", result.applied), zap.Int64("epoch", record.Epoch),
		zap.String("former", former), zap.String("why", why), zap.Int("listed", record.Listed), zap.Int("items", len(record.Items)), zap.Error(err))
	s.mu.Lock()
	delete(s.orphans, record.ID)
	s.mu.Unlock()
	if err != nil {
		return
	}
	if !result.applied {
		if _, row, found := currentRecord(result.current, record.ID); found {
			s.learn(row)
		}
		return
	}
	s.adopt(record, result.version, nil)
}

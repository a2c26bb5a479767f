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

// Each further node waits this much longer before it claims a job, so that
// claims seldom meet.
const (
	claimStep  = 300 * time.Millisecond
	claimRanks = 8 // beyond these, nodes wait alike
	// ownClaim is how long a job may be this node's in the store and not in
	// memory: the store's feed lags behind a job that has just been finished.
	ownClaim  = 600 * time.Millisecond
	tendEvery = 120 * time.Millisecond
)

// A node that has just started takes jobs over one after another: machines that start together
// do so some seconds apart when they are busy, and the first knew no other. It took 17 to 24 of
// 24 jobs in 15 of 48 starts of three nodes on a busy machine.
const (
	earlyClaims = 4 * time.Second        // after SettleFor
	earlyPause  = 150 * time.Millisecond // between two claims
)

// claimsSlowly says whether this node, having started lately, has just claimed a job.
func (s *Service) claimsSlowly(now time.Time) bool {
	early := now.Sub(s.started) < s.config.SettleFor+earlyClaims
	return early && now.Sub(s.claimedAt) < earlyPause
}

// tend lets go of jobs that are another's or have ended, and claims those
// that have no live owner. A node that has just started claims nothing yet: when
// all start at once, the first would take all jobs, since it knows no other.
func (s *Service) tend(ctx context.Context) error {
	timer := time.NewTimer(tendEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-s.view.wake:
		}
		timer.Reset(s.pauseWhile(tendEvery, s.tends()))
		s.watch.Look()
		s.learnCrashes()
		s.letGo()
		s.mu.Lock()
		leaving := s.leaving
		s.mu.Unlock()
		if !leaving && !s.blind() && s.settled(time.Now()) {
			s.claimOrphans(ctx)
		}
	}
}

// tends says whether this node owns jobs, or has seen some without a live owner.
func (s *Service) tends() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.owned)+len(s.orphans) > 0
}

// letGo drops jobs whose row says that they are no longer this node's.
func (s *Service) letGo() {
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
	seen := s.lookAtNodes(now)
	for _, known := range s.view.all() {
		id := known.record.ID
		s.mu.Lock()
		_, mine := s.owned[id]
		own := known.record.Owner == s.Self
		orphan := known.record.Active() && !mine && s.taking[id] == 0 && (own || !seen.live[known.record.Owner])
		if !orphan {
			delete(s.orphans, id)
			s.mu.Unlock()
			continue
		}
		since, noted := s.orphans[id]
		if !noted {
			since = now
			s.orphans[id] = now
		}
		s.mu.Unlock()
		if now.Sub(since) >= s.claimPause(known.record, seen) && !s.claimsSlowly(time.Now()) {
			s.claimedAt = time.Now()
			s.claim(ctx, known, seen.dead[known.record.Owner])
		}
	}
}

// claimPause is how long a job has to be seen without a live owner before this
// node claims it. An owner of whom nothing was heard may have just started.
func (s *Service) claimPause(record passjob.Record, seen fleet) time.Duration {
	pause := time.Duration(min(seen.rank(record.ID, s.Self), claimRanks)) * claimStep
	switch {
	case record.Owner == s.Self:
		return ownClaim
	case record.Owner != "" && seen.dead[record.Owner] == "" && seen.watched:
		return pause + s.config.DeadAfter
	case record.Owner != "" && seen.dead[record.Owner] == "":
		return pause + s.deadAfter()
	default:
		return pause
	}
}

// claim takes a job over under a new epoch; the compare lets one node win.
func (s *Service) claim(ctx context.Context, known entry, why string) {
	record := known.record.Clone()
	former := record.Owner
	record.Claim(s.Self)
	call, cancel := context.WithTimeout(ctx, callTime)
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

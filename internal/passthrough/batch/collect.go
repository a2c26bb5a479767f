package batch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/wait"
)

const (
	collectInterval        = 5 * time.Second
	maxRemovedRows         = 90 // in one transaction
	deadHeartbeatRetention = time.Minute
)

// collect removes what is no longer needed until ctx ends: jobs that are not open and past their
// retention, heartbeat rows of nodes that have been dead for long, and expired rows with crashes.
func (s *Service) collect(ctx context.Context) error {
	for wait.For(ctx, collectInterval) {
		now, known := s.storeClock()
		if !known || s.stale() {
			continue
		}
		fleet := s.currentFleet(time.Now())
		for _, job := range s.view.all() {
			old := now > job.record.AcceptedAt+s.config.Retention
			if old && !job.record.Active() && fleet.rank(job.record.ID, s.Self) == 0 {
				s.remove(ctx, job)
			}
		}
		s.removeHeartbeats(ctx, fleet)
		s.removeExpiredCrashes(ctx, now, fleet)
	}
	return nil
}

// remove deletes a job. The record is deleted last, so that a deletion that was interrupted is
// found and continued.
func (s *Service) remove(ctx context.Context, job jobEntry) {
	shard := s.config.shard(job.record.ID)
	err := s.removeRange(ctx, tableTexts, shard, job.record.ID)
	if err == nil {
		err = s.removeRange(ctx, tablePartial, shard, job.record.ID)
	}
	if err == nil {
		err = s.removeRange(ctx, tableBodies, shard, job.record.ID)
	}
	if err == nil && job.record.Object != "" {
		err = s.Objects.DeleteObject(ctx, job.record.Object)
	}
	if err == nil {
		_, err = s.commit(ctx, passthrough.Transaction{
			Expected: []passthrough.Expectation{{Table: tableJobs, Part: shard, Key: job.record.ID, Version: job.version}},
			Remove:   []passthrough.Row{{Table: tableJobs, Part: shard, Key: job.record.ID}},
		})
	}
	events.JobCollected.Log(s.Logger, zap.String("job", job.record.ID), zap.Error(err))
}

func (s *Service) removeRange(ctx context.Context, table, shard, job string) error {
	for ctx.Err() == nil {
		snapshot, err := s.store.List(ctx, table, shard, job+"/", job+"0", maxRemovedRows)
		if err != nil {
			return err
		}
		if len(snapshot.Rows) == 0 {
			return nil
		}
		transaction := passthrough.Transaction{}
		for _, row := range snapshot.Rows {
			transaction.Remove = append(transaction.Remove, passthrough.Row{Table: table, Part: shard, Key: row.Key})
		}
		if _, err := s.commit(ctx, transaction); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// removeHeartbeats removes the heartbeat rows of nodes that have been dead for long and own no open
// job.
func (s *Service) removeHeartbeats(ctx context.Context, fleet fleetSnapshot) {
	owners := make(map[string]bool)
	for _, job := range s.view.all() {
		if job.record.Active() {
			owners[job.record.Owner] = true
		}
	}
	for id := range fleet.dead {
		s.view.mu.Lock()
		node := s.view.nodes[id]
		old := node != nil && time.Since(node.changedAt) > deadHeartbeatRetention
		s.view.mu.Unlock()
		if !old || owners[id] || fleet.rank(id, s.Self) != 0 {
			continue
		}
		_, _ = s.commit(ctx, passthrough.Transaction{Remove: []passthrough.Row{{Table: tableJobs, Part: partNodes, Key: id}}}) // retried in the next round
	}
}

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
	collectEvery = 5 * time.Second
	removeRows   = 90 // rows of one transaction
	deadSignKept = time.Minute
)

// collect removes what nobody may ask for any more: jobs past their keeping
// that are not open, and the signs of nodes long dead.
func (s *Service) collect(ctx context.Context) error {
	for wait.For(ctx, collectEvery) {
		now, known := s.now()
		if !known || s.blind() {
			continue
		}
		seen := s.lookAtNodes(time.Now())
		for _, job := range s.view.all() {
			old := now > job.record.AcceptedAt+s.config.Keep
			if old && !job.record.Active() && seen.rank(job.record.ID, s.Self) == 0 {
				s.remove(ctx, job)
			}
		}
		s.removeSigns(ctx, seen)
		s.removeCrashes(ctx, now, seen)
	}
	return nil
}

// remove deletes a job: its texts first, its record last, so that what is left
// by a stop midway is found again.
func (s *Service) remove(ctx context.Context, job entry) {
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
		snapshot, err := s.store.List(ctx, table, shard, job+"/", job+"0", removeRows)
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

// removeSigns removes signs of nodes that are long dead and own nothing.
func (s *Service) removeSigns(ctx context.Context, seen fleet) {
	owners := make(map[string]bool)
	for _, job := range s.view.all() {
		if job.record.Active() {
			owners[job.record.Owner] = true
		}
	}
	for id := range seen.dead {
		s.view.mu.Lock()
		node := s.view.nodes[id]
		old := node != nil && time.Since(node.heard) > deadSignKept
		s.view.mu.Unlock()
		if !old || owners[id] || seen.rank(id, s.Self) != 0 {
			continue
		}
		_, _ = s.commit(ctx, passthrough.Transaction{Remove: []passthrough.Row{{Table: tableJobs, Part: partNodes, Key: id}}}) // tried again at the next round
	}
}

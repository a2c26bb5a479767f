package replicas

import (
	"context"
	"time"

	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/peer/sharing"
)

// Relay returns the interface by which this node's followers of tables use the service.
func (s *Service) Relay() catalog.Relay { return relay{s} }

// Tables returns the interface by which other nodes use the service.
func (s *Service) Tables() sharing.Tables { return tables{s} }

// relay forwards requests for tables to the source.
type relay struct{ *Service }

// Follow implements catalog.Relay.
func (r relay) Follow(ctx context.Context, table string, since int64, hold time.Duration) (catalog.CopyAnswer, bool) {
	from, after := r.sourceForTable(ctx, table)
	if from == nil {
		return catalog.CopyAnswer{}, false
	}
	suspensions := r.watch.Count()
	answer, sent, err := r.Peers.Follow(ctx, from.address, sharing.FollowCall{Table: table, Since: since, Hold: hold, After: after})
	if ctx.Err() != nil {
		return catalog.CopyAnswer{}, false // the caller ended the call, or its time was up
	}
	if err == nil && answer.Refusal == sharing.TooStale {
		return catalog.CopyAnswer{}, false // the store is asked for this table, and the source again afterwards
	}
	if err != nil || answer.Refusal != sharing.NotRefused {
		r.leaveSource(from, err)
		return catalog.CopyAnswer{}, false
	}
	copyAnswer := catalog.CopyAnswer{Whole: answer.Whole, Rows: answer.Rows, Version: answer.Version, StoreAt: answer.StoreAt, Renewing: answer.Renewing}
	for i := range copyAnswer.Rows {
		copyAnswer.Rows[i].Table = table
	}
	if r.watch.Count() == suspensions {
		copyAnswer.AsOf = r.answerAsOf(from, table, answer, sent)
	}
	return copyAnswer, true
}

// answerAsOf returns the earliest moment, on this node's clock, as of which an answer was
// complete.
func (s *Service) answerAsOf(from *source, table string, answer sharing.FollowAnswer, sent time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	from.completeAsOf[table] = answer.AsOf
	from.clock.Observe(sent, answer.At)
	made := from.clock.EarliestAnswerTime(sent, time.Now(), answer.At)
	return made.Add(answer.AsOf - answer.At)
}

// sourceForTable returns the source to ask about a table, or nil for the store. Just after its
// start this node waits for its first search, and longer if a holder is listing the tables.
func (s *Service) sourceForTable(ctx context.Context, table string) (from *source, after time.Duration) {
	if !s.waitForSearch(ctx, s.config.SearchTimeout, s.holderListing) {
		s.waitForSearch(ctx, s.config.SearchTimeout+s.config.ListTimeout, nil)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.source == nil || time.Since(s.doubtedAt[table]) < s.config.DoubtPeriod {
		return nil, 0
	}
	return s.source, s.source.completeAsOf[table]
}

// waitForSearch waits until the first search is over, this node has run for the given time, or
// ctx ends. It returns false if a holder that is listing its tables is found before that.
func (s *Service) waitForSearch(ctx context.Context, until time.Duration, listing <-chan struct{}) bool {
	limit := time.NewTimer(max(time.Until(s.started.Add(until)), time.Nanosecond))
	defer limit.Stop()
	select {
	case <-s.searchDone:
	case <-listing:
		return false
	case <-limit.C:
	case <-ctx.Done():
	}
	return true
}

// Doubt implements catalog.Relay.
func (r relay) Doubt(table string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubtedAt[table] = time.Now()
}

// tables answers other nodes.
type tables struct{ *Service }

// Follow implements sharing.Tables.
func (t tables) Follow(ctx context.Context, call sharing.FollowCall) sharing.FollowAnswer {
	copied := t.copies[call.Table]
	if refusal := t.refusal(); refusal != sharing.NotRefused {
		return sharing.FollowAnswer{Refusal: refusal}
	}
	if copied == nil {
		return sharing.FollowAnswer{Refusal: sharing.NotRelay}
	}
	t.waitForChanges(ctx, copied, call)
	t.watch.Check()
	copyAnswer, listed := copied.Since(call.Since)
	now := time.Now()
	switch {
	case !listed || copyAnswer.AsOf.IsZero():
		return sharing.FollowAnswer{Refusal: sharing.NotListed}
	case now.Sub(copyAnswer.AsOf) > t.maxCopyAge(copyAnswer.Renewing):
		return sharing.FollowAnswer{Refusal: sharing.TooStale}
	}
	return sharing.FollowAnswer{
		Whole: copyAnswer.Whole, Rows: copyAnswer.Rows, Version: copyAnswer.Version,
		At: now.Sub(t.started), AsOf: copyAnswer.AsOf.Sub(t.started), StoreAt: copyAnswer.StoreAt, Renewing: copyAnswer.Renewing,
	}
}

// waitForChanges delays an answer until there are changes, but no longer than until the copy is
// too old to be followed.
func (t tables) waitForChanges(ctx context.Context, copied *catalog.Copy, call sharing.FollowCall) {
	fresh := t.maxCopyAge(copied.Renewing()) - time.Since(copied.AsOf())
	hold := min(call.Hold, maxHold, fresh+time.Millisecond)
	if hold <= 0 {
		return
	}
	waiting, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	copied.Await(waiting, call.Since, t.started.Add(call.After))
}

// maxCopyAge returns the maximum age of a copy that others may follow.
func (s *Service) maxCopyAge(renewing bool) time.Duration {
	if renewing {
		return s.config.MaxRenewingAge
	}
	return s.config.MaxCopyAge
}

// refusal returns why this node cannot be followed.
func (s *Service) refusal() sharing.FollowRefusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.claiming:
		return sharing.NotListed
	case s.mode != holding || s.Leaving():
		return sharing.NotRelay // a node that asks a new incarnation of a former holder must not wait for it
	default:
		return sharing.NotRefused
	}
}

// maxHold bounds how long an answer waits for changes.
const maxHold = 2 * time.Second

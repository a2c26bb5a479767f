package replicas

import (
	"context"
	"time"

	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/peer/sharing"
)

// Relay gives this service as the followers of tables ask it.
func (s *Service) Relay() catalog.Relay { return relay{s} }

// Tables gives this service as other nodes ask it.
func (s *Service) Tables() sharing.Tables { return tables{s} }

// relay asks the source.
type relay struct{ *Service }

// Follow implements catalog.Relay.
func (r relay) Follow(ctx context.Context, table string, since int64, hold time.Duration) (catalog.Told, bool) {
	from, after := r.sourceOf(ctx, table)
	if from == nil {
		return catalog.Told{}, false
	}
	suspensions := r.watch.Count()
	answered, sent, err := r.Peers.Follow(ctx, from.address, sharing.FollowCall{Table: table, Since: since, Hold: hold, After: after})
	if ctx.Err() != nil {
		return catalog.Told{}, false // its caller ended it, or its time was up
	}
	if err == nil && answered.Refusal == sharing.TooOld {
		return catalog.Told{}, false // the store is asked for this table, and the source again after it
	}
	if err != nil || answered.Refusal != sharing.NotRefused {
		r.leave(from, err)
		return catalog.Told{}, false
	}
	told := catalog.Told{Whole: answered.Whole, Rows: answered.Rows, Version: answered.Version, StoreAt: answered.StoreAt, Renewing: answered.Renewing}
	for i := range told.Rows {
		told.Rows[i].Table = table
	}
	if r.watch.Count() == suspensions {
		told.AsOf = r.asOf(from, table, answered, sent)
	}
	return told, true
}

// asOf gives the moment, on this node's clock, as of which an answer was complete at the earliest.
func (s *Service) asOf(from *source, table string, answered sharing.FollowAnswer, sent time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	from.after[table] = answered.AsOf
	from.clock.Observe(sent, answered.At)
	made := from.clock.MadeAt(sent, time.Now(), answered.At)
	return made.Add(answered.AsOf - answered.At)
}

// sourceOf gives whom to ask about a table; nil: the store. While this node has just started it
// waits for its first search, and longer where a holder is listing the tables.
func (s *Service) sourceOf(ctx context.Context, table string) (from *source, after time.Duration) {
	if !s.awaitSearch(ctx, s.config.SearchFor, s.listing) {
		s.awaitSearch(ctx, s.config.SearchFor+s.config.ListFor, nil)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.source == nil || time.Since(s.doubted[table]) < s.config.DoubtFor {
		return nil, 0
	}
	return s.source, s.source.after[table]
}

// awaitSearch waits until the first search is over, no longer than until this node has run for some
// time, or until ctx ends; false: a holder was found before that lists its tables.
func (s *Service) awaitSearch(ctx context.Context, until time.Duration, listing <-chan struct{}) bool {
	limit := time.NewTimer(max(time.Until(s.started.Add(until)), time.Nanosecond))
	defer limit.Stop()
	select {
	case <-s.decided:
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
	r.doubted[table] = time.Now()
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
		return sharing.FollowAnswer{Refusal: sharing.NoRelay}
	}
	t.await(ctx, copied, call)
	t.watch.Look()
	told, listed := copied.Since(call.Since)
	now := time.Now()
	switch {
	case !listed || told.AsOf.IsZero():
		return sharing.FollowAnswer{Refusal: sharing.NotYet}
	case now.Sub(told.AsOf) > t.freshFor(told.Renewing):
		return sharing.FollowAnswer{Refusal: sharing.TooOld}
	}
	return sharing.FollowAnswer{
		Whole: told.Whole, Rows: told.Rows, Version: told.Version,
		At: now.Sub(t.started), AsOf: told.AsOf.Sub(t.started), StoreAt: told.StoreAt, Renewing: told.Renewing,
	}
}

// await lets an answer wait for news, no longer than until the copy is too old to be followed.
func (t tables) await(ctx context.Context, copied *catalog.Copy, call sharing.FollowCall) {
	fresh := t.freshFor(copied.Renewing()) - time.Since(copied.AsOf())
	hold := min(call.Hold, longestHold, fresh+time.Millisecond)
	if hold <= 0 {
		return
	}
	waiting, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	copied.Await(waiting, call.Since, t.started.Add(call.After))
}

// freshFor is how old a copy may be for others to follow it.
func (s *Service) freshFor(renewing bool) time.Duration {
	if renewing {
		return s.config.RenewFor
	}
	return s.config.FreshFor
}

// refusal says why this node cannot be followed.
func (s *Service) refusal() sharing.FollowRefusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.claims:
		return sharing.NotYet
	case s.mode != holding || s.Leaving():
		return sharing.NoRelay // who asks a new life of a former holder is not to wait for it
	default:
		return sharing.NotRefused
	}
}

// longestHold bounds how long an answer waits for news.
const longestHold = 2 * time.Second

// Package catalog keeps a node's view of the platform's documents: the routes in force and the
// engines, followed through the store's feed. It owns following the store and the staleness of the
// view; it sends no request anywhere.
package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/suspension"
	"ringstream.example/ringstream/internal/wait"
)

// FollowConfig configures how a table is followed.
type FollowConfig struct {
	// MaxFeedLag is how long the feed may lag behind what other calls have shown.
	MaxFeedLag time.Duration
	// AuditInterval is how often a page of the table is listed beside the feed. Zero disables
	// audits.
	AuditInterval   time.Duration
	Wait            time.Duration // how long the store may hold a feed call
	Slack           time.Duration // how much longer than Wait an answer may take
	PollInterval    time.Duration // minimum time between two feed calls
	MaxPollInterval time.Duration // upper bound of that minimum in a large fleet, whatever the pace factor
	RetryMin        time.Duration // pause after a failed call, doubled with each failure up to RetryMax
	RetryMax        time.Duration
}

// DefaultFollowConfig returns a configuration for a store that answers within some milliseconds.
func DefaultFollowConfig() FollowConfig {
	return FollowConfig{
		MaxFeedLag: 400 * time.Millisecond, AuditInterval: 10 * time.Second,
		Wait: time.Second, Slack: 900 * time.Millisecond, PollInterval: 100 * time.Millisecond, MaxPollInterval: 700 * time.Millisecond,
		RetryMin: 50 * time.Millisecond, RetryMax: 500 * time.Millisecond,
	}
}

// Sink receives what a follower reads. Its methods are called by one goroutine.
type Sink interface {
	// Replace applies a whole listing. Rows that it lacks were removed as of version.
	Replace(rows []passthrough.Row, version int64)
	// Change applies changed rows in order. Removed rows have Gone set.
	Change(rows []passthrough.Row)
}

// Follower follows one table of the store.
type Follower struct {
	config    FollowConfig
	rows      passthrough.Rows
	table     string
	parts     func(context.Context) ([]string, error)
	sink      Sink
	clock     func(storeAt time.Duration, made time.Time)
	pace      func() time.Duration // at least config.PollInterval
	hurry     chan struct{}        // has one token if the next call should be made at once
	logger    *zap.Logger
	watch     *suspension.Watch
	storeTime *StoreTime
	copy      *Copy
	relay     Relay // nil if only the store is asked

	mu          sync.Mutex // guards the rest; never held during a call
	progress    feedProgress
	listed      bool
	asOf        time.Time
	lastFailure time.Time
	failures    int
	alarm       alarm

	// The fields below are used by Run only.
	onSkipped     func()
	storeCalledAt time.Time // when the store was last asked for changes
	partsAudited  int       // parts that were audited completely
	auditFrom     string    // the key at which the next audit continues in its part
	lastAudit     time.Time
}

// NewFollower returns a follower of the given parts of a table.
func NewFollower(config FollowConfig, rows passthrough.Rows, table string, parts []string, sink Sink, logger *zap.Logger) *Follower {
	fixed := func(context.Context) ([]string, error) { return parts, nil }
	pace := func() time.Duration { return config.PollInterval }
	return &Follower{config: config, rows: rows, table: table, parts: fixed, sink: sink, clock: func(time.Duration, time.Time) {}, pace: pace, hurry: make(chan struct{}, 1), logger: logger, progress: newFeedProgress(), storeTime: NewStoreTime(), copy: NewCopy(), onSkipped: func() {}}
}

// OnStoreClock sets a function that is called with each time of the store's clock, and a lower
// bound of the local time at which the store's clock showed it. It must be called before Run.
func (f *Follower) OnStoreClock(notify func(storeAt time.Duration, made time.Time)) { f.clock = notify }

// SetStoreTime sets the shared estimate of the store's clock. It must be called before Run.
func (f *Follower) SetStoreTime(storeTime *StoreTime) { f.storeTime = storeTime }

// SetSuspensionWatch corrects the follower's health after suspensions of the machine, and keeps an answer
// that arrives across a suspension from counting as fresh. It must be called before Run.
func (f *Follower) SetSuspensionWatch(watch *suspension.Watch) {
	f.watch = watch
	watch.OnResume(func(gap time.Duration) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.asOf = f.asOf.Add(-gap)
		f.copy.suspended(gap)
	})
}

// Copy returns the rows as followed, for other nodes.
func (f *Follower) Copy() *Copy { return f.copy }

// SetRelay sets the relay, through which the follower asks another node's copy of the table where
// there is one. It must be called before Run.
func (f *Follower) SetRelay(relay Relay) { f.relay = relay }

// SetPaceFactor sets a function that returns by which factor, at least one, calls are to be less frequent
// than configured. It must be called before Run.
func (f *Follower) SetPaceFactor(factor func() float64) {
	f.pace = func() time.Duration {
		slowed := time.Duration(float64(f.config.PollInterval) * max(factor(), 1))
		return max(f.config.PollInterval, min(slowed, f.config.MaxPollInterval))
	}
}

// Health describes how well a table is followed.
type Health struct {
	Listed bool // a whole listing was applied
	// AsOf is a time at which the feed had nothing left to deliver. It is never later than the
	// time at which the store made the last answer, whenever that answer arrived.
	AsOf        time.Time
	LastFailure time.Time // last failure; zero if there was none
	// SkippedCount counts how often the feed lacked what other calls had shown.
	SkippedCount int
}

// Health returns the follower's health.
func (f *Follower) Health() Health {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Health{Listed: f.listed, AsOf: f.asOf, LastFailure: f.lastFailure, SkippedCount: f.alarm.count}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		version, ok := f.list(ctx)
		if ok {
			f.feed(ctx, version)
		}
	}
	return nil
}

// list lists the whole table, and retries until a listing succeeds.
func (f *Follower) list(ctx context.Context) (int64, bool) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if version, listed := f.listFromRelay(ctx); listed {
			return version, true
		}
		sent, suspensions := time.Now(), f.watch.Count()
		f.copy.setRenewing(true)
		rows, version, storeAt, err := f.listAll(ctx)
		if err == nil {
			f.applyListing(rows, version)
			f.succeeded(f.confirmedAt(sent, suspensions), storeAt)
			return version, true
		}
		f.failed(ctx, err)
		wait.For(ctx, f.retryPause(attempt))
	}
	return 0, false
}

func (f *Follower) applyListing(rows []passthrough.Row, version int64) {
	f.mu.Lock()
	followedTo := f.progress.followedTo
	skipped := f.progress.applyListing(rows, version)
	f.listed = true
	f.mu.Unlock()
	f.copy.applyListing(rows, version)
	f.sink.Replace(rows, version)
	events.TableListed.Log(f.logger, zap.String("table", f.table), zap.Int("rows", len(rows)), zap.Int64("store_version", version),
		zap.Int64("followed_to", followedTo), zap.Int("lacked", len(skipped)), zap.String("first_lacked", firstKey(skipped)))
}

// listAll lists all parts. storeAt is the store's clock before the listing.
func (f *Follower) listAll(ctx context.Context) (rows []passthrough.Row, version int64, storeAt time.Duration, err error) {
	parts, err := f.parts(ctx)
	if err != nil {
		return nil, 0, 0, err
	}
	for i, part := range parts {
		listed, err := f.listPart(ctx, part)
		if err != nil {
			return nil, 0, 0, err
		}
		rows = append(rows, listed.Rows...)
		if i == 0 || listed.Version < version {
			version = listed.Version // the feed continues from the oldest listing
		}
		if i == 0 {
			storeAt = listed.StoreAt
		}
	}
	return rows, version, storeAt, nil
}

// listPart lists one part, page by page. Its version and time are those of the first page.
func (f *Follower) listPart(ctx context.Context, part string) (listed passthrough.Snapshot, err error) {
	from := ""
	for {
		page, err := f.listPage(ctx, part, from)
		if err != nil {
			return passthrough.Snapshot{}, err
		}
		if listed.Version == 0 {
			listed.Version, listed.StoreAt = page.Version, page.StoreAt
		}
		listed.Rows = append(listed.Rows, page.Rows...)
		if from = nextKey(page); from == "" {
			return listed, nil
		}
	}
}

// listPage lists the rows of a part from a key on, as many as the store returns in one answer.
func (f *Follower) listPage(ctx context.Context, part, from string) (passthrough.Snapshot, error) {
	sent, suspensions := time.Now(), f.watch.Count()
	call, cancel := context.WithTimeout(ctx, f.config.Wait+f.config.Slack)
	defer cancel()
	page, err := f.rows.List(call, f.table, part, from, "", 0)
	if err == nil {
		f.observeStoreClock(sent, suspensions, page.StoreAt)
	}
	return page, err
}

// feed follows changes from a version on, until the history is gone, the feed has skipped a
// change, or ctx ends.
func (f *Follower) feed(ctx context.Context, version int64) {
	for attempt := 0; ctx.Err() == nil; {
		sent := time.Now()
		answer, err := f.fetchChanges(ctx, version)
		switch {
		case errors.Is(err, passthrough.ErrHistoryGone):
			events.HistoryGone.Log(f.logger, zap.String("table", f.table), zap.Int64("store_version", version))
			return
		case err != nil && f.wasInterrupted():
			continue
		case err != nil:
			f.failed(ctx, err)
			wait.For(ctx, f.retryPause(attempt))
			attempt++
			continue
		}
		attempt = 0
		version = f.apply(answer)
		found := f.checkFeed(answer.expectedAsOf)
		if found == feedNeedsRelist {
			f.doubtRelay()
			return
		}
		if f.auditIfDue(ctx, answer.relayed) {
			return
		}
		if found == feedOverdue {
			answer.asOf = time.Time{} // the copy is known to lack something
		}
		f.succeeded(answer.asOf, answer.storeAt)
		// A listing is already stale when it completes, and the feed confirms it. While the copy
		// lacks something, nodes that follow it stay with it: from the store they would learn no
		// more, and would not know that something is missing.
		f.copy.setRenewing(answer.renewing || found == feedOverdue)
		f.waitForNextCall(ctx, f.pace()-time.Since(sent))
	}
}

// feedAnswer is an answer of the store or a relay.
type feedAnswer struct {
	rows    []passthrough.Row
	whole   bool // rows are the whole table as of version
	version int64
	relayed bool
	// asOf is a time as of which the answer is complete; zero if none is known.
	asOf time.Time
	// expectedAsOf is the time from which a row's lag is measured. A row that the answer lacks is
	// overdue if another call had shown it at least MaxFeedLag before this time.
	expectedAsOf time.Time
	storeAt      time.Duration
	// renewing means that the sender is listing the table again.
	renewing bool
}

// apply applies an answer and returns the version to continue from.
func (f *Follower) apply(answer feedAnswer) int64 {
	if answer.whole {
		f.applyListing(answer.rows, answer.version)
		return answer.version
	}
	version := f.applyChanges(answer.rows)
	if !answer.relayed {
		return version
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progress.dropExpected(f.copy.isHidden)
	f.progress.followedTo = max(f.progress.followedTo, answer.version) // the relay's version states how far it has followed
	return f.progress.followedTo
}

// auditIfDue audits the table each AuditInterval while the store itself is followed. The first
// audit comes after a random time of at least half an interval. A follower of a relay audits
// nothing, and starts this schedule anew when it follows the store again. Otherwise each node that
// its relay had left listed a page of the table: nine of ten store polls of one second each
// triggered an audit. auditIfDue reports whether the feed has skipped something.
func (f *Follower) auditIfDue(ctx context.Context, relayed bool) bool {
	if relayed {
		f.lastAudit = time.Time{}
		return false
	}
	if f.config.AuditInterval <= 0 || time.Since(f.lastAudit) < f.config.AuditInterval {
		return false
	}
	first := f.lastAudit.IsZero()
	f.lastAudit = time.Now()
	if first {
		f.lastAudit = f.lastAudit.Add(-rand.N(f.config.AuditInterval / 2))
		return false
	}
	return f.audit(ctx)
}

// confirmedAt returns the time that an answer confirms. suspensions is the count of suspensions
// when its call was sent. An answer that spans a suspension may be as old as the suspension was
// long, and confirms nothing: the result is the zero time.
func (f *Follower) confirmedAt(moment time.Time, suspensions uint64) time.Time {
	if f.watch.Count() != suspensions {
		return time.Time{}
	}
	return moment
}

// observeStoreClock records the store's time from an answer, and returns a lower bound of the time
// at which the answer was made. The result is zero if the answer spans a suspension.
func (f *Follower) observeStoreClock(sent time.Time, suspensions uint64, storeAt time.Duration) time.Time {
	if f.confirmedAt(sent, suspensions).IsZero() {
		return time.Time{}
	}
	made := f.storeTime.EarliestAnswerTime(sent, storeAt)
	f.clock(storeAt, made)
	return made
}

// applyChanges applies rows from the feed and returns the version to continue from. That is the
// newest delivered version, not the newest version that an answer names: with the latter, a feed
// that was silent while the routes changed left the change unknown forever.
func (f *Follower) applyChanges(rows []passthrough.Row) int64 {
	if len(rows) > 0 {
		f.copy.applyChanges(rows)
		f.sink.Change(rows)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progress.applyChanges(rows)
	return f.progress.followedTo
}

// Hurry makes the next call for changes at once, for a caller that waits for a row which one of
// its own calls has shown to exist.
func (f *Follower) Hurry() {
	select {
	case f.hurry <- struct{}{}:
	default:
	}
}

// waitForNextCall waits for the given pause, or until Hurry is called.
func (f *Follower) waitForNextCall(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.hurry:
	}
}

// retryPause returns the time before the next retry, with jitter.
func (f *Follower) retryPause(attempt int) time.Duration {
	longest := min(f.config.RetryMin<<min(attempt, 8), f.config.RetryMax)
	return longest/2 + rand.N(longest/2+1)
}

// succeeded records an answer that shows the table as of a time, and when that was on the store's
// clock. A zero asOf means that no such time is known.
func (f *Follower) succeeded(asOf time.Time, storeAt time.Duration) {
	f.copy.confirm(asOf, storeAt)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 {
		events.StoreRegained.Log(f.logger, zap.String("table", f.table), zap.Duration("after", time.Since(f.asOf)), zap.Int("failures", f.failures))
	}
	f.failures = 0
	if asOf.After(f.asOf) {
		f.asOf = asOf
	}
}

// failed records a failed call. A call that ended because ctx ended is not counted.
func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.copy.setRenewing(false)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastFailure = time.Now()
	f.failures++
	if f.failures == 1 {
		events.StoreLost.Log(f.logger, zap.String("table", f.table), zap.Duration("last_answer_age", f.lastFailure.Sub(f.asOf)), zap.Error(err))
	}
}

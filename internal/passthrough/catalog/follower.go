// Package catalog keeps what a node believes of the platform's documents: the
// routes in force and the engines, followed by the store's feed. It owns the
// following and the age of what is believed; it sends no request anywhere.
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

// FollowConfig says how a table is followed.
type FollowConfig struct {
	// Patience is how long the feed may lag behind what other calls have shown.
	Patience time.Duration
	// AuditEvery is how often one part of the table is listed beside the feed; 0: never.
	AuditEvery time.Duration
	Wait       time.Duration // longest that the store holds a feed call
	Slack      time.Duration // how much longer an answer may take
	Pace       time.Duration // least time between two feed calls
	PaceMost   time.Duration // the same in a large fleet, whatever SlowBy says
	RetryMin   time.Duration // pause after a failed call, doubled up to RetryMax
	RetryMax   time.Duration
}

// DefaultFollowConfig suits a store that answers within some milliseconds.
func DefaultFollowConfig() FollowConfig {
	return FollowConfig{
		Patience: 400 * time.Millisecond, AuditEvery: 10 * time.Second,
		Wait: time.Second, Slack: 900 * time.Millisecond, Pace: 100 * time.Millisecond, PaceMost: 700 * time.Millisecond,
		RetryMin: 50 * time.Millisecond, RetryMax: 500 * time.Millisecond,
	}
}

// Sink takes what a follower learns. Its methods are called by one goroutine.
type Sink interface {
	// Replace takes a whole listing; rows that it lacks are gone as of version.
	Replace(rows []passthrough.Row, version int64)
	// Change takes rows in order, removed ones with Gone.
	Change(rows []passthrough.Row)
}

// Follower follows one table of the store.
type Follower struct {
	config FollowConfig
	rows   passthrough.Rows
	table  string
	parts  func(context.Context) ([]string, error)
	sink   Sink
	clock  func(storeAt time.Duration, made time.Time)
	pace   func() time.Duration // at least config.Pace
	hurry  chan struct{}        // has one token when the next call should come at once
	logger *zap.Logger
	watch  *suspension.Watch
	time   *StoreTime
	copy   *Copy
	relay  Relay // nil: the store alone is asked

	mu          sync.Mutex // guards the rest; never held during a call
	told        toldRows
	listed      bool
	asOf        time.Time
	lastBad     time.Time
	disconnects int
	alarm       alarm

	// What follows is Run's alone.
	passedOverHeard func()
	storeAsked      time.Time // when the store was last asked for changes
	audits          int       // parts that were audited whole
	auditFrom       string    // where the next audit goes on in its part
	audited         time.Time
}

// NewFollower makes a follower of a table's listed parts.
func NewFollower(config FollowConfig, rows passthrough.Rows, table string, parts []string, sink Sink, logger *zap.Logger) *Follower {
	fixed := func(context.Context) ([]string, error) { return parts, nil }
	pace := func() time.Duration { return config.Pace }
	return &Follower{config: config, rows: rows, table: table, parts: fixed, sink: sink, clock: func(time.Duration, time.Time) {}, pace: pace, hurry: make(chan struct{}, 1), logger: logger, told: newToldRows(), time: NewStoreTime(), copy: NewCopy(), passedOverHeard: func() {}}
}

// OnStoreClock has a function hear the store's clock, and the moment before which it certainly did not
// show that; called before Run.
func (f *Follower) OnStoreClock(hear func(storeAt time.Duration, made time.Time)) { f.clock = hear }

// TimeBy has the follower share what is known of the store's clock; called before Run.
func (f *Follower) TimeBy(storeTime *StoreTime) { f.time = storeTime }

// WatchBy has the follower correct its health after a suspension, and not take an answer
// for fresh that one came across; called before Run.
func (f *Follower) WatchBy(watch *suspension.Watch) {
	f.watch = watch
	watch.OnWake(func(gap time.Duration) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.asOf = f.asOf.Add(-gap)
		f.copy.suspended(gap)
	})
}

// Copy gives the rows as they are followed, for other nodes.
func (f *Follower) Copy() *Copy { return f.copy }

// RelayBy has the follower ask another node's copy of the table where there is one; called
// before Run.
func (f *Follower) RelayBy(relay Relay) { f.relay = relay }

// SlowBy has the pace ask how much slower than configured it should be, as a
// factor of one or more; called before Run.
func (f *Follower) SlowBy(factor func() float64) {
	f.pace = func() time.Duration {
		slowed := time.Duration(float64(f.config.Pace) * max(factor(), 1))
		return max(f.config.Pace, min(slowed, f.config.PaceMost))
	}
}

// Health says how well the table is followed.
type Health struct {
	Listed bool // a whole listing was taken
	// AsOf is a moment at which the feed had told all that it had to tell: never later than
	// the store made the last answer, whenever that arrived.
	AsOf    time.Time
	LastBad time.Time // last failure; zero: never
	// PassedOver counts the times that the feed lacked what other calls had shown.
	PassedOver int
}

// Health gives the follower's health.
func (f *Follower) Health() Health {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Health{Listed: f.listed, AsOf: f.asOf, LastBad: f.lastBad, PassedOver: f.alarm.count}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		version, ok := f.list(ctx)
		if ok {
			f.feed(ctx, version)
		}
	}
	return nil
}

// list takes whole listings until one succeeds.
func (f *Follower) list(ctx context.Context) (int64, bool) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if version, told := f.listByRelay(ctx); told {
			return version, true
		}
		sent, suspensions := time.Now(), f.watch.Count()
		f.copy.renew(true)
		rows, version, storeAt, err := f.listAll(ctx)
		if err == nil {
			f.takeListing(rows, version)
			f.succeeded(f.confirmed(sent, suspensions), storeAt)
			return version, true
		}
		f.failed(ctx, err)
		wait.For(ctx, f.pause(attempt))
	}
	return 0, false
}

func (f *Follower) takeListing(rows []passthrough.Row, version int64) {
	f.mu.Lock()
	followedTo := f.told.followedTo
	lacked := f.told.replace(rows, version)
	f.listed = true
	f.mu.Unlock()
	f.copy.replace(rows, version)
	f.sink.Replace(rows, version)
	events.TableListed.Log(f.logger, zap.String("table", f.table), zap.Int("rows", len(rows)), zap.Int64("store_version", version),
		zap.Int64("followed_to", followedTo), zap.Int("lacked", len(lacked)), zap.String("first_lacked", firstKey(lacked)))
}

// listAll lists all parts; storeAt is the store's clock before it.
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
			version = listed.Version // the feed goes on from the oldest listing
		}
		if i == 0 {
			storeAt = listed.StoreAt
		}
	}
	return rows, version, storeAt, nil
}

// listPart lists one part, page by page; its version and time are those of the first page.
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

// listPage lists the rows of a part from a key on, as many as the store gives at a time.
func (f *Follower) listPage(ctx context.Context, part, from string) (passthrough.Snapshot, error) {
	sent, suspensions := time.Now(), f.watch.Count()
	call, cancel := context.WithTimeout(ctx, f.config.Wait+f.config.Slack)
	defer cancel()
	page, err := f.rows.List(call, f.table, part, from, "", 0)
	if err == nil {
		f.hearClock(sent, suspensions, page.StoreAt)
	}
	return page, err
}

// feed goes on from a version until the history is gone, the feed has passed a change
// over, or ctx ends.
func (f *Follower) feed(ctx context.Context, version int64) {
	for attempt := 0; ctx.Err() == nil; {
		sent := time.Now()
		answered, err := f.ask(ctx, version)
		switch {
		case errors.Is(err, passthrough.ErrHistoryGone):
			events.HistoryGone.Log(f.logger, zap.String("table", f.table), zap.Int64("store_version", version))
			return
		case err != nil && f.brokenOff():
			continue
		case err != nil:
			f.failed(ctx, err)
			wait.For(ctx, f.pause(attempt))
			attempt++
			continue
		}
		attempt = 0
		version = f.take(answered)
		found := f.judge(answered.shownBy)
		if found == relist {
			f.doubtRelay()
			return
		}
		if f.auditInTurn(ctx, answered.relayed) {
			return
		}
		if found == overdue {
			answered.asOf = time.Time{} // the copy is known to lack something
		}
		f.succeeded(answered.asOf, answered.storeAt)
		// A listing is as old as it took, and the feed confirms it. Who follows a copy that lacks
		// something would learn no more from the store, and not know that it lacks it.
		f.copy.renew(answered.renewing || found == overdue)
		f.rest(ctx, f.pace()-time.Since(sent))
	}
}

// answered is what the store or a relay has told.
type answered struct {
	rows    []passthrough.Row
	whole   bool // rows are the whole table as of version
	version int64
	relayed bool
	// asOf is a moment at which nothing else had changed; zero: none is known.
	asOf time.Time
	// shownBy is since when what is missing in the answer should have been shown elsewhere to count.
	shownBy time.Time
	storeAt time.Duration
	// renewing: the table is being listed anew where this comes from.
	renewing bool
}

// take applies what was told, and gives the version to go on from.
func (f *Follower) take(told answered) int64 {
	if told.whole {
		f.takeListing(told.rows, told.version)
		return told.version
	}
	version := f.takeChanges(told.rows)
	if !told.relayed {
		return version
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told.forgetExpected(f.copy.hides)
	f.told.followedTo = max(f.told.followedTo, told.version) // a relay goes by what it was told
	return f.told.followedTo
}

// auditInTurn audits the table each AuditEvery while the store itself is followed, for the first
// time after half of that or more, at a moment of its own; true: something was passed over. Who follows
// a relay audits nothing, and begins anew when it follows the store: of ten ways to the store for a second each, nine brought an audit
// otherwise, a page of the table by every node that its relay had left.
func (f *Follower) auditInTurn(ctx context.Context, relayed bool) bool {
	if relayed {
		f.audited = time.Time{}
		return false
	}
	if f.config.AuditEvery <= 0 || time.Since(f.audited) < f.config.AuditEvery {
		return false
	}
	first := f.audited.IsZero()
	f.audited = time.Now()
	if first {
		f.audited = f.audited.Add(-rand.N(f.config.AuditEvery / 2))
		return false
	}
	return f.audit(ctx)
}

// confirmed gives a moment that an answer confirms, asked for after so many suspensions. One that
// a suspension lies between may be as old as that was long, and confirms nothing.
func (f *Follower) confirmed(moment time.Time, suspensions uint64) time.Time {
	if f.watch.Count() != suspensions {
		return time.Time{}
	}
	return moment
}

// hearClock takes the store's time from an answer, and gives the moment before which that was
// certainly not made.
func (f *Follower) hearClock(sent time.Time, suspensions uint64, storeAt time.Duration) time.Time {
	if f.confirmed(sent, suspensions).IsZero() {
		return time.Time{}
	}
	made := f.time.MadeAt(sent, storeAt)
	f.clock(storeAt, made)
	return made
}

// takeChanges applies what the feed told, and gives the version to go on from. It goes on from
// what was told, not from the newest version that an answer names: a feed that was silent
// while the routes changed left them unknown for good.
func (f *Follower) takeChanges(rows []passthrough.Row) int64 {
	if len(rows) > 0 {
		f.copy.change(rows)
		f.sink.Change(rows)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told.change(rows)
	return f.told.followedTo
}

// Hurry has the next call for changes come at once, for who waits for what a
// call of its own has shown to be there.
func (f *Follower) Hurry() {
	select {
	case f.hurry <- struct{}{}:
	default:
	}
}

// rest waits for the time of the next call, or until Hurry.
func (f *Follower) rest(ctx context.Context, pause time.Duration) {
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

// pause is the time before the next try, with jitter.
func (f *Follower) pause(attempt int) time.Duration {
	longest := min(f.config.RetryMin<<min(attempt, 8), f.config.RetryMax)
	return longest/2 + rand.N(longest/2+1)
}

// succeeded notes an answer that told the table as of a moment, and of the store's clock; the zero
// time: as of none that is known.
func (f *Follower) succeeded(asOf time.Time, storeAt time.Duration) {
	f.copy.confirm(asOf, storeAt)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disconnects > 0 {
		events.StoreRegained.Log(f.logger, zap.String("table", f.table), zap.Duration("after", time.Since(f.asOf)), zap.Int("failures", f.disconnects))
	}
	f.disconnects = 0
	if asOf.After(f.asOf) {
		f.asOf = asOf
	}
}

// failed notes a call without an answer; one that this node's own end broke off says nothing.
func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.copy.renew(false)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastBad = time.Now()
	f.disconnects++
	if f.disconnects == 1 {
		events.StoreLost.Log(f.logger, zap.String("table", f.table), zap.Duration("last_answer_age", f.lastBad.Sub(f.asOf)), zap.Error(err))
	}
}

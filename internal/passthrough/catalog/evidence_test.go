package catalog

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/passthrough"
)

// storedTable is a table of the store whose feed can be silenced and whose answers can be delayed.
type storedTable struct {
	passthrough.Rows

	mu          sync.Mutex
	version     int64
	rows        map[string]passthrough.Row
	changed     chan struct{}
	silent      bool
	answerDelay time.Duration // between making and delivery of each answer of the feed
	lists       int
	started     time.Time
	alarms      atomic.Int64 // raised by the follower
}

func newStoredTable() *storedTable {
	return &storedTable{rows: make(map[string]passthrough.Row), changed: make(chan struct{}), started: time.Now()}
}

func (s *storedTable) put(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[key] = passthrough.Row{Key: key, Version: s.version}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

func (s *storedTable) silence(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *storedTable) listCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

// since returns the rows after a version. The caller holds mu.
func (s *storedTable) since(version int64) passthrough.Snapshot {
	snapshot := passthrough.Snapshot{Version: s.version, StoreAt: time.Since(s.started)}
	for _, row := range s.rows {
		if row.Version > version {
			snapshot.Rows = append(snapshot.Rows, row)
		}
	}
	return snapshot
}

// List implements passthrough.Rows.
func (s *storedTable) List(context.Context, string, string, string, string, int) (passthrough.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return s.since(0), nil
}

// Feed implements passthrough.Rows.
func (s *storedTable) Feed(ctx context.Context, _ string, version int64, hold time.Duration) (passthrough.Snapshot, error) {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		snapshot := s.since(version)
		if s.silent {
			snapshot.Rows = nil
		}
		changed, late := s.changed, s.answerDelay
		s.mu.Unlock()
		if len(snapshot.Rows) > 0 || over {
			time.Sleep(late)
			return snapshot, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return passthrough.Snapshot{}, errors.Join(passthrough.ErrOutcomeUnknown, ctx.Err())
		}
	}
}

// copySink keeps the newest version of each row that it receives.
type copySink struct {
	mu           sync.Mutex
	versions     map[string]int64
	onChange     func() // called when rows arrive, by listing or feed
	onFeedChange func() // called when changes arrive
}

func (c *copySink) Replace(rows []passthrough.Row, _ int64) { c.apply(rows) }

func (c *copySink) Change(rows []passthrough.Row) {
	if c.onFeedChange != nil {
		c.onFeedChange()
	}
	c.apply(rows)
}

func (c *copySink) apply(rows []passthrough.Row) {
	if c.onChange != nil {
		c.onChange()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range rows {
		c.versions[row.Key] = max(c.versions[row.Key], row.Version)
	}
}

func (c *copySink) version(key string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions[key]
}

// withFollower runs a follower of a table in a synctest bubble.
func withFollower(t *testing.T, config FollowConfig, do func(t *testing.T, table *storedTable, sink *copySink, follower *Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		table, sink := newStoredTable(), &copySink{versions: make(map[string]int64)}
		follower := NewFollower(config, table, "table", []string{""}, sink, zap.NewNop())
		follower.OnSkippedChange(func() { table.alarms.Add(1) })
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		synctest.Wait()
		defer func() {
			stop()
			<-ended
		}()
		do(t, table, sink, follower)
	})
}

// configWithoutAudit disables audits, so that only the calls that are made anyway find what a feed
// skips.
func configWithoutAudit() FollowConfig {
	config := DefaultFollowConfig()
	config.AuditInterval = 0
	return config
}

// Guards against a silent feed that the node's own heartbeats do not reveal. Each heartbeat,
// written within a second of the last, postponed the check for overdue rows; the silent feed was
// found in 0 of 4 runs of a minute each, with 2 and with 40 nodes. The oldest undelivered
// heartbeat must count, and a call that waits while a row is overdue must be interrupted.
func TestSilentFeedIsDetectedByOwnHeartbeats(t *testing.T) {
	for phase := range 10 {
		for _, every := range []time.Duration{100 * time.Millisecond, time.Second, 1800 * time.Millisecond} {
			withFollower(t, configWithoutAudit(), func(t *testing.T, table *storedTable, sink *copySink, follower *Follower) {
				sendHeartbeats := func(lasting time.Duration) {
					for until := time.Now().Add(lasting); time.Now().Before(until); time.Sleep(every) {
						follower.Expect("", "sign", table.put("sign"))
					}
				}
				sendHeartbeats(5*time.Second + time.Duration(phase)*100*time.Millisecond)
				if alarms := table.alarms.Load(); alarms > 0 {
					t.Fatalf("phase %d, heartbeat each %v: %d alarms for a feed that delivers everything", phase, every, alarms)
				}
				table.silence(true)
				missed := table.put("routes")
				start := time.Now()
				var heartbeats sync.WaitGroup
				defer heartbeats.Wait()
				heartbeats.Go(func() { sendHeartbeats(10 * time.Second) })
				for sink.version("routes") < missed {
					if time.Since(start) > every+follower.config.MaxFeedLag+2*follower.config.PollInterval {
						t.Fatalf("phase %d, heartbeat each %v: silent feed not detected within %v", phase, every, time.Since(start))
					}
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(11 * time.Second)
				if lists := table.listCount(); lists > 14 {
					t.Errorf("%d listings in 12 s", lists)
				}
				synctest.Wait()
				if alarms := int(table.alarms.Load()); alarms == 0 || follower.Health().SkippedCount != alarms {
					t.Errorf("%d alarms reported, %d counted", alarms, follower.Health().SkippedCount)
				}
			})
		}
	}
}

// An answer without rows says nothing about an overdue row, so it must not advance AsOf.
func TestCopyIsNotConfirmedWhileSomethingIsOverdue(t *testing.T) {
	withFollower(t, configWithoutAudit(), func(t *testing.T, table *storedTable, _ *copySink, follower *Follower) {
		time.Sleep(5 * time.Second)
		table.silence(true)
		follower.Expect("", "row", table.put("row"))
		shown := time.Now()
		for time.Since(shown) < 3*time.Second && table.listCount() == 1 {
			if asOf := follower.Health().AsOf; asOf.Sub(shown) > follower.config.MaxFeedLag {
				t.Fatalf("AsOf is %v after a row that the copy lacks", asOf.Sub(shown))
			}
			time.Sleep(5 * time.Millisecond)
		}
		if table.listCount() < 2 {
			t.Error("the table was not listed again")
		}
		follower.Expect("", "row", table.put("row"))
		shown = time.Now()
		for lists, until := table.listCount(), time.Now().Add(20*time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			asOf := follower.Health().AsOf
			if table.listCount() > lists { // the listing delivered the row; expect another one
				lists = table.listCount()
				follower.Expect("", "row", table.put("row"))
				shown = time.Now()
				continue
			}
			if asOf.Sub(shown) > follower.config.MaxFeedLag+2*follower.config.PollInterval {
				t.Fatalf("AsOf is %v after a row that the copy lacks; %d listings", asOf.Sub(shown), lists)
			}
		}
	})
}

// Guards against an AsOf that is counted from the arrival of an answer. An answer that was delayed
// by 0.9 s counted as 0 s old on arrival. AsOf must not be later than the time at which the answer
// was made.
func TestDelayedAnswerDoesNotAdvanceAsOfBeyondItsMaking(t *testing.T) {
	withFollower(t, configWithoutAudit(), func(t *testing.T, table *storedTable, sink *copySink, follower *Follower) {
		time.Sleep(3 * time.Second)
		const late = 900 * time.Millisecond
		table.mu.Lock()
		table.answerDelay = late
		table.mu.Unlock()
		version := table.put("row")
		made := time.Now()
		for sink.version("row") < version {
			time.Sleep(time.Millisecond)
		}
		if time.Since(made) < late {
			t.Fatal("the answer was not delayed")
		}
		if asOf := follower.Health().AsOf; asOf.After(made) {
			t.Errorf("AsOf is %v after the answer was made", asOf.Sub(made))
		}
	})
}

// The rows of an answer must be applied before AsOf advances to the time of that answer.
func TestRowsAreAppliedBeforeAsOfAdvances(t *testing.T) {
	withFollower(t, configWithoutAudit(), func(t *testing.T, table *storedTable, sink *copySink, follower *Follower) {
		for i := range 20 {
			time.Sleep(700 * time.Millisecond)
			before := follower.Health().AsOf
			sink.onChange = func() {
				if asOf := follower.Health().AsOf; !asOf.Equal(before) {
					t.Errorf("row %d: AsOf advanced by %v before the row was applied", i, asOf.Sub(before))
				}
			}
			table.put(fmt.Sprint(i))
		}
	})
}

// Guards against changes that stay unknown forever because the feed skipped them and no other call
// of the node has shown them. A listing each AuditInterval finds them, both rows and removals.
func TestAuditFindsWhatNoOtherCallHasShown(t *testing.T) {
	withFollower(t, DefaultFollowConfig(), func(t *testing.T, table *storedTable, sink *copySink, follower *Follower) {
		time.Sleep(time.Second)
		table.silence(true)
		missed := table.put("missed")
		table.silence(false)
		table.put("later") // a store in order delivers this row together with the missed one
		table.silence(true)
		alone := table.put("alone")
		time.Sleep(2*follower.config.AuditInterval + time.Second)
		if sink.version("missed") != missed || sink.version("alone") != alone {
			t.Errorf("the copy contains %v", sink.versions)
		}
	})
}

// Guards against audits that apply rows ahead of the feed. An audit lists one part of a table. It
// applied a queue's row before the job whose acceptance had written that row, and the next job was
// accepted on a count that lacked the first. Such rows must wait for the feed or for a listing of
// all parts.
func TestRowsThatAnAuditShowsAheadWaitForTheFeed(t *testing.T) {
	withFollower(t, DefaultFollowConfig(), func(t *testing.T, table *storedTable, sink *copySink, follower *Follower) {
		time.Sleep(time.Second)
		table.silence(true)
		sink.onFeedChange = func() { t.Error("a row was applied that the feed has not delivered") }
		ahead := table.put("ahead")
		time.Sleep(2*follower.config.AuditInterval + time.Second)
		if sink.version("ahead") != ahead {
			t.Errorf("the copy contains %v", sink.versions)
		}
	})
}

// A row that was shown after the listing's version is still expected.
func TestListingKeepsNewerExpectations(t *testing.T) {
	progress, now := newFeedProgress(), time.Now()
	progress.expect(rowID{key: "old"}, 5, now)
	progress.expect(rowID{key: "new"}, 9, now)
	progress.applyListing([]passthrough.Row{{Key: "old", Version: 5}}, 7)
	if _, found := progress.expected[rowID{key: "new"}]; !found || len(progress.expected) != 1 {
		t.Errorf("expected rows: %v", progress.expected)
	}
}

// An audit compares a listing with what the feed has delivered.
func TestAuditSeparatesSkippedFromPendingRows(t *testing.T) {
	progress, now := newFeedProgress(), time.Now()
	progress.applyChanges([]passthrough.Row{{Key: "a", Version: 3}, {Key: "b", Version: 8}, {Key: "c", Version: 4}})
	skipped, ahead := progress.audit("", keyRange{}, []passthrough.Row{{Key: "a", Version: 5}, {Key: "b", Version: 8}, {Key: "d", Version: 9}}, 9, now)
	if len(skipped) != 1 || skipped[0].Key != "a" || ahead != 1 || len(progress.expected) != 2 || progress.expected[rowID{key: "d"}].newest.version != 9 {
		t.Errorf("skipped %v, ahead %v", skipped, ahead)
	}
	for _, key := range []string{"c", "d"} { // a removal, and a row
		if _, found := progress.expected[rowID{key: key}]; !found {
			t.Errorf("%s is not expected", key)
		}
	}
}

// Rows before and after the audited page must not be taken for removed.
func TestAuditOfPageIgnoresOtherKeys(t *testing.T) {
	progress, now := newFeedProgress(), time.Now()
	progress.applyChanges([]passthrough.Row{{Key: "a", Version: 3}, {Key: "b", Version: 4}, {Key: "c", Version: 5}, {Key: "d", Version: 6}})
	page := passthrough.Snapshot{Rows: []passthrough.Row{{Key: "b", Version: 4}}, More: true}
	if skipped, ahead := progress.audit("", keyRange{from: "b", to: nextKey(page)}, page.Rows, 9, now); len(skipped)+ahead+len(progress.expected) != 0 {
		t.Errorf("skipped %v, ahead %v, expected %v", skipped, ahead, progress.expected)
	}
	_, _ = progress.audit("", keyRange{from: "b\x00"}, []passthrough.Row{{Key: "d", Version: 6}}, 9, now)
	if _, found := progress.expected[rowID{key: "c"}]; !found || len(progress.expected) != 1 {
		t.Errorf("the removal of c is not expected: %v", progress.expected)
	}
}

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

// storedTable is a table of the store whose feed can fall silent, and whose answers can be late.
type storedTable struct {
	passthrough.Rows

	mu      sync.Mutex
	version int64
	rows    map[string]passthrough.Row
	changed chan struct{}
	silent  bool
	late    time.Duration // on the way of each answer of the feed
	lists   int
	started time.Time
	alarms  atomic.Int64 // of the follower
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

func (s *storedTable) listed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

// since gives the rows after a version; the caller holds mu.
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
		changed, late := s.changed, s.late
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

// copySink keeps what it was told, and at which AsOf of its follower.
type copySink struct {
	mu       sync.Mutex
	versions map[string]int64
	onChange func() // rows come, by whatever way
	onTold   func() // changes come
}

func (c *copySink) Replace(rows []passthrough.Row, _ int64) { c.take(rows) }

func (c *copySink) Change(rows []passthrough.Row) {
	if c.onTold != nil {
		c.onTold()
	}
	c.take(rows)
}

func (c *copySink) take(rows []passthrough.Row) {
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

// following runs a follower of a table in a bubble.
func following(t *testing.T, config FollowConfig, do func(t *testing.T, table *storedTable, sink *copySink, follower *Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		table, sink := newStoredTable(), &copySink{versions: make(map[string]int64)}
		follower := NewFollower(config, table, "table", []string{""}, sink, zap.NewNop())
		follower.OnPassedOver(func() { table.alarms.Add(1) })
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

// withoutAudit has only the calls that are made anyway find what a feed passes over.
func withoutAudit() FollowConfig {
	config := DefaultFollowConfig()
	config.AuditEvery = 0
	return config
}

// A node whose feed told nothing never noticed by its own signs of life: each one, written within
// a second of the last, put off the look at what was overdue (0 of 4 runs in a minute each, with
// 2 and with 40 nodes). The oldest sign that is not told back counts, and a call that waits
// for what is overdue is broken off.
func TestSilentFeedIsFoundByOwnSigns(t *testing.T) {
	for phase := range 10 {
		for _, every := range []time.Duration{100 * time.Millisecond, time.Second, 1800 * time.Millisecond} {
			following(t, withoutAudit(), func(t *testing.T, table *storedTable, sink *copySink, follower *Follower) {
				beat := func(lasting time.Duration) {
					for until := time.Now().Add(lasting); time.Now().Before(until); time.Sleep(every) {
						follower.Expect("", "sign", table.put("sign"))
					}
				}
				beat(5*time.Second + time.Duration(phase)*100*time.Millisecond)
				if heard := table.alarms.Load(); heard > 0 {
					t.Fatalf("phase %d, a sign each %v: %d alarms at a feed that tells everything", phase, every, heard)
				}
				table.silence(true)
				missed := table.put("routes")
				begun := time.Now()
				var beating sync.WaitGroup
				defer beating.Wait()
				beating.Go(func() { beat(10 * time.Second) })
				for sink.version("routes") < missed {
					if time.Since(begun) > every+follower.config.Patience+2*follower.config.Pace {
						t.Fatalf("phase %d, a sign each %v: not found within %v", phase, every, time.Since(begun))
					}
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(11 * time.Second)
				if lists := table.listed(); lists > 14 {
					t.Errorf("%d listings in 12 s", lists)
				}
				synctest.Wait()
				if heard := int(table.alarms.Load()); heard == 0 || follower.Health().PassedOver != heard {
					t.Errorf("%d alarms heard, %d counted", heard, follower.Health().PassedOver)
				}
			})
		}
	}
}

// An answer without rows says nothing of what is overdue: the copy is not as of its making then.
func TestCopyIsNotConfirmedWhileSomethingIsOverdue(t *testing.T) {
	following(t, withoutAudit(), func(t *testing.T, table *storedTable, _ *copySink, follower *Follower) {
		time.Sleep(5 * time.Second)
		table.silence(true)
		follower.Expect("", "row", table.put("row"))
		shown := time.Now()
		for time.Since(shown) < 3*time.Second && table.listed() == 1 {
			if asOf := follower.Health().AsOf; asOf.Sub(shown) > follower.config.Patience {
				t.Fatalf("as of %v after a row that it lacks", asOf.Sub(shown))
			}
			time.Sleep(5 * time.Millisecond)
		}
		if table.listed() < 2 {
			t.Error("the table was not listed anew")
		}
		follower.Expect("", "row", table.put("row"))
		shown = time.Now()
		for lists, until := table.listed(), time.Now().Add(20*time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			asOf := follower.Health().AsOf
			if table.listed() > lists { // the listing has told the row; here is another
				lists = table.listed()
				follower.Expect("", "row", table.put("row"))
				shown = time.Now()
				continue
			}
			if asOf.Sub(shown) > follower.config.Patience+2*follower.config.Pace {
				t.Fatalf("as of %v after a row that it lacks, listed %d times", asOf.Sub(shown), lists)
			}
		}
	})
}

// The age of a copy was counted from the arrival of an answer: one that lay on its way for 0.9 s
// was 0 s old when it came. It is as old as the moment at which it was made.
func TestLateAnswerIsAsOldAsItsMaking(t *testing.T) {
	following(t, withoutAudit(), func(t *testing.T, table *storedTable, sink *copySink, follower *Follower) {
		time.Sleep(3 * time.Second)
		const late = 900 * time.Millisecond
		table.mu.Lock()
		table.late = late
		table.mu.Unlock()
		version := table.put("row")
		made := time.Now()
		for sink.version("row") < version {
			time.Sleep(time.Millisecond)
		}
		if time.Since(made) < late {
			t.Fatal("the answer was not late")
		}
		if asOf := follower.Health().AsOf; asOf.After(made) {
			t.Errorf("as of %v after the answer was made", asOf.Sub(made))
		}
	})
}

// The rows of an answer are in the copy before it is called as of that answer's making.
func TestRowsAreInTheCopyBeforeItsAge(t *testing.T) {
	following(t, withoutAudit(), func(t *testing.T, table *storedTable, sink *copySink, follower *Follower) {
		for i := range 20 {
			time.Sleep(700 * time.Millisecond)
			before := follower.Health().AsOf
			sink.onChange = func() {
				if asOf := follower.Health().AsOf; !asOf.Equal(before) {
					t.Errorf("row %d: as of %v later before it is applied", i, asOf.Sub(before))
				}
			}
			table.put(fmt.Sprint(i))
		}
	})
}

// A change that a feed passed over, and that no call of this node has shown, stayed unknown for
// good. A listing of one part each AuditEvery finds it, be it a row or its removal.
func TestAuditFindsWhatNoOtherCallHasShown(t *testing.T) {
	following(t, DefaultFollowConfig(), func(t *testing.T, table *storedTable, sink *copySink, follower *Follower) {
		time.Sleep(time.Second)
		table.silence(true)
		missed := table.put("missed")
		table.silence(false)
		table.put("later") // tells this one, and that one with it: this store is in order
		table.silence(true)
		alone := table.put("alone")
		time.Sleep(2*follower.config.AuditEvery + time.Second)
		if sink.version("missed") != missed || sink.version("alone") != alone {
			t.Errorf("the copy has %v", sink.versions)
		}
	})
}

// An audit lists one part of a table. It applied the rows that it showed ahead of the feed, and so the
// row of a queue before the job whose acceptance had written it: the next job was accepted on a count
// that lacked that one. Such rows wait for the feed, or for a listing of all parts.
func TestRowsThatAnAuditShowsAheadWaitForTheFeed(t *testing.T) {
	following(t, DefaultFollowConfig(), func(t *testing.T, table *storedTable, sink *copySink, follower *Follower) {
		time.Sleep(time.Second)
		table.silence(true)
		sink.onTold = func() { t.Error("a row was applied that the feed has not told") }
		ahead := table.put("ahead")
		time.Sleep(2*follower.config.AuditEvery + time.Second)
		if sink.version("ahead") != ahead {
			t.Errorf("the copy has %v", sink.versions)
		}
	})
}

// TestListingKeepsWhatIsNewerThanIt: a row shown after the listing's moment is waited for still.
func TestListingKeepsWhatIsNewerThanIt(t *testing.T) {
	told, now := newToldRows(), time.Now()
	told.expect(rowPlace{key: "old"}, 5, now)
	told.expect(rowPlace{key: "new"}, 9, now)
	told.replace([]passthrough.Row{{Key: "old", Version: 5}}, 7)
	if _, waits := told.expected[rowPlace{key: "new"}]; !waits || len(told.expected) != 1 {
		t.Errorf("waits for %v", told.expected)
	}
}

// TestAuditTellsWhatIsLackedFromWhatIsToCome compares listings with what was told.
func TestAuditTellsWhatIsLackedFromWhatIsToCome(t *testing.T) {
	told, now := newToldRows(), time.Now()
	told.change([]passthrough.Row{{Key: "a", Version: 3}, {Key: "b", Version: 8}, {Key: "c", Version: 4}})
	lacked, ahead := told.audit("", keyRange{}, []passthrough.Row{{Key: "a", Version: 5}, {Key: "b", Version: 8}, {Key: "d", Version: 9}}, 9, now)
	if len(lacked) != 1 || lacked[0].Key != "a" || ahead != 1 || len(told.expected) != 2 || told.expected[rowPlace{key: "d"}].newest.version != 9 {
		t.Errorf("lacked %v, ahead %v", lacked, ahead)
	}
	for _, key := range []string{"c", "d"} { // a removal, and a row
		if _, waits := told.expected[rowPlace{key: key}]; !waits {
			t.Errorf("%s is not waited for", key)
		}
	}
}

// TestAuditOfAPageSaysNothingOfOtherKeys: rows before and after the page are not taken for removed.
func TestAuditOfAPageSaysNothingOfOtherKeys(t *testing.T) {
	told, now := newToldRows(), time.Now()
	told.change([]passthrough.Row{{Key: "a", Version: 3}, {Key: "b", Version: 4}, {Key: "c", Version: 5}, {Key: "d", Version: 6}})
	page := passthrough.Snapshot{Rows: []passthrough.Row{{Key: "b", Version: 4}}, More: true}
	if lacked, ahead := told.audit("", keyRange{from: "b", to: nextKey(page)}, page.Rows, 9, now); len(lacked)+ahead+len(told.expected) != 0 {
		t.Errorf("lacked %v, ahead %v, expected %v", lacked, ahead, told.expected)
	}
	_, _ = told.audit("", keyRange{from: "b\x00"}, []passthrough.Row{{Key: "d", Version: 6}}, 9, now)
	if _, waits := told.expected[rowPlace{key: "c"}]; !waits || len(told.expected) != 1 {
		t.Errorf("the removal of c is not waited for: %v", told.expected)
	}
}

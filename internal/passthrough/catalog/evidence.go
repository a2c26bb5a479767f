package catalog

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
)

// A table is listed again when its feed has skipped something, but not without a pause: a feed
// that merely lags must not make all nodes list all the time. Without the pause a fleet of 71
// nodes made 870 calls a second.
const (
	relistPauseMin   = time.Second
	relistPauseMax   = 2 * time.Second
	relistResetAfter = 30 * time.Second // after this long without such a listing, the pause starts from zero again
)

// alarm is a follower's record of changes that its feed skipped. It is guarded by Follower.mu.
type alarm struct {
	count       int
	consecutive int // without relistResetAfter between them
	last        time.Time
	// relistRequested means that the table must be listed again, as found by this follower or
	// requested by another.
	relistRequested bool
	checkScheduled  bool               // a call of checkOverdue is scheduled
	cancel          context.CancelFunc // cancels the call that waits for changes; nil if there is none
	interrupted     bool               // interruptCall ended that call
}

// raise records an alarm and reports true, unless the table was listed for one too recently.
func (a *alarm) raise(now time.Time) bool {
	if now.Sub(a.last) > relistResetAfter {
		a.consecutive = 0
	}
	if pause := min(relistPauseMin*time.Duration(a.consecutive), relistPauseMax); now.Sub(a.last) < pause {
		return false
	}
	a.count++
	a.consecutive++
	a.last = now
	return true
}

// Expect records a row that a call other than the feed has shown to be in the store. If the feed
// does not deliver it within MaxFeedLag, the table is listed again. The calls that the node makes
// anyway, at the least its own heartbeat, thus reveal a feed that skips changes.
func (f *Follower) Expect(part, key string, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progress.expect(rowID{part, key}, version, time.Now())
	if len(f.progress.expected) > 0 && !f.alarm.checkScheduled {
		f.alarm.checkScheduled = true
		time.AfterFunc(f.config.MaxFeedLag, f.checkOverdue)
	}
}

// checkOverdue interrupts a waiting call whose answer is overdue: either the store already had the
// expected change when the call was sent, or it should have delivered the change by now.
func (f *Follower) checkOverdue() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alarm.checkScheduled = false
	if len(f.progress.expected) == 0 {
		return
	}
	pause := f.config.MaxFeedLag
	if oldestAge := time.Since(f.progress.oldestExpectation()); oldestAge < pause {
		pause -= oldestAge
	} else {
		f.interruptCall()
	}
	f.alarm.checkScheduled = true
	time.AfterFunc(pause, f.checkOverdue)
}

// interruptCall ends the call that waits for changes. The caller holds mu.
func (f *Follower) interruptCall() {
	if f.alarm.cancel != nil {
		f.alarm.interrupted = true
		f.alarm.cancel()
	}
}

// Relist makes the follower list the table again.
func (f *Follower) Relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alarm.relistRequested = true
	f.interruptCall()
}

// OnSkippedChange sets a function that is called when the feed has skipped something, so that other
// tables of the same store are listed again as well. It must be called before Run.
func (f *Follower) OnSkippedChange(notify func()) { f.onSkipped = notify }

// fetchChanges asks for changes after a version, from a relay if there is one. While something is
// overdue the call is not held: an immediate answer shows whether the feed delivers it.
func (f *Follower) fetchChanges(ctx context.Context, version int64) (answer feedAnswer, err error) {
	call, cancel := context.WithTimeout(ctx, f.config.Wait+f.config.Slack)
	defer cancel()
	f.mu.Lock()
	hold := f.holdTime()
	if _, _, late := f.progress.overdueRow(time.Now(), f.config.MaxFeedLag); late || f.alarm.relistRequested {
		hold = 0
	} else {
		f.alarm.cancel = cancel
	}
	f.mu.Unlock()
	answer, found := f.fetchFromRelay(call, version, min(hold, f.config.Wait/2))
	if !found && call.Err() == nil {
		answer, err = f.fetchFromStore(call, version, hold)
	} else if !found {
		err = call.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alarm.cancel = nil
	if err == nil {
		f.alarm.interrupted = false
	}
	return answer, err
}

// holdTime returns how long the store may hold a call. It is shorter while other nodes follow this
// node's copy: their copies are staler by the duration of their own calls, and must be as fresh as
// configurations ask, also when this node becomes slow.
func (f *Follower) holdTime() time.Duration {
	if f.copy.hasReaders() {
		return f.config.Wait / 2
	}
	return f.config.Wait
}

// fetchFromStore asks the store's feed. A copy that has become stale, through a long listing or a
// relay that stopped answering, is confirmed by a call without hold, since others may wait for it.
// If the store confirms nothing either, such calls are no more frequent than held ones.
func (f *Follower) fetchFromStore(ctx context.Context, version int64, hold time.Duration) (feedAnswer, error) {
	stale := time.Since(f.copy.AsOf()) > f.config.Wait
	if stale && time.Since(f.storeCalledAt) > f.config.Wait {
		hold = 0
	}
	f.storeCalledAt = time.Now()
	sent, suspensions := time.Now(), f.watch.Count()
	snapshot, err := f.rows.Feed(ctx, f.table, version, hold)
	if err != nil {
		return feedAnswer{}, err
	}
	asOf := f.observeStoreClock(sent, suspensions, snapshot.StoreAt)
	return feedAnswer{rows: snapshot.Rows, asOf: asOf, expectedAsOf: sent, storeAt: snapshot.StoreAt}, nil
}

// wasInterrupted reports whether interruptCall ended the last call, and clears that flag.
func (f *Follower) wasInterrupted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	interrupted := f.alarm.interrupted
	f.alarm.interrupted = false
	return interrupted
}

// feedVerdict is what an answer shows about the feed itself.
type feedVerdict uint8

const (
	feedComplete    feedVerdict = iota // the answer lacks nothing that other calls have shown
	feedOverdue                        // it lacks something, but the table was listed for such a gap just before
	feedNeedsRelist                    // the table must be listed again
)

// checkFeed judges the feed by an answer to a call that was sent at a time.
func (f *Follower) checkFeed(sent time.Time) feedVerdict {
	f.mu.Lock()
	if f.alarm.relistRequested {
		f.alarm.relistRequested = false
		f.mu.Unlock()
		return feedNeedsRelist
	}
	id, missing, found := f.progress.overdueRow(sent, f.config.MaxFeedLag)
	raised := found && f.alarm.raise(time.Now())
	followedTo := f.progress.followedTo
	f.mu.Unlock()
	switch {
	case raised:
		f.reportSkipped(id, missing.version, followedTo, time.Since(missing.since))
		return feedNeedsRelist
	case found:
		return feedOverdue
	default:
		return feedComplete
	}
}

func (f *Follower) reportSkipped(id rowID, version, followedTo int64, knownFor time.Duration) {
	events.FeedSkippedChange.Log(f.logger, zap.String("table", f.table), zap.String("row", id.part+"/"+id.key),
		zap.Int64("row_version", version), zap.Int64("followed_to", followedTo), zap.Duration("known_for", knownFor))
	f.onSkipped()
}

// audit lists the next page of the table, part by part, and compares it with what the feed has
// delivered. It finds changes that no other call of this node has shown. Rows that the feed must
// still deliver are expected but not applied: otherwise a queue's row would be applied before the
// job that it counts. audit works page by page since a whole part with 10,000 engines is 2 MB. It
// reports whether the table must be listed again.
func (f *Follower) audit(ctx context.Context) bool {
	parts, err := f.parts(ctx)
	if err != nil || len(parts) == 0 {
		return false // the next call for changes reports a lost store
	}
	part := parts[f.partsAudited%len(parts)]
	page, err := f.listPage(ctx, part, f.auditFrom)
	if err != nil {
		return false // as above
	}
	keys := keyRange{from: f.auditFrom, to: nextKey(page)}
	if f.auditFrom = keys.to; keys.to == "" {
		f.partsAudited++
	}
	f.mu.Lock()
	skipped, ahead := f.progress.audit(part, keys, page.Rows, page.Version, time.Now())
	if len(skipped)+ahead == 0 && len(parts) == 1 && keys.unbounded() {
		f.progress.followedTo = max(f.progress.followedTo, page.Version) // everything written up to that version is known
	}
	followedTo := f.progress.followedTo
	found := len(skipped) > 0 && f.alarm.raise(time.Now())
	f.mu.Unlock()
	if found {
		f.reportSkipped(rowID{skipped[0].Part, skipped[0].Key}, skipped[0].Version, followedTo, 0)
	}
	return found
}

// nextKey returns the key at which the listing continues after a page, or "" if the page was the
// last.
func nextKey(page passthrough.Snapshot) string {
	if !page.More || len(page.Rows) == 0 {
		return ""
	}
	return page.Rows[len(page.Rows)-1].Key + "\x00"
}

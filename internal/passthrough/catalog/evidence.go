package catalog

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
)

// How often a table is listed anew since its feed passed something over: a feed that only lags
// must not have all nodes list all the time, 870 calls a second in a fleet of 71 without a pause.
const (
	relistPauseMin  = time.Second
	relistPauseMost = 2 * time.Second
	relistCalm      = 30 * time.Second // without such a listing the pause begins anew
)

// alarm is what a follower keeps of feeds that pass changes over; guarded by Follower.mu.
type alarm struct {
	count       int
	consecutive int // without a calm between
	last        time.Time
	// relist: the table is to be listed anew, by word of this follower or another.
	relist bool
	armed  bool               // a look at what is overdue is to come
	cancel context.CancelFunc // of the call that waits for changes; nil: none does
	broken bool               // that call was broken off by a look
}

// raise notes an alarm, unless the table was listed for one just before.
func (a *alarm) raise(now time.Time) bool {
	if now.Sub(a.last) > relistCalm {
		a.consecutive = 0
	}
	if pause := min(relistPauseMin*time.Duration(a.consecutive), relistPauseMost); now.Sub(a.last) < pause {
		return false
	}
	a.count++
	a.consecutive++
	a.last = now
	return true
}

// Expect tells the follower of a row that a call beside the feed has shown in the store. If the feed
// doesn't tell it within Patience, the table is listed anew: a feed that passes changes over
// is found by the calls that are made anyway, at the least by the node's own sign of life.
func (f *Follower) Expect(part, key string, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told.expect(rowPlace{part, key}, version, time.Now())
	if len(f.told.expected) > 0 && !f.alarm.armed {
		f.alarm.armed = true
		time.AfterFunc(f.config.Patience, f.lookForOverdue)
	}
}

// lookForOverdue breaks a waiting call off whose answer should have come: the store had what the
// call waits for before that was sent, or told it now.
func (f *Follower) lookForOverdue() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alarm.armed = false
	if len(f.told.expected) == 0 {
		return
	}
	pause := f.config.Patience
	if oldest := time.Since(f.told.oldestExpected()); oldest < pause {
		pause -= oldest
	} else {
		f.breakOff()
	}
	f.alarm.armed = true
	time.AfterFunc(pause, f.lookForOverdue)
}

// breakOff ends the call that waits for changes; the caller holds mu.
func (f *Follower) breakOff() {
	if f.alarm.cancel != nil {
		f.alarm.broken = true
		f.alarm.cancel()
	}
}

// Relist has the table listed anew.
func (f *Follower) Relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alarm.relist = true
	f.breakOff()
}

// OnPassedOver has a function hear that the feed has passed something over, so that other tables
// of the same store are listed anew as well; called before Run.
func (f *Follower) OnPassedOver(hear func()) { f.passedOverHeard = hear }

// ask asks for changes after a version, a relay where there is one. While something is overdue
// nobody is let wait: an answer at once shows whether the feed tells it.
func (f *Follower) ask(ctx context.Context, version int64) (told answered, err error) {
	call, cancel := context.WithTimeout(ctx, f.config.Wait+f.config.Slack)
	defer cancel()
	f.mu.Lock()
	hold := f.hold()
	if _, _, late := f.told.passedOver(time.Now(), f.config.Patience); late || f.alarm.relist {
		hold = 0
	} else {
		f.alarm.cancel = cancel
	}
	f.mu.Unlock()
	told, found := f.askRelay(call, version, min(hold, f.config.Wait/2))
	if !found && call.Err() == nil {
		told, err = f.askStore(call, version, hold)
	} else if !found {
		err = call.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alarm.cancel = nil
	if err == nil {
		f.alarm.broken = false
	}
	return told, err
}

// hold is how long the store may hold a call. It is shorter while other nodes follow this one's
// copy: what they go by is older by their own calls, and has to be as fresh as
// configurations ask, also where this node turns slow.
func (f *Follower) hold() time.Duration {
	if f.copy.followed() {
		return f.config.Wait / 2
	}
	return f.config.Wait
}

// askStore asks the store's feed. A copy that has grown old, by a long listing or by a relay that fell
// silent, is confirmed at once, since others may wait for it; not more often than
// calls are made that wait, when the store confirms nothing either.
func (f *Follower) askStore(ctx context.Context, version int64, hold time.Duration) (answered, error) {
	old := time.Since(f.copy.AsOf()) > f.config.Wait
	if old && time.Since(f.storeAsked) > f.config.Wait {
		hold = 0
	}
	f.storeAsked = time.Now()
	sent, suspensions := time.Now(), f.watch.Count()
	snapshot, err := f.rows.Feed(ctx, f.table, version, hold)
	if err != nil {
		return answered{}, err
	}
	asOf := f.hearClock(sent, suspensions, snapshot.StoreAt)
	return answered{rows: snapshot.Rows, asOf: asOf, shownBy: sent, storeAt: snapshot.StoreAt}, nil
}

// brokenOff says whether the last call was ended by a look at what is overdue, once.
func (f *Follower) brokenOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	broken := f.alarm.broken
	f.alarm.broken = false
	return broken
}

// finding is what an answer of the feed shows of the feed itself.
type finding uint8

const (
	inOrder finding = iota // it lacks nothing that is known otherwise
	overdue                // it lacks something, and the table was listed for such a lack just before
	relist                 // the table is to be listed anew
)

// judge says what an answer shows whose call was sent at a moment.
func (f *Follower) judge(sent time.Time) finding {
	f.mu.Lock()
	if f.alarm.relist {
		f.alarm.relist = false
		f.mu.Unlock()
		return relist
	}
	place, missing, found := f.told.passedOver(sent, f.config.Patience)
	raised := found && f.alarm.raise(time.Now())
	followedTo := f.told.followedTo
	f.mu.Unlock()
	switch {
	case raised:
		f.tellPassedOver(place, missing.version, followedTo, time.Since(missing.since))
		return relist
	case found:
		return overdue
	default:
		return inOrder
	}
}

func (f *Follower) tellPassedOver(place rowPlace, version, followedTo int64, knownFor time.Duration) {
	events.FeedPassedOver.Log(f.logger, zap.String("table", f.table), zap.String("row", place.part+"/"+place.key),
		zap.Int64("row_version", version), zap.Int64("followed_to", followedTo), zap.Duration("known_for", knownFor))
	f.passedOverHeard()
}

// audit lists the next page of the table, part after part, and compares it with what was told. It
// finds what no other call of this node has shown. Rows that the feed has yet to tell are expected of
// it, and not applied: a queue's row would come before the job that it counts. It says whether the
// table is to be listed anew. A page at a time: a whole part of 10,000 engines is 2 MB.
func (f *Follower) audit(ctx context.Context) bool {
	parts, err := f.parts(ctx)
	if err != nil || len(parts) == 0 {
		return false // the next call for changes tells of a store that is lost
	}
	part := parts[f.audits%len(parts)]
	page, err := f.listPage(ctx, part, f.auditFrom)
	if err != nil {
		return false // as above
	}
	keys := keyRange{from: f.auditFrom, to: nextKey(page)}
	if f.auditFrom = keys.to; keys.to == "" {
		f.audits++
	}
	f.mu.Lock()
	lacked, ahead := f.told.audit(part, keys, page.Rows, page.Version, time.Now())
	if len(lacked)+ahead == 0 && len(parts) == 1 && keys.whole() {
		f.told.followedTo = max(f.told.followedTo, page.Version) // all that was written up to then is known
	}
	followedTo := f.told.followedTo
	found := len(lacked) > 0 && f.alarm.raise(time.Now())
	f.mu.Unlock()
	if found {
		f.tellPassedOver(rowPlace{lacked[0].Part, lacked[0].Key}, lacked[0].Version, followedTo, 0)
	}
	return found
}

// nextKey gives the key from which a list goes on after a page; empty: it was the last.
func nextKey(page passthrough.Snapshot) string {
	if !page.More || len(page.Rows) == 0 {
		return ""
	}
	return page.Rows[len(page.Rows)-1].Key + "\x00"
}

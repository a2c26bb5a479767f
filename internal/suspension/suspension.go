// Package suspension notices that the machine was suspended. The steady clock, by which
// a node measures how old its beliefs are, does not count that time, and timers sleep
// through it: a node that wakes takes what it knew before for fresh. Parts of a node
// register what they correct then, and whoever is about to act on a belief looks first.
package suspension

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"ringstream.example/ringstream/internal/wait"
)

// Clock gives how long the machine has been suspended in all, since any moment.
type Clock interface {
	Suspended() time.Duration
}

// SystemClock reads the machine's clocks. A reading takes 0.4 us.
type SystemClock struct{ began time.Time }

// NewSystemClock makes a clock that counts from now on.
func NewSystemClock() SystemClock { return SystemClock{began: time.Now()} }

// readWithin is how long the readings of the two clocks may take to belong together: a
// process that is held up between them would else see a suspension.
const readWithin = time.Millisecond

// readTries is how often they are read again.
const readTries = 5

// Suspended implements Clock: by how much CLOCK_BOOTTIME, which goes on through a
// suspension, is ahead of the steady clock. A step of the time of day moves neither.
func (c SystemClock) Suspended() time.Duration {
	var ahead time.Duration
	for range readTries {
		before := time.Since(c.began)
		var now unix.Timespec
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
			return 0 // a kernel without this clock has no suspension that it counts
		}
		after := time.Since(c.began)
		ahead = time.Duration(now.Nano()) - after
		if after-before <= readWithin {
			break
		}
	}
	return ahead
}

// Least is the shortest suspension that is noticed: well over the clocks' noise, and under
// the shortest time by which nodes judge each other (grant.DispatcherConfig.UnusedAfter).
const Least = 50 * time.Millisecond

// Watch notices suspensions. A nil Watch notices none.
type Watch struct {
	clock   Clock
	known   atomic.Int64  // nanoseconds suspended, as far as has been corrected
	total   atomic.Int64  // the same, from the moment on at which the correcting begins
	noticed atomic.Uint64 // suspensions

	correcting sync.Mutex
	correct    []func(gap time.Duration)
}

// NewWatch makes a watch.
func NewWatch(clock Clock) *Watch {
	watch := &Watch{clock: clock}
	watch.known.Store(int64(clock.Suspended()))
	watch.total.Store(watch.known.Load())
	return watch
}

// OnWake adds a function that corrects a part's beliefs by the length of a suspension. It
// must not call Look. Called before the watch is used.
func (w *Watch) OnWake(correct func(gap time.Duration)) {
	if w != nil {
		w.correct = append(w.correct, correct)
	}
}

// Look has all beliefs corrected if the machine was suspended since the last look, and
// returns when they are. The caller holds no lock.
func (w *Watch) Look() {
	if w == nil || !w.apart() {
		return
	}
	w.correcting.Lock()
	defer w.correcting.Unlock()
	suspended := w.clock.Suspended()
	gap := suspended - time.Duration(w.known.Load())
	if gap < Least {
		return // another caller has corrected
	}
	w.noticed.Add(1)
	w.total.Store(int64(suspended))
	for _, correct := range w.correct {
		correct(gap)
	}
	w.known.Store(int64(suspended))
}

// apart says whether the clocks went apart since the last correction.
func (w *Watch) apart() bool {
	return w.clock.Suspended()-time.Duration(w.known.Load()) >= Least
}

// Total gives how long the machine was suspended in all, as far as was noticed: for what is
// not known yet to a function of OnWake when it is called.
func (w *Watch) Total() time.Duration {
	if w == nil {
		return 0
	}
	return time.Duration(w.total.Load())
}

// Corrected gives how long the machine was suspended in all, as far as all beliefs are
// corrected by.
func (w *Watch) Corrected() time.Duration { return time.Duration(w.known.Load()) }

// Count gives the suspensions noticed so far. What was asked before one and is answered
// after it may be older than it seems.
func (w *Watch) Count() uint64 {
	if w == nil {
		return 0
	}
	w.Look()
	return w.noticed.Load()
}

// lookEvery is the pause between two looks while nothing else looks: so late are requests
// ended whose time was up during a suspension.
const lookEvery = 250 * time.Millisecond

// Run looks now and then until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	for wait.For(ctx, lookEvery) {
		w.Look()
	}
	return nil
}

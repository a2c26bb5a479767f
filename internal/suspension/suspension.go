// Package suspension detects that the machine was suspended. The monotonic clock, with
// which a node measures the age of its state, does not advance during a suspension, and
// timers do not run. After resuming, a node would therefore treat old state as fresh.
// Components register corrections of their state, and code that is about to act on such
// state calls Check first.
package suspension

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"ringstream.example/ringstream/internal/wait"
)

// Clock measures the total time for which the machine has been suspended since an
// arbitrary fixed moment.
type Clock interface {
	Suspended() time.Duration
}

// SystemClock reads the machine's clocks. A reading takes 0.4 us.
type SystemClock struct{ started time.Time }

// NewSystemClock creates a clock that counts suspensions from now on.
func NewSystemClock() SystemClock { return SystemClock{started: time.Now()} }

// maxReadDuration bounds the time to read both clocks in one attempt. A process that is
// delayed between the reads would otherwise detect a suspension that did not happen.
const maxReadDuration = time.Millisecond

// readAttempts is the number of attempts to read both clocks within maxReadDuration.
const readAttempts = 5

// Suspended implements Clock. It returns how far CLOCK_BOOTTIME, which advances during a
// suspension, is ahead of the monotonic clock. A step of the wall clock affects neither.
func (c SystemClock) Suspended() time.Duration {
	var ahead time.Duration
	for range readAttempts {
		before := time.Since(c.started)
		var now unix.Timespec
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
			return 0 // a kernel without this clock does not count suspensions
		}
		after := time.Since(c.started)
		ahead = time.Duration(now.Nano()) - after
		if after-before <= maxReadDuration {
			break
		}
	}
	return ahead
}

// MinDetected is the shortest suspension that is detected. It is well above the noise of the
// clocks and below the shortest timeout that nodes apply to each other
// (grant.DispatcherConfig.GrantTimeout).
const MinDetected = 50 * time.Millisecond

// Watch detects suspensions and runs the registered corrections. A nil Watch detects none.
type Watch struct {
	clock     Clock
	corrected atomic.Int64  // nanoseconds of suspension for which all corrections have run
	total     atomic.Int64  // nanoseconds of suspension detected; set before the corrections run
	noticed   atomic.Uint64 // number of suspensions detected

	correctMutex sync.Mutex
	corrections  []func(gap time.Duration)
}

// NewWatch creates a watch for suspensions from now on.
func NewWatch(clock Clock) *Watch {
	watch := &Watch{clock: clock}
	watch.corrected.Store(int64(clock.Suspended()))
	watch.total.Store(watch.corrected.Load())
	return watch
}

// OnResume registers a function that corrects a component's state by the length of a
// suspension. The function must not call Check. OnResume must be called before the watch is
// used.
func (w *Watch) OnResume(correct func(gap time.Duration)) {
	if w != nil {
		w.corrections = append(w.corrections, correct)
	}
}

// Check checks whether the machine was suspended since the last correction. If so, it runs
// all corrections and returns when they are complete. The caller must hold no lock.
func (w *Watch) Check() {
	if w == nil || !w.clocksDiverged() {
		return
	}
	w.correctMutex.Lock()
	defer w.correctMutex.Unlock()
	suspended := w.clock.Suspended()
	gap := suspended - time.Duration(w.corrected.Load())
	if gap < MinDetected {
		return // another caller has run the corrections
	}
	w.noticed.Add(1)
	w.total.Store(int64(suspended))
	for _, correct := range w.corrections {
		correct(gap)
	}
	w.corrected.Store(int64(suspended))
}

// clocksDiverged reports whether the clocks have diverged by MinDetected or more since the last
// correction.
func (w *Watch) clocksDiverged() bool {
	return w.clock.Suspended()-time.Duration(w.corrected.Load()) >= MinDetected
}

// Total returns the total suspension time detected so far, including a suspension whose
// corrections are still running. It serves state that an OnResume function cannot know yet
// when it runs.
func (w *Watch) Total() time.Duration {
	if w == nil {
		return 0
	}
	return time.Duration(w.total.Load())
}

// Corrected returns the total suspension time for which all corrections have run.
func (w *Watch) Corrected() time.Duration { return time.Duration(w.corrected.Load()) }

// Count returns the number of suspensions detected so far. If it changes between a request
// and its response, the response may be older than it appears.
func (w *Watch) Count() uint64 {
	if w == nil {
		return 0
	}
	w.Check()
	return w.noticed.Load()
}

// lookInterval is the interval of Check calls by Run. It bounds the delay until requests
// whose deadline passed during a suspension are ended.
const lookInterval = 250 * time.Millisecond

// Run calls Check every lookInterval until ctx is done.
func (w *Watch) Run(ctx context.Context) error {
	for wait.For(ctx, lookInterval) {
		w.Check()
	}
	return nil
}

package batch

import (
	"context"
	"sync"
	"time"
)

// confirmTimeout bounds a store read that readers wait for. Readers give up 1.5 s after the time
// that they allow, and a refusal has to reach them before that.
const confirmTimeout = 1200 * time.Millisecond

// gatherPause is how long readers that arrive while an earlier call is in flight are gathered for
// the next call: 20 readers within some milliseconds cause 2 calls instead of 20.
const gatherPause = 15 * time.Millisecond

// recordAnswer is the result of reading a job from the store.
type recordAnswer struct {
	entry       jobEntry
	found       bool
	err         error
	requestedAt time.Time // when the call was started
}

// confirmCall is one store read of a job that readers share.
type confirmCall struct {
	startedAt time.Time     // zero: not started; guarded by confirmer.mu
	done      chan struct{} // closed when answer is set
	answer    recordAnswer
}

// confirmer reads jobs from the store on behalf of readers. A copy that follows a feed cannot show
// that a job has no further result: feeds lag, stop sending, or skip changes. A negative answer is
// therefore confirmed by a call started after the reader's request, and readers that wait for the
// same job share one call.
type confirmer struct {
	read func(ctx context.Context, id string) recordAnswer

	mu      sync.Mutex // guards the fields below
	newest  map[string]*confirmCall
	waiting map[string]int // number of readers, by job
}

func newConfirmer(read func(context.Context, string) recordAnswer) *confirmer {
	return &confirmer{read: read, newest: make(map[string]*confirmCall), waiting: make(map[string]int)}
}

// confirm returns a job as the store had it at some time after the given one.
func (c *confirmer) confirm(ctx context.Context, id string, after time.Time) recordAnswer {
	call := c.join(id, after)
	defer c.leave(id)
	select {
	case <-call.done:
		return call.answer
	case <-ctx.Done():
		return recordAnswer{err: ctx.Err(), requestedAt: time.Now()}
	}
}

// join returns a call that starts after the given time: the newest one if it does, or a new one.
func (c *confirmer) join(id string, after time.Time) *confirmCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[id]++
	known := c.newest[id]
	if known != nil && (known.startedAt.IsZero() || known.startedAt.After(after) && known.usable()) {
		return known
	}
	next := &confirmCall{done: make(chan struct{})}
	c.newest[id] = next
	if known != nil && known.inFlight() {
		go c.runAfter(gatherPause, id, next)
		return next
	}
	next.startedAt = time.Now()
	go c.run(id, next)
	return next
}

// inFlight reports whether the call has no answer yet.
func (c *confirmCall) inFlight() bool {
	select {
	case <-c.done:
		return false
	default:
		return true
	}
}

// usable reports whether the call has no answer yet or was answered by the store.
func (c *confirmCall) usable() bool { return c.inFlight() || c.answer.err == nil }

// runAfter makes a call after a pause in which further readers join it.
func (c *confirmer) runAfter(pause time.Duration, id string, call *confirmCall) {
	time.Sleep(pause)
	c.mu.Lock()
	call.startedAt = time.Now()
	c.mu.Unlock()
	c.run(id, call)
}

// run makes a call. The call does not end with the reader that started it, since others wait for
// it.
func (c *confirmer) run(id string, call *confirmCall) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	startedAt := time.Now()
	call.answer = c.read(ctx, id)
	call.answer.requestedAt = startedAt
	close(call.done)
}

// leave unregisters a reader. When no reader of a job is left, the job's last answer is discarded.
func (c *confirmer) leave(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[id]--
	if c.waiting[id] <= 0 {
		delete(c.waiting, id)
		delete(c.newest, id)
	}
}

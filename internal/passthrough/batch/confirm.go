package batch

import (
	"context"
	"sync"
	"time"
)

// confirmTime bounds a question whose answer a reader waits for: readers leave 1.5 s after the time
// that they allow, and a refusal has to reach them before that.
const confirmTime = 1200 * time.Millisecond

// gatherFor is how long readers that come while an earlier call is under way are gathered for the
// next one: 20 readers within some milliseconds make 2 calls in place of 20.
const gatherFor = 15 * time.Millisecond

// recordAnswer is a job as the store had it.
type recordAnswer struct {
	entry entry
	found bool
	err   error
	asked time.Time // when the call was begun
}

// question is one call that asks the store for a job.
type question struct {
	begun  time.Time     // zero: not yet; guarded by confirmations.mu
	done   chan struct{} // closed when answer is set
	answer recordAnswer
}

// confirmations asks the store for jobs on behalf of readers. A copy that follows a feed can't show
// that a job has no further result: feeds lag, fall silent, or pass changes over. So what denies is
// asked for, by a call begun after the reader's, and readers that wait for the same job share one.
type confirmations struct {
	ask func(ctx context.Context, id string) recordAnswer

	mu      sync.Mutex // guards the rest
	newest  map[string]*question
	waiting map[string]int // readers, by job
}

func newConfirmations(ask func(context.Context, string) recordAnswer) *confirmations {
	return &confirmations{ask: ask, newest: make(map[string]*question), waiting: make(map[string]int)}
}

// confirm gives a job as the store had it at some moment after one given.
func (c *confirmations) confirm(ctx context.Context, id string, after time.Time) recordAnswer {
	asked := c.join(id, after)
	defer c.leave(id)
	select {
	case <-asked.done:
		return asked.answer
	case <-ctx.Done():
		return recordAnswer{err: ctx.Err(), asked: time.Now()}
	}
}

// join gives a call that is begun after a moment: one that is there, or a new one.
func (c *confirmations) join(id string, after time.Time) *question {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[id]++
	known := c.newest[id]
	if known != nil && (known.begun.IsZero() || known.begun.After(after) && known.usable()) {
		return known
	}
	next := &question{done: make(chan struct{})}
	c.newest[id] = next
	if known != nil && known.underWay() {
		go c.runAfter(gatherFor, id, next)
		return next
	}
	next.begun = time.Now()
	go c.run(id, next)
	return next
}

// underWay says whether a call has no answer yet.
func (q *question) underWay() bool {
	select {
	case <-q.done:
		return false
	default:
		return true
	}
}

// usable says whether a call is under way or was answered by the store.
func (q *question) usable() bool { return q.underWay() || q.answer.err == nil }

// runAfter gathers readers before it makes a call.
func (c *confirmations) runAfter(pause time.Duration, id string, asked *question) {
	time.Sleep(pause)
	c.mu.Lock()
	asked.begun = time.Now()
	c.mu.Unlock()
	c.run(id, asked)
}

// run makes a call; it outlives the reader that began it, for the others that wait.
func (c *confirmations) run(id string, asked *question) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTime)
	defer cancel()
	begun := time.Now()
	asked.answer = c.ask(ctx, id)
	asked.answer.asked = begun
	close(asked.done)
}

// leave forgets a job's last answer when no reader is left that could use it.
func (c *confirmations) leave(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[id]--
	if c.waiting[id] <= 0 {
		delete(c.waiting, id)
		delete(c.newest, id)
	}
}

package runner

import (
	"context"
	"errors"
	"time"

	"ringstream.example/ringstream/internal/core/batch"
	"ringstream.example/ringstream/internal/dispatch"
)

// intentWait is an attempt that may be sent once its intent is committed.
type intentWait struct {
	job       *job
	intent    batch.ItemIntent
	done      chan error // of capacity 1
	abandoned bool       // the sender stopped waiting and sent nothing
}

// The reasons why an item is not sent.
var (
	errIntentTimeout = errors.New("the intent could not be recorded in time")
	errJobEnded      = errors.New("the job has ended, or its shard was lost")
)

// recordIntent returns nil once the intent is durable. On an error nothing may be
// sent. The intent may still become durable, in which case the item only counts
// as possibly sent after a crash.
func (r *Runner) recordIntent(ctx context.Context, run itemRun, intent dispatch.Intent) error {
	wait := &intentWait{
		job:    run.job,
		intent: batch.ItemIntent{Index: run.index, Intent: intent},
		done:   make(chan error, 1),
	}
	r.mu.Lock()
	if run.job.state.Closed() {
		r.mu.Unlock()
		return errJobEnded
	}
	r.intents = append(r.intents, wait)
	r.mu.Unlock()
	signal(r.wakeCommit)
	timer := time.NewTimer(r.config.IntentTimeout)
	defer timer.Stop()
	var err error
	select {
	case err = <-wait.done:
		return err
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = errIntentTimeout
	}
	r.mu.Lock()
	wait.abandoned = true
	r.mu.Unlock()
	return err
}

package runner

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/batch"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/dispatch"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/jobs/record"
	"ringstream.example/ringstream/internal/limits"
	"ringstream.example/ringstream/internal/wait"
)

// The delays before an item is retried.
const (
	refusedRetryDelay    = 200 * time.Millisecond
	unansweredRetryDelay = 500 * time.Millisecond
	resumeRetryDelay     = time.Second
)

// invalidRequestCode marks a refusal that a retry cannot change.
const invalidRequestCode = string(apierror.CodeInvalidRequest)

// execute runs one item on reserved capacity.
func (r *Runner) execute(slot dispatch.Slot, u itemRun) {
	defer r.runEnded(u)
	row, found := r.row(&u.job.header)
	if !found {
		slot.Release()
		r.locked(func() { r.requeueItem(u, refusedRetryDelay) })
		return
	}
	release, decision := r.admit(row, u)
	if !decision.Allowed {
		slot.Release()
		r.locked(func() { r.requeueItem(u, max(refusedRetryDelay, decision.RetryAfter)) })
		return
	}
	ctx := u.job.context
	if !u.repeatable() {
		ctx = u.job.nonRepeatable
	}
	output := &output{tokens: slices.Clone(u.keptTokens)}
	var sent dispatch.Intent
	request := dispatch.Request{
		ID: requestID(u.job.header.ID, u.index), Tenant: u.job.header.Tenant, Row: row, Kind: policy.KindBatch,
		Model: u.job.header.Model, Prompt: u.item.Prompt, MaxTokens: u.item.MaxTokens,
		KeptTokens: slices.Clone(u.keptTokens), Repeatable: u.repeatable(),
	}
	if !u.repeatable() {
		request.BeforeSend = func(ctx context.Context, intent dispatch.Intent) error {
			err := r.recordIntent(ctx, u, intent)
			if err == nil {
				sent = intent
			}
			return err
		}
	}
	ended := slot.Run(ctx, request, output.take)
	release(ended.OutputTokens)
	r.metrics.attempts.WithLabelValues(ended.Kind.String()).Inc()
	if u.repeatable() {
		r.settleRepeatable(u, ended, output)
		return
	}
	r.settleNonRepeatable(u, ended, output, sent)
}

func (r *Runner) admit(row policy.Row, u itemRun) (func(used int), limits.Decision) {
	if r.deps.Limits == nil {
		return func(int) {}, limits.Decision{Allowed: true}
	}
	return r.deps.Limits.Admit(row, u.job.header.Tenant, u.item.MaxTokens+len(u.item.Prompt)/bytesPerToken)
}

// bytesPerToken approximates the size of a token in a prompt.
const bytesPerToken = 4

func (r *Runner) locked(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
}

// runEnded updates the counts of running items after an item's run.
func (r *Runner) runEnded(u itemRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runningItems--
	if u.repeatable() {
		u.job.repeatableRunning--
	}
	r.wakeLocked()
}

// settleRepeatable finishes or requeues a repeatable item after an attempt.
func (r *Runner) settleRepeatable(u itemRun, ended outcome.Outcome, output *output) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch ended.Kind {
	case outcome.Completed:
		r.finishItem(u, batch.Completed, record.Result{Text: output.text()})
	case outcome.Failed:
		r.finishItem(u, batch.Failed, record.Result{Reason: reason(ended)})
	case outcome.Refused:
		if ended.Code == invalidRequestCode {
			r.finishItem(u, batch.Failed, record.Result{Reason: reason(ended)})
			return
		}
		u.keptTokens = output.tokens
		r.requeueItem(u, max(refusedRetryDelay, ended.RetryAfter))
	case outcome.Preempted:
		u.keptTokens = output.tokens
		r.requeueItem(u, 0)
	case outcome.Cancelled:
		u.keptTokens = output.tokens
		r.requeueItem(u, refusedRetryDelay)
	default:
		u.unansweredAttempts++
		u.keptTokens = output.tokens
		if u.unansweredAttempts >= r.config.RepeatAttempts {
			r.finishItem(u, batch.Failed, record.Result{Reason: "no attempt was answered: " + reason(ended)})
			return
		}
		r.requeueItem(u, unansweredRetryDelay)
	}
}

// settleNonRepeatable finishes or requeues a non-repeatable item after its
// attempt. An item that was never sent is requeued. An item that may have run is
// finished here, or resumed to learn its outcome.
func (r *Runner) settleNonRepeatable(u itemRun, ended outcome.Outcome, output *output, sent dispatch.Intent) {
	switch {
	case ended.Kind == outcome.Completed:
		r.locked(func() { r.finishItem(u, batch.Completed, record.Result{Text: output.text()}) })
	case ended.Kind == outcome.Failed:
		r.locked(func() { r.finishItem(u, batch.Failed, record.Result{Reason: reason(ended)}) })
	case ended.Kind == outcome.Refused && ended.Code == invalidRequestCode:
		r.locked(func() { r.finishItem(u, batch.Failed, record.Result{Reason: reason(ended)}) })
	case sent.Attempt == "" || ended.Kind == outcome.Refused:
		r.locked(func() { r.requeueItem(u, max(refusedRetryDelay, ended.RetryAfter)) })
	default:
		r.resume(u, sent, reason(ended))
	}
}

// resumeIntent settles an item whose intent was recorded by an earlier holder of
// the shard.
func (r *Runner) resumeIntent(j *job, intended batch.ItemIntent) {
	number, offset := j.state.Locate(intended.Index)
	var items []record.Item
	for {
		var err error
		if items, _, err = r.fetchInput(j, number); err == nil {
			break
		}
		if wait.For(j.context, inputRetryDelay); j.context.Err() != nil {
			return
		}
	}
	u := itemRun{job: j, index: intended.Index, item: items[offset]}
	r.resume(u, intended.Intent, "the node that ran it was lost")
}

// resume resumes an attempt that may have been sent, and never sends it. When the
// engine confirms that the attempt never ran, the item is requeued for a new
// intent. When the outcome is still not known after ResumeAttempts, the item
// ends as unknown.
func (r *Runner) resume(u itemRun, sent dispatch.Intent, unknownReason string) {
	for attempt := range r.config.ResumeAttempts {
		if attempt > 0 {
			wait.For(u.job.context, resumeRetryDelay<<min(attempt-1, maxResumeShift))
		}
		if u.job.context.Err() != nil {
			return
		}
		output := &output{}
		ended := r.deps.Batch.Resume(u.job.nonRepeatable, sent, 0, output.take)
		switch ended.Kind {
		case outcome.Completed:
			r.locked(func() { r.finishItem(u, batch.Completed, record.Result{Text: output.text()}) })
			return
		case outcome.Failed:
			r.locked(func() { r.finishItem(u, batch.Failed, record.Result{Reason: reason(ended)}) })
			return
		case outcome.Refused:
			r.locked(func() { r.requeueItem(u, refusedRetryDelay) })
			return
		default:
			unknownReason = unknownReason + "; " + reason(ended)
		}
	}
	if u.job.context.Err() != nil {
		return
	}
	events.JobItemUnknown.Log(r.logger, zap.String("job", string(u.job.header.ID)), zap.Int("item", u.index),
		zap.String("attempt", string(sent.Attempt)), zap.String("reason", unknownReason))
	r.locked(func() { r.finishItem(u, batch.Unknown, record.Result{Reason: unknownReason}) })
}

// maxResumeShift bounds the exponential backoff between resume attempts.
const maxResumeShift = 3

// finishItem sets an item's final outcome. r.mu is held.
func (r *Runner) finishItem(u itemRun, code batch.Code, result record.Result) {
	result.Outcome = code.Outcome().String()
	r.queueOutcome(u, code, result)
	if row, found := r.row(&u.job.header); found {
		if rate := r.groups[capacityGroup{pool: row.Pool, model: u.job.header.Model}]; rate != nil {
			rate.endedItems++
		}
	}
}

func reason(ended outcome.Outcome) string {
	if ended.Reason != "" {
		return ended.Reason
	}
	if ended.Code != "" {
		return ended.Code
	}
	return ended.Kind.String()
}

// output collects one attempt's tokens. One goroutine uses it.
type output struct{ tokens []string }

var errOffset = errors.New("runner: token out of order")

func (o *output) take(token backend.Token) error {
	if token.Offset != len(o.tokens) {
		return errOffset
	}
	o.tokens = append(o.tokens, token.Text)
	return nil
}

func (o *output) text() string { return strings.Join(o.tokens, "") }

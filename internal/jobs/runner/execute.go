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
func (r *Runner) execute(slot dispatch.Slot, run itemRun) {
	defer r.runEnded(run)
	row, found := r.row(&run.job.header)
	if !found {
		slot.Release()
		r.locked(func() { r.requeueItem(run, refusedRetryDelay) })
		return
	}
	release, decision := r.admit(row, run)
	if !decision.Allowed {
		slot.Release()
		r.locked(func() { r.requeueItem(run, max(refusedRetryDelay, decision.RetryAfter)) })
		return
	}
	ctx := run.job.context
	if !run.repeatable() {
		ctx = run.job.nonRepeatable
	}
	output := &output{tokens: slices.Clone(run.keptTokens)}
	var sent dispatch.Intent
	request := dispatch.Request{
		ID: requestID(run.job.header.ID, run.index), Tenant: run.job.header.Tenant, Row: row, Kind: policy.KindBatch,
		Model: run.job.header.Model, Prompt: run.item.Prompt, MaxTokens: run.item.MaxTokens,
		KeptTokens: slices.Clone(run.keptTokens), Repeatable: run.repeatable(),
	}
	if !run.repeatable() {
		request.BeforeSend = func(ctx context.Context, intent dispatch.Intent) error {
			err := r.recordIntent(ctx, run, intent)
			if err == nil {
				sent = intent
			}
			return err
		}
	}
	ended := slot.Run(ctx, request, output.take)
	release(ended.OutputTokens)
	r.metrics.attempts.WithLabelValues(ended.Kind.String()).Inc()
	if run.repeatable() {
		r.settleRepeatable(run, ended, output)
		return
	}
	r.settleNonRepeatable(run, ended, output, sent)
}

func (r *Runner) admit(row policy.Row, run itemRun) (func(used int), limits.Decision) {
	if r.deps.Limits == nil {
		return func(int) {}, limits.Decision{Allowed: true}
	}
	return r.deps.Limits.Admit(row, run.job.header.Tenant, run.item.MaxTokens+len(run.item.Prompt)/bytesPerToken)
}

// bytesPerToken approximates the size of a token in a prompt.
const bytesPerToken = 4

func (r *Runner) locked(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
}

// runEnded updates the counts of running items after an item's run.
func (r *Runner) runEnded(run itemRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runningItems--
	if run.repeatable() {
		run.job.repeatableRunning--
	}
	r.wakeLocked()
}

// settleRepeatable finishes or requeues a repeatable item after an attempt.
func (r *Runner) settleRepeatable(run itemRun, ended outcome.Outcome, output *output) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch ended.Kind {
	case outcome.Completed:
		r.finishItem(run, batch.Completed, record.Result{Text: output.text()})
	case outcome.Failed:
		r.finishItem(run, batch.Failed, record.Result{Reason: reason(ended)})
	case outcome.Refused:
		if ended.Code == invalidRequestCode {
			r.finishItem(run, batch.Failed, record.Result{Reason: reason(ended)})
			return
		}
		run.keptTokens = output.tokens
		r.requeueItem(run, max(refusedRetryDelay, ended.RetryAfter))
	case outcome.Preempted:
		run.keptTokens = output.tokens
		r.requeueItem(run, 0)
	case outcome.Cancelled:
		run.keptTokens = output.tokens
		r.requeueItem(run, refusedRetryDelay)
	default:
		run.unansweredAttempts++
		run.keptTokens = output.tokens
		if run.unansweredAttempts >= r.config.RepeatAttempts {
			r.finishItem(run, batch.Failed, record.Result{Reason: "no attempt was answered: " + reason(ended)})
			return
		}
		r.requeueItem(run, unansweredRetryDelay)
	}
}

// settleNonRepeatable finishes or requeues a non-repeatable item after its
// attempt. An item that was never sent is requeued. An item that may have run is
// finished here, or resumed to learn its outcome.
func (r *Runner) settleNonRepeatable(run itemRun, ended outcome.Outcome, output *output, sent dispatch.Intent) {
	switch {
	case ended.Kind == outcome.Completed:
		r.locked(func() { r.finishItem(run, batch.Completed, record.Result{Text: output.text()}) })
	case ended.Kind == outcome.Failed:
		r.locked(func() { r.finishItem(run, batch.Failed, record.Result{Reason: reason(ended)}) })
	case ended.Kind == outcome.Refused && ended.Code == invalidRequestCode:
		r.locked(func() { r.finishItem(run, batch.Failed, record.Result{Reason: reason(ended)}) })
	case sent.Attempt == "" || ended.Kind == outcome.Refused:
		r.locked(func() { r.requeueItem(run, max(refusedRetryDelay, ended.RetryAfter)) })
	default:
		r.resume(run, sent, reason(ended))
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
	run := itemRun{job: j, index: intended.Index, item: items[offset]}
	r.resume(run, intended.Intent, "the node that ran it was lost")
}

// resume resumes an attempt that may have been sent, and never sends it. When the
// engine confirms that the attempt never ran, the item is requeued for a new
// intent. When the outcome is still not known after ResumeAttempts, the item
// ends as unknown.
func (r *Runner) resume(run itemRun, sent dispatch.Intent, unknownReason string) {
	for attempt := range r.config.ResumeAttempts {
		if attempt > 0 {
			wait.For(run.job.context, resumeRetryDelay<<min(attempt-1, maxResumeShift))
		}
		if run.job.context.Err() != nil {
			return
		}
		output := &output{}
		ended := r.deps.Batch.Resume(run.job.nonRepeatable, sent, 0, output.take)
		switch ended.Kind {
		case outcome.Completed:
			r.locked(func() { r.finishItem(run, batch.Completed, record.Result{Text: output.text()}) })
			return
		case outcome.Failed:
			r.locked(func() { r.finishItem(run, batch.Failed, record.Result{Reason: reason(ended)}) })
			return
		case outcome.Refused:
			r.locked(func() { r.requeueItem(run, refusedRetryDelay) })
			return
		default:
			unknownReason = unknownReason + "; " + reason(ended)
		}
	}
	if run.job.context.Err() != nil {
		return
	}
	events.JobItemUnknown.Log(r.logger, zap.String("job", string(run.job.header.ID)), zap.Int("item", run.index),
		zap.String("attempt", string(sent.Attempt)), zap.String("reason", unknownReason))
	r.locked(func() { r.finishItem(run, batch.Unknown, record.Result{Reason: unknownReason}) })
}

// maxResumeShift bounds the exponential backoff between resume attempts.
const maxResumeShift = 3

// finishItem sets an item's final outcome. r.mu is held.
func (r *Runner) finishItem(run itemRun, code batch.Code, result record.Result) {
	result.Outcome = code.Outcome().String()
	r.queueOutcome(run, code, result)
	if row, found := r.row(&run.job.header); found {
		if rate := r.groups[capacityGroup{pool: row.Pool, model: run.job.header.Model}]; rate != nil {
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

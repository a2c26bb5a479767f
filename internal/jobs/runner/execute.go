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

// The pauses of a job whose item could not run.
const (
	refusedPause = 200 * time.Millisecond
	unknownPause = 500 * time.Millisecond
	resumePause  = time.Second
)

// codeInvalid marks a refusal that no repeat will change.
const codeInvalid = string(apierror.CodeInvalidRequest)

// execute runs one item on reserved capacity.
func (r *Runner) execute(slot dispatch.Slot, u unit) {
	defer r.ended(u)
	row, found := r.row(&u.job.header)
	if !found {
		slot.Release()
		r.locked(func() { r.giveBack(u, refusedPause) })
		return
	}
	release, decision := r.admit(row, u)
	if !decision.Allowed {
		slot.Release()
		r.locked(func() { r.giveBack(u, max(refusedPause, decision.RetryAfter)) })
		return
	}
	ctx := u.job.context
	if !u.repeatable() {
		ctx = u.job.once
	}
	output := &output{tokens: slices.Clone(u.kept)}
	var sent dispatch.Intent
	request := dispatch.Request{
		ID: requestID(u.job.header.ID, u.index), Tenant: u.job.header.Tenant, Row: row, Kind: policy.KindBatch,
		Model: u.job.header.Model, Prompt: u.item.Prompt, MaxTokens: u.item.MaxTokens,
		Kept: slices.Clone(u.kept), Repeatable: u.repeatable(),
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
	r.settleOnce(u, ended, output, sent)
}

func (r *Runner) admit(row policy.Row, u unit) (func(used int), limits.Decision) {
	if r.deps.Limits == nil {
		return func(int) {}, limits.Decision{Allowed: true}
	}
	return r.deps.Limits.Admit(row, u.job.header.Tenant, u.item.MaxTokens+len(u.item.Prompt)/bytesPerToken)
}

// bytesPerToken is a rough size of a token in a prompt.
const bytesPerToken = 4

func (r *Runner) locked(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
}

// ended gives an item's place on this node back.
func (r *Runner) ended(u unit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if u.repeatable() {
		u.job.repeatableRunning--
	}
	r.wakeLocked()
}

// settleRepeatable takes the end of an attempt that may be repeated.
func (r *Runner) settleRepeatable(u unit, ended outcome.Outcome, output *output) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch ended.Kind {
	case outcome.Completed:
		r.complete(u, batch.Completed, record.Result{Text: output.text()})
	case outcome.Failed:
		r.complete(u, batch.Failed, record.Result{Reason: reason(ended)})
	case outcome.Refused:
		if ended.Code == codeInvalid {
			r.complete(u, batch.Failed, record.Result{Reason: reason(ended)})
			return
		}
		u.kept = output.tokens
		r.giveBack(u, max(refusedPause, ended.RetryAfter))
	case outcome.Preempted:
		u.kept = output.tokens
		r.giveBack(u, 0)
	case outcome.Cancelled:
		u.kept = output.tokens
		r.giveBack(u, refusedPause)
	default:
		u.tries++
		u.kept = output.tokens
		if u.tries >= r.config.RepeatAttempts {
			r.complete(u, batch.Failed, record.Result{Reason: "no attempt was answered: " + reason(ended)})
			return
		}
		r.giveBack(u, unknownPause)
	}
}

// settleOnce takes the end of the only attempt of an item. One that was never
// sent waits again; one that was sent ends here, whatever became of it.
func (r *Runner) settleOnce(u unit, ended outcome.Outcome, output *output, sent dispatch.Intent) {
	switch {
	case ended.Kind == outcome.Completed:
		r.locked(func() { r.complete(u, batch.Completed, record.Result{Text: output.text()}) })
	case ended.Kind == outcome.Failed:
		r.locked(func() { r.complete(u, batch.Failed, record.Result{Reason: reason(ended)}) })
	case ended.Kind == outcome.Refused && ended.Code == codeInvalid:
		r.locked(func() { r.complete(u, batch.Failed, record.Result{Reason: reason(ended)}) })
	case sent.Attempt == "" || ended.Kind == outcome.Refused:
		r.locked(func() { r.giveBack(u, max(refusedPause, ended.RetryAfter)) })
	default:
		r.resume(u, sent, reason(ended))
	}
}

// rejoin settles an item whose intent an earlier holder of the shard recorded.
func (r *Runner) rejoin(j *job, intended batch.ItemIntent) {
	number, offset := j.state.Locate(intended.Index)
	var items []record.Item
	for {
		var err error
		if items, _, err = r.fetchInput(j, number); err == nil {
			break
		}
		if wait.For(j.context, loadPause); j.context.Err() != nil {
			return
		}
	}
	u := unit{job: j, index: intended.Index, item: items[offset]}
	r.resume(u, intended.Intent, "the node that ran it was lost")
}

// resume joins an attempt that may have been sent, and never sends it. When its
// engine vouches that it never ran, the item waits again, for an intent of its
// own; when the engine cannot say, after the tries the item ends as unknown.
func (r *Runner) resume(u unit, sent dispatch.Intent, why string) {
	for attempt := range r.config.ResumeAttempts {
		if attempt > 0 {
			wait.For(u.job.context, resumePause<<min(attempt-1, maxResumeShift))
		}
		if u.job.context.Err() != nil {
			return
		}
		output := &output{}
		ended := r.deps.Batch.Resume(u.job.once, sent, 0, output.take)
		switch ended.Kind {
		case outcome.Completed:
			r.locked(func() { r.complete(u, batch.Completed, record.Result{Text: output.text()}) })
			return
		case outcome.Failed:
			r.locked(func() { r.complete(u, batch.Failed, record.Result{Reason: reason(ended)}) })
			return
		case outcome.Refused:
			r.locked(func() { r.giveBack(u, refusedPause) })
			return
		default:
			why = why + "; " + reason(ended)
		}
	}
	if u.job.context.Err() != nil {
		return
	}
	events.JobItemUnknown.Log(r.logger, zap.String("job", string(u.job.header.ID)), zap.Int("item", u.index),
		zap.String("attempt", string(sent.Attempt)), zap.String("reason", why))
	r.locked(func() { r.complete(u, batch.Unknown, record.Result{Reason: why}) })
}

// maxResumeShift bounds the growth of the pause between tries to join.
const maxResumeShift = 3

// complete gives an item its outcome. r.mu is held.
func (r *Runner) complete(u unit, code batch.Code, result record.Result) {
	result.Outcome = code.Outcome().String()
	r.finish(u, code, result)
	if row, found := r.row(&u.job.header); found {
		if rate := r.groups[group{pool: row.Pool, model: u.job.header.Model}]; rate != nil {
			rate.ended++
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

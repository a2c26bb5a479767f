package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/apierror"
	core "ringstream.example/ringstream/internal/core/idempotency"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/dispatch"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/httpserver"
	"ringstream.example/ringstream/internal/idempotency"
)

// keyedRun is this node's only run for an idempotency key, or its wait for another
// node's run. It continues when its clients disconnect, so that they can return for
// the answer.
type keyedRun struct {
	*answer
	request  *onlineRequest
	digest   string
	handover handover
	clients  int // guarded by keyedRuns.mutex
}

// keyedRuns holds the keyed runs of this node. Its mutex is held for map access only.
type keyedRuns struct {
	context context.Context // ends when the node abandons the runs
	cancel  context.CancelFunc
	running sync.WaitGroup
	// withdrawals is a semaphore with one entry for each withdrawal in flight.
	withdrawals chan struct{}

	mutex sync.Mutex
	byKey map[idempotency.Key]*keyedRun
}

func newKeyedRuns() *keyedRuns {
	ctx, cancel := context.WithCancel(context.Background())
	return &keyedRuns{context: ctx, cancel: cancel, byKey: map[idempotency.Key]*keyedRun{}, withdrawals: make(chan struct{}, maxWithdrawals)}
}

// join returns the key's run and whether the caller must start driving it. The caller
// detaches from the run at the end of its request.
func (k *keyedRuns) join(request *onlineRequest) (run *keyedRun, first bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if run, running := k.byKey[request.key]; running {
		run.clients++
		return run, false
	}
	run = &keyedRun{answer: newAnswer(headOf(request)), request: request, digest: digestOf(request), clients: 1}
	k.byKey[request.key] = run
	k.running.Add(1)
	return run, true
}

func (k *keyedRuns) detach(run *keyedRun) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	run.clients--
}

// removeIfUnused removes a run that has no clients. It returns false when it has any.
func (k *keyedRuns) removeIfUnused(run *keyedRun) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if run.clients > 0 {
		return false
	}
	delete(k.byKey, run.request.key)
	return true
}

func (k *keyedRuns) remove(run *keyedRun) {
	k.mutex.Lock()
	if k.byKey[run.request.key] == run { // not removed by removeIfUnused
		delete(k.byKey, run.request.key)
	}
	k.mutex.Unlock()
	k.running.Done()
}

// shutdown waits for the runs and cancels those that are not done after the timeout.
func (k *keyedRuns) shutdown(timeout time.Duration) {
	timer := time.AfterFunc(timeout, k.cancel)
	defer timer.Stop()
	k.running.Wait()
	k.cancel()
}

// digestOf returns a digest of a request's path and body. A request with a different
// digest under the same key is refused.
func digestOf(request *onlineRequest) string {
	digest := sha256.New()
	// Writing to a hash never fails.
	_, _ = digest.Write([]byte(request.path))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(request.body)
	return hex.EncodeToString(digest.Sum(nil))
}

var errKeyReuse = &apierror.Error{
	Status: http.StatusUnprocessableEntity, Code: apierror.CodeKeyReuse, Run: outcome.Refused,
	Message: "this Idempotency-Key was used for another request",
}

// runKeyed answers a request with an idempotency key from the key's only run.
func (s *Server) runKeyed(c echo.Context, request *onlineRequest) error {
	if s.deps.Keys == nil {
		return storeDown(errors.New("no store of keys"))
	}
	run, first := s.keyed.join(request)
	defer s.keyed.detach(run)
	if run.digest != digestOf(request) {
		return errKeyReuse
	}
	if first {
		go s.drive(run)
	}
	err := writeAnswer(c, run.answer, formOf(request, request.deadline.Add(endGrace+s.config.RecordWaitTimeout)))
	if errors.Is(err, errAnsweredByOtherSite) {
		return s.passThroughKeyed(c, request, run)
	}
	return err
}

// storeDown returns the refusal of a keyed request for which nothing was run, because
// the record of its key could not be reached.
func storeDown(cause error) *apierror.Error {
	return &apierror.Error{
		Status: http.StatusServiceUnavailable, Code: apierror.CodeStoreDown, Run: outcome.Refused, RetryAfter: storeRetryAfter,
		Message: "this call ran nothing: the record of its Idempotency-Key cannot be reached (" + cause.Error() + "); send it again with the same key",
	}
}

const storeRetryAfter = 5 * time.Second

// Bounds of the backoff between two queries of a key that another node runs.
const (
	minKeyPollInterval = 50 * time.Millisecond
	maxKeyPollInterval = time.Second
	// claimGrace is how long a claim remains valid after its request's deadline.
	claimGrace = 30 * time.Second
)

// drive brings one keyed run to its end.
func (s *Server) drive(run *keyedRun) {
	defer s.keyed.remove(run)
	ctx, cancel := context.WithDeadline(s.keyed.context, run.request.deadline)
	defer cancel()
	release, err := s.admit(run.request)
	if err != nil {
		run.fail(httpserver.Classify(err))
		return
	}
	used := 0
	defer func() { release(used) }()
	for interval := minKeyPollInterval; ; interval = min(2*interval, maxKeyPollInterval) {
		decision, err := s.queryKey(ctx, run)
		if err != nil {
			s.failKeyed(ctx, run, err)
			return
		}
		if decision.Action != core.Wait {
			used = s.applyDecision(ctx, run, decision)
			return
		}
		select {
		case <-ctx.Done():
			run.fail(errStillRunning)
			return
		case <-time.After(interval/2 + rand.N(interval/2)): //nolint:gosec // jitter, not a secret
		}
		if s.keyed.removeIfUnused(run) {
			return // another node runs the key, and no client waits here
		}
	}
}

func (s *Server) queryKey(ctx context.Context, run *keyedRun) (idempotency.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.RecordWaitTimeout)
	defer cancel()
	decision, err := s.deps.Keys.Claim(ctx, idempotency.Request{
		Key: run.request.key, Digest: run.digest, Site: s.chooseSite(run.request), Hopped: run.request.fromOtherSite,
		Expiry: run.request.deadline.Add(claimGrace),
	})
	if err == nil {
		s.metrics.keyed.WithLabelValues(decision.Action.String()).Inc()
	}
	return decision, err
}

// failKeyed ends a run whose key record could not be queried. If the deadline passed
// while another node ran the key, the outcome is unknown.
func (s *Server) failKeyed(ctx context.Context, run *keyedRun, err error) {
	if ctx.Err() != nil {
		run.fail(errStillRunning)
		return
	}
	events.KeysRefused.Log(s.logger, zap.String("request", run.request.id), zap.String("tenant", string(run.request.tenant)), zap.Error(err))
	run.fail(storeDown(err))
	var claim *idempotency.UncertainError
	if errors.As(err, &claim) {
		s.withdraw(run, claim)
	}
}

// maxWithdrawals bounds the lost claims that a node withdraws concurrently, so that
// a long outage does not leave a backlog of them. Claims beyond it are not withdrawn
// and expire.
const maxWithdrawals = 64

// withdraw undoes a claim under which nothing ran, once the store answers. Until then,
// requests with the key are refused at once on this node.
func (s *Server) withdraw(run *keyedRun, claim *idempotency.UncertainError) {
	select {
	case s.keyed.withdrawals <- struct{}{}:
	default:
		return
	}
	defer func() { <-s.keyed.withdrawals }()
	ctx, cancel := context.WithTimeout(s.keyed.context, s.config.RecordRetention)
	defer cancel()
	s.logRecordingError(run, s.persist(ctx, func() error { return s.deps.Keys.Withdraw(ctx, claim) }))
}

// applyDecision carries out the decision of the key's record and returns the number
// of tokens used.
func (s *Server) applyDecision(ctx context.Context, run *keyedRun, decision idempotency.Decision) (used int) {
	switch decision.Action {
	case core.Run:
		return s.runClaim(ctx, run, decision.Claim)
	case core.Resume:
		return s.resumeClaim(ctx, run, decision)
	case core.Forward:
		return s.forwardClaim(ctx, run, decision)
	case core.Pass:
		run.end(answerResult{answeredByOtherSite: true})
	case core.Read:
		s.readResult(run, decision.Result)
	case core.RejectReused:
		run.fail(errKeyReuse)
	default: // core.RejectOtherSite
		run.fail(&apierror.Error{
			Status: http.StatusConflict, Code: apierror.CodeConflict, Run: outcome.Unknown,
			Message: "the other site answers for this Idempotency-Key, and the request came from there",
		})
	}
	return 0
}

// runClaim runs the request under this node's claim of its key.
func (s *Server) runClaim(ctx context.Context, run *keyedRun, claim *idempotency.Claim) (used int) {
	result, used := s.generate(ctx, run.request, run.answer, beforeSend(run.request, claim))
	s.conclude(run, claim, result)
	return used
}

// beforeSend returns the hook that records the intent of a request that may run only
// once, or nil for a repeatable request.
func beforeSend(request *onlineRequest, claim *idempotency.Claim) func(context.Context, dispatch.Intent) error {
	if request.parsed.repeatable {
		return nil
	}
	return func(ctx context.Context, intent dispatch.Intent) error {
		return claim.RecordIntent(ctx, intent)
	}
}

// resumeClaim resumes the stream of an attempt that a dead node had sent. The request
// is sent again, under a new intent, only when that attempt provably never ran.
func (s *Server) resumeClaim(ctx context.Context, run *keyedRun, decision idempotency.Decision) (used int) {
	result, used := s.collect(run.request, run.answer, func(sink dispatch.Sink) outcome.Outcome {
		return s.deps.Resume.Resume(ctx, decision.Intent, 0, sink)
	})
	if result.failure != nil && result.failure.Run == outcome.Refused {
		return s.runClaim(ctx, run, decision.Claim)
	}
	s.conclude(run, decision.Claim, result)
	return used
}

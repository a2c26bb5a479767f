package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/core/site"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/idempotency"
)

// chooseSite returns the site of a request according to its row's NewSiteShare. A
// request that the other site forwarded runs here.
func (s *Server) chooseSite(request *onlineRequest) site.Site {
	if s.deps.Site == nil || request.fromOtherSite {
		return site.Here
	}
	return site.Choose(siteKey(request), request.row.NewSiteShare)
}

// siteKey returns the key by which the site is chosen: the idempotency key, else the
// end user, else the request id.
func siteKey(request *onlineRequest) string {
	switch {
	case request.key.Key != "":
		return string(request.tenant) + "/key/" + request.key.Key
	case request.parsed.user != "":
		return string(request.tenant) + "/user/" + request.parsed.user
	default:
		return string(request.tenant) + "/request/" + request.id
	}
}

func (s *Server) forward(ctx context.Context, request *onlineRequest) (backend.SiteResponse, error) {
	response, err := s.deps.Site.Forward(ctx, backend.SiteRequest{
		Path: request.path, Body: request.body, Authorization: request.authorization, RequestID: request.id, IdempotencyKey: request.key.Key,
	})
	label := "answered"
	switch {
	case provesNotRun(err):
		label = "not_run"
		events.SiteRefused.Log(s.logger, zap.String("request", request.id), zap.Error(err))
	case err != nil:
		label = "unknown"
		events.SiteLost.Log(s.logger, zap.String("request", request.id), zap.Error(err))
	}
	s.metrics.forwarded.WithLabelValues(label).Inc()
	return response, err
}

// provesNotRun returns whether the error proves that a forward had no effect.
func provesNotRun(err error) bool {
	var failure *backend.Error
	return errors.As(err, &failure) && failure.Effect == backend.EffectNone
}

// errSiteLost ends a request that the other site may have run.
var errSiteLost = &apierror.Error{
	Status: http.StatusBadGateway, Code: apierror.CodeEngine, Run: outcome.Unknown,
	Message: "the other site did not answer; the request may have run there",
}

// errSiteDown ends a keyed request whose key belongs to the other site. An
// earlier call under the key may have run there.
var errSiteDown = &apierror.Error{
	Status: http.StatusServiceUnavailable, Code: apierror.CodeNoCapacity, Run: outcome.Unknown, RetryAfter: storeRetryAfter,
	Message: "the other site answers for this Idempotency-Key and cannot be reached; send the request again with the same key",
}

// forwardUnkeyed forwards a request without a key to the other site. It returns false
// when the request provably did not run there and may run here.
func (s *Server) forwardUnkeyed(c echo.Context, request *onlineRequest) (done bool, err error) {
	ctx, cancel := context.WithDeadline(c.Request().Context(), request.deadline)
	defer cancel()
	response, err := s.forward(ctx, request)
	switch {
	case err == nil:
		return true, passThrough(c, response, request.deadline)
	case c.Request().Context().Err() != nil:
		return true, errClientGone
	case provesNotRun(err):
		return false, nil
	default:
		if !request.parsed.repeatable {
			c.Response().Header().Set(headerShouldRetry, "false")
		}
		return true, errSiteLost
	}
}

// forwardClaim forwards a keyed request to the other site under this node's claim.
func (s *Server) forwardClaim(ctx context.Context, run *keyedRun, decision idempotency.Decision) (used int) {
	// A client reads the body after forwardClaim has returned, so the context ends
	// only when the body is closed.
	forwarding, cancel := context.WithDeadline(s.keyed.context, run.request.deadline)
	response, err := s.forward(forwarding, run.request)
	claim := decision.Claim
	if err == nil {
		response.Body = &cancelBody{ReadCloser: response.Body, cancel: cancel}
		s.logRecordingError(run, claim.Settle(ctx)) // if this fails, the key is forwarded again after the claim expires
		run.handover.put(response)
		run.end(answerResult{answeredByOtherSite: true})
		return 0
	}
	cancel()
	if provesNotRun(err) && decision.First {
		if err := claim.Redirect(ctx); err == nil {
			return s.runClaim(ctx, run, claim)
		}
		run.fail(errSiteDown)
		return 0
	}
	if provesNotRun(err) {
		run.fail(errSiteDown)
	} else {
		run.fail(errSiteLost)
	}
	s.logRecordingError(run, claim.Settle(ctx))
	return 0
}

// passThroughKeyed gives a client the other site's answer. The first client gets the
// response to the run's own forward. For any other client the request is forwarded
// again, and the other site answers it by the same key.
func (s *Server) passThroughKeyed(c echo.Context, request *onlineRequest, run *keyedRun) error {
	if response, had := run.handover.take(); had {
		return passThrough(c, response, request.deadline)
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), request.deadline)
	defer cancel()
	response, err := s.forward(ctx, request)
	switch {
	case err == nil:
		return passThrough(c, response, request.deadline)
	case c.Request().Context().Err() != nil:
		return errClientGone
	case provesNotRun(err):
		return errSiteDown
	default:
		return errSiteLost
	}
}

// handover holds the other site's answer until a client takes it.
type handover struct {
	mutex    sync.Mutex
	response *backend.SiteResponse
	expiry   *time.Timer
}

// handoverTimeout is how long a response waits for its client before it is closed.
const handoverTimeout = time.Second

func (h *handover) put(response backend.SiteResponse) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.response = &response
	h.expiry = time.AfterFunc(handoverTimeout, func() {
		if unclaimed, had := h.take(); had {
			_ = unclaimed.Body.Close() // its client has disconnected
		}
	})
}

func (h *handover) take() (response backend.SiteResponse, had bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.response == nil {
		return backend.SiteResponse{}, false
	}
	response, h.response = *h.response, nil
	h.expiry.Stop()
	return response, true
}

// cancelBody is a response body that cancels its request's context when closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// maxSiteBodyBytes bounds an answer of the other site that is not streamed.
const maxSiteBodyBytes = 64 << 20

// passThrough writes the other site's answer unchanged. An answer that ends early is
// reported as an error status if it is not streamed, and as an error event in a stream.
func passThrough(c echo.Context, response backend.SiteResponse, deadline time.Time) error {
	defer func() { _ = response.Body.Close() }()
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(deadline.Add(writeGrace)) // if it cannot be set, a caller that does not read keeps its connection longer
	header := c.Response().Header()
	if !strings.HasPrefix(response.ContentType, contentTypeEvents) {
		body, err := io.ReadAll(io.LimitReader(response.Body, maxSiteBodyBytes+1))
		if err != nil || len(body) > maxSiteBodyBytes {
			return errSiteLost
		}
		setIfNotEmpty(header, echo.HeaderRetryAfter, response.RetryAfter)
		return c.Blob(response.Status, response.ContentType, body)
	}
	setIfNotEmpty(header, echo.HeaderRetryAfter, response.RetryAfter)
	header.Set(echo.HeaderContentType, response.ContentType)
	header.Set(echo.HeaderCacheControl, "no-cache")
	c.Response().WriteHeader(response.Status)
	return passThroughEvents(c, response.Body)
}

func passThroughEvents(c echo.Context, body io.Reader) error {
	buffer := make([]byte, streamBufferBytes)
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			if _, err := c.Response().Write(buffer[:n]); err != nil {
				return err
			}
			c.Response().Flush()
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			// The stream may have ended in the middle of an event, so end that event first.
			_, _ = c.Response().Write(appendErrorEvent([]byte(eventSuffix), c, errSiteLost)) // the caller may have disconnected; readErr is returned
			return readErr
		}
	}
}

func setIfNotEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

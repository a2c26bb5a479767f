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

// siteOf gives the site of a request by its row's share. A request that the
// other site handed over runs here.
func (s *Server) siteOf(taken *call) site.Site {
	if s.deps.Site == nil || taken.hopped {
		return site.Here
	}
	return site.Choose(siteKey(taken), taken.row.NewSiteShare)
}

// siteKey is what decides the site: the idempotency key, else the end user,
// else the request itself.
func siteKey(taken *call) string {
	switch {
	case taken.key.Key != "":
		return string(taken.tenant) + "/key/" + taken.key.Key
	case taken.request.user != "":
		return string(taken.tenant) + "/user/" + taken.request.user
	default:
		return string(taken.tenant) + "/request/" + taken.id
	}
}

func (s *Server) forward(ctx context.Context, taken *call) (backend.SiteResponse, error) {
	response, err := s.deps.Site.Forward(ctx, backend.SiteRequest{
		Path: taken.path, Body: taken.body, Authorization: taken.authorization, RequestID: taken.id, IdempotencyKey: taken.key.Key,
	})
	label := "answered"
	switch {
	case notRun(err):
		label = "not_run"
		events.SiteRefused.Log(s.logger, zap.String("request", taken.id), zap.Error(err))
	case err != nil:
		label = "unknown"
		events.SiteLost.Log(s.logger, zap.String("request", taken.id), zap.Error(err))
	}
	s.metrics.forwarded.WithLabelValues(label).Inc()
	return response, err
}

// notRun says whether a forward provably did nothing.
func notRun(err error) bool {
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

// forwardUnkeyed hands a request to the other site. It gives false when the
// request provably did not run there, and so runs here.
func (s *Server) forwardUnkeyed(c echo.Context, taken *call) (done bool, err error) {
	ctx, cancel := context.WithDeadline(c.Request().Context(), taken.deadline)
	defer cancel()
	response, err := s.forward(ctx, taken)
	switch {
	case err == nil:
		return true, passThrough(c, response, taken.deadline)
	case c.Request().Context().Err() != nil:
		return true, errClientGone
	case notRun(err):
		return false, nil
	default:
		if !taken.request.repeatable {
			c.Response().Header().Set(headerShouldRetry, "false")
		}
		return true, errSiteLost
	}
}

// forwardClaim hands a keyed request to the other site under this node's claim.
func (s *Server) forwardClaim(ctx context.Context, run *keyedRun, decision idempotency.Decision) (used int) {
	// The body is read by a client after this returns.
	forwarding, cancel := context.WithDeadline(s.keyed.context, run.taken.deadline)
	response, err := s.forward(forwarding, run.taken)
	claim := decision.Claim
	if err == nil {
		response.Body = &cancelBody{ReadCloser: response.Body, cancel: cancel}
		s.logUnrecorded(run, claim.Settle(ctx)) // unsettled, the key is forwarded again after the claim lapses
		run.handover.put(response)
		run.end(ending{elsewhere: true})
		return 0
	}
	cancel()
	if notRun(err) && decision.First {
		if err := claim.Redirect(ctx); err == nil {
			return s.runClaim(ctx, run, claim)
		}
		run.fail(errSiteDown)
		return 0
	}
	if notRun(err) {
		run.fail(errSiteDown)
	} else {
		run.fail(errSiteLost)
	}
	s.logUnrecorded(run, claim.Settle(ctx))
	return 0
}

// passKeyed gives a client the other site's answer: the one that the run's
// forward brought, for the first client, and one of its own for the others,
// which the other site answers by the same key.
func (s *Server) passKeyed(c echo.Context, taken *call, run *keyedRun) error {
	if response, had := run.handover.take(); had {
		return passThrough(c, response, taken.deadline)
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), taken.deadline)
	defer cancel()
	response, err := s.forward(ctx, taken)
	switch {
	case err == nil:
		return passThrough(c, response, taken.deadline)
	case c.Request().Context().Err() != nil:
		return errClientGone
	case notRun(err):
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

// handoverTime is how long an answer waits for its client.
const handoverTime = time.Second

func (h *handover) put(response backend.SiteResponse) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.response = &response
	h.expiry = time.AfterFunc(handoverTime, func() {
		if late, had := h.take(); had {
			_ = late.Body.Close() // its client has gone
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

// cancelBody ends its request's context when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// maxSiteBody bounds an answer that is not streamed.
const maxSiteBody = 64 << 20

// passThrough gives the other site's answer unchanged. One that breaks off is
// an error: before its first byte as a status, in a stream as an error event.
func passThrough(c echo.Context, response backend.SiteResponse, deadline time.Time) error {
	defer func() { _ = response.Body.Close() }()
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(deadline.Add(writeGrace)) // where it cannot be set, a caller that does not read holds its connection longer
	header := c.Response().Header()
	if !strings.HasPrefix(response.ContentType, contentTypeEvents) {
		body, err := io.ReadAll(io.LimitReader(response.Body, maxSiteBody+1))
		if err != nil || len(body) > maxSiteBody {
			return errSiteLost
		}
		setUnlessEmpty(header, echo.HeaderRetryAfter, response.RetryAfter)
		return c.Blob(response.Status, response.ContentType, body)
	}
	setUnlessEmpty(header, echo.HeaderRetryAfter, response.RetryAfter)
	header.Set(echo.HeaderContentType, response.ContentType)
	header.Set(echo.HeaderCacheControl, "no-cache")
	c.Response().WriteHeader(response.Status)
	return passEvents(c, response.Body)
}

func passEvents(c echo.Context, body io.Reader) error {
	buffer := make([]byte, streamBuffer)
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
			// The break may lie in the middle of an event: end that first.
			_, _ = c.Response().Write(appendErrorEvent([]byte(eventClose), c, errSiteLost)) // the caller may have left; readErr is told
			return readErr
		}
	}
}

func setUnlessEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

package httpclient

import (
	"context"
	"net/http"

	"ringstream.example/ringstream/internal/backend"
)

// site is the adapter of the other site's API for callers.
type site struct{ *caller }

// Forward implements backend.Site. Every response of the other site, including an
// error response, is passed through, because it states itself whether the request ran.
func (s *site) Forward(ctx context.Context, forwarded backend.SiteRequest) (backend.SiteResponse, error) {
	header := http.Header{
		"Content-Type":    {"application/json"},
		backend.HopHeader: {"1"},
	}
	setHeader(header, "Authorization", forwarded.Authorization)
	setHeader(header, "X-Request-Id", forwarded.RequestID)
	setHeader(header, "Idempotency-Key", forwarded.IdempotencyKey)
	response, err := s.exchange(ctx, request{ //nolint:bodyclose // the caller closes SiteResponse.Body
		operation: "forward", method: http.MethodPost, path: forwarded.Path, body: forwarded.Body, header: header,
	})
	if err != nil {
		return backend.SiteResponse{}, err
	}
	return backend.SiteResponse{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		RetryAfter:  response.Header.Get("Retry-After"),
		Body:        response.Body,
	}, nil
}

func setHeader(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

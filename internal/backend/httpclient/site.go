package httpclient

import (
	"context"
	"net/http"

	"ringstream.example/ringstream/internal/backend"
)

// site reaches the other site's callers' API.
type site struct{ *caller }

// Forward implements backend.Site. Every answer of the other site, refusals
// included, is passed through: what it says of the run is its own word.
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

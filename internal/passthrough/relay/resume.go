package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough/origins"
	"ringstream.example/ringstream/internal/passthrough/slots"
	"ringstream.example/ringstream/internal/wait"
)

// query returns the query for an engine that may run the request, or the rest of its stream.
func (e *exchange) query() enginechoice.Query {
	query := Query(e.call.Pool, e.call.Demand)
	query.Software, query.Exclude = e.software, e.excluded
	if e.software == "" && e.call.Route.Kind == passroute.KindStream && e.mayBeTakenUp() {
		query.SoftwareAmong = e.origins.BeginsAmong(query)
	}
	return query
}

// mayBeTakenUp reports whether clients may take the stream up.
func (e *exchange) mayBeTakenUp() bool {
	return e.call.Route.Repeatable() && e.call.Demand.RequestID != ""
}

// recordOrigin makes known which version began the stream, if clients may take it up.
func (e *exchange) recordOrigin() {
	if e.mayBeTakenUp() {
		e.origins.Began(e.call.Pool, e.call.Demand.RequestID, e.software)
	}
}

// findOrigin finds the software version at which a stream that the client takes up may be resumed.
// It refuses the request and returns false if the version is not known or has no engine.
func (e *exchange) findOrigin(ctx context.Context) (refused Outcome, resumable bool) {
	if e.call.Route.Kind != passroute.KindStream || e.call.Demand.LastEvent == "" {
		return 0, true
	}
	stream := origins.Stream{Request: e.call.Demand.RequestID, Resumes: e.call.Demand.Resumes, Pool: e.call.Pool}
	software, err := e.origins.Find(ctx, stream)
	switch {
	case errors.Is(err, origins.ErrNotFound):
		return e.refuseResume(softwareUnknown), false
	case err != nil:
		return e.concludeUnserved(e.call.Request.Context(), ctx), false
	}
	e.software = software
	if !e.awaitSoftware(ctx) {
		return e.refuseResume(softwareGone), false
	}
	return 0, true
}

// Engines are listed some hundred milliseconds after their start, and later at some nodes than at
// others.
const (
	softwareListingTime  = 300 * time.Millisecond
	softwareListingCheck = 25 * time.Millisecond
)

// awaitSoftware reports whether an engine of the stream's version accepts work. It waits for one for
// softwareListingTime if this node has listed none of the version yet.
func (e *exchange) awaitSoftware(ctx context.Context) (usable bool) {
	deadline, query := time.Now().Add(softwareListingTime), e.query()
	for {
		listed := false
		e.engines.Use(func(set *enginechoice.Set, now time.Time) {
			usable = set.CanPick(query, now)
			listed = slices.Contains(set.SoftwareVersions(e.call.Pool), e.software)
		})
		if usable || listed || time.Now().After(deadline) || !wait.For(ctx, softwareListingCheck) {
			return usable
		}
	}
}

// refuseResume answers 503 for a stream that is not resumed here. Another node may know its version
// while some are out of reach; no node can serve it while its version has no engine.
func (e *exchange) refuseResume(why reason) Outcome {
	e.allowFinalAnswer()
	e.status = http.StatusServiceUnavailable
	message := "no engine of the software version that began the stream accepts work; no engine ran the request"
	var retryAfter time.Duration
	if why == softwareUnknown {
		message = "it is not known which of several software versions began the stream; no engine ran the request"
		retryAfter = notRunRetryAfter
		e.headers.SetRetryAfter(e.to.Header(), retryAfter)
	}
	events.RequestRefused.Log(e.logger, zap.String("request", e.call.Demand.RequestID), zap.String("reason", string(why)), zap.Duration("retry_after", retryAfter))
	WriteRefusal(e.to, e.status, Refusal{Code: string(why), Message: message, Run: RunNot})
	return NotRun
}

// readmitForSoftware allows the excluded engines once more if no other engine of the stream's
// version can take it. It reports whether it did so.
func (e *exchange) readmitForSoftware(ctx context.Context, why error) bool {
	if e.software == "" || e.readmitted || len(e.excluded) == 0 || !errors.Is(why, slots.ErrNoEngine) {
		return false
	}
	e.readmitted = true
	clear(e.excluded)
	return wait.For(ctx, slotRetryDelay)
}

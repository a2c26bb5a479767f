package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/httpserver"
	"ringstream.example/ringstream/internal/jobs"
)

// Bounds of the batch routes.
const (
	defaultListLimit = 50
	maxListLimit     = 500
	resultsPageSize  = 500 // results read from the job in one call
)

// jobParameter reads a job's parameter from the query, else from the header
// X-Batch-NAME.
func jobParameter(c echo.Context, name string) string {
	if value := c.QueryParam(name); value != "" {
		return value
	}
	return c.Request().Header.Get("X-Batch-" + name)
}

// submitJob submits a new job. Its items are read from the body as they arrive.
func (s *Server) submitJob(c echo.Context) error {
	tenant, err := s.deps.Auth.Tenant(c.Request())
	if err != nil {
		return err
	}
	submission, err := readSubmission(c, tenant)
	if err != nil {
		return err
	}
	submission.Items = &idleTimeoutReader{
		Reader: c.Request().Body, controller: http.NewResponseController(c.Response()), idleTimeout: s.config.HTTP.ReadBodyTimeout,
	}
	job, existed, err := s.deps.Jobs.Submit(c.Request().Context(), submission)
	if err != nil {
		return err
	}
	status := http.StatusCreated
	if existed {
		status = http.StatusOK
	}
	c.Response().Header().Set(echo.HeaderLocation, batchesPath+"/"+string(job.ID))
	return c.JSON(status, job)
}

// idleTimeoutReader bounds the idle time between reads of a job's body instead of
// the total time of the upload.
type idleTimeoutReader struct {
	io.Reader
	controller  *http.ResponseController
	idleTimeout time.Duration
}

// Read implements io.Reader.
func (r *idleTimeoutReader) Read(buffer []byte) (int, error) {
	// A connection without support for deadlines, such as a test's recorder, is not
	// bounded.
	_ = r.controller.SetReadDeadline(time.Now().Add(r.idleTimeout))
	return r.Reader.Read(buffer)
}

func readSubmission(c echo.Context, tenant identity.TenantID) (jobs.Submission, error) {
	submission := jobs.Submission{
		Tenant: tenant, Key: c.Request().Header.Get(headerIdempotencyKey),
		Model: jobParameter(c, "model"), Repeatable: true,
	}
	if submission.Key == "" {
		return submission, apierror.Invalid("header %s is required: it makes the job safe to send again", headerIdempotencyKey)
	}
	if submission.Model == "" {
		return submission, apierror.Invalid(`query parameter "model" is required`)
	}
	if err := validateKey(submission.Key); err != nil {
		return submission, err
	}
	deadline, err := readDeadline(jobParameter(c, "deadline"), time.Now())
	if err != nil {
		return submission, err
	}
	submission.Deadline = deadline
	switch jobParameter(c, "repeatable") {
	case "", "true":
	case "false":
		submission.Repeatable = false
	default:
		return submission, apierror.Invalid(`query parameter "repeatable": must be true or false`)
	}
	return submission, nil
}

// readDeadline parses an RFC 3339 time or a duration from now. The result must lie
// in the future.
func readDeadline(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, apierror.Invalid(`query parameter "deadline" is required: an RFC 3339 time, or a duration such as 8h`)
	}
	if at, err := time.Parse(time.RFC3339, text); err == nil {
		return at, checkFuture(at, now)
	}
	after, err := time.ParseDuration(text)
	if err != nil {
		return time.Time{}, apierror.Invalid(`query parameter "deadline": must be an RFC 3339 time, or a duration such as 8h`)
	}
	return now.Add(after), checkFuture(now.Add(after), now)
}

func checkFuture(deadline, now time.Time) error {
	if !deadline.After(now) {
		return apierror.Invalid(`query parameter "deadline": lies in the past`)
	}
	return nil
}

// maxKeyBytes bounds the length of an idempotency key.
const maxKeyBytes = 255

// validateKey accepts only printable ASCII without spaces, because the key is part of
// stored names.
func validateKey(key string) error {
	if len(key) > maxKeyBytes {
		return apierror.Invalid("header %s: at most %d characters", headerIdempotencyKey, maxKeyBytes)
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return apierror.Invalid("header %s: printable ASCII without spaces only", headerIdempotencyKey)
		}
	}
	return nil
}

type jobList struct {
	Object  string     `json:"object"`
	Data    []jobs.Job `json:"data"`
	HasMore bool       `json:"has_more"`
}

func (s *Server) listJobs(c echo.Context) error {
	tenant, err := s.deps.Auth.Tenant(c.Request())
	if err != nil {
		return err
	}
	limit, err := queryNumber(c, "limit", defaultListLimit, 1, maxListLimit)
	if err != nil {
		return err
	}
	list, err := s.deps.Jobs.List(c.Request().Context(), tenant, identity.JobID(c.QueryParam("after")), limit)
	if err != nil {
		return err
	}
	if list == nil {
		list = []jobs.Job{}
	}
	return c.JSON(http.StatusOK, jobList{Object: "list", Data: list, HasMore: len(list) == limit})
}

func queryNumber(c echo.Context, name string, fallback, lowest, highest int) (int, error) {
	text := c.QueryParam(name)
	if text == "" {
		return fallback, nil
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < lowest || number > highest {
		return 0, apierror.Invalid("query parameter %q: must be a whole number from %d to %d", name, lowest, highest)
	}
	return number, nil
}

func (s *Server) getJob(c echo.Context) error {
	tenant, err := s.deps.Auth.Tenant(c.Request())
	if err != nil {
		return err
	}
	job, err := s.deps.Jobs.Get(c.Request().Context(), tenant, identity.JobID(c.Param("id")))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, job)
}

func (s *Server) cancelJob(c echo.Context) error {
	tenant, err := s.deps.Auth.Tenant(c.Request())
	if err != nil {
		return err
	}
	job, err := s.deps.Jobs.Cancel(c.Request().Context(), tenant, identity.JobID(c.Param("id")))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, job)
}

// jobResults streams final outcomes as JSON lines, page by page. A failure after
// the first line is reported as a last line that holds the error body.
func (s *Server) jobResults(c echo.Context) error {
	tenant, err := s.deps.Auth.Tenant(c.Request())
	if err != nil {
		return err
	}
	id := identity.JobID(c.Param("id"))
	job, err := s.deps.Jobs.Get(c.Request().Context(), tenant, id)
	if err != nil {
		return err
	}
	from, err := queryNumber(c, "from", 0, 0, job.Total)
	if err != nil {
		return err
	}
	to, err := queryNumber(c, "to", job.Total, from, job.Total)
	if err != nil {
		return err
	}
	response := c.Response()
	lines := json.NewEncoder(response)
	for ; from < to; from += resultsPageSize {
		results, err := s.deps.Jobs.Results(c.Request().Context(), tenant, id, from, min(from+resultsPageSize, to))
		if err != nil {
			return endResults(c, lines, err)
		}
		beginResults(response)
		for _, result := range results {
			if err := lines.Encode(result); err != nil {
				return err // the client has disconnected
			}
		}
		response.Flush()
	}
	beginResults(response)
	return nil
}

func beginResults(response *echo.Response) {
	if !response.Committed {
		response.Header().Set(echo.HeaderContentType, "application/x-ndjson")
		response.WriteHeader(http.StatusOK)
	}
}

// endResults ends the lines with an error. Before the first line, the returned
// error becomes the whole response.
func endResults(c echo.Context, lines *json.Encoder, err error) error {
	if c.Response().Committed {
		_ = lines.Encode(httpserver.NewErrorBody(c, httpserver.Classify(err))) // the client may have disconnected
	}
	return err
}

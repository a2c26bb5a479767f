// Package adminclient is a client of a node's operator HTTP API. It keeps no state.
// Each edit of rows carries an ID, with which the client retries the edit when its
// outcome is unknown. It retries no other calls.
package adminclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"ringstream.example/ringstream/internal/admin"
	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/jobs"
)

const (
	apiPath      = "/api/v1"
	editAttempts = 3
	editBackoff  = 200 * time.Millisecond // pause before the second attempt; grows linearly
)

// Options holds the address of the node and the connection settings.
type Options struct {
	Server string // URL of the admin listener
	Key    string // operator's key
	CAFile string // PEM file of the server's certificate authorities; empty: the system's
	// CertificateFile and KeyFile are the client certificate for mutual TLS.
	CertificateFile, KeyFile string
	Timeout                  time.Duration
	// Dial opens connections. If it is nil, TCP is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls one node. It is safe for concurrent use.
type Client struct {
	base *url.URL
	key  string
	http *http.Client
}

// APIError is an error response of the node.
type APIError struct {
	Status    int             `json:"-"`
	Code      apierror.Code   `json:"code"`
	Message   string          `json:"message"`
	Run       string          `json:"run"`
	RequestID string          `json:"request_id"`
	Current   json.RawMessage `json:"current"` // the current row, on a conflict
}

// Error implements error.
func (e *APIError) Error() string {
	return fmt.Sprintf("%s (%d, request %s): %s", e.Code, e.Status, e.RequestID, e.Message)
}

// ConnectionError is returned when the node could not be reached or its response
// was lost.
type ConnectionError struct {
	Server string
	Cause  error
}

// Error implements error.
func (e *ConnectionError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.Server, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectionError) Unwrap() error { return e.Cause }

// ErrServerURL is returned when Options.Server is not an HTTP or HTTPS URL.
var ErrServerURL = errors.New("not an http or https URL, such as http://127.0.0.1:7070")

// New creates a client. It opens no connection.
func New(options Options) (*Client, error) {
	base, err := url.Parse(options.Server)
	if err != nil || (base.Scheme != "http" && base.Scheme != "https") || base.Host == "" {
		return nil, fmt.Errorf("server %q: %w", options.Server, ErrServerURL)
	}
	transport := &http.Transport{Proxy: nil, DialContext: options.Dial, TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12}}
	if options.CAFile != "" {
		pem, err := os.ReadFile(options.CAFile)
		if err != nil {
			return nil, fmt.Errorf("authorities: %w", err)
		}
		authorities := x509.NewCertPool()
		if !authorities.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("authorities: no PEM certificate in %s", options.CAFile)
		}
		transport.TLSClientConfig.RootCAs = authorities
	}
	if options.CertificateFile != "" {
		certificate, err := tls.LoadX509KeyPair(options.CertificateFile, options.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("certificate: %w", err)
		}
		transport.TLSClientConfig.Certificates = []tls.Certificate{certificate}
	}
	return &Client{base: base, key: options.Key, http: &http.Client{Transport: transport, Timeout: options.Timeout}}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call is one request. Its response is decoded into result, which may be nil.
type call struct {
	method string
	path   []string // segments after the API's prefix
	query  url.Values
	body   any
	header http.Header
	result any
}

func (c *Client) do(ctx context.Context, call call) error {
	request, err := c.request(ctx, call)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &ConnectionError{Server: c.base.String(), Cause: unwrapURL(err)}
	}
	defer response.Body.Close() //nolint:errcheck // the response has been read
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return &ConnectionError{Server: c.base.String(), Cause: err}
	}
	if response.StatusCode >= http.StatusBadRequest {
		return apiError(response, text)
	}
	if call.result == nil {
		return nil
	}
	if err := json.Unmarshal(text, call.result); err != nil {
		return fmt.Errorf("%s does not answer like a ringstream node: %w", c.base, err)
	}
	return nil
}

func (c *Client) request(ctx context.Context, call call) (*http.Request, error) {
	target := c.base.JoinPath(append([]string{apiPath}, escape(call.path)...)...)
	target.RawQuery = call.query.Encode()
	var body io.Reader
	if call.body != nil {
		text, err := json.Marshal(call.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, call.method, target.String(), body)
	if err != nil {
		return nil, err
	}
	for name, values := range call.header {
		request.Header[name] = values
	}
	request.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	return request, nil
}

func escape(segments []string) []string {
	escaped := make([]string, len(segments))
	for i, segment := range segments {
		escaped[i] = url.PathEscape(segment)
	}
	return escaped
}

// unwrapURL removes the method and URL that net/http adds to an error.
func unwrapURL(err error) error {
	var failure *url.Error
	if errors.As(err, &failure) {
		return failure.Err
	}
	return err
}

func apiError(response *http.Response, text []byte) error {
	failure := &APIError{Status: response.StatusCode}
	if err := json.Unmarshal(text, failure); err != nil || failure.Code == "" {
		failure.Code, failure.Message = apierror.CodeInternal, strings.TrimSpace(string(text))
	}
	return failure
}

// Rows returns the table.
func (c *Client) Rows(ctx context.Context) (admin.RowList, error) {
	return get[admin.RowList](ctx, c, nil, "rows")
}

// Row returns one row.
func (c *Client) Row(ctx context.Context, id identity.RowID) (policy.Row, error) {
	return get[policy.Row](ctx, c, nil, "rows", string(id))
}

// PutRow creates the row if row.Revision is 0. Otherwise it changes the row if its
// stored revision equals row.Revision. On a mismatch, the error is an *APIError
// with the current row.
func (c *Client) PutRow(ctx context.Context, row policy.Row) (admin.RowChange, error) {
	return edit[admin.RowChange](ctx, c, call{method: http.MethodPut, path: []string{"rows", string(row.ID)}, body: row})
}

// DeleteRow deletes the row if its stored revision equals the given one.
func (c *Client) DeleteRow(ctx context.Context, id identity.RowID, revision uint64) (admin.RowChange, error) {
	header := http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(revision, 10))}}
	return edit[admin.RowChange](ctx, c, call{method: http.MethodDelete, path: []string{"rows", string(id)}, header: header})
}

// importBatchSize bounds the rows of one import request, so that each request ends
// well within the client's timeout.
const importBatchSize = 100

// ImportRows makes one edit for each row, importBatchSize rows per request. After an
// error, the result covers the requests that succeeded.
func (c *Client) ImportRows(ctx context.Context, rows []policy.Row) (admin.ImportResult, error) {
	var all admin.ImportResult
	for page := range slices.Chunk(rows, importBatchSize) {
		result, err := edit[admin.ImportResult](ctx, c, call{method: http.MethodPost, path: []string{"rows", "import"}, body: admin.ImportRequest{Rows: page}})
		if err != nil {
			return all, err
		}
		all.Accepted += result.Accepted
		all.Failed += result.Failed
		all.Rows = append(all.Rows, result.Rows...)
	}
	return all, nil
}

// edit sends a change with a new ID. While the outcome is unknown, it retries with
// the same ID, up to editAttempts attempts.
func edit[T any](ctx context.Context, c *Client, request call) (T, error) {
	var answer T
	request.result = &answer
	if request.header == nil {
		request.header = make(http.Header)
	}
	request.header.Set("Idempotency-Key", ulid.Make().String())
	for attempt := 1; ; attempt++ {
		err := c.do(ctx, request)
		if err == nil || attempt == editAttempts || !outcomeUnknown(err) {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return answer, err
		case <-time.After(time.Duration(attempt) * editBackoff):
		}
	}
}

// outcomeUnknown reports whether it is unknown if an edit took effect.
func outcomeUnknown(err error) bool {
	var answer *APIError
	if errors.As(err, &answer) {
		return answer.Run == outcome.Unknown.String()
	}
	var connection *ConnectionError
	return errors.As(err, &connection)
}

// RowStatus returns the revision that each node holds.
func (c *Client) RowStatus(ctx context.Context) (admin.RowStatus, error) {
	return get[admin.RowStatus](ctx, c, nil, "rows", "status")
}

// Audit returns accepted edits, oldest first: the edits after a revision, or the
// latest edits if after is nil.
func (c *Client) Audit(ctx context.Context, after *uint64, limit int) (admin.AuditList, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if after != nil {
		query.Set("after", strconv.FormatUint(*after, 10))
	}
	return get[admin.AuditList](ctx, c, query, "audit")
}

// Jobs lists one tenant's jobs, newest first, or with an empty tenant the open
// jobs of all tenants.
func (c *Client) Jobs(ctx context.Context, tenant identity.TenantID, after identity.JobID, limit int) (admin.JobList, error) {
	query := url.Values{"tenant": {string(tenant)}, "after": {string(after)}, "limit": {strconv.Itoa(limit)}}
	return get[admin.JobList](ctx, c, query, "jobs")
}

// Job returns one job.
func (c *Client) Job(ctx context.Context, tenant identity.TenantID, id identity.JobID) (jobs.Job, error) {
	return get[jobs.Job](ctx, c, url.Values{"tenant": {string(tenant)}}, "jobs", string(id))
}

// CancelJob cancels a job.
func (c *Client) CancelJob(ctx context.Context, tenant identity.TenantID, id identity.JobID) (jobs.Job, error) {
	var job jobs.Job
	query := url.Values{"tenant": {string(tenant)}}
	err := c.do(ctx, call{method: http.MethodPost, path: []string{"jobs", string(id), "cancel"}, query: query, result: &job})
	return job, err
}

// Results returns a job's results from index from up to, but not including, to.
func (c *Client) Results(ctx context.Context, tenant identity.TenantID, id identity.JobID, from, to int) (admin.ResultList, error) {
	query := url.Values{"tenant": {string(tenant)}, "from": {strconv.Itoa(from)}, "to": {strconv.Itoa(to)}}
	return get[admin.ResultList](ctx, c, query, "jobs", string(id), "results")
}

// Nodes returns the node's view of the fleet.
func (c *Client) Nodes(ctx context.Context) (admin.NodeList, error) {
	return get[admin.NodeList](ctx, c, nil, "nodes")
}

// Drain starts the planned stop of a node.
func (c *Client) Drain(ctx context.Context, id identity.NodeID) (admin.DrainAnswer, error) {
	var answer admin.DrainAnswer
	err := c.do(ctx, call{method: http.MethodPost, path: []string{"nodes", string(id), "drain"}, result: &answer})
	return answer, err
}

func get[T any](ctx context.Context, c *Client, query url.Values, path ...string) (T, error) {
	var value T
	err := c.do(ctx, call{method: http.MethodGet, path: path, query: query, result: &value})
	return value, err
}

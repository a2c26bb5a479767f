// Package answerend decides whether an engine's answer is known to have ended. The end of an answer
// without a length or chunks is the end of its connection, and a connection ends in the same way when
// the engine's process does. Such an answer counts as whole if it has content, its connection was closed in
// an orderly manner, and the process that wrote it still runs after the end. This assumes that a running
// engine which breaks an answer off resets the connection.
package answerend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/engineconn"
)

// Evidence is what shows that an answer has ended.
type Evidence uint8

// The kinds of evidence.
const (
	None          Evidence = iota // the answer is not known to have ended
	Framing                       // a length or chunks
	EngineAnswers                 // the engine answered a probe after the end
)

// String returns the name for logs.
func (e Evidence) String() string {
	return [...]string{"", "framing", "engine_answers"}[e]
}

// Errors about answers that are not known to have ended. They wrap io.ErrUnexpectedEOF, since the
// connection was closed too early.
var (
	errWithin = fmt.Errorf("%w: within an event", io.ErrUnexpectedEOF)
	errEmpty  = fmt.Errorf("%w: the connection ended before any content", io.ErrUnexpectedEOF)
)

// Reasons why an engine is not known to run.
var (
	errOtherEngine   = errors.New("another engine answers at the address")
	errNoReport      = errors.New("the engine does not tell when it started")
	errNoHealthCheck = errors.New("the engine has no report, and the pool no health check")
)

// Exchange is the exchange that an answer belongs to, an engineconn.Exchange.
type Exchange interface {
	Framing() engineconn.Framing
	ClosedInOrder() error
}

// Answer is an answer that was read up to an end of file.
type Answer struct {
	Exchange Exchange
	Engine   engineconn.Key
	Pool     string
	Empty    bool // nothing of it has come
	Within   bool // its last event is not complete
}

// Checker checks whether answers have ended. It is safe for concurrent use.
type Checker struct {
	connections *engineconn.Pool
	headers     passthrough.Headers
	reports     passthrough.EngineReports
	pool        func(name string) passroute.Pool
}

// NewChecker returns a checker. The function returns the description of a pool in the routes in force.
func NewChecker(connections *engineconn.Pool, headers passthrough.Headers, reports passthrough.EngineReports, pool func(name string) passroute.Pool) *Checker {
	return &Checker{connections: connections, headers: headers, reports: reports, pool: pool}
}

// Check returns what shows that an answer has ended, or an error that wraps io.ErrUnexpectedEOF if
// nothing does. It asks the engine if the answer ended with its connection.
func (c *Checker) Check(ctx context.Context, answer Answer) (Evidence, error) {
	switch {
	case answer.Within:
		return None, errWithin
	case answer.Exchange.Framing() != engineconn.FramedByConnection:
		return Framing, nil
	case answer.Empty:
		return None, errEmpty
	}
	if err := answer.Exchange.ClosedInOrder(); err != nil {
		return None, fmt.Errorf("%w: %s", io.ErrUnexpectedEOF, err.Error())
	}
	if err := c.askEngine(ctx, answer); err != nil {
		// The check's own error is not wrapped: a timeout of the check is none of the answer.
		return None, fmt.Errorf("%w: the connection ended, and the engine is not known to run: %s", io.ErrUnexpectedEOF, err.Error())
	}
	return EngineAnswers, nil
}

// askEngine returns an error unless the process that wrote an answer is known to run. Its report takes no slot,
// so that a busy engine answers at once. An engine without reports is asked for its health.
func (c *Checker) askEngine(ctx context.Context, answer Answer) error {
	incarnation := answer.Engine.Engine
	report, err := c.probe(ctx, answer.Engine, c.reports.Path())
	if err != nil {
		return err
	}
	switch {
	case report.Status == http.StatusOK && (incarnation.Born == 0 || c.reports.Born(report.Body) == incarnation.Born):
		return nil
	case report.Status == http.StatusOK:
		return errOtherEngine
	case incarnation.Born != 0: // a health check does not tell incarnations of one id apart
		return errNoReport
	}
	path := c.pool(answer.Pool).HealthPath
	if path == "" {
		return errNoHealthCheck
	}
	_, err = c.probe(ctx, answer.Engine, path)
	return err
}

// probe sends a request that only an engine with the incarnation's id answers. It returns an error if another
// engine does.
func (c *Checker) probe(ctx context.Context, engine engineconn.Key, path string) (engineconn.ProbeAnswer, error) {
	id := engine.Engine.ID
	header := make(http.Header)
	c.headers.SetForEngine(header, passthrough.EngineRequest{Instance: id})
	answer, err := c.connections.Probe(ctx, engine, engineconn.Request{
		Method: http.MethodGet, Target: path, Host: engine.Address, Header: header,
		IsOwnResponse: func(http.Header) bool { return true }, // the connection has carried no other request
	})
	if err != nil {
		return answer, err
	}
	if named := c.headers.Answer(answer.Status, answer.Header).Instance; answer.Status == http.StatusMisdirectedRequest || (named != "" && named != id) {
		return answer, errOtherEngine
	}
	return answer, nil
}

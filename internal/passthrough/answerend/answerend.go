// Package answerend decides whether an engine's answer is known to have ended. The end of an answer
// without a length or chunks is the end of its connection, and a connection ends in the same way when
// the engine's process does. Such an answer is whole if it has content and the process that wrote it
// still runs after the end: a process that lives closes a connection because it has written everything.
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
	EngineAnswers                 // the engine answered a health check after the end
	EngineBusy                    // the engine accepted a connection after the end and keeps it open
)

// String returns the name for logs.
func (e Evidence) String() string {
	return [...]string{"", "framing", "engine_answers", "engine_busy"}[e]
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
	errNoHealthCheck = errors.New("the pool has no health check")
)

// Answer is an answer that was read up to an end of file.
type Answer struct {
	Exchange *engineconn.Exchange
	Engine   engineconn.Key
	Pool     string
	Empty    bool // nothing of it has come
	Within   bool // its last event is not complete
}

// Checker checks whether answers have ended. It is safe for concurrent use.
type Checker struct {
	connections *engineconn.Pool
	headers     passthrough.Headers
	pool        func(name string) passroute.Pool
}

// NewChecker returns a checker. The function returns the description of a pool in the routes in force.
func NewChecker(connections *engineconn.Pool, headers passthrough.Headers, pool func(name string) passroute.Pool) *Checker {
	return &Checker{connections: connections, headers: headers, pool: pool}
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
	evidence, err := c.askEngine(ctx, answer)
	if err != nil {
		// The check's own error is not wrapped: a timeout of the check is none of the answer.
		return None, fmt.Errorf("%w: the connection ended, and the engine is not known to run: %s", io.ErrUnexpectedEOF, err.Error())
	}
	return evidence, nil
}

// askEngine checks whether the process that wrote an answer still runs. Only that process answers a health
// check that names it with a status other than 421 Misdirected Request.
func (c *Checker) askEngine(ctx context.Context, answer Answer) (Evidence, error) {
	path := c.pool(answer.Pool).HealthPath
	if path == "" {
		return None, errNoHealthCheck
	}
	id := answer.Engine.Engine.ID
	header := make(http.Header)
	c.headers.SetForEngine(header, passthrough.EngineRequest{Instance: id})
	status, answered, err := c.connections.Probe(ctx, answer.Engine, engineconn.Request{
		Method: http.MethodGet, Target: path, Host: answer.Engine.Address, Header: header,
		IsOwnResponse: func(http.Header) bool { return true }, // the connection has carried no other request
	})
	if errors.Is(err, engineconn.ErrSilent) {
		return EngineBusy, nil
	}
	if err != nil {
		return None, err
	}
	if named := c.headers.Answer(status, answered).Instance; status == http.StatusMisdirectedRequest || (named != "" && named != id) {
		return None, errOtherEngine
	}
	return EngineAnswers, nil
}

package engineconn

import (
	"context"
	"fmt"
	"io"
	"net/http"
)

// maxProbeBodyBytes limits the body of the answer to a probe.
const maxProbeBodyBytes = 64 << 10

// ProbeAnswer is an engine's answer to a probe.
type ProbeAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Probe sends a request to an engine on a new connection and returns the answer, which takes
// Config.ProbeTimeout at most. The connection is kept in the pool.
func (p *Pool) Probe(ctx context.Context, key Key, request Request) (ProbeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.ProbeTimeout)
	defer cancel()
	connection, err := p.dial(ctx, key)
	if err != nil {
		return ProbeAnswer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	exchange, err := connection.send(ctx, request)
	if err != nil {
		return ProbeAnswer{}, err
	}
	defer exchange.Close()
	body, err := io.ReadAll(io.LimitReader(exchange, maxProbeBodyBytes+1))
	if err != nil {
		return ProbeAnswer{}, err
	}
	if len(body) > maxProbeBodyBytes {
		exchange.bodyRead = false
		return ProbeAnswer{}, &LimitError{Part: "answer to a probe", Limit: maxProbeBodyBytes, Unit: Bytes}
	}
	return ProbeAnswer{Status: exchange.Response.StatusCode, Header: exchange.Response.Header, Body: body}, nil
}

// dialProbe opens a connection within Config.ProbeTimeout.
func (p *Pool) dialProbe(ctx context.Context, key Key) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.ProbeTimeout)
	defer cancel()
	return p.dial(ctx, key)
}

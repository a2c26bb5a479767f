// Package client simulates the callers of ringstream. It sends the requests and jobs of a plan over
// HTTP at their scheduled times, regardless of the outcome of earlier ones, and records what it
// sent and received. It never looks at the state of a node.
package client

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/wait"

	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/bench/workload"
)

// Directory provides the addresses of the nodes and the keys of the tenants.
type Directory interface {
	// Gateway returns the address of a node's API for callers. Nodes count from 0.
	Gateway(node int) string
	// Nodes returns the number of nodes.
	Nodes() int
	// Key returns the bearer key of a tenant.
	Key(tenant string) string
}

// Client sends a plan. It is safe for concurrent use.
type Client struct {
	directory Directory
	model     string
	ledger    *ledger.Ledger
	http      *http.Client
	started   time.Time
	// sending waits for the online requests, and following for all jobs to be followed to their
	// end.
	sending, following sync.WaitGroup
}

// New creates a client whose records go to the ledger.
func New(directory Directory, model string, into *ledger.Ledger) *Client {
	return NewWithDial(directory, model, into, (&net.Dialer{}).DialContext)
}

// dialTimeout bounds the time for opening a connection.
const dialTimeout = time.Second

// NewWithDial creates a client that opens its connections with dial.
func NewWithDial(directory Directory, model string, into *ledger.Ledger, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	const idleConnections = 256
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dial(ctx, network, address)
		},
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}
	return &Client{directory: directory, model: model, ledger: into, http: &http.Client{Transport: transport}}
}

// Run sends the plan. It returns when its last request has been sent and all online requests have
// ended, or ctx is done. Jobs are followed until Wait.
func (c *Client) Run(ctx context.Context, plan workload.Plan) {
	c.started = time.Now()
	c.following.Add(len(plan.Jobs))
	go func() {
		for i, job := range plan.Jobs {
			if !wait.Until(ctx, c.started.Add(job.At)) {
				c.following.Add(i - len(plan.Jobs))
				return
			}
			go c.runJob(ctx, job)
		}
	}()
	for _, request := range plan.Requests {
		if !wait.Until(ctx, c.started.Add(request.At)) {
			break
		}
		c.sending.Add(1)
		go func() {
			defer c.sending.Done()
			c.sendRequest(ctx, request)
		}()
	}
	c.sending.Wait()
}

// Wait returns when every job has been followed to its end. After limit, or when ctx is done, it
// calls giveUp, and the remaining jobs are recorded in their current state.
func (c *Client) Wait(ctx context.Context, limit time.Duration, giveUp context.CancelFunc) {
	done := make(chan struct{})
	go func() {
		c.following.Wait()
		close(done)
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return
	case <-ctx.Done():
	case <-timer.C:
	}
	giveUp()
	<-done
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Started returns when Run started.
func (c *Client) Started() time.Time { return c.started }

// errorBody is the body of a response that is not a success.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Run     string `json:"run"`
}

const runNotRun = "not_run"

func readErrorBody(body io.Reader) errorBody {
	const maxBytes = 64 << 10
	var read errorBody
	_ = json.NewDecoder(io.LimitReader(body, maxBytes)).Decode(&read) // a body in another format makes no claim
	return read
}

// requestEnd returns the end of the request that the response claims.
func (r errorBody) requestEnd() ledger.End {
	switch r.Run {
	case runNotRun:
		return ledger.EndRefused
	case "failed", "cancelled":
		return ledger.EndFailed
	default:
		return ledger.EndUnknown
	}
}

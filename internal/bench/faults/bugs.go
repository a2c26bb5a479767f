package faults

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
	"ringstream.example/ringstream/internal/emulator"
	"ringstream.example/ringstream/internal/wait"
)

// The planted bugs. Each is a wrapper around a stand-in that makes the nodes' calls appear as if
// their code had the bug. The matrix is of value only if it detects each of them.
const (
	// BugNoCompare drops the compares from writes of batch state and leases, so that a holder that
	// has lost its lease can still write.
	BugNoCompare = "skip_epoch_compare"
	// BugEarlyAnswer acknowledges a job 2 s before its commit. The commit never happens if the node
	// is dead by then.
	BugEarlyAnswer = "acknowledge_before_commit"
	// BugResend sends the request of a batch attempt a second time, under a new attempt, when the
	// attempt is resumed. An item that may run only once can then run twice.
	BugResend = "resend_an_intent"
)

// bugCells returns the cells for each planted bug, at least one of which must detect it. Which of
// them does depends on the progress of the work when the fault begins, so the steps that detect a
// bug most often are run with several seeds.
func bugCells(seed uint64) []Cell {
	plantings := []struct {
		bug, fault, step string
		seeds            uint64
	}{
		{BugNoCompare, "node_cut_out", "item.result_put.after", 8},
		{BugNoCompare, "node_cut_out", "item.send.after", 2},
		{BugNoCompare, "node_cut_out", "item.halfway", 2},
		{BugEarlyAnswer, "node_killed", "job.accept.after", 1},
		{BugResend, "engine_drops", "item.intent.after", 6},
		{BugResend, "engine_drops", "item.first_token", 2},
	}
	var cells []Cell
	for _, planting := range plantings {
		for more := range planting.seeds {
			cells = append(cells, Cell{Seed: seed + more, Bug: planting.bug, Injections: []Injection{{planting.step, planting.fault}}})
		}
	}
	return cells
}

// wrapperFor returns the wrapper that implements a planted bug, or nil if there is no such bug.
func (c *cell) wrapperFor(bug string) emulator.Wrapper {
	switch bug {
	case BugNoCompare:
		return wrapSystem("table", dropCompares)
	case BugEarlyAnswer:
		return wrapSystem("table", c.answerEarly)
	case BugResend:
		again := &resender{sent: map[string][]byte{}}
		return again.wrap
	default:
		return nil
	}
}

func wrapSystem(system string, wrap func(http.Handler) http.Handler) emulator.Wrapper {
	return func(name string, handler http.Handler) http.Handler {
		if name != system {
			return handler
		}
		return wrap(handler)
	}
}

// onCommit calls do for each transaction before the table service sees it.
func onCommit(next http.Handler, do func(w http.ResponseWriter, r *http.Request, transaction wire.Transaction)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != wire.PathCommit {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		var transaction wire.Transaction
		if err != nil || json.Unmarshal(body, &transaction) != nil {
			panic(http.ErrAbortHandler) // the caller has disconnected
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		do(w, r, transaction)
	})
}

func dropCompares(next http.Handler) http.Handler {
	return onCommit(next, func(w http.ResponseWriter, r *http.Request, transaction wire.Transaction) {
		if strings.HasPrefix(transaction.ID, "items-") {
			transaction.Compares = nil
			setBody(r, transaction)
		}
		next.ServeHTTP(w, r)
	})
}

func setBody(r *http.Request, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic("wire type does not encode: " + err.Error())
	}
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
}

// answerEarly acknowledges accepted jobs before they are committed.
func (c *cell) answerEarly(next http.Handler) http.Handler {
	const delay = 2 * time.Second
	return onCommit(next, func(w http.ResponseWriter, r *http.Request, transaction wire.Transaction) {
		if !strings.HasPrefix(transaction.ID, "accept-") {
			next.ServeHTTP(w, r)
			return
		}
		node, starts := c.callerOf(r)
		c.running.Go(func() {
			wait.For(c.ctx, delay)
			if _, now := c.processOf(node); now == starts {
				c.fleet.platform.Table.Apply(transaction)
			}
		})
		call := emulator.Call{System: "table", Operation: "commit", Phase: emulator.AfterEffect, Body: encode(transaction)}
		call.From = addressOf(r)
		c.observe(call)
		answer := wire.CommitResult{Applied: true}
		for i := range transaction.Writes {
			answer.Versions = append(answer.Versions, uint64(1_000_000+i))
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(encode(answer)) // the caller may have disconnected
	})
}

func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic("wire type does not encode: " + err.Error())
	}
	return body
}

// resender sends the request of a batch attempt a second time when the attempt is resumed.
type resender struct {
	mutex sync.Mutex
	sent  map[string][]byte // by attempt
}

func (b *resender) wrap(_ string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == wire.PathGenerate:
			b.record(r)
		case strings.HasSuffix(r.URL.Path, wire.SuffixStream):
			b.regenerate(next, r)
		}
		next.ServeHTTP(w, r)
	})
}

func (b *resender) record(r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the caller has disconnected
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	var request wire.GenerateRequest
	if json.Unmarshal(body, &request) == nil && backend.Priority(request.Priority) == backend.PriorityBatch {
		b.mutex.Lock()
		b.sent[request.Attempt] = body
		b.mutex.Unlock()
	}
}

// regenerate sends the request of a resumed attempt a second time, under a new attempt.
func (b *resender) regenerate(next http.Handler, r *http.Request) {
	attempt := strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, wire.PathAttempts), wire.SuffixStream)
	b.mutex.Lock()
	body, known := b.sent[attempt]
	delete(b.sent, attempt)
	b.mutex.Unlock()
	var request wire.GenerateRequest
	if !known || json.Unmarshal(body, &request) != nil {
		return
	}
	request.Attempt += "-again"
	again := r.Clone(r.Context())
	again.Method, again.URL.Path, again.URL.RawQuery = http.MethodPost, wire.PathGenerate, ""
	setBody(again, request)
	next.ServeHTTP(httptest.NewRecorder(), again)
}

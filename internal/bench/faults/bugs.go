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

// The planted bugs. Each stands before a stand-in and makes the nodes' calls
// come out as if their code had the bug; a matrix that does not find it is
// worth nothing.
const (
	// BugNoCompare: writes of batch state and leases skip their compares, so
	// that a holder that lost its lease can still write.
	BugNoCompare = "skip_epoch_compare"
	// BugEarlyAnswer: a job is acknowledged before its commit, which comes
	// 2 s later, and never when its node is dead by then.
	BugEarlyAnswer = "acknowledge_before_commit"
	// BugResend: an item that may run once is sent again, under a new attempt,
	// when its engine does not know the first.
	BugResend = "resend_an_intent"
)

// bugCells gives, for each planted bug, the cells of which at least one must
// show it. Which of them does hangs on how far the work is when the fault
// comes, so the steps that show a bug most often come at several seeds.
func bugCells(seed uint64) []Cell {
	shown := []struct {
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
	for _, show := range shown {
		for more := range show.seeds {
			cells = append(cells, Cell{Seed: seed + more, Bug: show.bug, Injections: []Injection{{show.step, show.fault}}})
		}
	}
	return cells
}

// wrapperFor gives the handlers that make a planted bug; nil: none.
func (c *cell) wrapperFor(bug string) emulator.Wrapper {
	switch bug {
	case BugNoCompare:
		return onlyBefore("table", dropCompares)
	case BugEarlyAnswer:
		return onlyBefore("table", c.answerEarly)
	case BugResend:
		again := &resender{sent: map[string][]byte{}}
		return again.wrap
	default:
		return nil
	}
}

func onlyBefore(system string, wrap func(http.Handler) http.Handler) emulator.Wrapper {
	return func(name string, handler http.Handler) http.Handler {
		if name != system {
			return handler
		}
		return wrap(handler)
	}
}

// onCommit has do see each transaction before the table does.
func onCommit(next http.Handler, do func(w http.ResponseWriter, r *http.Request, transaction wire.Transaction)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != wire.PathCommit {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		var transaction wire.Transaction
		if err != nil || json.Unmarshal(body, &transaction) != nil {
			panic(http.ErrAbortHandler) // the caller has gone
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

// answerEarly acknowledges the acceptance of jobs before it is committed.
func (c *cell) answerEarly(next http.Handler) http.Handler {
	const late = 2 * time.Second
	return onCommit(next, func(w http.ResponseWriter, r *http.Request, transaction wire.Transaction) {
		if !strings.HasPrefix(transaction.ID, "accept-") {
			next.ServeHTTP(w, r)
			return
		}
		node, starts := c.callerOf(r)
		c.running.Go(func() {
			wait.For(c.ctx, late)
			if _, now := c.processAt(node); now == starts {
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
		_, _ = w.Write(encode(answer)) // the caller may have gone
	})
}

func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic("wire type does not encode: " + err.Error())
	}
	return body
}

// resender sends batch attempts again that an engine does not know any more.
type resender struct {
	mutex sync.Mutex
	sent  map[string][]byte // by attempt
}

func (b *resender) wrap(_ string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == wire.PathGenerate:
			b.remember(r)
		case strings.HasSuffix(r.URL.Path, wire.SuffixStream):
			b.sendAgain(next, r)
		}
		next.ServeHTTP(w, r)
	})
}

func (b *resender) remember(r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the caller has gone
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	var request wire.GenerateRequest
	if json.Unmarshal(body, &request) == nil && backend.Priority(request.Priority) == backend.PriorityBatch {
		b.mutex.Lock()
		b.sent[request.Attempt] = body
		b.mutex.Unlock()
	}
}

// sendAgain generates anew, under another attempt, what is to be resumed.
func (b *resender) sendAgain(next http.Handler, r *http.Request) {
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

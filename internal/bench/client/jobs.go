package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/bench/workload"
	"ringstream.example/ringstream/internal/jobs"
	"ringstream.example/ringstream/internal/wait"
)

const (
	// pollInterval is the time between two polls of a running job.
	pollInterval = 500 * time.Millisecond
	// readInterval is the time between two reads of the results of a running job.
	readInterval = 2 * time.Second
	// cancelWatchTime is how long a client watches a cancelled job.
	cancelWatchTime = 3 * time.Second
	// callTimeout bounds one call about a job.
	callTimeout = 20 * time.Second
	// maxTries bounds the attempts of one operation, such as a submission.
	maxTries = 5
)

// runJob submits a job, follows it to its end and records it.
func (c *Client) runJob(ctx context.Context, planned workload.Job) {
	defer c.following.Done()
	record := ledger.Job{
		Key: planned.Key, Class: planned.Class, Tenant: planned.Tenant, Repeatable: planned.Repeatable,
		Deadline: time.Now().Add(planned.Deadline), Submitted: time.Now(),
	}
	for _, item := range planned.Items {
		record.Items = append(record.Items, ledger.Item(item))
	}
	follow := follower{client: c, node: planned.Node, job: &record, planned: planned}
	if follow.submit(ctx) {
		if planned.SubmitTwice {
			follow.resubmit(ctx)
		}
		if planned.CancelAfter > 0 && wait.Until(ctx, record.Accepted.Add(planned.CancelAfter)) {
			follow.cancel(ctx)
		}
		follow.followToEnd(ctx)
	}
	c.ledger.AddJob(record)
}

// follower is the client of one job. It switches to the next node after a failed call.
type follower struct {
	client     *Client
	node       int
	job        *ledger.Job
	planned    workload.Job
	lastReadAt time.Time
}

// submit sends the job until it is acknowledged. The idempotency key makes retries safe.
func (f *follower) submit(ctx context.Context) bool {
	for range maxTries {
		job, failure := f.post(ctx)
		if failure == nil {
			f.job.Accepted, f.job.ID, f.job.State, f.job.Refused = time.Now(), string(job.ID), string(job.State), false
			return true
		}
		f.recordFailure(failure)
		f.job.Refused = failure.notRun && f.allRefused()
		f.node = (f.node + 1) % f.client.directory.Nodes()
		if !wait.Until(ctx, time.Now().Add(pollInterval)) {
			break
		}
	}
	return false
}

// allRefused reports whether every earlier send was refused without running.
func (f *follower) allRefused() bool { return len(f.job.Errors) == 1 || f.job.Refused }

// resubmit sends the same job through another node, like a client that did not trust the first
// answer.
func (f *follower) resubmit(ctx context.Context) {
	f.node = (f.node + 1) % f.client.directory.Nodes()
	job, failure := f.post(ctx)
	if failure != nil {
		f.recordFailure(failure)
		return
	}
	f.job.ResentIDs = append(f.job.ResentIDs, string(job.ID))
}

func (f *follower) post(ctx context.Context) (jobs.Job, *callFailure) {
	var body bytes.Buffer
	lines := json.NewEncoder(&body)
	for _, item := range f.planned.Items {
		line := jobs.Item{ID: item.Name, Prompt: item.Prompt, MaxTokens: item.MaxTokens}
		if err := lines.Encode(line); err != nil {
			panic(err) // strings and numbers can always be encoded
		}
	}
	query := url.Values{
		"model": {f.client.model}, "deadline": {f.planned.Deadline.String()},
		"repeatable": {fmt.Sprint(f.planned.Repeatable)},
	}
	return f.call(ctx, http.MethodPost, "/v1/batches?"+query.Encode(), body.Bytes())
}

// cancel sends the cancel until it is answered.
func (f *follower) cancel(ctx context.Context) {
	f.job.CancelSent = time.Now()
	for range maxTries {
		job, failure := f.call(ctx, http.MethodPost, "/v1/batches/"+f.job.ID+"/cancel", nil)
		if failure == nil {
			f.job.CancelAnswered, f.job.State = time.Now(), string(job.State)
			f.read(ctx, false)
			return
		}
		f.recordFailure(failure)
		f.node = (f.node + 1) % f.client.directory.Nodes()
	}
}

// followToEnd polls the job until it is final, and then reads its results twice, through two nodes.
func (f *follower) followToEnd(ctx context.Context) {
	if !f.job.CancelSent.IsZero() {
		wait.Until(ctx, time.Now().Add(cancelWatchTime))
		f.read(ctx, true)
		f.job.Finished = time.Now()
		return
	}
	f.lastReadAt = time.Now()
	for wait.Until(ctx, time.Now().Add(pollInterval)) {
		job, failure := f.call(ctx, http.MethodGet, "/v1/batches/"+f.job.ID, nil)
		if failure != nil {
			f.recordFailure(failure)
			f.node = (f.node + 1) % f.client.directory.Nodes()
			continue
		}
		f.job.State = string(job.State)
		if job.State == jobs.StateCompleted {
			f.job.Finished = time.Now()
			f.read(ctx, true)
			f.node = (f.node + 1) % f.client.directory.Nodes()
			f.read(ctx, true)
			return
		}
		if time.Since(f.lastReadAt) > readInterval {
			f.lastReadAt = time.Now()
			f.read(ctx, false)
		}
	}
}

// read reads all results. A failed read is added to the job's errors and not to its readings.
func (f *follower) read(ctx context.Context, final bool) {
	for range maxTries {
		results, err := f.results(ctx)
		if err == nil {
			f.job.Readings = append(f.job.Readings, ledger.Reading{At: time.Now(), Final: final, Results: results})
			return
		}
		f.job.Errors = append(f.job.Errors, "results: "+err.Error())
		f.node = (f.node + 1) % f.client.directory.Nodes()
		if ctx.Err() != nil {
			return
		}
	}
}

func (f *follower) results(ctx context.Context) ([]ledger.Result, error) {
	response, cancel, err := f.do(ctx, http.MethodGet, "/v1/batches/"+f.job.ID+"/results", nil)
	if err != nil {
		return nil, err
	}
	defer cancel()
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		read := readErrorBody(response.Body)
		return nil, fmt.Errorf("status %d: %s %s", response.StatusCode, read.Code, read.Message)
	}
	var results []ledger.Result
	lines := json.NewDecoder(response.Body)
	for lines.More() {
		var line struct {
			jobs.Result
			Code string `json:"code"`
		}
		if err := lines.Decode(&line); err != nil {
			return nil, err
		}
		if line.Code != "" {
			return nil, errors.New("the results ended with " + line.Code)
		}
		results = append(results, ledger.Result{
			Index: line.Index, Name: line.ID, Outcome: line.Outcome, Text: line.Text, Reason: line.Reason,
		})
	}
	return results, nil
}

// callFailure describes a failed call about a job.
type callFailure struct {
	message string
	notRun  bool
}

func (f *follower) recordFailure(failure *callFailure) {
	f.job.Errors = append(f.job.Errors, failure.message)
}

// call makes a call whose response is a job.
func (f *follower) call(ctx context.Context, method, path string, body []byte) (jobs.Job, *callFailure) {
	var job jobs.Job
	response, cancel, err := f.do(ctx, method, path, body)
	if err != nil {
		return job, &callFailure{message: err.Error(), notRun: failedToConnect(err)}
	}
	defer cancel()
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		read := readErrorBody(response.Body)
		message := fmt.Sprintf("%s %s: status %d: %s %s", method, path, response.StatusCode, read.Code, read.Message)
		return job, &callFailure{message: message, notRun: read.Run == runNotRun}
	}
	if err := json.NewDecoder(response.Body).Decode(&job); err != nil {
		return job, &callFailure{message: err.Error()}
	}
	return job, nil
}

// do makes a call. The caller must call cancel after reading the body.
func (f *follower) do(ctx context.Context, method, path string, body []byte) (*http.Response, context.CancelFunc, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	call, err := http.NewRequestWithContext(ctx, method, "http://"+f.client.directory.Gateway(f.node)+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address comes from the directory and is valid
	}
	call.Header.Set("Authorization", "Bearer "+f.client.directory.Key(f.planned.Tenant))
	if method == http.MethodPost && body != nil {
		call.Header.Set("Idempotency-Key", f.planned.Key)
		call.Header.Set("Content-Type", "application/jsonl")
	}
	response, err := f.client.http.Do(call)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	return response, cancel, nil
}

// Results reads all results of a job through a node.
func (c *Client) Results(ctx context.Context, node int, tenant, job string) ([]ledger.Result, error) {
	reader := follower{client: c, node: node, job: &ledger.Job{ID: job}, planned: workload.Job{Tenant: tenant}}
	return reader.results(ctx)
}

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
	// pollEvery is how often a client looks at its running job.
	pollEvery = 500 * time.Millisecond
	// readEvery is how often it reads the results of a running job.
	readEvery = 2 * time.Second
	// cancelWatch is how long a client watches a cancelled job.
	cancelWatch = 3 * time.Second
	// longestCall bounds one call about a job.
	longestCall = 20 * time.Second
	// submitTries bounds the sends of one submission.
	submitTries = 5
)

// job submits a job, follows it to its end and records it.
func (c *Client) job(ctx context.Context, planned workload.Job) {
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
			follow.submitAgain(ctx)
		}
		if planned.CancelAfter > 0 && wait.Until(ctx, record.Accepted.Add(planned.CancelAfter)) {
			follow.cancel(ctx)
		}
		follow.toEnd(ctx)
	}
	c.ledger.AddJob(record)
}

// follower is the client of one job. It takes the next node whenever one
// cannot be reached.
type follower struct {
	client   *Client
	node     int
	job      *ledger.Job
	planned  workload.Job
	lastRead time.Time
}

// submit sends the job until it is acknowledged; the key makes that safe.
func (f *follower) submit(ctx context.Context) bool {
	for range submitTries {
		job, failure := f.post(ctx)
		if failure == nil {
			f.job.Accepted, f.job.ID, f.job.State, f.job.Refused = time.Now(), string(job.ID), string(job.State), false
			return true
		}
		f.note(failure)
		f.job.Refused = failure.notRun && f.allRefused()
		f.node = (f.node + 1) % f.client.directory.Nodes()
		if !wait.Until(ctx, time.Now().Add(pollEvery)) {
			break
		}
	}
	return false
}

// allRefused tells whether no earlier send is in doubt.
func (f *follower) allRefused() bool { return len(f.job.Errors) == 1 || f.job.Refused }

// submitAgain sends the same job through another node, as a client that did
// not trust its first answer.
func (f *follower) submitAgain(ctx context.Context) {
	f.node = (f.node + 1) % f.client.directory.Nodes()
	job, failure := f.post(ctx)
	if failure != nil {
		f.note(failure)
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
			panic(err) // strings and numbers can be encoded
		}
	}
	query := url.Values{
		"model": {f.client.model}, "deadline": {f.planned.Deadline.String()},
		"repeatable": {fmt.Sprint(f.planned.Repeatable)},
	}
	return f.call(ctx, http.MethodPost, "/v1/batches?"+query.Encode(), body.Bytes())
}

// cancel asks until the cancel is answered.
func (f *follower) cancel(ctx context.Context) {
	f.job.CancelSent = time.Now()
	for range submitTries {
		job, failure := f.call(ctx, http.MethodPost, "/v1/batches/"+f.job.ID+"/cancel", nil)
		if failure == nil {
			f.job.CancelAnswered, f.job.State = time.Now(), string(job.State)
			f.read(ctx, false)
			return
		}
		f.note(failure)
		f.node = (f.node + 1) % f.client.directory.Nodes()
	}
}

// toEnd watches the job until it is final, then reads its results twice,
// through two nodes.
func (f *follower) toEnd(ctx context.Context) {
	if !f.job.CancelSent.IsZero() {
		wait.Until(ctx, time.Now().Add(cancelWatch))
		f.read(ctx, true)
		f.job.Finished = time.Now()
		return
	}
	f.lastRead = time.Now()
	for wait.Until(ctx, time.Now().Add(pollEvery)) {
		job, failure := f.call(ctx, http.MethodGet, "/v1/batches/"+f.job.ID, nil)
		if failure != nil {
			f.note(failure)
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
		if time.Since(f.lastRead) > readEvery {
			f.lastRead = time.Now()
			f.read(ctx, false)
		}
	}
}

// read reads all results; a reading that fails is noted and not recorded.
func (f *follower) read(ctx context.Context, final bool) {
	for range submitTries {
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
	answer, cancel, err := f.do(ctx, http.MethodGet, "/v1/batches/"+f.job.ID+"/results", nil)
	if err != nil {
		return nil, err
	}
	defer cancel()
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		read := readRefusal(answer.Body)
		return nil, fmt.Errorf("status %d: %s %s", answer.StatusCode, read.Code, read.Message)
	}
	var results []ledger.Result
	lines := json.NewDecoder(answer.Body)
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

// callFailure is a call about a job that did not succeed.
type callFailure struct {
	message string
	notRun  bool
}

func (f *follower) note(failure *callFailure) { f.job.Errors = append(f.job.Errors, failure.message) }

// call makes one call whose answer is a job.
func (f *follower) call(ctx context.Context, method, path string, body []byte) (jobs.Job, *callFailure) {
	var job jobs.Job
	answer, cancel, err := f.do(ctx, method, path, body)
	if err != nil {
		return job, &callFailure{message: err.Error(), notRun: neverSent(err)}
	}
	defer cancel()
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode >= http.StatusMultipleChoices {
		read := readRefusal(answer.Body)
		message := fmt.Sprintf("%s %s: status %d: %s %s", method, path, answer.StatusCode, read.Code, read.Message)
		return job, &callFailure{message: message, notRun: read.Run == runNotRun}
	}
	if err := json.NewDecoder(answer.Body).Decode(&job); err != nil {
		return job, &callFailure{message: err.Error()}
	}
	return job, nil
}

// do sends one call; cancel ends it once its body has been read.
func (f *follower) do(ctx context.Context, method, path string, body []byte) (*http.Response, context.CancelFunc, error) {
	ctx, cancel := context.WithTimeout(ctx, longestCall)
	call, err := http.NewRequestWithContext(ctx, method, "http://"+f.client.directory.Gateway(f.node)+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address is one of ours
	}
	call.Header.Set("Authorization", "Bearer "+f.client.directory.Key(f.planned.Tenant))
	if method == http.MethodPost && body != nil {
		call.Header.Set("Idempotency-Key", f.planned.Key)
		call.Header.Set("Content-Type", "application/jsonl")
	}
	answer, err := f.client.http.Do(call)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	return answer, cancel, nil
}

// Results reads all results of a job through a node.
func (c *Client) Results(ctx context.Context, node int, tenant, job string) ([]ledger.Result, error) {
	reader := follower{client: c, node: node, job: &ledger.Job{ID: job}, planned: workload.Job{Tenant: tenant}}
	return reader.results(ctx)
}

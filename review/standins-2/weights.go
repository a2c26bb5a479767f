package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// The course of the change of weights.
const (
	weightsNodes   = 3
	weightsEngines = 6
	itemsPerJob    = 8
	itemEvents     = 40
	// finishTime is finish_s, the time after the end of the traffic in which open items have to be listed.
	finishTime = 18 * time.Second
	// idleTime is the last part of it, in which no engine may have an open item.
	idleTime = 5 * time.Second
	// jobCallTime is how long a client waits for the answer to a call about a job.
	jobCallTime = 4 * time.Second
)

// playWeights lets a client send a few requests that name the version of the weights which the engines had until a
// moment before, and hands in batch jobs after that. It returns whether all items were listed.
func playWeights(ctx context.Context, folder string, trouble bool) (held bool, err error) {
	made, err := newFleet(ctx, folder, fleetSize{nodes: weightsNodes, engines: weightsEngines})
	if err != nil {
		return false, err
	}
	if err := made.configure(streamRoute("fault-alert", host, "/lohu930/"), batchRoute()); err != nil {
		return false, err
	}
	if err := made.awaitReady(ctx); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	if trouble {
		for _, next := range made.engines {
			next.setWeights(2)
		}
	}
	for _, to := range made.nodes {
		made.stream(ctx, to, "1")
	}
	time.Sleep(time.Second)
	var jobs []string
	for _, to := range made.nodes {
		made.stream(ctx, to, "")
		job := newRequestID()
		if made.submit(ctx, to, job) {
			jobs = append(jobs, job)
		}
	}
	if len(jobs) == 0 {
		return false, errors.New("no job was accepted")
	}
	time.Sleep(finishTime - idleTime)
	idle := made.enginesIdle(idleTime)
	open, err := made.countOpen(ctx, jobs)
	if err != nil {
		return false, err
	}
	for _, to := range made.nodes {
		made.stream(ctx, to, "") // whether the nodes serve again by now
	}
	made.record.add("%d jobs were accepted; %d of their items are open; no engine ran any request in the last %s: %t", len(jobs), open, idleTime, idle)
	return open == 0 || !idle, nil
}

// enginesIdle reports whether no engine runs any request for some time.
func (f *fleet) enginesIdle(lasting time.Duration) bool {
	for began := time.Now(); time.Since(began) < lasting; time.Sleep(20 * time.Millisecond) {
		for _, next := range f.engines {
			if next.runs() > 0 {
				return false
			}
		}
	}
	return true
}

// countOpen returns how many items of the jobs are not listed.
func (f *fleet) countOpen(ctx context.Context, jobs []string) (open int, err error) {
	for i, job := range jobs {
		listed, err := f.countListed(ctx, f.nodes[i%len(f.nodes)], job)
		if err != nil {
			return 0, err
		}
		f.record.add("client: job %s: %d of %d items are listed", job, listed, itemsPerJob)
		open += itemsPerJob - listed
	}
	return open, nil
}

// stream sends a request of a client, which may name the version of the weights.
func (f *fleet) stream(ctx context.Context, to *node, version string) {
	ctx, cancel := context.WithTimeout(ctx, clientTime)
	defer cancel()
	id := newRequestID()
	f.try(ctx, to, attempt{id: id, host: host, path: "/lohu930/2f", prompt: "5c1e07a2:155," + id + ":491", body: "prompt of " + id, expectVersion: version})
}

// submit hands a batch job in and reports whether the node has accepted it.
func (f *fleet) submit(ctx context.Context, to *node, job string) bool {
	var items []map[string]any
	for i := range itemsPerJob {
		id := fmt.Sprintf("%s%02d", job, i)
		items = append(items, map[string]any{
			"id": id, "path": batchPrefix + "3/" + id, "tokens": 1200 + itemEvents, "body": base64.StdEncoding.EncodeToString([]byte("prompt of " + id)),
			"headers": map[string]string{"X-Model": "m", "X-Token-Count": fmt.Sprintf("1200,%d", itemEvents), "X-Prompt-Prefix": "9c2e41:576," + id + ":624"},
		})
	}
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		return false
	}
	status, _ := f.call(ctx, http.MethodPost, to, batchPrefix+job, job, string(body))
	f.record.add("client: job %s with %d items at %s: %d", job, itemsPerJob, to.name, status)
	return status == http.StatusAccepted
}

// countListed returns the number of a job's items that are listed.
func (f *fleet) countListed(ctx context.Context, to *node, job string) (int, error) {
	status, body := f.call(ctx, http.MethodGet, to, "/lots/"+job+"?since_rev=0", newRequestID(), "")
	if status != http.StatusOK {
		return 0, fmt.Errorf("read of job %s at %s: status %d", job, to.name, status)
	}
	var results struct {
		Next int `json:"next_token"`
	}
	if err := json.Unmarshal([]byte(body), &results); err != nil {
		return 0, err
	}
	return results.Next, nil
}

// call makes a call about a batch job on a new connection.
func (f *fleet) call(ctx context.Context, method string, to *node, path, id, body string) (status int, answer string) {
	ctx, cancel := context.WithTimeout(ctx, jobCallTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.front+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(jobCallTime.Milliseconds()))
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close() //nolint:errcheck // only read
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(content)
}

package main

import (
	"bufio"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// answer is what one client attempt brought.
type answer struct {
	status   int
	last     string // id of the last whole event
	versions []string
	whole    bool
}

// attempt is one client attempt. lastEvent and resumes are empty unless it takes a stream up.
type attempt struct {
	id, host, path, prompt, body string
	lastEvent, resumes           string
	expectVersion                string // of the weights; empty if the client does not name one
	key                          string // of a tenant; empty if there are none
	events                       int    // of the answer; 0 for streamEvents
}

// try sends a request on a new connection and reads its answer.
func (f *fleet) try(ctx context.Context, to *node, call attempt) answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.front+call.path, strings.NewReader(call.body))
	if err != nil {
		return answer{}
	}
	deadline, _ := ctx.Deadline()
	request.Host = call.host
	request.Header.Set("X-Request-Id", call.id)
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Count", fmt.Sprintf("646,%d", cmp.Or(call.events, streamEvents)))
	request.Header.Set("X-Prompt-Prefix", call.prompt)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(time.Until(deadline).Milliseconds()))
	if call.key != "" {
		request.Header.Set("X-Credential", call.key)
	}
	if call.expectVersion != "" {
		request.Header.Set("X-Expect-Version", call.expectVersion)
	}
	if call.lastEvent != "" {
		request.Header.Set("Last-Event-Id", call.lastEvent)
		request.Header.Set("Resumes", call.resumes)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		f.record.add("client: %s at %s: %v", call.id, to.name, err)
		return answer{}
	}
	defer response.Body.Close() //nolint:errcheck // only read
	got := answer{status: response.StatusCode, last: call.lastEvent}
	if got.status == http.StatusOK {
		got.read(response)
	}
	f.record.add("client: %s at %s after event %q: %d, last event %s, software %v, whole: %t", call.id, to.name, call.lastEvent, got.status, got.last, got.versions, got.whole)
	return got
}

// read reads the events of an answer.
func (a *answer) read(response *http.Response) {
	lines := bufio.NewScanner(response.Body)
	id, software := "", ""
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id = strings.TrimPrefix(line, "id: ")
		case strings.HasPrefix(line, "data: "):
			software = strings.TrimPrefix(line, "data: ")
		case line == "" && id != "":
			a.last = id
			if !slices.Contains(a.versions, software) {
				a.versions = append(a.versions, software)
			}
			id = ""
		}
	}
	a.whole = lines.Err() == nil
}

func newRequestID() string {
	bytes := make([]byte, 8)
	_, _ = rand.Read(bytes) // never fails
	return hex.EncodeToString(bytes)
}

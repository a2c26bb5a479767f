package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/bench/workload"
)

// completion is the body of an online request.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// chunk is one event of a stream: text, or an error's body.
type chunk struct {
	refusal
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// longestRequest bounds one online request, so that a run ends.
const longestRequest = 60 * time.Second

// online sends one request and records its end. A caller that cannot connect
// to its node, or is told that the node is going, takes the next one.
func (c *Client) online(ctx context.Context, request workload.Request) {
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, longestRequest)
	defer cancel()
	record := ledger.Request{
		Name: request.Name, Class: request.Class, Tenant: request.Tenant, Key: request.Key, Resend: request.Resend,
		Prompt: request.Prompt, MaxTokens: request.MaxTokens, Node: request.Node, Scheduled: c.started.Add(request.At),
	}
	for range c.directory.Nodes() {
		c.send(ctx, &record)
		if !tryNext(&record) {
			break
		}
		record.Node = (record.Node + 1) % c.directory.Nodes()
	}
	record.Finished = time.Now()
	record.Abandoned = caller.Err() != nil && record.End == ledger.EndUnknown
	c.ledger.AddRequest(record)
}

const (
	codeDraining    = "draining"
	codeUnreachable = "unreachable"
)

func tryNext(record *ledger.Request) bool {
	return record.End == ledger.EndRefused && (record.Code == codeDraining || record.Code == codeUnreachable)
}

// send makes one call to one node.
func (c *Client) send(ctx context.Context, record *ledger.Request) {
	body, err := json.Marshal(completion{Model: c.model, Prompt: record.Prompt, MaxTokens: record.MaxTokens, Stream: true})
	if err != nil {
		panic(err) // strings and numbers can be encoded
	}
	url := "http://" + c.directory.Gateway(record.Node) + "/v1/completions"
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address is one of ours
	}
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set("Authorization", "Bearer "+c.directory.Key(record.Tenant))
	if record.Key != "" {
		call.Header.Set("Idempotency-Key", record.Key)
	}
	record.Sent = time.Now()
	record.End, record.Code, record.Error = ledger.EndUnknown, "", ""
	answer, err := c.http.Do(call)
	if err != nil {
		record.Error = err.Error()
		if neverSent(err) {
			record.End, record.Code = ledger.EndRefused, codeUnreachable
		}
		return
	}
	defer func() { _ = answer.Body.Close() }()
	record.Status = answer.StatusCode
	record.RequestID = answer.Header.Get("X-Request-Id")
	if answer.StatusCode != http.StatusOK {
		read := readRefusal(answer.Body)
		record.End, record.Code, record.Error = read.endOf(), read.Code, read.Message
		return
	}
	readStream(answer, record)
}

// neverSent tells whether a call failed before it was connected.
func neverSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// readStream reads events until the end mark, an error event or a broken
// connection.
func readStream(answer *http.Response, record *ledger.Request) {
	var text strings.Builder
	defer func() { record.Text = text.String() }()
	lines := bufio.NewReader(answer.Body)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			record.Error = "the stream ended without its end mark: " + err.Error()
			return
		}
		data, isData := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !isData {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			record.End = ledger.EndCompleted
			return
		}
		var event chunk
		if err := json.Unmarshal(data, &event); err != nil {
			record.Error = "not an event: " + err.Error()
			return
		}
		if event.Code != "" {
			record.End, record.Code, record.Error = event.endOf(), event.Code, event.Message
			return
		}
		if len(event.Choices) > 0 && event.Choices[0].Text != "" {
			now := time.Now()
			if record.FirstToken.IsZero() {
				record.FirstToken = now
			}
			record.TokenTimes = append(record.TokenTimes, now)
			text.WriteString(event.Choices[0].Text)
		}
	}
}

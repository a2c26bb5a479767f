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

// chunk is one event of a stream: either text or the body of an error.
type chunk struct {
	errorBody
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// requestTimeout bounds one online request, so that a run ends.
const requestTimeout = 60 * time.Second

// sendRequest sends one request and records its end. If it cannot connect to a node, or the node is
// draining, it tries the next node.
func (c *Client) sendRequest(ctx context.Context, request workload.Request) {
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	record := ledger.Request{
		Name: request.Name, Class: request.Class, Tenant: request.Tenant, Key: request.Key, Resend: request.Resend,
		Prompt: request.Prompt, MaxTokens: request.MaxTokens, Node: request.Node, Scheduled: c.started.Add(request.At),
	}
	for range c.directory.Nodes() {
		c.send(ctx, &record)
		if !shouldTryNextNode(&record) {
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

func shouldTryNextNode(record *ledger.Request) bool {
	return record.End == ledger.EndRefused && (record.Code == codeDraining || record.Code == codeUnreachable)
}

// send makes one call to one node and records the outcome.
func (c *Client) send(ctx context.Context, record *ledger.Request) {
	body, err := json.Marshal(completion{Model: c.model, Prompt: record.Prompt, MaxTokens: record.MaxTokens, Stream: true})
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	url := "http://" + c.directory.Gateway(record.Node) + "/v1/completions"
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address comes from the directory and is valid
	}
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set("Authorization", "Bearer "+c.directory.Key(record.Tenant))
	if record.Key != "" {
		call.Header.Set("Idempotency-Key", record.Key)
	}
	record.Sent = time.Now()
	record.End, record.Code, record.Error = ledger.EndUnknown, "", ""
	response, err := c.http.Do(call)
	if err != nil {
		record.Error = err.Error()
		if failedToConnect(err) {
			record.End, record.Code = ledger.EndRefused, codeUnreachable
		}
		return
	}
	defer func() { _ = response.Body.Close() }()
	record.Status = response.StatusCode
	record.RequestID = response.Header.Get("X-Request-Id")
	if response.StatusCode != http.StatusOK {
		read := readErrorBody(response.Body)
		record.End, record.Code, record.Error = read.requestEnd(), read.Code, read.Message
		return
	}
	readStream(response, record)
}

// failedToConnect reports whether a call failed before a connection was established.
func failedToConnect(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// readStream reads events until the end mark, an error event or the loss of the connection.
func readStream(response *http.Response, record *ledger.Request) {
	var text strings.Builder
	defer func() { record.Text = text.String() }()
	lines := bufio.NewReader(response.Body)
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
			record.End, record.Code, record.Error = event.requestEnd(), event.Code, event.Message
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

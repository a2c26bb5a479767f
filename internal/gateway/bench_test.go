package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/dispatch"
	"ringstream.example/ringstream/internal/limits"
)

// flushSignaler is a client that keeps up and signals each flush.
type flushSignaler struct {
	header  http.Header
	flushed chan struct{}
}

func (d *flushSignaler) Header() http.Header         { return d.header }
func (d *flushSignaler) Write(b []byte) (int, error) { return len(b), nil }
func (d *flushSignaler) WriteHeader(int)             {}
func (d *flushSignaler) Flush()                      { d.flushed <- struct{}{} }

func benchServer(run runFunc) *Server {
	return New(DefaultConfig(), Dependencies{
		Auth: bearerAuth{}, Rows: testRows(), Limits: limitFunc(func() limits.Decision { return limits.Decision{Allowed: true} }), Online: run,
	}, zap.NewNop(), nil)
}

// BenchmarkStreamedToken measures one token from dispatch to the client's flush,
// without sockets. The next token is sent only after the last was flushed.
func BenchmarkStreamedToken(b *testing.B) {
	client := &flushSignaler{header: http.Header{}, flushed: make(chan struct{})}
	server := benchServer(func(_ context.Context, _ dispatch.Request, sink dispatch.Sink) outcome.Outcome {
		b.ResetTimer()
		for i := range b.N {
			if err := sink(backend.Token{Offset: i, Text: " harvester"}); err != nil {
				b.Error(err)
			}
			<-client.flushed
		}
		b.StopTimer()
		go func() { <-client.flushed }()
		return outcome.Outcome{Kind: outcome.Completed, OutputTokens: b.N}
	})
	b.ReportAllocs()
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions",
		strings.NewReader(`{"model":"scribe","stream":true,"messages":[{"role":"user","content":"x"}]}`))
	request.Header.Set("Authorization", "Bearer corrib")
	server.http.Echo.ServeHTTP(client, request)
}

// BenchmarkParseChat measures the parsing of an ordinary chat request.
func BenchmarkParseChat(b *testing.B) {
	body := []byte(`{"model":"scribe","stream":true,"max_tokens":200,"temperature":1,"stream_options":{"include_usage":true},"messages":[` +
		`{"role":"system","content":"You summarise motions."},{"role":"user","content":"` + strings.Repeat("The motion was put. ", 100) + `"}]}`)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := parseGeneration(body, true); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkFirstTokenOverLoopback measures a request over a real connection up to the
// first token of its stream, from an engine that answers at once. The metric includes
// the client's own time.
func BenchmarkFirstTokenOverLoopback(b *testing.B) {
	server := benchServer(func(_ context.Context, _ dispatch.Request, sink dispatch.Sink) outcome.Outcome {
		_ = sink(backend.Token{Text: "first"})
		return outcome.Outcome{Kind: outcome.Completed, OutputTokens: 1}
	})
	listener := httptest.NewServer(server.http.Echo)
	defer listener.Close()
	const highestMicros = 10_000_000
	took := hdrhistogram.New(1, highestMicros, 3)
	for b.Loop() {
		request, _ := http.NewRequest(http.MethodPost, listener.URL+"/v1/completions", strings.NewReader(`{"model":"scribe","prompt":"x","stream":true}`))
		request.Header.Set("Authorization", "Bearer corrib")
		begun := time.Now()
		response, err := listener.Client().Do(request)
		if err != nil {
			b.Fatal(err)
		}
		lines := bufio.NewScanner(response.Body)
		lines.Scan()
		_ = took.RecordValue(time.Since(begun).Microseconds())
		for lines.Scan() {
		}
		response.Body.Close()
	}
	b.ReportMetric(float64(took.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(took.ValueAtQuantile(99)), "p99-µs")
}

func BenchmarkTokenEncode(b *testing.B) {
	events := newEventEncoder(answerHead{id: "chatcmpl-01J", model: "fleetlink-llm", created: 1, chat: true})
	buffer := make([]byte, 0, streamBufferBytes)
	b.ReportAllocs()
	for b.Loop() {
		buffer = events.appendToken(buffer[:0], " harvester")
	}
	if !bytes.HasPrefix(buffer, []byte(eventPrefix)) {
		b.Fatal(string(buffer))
	}
}

// BenchmarkTokenOverLoopback measures the processor time of one token, from dispatch
// to the client, in streams over real connections that keep up. It includes the
// client's time and the pacing, so it is an upper bound of the node's time.
func BenchmarkTokenOverLoopback(b *testing.B) {
	const (
		streams = 64
		pace    = 2 * time.Millisecond
	)
	perStream := max(b.N/streams, 1)
	server := benchServer(func(_ context.Context, _ dispatch.Request, sink dispatch.Sink) outcome.Outcome {
		ticker := time.NewTicker(pace)
		defer ticker.Stop()
		for i := range perStream {
			<-ticker.C
			if sink(backend.Token{Offset: i, Text: " harvester"}) != nil {
				return outcome.Outcome{Kind: outcome.Cancelled}
			}
		}
		return outcome.Outcome{Kind: outcome.Completed, OutputTokens: perStream}
	})
	listener := httptest.NewServer(server.http.Echo)
	defer listener.Close()
	before := processorTime(b)
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			request, _ := http.NewRequest(http.MethodPost, listener.URL+"/v1/completions", strings.NewReader(`{"model":"scribe","prompt":"x","stream":true}`))
			request.Header.Set("Authorization", "Bearer corrib")
			response, err := listener.Client().Do(request)
			if err != nil {
				b.Error(err)
				return
			}
			defer response.Body.Close()
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				b.Error(err)
			}
		})
	}
	group.Wait()
	b.ReportMetric((processorTime(b)-before).Seconds()*1e6/float64(perStream*streams), "cpu-µs/token")
}

func processorTime(b *testing.B) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

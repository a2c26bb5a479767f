package answerend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/loopbacktest"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/engineconn"
)

// headers names an engine in the header Engine.
type headers struct{ passthrough.Headers }

func (headers) SetForEngine(header http.Header, to passthrough.EngineRequest) {
	header.Set("Engine", to.Instance)
}

func (headers) Answer(_ int, header http.Header) passthrough.EngineAnswer {
	return passthrough.EngineAnswer{Instance: header.Get("Engine")}
}

// reports reads the start from a report of "born N".
type reports struct{}

func (reports) Path() string { return "/report" }

func (reports) Born(answer []byte) (born int64) {
	_, _ = fmt.Sscanf(string(answer), "born %d", &born)
	return born
}

// handler answers a request for a path on its connection.
type handler func(path string, connection *net.TCPConn)

// startEngine answers each connection to the returned address with handle, once a request is read.
func startEngine(t *testing.T, handle handler) (address string, stop func()) {
	t.Helper()
	return loopbacktest.Serve(t, func(connection *net.TCPConn) {
		if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
			handle(request.URL.Path, connection)
		}
	})
}

// write answers both the call for a report and the health check with a text.
func write(text string) handler {
	return func(_ string, connection *net.TCPConn) { _, _ = io.WriteString(connection, text) }
}

// withoutReport answers the call for a report with 404, and handles the health check.
func withoutReport(health handler) handler {
	return func(path string, connection *net.TCPConn) {
		if path == (reports{}).Path() {
			_, _ = io.WriteString(connection, answered(404, ""))
			return
		}
		health(path, connection)
	}
}

func silent(string, *net.TCPConn) {}

// answered returns the text of an answer with a status that names an engine.
func answered(status int, engine string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nEngine: %s\r\nContent-Length: 0\r\n\r\n", status, engine)
}

// report returns the text of a report of an engine that started at a time.
func report(born int64) string {
	text := fmt.Sprint("born ", born)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// untilClose is an exchange whose answer has ended with its connection, and the error of that end.
type untilClose struct{ end error }

// Framing implements Exchange.
func (untilClose) Framing() engineconn.Framing { return engineconn.FramedByConnection }

// ClosedInOrder implements Exchange.
func (u untilClose) ClosedInOrder() error { return u.end }

// TestResetIsNoEnd guards against an answer that counts as whole though its connection was reset, while its
// engine still runs.
func TestResetIsNoEnd(t *testing.T) {
	address, _ := startEngine(t, write(answered(200, "")))
	checker := NewChecker(engineconn.New(engineconn.DefaultConfig()), headers{}, reports{}, func(string) passroute.Pool { return passroute.Pool{} })
	got, err := checker.Check(t.Context(), Answer{Exchange: untilClose{end: syscall.ECONNRESET}, Engine: engineconn.Key{Engine: enginechoice.Incarnation{ID: "e1"}, Address: address}})
	if got != None || !engineconn.BrokenByEngine(err) {
		t.Errorf("evidence %q, error %v; want none, and an error by which the engine broke the answer off", got, err)
	}
}

// TestWhatShowsThatAnEngineStillRuns guards against an answer that counts as whole though the engine that
// wrote it has ended, and against one that counts as broken off though its engine runs.
func TestWhatShowsThatAnEngineStillRuns(t *testing.T) {
	const born = 1700000000000
	for _, test := range []struct {
		name     string
		handle   handler
		born     int64 // in the entry of the engine that wrote the answer
		ended    bool  // nobody listens
		noHealth bool  // the pool has no health check
		want     Evidence
	}{
		{name: "reports", handle: write(answered(200, "")), want: EngineAnswers},
		{name: "reports its start", handle: write(report(born)), born: born, want: EngineAnswers},
		{name: "reports a start that the entry lacks", handle: write(report(born)), want: EngineAnswers},
		{name: "started again under its id", handle: write(report(born + 1)), born: born, want: None},
		{name: "reports no start", handle: write(answered(200, "")), born: born, want: None},
		{name: "healthy, without a report", handle: withoutReport(write(answered(200, "e1"))), want: EngineAnswers},
		{name: "healthy, without a report of its start", handle: withoutReport(write(answered(200, "e1"))), born: born, want: None},
		{name: "full or leaving", handle: write(answered(503, "e1")), want: EngineAnswers},
		{name: "a refusal without a name", handle: write("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"), want: EngineAnswers},
		{name: "silent", handle: silent, want: None},
		{name: "silent, without a report", handle: withoutReport(silent), want: None},
		{name: "another incarnation", handle: write(answered(421, "e2")), want: None},
		{name: "another incarnation that serves", handle: write(answered(200, "e2")), want: None},
		{name: "another incarnation, without a report", handle: withoutReport(write(answered(421, "e2"))), want: None},
		{name: "a refusal to run without a name", handle: write("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"), want: None},
		{name: "closes the connection", handle: func(_ string, connection *net.TCPConn) { _ = connection.Close() }, want: None},
		{name: "resets the connection", handle: func(_ string, connection *net.TCPConn) {
			_ = connection.SetLinger(0)
			_ = connection.Close()
		}, want: None},
		{name: "closes the connection late", handle: func(_ string, connection *net.TCPConn) {
			time.Sleep(engineconn.DefaultConfig().ProbeTimeout / 2)
			_ = connection.Close()
		}, want: None},
		{name: "ends within a head", handle: write("HTTP/1.1 200 OK\r\nEngine: e1"), want: None},
		{name: "ends within a report", handle: write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nborn"), want: None},
		{name: "does not listen", handle: silent, ended: true, want: None},
		{name: "no report and no health check", handle: withoutReport(write(answered(200, "e1"))), noHealth: true, want: None},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, stop := startEngine(t, test.handle)
			if test.ended {
				stop()
			}
			pool := passroute.Pool{HealthPath: "/health"}
			if test.noHealth {
				pool = passroute.Pool{}
			}
			checker := NewChecker(engineconn.New(engineconn.DefaultConfig()), headers{}, reports{}, func(string) passroute.Pool { return pool })
			got, err := checker.Check(t.Context(), Answer{
				Exchange: untilClose{},
				Engine:   engineconn.Key{Engine: enginechoice.Incarnation{ID: "e1", Born: test.born}, Address: address}, Pool: "p",
			})
			if got != test.want {
				t.Errorf("evidence %q, want %q; error %v", got, test.want, err)
			}
			if (err == nil) != (test.want != None) || (err != nil && !engineconn.BrokenByEngine(err)) {
				t.Errorf("error %v, want one by which the engine broke the answer off: %t", err, test.want == None)
			}
		})
	}
}

// TestEndsThatNeedNoEngine checks the answers whose end is known without their engine.
func TestEndsThatNeedNoEngine(t *testing.T) {
	withLength := &engineconn.Exchange{Response: &http.Response{ContentLength: 5, Body: io.NopCloser(nil)}}
	withChunks := &engineconn.Exchange{Response: &http.Response{ContentLength: -1, TransferEncoding: []string{"chunked"}, Body: io.NopCloser(nil)}}
	withoutBody := &engineconn.Exchange{Response: &http.Response{ContentLength: -1, Body: http.NoBody}}
	withNeither := &engineconn.Exchange{Response: &http.Response{ContentLength: -1, Body: io.NopCloser(nil)}}
	for name, test := range map[string]struct {
		answer Answer
		want   Evidence
	}{
		"length":             {Answer{Exchange: withLength}, Framing},
		"chunks, empty":      {Answer{Exchange: withChunks, Empty: true}, Framing},
		"chunks, within":     {Answer{Exchange: withChunks, Within: true}, None},
		"never has a body":   {Answer{Exchange: withoutBody, Empty: true}, Framing},
		"connection, empty":  {Answer{Exchange: withNeither, Empty: true}, None},
		"connection, within": {Answer{Exchange: withNeither, Within: true}, None},
	} {
		got, err := NewChecker(nil, nil, nil, nil).Check(t.Context(), test.answer)
		if got != test.want || (err == nil) != (test.want != None) || (err != nil && !errors.Is(err, io.ErrUnexpectedEOF)) {
			t.Errorf("%s: %q, %v; want %q", name, got, err, test.want)
		}
	}
}

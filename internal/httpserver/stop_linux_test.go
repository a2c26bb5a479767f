package httpserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
)

// caller sends one request after another until it can no longer connect. It does
// not retry: a request whose connection breaks counts as cut.
type caller struct{ answered, cut *atomic.Int64 }

func (c caller) run(t *testing.T, url string) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for {
		body := io.NopCloser(strings.NewReader("body")) // cannot be rewound, so the client does not retry
		response, err := client.Post(url, "text/plain", body)
		var failed *net.OpError
		if errors.As(err, &failed) && failed.Op == "dial" {
			return
		}
		if err != nil {
			t.Error(err)
			c.cut.Add(1)
			return
		}
		_, _ = io.ReadAll(response.Body)
		response.Body.Close()
		c.answered.Add(1)
	}
}

func TestStopCutsNoSteadyCaller(t *testing.T) {
	const callers, minAnswered = 64, 500
	r := startServer(t, func(c *Config) { c.LeaveTime = 300 * time.Millisecond }, func(s *Server) {
		s.Echo.POST("/", func(c echo.Context) error {
			_, err := io.ReadAll(c.Request().Body)
			return errors.Join(err, c.NoContent(http.StatusOK))
		})
	})
	var answered, cut atomic.Int64
	var running sync.WaitGroup
	for range callers {
		running.Go(func() { caller{answered: &answered, cut: &cut}.run(t, "http://"+r.Address()+"/") })
	}
	for answered.Load() < minAnswered {
		time.Sleep(time.Millisecond) // polls without a time limit
	}
	r.stop()
	running.Wait()
	if err := <-r.done; err != nil || cut.Load() != 0 {
		t.Errorf("%d of %d callers were cut, %v", cut.Load(), callers, err)
	}
}

// Package gateway implements the callers' HTTP API: completions, chat completions and
// models in the format of OpenAI's API, and batch jobs. It defines only the format of
// requests and answers. It never routes a request, never talks to an engine and keeps
// no state that outlives a request.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/auth"
	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/configcheck"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/dispatch"
	"ringstream.example/ringstream/internal/httpserver"
	"ringstream.example/ringstream/internal/idempotency"
	"ringstream.example/ringstream/internal/jobs"
	"ringstream.example/ringstream/internal/limits"
	"ringstream.example/ringstream/internal/rows"
)

// Config configures the callers' listener and the limits of their requests.
type Config struct {
	HTTP              httpserver.Config `koanf:"http"`
	RequestTimeout    time.Duration     `koanf:"request_timeout" usage:"longest run of one online request"`
	DefaultMaxTokens  int               `koanf:"default_max_tokens" usage:"output tokens of a request that names no limit"`
	RecordWaitTimeout time.Duration     `koanf:"record_wait" usage:"how long a keyed request waits for the store: for its key at the start, and for its finished answer to be recorded"`
	RecordRetention   time.Duration     `koanf:"record_time" usage:"how long a finished keyed answer is kept to be recorded once the store answers again"`
	MaxTokens         int               `koanf:"max_tokens" usage:"largest output token limit that a request may name"`
	BatchBodyLimit    int64             `koanf:"batch_body_limit" unit:"bytes" usage:"largest body of a batch job"`
}

// DefaultConfig returns settings for the target load, in which a job of 72,000 items
// is about 300 MB.
func DefaultConfig() Config {
	return Config{
		HTTP: httpserver.DefaultConfig(), RequestTimeout: 2 * time.Minute,
		RecordWaitTimeout: 5 * time.Second, RecordRetention: 10 * time.Minute, DefaultMaxTokens: 256, MaxTokens: 16384, BatchBodyLimit: 1 << 30,
	}
}

// Validate checks the settings. Its errors name the invalid keys.
func (c Config) Validate() error {
	return errors.Join(
		configcheck.Under("http", c.HTTP.Validate()),
		configcheck.Positive("request_timeout", c.RequestTimeout),
		configcheck.Positive("record_wait", c.RecordWaitTimeout),
		configcheck.AtLeast("record_time", c.RecordRetention, c.RecordWaitTimeout),
		configcheck.AtLeast("default_max_tokens", c.DefaultMaxTokens, 1),
		configcheck.AtLeast("max_tokens", c.MaxTokens, c.DefaultMaxTokens),
		configcheck.AtLeast("batch_body_limit", c.BatchBodyLimit, 1),
	)
}

// ModelLister lists the models that engines have loaded.
type ModelLister interface {
	Models() []string
}

// Resumer is the part of dispatch.Batch that resumes a dead node's stream.
type Resumer interface {
	Resume(ctx context.Context, intent dispatch.Intent, offset int, sink dispatch.Sink) outcome.Outcome
}

// Dependencies are the components that the gateway uses.
type Dependencies struct {
	Auth   auth.Authenticator
	Rows   rows.Source
	Limits limits.Limiter
	Online dispatch.Online
	Jobs   jobs.Service
	// Keys stores the records of idempotency keys. If nil, keyed requests are refused.
	Keys *idempotency.Store
	// Resume resumes the stream of an intent after its node died.
	Resume Resumer
	// Site is the other site. If nil, every request runs on this site.
	Site backend.Site
	// Models lists further models for GET /v1/models, in addition to those that rows
	// name. It may be nil.
	Models ModelLister
	// TableReady returns whether Rows has been read since the start. If nil, it has.
	TableReady func() bool
}

// Server serves the callers' API of one node.
type Server struct {
	config   Config
	deps     Dependencies
	logger   *zap.Logger
	metrics  *metrics
	keyed    *keyedRuns
	http     *httpserver.Server
	draining atomic.Bool
	drain    chan struct{} // closed by Drain
	started  time.Time
}

// New returns a server that does not listen before Run is called.
func New(config Config, deps Dependencies, logger *zap.Logger, registerer prometheus.Registerer) *Server {
	server := &Server{
		config: config, deps: deps, logger: logger, metrics: newMetrics(registerer),
		keyed: newKeyedRuns(),
		http:  httpserver.New("gateway", config.HTTP, logger), drain: make(chan struct{}), started: time.Now(),
	}
	server.register(server.http.Echo)
	server.http.LimitBody(batchesPath, config.BatchBodyLimit)
	return server
}

const batchesPath = "/v1/batches"

func (s *Server) register(router *echo.Echo) {
	router.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	router.GET("/readyz", s.ready)
	router.POST("/v1/completions", func(c echo.Context) error { return s.complete(c, false) })
	router.POST("/v1/chat/completions", func(c echo.Context) error { return s.complete(c, true) })
	router.GET("/v1/models", s.listModels)
	router.POST(batchesPath, s.submitJob)
	router.GET(batchesPath, s.listJobs)
	router.GET(batchesPath+"/:id", s.getJob)
	router.POST(batchesPath+"/:id/cancel", s.cancelJob)
	router.GET(batchesPath+"/:id/results", s.jobResults)
}

// Run serves until ctx is done or Drain is called, and returns when the running
// requests have ended. Requests of connected clients may take http.drain_time, and
// keyed runs whose clients have disconnected may take as long again.
func (s *Server) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-s.drain:
		case <-serving.Done():
		}
		s.draining.Store(true)
		stop()
	}()
	err := s.http.Run(serving)
	s.keyed.shutdown(s.config.HTTP.DrainTime)
	return err
}

// Drain begins a planned stop: /readyz fails and answers ask their clients to close
// the connection. Requests that still arrive within http.leave_time are run, because
// a refusal would interrupt their callers. Run returns at the end of the stop.
func (s *Server) Drain() {
	if s.draining.CompareAndSwap(false, true) {
		close(s.drain)
	}
}

// SetListenFunc sets the function with which Run opens its listener in place of TCP's.
// It must be called before Run.
func (s *Server) SetListenFunc(open httpserver.ListenFunc) { s.http.SetListenFunc(open) }

// Listening returns a channel that is closed once callers can connect.
func (s *Server) Listening() <-chan struct{} { return s.http.Listening() }

// Address returns the address that callers connect to. It is valid once Listening
// is closed.
func (s *Server) Address() string { return s.http.Address() }

func (s *Server) ready(c echo.Context) error {
	if s.draining.Load() {
		return c.String(http.StatusServiceUnavailable, "draining\n")
	}
	if !s.tableReady() {
		return c.String(http.StatusServiceUnavailable, "the class table is not loaded\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *Server) tableReady() bool { return s.deps.TableReady == nil || s.deps.TableReady() }

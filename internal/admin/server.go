package admin

import (
	"context"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/httpserver"
)

const (
	apiPrefix   = "/api/v1"
	operatorKey = "operator" // echo context key: the operator's name
)

// Server is the admin API of one node.
type Server struct {
	http         *httpserver.Server
	dependencies Dependencies
	logger       *zap.Logger
	requests     *prometheus.CounterVec
	expensive    expensiveDataCache
}

// New creates the server with its routes. registerer may be nil.
func New(config Config, dependencies Dependencies, logger *zap.Logger, registerer prometheus.Registerer) *Server {
	server := &Server{
		http:         httpserver.New("admin", config.Config, logger),
		dependencies: dependencies,
		logger:       logger,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ringstream_admin_requests_total", Help: "Requests to this node's admin API, by status.",
		}, []string{"status"}),
	}
	if registerer != nil {
		registerer.MustRegister(server.requests)
	}
	server.routes()
	return server
}

// SetListenFunc sets the function with which Run opens its listener, in place of TCP.
// It must be called before Run.
func (s *Server) SetListenFunc(open httpserver.ListenFunc) { s.http.SetListenFunc(open) }

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error { return s.http.Run(ctx) }

// Listening returns a channel that is closed when the listener is open.
func (s *Server) Listening() <-chan struct{} { return s.http.Listening() }

// Address returns the listener's address once Listening is closed.
func (s *Server) Address() string { return s.http.Address() }

func (s *Server) routes() {
	root := s.http.Echo
	root.Use(s.count)
	root.GET("/", s.statusPage, s.authenticate)
	root.GET("/healthz", s.health)
	root.GET("/readyz", s.ready)
	if s.dependencies.Gatherer != nil {
		root.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(s.dependencies.Gatherer, promhttp.HandlerOpts{})))
	}
	s.profileRoutes(root)
	api := root.Group(apiPrefix, s.authenticate)
	api.GET("/nodes", s.listNodes)
	if s.dependencies.Drainer != nil {
		api.POST("/nodes/:id/drain", s.drainNode)
	}
	if s.dependencies.Engines != nil {
		api.GET("/engines", s.listEngines)
	}
	if s.dependencies.Rows != nil {
		s.rowRoutes(api)
	}
	if s.dependencies.Jobs != nil {
		s.jobRoutes(api)
	}
}

func (s *Server) rowRoutes(api *echo.Group) {
	api.GET("/rows", s.listRows)
	api.GET("/rows/:id", s.getRow)
	if s.dependencies.Editor != nil {
		api.PUT("/rows/:id", s.putRow)
		api.DELETE("/rows/:id", s.deleteRow)
		api.POST("/rows/import", s.importRows)
	}
	if s.dependencies.Revisions != nil {
		api.GET("/rows/status", s.rowStatus)
	}
	if s.dependencies.Audit != nil {
		api.GET("/audit", s.audit)
	}
}

func (s *Server) jobRoutes(api *echo.Group) {
	api.GET("/jobs", s.listJobs)
	api.GET("/jobs/:id", s.getJob)
	api.POST("/jobs/:id/cancel", s.cancelJob)
	api.GET("/jobs/:id/results", s.jobResults)
}

func (s *Server) count(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := next(c)
		status := c.Response().Status
		if err != nil {
			status = httpserver.Classify(err).Status
		}
		s.requests.WithLabelValues(strconv.Itoa(status)).Inc()
		return err
	}
}

// authenticate requires an operator's key, as a bearer token or, for browsers,
// as the password of basic authentication.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		request := c.Request()
		if _, password, ok := request.BasicAuth(); ok {
			request.Header.Set(echo.HeaderAuthorization, "Bearer "+password)
		}
		name, err := s.dependencies.Authenticator.Operator(request)
		if err != nil {
			c.Response().Header().Set(echo.HeaderWWWAuthenticate, `Basic realm="ringstream", charset="UTF-8"`)
			return err
		}
		c.Set(operatorKey, name)
		httpserver.Annotate(c, zap.String("operator", name))
		return next(c)
	}
}

func operator(c echo.Context) string {
	name, _ := c.Get(operatorKey).(string)
	return name
}

// health responds with status 200 while the process runs.
func (s *Server) health(c echo.Context) error {
	return c.JSON(http.StatusOK, healthBody{Status: "alive"})
}

// ready responds with status 200 if the node should receive requests, and 503
// otherwise.
func (s *Server) ready(c echo.Context) error {
	if s.dependencies.Readiness == nil {
		return c.JSON(http.StatusOK, healthBody{Status: "ready"})
	}
	if err := s.dependencies.Readiness.Ready(); err != nil {
		return c.JSON(http.StatusServiceUnavailable, healthBody{Status: "not_ready", Reason: err.Error()})
	}
	return c.JSON(http.StatusOK, healthBody{Status: "ready"})
}

type healthBody struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
}

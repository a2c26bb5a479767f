package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/tlsconfig"
)

// Server is an echo instance with its listener. Routes are added to Echo before
// Run is called.
type Server struct {
	Echo *echo.Echo

	name       string
	config     Config
	logger     *zap.Logger
	listenFunc ListenFunc
	limits     map[string]int64 // body limits by route path; only written before Run
	inFlight   atomic.Int64
	stopping   atomic.Bool
	listening  chan struct{} // closed once address and socket are set
	address    string
	socket     net.Listener // the listener below TLS
}

// ListenFunc opens a listener at an address.
type ListenFunc func(address string) (net.Listener, error)

// SetListenFunc sets the function with which Run opens its listener, in place of a
// TCP listener. It is called before Run.
func (s *Server) SetListenFunc(open ListenFunc) { s.listenFunc = open }

// New creates a server. Its log lines carry the name ("gateway", "admin").
func New(name string, config Config, logger *zap.Logger) *Server {
	server := &Server{
		Echo:      echo.New(),
		name:      name,
		config:    config,
		logger:    logger,
		limits:    make(map[string]int64),
		listening: make(chan struct{}),
	}
	server.Echo.HideBanner = true
	server.Echo.HidePort = true
	server.Echo.HTTPErrorHandler = func(err error, c echo.Context) { WriteError(c, err) }
	server.Echo.Use(server.requestID, server.access, server.recoverPanic, server.limitBody)
	return server
}

// LimitBody overrides the body limit of one route, which is given as echo's path
// ("/v1/batches"). It is called before Run.
func (s *Server) LimitBody(path string, bytes int64) { s.limits[path] = bytes }

// Listening returns a channel that is closed once the listener is open.
func (s *Server) Listening() <-chan struct{} { return s.listening }

// Address returns the listener's address. It is valid once Listening is closed.
func (s *Server) Address() string { return s.address }

// Running returns the number of requests in flight.
func (s *Server) Running() int { return int(s.inFlight.Load()) }

// Run serves until ctx is done. Then, for LeaveTime, it still accepts requests
// and asks clients to close their connections. After that it accepts none and
// waits up to DrainTime for the requests in flight. Their contexts do not end
// with ctx, so the components that they use must not stop before Run returns.
func (s *Server) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	listener, err := s.listen(background)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           s.Echo,
		ReadHeaderTimeout: s.config.ReadHeaderTimeout,
		IdleTimeout:       s.config.IdleTimeout,
		BaseContext:       func(net.Listener) context.Context { return background },
		ErrorLog:          zap.NewStdLog(s.logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		s.drain(background, server)
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}

// listen opens the listener, with TLS if configured. The reloader of the
// certificates runs until background is done.
func (s *Server) listen(background context.Context) (net.Listener, error) {
	listener, err := s.openListener(background)
	if err != nil {
		return nil, err
	}
	s.address, s.socket = listener.Addr().String(), listener
	if s.config.TLS.Enabled() {
		reloader, err := tlsconfig.New(s.config.TLS, s.logger)
		if err != nil {
			return nil, errors.Join(err, listener.Close())
		}
		go func() { _ = reloader.Run(background) }() // returns nil once background is done
		listener = tls.NewListener(listener, reloader.Server())
	}
	events.ServerListening.Log(s.logger, zap.String("server", s.name), zap.String("address", s.address), zap.Bool("tls", s.config.TLS.Enabled()))
	close(s.listening)
	return listener, nil
}

func (s *Server) openListener(background context.Context) (net.Listener, error) {
	if s.listenFunc != nil {
		return s.listenFunc(s.config.Address)
	}
	var listenConfig net.ListenConfig
	listenConfig.SetMultipathTCP(false) // MPTCP sockets accept no filter, which dropNewConnections needs
	return listenConfig.Listen(background, "tcp", s.config.Address)
}

// errNotTCP is returned for a listener whose new connections cannot be dropped.
var errNotTCP = errors.New("not a TCP listener of Linux")

// handshakeGracePeriod is the time in which pending handshakes have to complete
// once the kernel drops new ones. It is longer than the round trip to any client.
const handshakeGracePeriod = 500 * time.Millisecond

// drain shuts the server down. Requests are cut only after DrainTime.
func (s *Server) drain(background context.Context, server *http.Server) {
	s.stopping.Store(true)
	events.ServerDraining.Log(s.logger, zap.String("server", s.name), zap.Int("running", s.Running()))
	sleep(s.config.LeaveTime)
	if dropNewConnections(s.socket) == nil {
		sleep(min(handshakeGracePeriod, s.config.LeaveTime))
	}
	drainContext, cancel := context.WithTimeout(background, s.config.DrainTime)
	defer cancel()
	if server.Shutdown(drainContext) == nil {
		return
	}
	events.ServerCut.Log(s.logger, zap.String("server", s.name), zap.Int("running", s.Running()))
	_ = server.Close() // closes the connections; the listener is closed already
}

func sleep(length time.Duration) {
	if length > 0 {
		timer := time.NewTimer(length)
		<-timer.C
	}
}

package httpserver

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/events"
)

const (
	requestIDKey       = "request_id"
	fieldsKey          = "log_fields"
	maxRequestIDLength = 128 // longest X-Request-Id in bytes that is accepted from a client
)

// RequestID returns the request's id: the client's X-Request-Id if it is
// usable, otherwise a new one. The response header and each log line carry it.
func RequestID(c echo.Context) identity.RequestID {
	id, _ := c.Get(requestIDKey).(identity.RequestID)
	return id
}

// Annotate adds fields to the request's line in the access log.
func Annotate(c echo.Context, fields ...zap.Field) {
	earlier, _ := c.Get(fieldsKey).([]zap.Field)
	c.Set(fieldsKey, append(earlier, fields...))
}

func (s *Server) requestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := c.Request().Header.Get(echo.HeaderXRequestID)
		if !usableRequestID(id) {
			id = ulid.Make().String()
		}
		c.Set(requestIDKey, identity.RequestID(id))
		c.Response().Header().Set(echo.HeaderXRequestID, id)
		return next(c)
	}
}

// usableRequestID reports whether an id is safe to write in a log line and a header.
func usableRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDLength {
		return false
	}
	for _, r := range id {
		if r <= ' ' || r > '~' || r == '"' || r == '\\' {
			return false
		}
	}
	return true
}

// access counts requests in flight, sends error responses and writes the access
// log.
func (s *Server) access(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		started := time.Now()
		if s.stopping.Load() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		err := next(c)
		if err != nil {
			c.Error(err)
		}
		s.logRequest(c, time.Since(started), err)
		return nil
	}
}

func (s *Server) logRequest(c echo.Context, duration time.Duration, err error) {
	request, response := c.Request(), c.Response()
	fields := []zap.Field{
		zap.String("server", s.name), zap.String("request_id", string(RequestID(c))),
		zap.String("method", request.Method), zap.String("path", request.URL.Path),
		zap.Int("status", response.Status), zap.Int64("bytes", response.Size),
		zap.Duration("duration", duration), zap.String("remote", request.RemoteAddr),
	}
	extra, _ := c.Get(fieldsKey).([]zap.Field)
	fields = append(fields, extra...)
	if response.Status >= http.StatusInternalServerError {
		events.RequestFailed.Log(s.logger, append(fields, zap.Error(err))...)
		return
	}
	if err != nil {
		fields = append(fields, zap.NamedError("refusal", err))
	}
	events.RequestServed.Log(s.logger, fields...)
}

// panicError is the panic of a handler. Its response is an internal error.
type panicError struct{ value any }

// Error implements error.
func (e *panicError) Error() string { return fmt.Sprintf("panic: %v", e.value) }

func (s *Server) recoverPanic(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if cause, ok := value.(error); ok && errors.Is(cause, http.ErrAbortHandler) {
				panic(value) // net/http drops the connection on this panic
			}
			events.RequestPanicked.Log(s.logger, zap.String("server", s.name), zap.String("request_id", string(RequestID(c))),
				zap.Any("panic", value), zap.ByteString("stack", debug.Stack()))
			err = &panicError{value: value}
		}()
		return next(c)
	}
}

// limitBody limits the body's size and the time in which it has to arrive. The
// read deadline is cleared once the body has been read, so that it does not cut
// long responses.
func (s *Server) limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		request := c.Request()
		if request.Body == nil || request.Body == http.NoBody {
			return next(c)
		}
		limit, ok := s.limits[c.Path()]
		if !ok {
			limit = s.config.BodyLimit
		}
		controller := http.NewResponseController(c.Response())
		// A writer without deadlines, such as a test's recorder, limits only the size.
		_ = controller.SetReadDeadline(time.Now().Add(s.config.ReadBodyTimeout))
		request.Body = &deadlineBody{ReadCloser: http.MaxBytesReader(c.Response(), request.Body, limit), controller: controller}
		return next(c)
	}
}

// deadlineBody is a request body that clears the read deadline at its end.
type deadlineBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read implements io.Reader.
func (b *deadlineBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

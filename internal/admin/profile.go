package admin

import (
	"net/http"
	"net/http/pprof"

	"github.com/labstack/echo/v4"
)

// profileRoutes registers the pprof profiles of the running process for operators,
// such as /debug/pprof/profile?seconds=10 for CPU time and /debug/pprof/heap for
// memory.
func (s *Server) profileRoutes(root *echo.Echo) {
	group := root.Group("/debug/pprof", s.authenticate)
	group.GET("/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	group.GET("/trace", echo.WrapHandler(http.HandlerFunc(pprof.Trace)))
	group.GET("/:name", func(c echo.Context) error {
		pprof.Handler(c.Param("name")).ServeHTTP(c.Response(), c.Request())
		return nil
	})
}

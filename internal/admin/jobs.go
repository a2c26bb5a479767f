package admin

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/jobs"
)

// JobList is a page of jobs, newest first.
type JobList struct {
	Jobs []jobs.Job `json:"jobs"`
}

// ResultList is a range of a job's results.
type ResultList struct {
	Results []jobs.Result `json:"results"`
}

func tenant(c echo.Context) identity.TenantID { return identity.TenantID(c.QueryParam("tenant")) }

func jobID(c echo.Context) identity.JobID { return identity.JobID(c.Param("id")) }

func (s *Server) listJobs(c echo.Context) error {
	limit, err := queryNumber(c, "limit", defaultPageSize)
	if err != nil {
		return err
	}
	after := identity.JobID(c.QueryParam("after"))
	page, err := s.dependencies.Jobs.List(c.Request().Context(), tenant(c), after, int(min(limit, maxPageSize)))
	if err != nil {
		return err
	}
	if page == nil {
		page = []jobs.Job{}
	}
	return c.JSON(http.StatusOK, JobList{Jobs: page})
}

func (s *Server) getJob(c echo.Context) error {
	job, err := s.dependencies.Jobs.Get(c.Request().Context(), tenant(c), jobID(c))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, job)
}

func (s *Server) cancelJob(c echo.Context) error {
	job, err := s.dependencies.Jobs.Cancel(c.Request().Context(), tenant(c), jobID(c))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, job)
}

func (s *Server) jobResults(c echo.Context) error {
	from, err := queryNumber(c, "from", 0)
	if err != nil {
		return err
	}
	to, err := queryNumber(c, "to", from+defaultPageSize)
	if err != nil {
		return err
	}
	if to < from || to-from > maxPageSize {
		return apierror.Invalid("to: %d is not from %d to %d", to, from, from+maxPageSize)
	}
	results, err := s.dependencies.Jobs.Results(c.Request().Context(), tenant(c), jobID(c), int(from), int(to))
	if err != nil {
		return err
	}
	if results == nil {
		results = []jobs.Result{}
	}
	return c.JSON(http.StatusOK, ResultList{Results: results})
}

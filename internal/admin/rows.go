package admin

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/ulid/v2"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/httpserver"
	"ringstream.example/ringstream/internal/rows"
)

const (
	headerIfMatch        = "If-Match"
	headerETag           = "ETag"
	headerIdempotencyKey = "Idempotency-Key"
	defaultPageSize      = 100
	maxPageSize          = 1000
	storeRetryAfter      = 2 * time.Second
)

// RowList is the response to a list of rows.
type RowList struct {
	Revision uint64       `json:"revision" yaml:"revision"`
	Rows     []policy.Row `json:"rows" yaml:"rows"`
}

// RowChange is the response to an accepted edit.
type RowChange struct {
	Row policy.Row `json:"row"`
	// Revision is the table revision from which the edit is in effect.
	Revision uint64 `json:"revision"`
}

// ImportRequest holds rows in the exported form. Each row has the revision that it
// was changed against, or 0 if it is new.
type ImportRequest struct {
	Rows []policy.Row `json:"rows" yaml:"rows"`
}

// ImportResult reports for each row whether it was accepted.
type ImportResult struct {
	Accepted int         `json:"accepted"`
	Failed   int         `json:"failed"`
	Rows     []ImportRow `json:"rows"`
}

// ImportRow is one row's result; Error is empty when it was accepted.
type ImportRow struct {
	ID       identity.RowID `json:"id"`
	Revision uint64         `json:"revision,omitempty"`
	Code     apierror.Code  `json:"code,omitempty"`
	Error    string         `json:"error,omitempty"`
	Run      string         `json:"run,omitempty"`
	Current  any            `json:"current,omitempty"`
}

// RowStatus reports which nodes hold the table's latest revision.
type RowStatus struct {
	Revision uint64                 `json:"revision"` // the highest known revision
	Nodes    []rows.NodeTableStatus `json:"nodes"`
	Behind   int                    `json:"behind"`  // nodes that answered and are below Revision
	Unknown  int                    `json:"unknown"` // nodes that did not answer in time
}

// AuditList is a page of accepted edits, oldest first.
type AuditList struct {
	Entries []rows.AuditEntry `json:"entries"`
}

func (s *Server) listRows(c echo.Context) error {
	table := s.dependencies.Rows.Table()
	return c.JSON(http.StatusOK, RowList{Revision: table.Revision(), Rows: sortedRows(table)})
}

func sortedRows(table *policy.Table) []policy.Row {
	all := table.Rows()
	slices.SortFunc(all, func(a, b policy.Row) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (s *Server) getRow(c echo.Context) error {
	row, ok := s.dependencies.Rows.Table().Row(rowID(c))
	if !ok {
		return noSuchRow(rowID(c))
	}
	c.Response().Header().Set(headerETag, strconv.Quote(strconv.FormatUint(row.Revision, 10)))
	return c.JSON(http.StatusOK, row)
}

func noSuchRow(id identity.RowID) error {
	return apierror.New(http.StatusNotFound, apierror.CodeNotFound, "there is no row %q; `ringstream row list` shows all", id)
}

func rowID(c echo.Context) identity.RowID { return identity.RowID(c.Param("id")) }

func (s *Server) putRow(c echo.Context) error {
	var row policy.Row
	if err := httpserver.DecodeJSON(c, &row); err != nil {
		return err
	}
	if row.ID == "" {
		row.ID = rowID(c)
	}
	if row.ID != rowID(c) {
		return apierror.Invalid("id: the body says %q and the path says %q", row.ID, rowID(c))
	}
	if err := parseIfMatch(c, &row.Revision); err != nil {
		return err
	}
	return s.respondToEdit(c, rows.Edit{ID: editID(c), By: operator(c), Row: row})
}

func (s *Server) deleteRow(c echo.Context) error {
	row := policy.Row{ID: rowID(c)}
	if c.Request().Header.Get(headerIfMatch) == "" {
		return apierror.Invalid("send the row's revision in the header If-Match: a delete is compared like any edit")
	}
	if err := parseIfMatch(c, &row.Revision); err != nil {
		return err
	}
	return s.respondToEdit(c, rows.Edit{ID: editID(c), By: operator(c), Row: row, Delete: true})
}

// parseIfMatch sets revision from the If-Match header if the header is present.
func parseIfMatch(c echo.Context, revision *uint64) error {
	header := c.Request().Header.Get(headerIfMatch)
	if header == "" {
		return nil
	}
	parsed, err := strconv.ParseUint(strings.Trim(header, `"`), 10, 64)
	if err != nil {
		return apierror.Invalid("If-Match: %q is not a row's revision, such as \"17\"", header)
	}
	*revision = parsed
	return nil
}

// editID returns the caller's Idempotency-Key, which makes an edit safe to retry,
// or a new ID if the header is missing.
func editID(c echo.Context) string {
	if key := c.Request().Header.Get(headerIdempotencyKey); key != "" {
		return key
	}
	return ulid.Make().String()
}

func (s *Server) respondToEdit(c echo.Context, edit rows.Edit) error {
	change, err := s.edit(c, edit)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, change)
}

// edit makes one edit. Its errors are *apierror.Error.
func (s *Server) edit(c echo.Context, edit rows.Edit) (RowChange, error) {
	result, err := s.dependencies.Editor.Edit(c.Request().Context(), edit)
	if result.Status == rows.Conflict {
		return RowChange{}, conflictError(edit, result.Row)
	}
	if err != nil {
		return RowChange{}, err
	}
	return RowChange{Row: result.Row, Revision: result.Revision}, nil
}

// conflictError returns the error for an edit that lost a race, with the current row.
func conflictError(edit rows.Edit, current policy.Row) error {
	failure := &apierror.Error{Status: http.StatusConflict, Code: apierror.CodeConflict, Run: outcome.Refused}
	switch {
	case current.ID == "":
		failure.Message = fmt.Sprintf("row %s does not exist (any more): your edit was made against its revision %d", edit.Row.ID, edit.Row.Revision)
	case edit.Row.Revision == 0:
		failure.Message = fmt.Sprintf("row %s exists already, at revision %d", edit.Row.ID, current.Revision)
		failure.Detail = current
	default:
		failure.Message = fmt.Sprintf("row %s was changed by someone else: your edit was made against revision %d, the row is at %d",
			edit.Row.ID, edit.Row.Revision, current.Revision)
		failure.Detail = current
	}
	return failure
}

// importRows makes one independent edit for each row.
func (s *Server) importRows(c echo.Context) error {
	var request ImportRequest
	if err := httpserver.DecodeJSON(c, &request); err != nil {
		return err
	}
	id := editID(c)
	result := ImportResult{Rows: make([]ImportRow, 0, len(request.Rows))}
	for _, row := range request.Rows {
		if existing, ok := s.dependencies.Rows.Table().Row(row.ID); ok && existing == row {
			result.Accepted++
			result.Rows = append(result.Rows, ImportRow{ID: row.ID, Revision: row.Revision})
			continue
		}
		change, err := s.edit(c, rows.Edit{ID: id + "-" + string(row.ID), By: operator(c), Row: row})
		result.add(row.ID, change, err)
	}
	return c.JSON(http.StatusOK, result)
}

func (r *ImportResult) add(id identity.RowID, change RowChange, err error) {
	if err == nil {
		r.Accepted++
		r.Rows = append(r.Rows, ImportRow{ID: id, Revision: change.Revision})
		return
	}
	failure := httpserver.Classify(err)
	r.Failed++
	r.Rows = append(r.Rows, ImportRow{ID: id, Code: failure.Code, Error: failure.Message, Run: failure.Run.String(), Current: failure.Detail})
}

func (s *Server) rowStatus(c echo.Context) error {
	nodes := s.dependencies.Revisions.Revisions(c.Request().Context())
	status := RowStatus{Revision: s.dependencies.Rows.Table().Revision(), Nodes: nodes}
	for _, node := range nodes {
		status.Revision = max(status.Revision, node.Revision)
	}
	for _, node := range nodes {
		switch {
		case !node.Known:
			status.Unknown++
		case node.Revision < status.Revision:
			status.Behind++
		}
	}
	return c.JSON(http.StatusOK, status)
}

// audit returns the edits after a revision, or the latest edits if none is given.
func (s *Server) audit(c echo.Context) error {
	limit, err := queryNumber(c, "limit", defaultPageSize)
	if err != nil {
		return err
	}
	limit = min(limit, maxPageSize)
	revision := s.dependencies.Rows.Table().Revision()
	after, err := queryNumber(c, "after", revision-min(revision, limit))
	if err != nil {
		return err
	}
	entries, err := s.dependencies.Audit.Audit(c.Request().Context(), after, int(limit))
	if err != nil {
		return apierror.Unavailable(storeRetryAfter, "the record of edits cannot be read now: %v", err)
	}
	return c.JSON(http.StatusOK, AuditList{Entries: entries})
}

func queryNumber(c echo.Context, name string, defaultValue uint64) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return defaultValue, nil
	}
	number, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, apierror.Invalid("%s: %q is not a whole number from 0 up", name, text)
	}
	return number, nil
}

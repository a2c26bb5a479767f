package gateway

import (
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
)

type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

// listModels returns the models that the table allows this tenant to use.
func (s *Server) listModels(c echo.Context) error {
	tenant, err := s.deps.Auth.Tenant(c.Request())
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelObject{}}
	for _, name := range s.modelNames(tenant) {
		list.Data = append(list.Data, modelObject{ID: name, Object: "model", Created: s.started.Unix(), OwnedBy: "ringstream"})
	}
	return c.JSON(http.StatusOK, list)
}

func (s *Server) modelNames(tenant identity.TenantID) []string {
	table := s.deps.Rows.Table()
	var names []string
	for _, row := range table.Rows() {
		if row.Match.Model != policy.Any {
			names = append(names, row.Match.Model)
		}
	}
	if s.deps.Models != nil {
		names = append(names, s.deps.Models.Models()...)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name string) bool {
		_, found := table.Lookup(string(tenant), name, policy.KindOnline)
		return !found
	})
}

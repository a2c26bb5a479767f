package admin

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/httpserver"
)

// FuzzRow checks that any body is either rejected with a 4xx status and a message
// or decodes to a row that survives a JSON round trip.
func FuzzRow(f *testing.F) {
	f.Add(`{"id":"alerts","match":{"tenant":"*","model":"*","kind":"online"},"weight":3,"pool":"p","deadline_class":"window"}`)
	f.Add(`{"weight":1e400}`)
	f.Add(`{"weigth":1}`)
	f.Add(`{"limits":{"tokens_per_second":-0.0}} x`)
	f.Fuzz(func(t *testing.T, body string) {
		request := httptest.NewRequest(http.MethodPut, "/", strings.NewReader(body))
		c := echo.New().NewContext(request, httptest.NewRecorder())
		var row policy.Row
		if err := httpserver.DecodeJSON(c, &row); err != nil {
			var failure *apierror.Error
			if !errors.As(err, &failure) || failure.Status/100 != 4 || failure.Message == "" {
				t.Errorf("body %q: error %v, want a 4xx error with a message", body, err)
			}
			return
		}
		if row.Validate() != nil {
			return
		}
		text, err := json.Marshal(row)
		if err != nil {
			t.Fatal(err)
		}
		var again policy.Row
		if err := json.Unmarshal(text, &again); err != nil || again != row {
			t.Errorf("row %+v decodes as %+v after encoding, error %v", row, again, err)
		}
	})
}

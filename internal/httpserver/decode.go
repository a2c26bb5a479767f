package httpserver

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/labstack/echo/v4"

	"ringstream.example/ringstream/internal/apierror"
)

// DecodeJSON decodes a request's body, which must be exactly one JSON value.
// Unknown fields and wrong types give a 400 that names the field.
func DecodeJSON(c echo.Context, target any) error {
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return DescribeJSON(err)
	}
	if err := decoder.Decode(&struct{}{}); !errors.Is(err, io.EOF) {
		return apierror.Invalid("the body has more after its JSON value")
	}
	return nil
}

// DescribeJSON converts a decoder's error into one that describes the fault to the
// client. It returns errors of the body limit and the read deadline unchanged.
func DescribeJSON(err error) error {
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case errors.Is(err, io.EOF):
		return apierror.Invalid("the body is empty; send JSON")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return apierror.Invalid("the body ends within its JSON value")
	case errors.As(err, &wrongType):
		return apierror.Invalid("%s: a JSON %s where %s is wanted", wrongType.Field, wrongType.Value, wrongType.Type)
	case errors.As(err, &syntax):
		return apierror.Invalid("the body is not JSON at byte %d: %s", syntax.Offset, syntax.Error())
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return apierror.Invalid("unknown field %s", field)
	}
	return apierror.Invalid("the body is not usable JSON: %s", err.Error())
}

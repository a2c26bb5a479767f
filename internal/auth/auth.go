// Package auth maps bearer keys to tenants and operators.
package auth

import (
	"net/http"

	"ringstream.example/ringstream/internal/core/identity"
)

// Authenticator identifies the sender of a request by its Authorization header.
type Authenticator interface {
	// Tenant returns the tenant that sent the request, or an *apierror.Error (401 or
	// 403).
	Tenant(request *http.Request) (identity.TenantID, error)
	// Operator returns the operator's name, or an *apierror.Error (401 or 403).
	Operator(request *http.Request) (string, error)
}

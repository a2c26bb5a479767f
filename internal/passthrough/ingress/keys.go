package ingress

import (
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/configcheck"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/core/tenant"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/passthrough/relay"
)

// KeysConfig sets how a node treats keys when its configuration may be stale.
type KeysConfig struct {
	Strict        bool          `koanf:"strict" usage:"a node that has not confirmed its configuration within confirm_within refuses requests that need a key"`
	ConfirmWithin time.Duration `koanf:"confirm_within" usage:"how old the last word on the configuration may be, for strict"`
	TrustFor      time.Duration `koanf:"trust_for" usage:"how old the last word on the configuration may be for an answer that clients take for final, 401 for a key, 404 for a route, 413 for a body's length; with an older one it is 503, since the newest may allow the request"`
}

// DefaultKeysConfig returns settings for configuration changes that take effect after two seconds or
// more. The store's feed confirms the configuration every 1.1 s. A node that gets no answer from the
// store for 1.3 s asks a peer every 250 ms.
func DefaultKeysConfig() KeysConfig {
	return KeysConfig{ConfirmWithin: 5 * time.Second, TrustFor: 1800 * time.Millisecond}
}

// Validate checks the durations.
func (c KeysConfig) Validate() error {
	return errors.Join(
		configcheck.Positive("confirm_within", c.ConfirmWithin),
		configcheck.Positive("trust_for", c.TrustFor),
	)
}

// keyVerdict is the result of checking a request's key.
type keyVerdict uint8

const (
	keyNotNeeded   keyVerdict = iota // the route is open to all, or there are no tenants
	keyKnown                         // a tenant holds the key
	keyUnknown                       // no tenant holds the key
	keyUnconfirmed                   // no tenant holds the key or there is none, and the configuration may be stale
	keyUnverified                    // a tenant holds the key, but the configuration is too stale for a strict node
)

var keyVerdictNames = [...]string{"not_needed", "known", "unknown", "unsure", "unverified"}

// String returns the verdict's name for logs and metrics.
func (v keyVerdict) String() string { return keyVerdictNames[v] }

// judgeKey finds the tenant that holds a request's key. The age is the time since the table was last
// confirmed to be the newest.
func judgeKey(config KeysConfig, table *passroute.Table, open bool, key string, age time.Duration) (*tenant.Tenant, keyVerdict) {
	directory := table.Tenants().Directory
	if open || directory.Len() == 0 {
		return nil, keyNotNeeded
	}
	holder, found := directory.ByKey(key)
	switch {
	case found && config.Strict && age > config.ConfirmWithin:
		return nil, keyUnverified
	case found:
		return holder, keyKnown
	case age > config.TrustFor:
		return nil, keyUnconfirmed // the key may be new, or the route may be open by now
	default:
		return nil, keyUnknown
	}
}

// authenticate returns the tenant of a request and whether the request is allowed. It answers a
// request that is not allowed.
func (s *Server) authenticate(to http.ResponseWriter, snapshot catalog.RoutesView, open bool, demand passthrough.Demand) (*tenant.Tenant, bool) {
	age := time.Since(snapshot.AsOf)
	holder, verdict := judgeKey(s.config.Keys, snapshot.Table, open, demand.Key, age)
	s.metrics.keys.WithLabelValues(verdict.String()).Inc()
	switch verdict {
	case keyNotNeeded, keyKnown:
		return holder, true
	case keyUnknown:
		relay.WriteRefusal(to, http.StatusUnauthorized, relay.Refusal{Code: "unknown_key", Message: "no tenant holds the request's key", Run: relay.RunNot})
	default:
		relay.RefuseNotRun(to, s.Headers, unconfirmedRetryAfter, "key_not_confirmed", "this node cannot tell now whether a tenant holds the request's key")
	}
	events.KeyRefused.Log(s.Logger, zap.String("request", demand.RequestID), zap.String("key", tenant.Mask(demand.Key)), zap.Stringer("verdict", verdict),
		zap.Int64("routes_version", snapshot.Table.Version()), zap.Duration("confirmed_age", age))
	return nil, false
}

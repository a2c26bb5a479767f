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

// KeysConfig says how keys are judged by a node that may not have the newest
// configuration.
type KeysConfig struct {
	Strict        bool          `koanf:"strict" usage:"a node that has not confirmed its configuration within confirm_within refuses requests that need a key"`
	ConfirmWithin time.Duration `koanf:"confirm_within" usage:"how old the last word on the configuration may be, for strict"`
	TrustFor      time.Duration `koanf:"trust_for" usage:"how old the last word on the configuration may be for an answer that clients take for final, 401 for a key, 404 for a route, 413 for a body's length; with an older one it is 503, since the newest may allow the request"`
}

// DefaultKeysConfig suits changes that are in force after two seconds or more:
// the store's feed confirms the configuration every 1.1 s, and a node that the
// store leaves alone hears from a peer every 250 ms after 1.3 s.
func DefaultKeysConfig() KeysConfig {
	return KeysConfig{ConfirmWithin: 5 * time.Second, TrustFor: 1800 * time.Millisecond}
}

// Validate checks the times.
func (c KeysConfig) Validate() error {
	return errors.Join(
		configcheck.Positive("confirm_within", c.ConfirmWithin),
		configcheck.Positive("trust_for", c.TrustFor),
	)
}

// keyVerdict says what a request's key lets it do.
type keyVerdict uint8

const (
	keyNotNeeded  keyVerdict = iota // the route is open to all, or there are no tenants
	keyKnown                        // a tenant holds it
	keyUnknown                      // nobody holds it
	keyUnsure                       // nobody holds it, or there is none, where the configuration may be old
	keyUnverified                   // a tenant held it, too long ago for a strict node
)

var keyVerdictNames = [...]string{"not_needed", "known", "unknown", "unsure", "unverified"}

// String gives the name for logs and metrics.
func (v keyVerdict) String() string { return keyVerdictNames[v] }

// judgeKey finds the tenant that holds a request's key. Age is that of the last
// word that the table is the newest.
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
		return nil, keyUnsure // the key may be new, or the route open by now
	default:
		return nil, keyUnknown
	}
}

// authenticate gives the tenant of a request, or answers one that may not pass.
func (s *Server) authenticate(to http.ResponseWriter, known catalog.Known, open bool, demand passthrough.Demand) (*tenant.Tenant, bool) {
	age := time.Since(known.AsOf)
	holder, verdict := judgeKey(s.config.Keys, known.Table, open, demand.Key, age)
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
		zap.Int64("routes_version", known.Table.Version()), zap.Duration("confirmed_age", age))
	return nil, false
}

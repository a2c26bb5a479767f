package slots

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"ringstream.example/ringstream/internal/configcheck"
	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/core/quota"
	"ringstream.example/ringstream/internal/core/tenant"
)

// LimitsConfig says how exactly the nodes keep the tenants' limits together.
type LimitsConfig struct {
	Window          time.Duration `koanf:"window" usage:"span in which a tenant's requests may exceed its limit by overrun and slack"`
	Overrun         float64       `koanf:"overrun" usage:"part of what a limit allows in a window that requests of all nodes together may exceed it by"`
	SlackInRequests float64       `koanf:"slack_requests" usage:"requests in a window that they may exceed it by besides"`
}

// DefaultLimitsConfig leaves nodes that do not reach each other a tenth of each
// limit.
func DefaultLimitsConfig() LimitsConfig {
	return LimitsConfig{Window: 5 * time.Second, Overrun: 0.1, SlackInRequests: 0}
}

// Validate checks the bounds.
func (c LimitsConfig) Validate() error {
	return errors.Join(
		configcheck.Positive("window", c.Window),
		configcheck.Between("overrun", c.Overrun, 0, 1),
		configcheck.AtLeast("slack_requests", c.SlackInRequests, 0),
	)
}

func (c LimitsConfig) margin() quota.Margin {
	return quota.Margin{Window: c.Window, Part: c.Overrun, Requests: c.SlackInRequests}
}

// OverLimitError says that a tenant's limit does not let a request through.
type OverLimitError struct {
	Verdict    quota.Verdict
	Dispatcher string // that counts the tenant's requests
}

// Error implements error.
func (e *OverLimitError) Error() string {
	return fmt.Sprintf("slots: the tenant's limit of %v requests a second and a burst of %v is used up", e.Verdict.Limit.PerSecond, e.Verdict.Limit.Burst)
}

// Errors of Acquire, found with errors.Is.
var (
	// ErrNoEngine: no engine may take the request now.
	ErrNoEngine = errors.New("slots: no engine takes the request")
	// ErrLimitNotKnown: no node that counts the tenant's requests answers, and this
	// node's own part of the limit is used up; or the node that counts them does not know
	// yet how many nodes share the limit.
	ErrLimitNotKnown = errors.New("slots: the use of the tenant's limit is not known")
)

// limits is what a version of the routes says of tenants.
type limits struct {
	byTenant map[uint64]quota.RateLimit // by grant.TenantHash, those that have a limit
	// pool is the one whose lanes' dispatchers count the tenants' requests, wherever
	// these go.
	pool string
}

// limitsOf reads a table.
func limitsOf(table *passroute.Table) limits {
	read := limits{byTenant: make(map[uint64]quota.RateLimit), pool: table.BusiestPool()}
	table.Tenants().Directory.Each(func(known *tenant.Tenant) {
		if known.Limit.Limited() {
			read.byTenant[grant.TenantHash(known.Name)] = quota.RateLimit{PerSecond: known.Limit.PerSecond, Burst: known.Limit.Burst}
		}
	})
	return read
}

// TakeTable takes a new version of the routes: the tenants' limits.
func (s *Service) TakeTable(table *passroute.Table) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limitsOf(table)
	s.lone.SetLimits(s.limits.byTenant)
	for lane, known := range s.dispatchers {
		known.SetLimits(s.config.margin(), s.limitsIn(lane), now)
	}
	s.wakeBy(now)
}

// limitsIn gives the limits that are kept in a lane; the caller holds mu.
func (s *Service) limitsIn(lane grant.Lane) map[uint64]quota.RateLimit {
	if lane.Pool != s.limits.pool {
		return nil
	}
	if lane.Parts == 1 {
		return s.limits.byTenant
	}
	kept := make(map[uint64]quota.RateLimit)
	for tenant, limit := range s.limits.byTenant {
		if lane.Holds(tenant) {
			kept[tenant] = limit
		}
	}
	return kept
}

// limitLane gives the lane whose dispatcher counts a tenant's requests; the caller
// holds mu.
func (s *Service) limitLane(tenant uint64) grant.Lane {
	lane := grant.Lane{Pool: s.limits.pool, Parts: s.engines.parts(s.limits.pool)}
	lane.Part = uint32(tenant) & (lane.Parts - 1) //nolint:gosec // the low bits are meant
	return lane
}

// attach has this node belong to the dispatchers that keep limits, so that these
// keep its part of them; the caller holds mu.
func (s *Service) attach(candidates []grant.Candidate, now time.Time) {
	if len(s.limits.byTenant) > 0 {
		lane := s.limitLane(0)
		for ; lane.Part < lane.Parts; lane.Part++ {
			if s.requesters[lane] == nil {
				s.requester(lane, now).SetRanking(s.ranking(lane, candidates), now)
			}
		}
	}
	for lane, known := range s.requesters {
		known.SetAttached(s.keepsLimits(lane), now)
	}
}

// keepsLimits says whether a lane's dispatcher counts requests of tenants; the caller
// holds mu.
func (s *Service) keepsLimits(lane grant.Lane) bool {
	return len(s.limits.byTenant) > 0 && lane.Pool == s.limits.pool && lane.Parts == s.limitLane(0).Parts
}

// limitError says why a verdict does not let a tenant's request through; nil: it does.
func (s *Service) limitError(told verdict, tenant uint64) error {
	switch {
	case told.overLimit != nil && told.overLimit.Verdict.Share == 0:
		return errMembersNotKnown
	case told.overLimit != nil:
		return told.overLimit
	case told.alone && tenant != 0:
		return s.admittedAlone(tenant)
	default:
		return nil
	}
}

// admittedAlone decides for a request whose tenant's count no other node keeps; nil: it
// may run.
func (s *Service) admittedAlone(tenant uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, limited := s.limits.byTenant[tenant]
	if limited && s.live == 0 {
		return errMembersNotKnown
	}
	s.lone.Advance(time.Now(), 1/float64(max(s.live, 1)))
	if !s.lone.DrawAlone(tenant, rand.Float64()) {
		return ErrLimitNotKnown
	}
	return nil
}

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

// LimitsConfig sets how far the nodes together may exceed the tenants' limits.
type LimitsConfig struct {
	Window          time.Duration `koanf:"window" usage:"span in which a tenant's requests may exceed its limit by overrun and slack"`
	Overrun         float64       `koanf:"overrun" usage:"part of what a limit allows in a window that requests of all nodes together may exceed it by"`
	SlackInRequests float64       `koanf:"slack_requests" usage:"requests in a window that they may exceed it by besides"`
}

// DefaultLimitsConfig allows an overrun of a tenth of each limit, which is left to nodes that do
// not reach each other.
func DefaultLimitsConfig() LimitsConfig {
	return LimitsConfig{Window: 5 * time.Second, Overrun: 0.1, SlackInRequests: 0}
}

// Validate checks that the values are within their bounds.
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

// OverLimitError reports that a request exceeds its tenant's limit.
type OverLimitError struct {
	Verdict    quota.Verdict
	Start      quota.Start // from what the dispatcher began to count
	Dispatcher string      // address of the dispatcher that counts the tenant's requests
}

// Error implements error.
func (e *OverLimitError) Error() string {
	return fmt.Sprintf("slots: the tenant's limit of %v requests a second and a burst of %v is used up", e.Verdict.Limit.PerSecond, e.Verdict.Limit.Burst)
}

// PromptTooLargeError reports that a prompt is larger than the memory of each engine of a pool.
type PromptTooLargeError struct {
	Pool                 string
	PromptTokens, Memory int // in tokens; Memory is that of the largest engine
}

// Error implements error.
func (e *PromptTooLargeError) Error() string {
	return fmt.Sprintf("slots: a prompt of %d tokens is larger than the memory of each engine of pool %q, which is %d tokens at most", e.PromptTokens, e.Pool, e.Memory)
}

// Errors of Acquire, to be tested with errors.Is.
var (
	// ErrNoEngine says that no engine can take the request now.
	ErrNoEngine = errors.New("slots: no engine takes the request")
	// ErrLimitNotKnown says that no node that counts the tenant's requests answers and this
	// node's own share of the limit is used up, or that the node that counts them does not know
	// yet how many nodes share the limit.
	ErrLimitNotKnown = errors.New("slots: the use of the tenant's limit is not known")
)

// limits holds the tenants' limits of one version of the routes.
type limits struct {
	byTenant map[uint64]quota.RateLimit // by grant.TenantHash; only tenants with a limit
	// parts are the tenants' parts in the slots of a lane, by grant.TenantHash; only tenants with
	// a limit.
	parts map[uint64]grant.TenantPart
	names map[uint64]string // of all tenants, by grant.TenantHash
	// pool is the pool whose dispatchers count the requests of all tenants, including requests
	// that go to other pools.
	pool string
}

// limitsFromTable reads the tenants' limits from a table.
func limitsFromTable(table *passroute.Table) limits {
	read := limits{byTenant: make(map[uint64]quota.RateLimit), names: make(map[uint64]string), pool: table.BusiestPool()}
	table.Tenants().Directory.Each(func(known *tenant.Tenant) {
		read.names[grant.TenantHash(known.Name)] = known.Name
		if known.Limit.Limited() {
			read.byTenant[grant.TenantHash(known.Name)] = quota.RateLimit{PerSecond: known.Limit.PerSecond, Burst: known.Limit.Burst}
		}
	})
	read.parts = partsFromLimits(read.byTenant)
	return read
}

// partsFromLimits returns the parts by which tenants share the engines. The weights are in
// proportion to the limits and 1 in the mean, which is the weight of a tenant without a limit.
func partsFromLimits(limits map[uint64]quota.RateLimit) map[uint64]grant.TenantPart {
	total := 0.0
	for _, limit := range limits {
		total += limit.PerSecond
	}
	parts := make(map[uint64]grant.TenantPart, len(limits))
	for tenant, limit := range limits {
		parts[tenant] = grant.TenantPart{Weight: limit.PerSecond * float64(len(limits)) / total, Burst: limit.Burst}
	}
	return parts
}

// SetRoutes applies a new version of the routes: the tenants' limits, and which pools have one
// objective.
func (s *Service) SetRoutes(table *passroute.Table) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	pools := table.PoolsWithOneObjective()
	s.poolsWithOneObjective.Store(&pools)
	s.limits = limitsFromTable(table)
	s.noteLimitLanes(now)
	s.localQuota.SetLimits(s.limits.byTenant)
	for lane, dispatcher := range s.dispatchers {
		dispatcher.SetLimits(s.config.Limits.margin(), s.limitsForLane(lane), now)
		dispatcher.SetTenants(s.limits.parts)
		s.controlOverload(lane, dispatcher)
	}
	s.scheduleWake(now)
}

// limitsForLane returns the limits that a lane's dispatcher keeps. The caller holds mu.
func (s *Service) limitsForLane(lane grant.Lane) map[uint64]quota.RateLimit {
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

// limitLane returns the lane whose dispatcher counts a tenant's requests. The caller holds mu.
func (s *Service) limitLane(tenant uint64) grant.Lane {
	lane := grant.Lane{Pool: s.limits.pool, Parts: s.engines.laneCount(s.limits.pool)}
	lane.Part = uint32(tenant) & (lane.Parts - 1) //nolint:gosec // the low bits are meant
	return lane
}

// attachToLimitLanes attaches this node to all dispatchers that keep limits, so that each counts
// this node's share. The caller holds mu.
func (s *Service) attachToLimitLanes(candidates []grant.Candidate, now time.Time) {
	if len(s.limits.byTenant) > 0 {
		lane := s.limitLane(0)
		for ; lane.Part < lane.Parts; lane.Part++ {
			if s.requesters[lane] == nil {
				s.requesterFor(lane, now).SetRanking(s.ranking(lane, candidates), now)
			}
		}
	}
	for lane, requester := range s.requesters {
		requester.SetAttached(s.keepsLimits(lane), now)
	}
}

// noteLimitLanes delays the time since which this node has admitted no request when other lanes than
// before count the tenants' requests: the dispatchers of the former lanes have admitted some until
// now. A node that knows no engine has asked none of them. The caller holds mu.
func (s *Service) noteLimitLanes(now time.Time) {
	if len(s.limits.byTenant) == 0 || s.limits.pool == "" || len(s.engines.slotsByPool) == 0 {
		return
	}
	first := s.limitLane(0)
	if s.firstLimitLane != (grant.Lane{}) && first != s.firstLimitLane {
		s.delayUnusedSince(now)
	}
	s.firstLimitLane = first
}

// keepsLimits reports whether a lane's dispatcher counts requests of tenants. The caller holds
// mu.
func (s *Service) keepsLimits(lane grant.Lane) bool {
	return len(s.limits.byTenant) > 0 && lane.Pool == s.limits.pool && lane.Parts == s.limitLane(0).Parts
}

// limitError returns why a verdict does not admit a tenant's request, or nil if it does.
func (s *Service) limitError(answer verdict, tenant uint64) error {
	switch {
	case answer.overLimit != nil && answer.overLimit.Verdict.Share == 0:
		return errMembersNotKnown
	case answer.overLimit != nil:
		return answer.overLimit
	case answer.noDispatcher && tenant != 0:
		return s.admitLocally(tenant)
	default:
		return nil
	}
}

// admitLocally decides on a request when no other node can be reached that counts its tenant. It
// returns nil if the request is admitted.
func (s *Service) admitLocally(tenant uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, limited := s.limits.byTenant[tenant]
	if limited && s.liveNodeCount == 0 {
		return errMembersNotKnown
	}
	now := time.Now()
	s.delayUnusedSince(now)
	s.localQuota.Advance(now, 1/float64(max(s.liveNodeCount, 1)))
	if !s.localQuota.AdmitRandomly(tenant, rand.Float64()) {
		return ErrLimitNotKnown
	}
	return nil
}

// Package tenantseries bounds the time series of metrics that are kept by tenant: the tenants with
// the most requests have series of their own, and all others share one.
package tenantseries

import (
	"sync"
	"time"
)

const (
	// Others is the label of the tenants without series of their own.
	Others = "(others)"
	// maxTenants is the number of tenants that have series of their own.
	maxTenants = 20
	// halfLife is the time after which a request counts half.
	halfLife = time.Minute
	// replaceFactor is how many times the requests of the listed tenant with the fewest a tenant
	// must have to take its place. It keeps tenants with about equally many from taking turns.
	replaceFactor = 2
)

// Labels assigns labels to tenants. It is safe for concurrent use.
type Labels struct {
	onDropped func(tenant string)

	mu       sync.Mutex // guards the fields below
	requests map[string]float64
	listed   map[string]bool
	halvedAt time.Time
}

// New returns labels. OnDropped is called with a tenant that no longer has series of its own, so
// that they can be removed.
func New(onDropped func(tenant string)) *Labels {
	return &Labels{onDropped: onDropped, requests: make(map[string]float64), listed: make(map[string]bool)}
}

// Record counts a request of a tenant and returns the tenant's label.
func (l *Labels) Record(tenant string, now time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.age(now)
	l.requests[tenant]++
	if l.listed[tenant] {
		return tenant
	}
	if len(l.listed) >= maxTenants {
		fewest := l.fewestListed()
		if l.requests[tenant] < replaceFactor*max(l.requests[fewest], 1) {
			return Others
		}
		delete(l.listed, fewest)
		l.onDropped(fewest)
	}
	l.listed[tenant] = true
	return tenant
}

// age halves all counts once per halfLife, and forgets tenants without requests.
func (l *Labels) age(now time.Time) {
	if now.Sub(l.halvedAt) < halfLife {
		return
	}
	l.halvedAt = now
	for tenant, count := range l.requests {
		if l.requests[tenant] = count / 2; count < 1 {
			delete(l.requests, tenant)
		}
	}
}

// fewestListed returns the listed tenant with the fewest requests. The caller holds mu.
func (l *Labels) fewestListed() string {
	fewest, found := "", false
	for tenant := range l.listed {
		count, least := l.requests[tenant], l.requests[fewest]
		if !found || count < least || (count == least && tenant < fewest) {
			fewest, found = tenant, true
		}
	}
	return fewest
}

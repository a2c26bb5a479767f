// Package passroute holds the table of pass-through routes: requests that are
// handed to an engine as they are, chosen by host and longest path prefix. It
// owns matching and the division of a route over pools; it does no I/O.
package passroute

import (
	"slices"
	"strings"
	"time"

	"ringstream.example/ringstream/internal/core/tenant"
)

// Kind says what may be done with a route's requests.
type Kind uint8

// The kinds of a route.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStream answers with events; it is unsafe unless the route is resumable.
	KindStream
	// KindBatch takes jobs of many items.
	KindBatch
)

// String gives the kind's name for logs.
func (k Kind) String() string {
	switch k {
	case KindSafe:
		return "safe"
	case KindStream:
		return "stream"
	case KindBatch:
		return "batch"
	default:
		return "unsafe"
	}
}

// Target is one part of a route's division over pools.
type Target struct {
	Pool   string
	Weight float64 // relative to the other targets
}

// Route is one class of pass-through work.
type Route struct {
	Name           string
	Host           string // lower case, without port
	PathPrefix     string // begins and ends with a slash
	Kind           Kind
	Resumable      bool          // streams only: may go on at another engine
	Public         bool          // needs no key
	Timeout        time.Duration // longest that a request is held; 0: no limit
	Objective      time.Duration // first event, or the acknowledgement of a job
	PauseObjective time.Duration // longest pause between events
	Attempts       int           // engines that may run one request, at least 1
	Priority       int           // 0 is the highest
	Targets        []Target
	QueueTokens    int64         // batch: tokens that may wait; 0: no limit
	Due            time.Duration // batch: results are due
	Expiry         time.Duration // batch: an item may be given up
}

// Repeatable says whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindBatch || (r.Kind == KindStream && r.Resumable)
}

// Pool describes the engines of one pool.
type Pool struct {
	Name           string
	HealthPath     string
	MaxConnections int // connections that one engine accepts from all callers; 0: not said
	Slots          int // requests that an engine runs at once; 0: not said
	MemoryTokens   int // tokens that fit in an engine's memory; 0: not said
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the routes. It does not change once made.
type Table struct {
	version int64
	byHost  map[string][]*Route // longest prefix first
	pools   map[string]Pool
	limits  Limits
	tenants Tenants
}

// Tenants are the tenants of a table.
type Tenants struct {
	Directory *tenant.Directory // nil: requests need no key
	// Problems are parts of the definitions that do not hold as they stand.
	Problems []tenant.Problem
}

// NewTable makes a table of the version.
func NewTable(version int64, routes []Route, pools []Pool, limits Limits, tenants Tenants) *Table {
	table := &Table{version: version, byHost: make(map[string][]*Route), pools: make(map[string]Pool), limits: limits, tenants: tenants}
	for i := range routes {
		route := &routes[i]
		route.Host = NormalHost(route.Host)
		route.Attempts = max(route.Attempts, 1)
		table.byHost[route.Host] = append(table.byHost[route.Host], route)
	}
	for _, list := range table.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, pool := range pools {
		table.pools[pool.Name] = pool
	}
	return table
}

// Version rises with each change of the routes.
func (t *Table) Version() int64 { return t.version }

// Tenants gives the tenants whose requests the table lets in.
func (t *Table) Tenants() Tenants { return t.tenants }

// Limits gives what a client may send.
func (t *Table) Limits() Limits { return t.limits }

// Pool gives a pool's description; the zero Pool when the table has none.
func (t *Table) Pool(name string) Pool { return t.pools[name] }

// HasPool says whether the table names a pool.
func (t *Table) HasPool(name string) bool {
	_, named := t.pools[name]
	return named
}

// Lookup gives the route with the longest prefix of path at the host.
func (t *Table) Lookup(host, path string) (*Route, bool) {
	for _, route := range t.byHost[NormalHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// BusiestPool gives the pool that most online routes with keys send to, by the
// weights of their targets; of equals the first by name. Empty: there is none.
func (t *Table) BusiestPool() string {
	weights := make(map[string]float64)
	for _, routes := range t.byHost {
		for _, route := range routes {
			if !route.Public && route.Kind != KindBatch {
				addWeights(weights, route.Targets)
			}
		}
	}
	busiest := ""
	for pool, weight := range weights {
		if busiest == "" || weight > weights[busiest] || (weight == weights[busiest] && pool < busiest) {
			busiest = pool
		}
	}
	return busiest
}

// addWeights adds the parts of one route's requests that its targets get.
func addWeights(weights map[string]float64, targets []Target) {
	total := 0.0
	for _, target := range targets {
		total += max(target.Weight, 0)
	}
	for _, target := range targets {
		if total > 0 && target.Weight > 0 {
			weights[target.Pool] += target.Weight / total
		}
	}
}

// HasOpenBatch says whether the host has a batch route that needs no key.
func (t *Table) HasOpenBatch(host string) bool {
	for _, route := range t.byHost[NormalHost(host)] {
		if route.Kind == KindBatch && route.Public {
			return true
		}
	}
	return false
}

// NormalHost gives a Host header's name in lower case without its port.
func NormalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

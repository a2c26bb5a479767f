// Package passroute implements the table of pass-through routes. A pass-through
// request is sent to an engine unchanged; its route is selected by host and longest
// path prefix. The package covers the matching of routes and the split of a route's
// requests over pools. It does no I/O.
package passroute

import (
	"slices"
	"strings"
	"time"

	"ringstream.example/ringstream/internal/core/tenant"
)

// Kind is the kind of a route. It determines whether requests may be repeated.
type Kind uint8

// The kinds of a route.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStream requests are answered with a stream of events. They run at most
	// once unless the route is resumable.
	KindStream
	// KindBatch requests submit jobs of many items.
	KindBatch
)

// String returns the name of the kind for logs.
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

// Target is one of the pools that a route's requests are split over.
type Target struct {
	Pool   string
	Weight float64 // relative to the other targets
}

// Route is one class of pass-through requests.
type Route struct {
	Name           string
	Host           string // lower case, without port
	PathPrefix     string // begins and ends with a slash
	Kind           Kind
	Resumable      bool          // streams only: may continue on another engine
	Public         bool          // requests need no key
	Timeout        time.Duration // maximum duration of a request; 0: no limit
	Objective      time.Duration // objective for the first event, or for the acknowledgement of a job
	PauseObjective time.Duration // objective for the longest pause between events
	Attempts       int           // maximum number of engines that run one request, at least 1
	Priority       int           // 0 is the highest
	Targets        []Target
	QueueTokens    int64         // batch: maximum number of waiting tokens; 0: no limit
	Due            time.Duration // batch: time until the results are due
	Expiry         time.Duration // batch: time after which an item may be given up
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindBatch || (r.Kind == KindStream && r.Resumable)
}

// Pool describes the engines of one pool.
type Pool struct {
	Name           string
	HealthPath     string
	MaxConnections int // connections that one engine accepts from all callers; 0: not specified
	Slots          int // requests that an engine runs concurrently; 0: not specified
	MemoryTokens   int // tokens that fit in an engine's memory; 0: not specified
}

// Limits bounds the size and timing of client requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the routes. It is immutable.
type Table struct {
	version int64
	byHost  map[string][]*Route // longest prefix first
	pools   map[string]Pool
	limits  Limits
	tenants Tenants
}

// Tenants holds the tenants of a table.
type Tenants struct {
	Directory *tenant.Directory // nil: requests need no key
	// Problems lists the parts of the tenant definitions that cannot be used as
	// they are written.
	Problems []tenant.Problem
}

// NewTable returns a table with the given version. It changes routes in place:
// hosts are normalized, and Attempts is raised to at least 1.
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

// Version returns the version of the table, which increases with each change of
// the routes.
func (t *Table) Version() int64 { return t.version }

// Tenants returns the tenants whose requests are admitted.
func (t *Table) Tenants() Tenants { return t.tenants }

// Limits returns the limits of client requests.
func (t *Table) Limits() Limits { return t.limits }

// Pool returns the description of a pool, or the zero Pool if the table does not
// have the pool.
func (t *Table) Pool(name string) Pool { return t.pools[name] }

// HasPool reports whether the table has the pool.
func (t *Table) HasPool(name string) bool {
	_, named := t.pools[name]
	return named
}

// Lookup returns the host's route with the longest prefix of path.
func (t *Table) Lookup(host, path string) (*Route, bool) {
	for _, route := range t.byHost[NormalHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// BusiestPool returns the pool with the highest total weight over all online
// routes that need a key, where the weights of each route sum to 1. Among equal
// pools it is the first by name. It is empty if there is no such route.
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

// PoolsWithOneObjective returns the pools whose streaming routes all have the same objective for the
// first event.
func (t *Table) PoolsWithOneObjective() map[string]bool {
	objectives := make(map[string]time.Duration)
	one := make(map[string]bool)
	for _, routes := range t.byHost {
		for _, route := range routes {
			if route.Kind != KindStream {
				continue
			}
			for _, target := range route.Targets {
				known, seen := objectives[target.Pool]
				one[target.Pool] = route.Objective > 0 && (!seen || (one[target.Pool] && known == route.Objective))
				objectives[target.Pool] = route.Objective
			}
		}
	}
	return one
}

// addWeights adds the fraction of one route's requests that each target gets.
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

// HasOpenBatch reports whether the host has a batch route that needs no key.
func (t *Table) HasOpenBatch(host string) bool {
	for _, route := range t.byHost[NormalHost(host)] {
		if route.Kind == KindBatch && route.Public {
			return true
		}
	}
	return false
}

// NormalHost returns the name in a Host header in lower case and without the port.
func NormalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

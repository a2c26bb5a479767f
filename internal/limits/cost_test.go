package limits

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
)

var costNodes = flag.String("cost.nodes", "6", "numbers of nodes to measure the cost of limits on")

// The target load is 8,300 requests and 3.8 million tokens per second on 340
// nodes, from 2,600 tenants of different sizes.
const (
	costTenants     = 2600
	costPerNode     = 8300.0 / 340
	costTokens      = 3_800_000 / 8300
	costHold        = 5 * time.Second
	costWarmUp      = 15 * time.Second
	costMeasured    = 30 * time.Second
	costLimitOfMean = 4 // ratio of a tenant's limits to its mean use
)

// costTenant is one tenant's share of the load and its limits.
type costTenant struct {
	id        identity.TenantID
	reference *referenceLimiter
	row       policy.Row
	weight    float64
}

func costTable(nodes int) []costTenant {
	tenants := make([]costTenant, costTenants)
	sum := 0.0
	for i := range tenants {
		tenants[i].weight = 1 / float64(i+1)
		sum += tenants[i].weight
	}
	for i := range tenants {
		tenants[i].weight /= sum
		mean := tenants[i].weight * costPerNode * float64(nodes)
		id := fmt.Sprintf("tenant-%04d", i)
		tenants[i].id = identity.TenantID(id)
		tenants[i].reference = &referenceLimiter{}
		tenants[i].row = policy.Row{
			ID: identity.RowID(id), Match: policy.Match{Tenant: id, Model: policy.Any, Kind: policy.Any}, Revision: uint64(i + 1),
			Limits: policy.Limits{
				RequestsPerSecond: max(1, math.Ceil(costLimitOfMean*mean)),
				TokensPerSecond:   max(2*costTokens, math.Ceil(costLimitOfMean*mean*costTokens)),
				Concurrency:       max(2, int(math.Ceil(costLimitOfMean*mean*costHold.Seconds()))),
			},
		}
	}
	return tenants
}

// referenceLimiter is the reference model: a central limiter of one tenant.
type referenceLimiter struct {
	requests, tokens float64
	at               time.Time
	ends             []time.Time
}

func (n *referenceLimiter) admit(now time.Time, limits policy.Limits) bool {
	elapsed := now.Sub(n.at).Seconds()
	n.at = now
	n.requests = min(n.requests+elapsed*limits.RequestsPerSecond, max(1, limits.RequestsPerSecond))
	n.tokens = min(n.tokens+elapsed*limits.TokensPerSecond, max(costTokens, limits.TokensPerSecond))
	for len(n.ends) > 0 && !n.ends[0].After(now) {
		n.ends = n.ends[1:]
	}
	if n.requests < 1 || n.tokens < costTokens || len(n.ends) >= limits.Concurrency {
		return false
	}
	n.requests--
	n.tokens -= costTokens
	n.ends = append(n.ends, now.Add(costHold))
	return true
}

// pickTenant draws a random tenant by weight.
func pickTenant(random *rand.Rand, tenants []costTenant) costTenant {
	at := random.Float64()
	for _, tenant := range tenants {
		if at -= tenant.weight; at < 0 {
			return tenant
		}
	}
	return tenants[0]
}

// costResult holds the cost per node and second, and the requests admitted and refused.
type costResult struct {
	bytes, messages, busiest, coreFraction float64
	admitted, refused                      int
	referenceRefused                       int // by a central limiter
}

func measureCost(t *testing.T, nodes int) (result costResult) {
	tenants := costTable(nodes)
	runLimitFleet(t, nodes, tenants[0].row, func(f *limitFleet, _ policy.Row) {
		rows := make([]policy.Row, len(tenants))
		for i := range tenants {
			rows[i] = tenants[i].row
		}
		f.rows.mu.Lock()
		f.rows.table = policy.NewTable(uint64(len(rows)), rows)
		f.rows.mu.Unlock()
		load := costLoad{fleet: f, tenants: tenants, random: rand.New(rand.NewPCG(2, uint64(nodes)))}
		load.run(costWarmUp)
		load.takeResult()
		before, cpu := f.traffic(), processorTime()
		load.run(costMeasured)
		result = load.takeResult()
		result.coreFraction = (processorTime() - cpu).Seconds() / costMeasured.Seconds() / float64(nodes)
		for i, after := range f.traffic() {
			result.messages += float64(after.Messages-before[i].Messages) / float64(nodes) / costMeasured.Seconds()
			sent := float64(after.Bytes-before[i].Bytes) / costMeasured.Seconds()
			result.bytes += sent / float64(nodes)
			result.busiest = max(result.busiest, sent)
		}
		load.requests.Wait()
	})
	return result
}

// costLoad sends requests to random nodes.
type costLoad struct {
	fleet    *limitFleet
	tenants  []costTenant
	random   *rand.Rand
	requests sync.WaitGroup
	mu       sync.Mutex
	result   costResult
}

func (l *costLoad) run(duration time.Duration) {
	perSecond := costPerNode * float64(len(l.fleet.nodes))
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second)))
		tenant, node := pickTenant(l.random, l.tenants), l.fleet.nodes[l.random.IntN(len(l.fleet.nodes))]
		allowedByReference := tenant.reference.admit(time.Now(), tenant.row.Limits)
		l.requests.Go(func() {
			release, decision := node.Admit(tenant.row, tenant.id, costTokens)
			l.mu.Lock()
			if !allowedByReference {
				l.result.referenceRefused++
			}
			if decision.Allowed {
				l.result.admitted++
			} else {
				l.result.refused++
			}
			l.mu.Unlock()
			if decision.Allowed {
				time.Sleep(costHold)
				release(costTokens)
			}
		})
	}
}

// takeResult returns the counts so far and resets them.
func (l *costLoad) takeResult() costResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := l.result
	l.result = costResult{}
	return result
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func TestCostAtTheTargetsLoad(t *testing.T) {
	for _, field := range strings.Split(*costNodes, ",") {
		nodes, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		result := measureCost(t, nodes)
		requests := float64(result.refused + result.admitted)
		t.Logf("%3d nodes: %4.0f B/s and %4.1f messages/s a node (busiest %4.0f B/s), %.2f%% of a core, %.2f%% of requests refused (one central limiter: %.2f%%)",
			nodes, result.bytes, result.messages, result.busiest, 100*result.coreFraction, 100*float64(result.refused)/requests, 100*float64(result.referenceRefused)/requests)
		if result.bytes > 3000 {
			t.Errorf("%d nodes: %.0f B/s per node, want at most 3000", nodes, result.bytes)
		}
	}
}

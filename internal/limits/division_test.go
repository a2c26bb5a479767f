package limits

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
)

var divisionNodes = flag.String("division.nodes", "3", "numbers of nodes to compare divisions of a limit on")

// evenDivision is the reference model: each of N nodes has 1/N of every limit,
// and no messages are sent.
type evenDivision struct {
	mu      sync.Mutex
	nodes   float64
	credits float64
	updated time.Time
	running int
}

func (e *evenDivision) Admit(row policy.Row, _ identity.TenantID, _ int) (func(int), Decision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	rate := row.Limits.RequestsPerSecond / e.nodes
	e.credits = min(e.credits+now.Sub(e.updated).Seconds()*rate, max(rate, 1))
	e.updated = now
	if rate > 0 && e.credits < 1 {
		return nil, Decision{}
	}
	if limit := row.Limits.Concurrency; limit > 0 && e.running >= max(1, limit/int(e.nodes)) {
		return nil, Decision{}
	}
	e.credits--
	e.running++
	release := func(int) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
	}
	return release, Decision{Allowed: true}
}

// skews select the node that receives a request.
var skews = map[string]func(random *rand.Rand, nodes int, at time.Duration) int{
	"even":   func(random *rand.Rand, nodes int, _ time.Duration) int { return random.IntN(nodes) },
	"tenth":  func(random *rand.Rand, nodes int, _ time.Duration) int { return random.IntN(max(1, nodes/10)) },
	"moving": func(_ *rand.Rand, nodes int, at time.Duration) int { return int(at/(10*time.Second)) * 7 % nodes },
}

// divisionResult is the outcome of one run.
type divisionResult struct {
	admitted, centralAdmitted int
	worstWindowRatio          map[time.Duration]float64 // by window length: the most admitted in any window, relative to what the limit allows
	mostRunning               int
	meanRunning               float64
	bytesPerNode              float64 // per second
}

// divisionRun is one scenario of a minute: requests at a multiple of a limit of
// 300 per second, or requests of 5 s under a concurrency limit of 300.
type divisionRun struct {
	nodes       int
	skew        string
	load        float64
	concurrency bool
	borrow      bool
}

const (
	divisionLimit  = 300
	divisionLength = time.Minute
	divisionHold   = 5 * time.Second
)

func (d divisionRun) run(t *testing.T) (result divisionResult) {
	row := policy.Row{ID: "r", Limits: policy.Limits{RequestsPerSecond: divisionLimit}}
	perSecond := d.load * divisionLimit
	if d.concurrency {
		row.Limits = policy.Limits{Concurrency: divisionLimit}
		perSecond = d.load * divisionLimit / divisionHold.Seconds()
	}
	runLimitFleet(t, d.nodes, row, func(f *limitFleet, row policy.Row) {
		limiters := make([]Limiter, d.nodes)
		for i := range limiters {
			limiters[i] = f.nodes[i]
			if !d.borrow {
				limiters[i] = &evenDivision{nodes: float64(d.nodes), updated: time.Now().Add(-time.Second)}
			}
		}
		result = d.drive(f, limiters, row, perSecond)
	})
	return result
}

func (d divisionRun) drive(f *limitFleet, limiters []Limiter, row policy.Row, perSecond float64) divisionResult {
	random := rand.New(rand.NewPCG(11, uint64(d.nodes)))
	var mu sync.Mutex
	var requests sync.WaitGroup
	var times []time.Duration
	running, runningSeconds, result := 0, 0.0, divisionResult{worstWindowRatio: map[time.Duration]float64{}}
	before := uint64(0)
	for _, bus := range f.buses {
		before += bus.Traffic().Bytes
	}
	start, level, last := time.Now(), float64(divisionLimit), time.Duration(0)
	for {
		wait := time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		time.Sleep(wait)
		at := time.Since(start)
		if at >= divisionLength {
			break
		}
		level = min(level+(at-last).Seconds()*divisionLimit, divisionLimit)
		last = at
		if level >= 1 {
			level--
			result.centralAdmitted++
		}
		mu.Lock()
		runningSeconds += float64(running) * wait.Seconds()
		mu.Unlock()
		limiter := limiters[skews[d.skew](random, d.nodes, at)]
		requests.Go(func() {
			release, decision := limiter.Admit(row, "t", 1)
			if !decision.Allowed {
				return
			}
			mu.Lock()
			times = append(times, time.Since(start))
			running++
			result.mostRunning = max(result.mostRunning, running)
			mu.Unlock()
			time.Sleep(divisionHold)
			mu.Lock()
			running--
			mu.Unlock()
			release(1)
		})
	}
	requests.Wait()
	synctest.Wait()
	after := uint64(0)
	for _, bus := range f.buses {
		after += bus.Traffic().Bytes
	}
	result.bytesPerNode = float64(after-before) / float64(d.nodes) / divisionLength.Seconds()
	result.admitted, result.meanRunning = len(times), runningSeconds/divisionLength.Seconds()
	for _, window := range []time.Duration{time.Second, 10 * time.Second} {
		result.worstWindowRatio[window] = worstWindow(times, window)
	}
	return result
}

// worstWindow returns the highest number admitted in any window, divided by what
// the limit allows in that time.
func worstWindow(times []time.Duration, window time.Duration) float64 {
	most, first := 0, 0
	for last := range times {
		for times[last]-times[first] >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return float64(most) / (divisionLimit * window.Seconds())
}

func TestBorrowingAgainstEvenDivision(t *testing.T) {
	for _, field := range strings.Split(*divisionNodes, ",") {
		nodes, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		for _, load := range []float64{0.8, 2} {
			for _, skew := range []string{"even", "tenth", "moving"} {
				even := divisionRun{nodes: nodes, skew: skew, load: load}.run(t)
				borrowed := divisionRun{nodes: nodes, skew: skew, load: load, borrow: true}.run(t)
				t.Logf("rate, %3d nodes, load %.1f, %-6s: of central %.3f -> %.3f, worst 1 s %.2f -> %.2f, 10 s %.2f -> %.2f, %.0f B/s a node",
					nodes, load, skew, ratio(even), ratio(borrowed), even.worstWindowRatio[time.Second], borrowed.worstWindowRatio[time.Second],
					even.worstWindowRatio[10*time.Second], borrowed.worstWindowRatio[10*time.Second], borrowed.bytesPerNode)
				if ratio(borrowed) < 0.9 || ratio(borrowed) > 1.15 {
					t.Errorf("%d nodes, load %.1f, %s: borrowing admits %.3f of what a central limiter admits, want 0.9 to 1.15", nodes, load, skew, ratio(borrowed))
				}
			}
		}
		for _, skew := range []string{"even", "tenth", "moving"} {
			even := divisionRun{nodes: nodes, skew: skew, load: 2, concurrency: true}.run(t)
			borrowed := divisionRun{nodes: nodes, skew: skew, load: 2, concurrency: true, borrow: true}.run(t)
			t.Logf("concurrency, %3d nodes, load 2.0, %-6s: most running %d -> %d, mean %.0f -> %.0f, %.0f B/s a node",
				nodes, skew, even.mostRunning, borrowed.mostRunning, even.meanRunning, borrowed.meanRunning, borrowed.bytesPerNode)
			if borrowed.mostRunning > divisionLimit {
				t.Errorf("%d nodes, %s: %d requests run under a concurrency limit of %d", nodes, skew, borrowed.mostRunning, divisionLimit)
			}
		}
	}
}

func ratio(result divisionResult) float64 {
	return float64(result.admitted) / float64(result.centralAdmitted)
}

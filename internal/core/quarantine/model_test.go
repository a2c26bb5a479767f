package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"
)

// The model plays a pool of engines under requests that end them, beside innocent ones,
// with nodes that tell each other of crashes late, twice or never, are cut off and start
// anew, and with engines that end for other reasons. It checks the bound: how many runs of a
// guilty request begin later than agreement takes after the third engine ended under it.

var (
	modelRuns    = flag.Int("quarantine.runs", 150, "runs of the model")
	modelReturns = flag.Int("quarantine.returns", 1, "how often a client of the model comes again")
)

const (
	modelTick     = 10 * time.Millisecond
	modelLength   = 25 * time.Second
	modelNodes    = 5
	modelEngines  = 12
	modelSlots    = 8
	modelAttempts = 2               // engines for one call
	agreeWithin   = 3 * time.Second // after the third crash; then the bound holds
	mostLateRuns  = 3
)

// modelRequest is one call of a client.
type modelRequest struct {
	content  Digest
	guilty   bool
	node     int
	attempts int
	returns  int
	engine   int       // that runs it; -1: none
	sent     time.Time // to its engine
	until    time.Time
	from     time.Time // when it may run
}

type modelEngine struct {
	life  uint64
	back  time.Time // while it is down; zero: it runs
	works []*modelRequest
}

// told is a crash, or an excuse, on its way to a node.
type told struct {
	to    int
	at    time.Time
	since time.Time
	crash Crash
}

type model struct {
	random   *rand.Rand
	newJudge func() judge
	apart    bool // suspects run apart from each other
	now      time.Time
	start    time.Time
	engines  []*modelEngine
	judges   []judge
	waiting  []*modelRequest
	messages []told
	kept     []told // what the store has
	lives    uint64
	guilty   []Digest
	rates    []float64
	waves    map[time.Time]bool
	cutUntil time.Time
	cut      int                   // node that others do not reach until cutUntil
	touched  [modelNodes]time.Time // when a node was last disturbed

	result modelResult
	ended  map[Digest][]guiltyRun // engines that ended under the guilty
}

// guiltyRun is a run that ended its engine.
type guiltyRun struct {
	sent, at time.Time
	inTouch  bool // its node had not been disturbed for as long as agreement takes
}

type modelResult struct {
	innocentsRefused, innocentsServed, innocentsFailed int
	guiltyRuns, lateRuns, mostLate                     int
}

func contentNamed(name string) Digest { return Content{Target: name}.Digest() }

func newModel(seed uint64, apart bool, newJudge func() judge) *model {
	random := rand.New(rand.NewPCG(seed, 1))
	m := &model{random: random, newJudge: newJudge, apart: apart, start: time.Unix(0, 0), ended: make(map[Digest][]guiltyRun), waves: make(map[time.Time]bool), cut: -1}
	m.now = m.start
	for range modelEngines {
		m.engines = append(m.engines, m.newEngine())
	}
	for range modelNodes {
		m.judges = append(m.judges, newJudge())
	}
	for i := range 1 + random.IntN(3) {
		m.guilty = append(m.guilty, contentNamed(fmt.Sprint("guilty", i)))
		m.rates = append(m.rates, 0.15*float64(uint(1)<<random.IntN(6)))
	}
	for at := 3 * time.Second; random.IntN(3) > 0 && at < modelLength; at += time.Duration(random.IntN(6000)) * time.Millisecond {
		m.waves[m.start.Add(at.Truncate(modelTick))] = true
	}
	return m
}

func (m *model) newEngine() *modelEngine {
	m.lives++
	return &modelEngine{life: m.lives}
}

func (m *model) run() modelResult {
	for count := 0; m.now.Sub(m.start) < modelLength; count++ {
		m.now = m.now.Add(modelTick)
		m.hear()
		m.arrive(count)
		m.disturb()
		m.work()
		m.choose()
	}
	for _, content := range m.guilty {
		late := 0
		if runs := m.ended[content]; len(runs) > 3 {
			for _, run := range runs[3:] {
				if run.inTouch && run.sent.Sub(runs[2].at) > agreeWithin {
					late++
				}
			}
		}
		m.result.lateRuns += late
		m.result.mostLate = max(m.result.mostLate, late)
	}
	return m.result
}

// arrive adds new calls.
func (m *model) arrive(count int) {
	if m.random.Float64() < 0.6 {
		m.waiting = append(m.waiting, &modelRequest{content: contentNamed(fmt.Sprint("innocent", count)), node: m.random.IntN(modelNodes), engine: -1, from: m.now, returns: *modelReturns})
	}
	for i, content := range m.guilty {
		if m.random.Float64() < m.rates[i]*modelTick.Seconds() {
			m.waiting = append(m.waiting, &modelRequest{content: content, guilty: true, node: m.random.IntN(modelNodes), engine: -1, from: m.now})
		}
	}
}

// disturb has engines end, nodes start anew and be cut off.
func (m *model) disturb() {
	if m.waves[m.now] {
		for _, engine := range m.engines {
			if engine.back.IsZero() && m.random.IntN(2) == 0 {
				m.crash(engine)
			}
		}
	}
	if m.random.Float64() < modelTick.Seconds()/10 {
		m.restart(m.random.IntN(modelNodes))
	}
	if m.now.Before(m.cutUntil) {
		m.touched[m.cut] = m.now
	}
	if m.random.Float64() < modelTick.Seconds()/15 {
		m.cut, m.cutUntil = m.random.IntN(modelNodes), m.now.Add(time.Duration(m.random.IntN(2500))*time.Millisecond)
	}
}

// crash ends an engine and everything that runs there.
func (m *model) crash(engine *modelEngine) {
	engine.back = m.now.Add(3500 * time.Millisecond)
	works := engine.works
	engine.works = nil
	for _, request := range works {
		own := Crash{Content: request.content, Engine: engine.life}
		m.judges[request.node].crashed(own, true, m.now)
		m.tell(request.node, own)
		request.engine = -1
		request.attempts++
		m.again(request)
	}
}

// again has a call go on elsewhere, or its client come again.
func (m *model) again(request *modelRequest) {
	if request.attempts < modelAttempts {
		m.waiting = append(m.waiting, request)
		return
	}
	if request.returns == 0 {
		if !request.guilty {
			m.result.innocentsFailed++
		}
		return
	}
	m.waiting = append(m.waiting, &modelRequest{
		content: request.content, guilty: request.guilty, node: m.random.IntN(modelNodes), engine: -1,
		from: m.now.Add(50 * time.Millisecond), returns: request.returns - 1,
	})
}

// tell sends a crash to the other nodes, three times, each of which may be lost, and to
// the store once two engines have ended under the content.
func (m *model) tell(from int, crash Crash) {
	for to := range modelNodes {
		if to == from {
			continue
		}
		for try := range 3 {
			at := m.now.Add(time.Duration(try)*150*time.Millisecond + time.Duration(1+m.random.IntN(30))*time.Millisecond)
			lost := m.random.IntN(4) == 0 || (m.now.Before(m.cutUntil) && (m.cut == to || m.cut == from))
			if !lost {
				m.messages = append(m.messages, told{to: to, at: at, since: m.now, crash: crash})
			}
		}
	}
	if m.judges[from].crashes(crash.Content, m.now) >= 2 || crash.Excused {
		for _, known := range m.known(from, crash.Content) {
			at := m.now.Add(time.Duration(100+m.random.IntN(600)) * time.Millisecond)
			for to := range modelNodes {
				m.messages = append(m.messages, told{to: to, at: at, since: m.now, crash: known})
			}
			m.kept = append(m.kept, told{at: at, since: m.now, crash: known})
		}
	}
}

// known gives what a node writes to the store of a content.
func (m *model) known(node int, content Digest) []Crash {
	if ledger, ok := m.judges[node].(ledgerJudge); ok {
		return ledger.Crashes(content, m.now)
	}
	return nil
}

// hear delivers what is due; a node that started anew reads what the store has.
func (m *model) hear() {
	left := m.messages[:0]
	for _, message := range m.messages {
		if message.at.After(m.now) {
			left = append(left, message)
			continue
		}
		crash := message.crash
		crash.Age += m.now.Sub(message.since)
		m.judges[message.to].crashed(crash, false, m.now)
	}
	m.messages = left
}

// restart has a node forget what it knew; it reads what the store has.
func (m *model) restart(node int) {
	m.judges[node], m.touched[node] = m.newJudge(), m.now
	for _, row := range m.kept {
		if !row.at.After(m.now) {
			crash := row.crash
			crash.Age += m.now.Sub(row.since)
			m.judges[node].crashed(crash, false, m.now)
		}
	}
}

// work ends runs, and engines under the guilty.
func (m *model) work() {
	for i, engine := range m.engines {
		if !engine.back.IsZero() && !m.now.Before(engine.back) {
			m.engines[i] = m.newEngine()
			continue
		}
		m.workAt(engine)
	}
}

func (m *model) workAt(engine *modelEngine) {
	var left []*modelRequest
	for _, request := range engine.works {
		switch {
		case m.now.Before(request.until):
			left = append(left, request)
		case request.guilty:
			inTouch := request.sent.Sub(m.touched[request.node]) > agreeWithin
			m.ended[request.content] = append(m.ended[request.content], guiltyRun{sent: request.sent, at: m.now, inTouch: inTouch})
			m.result.guiltyRuns++
			m.crash(engine)
			return
		default:
			m.result.innocentsServed++
			for _, crash := range m.judges[request.node].served(request.content, m.now) {
				m.tell(request.node, crash)
			}
		}
	}
	engine.works = left
}

// choose gives what waits a slot.
func (m *model) choose() {
	waiting := m.waiting
	m.waiting = nil
	for _, request := range waiting {
		switch {
		case m.now.Before(request.from):
			m.waiting = append(m.waiting, request)
		case !m.judges[request.node].mayRun(request.content, m.now):
			if !request.guilty {
				m.result.innocentsRefused++
			}
		default:
			m.place(request)
		}
	}
}

func (m *model) place(request *modelRequest) {
	var best *modelEngine
	index := -1
	marks := m.judges[request.node].crashes(request.content, m.now)
	for i, engine := range m.engines {
		if !engine.back.IsZero() || len(engine.works) >= modelSlots || (m.apart && marks >= 1 && m.suspectAt(engine, request, marks)) {
			continue
		}
		if best == nil || len(engine.works) < len(best.works) {
			best, index = engine, i
		}
	}
	if best == nil {
		m.waiting = append(m.waiting, request)
		return
	}
	request.engine, request.sent = index, m.now
	best.works = append(best.works, request)
	request.until = m.now.Add(time.Duration(200+m.random.IntN(900)) * time.Millisecond)
	if request.guilty {
		request.until = m.now.Add(time.Duration(60+m.random.IntN(60)) * time.Millisecond)
	}
}

// suspectAt says whether a suspect must not go to an engine: the same content runs
// anywhere, or it has crashed twice and another suspect runs there.
func (m *model) suspectAt(engine *modelEngine, request *modelRequest, marks int) bool {
	for _, other := range m.engines {
		for _, running := range other.works {
			if running.content == request.content {
				return true
			}
		}
	}
	if marks < 2 {
		return false
	}
	for _, running := range engine.works {
		if m.judges[running.node].crashes(running.content, m.now) > 0 {
			return true
		}
	}
	return false
}

// modelSum plays the model and sums what came of it.
func modelSum(runs int, apart bool, newJudge func() judge) modelResult {
	results := make([]modelResult, runs)
	var group sync.WaitGroup
	seeds := make(chan int)
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for seed := range seeds {
				results[seed] = newModel(uint64(seed), apart, newJudge).run() //nolint:gosec // counts up from 0
			}
		})
	}
	for seed := range runs {
		seeds <- seed
	}
	close(seeds)
	group.Wait()
	var sum modelResult
	for _, result := range results {
		sum.innocentsRefused += result.innocentsRefused
		sum.innocentsServed += result.innocentsServed
		sum.innocentsFailed += result.innocentsFailed
		sum.guiltyRuns += result.guiltyRuns
		sum.lateRuns += result.lateRuns
		sum.mostLate = max(sum.mostLate, result.mostLate)
	}
	return sum
}

func newLedgerJudge() judge { return ledgerJudge{NewLedger(DefaultConfig())} }

func newCountJudge(ownOnly bool) func() judge {
	return func() judge { return countJudge{ownOnly: ownOnly, engines: make(map[Digest]map[uint64]bool)} }
}

// TestBoundHoldsInTheModel has the ledger keep the bound and refuse nobody innocent, where
// a count at each node breaks the bound, and a count over all nodes refuses the innocent.
func TestBoundHoldsInTheModel(t *testing.T) {
	ledger := modelSum(*modelRuns, true, newLedgerJudge)
	t.Logf("ledger, suspects apart: %+v", ledger)
	if ledger.mostLate > mostLateRuns || ledger.innocentsRefused > 0 {
		t.Errorf("late runs of one content %d, want %d at most; innocent requests refused %d, want none", ledger.mostLate, mostLateRuns, ledger.innocentsRefused)
	}
	naiveRuns := min(*modelRuns, 50)
	perNode := modelSum(naiveRuns, false, newCountJudge(true))
	t.Logf("count at each node: %+v", perNode)
	if perNode.mostLate <= mostLateRuns {
		t.Error("a count at each node keeps the bound too: the model shows nothing")
	}
	overAll := modelSum(naiveRuns, false, newCountJudge(false))
	t.Logf("count over all nodes: %+v", overAll)
	if overAll.innocentsRefused == 0 {
		t.Error("a count over all nodes refuses nobody innocent: the model shows nothing")
	}
}

// BenchmarkModel compares ways to judge: innocent requests refused, runs of guilty ones,
// and the most runs of one that began later than the bound. Its figures stand in
// DefaultConfig and in docs/decisions.
func BenchmarkModel(b *testing.B) {
	with := func(change func(*Config)) func() judge {
		config := DefaultConfig()
		change(&config)
		return func() judge { return ledgerJudge{NewLedger(config)} }
	}
	for _, way := range []struct {
		name  string
		apart bool
		make  func() judge
	}{
		{"default", true, newLedgerJudge},
		{"not apart", false, newLedgerJudge},
		{"block at 3", true, with(func(c *Config) { c.CrashesToBlock = 3 })},
		{"no waves, block at 3", true, with(func(c *Config) { c.WaveWithin = -1; c.CrashesToBlock = 3 })},
		{"no waves, block at 4", true, with(func(c *Config) { c.WaveWithin = -1; c.CrashesToBlock = 4 })},
		{"waves of 250 ms", true, with(func(c *Config) { c.WaveWithin = 250 * time.Millisecond })},
		{"count over all nodes", false, newCountJudge(false)},
		{"count at each node", false, newCountJudge(true)},
	} {
		b.Run(way.name, func(b *testing.B) {
			for b.Loop() {
				sum := modelSum(*modelRuns, way.apart, way.make)
				b.ReportMetric(float64(sum.innocentsRefused), "refused")
				b.ReportMetric(float64(sum.innocentsServed), "served")
				b.ReportMetric(float64(sum.guiltyRuns), "guilty-runs")
				b.ReportMetric(float64(sum.mostLate), "most-late-runs")
			}
		})
	}
}

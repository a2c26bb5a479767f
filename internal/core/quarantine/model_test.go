package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"time"
)

// The model simulates a pool of engines that run guilty requests, which crash their engine,
// and innocent ones. Nodes report crashes to each other late, twice or never, are isolated and
// restart, and engines also end for other reasons. The model checks the bound on the number of
// runs of a guilty request that begin more than agreementTime after its third crash.

var (
	modelRuns          = flag.Int("quarantine.runs", 150, "runs of the model")
	modelClientRetries = flag.Int("quarantine.returns", 1, "how often a client of the model comes again")
)

const (
	modelTick     = 10 * time.Millisecond
	modelDuration = 25 * time.Second
	modelNodes    = 5
	modelEngines  = 12
	modelSlots    = 8
	modelAttempts = 2               // engines per client request
	agreementTime = 3 * time.Second // after the third crash; the bound applies from then on
	maxLateRuns   = 3
)

// modelRequest is one request of a client.
type modelRequest struct {
	content       Digest
	guilty        bool
	item          bool
	node          int
	attempts      int
	clientRetries int
	engine        int       // index of the engine that runs it; -1 if none
	sentAt        time.Time // when it was sent to its engine
	endsAt        time.Time
	notBefore     time.Time // earliest time at which it may be sent
}

type modelEngine struct {
	id        uint64
	restartAt time.Time // zero while it runs
	running   []*modelRequest
}

// crashMessage is a crash report, or an excuse, in transit to a node.
type crashMessage struct {
	to        int
	arrivesAt time.Time
	sentAt    time.Time
	crash     Crash
}

type model struct {
	random           *rand.Rand
	newDetector      func() detector
	separateSuspects bool // whether suspects may not share an engine
	itemRecording    itemRecording
	openItems        int
	itemsAdded       int
	now              time.Time
	start            time.Time
	engines          []*modelEngine
	detectors        []detector
	waiting          []*modelRequest
	inTransit        []crashMessage
	stored           []crashMessage // records in the store
	lastEngineID     uint64
	guilty           []Digest
	rates            []float64
	waves            map[time.Time]bool
	isolatedUntil    time.Time
	isolated         int                   // node that others cannot reach until isolatedUntil
	disturbedAt      [modelNodes]time.Time // when each node last restarted or was isolated

	result       modelResult
	crashingRuns map[Digest][]guiltyRun // runs that crashed their engine
}

// guiltyRun is a run that crashed its engine.
type guiltyRun struct {
	sentAt, endedAt time.Time
	undisturbed     bool // its node had not been disturbed for agreementTime
}

type modelResult struct {
	innocentsRefused, innocentsServed, innocentsFailed int
	guiltyRuns, lateRuns, maxLate                      int
	itemsServed                                        int
}

func contentNamed(name string) Digest { return Content{Target: name}.Digest() }

func newModel(seed uint64, apart bool, newDetector func() detector) *model {
	random := rand.New(rand.NewPCG(seed, 1))
	m := &model{random: random, newDetector: newDetector, separateSuspects: apart, start: time.Unix(0, 0), crashingRuns: make(map[Digest][]guiltyRun), waves: make(map[time.Time]bool), isolated: -1}
	m.now = m.start
	for range modelEngines {
		m.engines = append(m.engines, m.newEngine())
	}
	for range modelNodes {
		m.detectors = append(m.detectors, newDetector())
	}
	for i := range 1 + random.IntN(3) {
		m.guilty = append(m.guilty, contentNamed(fmt.Sprint("guilty", i)))
		m.rates = append(m.rates, 0.15*float64(uint(1)<<random.IntN(6)))
	}
	for at := 3 * time.Second; random.IntN(3) > 0 && at < modelDuration; at += time.Duration(random.IntN(6000)) * time.Millisecond {
		m.waves[m.start.Add(at.Truncate(modelTick))] = true
	}
	return m
}

func (m *model) newEngine() *modelEngine {
	m.lastEngineID++
	return &modelEngine{id: m.lastEngineID}
}

func (m *model) run() modelResult {
	for count := 0; m.now.Sub(m.start) < modelDuration; count++ {
		m.now = m.now.Add(modelTick)
		m.deliver()
		m.addRequests(count)
		m.injectFaults()
		m.runEngines()
		m.dispatch()
	}
	for _, content := range m.guilty {
		late := 0
		if runs := m.crashingRuns[content]; len(runs) > 3 {
			for _, run := range runs[3:] {
				if run.undisturbed && run.sentAt.Sub(runs[2].endedAt) > agreementTime {
					late++
				}
			}
		}
		m.result.lateRuns += late
		m.result.maxLate = max(m.result.maxLate, late)
	}
	return m.result
}

// addRequests adds new requests of clients.
func (m *model) addRequests(count int) {
	m.addItems()
	if m.random.Float64() < 0.6 {
		m.waiting = append(m.waiting, &modelRequest{content: contentNamed(fmt.Sprint("innocent", count)), node: m.random.IntN(modelNodes), engine: -1, notBefore: m.now, clientRetries: *modelClientRetries})
	}
	for i, content := range m.guilty {
		if m.random.Float64() < m.rates[i]*modelTick.Seconds() {
			m.waiting = append(m.waiting, &modelRequest{content: content, guilty: true, node: m.random.IntN(modelNodes), engine: -1, notBefore: m.now})
		}
	}
}

// injectFaults ends engines, restarts nodes and isolates nodes.
func (m *model) injectFaults() {
	if m.waves[m.now] {
		for _, engine := range m.engines {
			if engine.restartAt.IsZero() && m.random.IntN(2) == 0 {
				m.crash(engine)
			}
		}
	}
	if m.random.Float64() < modelTick.Seconds()/10 {
		m.restart(m.random.IntN(modelNodes))
	}
	if m.now.Before(m.isolatedUntil) {
		m.disturbedAt[m.isolated] = m.now
	}
	if m.random.Float64() < modelTick.Seconds()/15 {
		m.isolated, m.isolatedUntil = m.random.IntN(modelNodes), m.now.Add(time.Duration(m.random.IntN(2500))*time.Millisecond)
	}
}

// crash ends an engine and all requests that run there.
func (m *model) crash(engine *modelEngine) {
	engine.restartAt = m.now.Add(3500 * time.Millisecond)
	works := engine.running
	engine.running = nil
	for _, request := range works {
		if content, isRecorded := m.itemRecording.recorded(request); isRecorded {
			own := Crash{Content: content, Engine: engine.id}
			m.detectors[request.node].recordCrash(own, true, m.now)
			m.broadcast(request.node, own)
		}
		request.engine = -1
		request.attempts++
		m.retry(request)
	}
}

// retry queues a request for another engine, or lets its client send it again when its
// attempts are used up.
func (m *model) retry(request *modelRequest) {
	if request.item {
		m.retryItem(request)
		return
	}
	if request.attempts < modelAttempts {
		m.waiting = append(m.waiting, request)
		return
	}
	if request.clientRetries == 0 {
		if !request.guilty {
			m.result.innocentsFailed++
		}
		return
	}
	m.waiting = append(m.waiting, &modelRequest{
		content: request.content, guilty: request.guilty, node: m.random.IntN(modelNodes), engine: -1,
		notBefore: m.now.Add(50 * time.Millisecond), clientRetries: request.clientRetries - 1,
	})
}

// broadcast sends a crash to the other nodes three times, where each message may be lost, and
// writes it to the store once the content has crashed two engines or the crash is excused.
func (m *model) broadcast(from int, crash Crash) {
	for to := range modelNodes {
		if to == from {
			continue
		}
		for try := range 3 {
			at := m.now.Add(time.Duration(try)*150*time.Millisecond + time.Duration(1+m.random.IntN(30))*time.Millisecond)
			lost := m.random.IntN(4) == 0 || (m.now.Before(m.isolatedUntil) && (m.isolated == to || m.isolated == from))
			if !lost {
				m.inTransit = append(m.inTransit, crashMessage{to: to, arrivesAt: at, sentAt: m.now, crash: crash})
			}
		}
	}
	if m.detectors[from].crashCount(crash.Content, m.now) >= 2 || crash.Excused {
		for _, known := range m.crashesToStore(from, crash.Content) {
			at := m.now.Add(time.Duration(100+m.random.IntN(600)) * time.Millisecond)
			for to := range modelNodes {
				m.inTransit = append(m.inTransit, crashMessage{to: to, arrivesAt: at, sentAt: m.now, crash: known})
			}
			m.stored = append(m.stored, crashMessage{arrivesAt: at, sentAt: m.now, crash: known})
		}
	}
}

// crashesToStore returns the crashes of a content that a node writes to the store.
func (m *model) crashesToStore(node int, content Digest) []Crash {
	if ledger, ok := m.detectors[node].(ledgerDetector); ok {
		return ledger.Crashes(content, m.now)
	}
	return nil
}

// deliver delivers the messages that are due.
func (m *model) deliver() {
	left := m.inTransit[:0]
	for _, message := range m.inTransit {
		if message.arrivesAt.After(m.now) {
			left = append(left, message)
			continue
		}
		crash := message.crash
		crash.Age += m.now.Sub(message.sentAt)
		m.detectors[message.to].recordCrash(crash, false, m.now)
	}
	m.inTransit = left
}

// restart clears the state of a node, which then reads the records in the store.
func (m *model) restart(node int) {
	m.detectors[node], m.disturbedAt[node] = m.newDetector(), m.now
	for _, row := range m.stored {
		if !row.arrivesAt.After(m.now) {
			crash := row.crash
			crash.Age += m.now.Sub(row.sentAt)
			m.detectors[node].recordCrash(crash, false, m.now)
		}
	}
}

// runEngines restarts engines that are due and finishes runs at the others.
func (m *model) runEngines() {
	for i, engine := range m.engines {
		if !engine.restartAt.IsZero() && !m.now.Before(engine.restartAt) {
			m.engines[i] = m.newEngine()
			continue
		}
		m.finishRuns(engine)
	}
}

func (m *model) finishRuns(engine *modelEngine) {
	var left []*modelRequest
	for _, request := range engine.running {
		switch {
		case m.now.Before(request.endsAt):
			left = append(left, request)
		case request.guilty:
			undisturbed := request.sentAt.Sub(m.disturbedAt[request.node]) > agreementTime
			m.crashingRuns[request.content] = append(m.crashingRuns[request.content], guiltyRun{sentAt: request.sentAt, endedAt: m.now, undisturbed: undisturbed})
			m.result.guiltyRuns++
			m.crash(engine)
			return
		default:
			m.complete(request)
		}
	}
	engine.running = left
}

// complete ends a run that its engine has finished.
func (m *model) complete(request *modelRequest) {
	if request.item {
		m.result.itemsServed++
		m.openItems--
	} else {
		m.result.innocentsServed++
	}
	content, _ := m.itemRecording.recorded(request)
	for _, crash := range m.detectors[request.node].recordSuccess(content, m.now) {
		m.broadcast(request.node, crash)
	}
}

// dispatch assigns the waiting requests to engines.
func (m *model) dispatch() {
	waiting := m.waiting
	m.waiting = nil
	for _, request := range waiting {
		switch {
		case m.now.Before(request.notBefore):
			m.waiting = append(m.waiting, request)
		case request.item:
			if !m.holdsItem(request) {
				m.place(request)
			}
		case !m.detectors[request.node].allows(request.content, m.now):
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
	recorded, _ := m.itemRecording.recorded(request)
	marks := m.detectors[request.node].crashCount(recorded, m.now)
	for i, engine := range m.engines {
		if !engine.restartAt.IsZero() || len(engine.running) >= modelSlots || (m.separateSuspects && marks >= 1 && m.suspectAt(engine, request, marks)) {
			continue
		}
		if best == nil || len(engine.running) < len(best.running) {
			best, index = engine, i
		}
	}
	if best == nil {
		m.waiting = append(m.waiting, request)
		return
	}
	request.engine, request.sentAt = index, m.now
	best.running = append(best.running, request)
	request.endsAt = m.now.Add(time.Duration(200+m.random.IntN(900)) * time.Millisecond)
	if request.item {
		request.endsAt = m.now.Add(time.Duration(2000+m.random.IntN(4000)) * time.Millisecond)
	}
	if request.guilty {
		request.endsAt = m.now.Add(time.Duration(60+m.random.IntN(60)) * time.Millisecond)
	}
}

// suspectAt reports whether a suspect must not be sent to an engine: because the same content
// runs at any engine, or because it has two crashes and another suspect runs there.
func (m *model) suspectAt(engine *modelEngine, request *modelRequest, marks int) bool {
	for _, other := range m.engines {
		for _, running := range other.running {
			if running.content == request.content {
				return true
			}
		}
	}
	if marks < 2 {
		return false
	}
	for _, running := range engine.running {
		if m.itemRecording == itemsAsThemselves && running.item {
			continue
		}
		if recorded, _ := m.itemRecording.recorded(running); m.detectors[running.node].crashCount(recorded, m.now) > 0 {
			return true
		}
	}
	return false
}

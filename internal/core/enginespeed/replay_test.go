package enginespeed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The load of replay: half of the slots are in use while no engine is slow.
const (
	engineCount  = 57
	engineSlots  = 8
	nodeCount    = 20
	onlineRate   = 400.0 // requests a second
	batchRate    = 33.0
	onlineEvents = 18
	batchEvents  = 123
	prefillMs    = 5.0
	eventMs      = 20.0
	fullnessCost = 0.2 // by which work takes longer at a full engine
	objective    = 300 * time.Millisecond
)

// work is a request in the model.
type work struct {
	id      uint64
	node    *modelNode
	engine  *modelEngine
	batch   bool
	events  int
	arrived time.Time
	granted time.Time
	first   time.Time
	toSlow  bool    // its engine was slow when it was granted
	spared  bool    // an engine of the usual speed had a free slot then
	done    float64 // work done, in milliseconds at the usual speed
	noise   float64 // its work relative to others of its kind
	stalled time.Time
	seen    int // events so far
	told    int // events whose pace was reported
	toldAt  time.Time
}

// eventsNow returns the events that a request has produced.
func (w *work) eventsNow() int {
	return max(min(int((w.done-prefillMs*w.noise)/(eventMs*w.noise)), w.events), 0)
}

type modelEngine struct {
	id       enginechoice.Incarnation
	slowness float64
	requests []*work // the first engineSlots of them run
}

type modelNode struct {
	name      string
	requester *grant.Requester
	asked     map[uint64]*work
	slowness  float64 // delays its own view of first tokens
}

// replay is a lane whose engines and nodes are modelled, with a real dispatcher and requesters.
type replay struct {
	now        time.Time
	random     *rand.Rand
	engines    []*modelEngine
	byHash     map[uint64]*modelEngine
	nodes      []*modelNode
	dispatcher *grant.Dispatcher
	lastID     uint64
	onlineRate float64
	noise      float64 // standard deviation of the logarithm of a request's work
	online     []*work // all online requests
	changes    []grant.SpeedChange
}

func newReplay(seed uint64, speeds grant.EngineSpeeds) *replay {
	lane := grant.Lane{Pool: "p", Parts: 1}
	r := &replay{
		now: start, random: rand.New(rand.NewPCG(seed, 7)), byHash: make(map[uint64]*modelEngine),
		dispatcher: grant.NewDispatcher(grant.DefaultDispatcherConfig(), lane, "n0", start), onlineRate: onlineRate, noise: 0.2,
	}
	r.dispatcher.UsePolicies(grant.Policies{Speeds: speeds})
	var listed []enginechoice.Listed
	for i := range engineCount {
		engine := &modelEngine{id: enginechoice.Incarnation{ID: fmt.Sprintf("e%d", i)}, slowness: 1}
		r.engines = append(r.engines, engine)
		r.byHash[grant.EngineHash(engine.id)] = engine
		listed = append(listed, enginechoice.Listed{Entry: enginechoice.Entry{ID: engine.id.ID, Pool: "p", Zone: "z", Slots: engineSlots}})
	}
	r.dispatcher.SetEngines(listed, start)
	for i := range nodeCount {
		node := &modelNode{name: fmt.Sprintf("n%d", i), requester: grant.NewRequester(grant.DefaultRequesterConfig(), uint64(i)+1, "z"), asked: make(map[uint64]*work), slowness: 1}
		node.requester.SetRanking([]string{"n0"}, start)
		r.nodes = append(r.nodes, node)
	}
	return r
}

// run advances the clock by a span of time, in steps of a millisecond.
func (r *replay) run(span time.Duration) {
	for end := r.now.Add(span); r.now.Before(end); r.now = r.now.Add(time.Millisecond) {
		for rate := r.onlineRate; rate > 0; rate -= 1000 {
			r.arrival(rate, false)
		}
		r.arrival(batchRate, true)
		for _, engine := range r.engines {
			r.advance(engine)
		}
		if r.now.Sub(start)%(10*time.Millisecond) == 0 {
			r.dispatcher.Tick(r.now)
			r.changes = append(r.changes, r.dispatcher.SpeedChanges()...)
		}
		for _, node := range r.nodes {
			actions, _ := node.requester.Poll(r.now, nil)
			for _, send := range actions.Sends {
				r.dispatcher.ApplyState(node.name, send.State, r.now)
			}
			for _, id := range actions.Fallbacks {
				delete(node.asked, id)
			}
		}
		r.deliver()
	}
}

// arrival adds a request with the probability that a rate of up to 1,000 a second means for a
// millisecond.
func (r *replay) arrival(rate float64, batch bool) {
	if r.random.Float64() >= rate/1000 {
		return
	}
	r.lastID++
	node := r.nodes[r.random.IntN(len(r.nodes))]
	request := &work{id: r.lastID, node: node, batch: batch, events: onlineEvents, arrived: r.now, noise: math.Exp(r.noise * r.random.NormFloat64())}
	ask := grant.Ask{ID: request.id, Batch: batch, OwnTokens: 450, MemoryTokens: 470, BatchPercent: 85, RoomPercent: 85}
	deadlines := grant.Deadlines{Objective: r.now.Add(objective)}
	if batch {
		request.events, deadlines.Objective = batchEvents, r.now.Add(18*time.Second)
	} else {
		r.online = append(r.online, request)
	}
	node.asked[request.id] = request
	node.requester.Wait(ask, deadlines, r.now)
}

// deliver delivers the dispatcher's replies.
func (r *replay) deliver() {
	for address, reply := range r.dispatcher.Replies() {
		node := r.nodes[slices.IndexFunc(r.nodes, func(known *modelNode) bool { return known.name == address })]
		outcome := node.requester.ApplyReply("n0", reply, r.now)
		for _, granted := range outcome.Grants {
			r.begin(node, granted)
		}
		for _, id := range outcome.Stops {
			r.stop(node, id)
		}
	}
}

func (r *replay) begin(node *modelNode, granted grant.Grant) {
	request := node.asked[granted.ID]
	delete(node.asked, granted.ID)
	engine := r.byHash[granted.Engine]
	request.engine, request.granted, request.toldAt = engine, r.now, r.now
	request.toSlow, request.spared = engine.slowness > 1, r.usualSlotFree()
	engine.requests = append(engine.requests, request)
	node.requester.Begin(grant.Held{ID: granted.ID, Engine: granted.Engine, Batch: request.batch, PrefillTokens: granted.PrefillTokens}, 450, r.now)
}

// stop ends a preempted batch request.
func (r *replay) stop(node *modelNode, id uint64) {
	for _, engine := range r.engines {
		engine.requests = slices.DeleteFunc(engine.requests, func(known *work) bool { return known.node == node && known.id == id })
	}
	node.requester.End(grant.Ended{ID: id, Result: enginechoice.Abandoned}, r.now)
}

// usualSlotFree reports whether an engine of the usual speed has a free slot.
func (r *replay) usualSlotFree() bool {
	return slices.ContainsFunc(r.engines, func(known *modelEngine) bool { return known.slowness <= 1 && len(known.requests) < engineSlots })
}

// advance does an engine's work of a millisecond.
func (r *replay) advance(engine *modelEngine) {
	for i, request := range engine.requests {
		if i >= engineSlots || r.now.Before(request.stalled) {
			continue
		}
		request.done += 1 / (engine.slowness * (1 + fullnessCost*float64(min(len(engine.requests), engineSlots))/engineSlots))
		if events := request.eventsNow(); events > request.seen {
			request.seen = events
			r.tell(request, events)
		}
	}
	engine.requests = slices.DeleteFunc(engine.requests, func(request *work) bool { return r.endIfDone(request) })
}

// tell reports a request's first token and the pace of its events.
func (r *replay) tell(request *work, events int) {
	if request.first.IsZero() {
		request.first, request.told, request.toldAt = r.now, 1, r.now
		request.node.requester.Started(request.id, r.now)
		return
	}
	elapsed := r.now.Sub(request.toldAt)
	if elapsed >= 100*time.Millisecond || events == request.events {
		elapsed = time.Duration(float64(elapsed) * request.node.slowness)
		request.node.requester.RecordPace(grant.Pace{Engine: grant.EngineHash(request.engine.id), Events: events - request.told, Elapsed: elapsed})
		request.told, request.toldAt = events, r.now
	}
}

func (r *replay) endIfDone(request *work) bool {
	if request.eventsNow() < request.events {
		return false
	}
	request.node.requester.End(grant.Ended{ID: request.id, Engine: grant.EngineHash(request.engine.id)}, r.now)
	return true
}

// slow makes the first engines slow.
func (r *replay) slow(engines int, slowness float64) {
	for _, engine := range r.engines[:engines] {
		engine.slowness = slowness
	}
}

// counts of the online requests that arrived in a span of time.
type counts struct {
	all, late int
	toSlow    int // granted a slow engine while one of the usual speed had a free slot
	first     int // granted one of the engines that were or are slow
}

func (r *replay) count(from, to time.Duration, engines int) counts {
	var c counts
	for _, request := range r.online {
		at := request.arrived.Sub(start)
		if at < from || at >= to {
			continue
		}
		c.all++
		if request.first.IsZero() || request.first.Sub(request.arrived) > objective {
			c.late++
		}
		if request.toSlow && request.spared {
			c.toSlow++
		}
		if request.engine != nil && slices.Index(r.engines, request.engine) < engines {
			c.first++
		}
	}
	return c
}

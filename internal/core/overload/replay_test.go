package overload_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/overload"
)

// The engines of the replay and its clients. A request runs for 0.7 s on average at an engine that is
// full, and for less at others.
const (
	engineCount = 12
	engineSlots = 8
	meanRun     = 700 * time.Millisecond
	firstToken  = 30 * time.Millisecond // from the start at the engine
	objective   = 300 * time.Millisecond
	patience    = 5 * time.Second // of a client, over both of its attempts
	step        = 5 * time.Millisecond
	tick        = 2 * step
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	lane  = grant.Lane{Pool: "p", Parts: 1}
)

// load is a pattern of arrivals: steps around the mean, a flood, and lost engines.
type load struct {
	capacity      float64 // requests that the engines complete, as a multiple of the mean arrivals
	flood         float64 // arrivals during the flood, as a multiple
	lost          int     // engines that are lost during the flood
	from, to, end time.Duration
}

// steps are the arrivals in turn, each for stepLength, as multiples of the mean.
var steps = []float64{1.0, 0.7, 1.85, 0.378, 1.2, 0.6, 1.5, 0.9}

const stepLength = 2500 * time.Millisecond

func (l load) factor(at time.Duration) float64 {
	factor := steps[int(at/stepLength)%len(steps)]
	if at >= l.from && at < l.to {
		factor *= l.flood
	}
	return factor
}

// client is a request of a client, over its attempts.
type client struct {
	content        uint64
	sentAt         time.Time // of this attempt
	end            time.Time
	attempts       int
	grantedAt      time.Time
	engine         uint64
	firstAt, endAt time.Time // at its engine; zero while it waits there
	toldToReturn   bool
}

// results counts how the requests ended.
type results struct {
	inTime, late      int // whole answers, by the time from the attempt to the first token
	atOnce            int // in time at the first attempt
	refused           int // for the last time
	heldInVain        int // waited for longer than a quarter of the objective and got no engine
	returned, toldOff int // came back when told; of these served or refused at once
	recovered         int // served in time at once, of those sent in the second from 1 s after the flood
	sentRecovered     int
	refusedLate       int // refused after more than 20 ms
	refusals          int
}

// share returns the part of the served requests that was served in time.
func (r results) share() float64 { return float64(r.inTime) / float64(max(r.inTime+r.late, 1)) }

// replay plays a load against a real dispatcher. One node has all requests.
type replay struct {
	load       load
	now        time.Time
	random     *rand.Rand
	dispatcher *grant.Dispatcher
	places     bool // the node asks for placement after four objectives
	nextID     uint64
	sequence   uint64
	waiting    map[uint64]*client
	running    map[uint64]*client
	returning  []*client
	queues     map[uint64][]uint64 // requests at each engine, in order
	ended      []grant.Ended
	firsts     []grant.FirstToken
	results    results
}

func newReplay(policies grant.Policies, load load, seed uint64) *replay {
	r := &replay{
		load: load, now: start, random: rand.New(rand.NewPCG(seed, 7)),
		dispatcher: grant.NewDispatcher(grant.DefaultDispatcherConfig(), lane, "n", start),
		waiting:    make(map[uint64]*client), running: make(map[uint64]*client), queues: make(map[uint64][]uint64),
	}
	r.dispatcher.UsePolicies(policies)
	r.dispatcher.SetEngines(engines(0), start)
	return r
}

func engines(lost int) []enginechoice.Listed {
	var listed []enginechoice.Listed
	for i := range engineCount - lost {
		listed = append(listed, enginechoice.Listed{Entry: enginechoice.Entry{ID: fmt.Sprint("e", i), Pool: "p", Slots: engineSlots}})
	}
	return listed
}

func (r *replay) run() results {
	perStep := float64(engineCount*engineSlots) / meanRun.Seconds() / r.load.capacity * step.Seconds()
	for at := time.Duration(0); at < r.load.end; at += step {
		r.now = start.Add(at)
		switch at {
		case r.load.from:
			r.dispatcher.SetEngines(engines(r.load.lost), r.now)
			r.loseRuns(r.load.lost)
		case r.load.to:
			r.dispatcher.SetEngines(engines(0), r.now)
		}
		for expected := perStep * r.load.factor(at); expected > 0; expected-- {
			if r.random.Float64() < expected {
				r.nextID++
				r.send(&client{content: r.nextID, end: r.now.Add(patience)})
			}
		}
		r.returning = slices.DeleteFunc(r.returning, func(back *client) bool {
			if back.sentAt.After(r.now) {
				return false
			}
			r.send(back)
			return true
		})
		r.runEngines()
		r.exchange(at)
	}
	return r.results
}

// loseRuns ends the requests at the last engines.
func (r *replay) loseRuns(lost int) {
	for i := engineCount - lost; i < engineCount; i++ {
		engine := grant.EngineHash(enginechoice.Incarnation{ID: fmt.Sprint("e", i)})
		for _, id := range r.queues[engine] {
			delete(r.running, id)
			r.ended = append(r.ended, grant.Ended{ID: id, Engine: engine, Result: enginechoice.Abandoned})
		}
		delete(r.queues, engine)
	}
}

func (r *replay) send(from *client) {
	from.sentAt = r.now
	from.attempts++
	if from.attempts == 1 && r.isRecovered(r.now) {
		r.results.sentRecovered++
	}
	r.nextID++
	r.waiting[r.nextID] = from
}

// runEngines starts the first requests of each engine's queue, and ends those that are done.
func (r *replay) runEngines() {
	for _, engine := range slices.Sorted(maps.Keys(r.queues)) {
		queue := r.queues[engine]
		for _, id := range queue[:min(engineSlots, len(queue))] {
			request := r.running[id]
			if request.firstAt.IsZero() {
				request.firstAt = r.now.Add(firstToken)
				crowded := 0.25 + 0.75*float64(min(len(queue), engineSlots))/engineSlots
				request.endAt = r.now.Add(time.Duration((0.4 + 1.2*r.random.Float64()) * crowded * float64(meanRun)))
			}
		}
		r.queues[engine] = slices.DeleteFunc(queue, func(id uint64) bool {
			request := r.running[id]
			if request.firstAt.Equal(r.now) {
				r.firsts = append(r.firsts, grant.FirstToken{Elapsed: r.now.Sub(request.grantedAt)})
			}
			if request.firstAt.IsZero() || request.endAt.After(r.now) {
				return false
			}
			delete(r.running, id)
			r.ended = append(r.ended, grant.Ended{ID: id, Engine: engine})
			r.conclude(request, true)
			return true
		})
	}
}

// exchange sends the node's State to the dispatcher and applies its reply.
func (r *replay) exchange(at time.Duration) {
	r.sequence++
	state := grant.State{Life: 1, Sequence: r.sequence, Firsts: r.firsts}
	r.firsts = nil
	if len(r.ended) > 0 { // one at a time, since a dispatcher takes those of one State in any order
		state.Ended, r.ended = r.ended[:1], r.ended[1:]
	}
	for _, ended := range r.ended {
		state.Held = append(state.Held, grant.Held{ID: ended.ID, Engine: ended.Engine})
	}
	for _, id := range slices.Sorted(maps.Keys(r.running)) {
		state.Held = append(state.Held, grant.Held{ID: id, Engine: r.running[id].engine})
	}
	for _, id := range slices.Sorted(maps.Keys(r.waiting)) {
		request := r.waiting[id]
		if !request.end.After(r.now) {
			delete(r.waiting, id)
			r.conclude(request, false)
			continue
		}
		state.Waiting = append(state.Waiting, grant.Ask{
			ID: id, Content: request.content, DueIn: request.sentAt.Add(objective).Sub(r.now), EndsIn: request.end.Sub(r.now),
			Place: r.places && r.now.Sub(request.sentAt) >= 4*objective,
		})
	}
	r.dispatcher.ApplyState("n", state, r.now)
	if at%tick == 0 {
		r.dispatcher.Tick(r.now)
	}
	reply := r.dispatcher.Replies()["n"]
	for _, granted := range reply.Grants {
		request := r.waiting[granted.ID]
		delete(r.waiting, granted.ID)
		request.grantedAt, request.engine = r.now, granted.Engine
		r.running[granted.ID] = request
		r.queues[granted.Engine] = append(r.queues[granted.Engine], granted.ID)
	}
	for _, refusal := range reply.Refused {
		if request := r.waiting[refusal.ID]; request != nil {
			delete(r.waiting, refusal.ID)
			r.refuse(request, refusal.Overload)
		}
	}
}

// refuse has a client come back once, after a third of its time at the latest.
func (r *replay) refuse(request *client, refusal grant.OverloadRefusal) {
	r.results.refusals++
	if r.now.Sub(request.sentAt) > 20*time.Millisecond {
		r.results.refusedLate++
	}
	if request.attempts > 1 {
		r.conclude(request, false)
		return
	}
	request.toldToReturn = refusal.Expected > 0
	request.sentAt = r.now.Add(min(refusal.RetryAfter, request.end.Sub(r.now)/3) + 5*time.Millisecond)
	r.returning = append(r.returning, request)
}

// conclude counts how a request ended.
func (r *replay) conclude(request *client, served bool) {
	waited := r.now.Sub(request.sentAt)
	if served {
		waited = request.firstAt.Sub(request.sentAt)
	}
	inTime := served && waited <= objective
	switch {
	case inTime:
		r.results.inTime++
		if request.attempts == 1 {
			r.results.atOnce++
		}
	case served:
		r.results.late++
	case waited > objective/4:
		r.results.heldInVain++
	default:
		r.results.refused++
	}
	if request.attempts > 1 && request.toldToReturn {
		r.results.returned++
		if served || waited <= objective/4 {
			r.results.toldOff++
		}
	}
	if inTime && request.attempts == 1 && r.isRecovered(request.sentAt) {
		r.results.recovered++
	}
}

// isRecovered reports whether a request that is sent at a time should find the lane as before
// the flood.
func (r *replay) isRecovered(sentAt time.Time) bool {
	since := sentAt.Sub(start) - r.load.to
	return since >= time.Second && since < 2*time.Second
}

// earliestDeadline refuses nothing and places nothing at a full engine.
type earliestDeadline struct{}

func (earliestDeadline) Arrived(*grant.Waiting, time.Time) {}
func (earliestDeadline) Granted(*grant.Waiting, time.Time) {}
func (earliestDeadline) Finished(time.Duration, time.Time) {}
func (earliestDeadline) Overloaded(time.Time) bool         { return false }
func (earliestDeadline) PlacesWhenFull() bool              { return false }
func (earliestDeadline) Review([]*grant.Waiting, grant.LaneLoad, time.Time) []grant.OverloadDecision {
	return nil
}

// randomRefusal refuses half of the requests that find no slot when they arrive.
type randomRefusal struct {
	earliestDeadline
	random *rand.Rand
}

func (p randomRefusal) Review(queue []*grant.Waiting, _ grant.LaneLoad, _ time.Time) (refused []grant.OverloadDecision) {
	for _, request := range queue {
		if !request.Admitted && p.random.IntN(2) == 0 {
			refused = append(refused, grant.OverloadDecision{Request: request, Refusal: grant.OverloadRefusal{RetryAfter: 100 * time.Millisecond}})
		}
		request.Admitted = true
	}
	return refused
}

// clients returns the number of clients whose requests have ended.
func (r results) clients() int { return r.inTime + r.late + r.refused + r.heldInVain }

// recovery returns the part of the requests after the flood that was served in time at once.
func (r results) recovery() float64 { return float64(r.recovered) / float64(max(r.sentRecovered, 1)) }

// pattern returns a flood of 6 s, after which the arrivals are within the capacity.
func pattern(capacity, flood float64, lost int) load {
	return load{capacity: capacity, flood: flood, lost: lost, from: 11500 * time.Millisecond, to: 17500 * time.Millisecond, end: 25 * time.Second}
}

// TestReplay plays steps of 0.378 to 1.85 times the mean, floods, and the loss of two fifths
// of the engines against the controller.
func TestReplay(t *testing.T) {
	for _, capacity := range []float64{1.1, 1.6} {
		for _, lost := range []int{0, 5} {
			normal := 0.0
			for _, flood := range []float64{1, 1.5, 3, 5} {
				got := newReplay(grant.Policies{Overload: overload.New()}, pattern(capacity, flood, lost), 1).run()
				name := fmt.Sprintf("capacity %.1f, flood of %.1f, %d engines lost", capacity, flood, lost)
				t.Logf("%s: %.3f %+v", name, got.share(), got)
				if flood == 1 {
					normal = got.recovery()
				}
				if got.share() < 0.9 {
					t.Errorf("%s: %.3f of the answers are in time, want 0.9", name, got.share())
				}
				if got.heldInVain*1000 > got.clients() {
					t.Errorf("%s: %d of %d requests were held and not served, want 1 in 1,000", name, got.heldInVain, got.clients())
				}
				if got.toldOff*100 < got.returned*95 {
					t.Errorf("%s: %d of %d requests that came back when told were served or refused at once, want 95 in 100", name, got.toldOff, got.returned)
				}
				if got.recovery() < 0.9*normal {
					t.Errorf("%s: %.3f of the requests are in time 1 s after the flood, want 0.9 of the %.3f without it", name, got.recovery(), normal)
				}
			}
		}
	}
}

// TestReplayOfOtherPolicies plays a flood against the policies that the controller replaces.
// It serves more requests in time than each of them.
func TestReplayOfOtherPolicies(t *testing.T) {
	flood := pattern(1.6, 3, 0)
	controlled := newReplay(grant.Policies{Overload: overload.New()}, flood, 1).run()
	for name, policy := range map[string]grant.OverloadControl{
		"earliest deadline": earliestDeadline{}, "random refusal": randomRefusal{random: rand.New(rand.NewPCG(1, 1))}, "no control": nil,
	} {
		other := newReplay(grant.Policies{Overload: policy}, flood, 1)
		other.places = policy == nil
		got := other.run()
		t.Logf("%s: %.3f %+v", name, got.share(), got)
		if got.inTime >= controlled.inTime || got.share() >= controlled.share() {
			t.Errorf("%s serves %d requests (%.3f) in time, the controller %d (%.3f)", name, got.inTime, got.share(), controlled.inTime, controlled.share())
		}
	}
}

package overload

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/grant"
	_ "ringstream.example/ringstream/internal/seedtest" // fixed seed for rapid
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	slots     = 100
	heldFor   = time.Second
	objective = 300 * time.Millisecond
	patience  = 5 * time.Second
)

var fullLane = grant.LaneLoad{Slots: slots, Online: slots, Full: true}

// newBusy returns a controller of a lane that completes slots requests a second, whose usual
// arrivals are known.
func newBusy(usualPerSecond int) (controller *Controller, now time.Time) {
	controller, now = New(), start
	for range 10 * usualPerSecond {
		now = now.Add(time.Second / time.Duration(usualPerSecond))
		controller.Arrived(&grant.Waiting{}, now)
	}
	for i := range 4 * slots {
		controller.Finished(heldFor, now.Add(time.Duration(i-4*slots)*heldFor/slots))
	}
	return controller, now
}

// newRequest returns a request that arrives now.
func newRequest(content uint64, now time.Time) *grant.Waiting {
	return &grant.Waiting{ID: content, Content: content, Since: now, Deadline: now.Add(objective), End: now.Add(patience), InTime: true}
}

// arrive has requests arrive at a controller and reviews them.
func arrive(controller *Controller, count int, now time.Time) (queue []*grant.Waiting, refused []grant.OverloadDecision) {
	for i := range count {
		request := newRequest(uint64(i+1), now)
		controller.Arrived(request, now)
		queue = append(queue, request)
	}
	return queue, controller.Review(queue, fullLane, now)
}

// TestFloodIsToldToReturn has 200 requests arrive at once. Those that the lane serves in time
// wait, the next ones have places at a distance of what the usual arrivals leave, and the
// others come back in the last part of the time that they can use.
func TestFloodIsToldToReturn(t *testing.T) {
	controller, now := newBusy(40)
	_, refused := arrive(controller, 200, now)
	usable := patience/usablePart - transit
	wantGap := seconds(1 / (slots/heldFor.Seconds() - controller.usualPerSecond()))
	var last time.Duration
	for _, decision := range refused {
		refusal := decision.Refusal
		if refusal.RetryAfter <= 0 || refusal.RetryAfter > usable {
			t.Fatalf("request %d can come back after %v, want at most %v", decision.Request.ID, refusal.RetryAfter, usable)
		}
		if refusal.Expected == 0 {
			continue
		}
		if gap := refusal.RetryAfter - last; last > 0 && (gap-wantGap).Abs() > wantGap/10 {
			t.Errorf("places are %v apart, want %v", gap, wantGap)
		}
		last = refusal.RetryAfter
	}
	counts := controller.TakeCounts()
	if waiting := 200 - len(refused); waiting < 15 || waiting > 30 {
		t.Errorf("%d requests wait, want what 100 a second serve in 0.3 s, with a margin", waiting)
	}
	all := int((usable-usable*earliestPart/latestPart)/wantGap) + 1
	if max(counts.Booked-all, all-counts.Booked) > 1 || counts.Booked+counts.Refused != len(refused) {
		t.Errorf("%d requests have places and %d have none, want the %d places in the last part of the %v that they can use", counts.Booked, counts.Refused, all, usable)
	}
}

// TestBurstOfShortRequestsWaits has a burst arrive after a quiet time at a lane whose requests hold
// a slot for much less than the objective: what it completed before says little of what it can.
func TestBurstOfShortRequestsWaits(t *testing.T) {
	controller, now := New(), start
	const held = 50 * time.Millisecond
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		controller.Arrived(&grant.Waiting{}, now)
		controller.Finished(held, now)
	}
	_, refused := arrive(controller, 300, now)
	if len(refused) > 0 {
		t.Errorf("%d of 300 requests were refused, though 100 slots serve 500 of 50 ms within the objective", len(refused))
	}
}

// TestLaneIsOverloadedWhileItRefuses has a late request wait for its answer, and then
// more than the lane serves.
func TestLaneIsOverloadedWhileItRefuses(t *testing.T) {
	controller, now := newBusy(40)
	late := newRequest(1, now)
	late.Deadline, late.InTime, late.LateOnly, late.Admitted = now.Add(-time.Second), false, true, true
	controller.Arrived(late, now)
	late.Again = true // it gets no place
	if refused := controller.Review([]*grant.Waiting{late}, fullLane, now); len(refused) > 0 || controller.Overloaded(now) {
		t.Errorf("%d requests refused, overloaded %t; want a late request to wait at a lane that is not overloaded", len(refused), controller.Overloaded(now))
	}
	if arrive(controller, 200, now); !controller.Overloaded(now) || controller.Overloaded(now.Add(2*overloadEnd)) {
		t.Error("the lane is not overloaded just while it refuses requests")
	}
}

// TestNothingIsRefusedOnNoKnowledge reviews requests at a lane that has just started, at one that is not
// full, and requests of nodes that do not tell when they end, or that may have run.
func TestNothingIsRefusedOnNoKnowledge(t *testing.T) {
	if _, refused := arrive(New(), 500, start); len(refused) > 0 {
		t.Errorf("%d requests were refused at a lane of unknown rate", len(refused))
	}
	for name, change := range map[string]func(*grant.Waiting){
		"of unknown end":      func(request *grant.Waiting) { request.End = time.Time{} },
		"that may have run":   func(request *grant.Waiting) { request.MayHaveRun = true },
		"that gets an engine": func(request *grant.Waiting) { request.Place = true },
	} {
		controller, now := newBusy(40)
		queue, _ := arrive(controller, 200, now)
		for _, request := range queue {
			change(request)
		}
		if refused := controller.Review(queue, fullLane, now.Add(time.Second)); len(refused) > 0 {
			t.Errorf("%d requests %s were refused", len(refused), name)
		}
	}
	controller, now := newBusy(40)
	queue, _ := arrive(controller, 200, now)
	if refused := controller.Review(queue, grant.LaneLoad{Slots: slots, Online: slots / 2}, now); len(refused) > 0 {
		t.Errorf("%d requests were refused at a lane with free slots", len(refused))
	}
}

// TestRequestsThatCannotStartAreRefused reviews requests whose time is over before a first
// token, or, late, before the end of an answer.
func TestRequestsThatCannotStartAreRefused(t *testing.T) {
	controller, now := newBusy(40)
	request := newRequest(1, now)
	request.End, request.FirstToken = now.Add(30*time.Millisecond), 40*time.Millisecond
	refused := controller.Review([]*grant.Waiting{request}, fullLane, now)
	if len(refused) != 1 || refused[0].Refusal.RetryAfter > 10*time.Millisecond {
		t.Errorf("got %+v, want a refusal with at most a third of the time left", refused)
	}
	late := newRequest(2, now)
	late.InTime, late.LateOnly, late.Admitted, late.End = false, true, true, now.Add(heldFor*9/10)
	if refused := controller.Review([]*grant.Waiting{late}, fullLane, now); len(refused) != 1 {
		t.Errorf("got %+v, want a refusal of a late request whose answer cannot be whole", refused)
	}
}

// TestLaneWithoutEnginesSendsBack reviews requests at a lane that has lost all engines: nobody
// is told a place that it may not have.
func TestLaneWithoutEnginesSendsBack(t *testing.T) {
	controller, now := newBusy(40)
	request := newRequest(1, now)
	controller.Arrived(request, now)
	refused := controller.Review([]*grant.Waiting{request}, grant.LaneLoad{Online: slots, Full: true}, now)
	if len(refused) != 1 || refused[0].Refusal.Expected != 0 || refused[0].Refusal.RetryAfter <= 0 {
		t.Errorf("got %+v, want a refusal with a time to come back and no place", refused)
	}
}

// TestReturningRequestFindsItsPlace has one request come back when told and one come early,
// while new ones fill the queue.
func TestReturningRequestFindsItsPlace(t *testing.T) {
	controller, now := newBusy(40)
	_, refused := arrive(controller, 60, now)
	punctual, early := refused[0], refused[1]
	now = now.Add(punctual.Refusal.RetryAfter)
	back, tooEarly := newRequest(punctual.Request.Content, now), newRequest(early.Request.Content, now)
	controller.Arrived(back, now)
	controller.Arrived(tooEarly, now)
	if !back.Returned || tooEarly.Returned {
		t.Fatalf("punctual request returned: %v, early one: %v, want true and false", back.Returned, tooEarly.Returned)
	}
	queue := []*grant.Waiting{back}
	for id := range uint64(60) {
		queue = append(queue, newRequest(1000+id, now))
	}
	queue = append(queue, tooEarly)
	for _, decision := range controller.Review(queue, fullLane, now) {
		if decision.Request == back {
			t.Errorf("a request that came back when told was sent away again")
		}
		if want := early.Refusal.RetryAfter - punctual.Refusal.RetryAfter; decision.Request == tooEarly && decision.Refusal.RetryAfter != want {
			t.Errorf("the early request was told %v, want the %v left until its place", decision.Refusal.RetryAfter, want)
		}
	}
}

// TestQueueThatGrewUnboundedIsCut has more requests wait than the lane serves until they end, as
// at a dispatcher that did not know its rate. Once it does, those that are late and cannot be served
// are refused.
func TestQueueThatGrewUnboundedIsCut(t *testing.T) {
	controller, now := newBusy(40)
	var queue []*grant.Waiting
	for id := range uint64(2000) {
		request := newRequest(id+1, now)
		request.InTime, request.Admitted = false, true
		queue = append(queue, request)
	}
	waiting := len(queue) - len(controller.Review(queue, fullLane, now))
	if most := (slots - 40) * int((patience-heldFor)/time.Second) / waitedRoomPart; waiting > most || waiting < most/2 {
		t.Errorf("%d late requests wait, want at most the %d that the lane serves beside the usual ones", waiting, most)
	}
}

// TestRanksAboveGoFirst has requests of a higher rank arrive at nearly the lane's rate. A lower
// rank is then let wait only for what they leave.
func TestRanksAboveGoFirst(t *testing.T) {
	controller, now := newBusy(90)
	low := newRequest(1, now)
	low.Rank = 1
	high := newRequest(2, now)
	if refused := controller.Review([]*grant.Waiting{high, low}, fullLane, now); len(refused) != 1 || refused[0].Request != low {
		t.Errorf("got %+v, want a refusal of the lower rank", refused)
	}
}

// TestReviewAgainstTheNaiveVersion compares one review with a naive one that serves the queue
// one by one. Whoever waits in time must get a slot in time; whoever is sent away must not
// have had one, and comes back within its usable time at a place of its own.
func TestReviewAgainstTheNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller, now := newBusy(rapid.IntRange(1, 2*slots).Draw(t, "usual"))
		var queue []*grant.Waiting
		for id := range uint64(rapid.IntRange(1, 150).Draw(t, "arrivals")) {
			request := newRequest(id+1, now)
			request.Deadline = now.Add(time.Duration(rapid.IntRange(-50, 500).Draw(t, "objective ms")) * time.Millisecond)
			request.End = now.Add(time.Duration(rapid.IntRange(600, 6000).Draw(t, "patience ms")) * time.Millisecond)
			request.InTime = request.Deadline.After(now)
			controller.Arrived(request, now)
			queue = append(queue, request)
		}
		refused := make(map[*grant.Waiting]grant.OverloadRefusal)
		for _, decision := range controller.Review(queue, fullLane, now) {
			refused[decision.Request] = decision.Refusal
		}
		perSecond := controller.newReview(fullLane, now).perSecond
		before, places := 0, make(map[time.Duration]bool)
		for _, request := range queue {
			served := float64(before+1)+deviations*math.Sqrt(float64(before)) <= perSecond*request.Deadline.Sub(now).Seconds()
			refusal, isRefused := refused[request]
			switch {
			case isRefused && served && request.InTime && !booksBefore(refused, request.Deadline.Sub(now)):
				t.Fatalf("request %d was refused with %d before it and %v left", request.ID, before, request.Deadline.Sub(now))
			case isRefused && (refusal.RetryAfter < 0 || refusal.RetryAfter > request.End.Sub(now)/usablePart):
				t.Fatalf("request %d was told %v with %v left", request.ID, refusal.RetryAfter, request.End.Sub(now))
			case isRefused && refusal.Expected > 0 && places[refusal.Expected]:
				t.Fatalf("two requests were told the place %v", refusal.Expected)
			case !isRefused && request.InTime && !served:
				t.Fatalf("request %d waits with %d before it and %v left", request.ID, before, request.Deadline.Sub(now))
			}
			places[refusal.Expected] = isRefused && refusal.Expected > 0
			if !isRefused && request.InTime {
				before++
			}
		}
	})
}

// booksBefore reports whether any place was booked before a time.
func booksBefore(refused map[*grant.Waiting]grant.OverloadRefusal, until time.Duration) bool {
	for _, refusal := range refused {
		if refusal.Expected > 0 && refusal.Expected <= until {
			return true
		}
	}
	return false
}

// TestToldMemoryIsBounded remembers more requests than it has room for.
func TestToldMemoryIsBounded(t *testing.T) {
	memory := newToldMemory()
	for content := range uint64(3 * maxTold) {
		memory.add(content, start)
	}
	if len(memory.until) > maxTold || len(memory.oldest) > maxTold {
		t.Errorf("%d requests are remembered, want at most %d", len(memory.until), maxTold)
	}
	if memory.holds(1, start) || !memory.holds(3*maxTold-1, start) {
		t.Errorf("the newest requests must be remembered, not the oldest")
	}
}

// BenchmarkReview reviews a queue of a lane that completes 2,000 requests a second, which is
// full and gets five times as many.
func BenchmarkReview(b *testing.B) {
	controller, now := New(), start
	for range 2000 {
		controller.Finished(heldFor, now)
	}
	load := grant.LaneLoad{Slots: 2000, Online: 2000, Full: true}
	var queue []*grant.Waiting
	for id := range uint64(500) {
		queue = append(queue, newRequest(id+1, now))
	}
	next := uint64(1000)
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		next++
		request := newRequest(next, now)
		controller.Arrived(request, now)
		refused := controller.Review(append(queue, request), load, now)
		if len(refused) == 0 {
			queue = append(queue[1:], request)
		}
	}
}

// TestReturnsAreSpreadEvenly spreads requests over an interval and counts them by tenths of it.
func TestReturnsAreSpreadEvenly(t *testing.T) {
	const requests, tenth = 1000, 100 * time.Millisecond
	var returns spread
	var counts [10]int
	for range requests {
		counts[(returns.next(time.Second, time.Second+10*tenth)-time.Second)/tenth]++
	}
	for i, count := range counts {
		if count < 90 || count > 110 {
			t.Errorf("%d of %d requests return in tenth %d, want 100", count, requests, i)
		}
	}
	if after := returns.next(time.Second, tenth); after != tenth {
		t.Errorf("a request returns after %v, want the latest time that it can use", after)
	}
}

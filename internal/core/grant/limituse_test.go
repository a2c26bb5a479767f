package grant

import (
	"math"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/quota"
)

// TestLateUseIsNotTakenForNew delivers messages late, as after a pause of the receiver, and out
// of order.
func TestLateUseIsNotTakenForNew(t *testing.T) {
	const limit = 600 * time.Millisecond
	sender, receiver := NewUseExchange(1, start), NewUseExchange(2, start)
	send := func(after time.Duration) LimitUse { return sender.message(quota.Use{Rest: 1}, start.Add(after)) }
	early, next, late := send(0), send(100*time.Millisecond), send(200*time.Millisecond)
	receiver.Record(early, start.Add(time.Millisecond))
	if !receiver.Record(late, start.Add(1200*time.Millisecond)) {
		t.Fatal("a newer message is refused")
	}
	if got := receiver.fresh(start.Add(1200*time.Millisecond), limit); len(got) > 0 {
		t.Errorf("a message that is a second late is fresh: %+v", got)
	}
	if receiver.Record(next, start.Add(1300*time.Millisecond)) {
		t.Error("an older message replaces a newer one")
	}
	receiver.Record(send(1300*time.Millisecond), start.Add(1302*time.Millisecond))
	if got := receiver.fresh(start.Add(1302*time.Millisecond), limit); len(got) != 1 || start.Add(1302*time.Millisecond).Sub(got[0].At) > 2*time.Millisecond {
		t.Errorf("a message that arrives in time is not fresh: %+v", got)
	}
	if got := receiver.fresh(start.Add(2*time.Second), limit); len(got) > 0 {
		t.Errorf("a message is fresh after 0.7 s: %+v", got)
	}
}

// TestUseAgesWhileTheMachineIsSuspended suspends the receiver's machine, during which its clock
// stands still.
func TestUseAgesWhileTheMachineIsSuspended(t *testing.T) {
	sender, receiver := NewUseExchange(1, start), NewUseExchange(2, start)
	receiver.Record(sender.message(quota.Use{Rest: 1}, start), start)
	receiver.AdjustForSuspension(time.Second)
	if got := receiver.fresh(start.Add(10*time.Millisecond), 600*time.Millisecond); len(got) > 0 {
		t.Errorf("a use from before the suspension is fresh: %+v", got)
	}
	receiver.Record(sender.message(quota.Use{Rest: 1}, start.Add(1100*time.Millisecond)), start.Add(100*time.Millisecond))
	if got := receiver.fresh(start.Add(100*time.Millisecond), 600*time.Millisecond); len(got) != 1 {
		t.Errorf("got %+v from after the suspension, want one", got)
	}
}

// TestClocksMayDrift has the sender's clock run slower by a tenth of a second in ten minutes.
func TestClocksMayDrift(t *testing.T) {
	sender, receiver := NewUseExchange(1, start), NewUseExchange(2, start)
	const drift = 1 - 0.1/600
	for at := time.Duration(0); at < 2*time.Hour; at += 250 * time.Millisecond {
		receiver.Record(sender.message(quota.Use{Rest: 1}, start.Add(time.Duration(float64(at)*drift))), start.Add(at))
		if len(receiver.fresh(start.Add(at), 20*time.Millisecond)) != 1 {
			t.Fatalf("a message that has just arrived is taken for old after %v", at)
		}
	}
}

// TestUseIsToldOnlyWhileNodesAreAttached checks when a dispatcher tells its use.
func TestUseIsToldOnlyWhileNodesAreAttached(t *testing.T) {
	d := NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
	d.KeepLimits(NewUseExchange(1, start))
	d.SetEngines(entries(1), start)
	d.SetLive(1)
	d.SetLimits(quota.Margin{Requests: 80}, map[uint64]quota.RateLimit{tenantA: {PerSecond: 4, Burst: 20}}, start)
	if _, due := d.TakeLimitUse(start.Add(time.Second)); due {
		t.Error("a dispatcher without nodes tells a use")
	}
	now := start.Add(2 * time.Second)
	d.ApplyState("n1", State{Life: 1, Sequence: 1, Attached: true}, now)
	if _, due := d.TakeLimitUse(now); !due {
		t.Error("a dispatcher with a node tells nothing")
	}
	now = now.Add(20 * time.Millisecond)
	if _, due := d.TakeLimitUse(now); due {
		t.Error("a use that has not changed is told again at once")
	}
	state := State{Life: 1, Sequence: 2, Attached: true}
	for id := range uint64(10) {
		state.Waiting = append(state.Waiting, Ask{ID: id + 1, Tenant: tenantA, AdmitOnly: true})
	}
	d.ApplyState("n1", state, now)
	if use, due := d.TakeLimitUse(now); !due || len(use.Use.Tenants) != 1 {
		t.Errorf("got %+v, %v after a large use", use, due)
	}
}

// TestUnusedTimeIsToldToOneDispatcher loses the replies of the first dispatcher, which may have
// counted the node. The next one must not be told the time until then again.
func TestUnusedTimeIsToldToOneDispatcher(t *testing.T) {
	requester := NewRequester(DefaultRequesterConfig(), 1, "z")
	requester.SetUnusedSince(start.Add(-time.Hour))
	requester.SetAttached(true, start)
	requester.SetRanking([]string{"n1", "n2"}, start)
	told := make(map[string]time.Duration)
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(time.Millisecond) {
		actions, _ := requester.Poll(now, nil)
		for _, send := range actions.Sends {
			if told[send.To] == 0 {
				told[send.To] = send.State.UnusedFor
			}
		}
	}
	if told["n1"] < time.Hour || told["n2"] == 0 || told["n2"] > 2*time.Second {
		t.Errorf("told the dispatchers of %v", told)
	}
}

// TestAllRepliesTellThatTheNodeIsCounted grants in a Tick. Its reply may be the only one to arrive.
func TestAllRepliesTellThatTheNodeIsCounted(t *testing.T) {
	d := NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
	d.KeepLimits(NewUseExchange(1, start))
	d.SetLive(1)
	d.SetLimits(quota.Margin{Requests: 80}, map[uint64]quota.RateLimit{tenantA: {PerSecond: 4, Burst: 20}}, start)
	state := State{Life: 1, Sequence: 1, Attached: true, UnusedFor: time.Hour, Waiting: []Ask{{ID: 1, Tenant: tenantA, OwnTokens: 1}}}
	d.ApplyState("n1", state, start)
	if reply := d.Replies()["n1"]; len(reply.Grants) != 0 || !reply.Counted {
		t.Fatalf("got %+v", reply)
	}
	d.SetEngines(entries(1), start)
	d.Tick(start.Add(10 * time.Millisecond))
	if reply := d.Replies()["n1"]; len(reply.Grants) != 1 || !reply.Counted {
		t.Errorf("got %+v, want a grant and that the node is counted", reply)
	}
}

// TestGrantOfALimitedTenantEndsTheUnusedTime receives a grant whose reply does not say that the node
// is counted.
func TestGrantOfALimitedTenantEndsTheUnusedTime(t *testing.T) {
	requester := NewRequester(DefaultRequesterConfig(), 1, "z")
	requester.SetUnusedSince(start.Add(-time.Hour))
	requester.SetAttached(true, start)
	requester.SetRanking([]string{"n1"}, start)
	requester.Wait(Ask{ID: 1, Tenant: tenantA}, Deadlines{Objective: start.Add(time.Second)}, start)
	requester.Poll(start, nil)
	requester.ApplyReply("n1", Reply{Life: 1, Sequence: 1, Grants: []Grant{{ID: 1}}}, start)
	if got := requester.nextState(start.Add(time.Second), nil).UnusedFor; got > time.Second {
		t.Errorf("told an unused time of %v after a grant", got)
	}
}

// TestOnlyAReturnedAdmissionIsCountedBack uses up a limit by admissions, of which one ends in
// different ways. Only one that its node returns may be admitted again.
func TestOnlyAReturnedAdmissionIsCountedBack(t *testing.T) {
	const burst = 2
	for _, test := range []struct {
		name  string
		end   func(requester *Requester, granted Grant)
		after time.Duration
		want  float64
	}{
		{"kept", func(*Requester, Grant) {}, 0, 0},
		{"timed out", func(*Requester, Grant) {}, DefaultDispatcherConfig().GrantTimeout + time.Millisecond, 0},
		{"received again", func(r *Requester, granted Grant) { r.Decline(granted, start) }, 0, 0},
		{"returned", func(r *Requester, granted Grant) { r.ReturnAdmission(granted, start) }, 0, 1},
		{"returned twice", func(r *Requester, granted Grant) {
			r.ReturnAdmission(granted, start)
			r.ReturnAdmission(granted, start)
		}, 0, 1},
		{"returned late", func(r *Requester, granted Grant) { r.ReturnAdmission(granted, start) }, DefaultDispatcherConfig().GrantTimeout + time.Millisecond, 0},
	} {
		d := NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
		d.KeepLimits(NewUseExchange(1, start))
		d.SetLive(1)
		d.SetLimits(quota.Margin{}, map[uint64]quota.RateLimit{tenantA: {PerSecond: 0.01, Burst: burst}}, start)
		requester := NewRequester(DefaultRequesterConfig(), 1, "z")
		requester.SetUnusedSince(start.Add(-time.Hour))
		requester.SetAttached(true, start)
		requester.SetRanking([]string{"n0"}, start)
		var granted Grant
		for id := range uint64(burst) {
			requester.Wait(Ask{ID: id + 1, Tenant: tenantA, AdmitOnly: true}, Deadlines{Objective: start.Add(time.Second)}, start)
			d.ApplyState("n1", requester.nextState(start, nil), start)
			if grants := requester.ApplyReply("n0", d.Replies()["n1"], start).Grants; len(grants) > 0 {
				granted = grants[0]
			}
		}
		d.Tick(start.Add(test.after))
		test.end(requester, granted)
		d.ApplyState("n1", requester.nextState(start, nil), start.Add(test.after))
		if got := math.Floor(d.limits.Reserve(tenantA).Left); granted.ID != burst || got != test.want {
			t.Errorf("%s: %v requests are left after grant %d, want %v", test.name, got, granted.ID, test.want)
		}
	}
}

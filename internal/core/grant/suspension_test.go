package grant

import (
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// TestSuspendedDispatcherExpiresNodesThatLeft suspends a dispatcher's machine. Its nodes
// have switched to another dispatcher meanwhile, so their requests must neither hold slots
// nor count for limits.
func TestSuspendedDispatcherExpiresNodesThatLeft(t *testing.T) {
	for _, test := range []struct {
		gap      time.Duration
		inFlight int
		attached int
	}{
		{gap: 100 * time.Millisecond, inFlight: 1, attached: 1},
		{gap: time.Second, inFlight: 0, attached: 0},
		{gap: 30 * time.Second, inFlight: 0, attached: 0},
	} {
		d := newSuspectDispatcher(1)
		d.state.Attached = true
		d.state.Held = []Held{{ID: 1, Engine: EngineHash(enginechoice.Incarnation{ID: "e0"})}}
		d.exchange()
		d.AdjustForSuspension(test.gap, d.now.Add(10*time.Millisecond))
		inFlight, _ := d.Counts()
		if attached := d.Attached(d.now); inFlight != test.inFlight || attached != test.attached {
			t.Errorf("suspended for %v: %d requests in flight and %d nodes attached, want %d and %d", test.gap, inFlight, attached, test.inFlight, test.attached)
		}
	}
}

// TestGrantFromBeforeASuspensionIsGivenBack has a grant arrive after the node's machine was
// suspended. The dispatcher has given the slot to another request, so the node must return
// the grant.
func TestGrantFromBeforeASuspensionIsGivenBack(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRequester(DefaultRequesterConfig(), 1, "z")
	r.SetRanking([]string{"d"}, now)
	r.Wait(Ask{ID: 5}, Deadlines{Objective: now.Add(time.Second)}, now)
	actions, _ := r.Poll(now, nil)
	if len(actions.Sends) != 1 {
		t.Fatalf("got messages %+v, want one", actions.Sends)
	}
	r.AdjustForSuspension()
	old := Reply{Life: 1, Sequence: actions.Sends[0].State.Sequence, Grants: []Grant{{ID: 5, Engine: 9}}}
	if outcome := r.ApplyReply("d", old, now); len(outcome.Grants) > 0 || !r.IsWaiting(5) {
		t.Errorf("got %+v for a reply from before the suspension, want no grant and the request still waiting", outcome)
	}
	actions, _ = r.Poll(now.Add(DefaultRequesterConfig().SendDelay), nil)
	if len(actions.Sends) != 1 || len(actions.Sends[0].State.Ended) != 1 || !actions.Sends[0].State.Ended[0].Unused || len(actions.Sends[0].State.Waiting) != 1 {
		t.Fatalf("got messages %+v, want one that returns the grant and asks again", actions.Sends)
	}
	fresh := Reply{Life: 1, Sequence: actions.Sends[0].State.Sequence, Grants: []Grant{{ID: 5, Engine: 9}}}
	if outcome := r.ApplyReply("d", fresh, now); len(outcome.Grants) != 1 {
		t.Errorf("got %+v for a reply from after the suspension, want one grant", outcome)
	}
}

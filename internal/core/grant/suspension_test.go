package grant

import (
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// TestDispatcherThatWasSuspendedForgetsWhoTurnedAway: its nodes have another dispatcher by now,
// and their work must neither hold slots nor count for limits.
func TestDispatcherThatWasSuspendedForgetsWhoTurnedAway(t *testing.T) {
	for _, test := range []struct {
		gap      time.Duration
		underWay int
		attached int
	}{
		{gap: 100 * time.Millisecond, underWay: 1, attached: 1},
		{gap: time.Second, underWay: 0, attached: 0},
		{gap: 30 * time.Second, underWay: 0, attached: 0},
	} {
		d := newSuspectDispatcher(1)
		d.state.Attached = true
		d.state.Held = []Held{{ID: 1, Engine: EngineHash(enginechoice.Incarnation{ID: "e0"})}}
		d.tell()
		d.Suspended(test.gap, d.now.Add(10*time.Millisecond))
		underWay, _ := d.Counts()
		if attached := d.Attached(d.now); underWay != test.underWay || attached != test.attached {
			t.Errorf("%v: %d under way and %d attached, want %d and %d", test.gap, underWay, attached, test.underWay, test.attached)
		}
	}
}

// TestGrantFromBeforeASuspensionIsGivenBack: its dispatcher has given the slot to another.
func TestGrantFromBeforeASuspensionIsGivenBack(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRequester(DefaultRequesterConfig(), 1, "z")
	r.SetRanking([]string{"d"}, now)
	r.Wait(Ask{ID: 5}, now.Add(time.Second), now)
	due, _ := r.Poll(now, nil)
	if len(due.Sends) != 1 {
		t.Fatalf("sends %+v", due.Sends)
	}
	r.Suspended()
	old := Reply{Life: 1, Sequence: due.Sends[0].State.Sequence, Grants: []Grant{{ID: 5, Engine: 9}}}
	if heard := r.HearReply("d", old, now); len(heard.Grants) > 0 || !r.Waits(5) {
		t.Errorf("heard %+v", heard)
	}
	due, _ = r.Poll(now.Add(DefaultRequesterConfig().SoonAfter), nil)
	if len(due.Sends) != 1 || len(due.Sends[0].State.Ended) != 1 || !due.Sends[0].State.Ended[0].Unused || len(due.Sends[0].State.Waiting) != 1 {
		t.Fatalf("sends %+v", due.Sends)
	}
	fresh := Reply{Life: 1, Sequence: due.Sends[0].State.Sequence, Grants: []Grant{{ID: 5, Engine: 9}}}
	if heard := r.HearReply("d", fresh, now); len(heard.Grants) != 1 {
		t.Errorf("heard %+v", heard)
	}
}

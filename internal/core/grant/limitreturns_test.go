package grant

import (
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/quota"
)

// limitedDispatcher is a dispatcher with one node, which only asks for admission.
type limitedDispatcher struct {
	*Dispatcher
	now   time.Time
	state State
	id    uint64
}

// newLimitedDispatcher returns a dispatcher whose tenant may start ten requests a second and
// has none left.
func newLimitedDispatcher() *limitedDispatcher {
	d := &limitedDispatcher{Dispatcher: NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start), now: start, state: State{Life: 1, Attached: true}}
	d.KeepLimits(NewUseExchange(1, start))
	d.SetEngines(entries(1), start)
	d.SetLive(1)
	d.SetLimits(quota.Margin{}, map[uint64]quota.RateLimit{tenantA: {PerSecond: 10, Burst: 10}}, start)
	d.apply()
	return d
}

// advance lets a time go by.
func (d *limitedDispatcher) advance(span time.Duration) {
	for end := d.now.Add(span); d.now.Before(end); {
		d.now = d.now.Add(step)
		d.Tick(d.now)
		if d.now.Sub(start)%RefreshInterval == 0 {
			d.apply()
		}
	}
}

func (d *limitedDispatcher) apply(asks ...Ask) Reply {
	d.state.Sequence++
	d.state.Waiting = asks
	d.ApplyState("n1", d.state, d.now)
	return d.Replies()["n1"]
}

// ask asks for a content whose client gives up in a time, and returns when it may come back.
func (d *limitedDispatcher) ask(content uint64, endsIn time.Duration) (admitted bool, retryAfter time.Duration) {
	d.id++
	reply := d.apply(Ask{ID: d.id, Tenant: tenantA, AdmitOnly: true, Content: content, EndsIn: endsIn})
	if len(reply.Refused) == 1 {
		return false, reply.Refused[0].Verdict.RetryAfter
	}
	return len(reply.Grants) == 1, 0
}

// TestEachRefusedRequestGetsATokenOfItsOwn refuses several requests and has them come back when
// told, with new ones between.
func TestEachRefusedRequestGetsATokenOfItsOwn(t *testing.T) {
	d := newLimitedDispatcher()
	var back []time.Duration
	for content := range uint64(5) {
		admitted, after := d.ask(content+1, time.Minute)
		if want := time.Duration(content+1) * 100 * time.Millisecond; admitted || (after-want).Abs() > time.Millisecond {
			t.Errorf("request %d: admitted %v, told %v, want %v", content, admitted, after, want)
		}
		back = append(back, after)
	}
	began := d.now
	for i, after := range back {
		d.advance(began.Add(after + 20*time.Millisecond).Sub(d.now))
		if admitted, _ := d.ask(100+uint64(i), time.Minute); admitted {
			t.Errorf("a new request got the token that is kept for request %d", i)
		}
		if admitted, again := d.ask(uint64(i)+1, time.Minute); !admitted {
			t.Errorf("request %d came back when told and was told %v", i, again)
		}
	}
}

// TestWhoComesEarlyGainsNothing has a request come back before its time.
func TestWhoComesEarlyGainsNothing(t *testing.T) {
	d := newLimitedDispatcher()
	d.ask(1, time.Minute)
	_, second := d.ask(2, time.Minute)
	d.advance(50 * time.Millisecond)
	if admitted, again := d.ask(2, time.Minute); admitted || (again-(second-50*time.Millisecond)).Abs() > time.Millisecond {
		t.Errorf("admitted %v and told %v; want the same place, in %v", admitted, again, second-50*time.Millisecond)
	}
}

// TestPlacesOfATenantThatLeavesAreForgotten books places for a tenant that sends nothing more.
func TestPlacesOfATenantThatLeavesAreForgotten(t *testing.T) {
	d := newLimitedDispatcher()
	for content := range uint64(20) {
		d.ask(content+1, time.Minute)
	}
	if booked := d.limitReturns.byTenant[tenantA].Len(); booked != 20 {
		t.Errorf("%d places are booked, want 20", booked)
	}
	d.advance(2*time.Second + returnKeptFor + expireInterval)
	if kept := len(d.limitReturns.byTenant); kept > 0 {
		t.Errorf("%d tenants have places, want none", kept)
	}
}

// TestMissedPlaceIsGivenToOthers has a request come back too late.
func TestMissedPlaceIsGivenToOthers(t *testing.T) {
	d := newLimitedDispatcher()
	_, after := d.ask(1, time.Minute)
	d.advance(after + returnKeptFor + 10*time.Millisecond)
	if admitted, _ := d.ask(2, time.Minute); !admitted {
		t.Error("a new request did not get the token of a place that was missed")
	}
}

// TestWhoGetsNoPlaceInTimeIsToldSo fills the time that a client has left.
func TestWhoGetsNoPlaceInTimeIsToldSo(t *testing.T) {
	d := newLimitedDispatcher()
	const endsIn = 900 * time.Millisecond
	told := make(map[time.Duration]int)
	for content := range uint64(6) {
		_, after := d.ask(content+1, endsIn)
		if content < 3 && after > endsIn/returnTimeDivisor+time.Millisecond {
			t.Errorf("request %d is told %v, beyond a third of its time", content, after)
		}
		if content >= 3 && after <= endsIn/returnTimeDivisor {
			t.Errorf("request %d is told %v, where no token is left", content, after)
		}
		told[after.Round(time.Millisecond)]++
	}
	if told[100*time.Millisecond] != 1 || told[200*time.Millisecond] != 1 || told[300*time.Millisecond] != 1 {
		t.Errorf("told %v, want one place a token", told)
	}
}

// TestReturnsAreServed sends three times the limit from callers that come back when told, once
// each. Nearly all that got a place must be served, and the limit used up.
func TestReturnsAreServed(t *testing.T) {
	d := newLimitedDispatcher()
	d.advance(2 * time.Second)
	type comeback struct {
		at      time.Time
		content uint64
	}
	var waiting []comeback
	content, placed, served, admitted := uint64(0), 0, 0, 0
	began := d.now
	for d.now.Sub(began) < 20*time.Second {
		d.advance(33 * time.Millisecond)
		content++
		const endsIn = 3 * time.Second
		if ok, after := d.ask(content, endsIn); ok {
			admitted++
		} else if after <= endsIn/returnTimeDivisor {
			placed++
			waiting = append(waiting, comeback{d.now.Add(after), content})
		}
		var later []comeback
		for _, back := range waiting {
			if d.now.Before(back.at) {
				later = append(later, back)
				continue
			}
			if ok, _ := d.ask(back.content, endsIn); ok {
				served++
				admitted++
			}
		}
		waiting = later
	}
	if came := placed - len(waiting); served*100 < came*95 {
		t.Errorf("%d of %d that came back when told were served", served, came)
	}
	if admitted < 195 {
		t.Errorf("%d requests admitted in 20 s, of 210 that the limit allows", admitted)
	}
}

package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/identity"
	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

const tick = 50 * time.Millisecond

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// centralLimiter is the reference model: one limiter that decides on every request at once.
type centralLimiter struct {
	level float64
	at    time.Time
}

func (c *centralLimiter) admit(now time.Time, limit, cost float64, p Parameters) bool {
	c.level = min(c.level+now.Sub(c.at).Seconds()*limit, limit*p.Burst.Seconds())
	c.at = now
	if c.level < min(cost, limit*p.Burst.Seconds()) {
		return false
	}
	c.level -= cost
	return true
}

// rateFleet simulates meters and lenders that exchange requests and loans over a network
// with delay and loss, where nodes may disagree on the owner.
type rateFleet struct {
	p            Parameters
	random       *rand.Rand
	limit        float64
	loss         float64
	delay        time.Duration
	meters       []RateMeter
	lenders      map[int]*RateLender
	owners       []int // by node: the owner in its view
	pending      []time.Time
	inTransit    []rateMessage
	admits       []float64 // net cost admitted in each tick
	actingOwners []int     // number of nodes that acted as owner in each tick
	silent       bool
}

type rateMessage struct {
	arrivesAt time.Time
	from, to  int
	ask       *CreditRequest
	loan      *Loan
}

func newRateFleet(seed uint64, nodes int, limit float64, loss float64, delay time.Duration) *rateFleet {
	f := &rateFleet{
		p: DefaultParameters(), random: rand.New(rand.NewPCG(seed, 7)), limit: limit, loss: loss, delay: delay,
		lenders: map[int]*RateLender{}, owners: make([]int, nodes), pending: make([]time.Time, nodes),
	}
	for range nodes {
		f.meters = append(f.meters, NewRateMeter(epoch, epoch, f.share(), f.p))
	}
	return f
}

func (f *rateFleet) share() Share { return Share{Limit: f.limit, Nodes: len(f.owners)} }

func (f *rateFleet) send(now time.Time, message rateMessage) {
	if message.from != message.to && f.random.Float64() < f.loss {
		return
	}
	message.arrivesAt = now
	if message.from != message.to {
		message.arrivesAt = now.Add(time.Duration(f.random.Float64() * float64(f.delay)))
	}
	f.inTransit = append(f.inTransit, message)
}

// step runs one tick: it delivers messages, then handles requests with these costs by node.
func (f *rateFleet) step(now time.Time, requests map[int][]float64) {
	f.deliver(now)
	admitted := 0.0
	for node := range f.meters {
		m := &f.meters[node]
		m.Advance(now, f.share(), f.p)
		if !f.pending[node].IsZero() && now.Sub(f.pending[node]) > 500*time.Millisecond {
			f.pending[node] = time.Time{}
			m.OwnerUnanswered()
			f.silent = true
		}
		for _, cost := range requests[node] {
			m.RecordDemand(cost)
			if m.CanAdmit(cost) {
				m.Spend(cost)
				admitted += cost
				continue
			}
			if f.pending[node].IsZero() && m.RetryAfter(now) == 0 {
				ask := m.Ask(cost)
				f.pending[node] = now
				f.send(now, rateMessage{from: node, to: f.owners[node], ask: &ask})
			}
		}
	}
	f.deliver(now)
	acting := 0
	for node, owner := range f.owners {
		if node == owner {
			acting++
		}
	}
	f.admits, f.actingOwners = append(f.admits, admitted), append(f.actingOwners, acting)
}

func (f *rateFleet) deliver(now time.Time) {
	var later []rateMessage
	sent := f.inTransit
	f.inTransit = nil
	for _, l := range sent {
		switch {
		case l.arrivesAt.After(now):
			later = append(later, l)
		case l.ask != nil && f.owners[l.to] == l.to:
			lender := f.lenders[l.to]
			if lender == nil {
				fresh := NewRateLender(now)
				lender = &fresh
				f.lenders[l.to] = lender
			}
			loan := lender.Lend(now, f.limit, l.ask.Need, l.ask.Want, f.p)
			f.send(now, rateMessage{from: l.to, to: l.from, loan: &loan})
		case l.loan != nil:
			f.pending[l.to] = time.Time{}
			f.meters[l.to].Receive(now, *l.loan, f.p)
		}
	}
	f.inTransit = append(f.inTransit, later...)
}

// setOwner changes the owner in a node's view. A node that is no longer owner in its own view
// drops its lender.
func (f *rateFleet) setOwner(node, owner int) {
	f.owners[node] = owner
	if owner != node {
		delete(f.lenders, node)
	}
}

// check compares the admitted cost of every window with the bound.
func (f *rateFleet) check(t *rapid.T, largest float64) {
	expiry := int(f.p.Expiry / tick)
	for start := range f.admits {
		sum, owners := 0.0, 1
		for before := max(0, start-expiry); before < start; before++ {
			owners = max(owners, f.actingOwners[before])
		}
		for end := start; end < len(f.admits); end++ {
			sum += f.admits[end]
			owners = max(owners, f.actingOwners[end])
			window := time.Duration(end-start+1) * tick
			bound := f.p.RateBound(f.limit, owners, window, largest)
			if f.silent {
				bound = f.p.SilentRateBound(f.limit, owners, window, largest)
			}
			if sum > bound {
				t.Fatalf("%.0f admitted in %s at a limit of %.0f with %d owners, bound %.0f", sum, window, f.limit, owners, bound)
			}
		}
	}
}

func TestRateNeverExceedsItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 12).Draw(t, "nodes")
		limit := rapid.SampledFrom([]float64{1, 5, 50, 400}).Draw(t, "limit")
		loss := rapid.SampledFrom([]float64{0, 0.2, 0.9}).Draw(t, "loss")
		delay := rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, 2 * time.Second}).Draw(t, "delay")
		f := newRateFleet(rapid.Uint64().Draw(t, "seed"), nodes, limit, loss, delay)
		changes := rapid.Bool().Draw(t, "owner changes")
		largest := 1 + 3*f.random.Float64()
		overload := 0.2 + 4*f.random.Float64()
		for at := range 400 {
			requests := map[int][]float64{}
			for range int(overload*limit*tick.Seconds()) + f.random.IntN(2) {
				node := int(float64(nodes) * f.random.Float64() * f.random.Float64())
				requests[node] = append(requests[node], 1+(largest-1)*f.random.Float64())
			}
			if changes && f.random.IntN(40) == 0 {
				owner := f.random.IntN(nodes)
				for node := range nodes {
					if f.random.IntN(3) > 0 {
						f.setOwner(node, owner)
					}
				}
			}
			f.step(epoch.Add(time.Duration(at+1)*tick), requests)
		}
		f.check(t, largest)
	})
}

func TestBorrowingAdmitsNearlyWhatOneCentralLimiterWould(t *testing.T) {
	for _, nodes := range []int{3, 18, 100} {
		for _, skewed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d nodes skewed %v", nodes, skewed), func(t *testing.T) {
				f := newRateFleet(3, nodes, 200, 0, 20*time.Millisecond)
				reference := centralLimiter{at: epoch}
				fleet, one, after := 0.0, 0.0, 100
				for at := range 1300 {
					now := epoch.Add(time.Duration(at+1) * tick)
					requests := map[int][]float64{}
					for range 20 { // twice the limit
						node := f.random.IntN(nodes)
						if skewed {
							node = f.random.IntN(max(1, nodes/10))
						}
						requests[node] = append(requests[node], 1)
						if reference.admit(now, f.limit, 1, f.p) && at >= after {
							one++
						}
					}
					f.step(now, requests)
					if at >= after {
						fleet += f.admits[at]
					}
				}
				ratio := fleet / one
				t.Logf("admitted %.0f, central %.0f, ratio %.3f", fleet, one, ratio)
				if ratio < 0.95 || ratio > 1+f.p.StandingPart+0.1 {
					t.Errorf("ratio %.3f", ratio)
				}
			})
		}
	}
}

// permitFleet simulates borrowers and one owner over a network that loses, delays, repeats
// and reorders messages.
type permitFleet struct {
	p       Parameters
	random  *rand.Rand
	limit   int
	now     time.Time
	lender  PermitLender
	meters  []PermitMeter
	asks    []permitMessage
	replies []permitMessage
}

type permitMessage struct {
	node, total int
	ask         PermitRequest
}

// pick returns one of the last three messages, or with a probability of 1/5 any of them.
func (f *permitFleet) pick(messages []permitMessage) permitMessage {
	recent := min(len(messages), 3)
	if f.random.IntN(5) == 0 {
		recent = len(messages)
	}
	return messages[len(messages)-1-f.random.IntN(recent)]
}

func (f *permitFleet) step() {
	node := f.random.IntN(len(f.meters))
	m := &f.meters[node]
	switch event := f.random.IntN(20); {
	case event < 5:
		f.asks = append(f.asks, permitMessage{node: node, ask: m.Ask(f.now, f.random.IntN(f.limit+1))})
	case event < 10 && len(f.asks) > 0:
		mail := f.pick(f.asks)
		if total, ok := f.lender.Lend(f.now, identity.NodeID(fmt.Sprint(mail.node)), f.limit, mail.ask, f.p); ok {
			mail.total = total
			f.replies = append(f.replies, mail)
		}
	case event < 14 && len(f.replies) > 0:
		mail := f.pick(f.replies)
		f.meters[mail.node].Receive(f.now, mail.ask.Sequence, mail.total, time.Second)
	case event < 16 && m.CanAdmit(f.now, f.p):
		m.Spend()
	case event < 18 && m.Running() > 0:
		m.Release()
	case event == 18:
		f.now = f.now.Add(time.Duration(f.random.IntN(6000)) * time.Millisecond)
	}
}

func TestUsablePermitsNeverExceedTheLimitOfOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &permitFleet{
			p: DefaultParameters(), random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3)), now: epoch,
			limit: rapid.IntRange(1, 40).Draw(t, "limit"), lender: NewPermitLender(epoch),
			meters: make([]PermitMeter, rapid.IntRange(2, 5).Draw(t, "nodes")),
		}
		for range 2000 {
			f.step()
			usable := 0
			for i := range f.meters {
				usable += f.meters[i].Usable(f.now, f.p)
			}
			if usable > f.limit {
				t.Fatalf("%d permits usable of %d", usable, f.limit)
			}
		}
	})
}

func TestPermitsAreSharedFairlyWhenTheyAreShort(t *testing.T) {
	p := DefaultParameters()
	lender := NewPermitLender(epoch)
	meters := make([]PermitMeter, 4)
	wants := []int{30, 30, 2, 30}
	now := epoch
	for range 6 {
		for i := range meters {
			now = now.Add(tick)
			ask := meters[i].Ask(now, max(0, wants[i]-meters[i].Running()))
			total, _ := lender.Lend(now, identity.NodeID(fmt.Sprint(i)), 32, ask, p)
			meters[i].Receive(now, ask.Sequence, total, time.Second)
		}
	}
	for i, want := range []int{10, 10, 2, 10} {
		if meters[i].Held() != want {
			t.Errorf("borrower %d holds %d, want %d", i, meters[i].Held(), want)
		}
	}
}

func TestPermitsOfASilentBorrowerDecayAndComeBackToTheOwner(t *testing.T) {
	p := DefaultParameters()
	lender := NewPermitLender(epoch)
	var silent, other PermitMeter
	ask := silent.Ask(epoch, 16)
	total, _ := lender.Lend(epoch, "a", 16, ask, p)
	silent.Receive(epoch, ask.Sequence, total, 0)
	for _, step := range []struct {
		after time.Duration
		left  int
	}{{p.Lease, 16}, {p.Lease + p.HalfLife, 8}, {p.Lease + 2*p.HalfLife, 4}, {p.Lease + 10*p.HalfLife, 0}} {
		now := epoch.Add(step.after)
		if got := silent.Usable(now, p); got != step.left {
			t.Errorf("after %s: %d usable, want %d", step.after, got, step.left)
		}
		ask := other.Ask(now, 16)
		total, _ := lender.Lend(now, "b", 16, ask, p)
		other.Receive(now, ask.Sequence, total, 0)
		if other.Held() > 16-step.left {
			t.Errorf("after %s: the other borrower holds %d while the silent one may use %d", step.after, other.Held(), step.left)
		}
	}
}

func TestDebtOfUnderestimatedTokensIsPaidFirst(t *testing.T) {
	p := DefaultParameters()
	m := NewRateMeter(epoch, epoch, Share{Limit: 100, Nodes: 1}, p)
	m.Receive(epoch, Loan{Credits: 100}, p)
	m.Spend(100)
	m.Settle(100, 150)
	if ask := m.Ask(10); ask.Need != 60 {
		t.Errorf("asks for %v credits, want 60: the debt of 50 and the cost of 10", ask.Need)
	}
	m.Receive(epoch, Loan{Credits: 60}, p)
	if !m.CanAdmit(10) || m.CanAdmit(11) {
		t.Error("the debt was not paid first")
	}
}

func TestCreditsExpire(t *testing.T) {
	p := DefaultParameters()
	share := Share{Limit: 10, Nodes: 100}
	for _, turn := range []time.Duration{tick, p.Expiry / 4, p.Expiry / 2, 2 * p.Expiry} {
		m := NewRateMeter(epoch, epoch, share, p)
		m.Receive(epoch, Loan{Credits: 100}, p)
		for now := epoch; now.Before(epoch.Add(p.Expiry)); now = now.Add(turn) {
			m.Advance(now, share, p)
		}
		m.Advance(epoch.Add(p.Expiry), share, p)
		if m.CanAdmit(1) {
			t.Errorf("advanced every %s: credits are usable after their expiry", turn)
		}
	}
}

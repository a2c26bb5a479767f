package grant

import (
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/quota"
)

// interruption is a time in which a dispatcher and its nodes do not hear each other.
type interruption struct {
	name       string
	begin, end func(n *keptNetwork)
}

func interruptions() []interruption {
	heal := func(n *keptNetwork) { clear(n.blocked) }
	return []interruption{
		{"paused", func(n *keptNetwork) { n.pausedNodes[n.nodes[0]] = true }, func(n *keptNetwork) { n.pausedNodes[n.nodes[0]] = false }},
		{"paused, and slow afterwards", func(n *keptNetwork) { n.pausedNodes[n.nodes[0]] = true }, func(n *keptNetwork) {
			for range 4 { // its nodes turn away and back
				n.pausedNodes[n.nodes[0]] = false
				n.load(3*step, 250)
				n.pausedNodes[n.nodes[0]] = true
				n.load(35*step, 250)
			}
			n.pausedNodes[n.nodes[0]] = false
		}},
		{"cut off", func(n *keptNetwork) { n.cut(n.nodes[0], true, true) }, heal},
		{"sends nothing", func(n *keptNetwork) { n.cut(n.nodes[0], true, false) }, heal},
		{"receives nothing", func(n *keptNetwork) { n.cut(n.nodes[0], false, true) }, heal},
	}
}

// boundBuffers has a paused node lose the messages that its socket buffer has no room for.
func (n *keptNetwork) boundBuffers() {
	const bufferedDatagrams = 100
	blocked := n.lost
	n.lost = func(from, to string) bool {
		buffered := 0
		for _, message := range n.queue {
			if message.to == to {
				buffered++
			}
		}
		return blocked(from, to) || (buffered >= bufferedDatagrams && n.isPaused(n.node(to)))
	}
}

// burst has the tenant send a burst and more at one node, and a burst at all others together.
func (n *keptNetwork) burst(first *simNode) {
	size := int(n.limit.Burst)
	for i := range size * 11 / 10 {
		for _, node := range n.nodes {
			if node == first || i < size/5 {
				n.askOfTenant(node)
			}
		}
		if i%4 == 0 {
			n.load(step, 0)
		}
	}
}

// TestBurstIsAdmittedOnceWhileTheDispatcherIsInterrupted guards against a burst that two dispatchers
// admit: the first does not notice that its nodes have turned to the next one, because it is paused, or
// cut off in one direction or both, for less than AttachmentTimeout.
func TestBurstIsAdmittedOnceWhileTheDispatcherIsInterrupted(t *testing.T) {
	t.Parallel()
	for _, kind := range interruptions() {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			for _, length := range []time.Duration{60 * time.Millisecond, 250 * time.Millisecond, 380 * time.Millisecond, 800 * time.Millisecond} {
				for seed := range uint64(2) {
					n := newKeptNetwork(8, quota.RateLimit{PerSecond: 200, Burst: 200}, seed)
					n.boundBuffers()
					n.load(time.Second, 20)
					n.load(3*time.Second, 0)
					kind.begin(n)
					until := n.now.Add(length)
					n.burst(n.nodes[0])
					n.load(max(until.Sub(n.now), 0), 250)
					kind.end(n)
					n.load(5500*time.Millisecond, 250)
					if ran := maxWithin(n.startTimes, testMargin.Window); float64(ran) > n.bound() {
						t.Errorf("for %v, seed %d: %d requests started in a window, want at most %.0f", length, seed, ran, n.bound())
					}
				}
			}
		})
	}
}

// burstMargin is a quarter of the margin of the limit of attachedDispatcher, in requests.
const burstMargin = 35

// attachedDispatcher returns a dispatcher of a limit with a burst of 200 to which eight nodes are attached,
// with full buckets.
func attachedDispatcher() (d *Dispatcher, now time.Time) {
	d = NewDispatcher(DefaultDispatcherConfig(), lane, "n0", start)
	d.KeepLimits(NewUseExchange(100, start))
	d.SetLive(8)
	d.SetLimits(testMargin, map[uint64]quota.RateLimit{tenantA: {PerSecond: 200, Burst: 200}}, start)
	now = start
	for sequence := range uint64(150) {
		for node := range uint64(8) {
			d.ApplyState(nodeAddress(node), State{Life: node + 1, Sequence: sequence + 1, Attached: true}, now)
		}
		now = now.Add(10 * time.Millisecond)
		d.Tick(now)
	}
	d.Replies()
	return d, now
}

func nodeAddress(node uint64) string { return "n" + string(rune('0'+node)) }

// askAt has a node ask for the admission of some requests of the tenant, and returns the number of those
// that are granted at once.
func askAt(d *Dispatcher, node, sequence uint64, count int, now time.Time) int {
	state := State{Life: node + 1, Sequence: sequence, Attached: true}
	for id := range uint64(count) {
		state.Waiting = append(state.Waiting, Ask{ID: sequence<<16 + id, Tenant: tenantA, AdmitOnly: true})
	}
	d.ApplyState(nodeAddress(node), state, now)
	return len(d.Replies()[nodeAddress(node)].Grants)
}

// answerAll answers the due question for some nodes.
func answerAll(d *Dispatcher, nodes uint64, now time.Time) {
	_, question := d.AttachmentQuestions(now)
	for node := range nodes {
		d.ApplyAttachment(nodeAddress(node), AttachmentAnswer{Life: node + 1, Asked: question.Asked, Attached: true, For: time.Minute}, now)
	}
}

// TestNodesThatDoNotAnswerAreCountedAsBefore guards against the loss of a burst beside nodes of an earlier
// build, which answer no questions.
func TestNodesThatDoNotAnswerAreCountedAsBefore(t *testing.T) {
	d, now := attachedDispatcher()
	if granted := askAt(d, 0, 1000, 200, now); granted != 200 {
		t.Errorf("%d requests of a burst of 200 were admitted", granted)
	}
}

// TestBurstWaitsForTheAnswersOfTheNodes guards against a burst that is refused, or waits longer than for
// the answers, while all nodes are attached.
func TestBurstWaitsForTheAnswersOfTheNodes(t *testing.T) {
	d, now := attachedDispatcher()
	answerAll(d, 8, now)
	atOnce := askAt(d, 0, 1000, 200, now)
	if atOnce > burstMargin {
		t.Errorf("%d requests were admitted before the nodes had answered, want at most %d", atOnce, burstMargin)
	}
	answerAll(d, 8, now.Add(time.Millisecond))
	reply := d.Replies()["n0"]
	if total := atOnce + len(reply.Grants); total != 200 || len(reply.Refused) > 0 {
		t.Errorf("%d requests of a burst of 200 were admitted and %d refused", total, len(reply.Refused))
	}
}

// TestPartOfASilentNodeIsNotSpent guards against a dispatcher that spends the part of a node which has
// turned to another one.
func TestPartOfASilentNodeIsNotSpent(t *testing.T) {
	d, now := attachedDispatcher()
	answerAll(d, 8, now)
	granted := askAt(d, 0, 1000, 200, now)
	answerAll(d, 6, now)
	for range maxConfirmationTries {
		now = now.Add(10 * time.Millisecond)
		d.Tick(now)
		granted += len(d.Replies()["n0"].Grants)
	}
	if most := 200*6/8 + burstMargin; granted > most || granted < 140 {
		t.Errorf("%d requests of a burst of 200 were admitted while two of eight nodes did not answer", granted)
	}
}

// TestAnswerFromBeforeASuspensionConfirmsNothing guards against a dispatcher whose machine was suspended,
// so that its clock did not advance while its nodes turned to another one.
func TestAnswerFromBeforeASuspensionConfirmsNothing(t *testing.T) {
	d, now := attachedDispatcher()
	answerAll(d, 8, now)
	askAt(d, 0, 1000, 200, now)
	_, question := d.AttachmentQuestions(now)
	now = now.Add(time.Millisecond)
	d.AdjustForSuspension(300*time.Millisecond, now)
	d.Replies()
	for node := range uint64(8) {
		d.ApplyAttachment(nodeAddress(node), AttachmentAnswer{Life: node + 1, Asked: question.Asked, Attached: true, For: time.Minute}, now)
	}
	if granted := len(d.Replies()["n0"].Grants); granted > 0 {
		t.Errorf("%d requests were admitted by answers from before the suspension", granted)
	}
}

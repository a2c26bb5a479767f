package fairqueue

// Tags holds the virtual time of a start-time fair queue and the accounts of its flows. A flow is
// what shares are given to, for example a row or a tenant.
type Tags[Flow comparable] struct {
	virtualTime float64
	accounts    map[Flow]account
	// pruneAt is the number of accounts at which those that the virtual time has passed are
	// removed.
	pruneAt int
}

// account is what a flow was charged.
type account struct {
	finish    float64 // finish tag of the flow's last request
	burst     float64 // by how much the flow may start before the virtual time
	unsettled int     // requests that were charged by an estimate and have not ended
}

// minPruneSize is the least number of accounts that are searched for passed ones.
const minPruneSize = 16

// NewTags returns tags at virtual time zero.
func NewTags[Flow comparable]() *Tags[Flow] {
	return &Tags[Flow]{accounts: make(map[Flow]account), pruneAt: minPruneSize}
}

// Start returns the start tag of the next request of a flow. A flow that was idle starts at the
// virtual time, so that it has no credit from the time in which it was idle. A flow with a burst,
// in cost per weight, may start before the virtual time by that much at most.
func (t *Tags[Flow]) Start(flow Flow, burst float64) float64 {
	earliest := t.virtualTime - burst
	if known, found := t.accounts[flow]; found {
		return max(earliest, known.finish)
	}
	return earliest
}

// VirtualTime returns the virtual time.
func (t *Tags[Flow]) VirtualTime() float64 { return t.virtualTime }

// Passed reports whether the flow has had less than its share, so that it starts as early as it
// can.
func (t *Tags[Flow]) Passed(flow Flow, burst float64) bool {
	known, found := t.accounts[flow]
	return !found || known.finish < t.virtualTime-burst
}

// Charge adds the cost of a request, divided by the flow's weight, to the flow. It returns the
// request's start tag.
func (t *Tags[Flow]) Charge(flow Flow, costPerWeight float64) float64 {
	return t.charge(flow, costPerWeight, account{})
}

// ChargeEstimate is Charge for a request whose cost is known only when it has ended. Settle must
// be called then.
func (t *Tags[Flow]) ChargeEstimate(flow Flow, burst, costPerWeight float64) float64 {
	return t.charge(flow, costPerWeight, account{burst: burst, unsettled: 1})
}

func (t *Tags[Flow]) charge(flow Flow, costPerWeight float64, change account) float64 {
	start := t.Start(flow, change.burst)
	t.accounts[flow] = account{finish: start + costPerWeight, burst: change.burst, unsettled: t.accounts[flow].unsettled + change.unsettled}
	return start
}

// Settle corrects what a flow was charged by the difference between the cost of a request and its
// estimate, divided by the flow's weight.
func (t *Tags[Flow]) Settle(flow Flow, differencePerWeight float64) {
	known := t.accounts[flow]
	known.finish += differencePerWeight
	known.unsettled--
	t.accounts[flow] = known
}

// Advance moves the virtual time forward. A time before the present one is ignored.
func (t *Tags[Flow]) Advance(to float64) {
	if to <= t.virtualTime {
		return
	}
	t.virtualTime = to
	if len(t.accounts) < t.pruneAt {
		return
	}
	for flow, known := range t.accounts {
		if known.finish < to-known.burst && known.unsettled <= 0 {
			delete(t.accounts, flow)
		}
	}
	t.pruneAt = max(2*len(t.accounts), minPruneSize)
}

// Forget removes all accounts. It is for a queue that has become empty.
func (t *Tags[Flow]) Forget() { clear(t.accounts) }

// Flows returns the number of flows of which an account is kept.
func (t *Tags[Flow]) Flows() int { return len(t.accounts) }

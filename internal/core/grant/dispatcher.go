package grant

import (
	"maps"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/quota"
)

// DispatcherConfig holds the timeouts of a dispatcher.
type DispatcherConfig struct {
	// NodeTimeout is how long a node's requests are counted without a message from it.
	// Nodes with work send one every RefreshInterval, so four may be lost.
	NodeTimeout time.Duration
	// AttachmentTimeout is how long a node counts as attached without a message. For
	// that time it may count at two dispatchers.
	AttachmentTimeout time.Duration
	// GrantTimeout is how long a grant holds a slot while its node does not confirm it.
	GrantTimeout time.Duration
	// ResendInterval is the minimum time between two messages with the same grant or
	// the same stop. It is several round trips long.
	ResendInterval time.Duration
	// BatchStartDelay is how long a new dispatcher grants no batch requests. Every node
	// with work has sent a message by the end of it.
	BatchStartDelay time.Duration
	// RequeuedStartDelay is how long a new dispatcher grants nothing to requests that
	// were queued at another dispatcher. The engines were full for them, and the new
	// dispatcher learns the work at the engines only as nodes switch to it, most of them
	// within 100 ms.
	RequeuedStartDelay time.Duration
}

// DefaultDispatcherConfig returns timeouts for round trips of a few milliseconds.
func DefaultDispatcherConfig() DispatcherConfig {
	return DispatcherConfig{
		NodeTimeout: time.Second, AttachmentTimeout: 600 * time.Millisecond, GrantTimeout: 300 * time.Millisecond,
		ResendInterval: 15 * time.Millisecond, BatchStartDelay: 2 * RefreshInterval, RequeuedStartDelay: RefreshInterval / 2,
	}
}

// inFlightRequest is a request at an engine that this dispatcher granted or a node
// reported.
type inFlightRequest struct {
	node       string
	id         uint64
	engine     enginechoice.Incarnation
	grant      Grant
	work       *enginechoice.Work
	since      time.Time // when it was granted or first reported
	lastSentAt time.Time // when its grant, or its stop, was last sent
	confirmed  bool      // the node has reported it in flight
	tenant     uint64    // tenant whose limit has counted it; 0 if none
	admitOnly  bool      // Ask.AdmitOnly
	preempted  bool      // its node is sent a stop; it is no longer counted at the engine
	nodeLost   bool      // its node is no longer heard; when it ended is not known
	suspect    Suspect
	charge     *SlotCharge // what its tenant was charged; nil if this dispatcher granted no slot
}

// queuedAsk is a request in the dispatcher's queue.
type queuedAsk struct {
	Waiting
	ask Ask
	// chosen is the engine without a free slot that the last try chose; the zero value if none.
	chosen enginechoice.Incarnation
	// preferred is chosen while others had free slots, at preferredAt; the zero value if none had.
	preferred   enginechoice.Incarnation
	preferredAt time.Time
	// reserved reports that the tenant's limit has admitted the request and counts it
	// when it is granted.
	reserved bool
}

// nodeState is what the dispatcher knows about one node.
type nodeState struct {
	life, sequence uint64
	lastStateAt    time.Time
	zone           string
	connected      map[enginechoice.Incarnation]bool
	attached       bool
	attachedAt     time.Time // when it was last counted as newly attached
	// creditedAt is when its part of what is left was last added to the limits.
	creditedAt  time.Time
	asked       bool  // it was asked whether it is attached, since it was counted
	confirms    bool  // it answers that question; nodes of earlier builds do not
	unconfirmed bool  // it has not answered in the current round
	unadmitted  []Ask // requests that wait for the round to be completed, or for a use
	// turnedAt is when the node turned back from another dispatcher, whose use is not known yet;
	// zero if it has brought its credit.
	turnedAt time.Time
	inFlight map[uint64]*inFlightRequest
	queued   map[uint64]*queuedAsk
	refused  map[uint64]*sentRefusal
	refilled bool // the time since its process started has been credited to the limits
	counted  bool // Reply.Counted
}

// Dispatcher grants the slots of one lane.
type Dispatcher struct {
	config       DispatcherConfig
	policies     Policies
	lane         Lane
	engines      *enginechoice.Set
	engineByHash map[uint64]enginechoice.Incarnation // keyed by EngineHash
	startedAt    time.Time
	busySince    time.Time // when the lane last stopped being idle
	nodes        map[string]*nodeState
	online       []*queuedAsk // sorted only in grantOnline
	full         bool         // whether a request found no slot in the last pass of grantOnline
	reviewed     bool         // whether the last review by the overload control had a queue
	inTimeFull   bool         // no engine had room in the last pass at which a request can be in time
	// anyEngineAwaited reports that an online request waits that may use any engine, so that no batch
	// request is started. Those that wait for certain engines don't need the others.
	anyEngineAwaited bool
	bounded          bool      // whether an overload control bounds the queue
	lastReviewAt     time.Time // of the last review by the overload control
	retryOnline      bool      // queued online requests may have become grantable
	arrived          bool      // an online request has joined the queue since the last review
	retryBatch       bool      // queued batch requests may have become grantable
	replies          map[string]*Reply
	firstTokens      firstTokenEstimator
	limits           *quota.RateCounter // nil if no tenant has a limit that is counted here
	liveNodes        int                // number of live nodes of the fleet; 0 if unknown
	limitShare       float64            // part of every limit that is counted here
	// countingSince is when limitShare was last zero.
	countingSince time.Time
	exchange      *UseExchange // nil: the use of the limits is not kept
	notNewFleet   bool         // refillNewFleet has credited its time, or may not
	lastUse       *quota.Use   // to be told of the nodes that have all left; nil if none
	limitReturns  limitReturns
	confirmation  confirmation
	// suspects holds the in-flight requests whose content is suspected of crashing
	// engines.
	suspects map[*inFlightRequest]bool
	// slow holds the engines that are slower than usual.
	slow         map[enginechoice.Incarnation]bool
	speedChanges []SpeedChange // since the last SpeedChanges
	batchStalls  batchStalls
	reservation  engineReservation
	// speedsReviewedAt is when the speeds were last reviewed.
	speedsReviewedAt time.Time
}

// NewDispatcher returns a dispatcher of a lane that has no engines yet. Self is the name
// of the node that runs it.
func NewDispatcher(config DispatcherConfig, lane Lane, self string, now time.Time) *Dispatcher {
	return &Dispatcher{
		config: config, policies: Policies{}.withDefaults(), lane: lane, engines: enginechoice.NewSet(self), engineByHash: make(map[uint64]enginechoice.Incarnation),
		startedAt: now, nodes: make(map[string]*nodeState), replies: make(map[string]*Reply),
		suspects: make(map[*inFlightRequest]bool), slow: make(map[enginechoice.Incarnation]bool),
	}
}

// UsePolicies sets the dispatcher's policies. It must be called before the first State is
// applied.
func (d *Dispatcher) UsePolicies(policies Policies) {
	d.bounded = policies.Overload != nil
	d.policies = policies.withDefaults()
}

// SetOverloadControl replaces the overload control; nil bounds the queue no longer. The new one
// knows nothing of the requests that wait.
func (d *Dispatcher) SetOverloadControl(control OverloadControl) {
	policies := d.policies
	policies.Overload = control
	d.UsePolicies(policies)
	d.retryOnline = true
}

// SetEngines replaces the lane's engines. Engines that are not listed are removed, and
// entries of other pools or lanes are ignored.
func (d *Dispatcher) SetEngines(entries []enginechoice.Listed, now time.Time) {
	listed := make(map[uint64]bool, len(entries))
	for _, known := range entries {
		if d.upsertEngine(known, now) {
			listed[EngineHash(known.Entry.Incarnation())] = true
		}
	}
	for hash := range d.engineByHash {
		if !listed[hash] {
			d.removeEngine(hash, now)
		}
	}
	d.afterEngineChange(now)
}

// UpdateEngines applies the changes of a pool's engines. Engines of other lanes are
// ignored.
func (d *Dispatcher) UpdateEngines(changed []enginechoice.Listed, gone []enginechoice.Incarnation, now time.Time) {
	touched := false
	for _, known := range changed {
		touched = d.upsertEngine(known, now) || touched
	}
	for _, engine := range gone {
		touched = d.removeEngine(EngineHash(engine), now) || touched
	}
	if touched {
		d.afterEngineChange(now)
	}
}

// upsertEngine applies an engine's entry. It reports whether the engine belongs to the
// lane.
func (d *Dispatcher) upsertEngine(known enginechoice.Listed, now time.Time) bool {
	hash := EngineHash(known.Entry.Incarnation())
	if known.Entry.Pool != d.lane.Pool || !d.lane.Holds(hash) {
		return false
	}
	d.engineByHash[hash] = known.Entry.Incarnation()
	d.engines.Upsert(known.Entry, known.State, now)
	return true
}

// removeEngine removes an engine. It reports whether the engine belonged to the lane.
func (d *Dispatcher) removeEngine(hash uint64, now time.Time) bool {
	engine, listed := d.engineByHash[hash]
	if listed {
		d.engines.Remove(engine, false, now)
		d.policies.Speeds.Remove(engine)
		delete(d.slow, engine)
		delete(d.engineByHash, hash)
	}
	return listed
}

// afterEngineChange grants requests that the changed engines have capacity for.
func (d *Dispatcher) afterEngineChange(now time.Time) {
	d.retryBatch = true
	d.grantOnline(now)
}

// SetLimits sets the tenants' rate limits, keyed by TenantHash. With no limits the
// dispatcher counts no requests.
func (d *Dispatcher) SetLimits(margin quota.Margin, limits map[uint64]quota.RateLimit, now time.Time) {
	if len(limits) == 0 {
		d.limits = nil
		return
	}
	if d.limits == nil {
		d.limits = quota.NewRateCounter(margin, now)
		if d.exchange != nil {
			d.limits.KeepUse()
		}
	}
	d.limits.SetLimits(limits)
}

// SetTenants sets the parts by which tenants share the lane, keyed by TenantHash.
func (d *Dispatcher) SetTenants(tenants map[uint64]TenantPart) {
	d.policies.Order.SetTenants(tenants)
	d.policies.BatchOrder.SetTenants(tenants)
}

// SetLive sets the number of live nodes. While it is 0 (unknown), the dispatcher's part
// of every limit is zero.
func (d *Dispatcher) SetLive(nodes int) { d.liveNodes = nodes }

// advanceLimits advances the limits' clock and updates this dispatcher's part of them.
func (d *Dispatcher) advanceLimits(now time.Time) {
	if d.limits == nil {
		return
	}
	share := 0.0
	if d.liveNodes > 0 {
		share = float64(d.Attached(now)) / float64(d.liveNodes)
	}
	if d.limitShare == 0 {
		d.countingSince = now
	}
	d.limitShare = share
	d.limits.Advance(now, share)
}

// Attached returns the number of nodes that are attached to this dispatcher.
func (d *Dispatcher) Attached(now time.Time) int {
	attached := 0
	for _, known := range d.nodes {
		if d.isAttached(known, now) {
			attached++
		}
	}
	return attached
}

// isAttached reports whether a node counts as attached.
func (d *Dispatcher) isAttached(known *nodeState, now time.Time) bool {
	return known.attached && now.Sub(known.lastStateAt) <= d.config.AttachmentTimeout
}

// Idle reports whether no node has requests in the lane or is attached to it.
func (d *Dispatcher) Idle() bool { return len(d.nodes) == 0 }

// Counts returns the numbers of requests in flight at the lane's engines and of those
// waiting.
func (d *Dispatcher) Counts() (inFlight, queued int) {
	for _, known := range d.nodes {
		inFlight += len(known.inFlight)
		queued += len(known.queued)
	}
	return inFlight, queued
}

// QueuedByOwner returns the numbers of waiting requests by their tenants' TenantHash.
func (d *Dispatcher) QueuedByOwner() map[uint64]int {
	queued := make(map[uint64]int)
	for _, known := range d.nodes {
		for _, entry := range known.queued {
			queued[entry.Owner]++
		}
	}
	return queued
}

// ApplyState applies a node's State. A State that is not newer than the last one of the same run
// of the node is ignored. The resulting messages are returned by Replies.
func (d *Dispatcher) ApplyState(from string, state State, now time.Time) {
	known := d.nodes[from]
	if known != nil && known.life == state.Life && state.Sequence <= known.sequence {
		return // a newer State arrived first
	}
	if known == nil || known.life != state.Life {
		d.removeNode(from, now)
		if len(d.nodes) == 0 {
			d.busySince = now
		}
		known = &nodeState{life: state.Life, inFlight: make(map[uint64]*inFlightRequest), queued: make(map[uint64]*queuedAsk), refused: make(map[uint64]*sentRefusal)}
		d.nodes[from] = known
	}
	d.updateAttachment(known, state, now)
	known.connected = make(map[enginechoice.Incarnation]bool, len(state.Connected))
	for _, engine := range state.Connected {
		known.connected[d.engineByHash[engine]] = true
	}
	d.updateInFlight(from, known, state, now)
	d.observe(from, state, now)
	d.updateQueue(from, known, state, now)
	d.grantChanged(now)
	reply := d.reply(from)
	reply.Life, reply.Sequence = state.Life, state.Sequence
	known.counted = d.keepsLimits() && state.Attached && d.liveNodes > 0
	idle := len(state.Held)+len(state.Waiting) == 0 && len(known.inFlight) == 0 && !state.Attached
	if idle && known.attachedAt.IsZero() { // one that was counted is kept for NodeTimeout, see reattach
		delete(d.nodes, from)
	}
}

// updateInFlight updates a node's in-flight requests from its State.
func (d *Dispatcher) updateInFlight(from string, known *nodeState, state State, now time.Time) {
	ended := make(map[uint64]Ended, len(state.Ended))
	for _, end := range state.Ended {
		ended[end.ID] = end
	}
	held := make(map[uint64]Held, len(state.Held))
	for _, request := range state.Held {
		held[request.ID] = request
	}
	asked := make(map[uint64]bool, len(state.Waiting))
	for _, ask := range state.Waiting {
		asked[ask.ID] = true
	}
	for id, request := range known.inFlight {
		reported, inFlight := held[id]
		end, hasEnded := ended[id]
		switch {
		case hasEnded:
			d.finish(known, request, end, now)
		case inFlight:
			d.confirm(request, reported, now)
		case request.confirmed:
			d.finish(known, request, Ended{Result: enginechoice.Abandoned}, now)
		case asked[id] && now.Sub(request.lastSentAt) >= d.config.ResendInterval:
			d.sendGrant(request, now)
		}
	}
	for _, request := range state.Held {
		if _, hasEnded := ended[request.ID]; !hasEnded && known.inFlight[request.ID] == nil {
			d.addReported(from, known, request, now)
		}
	}
}

// confirm records that a node has reported a request in flight. If the request was
// preempted and still runs, the stop is sent again.
func (d *Dispatcher) confirm(request *inFlightRequest, held Held, now time.Time) {
	request.confirmed = true
	if request.preempted {
		if now.Sub(request.lastSentAt) >= d.config.ResendInterval {
			request.lastSentAt = now
			d.reply(request.node).Stops = append(d.reply(request.node).Stops, request.id)
		}
		return
	}
	if held.Started {
		d.engines.FirstToken(request.engine, request.work)
		return
	}
	d.observeSilence(request, held.Engine, now)
}

// addReported counts a request that another dispatcher granted, or for which the node
// chose an engine by itself. Requests at unknown engines are not counted.
func (d *Dispatcher) addReported(from string, known *nodeState, held Held, now time.Time) {
	engine, listed := d.engineByHash[held.Engine]
	if !listed {
		return
	}
	work := &enginechoice.Work{Batch: held.Batch, PrefillTokens: held.PrefillTokens, MemoryTokens: held.MemoryTokens}
	d.engines.Start(engine, work)
	if held.Started {
		d.engines.FirstToken(engine, work)
	}
	reported := &inFlightRequest{node: from, id: held.ID, engine: engine, work: work, since: now, confirmed: true, suspect: held.Suspect}
	known.inFlight[held.ID] = reported
	d.trackSuspect(reported)
}

// finish removes an ended request and records its result for the engine.
func (d *Dispatcher) finish(known *nodeState, request *inFlightRequest, end Ended, now time.Time) {
	d.engines.Finish(request.engine, request.work, end.Result, now)
	if end.Refused {
		d.engines.ConnectionRefused(request.engine, now)
	}
	if end.Unused && d.limits != nil && (!request.admitOnly || end.Result == returnedAdmission) {
		d.limits.Undo(request.tenant)
	}
	delete(known.inFlight, request.id)
	delete(d.suspects, request)
	d.retryBatch, d.retryOnline = true, true
	if !request.work.Batch && request.hasHeldSlot(end) {
		d.policies.Overload.Finished(now.Sub(request.since), now)
	}
	if request.charge != nil {
		use := SlotUse{SlotCharge: *request.charge, Held: now.Sub(request.since), Complete: end.Result == enginechoice.Succeeded}
		d.policies.orderOf(request.work.Batch).Finished(use, now)
	}
}

// hasHeldSlot reports whether an ended request has held a slot since it was granted.
func (r *inFlightRequest) hasHeldSlot(end Ended) bool {
	ran := r.confirmed && !end.Unused && !end.Refused && end.Result != enginechoice.Shed
	return ran && r.charge != nil && !r.nodeLost
}

// Tick does the periodic work: it removes nodes that have timed out, withdraws unconfirmed
// grants, preempts batch runs at engines with more requests than slots, and grants batch
// requests.
func (d *Dispatcher) Tick(now time.Time) {
	d.advanceLimits(now)
	d.limitReturns.expire(now)
	d.retryConfirmation(now)
	d.addToldCredit(now)
	for address, known := range d.nodes {
		if now.Sub(known.lastStateAt) > d.config.NodeTimeout {
			d.removeNode(address, now)
			continue
		}
		for _, request := range known.inFlight {
			if !request.confirmed && now.Sub(request.since) > d.config.GrantTimeout {
				d.finish(known, request, Ended{Result: enginechoice.Abandoned, Unused: true}, now)
			}
		}
	}
	d.reviewSpeeds(now)
	d.engines.UpdateOnlinePeaks(now)
	for _, overcommit := range d.engines.Overcommitted(now) {
		for range overcommit.Preempt {
			d.preemptNewestBatch(overcommit.Engine, now)
		}
	}
	d.grantOnline(now)
	if d.retryBatch && now.Sub(d.startedAt) >= d.config.BatchStartDelay {
		d.grantBatch(now)
	}
	d.reviewBatchStall(now)
}

// AdjustForSuspension accounts for a suspension of this node's machine. It ages all received
// reports by gap, so that nodes that have switched to another dispatcher meanwhile are
// removed.
func (d *Dispatcher) AdjustForSuspension(gap time.Duration, now time.Time) {
	d.confirmation = confirmation{suspendedAt: now}
	for _, known := range d.nodes {
		known.lastStateAt = known.lastStateAt.Add(-gap)
		for _, request := range known.inFlight {
			request.since = request.since.Add(-gap)
		}
	}
	d.Tick(now)
}

// removeNode removes a node and counts all of its requests as ended.
func (d *Dispatcher) removeNode(address string, now time.Time) {
	known := d.nodes[address]
	if known == nil {
		return
	}
	for _, request := range known.inFlight {
		request.nodeLost = true
		d.finish(known, request, Ended{Result: enginechoice.Abandoned}, now)
	}
	for _, entry := range known.queued {
		d.releaseReservation(entry)
	}
	delete(d.nodes, address)
	delete(d.replies, address)
}

// Replies returns the pending reply of each node, keyed by address, and clears them.
func (d *Dispatcher) Replies() map[string]Reply {
	if len(d.replies) == 0 {
		return nil
	}
	replies := make(map[string]Reply, len(d.replies))
	for address, reply := range d.replies {
		if known := d.nodes[address]; known != nil {
			reply.Life, reply.Sequence = known.life, known.sequence
			reply.Counted = known.counted
		}
		reply.Queued = len(d.online)
		replies[address] = *reply
	}
	clear(d.replies)
	return replies
}

// reply returns the pending reply to a node and creates it if there is none.
func (d *Dispatcher) reply(address string) *Reply {
	if d.replies[address] == nil {
		d.replies[address] = &Reply{}
	}
	return d.replies[address]
}

// Addresses returns the addresses of the nodes that have requests in the lane or are
// attached to it.
func (d *Dispatcher) Addresses() []string { return slices.Sorted(maps.Keys(d.nodes)) }

package grant

import (
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// updateQueue updates the node's requests in the queue from its State.
func (d *Dispatcher) updateQueue(from string, known *nodeState, state State, now time.Time) {
	asked := make(map[uint64]bool, len(state.Waiting))
	known.unadmitted = nil
	for _, ask := range state.Waiting {
		if known.inFlight[ask.ID] != nil {
			continue // granted already; the reply is still in transit
		}
		asked[ask.ID] = true
		if known.refused[ask.ID] != nil {
			d.resendRefusal(from, known.refused[ask.ID], now)
			continue
		}
		entry := known.queued[ask.ID]
		if entry == nil {
			entry = d.admit(from, known, ask, now)
		}
		if entry == nil {
			continue
		}
		d.updateEntry(entry, ask, now)
		d.retryBatch = d.retryBatch || ask.Batch
	}
	for id, entry := range known.queued {
		if !asked[id] {
			d.releaseReservation(entry)
			delete(known.queued, id)
		}
	}
	for id := range known.refused {
		if !asked[id] {
			delete(known.refused, id)
		}
	}
}

// sentRefusal is a refusal of a request that its node still reports as waiting.
type sentRefusal struct {
	refusal    Refusal
	decidedAt  time.Time
	lastSentAt time.Time
}

// resendRefusal sends a refusal again that may have been lost. The time to come back has
// become shorter meanwhile.
func (d *Dispatcher) resendRefusal(node string, sent *sentRefusal, now time.Time) {
	if now.Sub(sent.lastSentAt) < d.config.ResendInterval {
		return
	}
	sent.lastSentAt = now
	refusal := sent.refusal
	refusal.Overload.RetryAfter = max(refusal.Overload.RetryAfter-now.Sub(sent.decidedAt), 0)
	reply := d.reply(node)
	reply.Refused = append(reply.Refused, refusal)
}

// updateEntry updates a queued request from the node's newest Ask.
func (d *Dispatcher) updateEntry(entry *queuedAsk, ask Ask, now time.Time) {
	entry.ask = ask
	entry.TenantRank, entry.Rank = ask.TenantRank, ask.Rank
	if ask.EndsIn > 0 { // the form of earlier builds has no owner
		entry.Owner = ask.Owner
	}
	entry.Deadline = now.Add(ask.DueIn)
	if ask.EndsIn > 0 {
		entry.End = now.Add(ask.EndsIn)
	}
	// Builds before EndsIn do not tell whether the request may have run.
	mayHaveRun := ask.MayHaveRun || ask.EndsIn == 0
	place := ask.Place && (mayHaveRun || d.policies.Overload.PlacesWhenFull())
	d.retryOnline = d.retryOnline || place != entry.Place
	entry.Place, entry.MayHaveRun = place, entry.MayHaveRun || ask.MayHaveRun
}

// newEntry returns the entry of a request that joins the queue.
func newEntry(from string, ask Ask, now time.Time) *queuedAsk {
	entry := &queuedAsk{ask: ask, Waiting: Waiting{
		Node: from, ID: ask.ID, TenantRank: ask.TenantRank, Rank: ask.Rank, Owner: ask.Owner, Content: ask.Content,
		PromptTokens: ask.promptTokens(), MemoryTokens: ask.MemoryTokens, Since: now,
		Moved: ask.Queued, MayHaveRun: ask.MayHaveRun,
	}}
	entry.entry = entry
	return entry
}

// admit adds a new request to the queue if its tenant's limit admits it. It returns nil
// if the request does not wait: it was refused, or it wanted only admission.
func (d *Dispatcher) admit(from string, known *nodeState, ask Ask, now time.Time) *queuedAsk {
	entry := newEntry(from, ask, now)
	if ask.Tenant != 0 && d.limits != nil {
		if d.awaitsConfirmation(ask.Tenant, now) {
			known.unadmitted = append(known.unadmitted, ask)
			return nil
		}
		verdict := d.reserve(ask, now)
		if !verdict.Admitted {
			d.refuseByLimit(from, ask, verdict, now)
			return nil
		}
		entry.reserved = true
	}
	if ask.AdmitOnly {
		d.commitGrant(known, entry, enginechoice.Choice{}, now)
		return nil
	}
	known.queued[ask.ID] = entry
	if !ask.Batch {
		d.online = append(d.online, entry)
		d.policies.Overload.Arrived(&entry.Waiting, now)
		d.arrived = true
		d.retryOnline = d.retryOnline || len(ask.Exclude) > 0 // others of the lane's engines may be full
	}
	return entry
}

// releaseReservation returns the reservation of an entry that no longer waits to its
// tenant's limit.
func (d *Dispatcher) releaseReservation(entry *queuedAsk) {
	if entry.reserved && d.limits != nil {
		d.limits.Drop(entry.ask.Tenant)
	}
}

// isQueued reports whether an entry still waits.
func (d *Dispatcher) isQueued(entry *queuedAsk) bool {
	known := d.nodes[entry.Node]
	return known != nil && known.queued[entry.ask.ID] == entry
}

// grantOnline grants queued online requests in the order of the policies, and refuses those
// that the overload control does not let wait.
func (d *Dispatcher) grantOnline(now time.Time) {
	d.retryOnline = false
	d.dropDequeued()
	if len(d.online) == 0 && !d.reviewed {
		d.full, d.inTimeFull, d.arrived, d.anyEngineAwaited = false, false, false, false
		return
	}
	queue := d.arrange(now)
	var pass grantPass
	for _, waiting := range queue {
		entry := waiting.entry
		if entry.ask.Queued && !entry.Place && now.Sub(d.busySince) < d.config.RequeuedStartDelay {
			pass.anyEngineAwaited = true
			continue
		}
		if pass.skips(entry) || d.waitsForPreferred(&pass, entry, now) {
			continue
		}
		d.record(&pass, entry, d.tryGrant(entry, now), now)
	}
	d.full, d.inTimeFull = pass.full && !pass.mayHaveRoom, pass.full || pass.tooSlow >= maxTooSlow
	d.anyEngineAwaited = pass.anyEngineAwaited || pass.full || pass.tooSlow > 0
	if d.reviewDue(now) {
		d.refuseOverload(queue, now)
	}
	d.dropDequeued()
}

// grantChanged grants queued online requests if anything has changed that allows a grant or
// a refusal. While the lane is full, a request that has just arrived can only be refused, and
// waits for others to be looked at with it, until the next Tick at most.
func (d *Dispatcher) grantChanged(now time.Time) {
	if d.retryOnline || (d.arrived && !d.full) || (d.arrived && d.bounded && d.reviewDue(now)) {
		d.grantOnline(now)
	}
}

// Intervals of the reviews by the overload control. A review takes as long as the queue is,
// and a flood would cause one for each request.
const (
	minReviewInterval = 2 * time.Millisecond  // while requests arrive
	maxReviewInterval = 10 * time.Millisecond // half of the time within which a refusal is to be sent
)

// reviewDue reports whether the overload control is to review the queue.
func (d *Dispatcher) reviewDue(now time.Time) bool {
	since := now.Sub(d.lastReviewAt)
	return (d.arrived && since >= minReviewInterval) || since >= maxReviewInterval
}

// dropDequeued removes the requests that no longer wait.
func (d *Dispatcher) dropDequeued() {
	d.online = slices.DeleteFunc(d.online, func(entry *queuedAsk) bool { return !d.isQueued(entry) })
}

// arrange returns the queue in the order in which slots are granted.
func (d *Dispatcher) arrange(now time.Time) []*Waiting {
	queue := make([]*Waiting, 0, len(d.online))
	for _, entry := range d.online {
		entry.FirstToken = d.firstTokens.expected(entry.PromptTokens)
		entry.InTime = !entry.LateOnly && !now.Add(entry.FirstToken).After(entry.Deadline)
		queue = append(queue, &entry.Waiting)
	}
	d.policies.Order.Arrange(queue, now)
	for i, waiting := range queue {
		d.online[i] = waiting.entry // the next sort finds them nearly in order
	}
	return queue
}

// refuseOverload refuses the requests of an arranged queue that the overload control does not
// let wait.
func (d *Dispatcher) refuseOverload(queue []*Waiting, now time.Time) {
	d.reviewed, d.arrived, d.lastReviewAt = len(queue) > 0, false, now
	waiting := slices.DeleteFunc(queue, func(waiting *Waiting) bool { return !d.isQueued(waiting.entry) })
	for _, decision := range d.policies.Overload.Review(waiting, d.load(now), now) {
		entry := decision.Request.entry
		if entry.MayHaveRun || !d.isQueued(entry) {
			continue
		}
		d.releaseReservation(entry)
		known := d.nodes[entry.Node]
		delete(known.queued, entry.ask.ID)
		refusal := Refusal{ID: entry.ask.ID, Reason: RefusedByOverload, Overload: decision.Refusal}
		known.refused[entry.ask.ID] = &sentRefusal{refusal: refusal, decidedAt: now, lastSentAt: now}
		reply := d.reply(entry.Node)
		reply.Refused = append(reply.Refused, refusal)
	}
}

// load returns the load of the lane.
func (d *Dispatcher) load(now time.Time) LaneLoad {
	slots, online, batch := d.engines.Usage(d.lane.Pool, now)
	return LaneLoad{Slots: slots, Online: online, Batch: batch, Full: d.inTimeFull}
}

// grantResult is the result of an attempt to grant a request an engine.
type grantResult uint8

const (
	notGranted  grantResult = iota // no engine has room for it
	onlyTooSlow                    // only engines at which it would be late have room for it
	isGranted
)

// tryGrant grants an entry the best engine. An online request needs a free slot, at an engine
// at which it can be in time if it can be at all, unless it asks for placement.
func (d *Dispatcher) tryGrant(entry *queuedAsk, now time.Time) grantResult {
	known := d.nodes[entry.Node]
	query := d.query(entry, known)
	d.setTimes(&query, entry, now)
	choice, found := d.pick(entry, query, now)
	if !found || (!entry.ask.Batch && !entry.Place && !choice.HasSlot()) {
		entry.chosen = choice.Entry.Incarnation()
		return notGranted
	}
	if d.tooSlow(entry, query, choice) {
		return onlyTooSlow
	}
	if choice.Preempts {
		d.preemptNewestBatch(choice.Entry.Incarnation(), now)
	}
	d.engines.RecordPrompt(choice.Entry.Incarnation(), entry.ask.Shared, now)
	d.commitGrant(known, entry, choice, now)
	d.policies.Speeds.Granted(choice.Entry.Incarnation(), now)
	if d.slow[choice.Entry.Incarnation()] {
		d.engines.SetSpeed(choice.Entry.Incarnation(), d.policies.Speeds.Speed(choice.Entry.Incarnation()))
	}
	return isGranted
}

// commitGrant grants an entry the chosen engine and counts the request there. The Choice
// is zero for an entry that wanted only admission.
func (d *Dispatcher) commitGrant(known *nodeState, entry *queuedAsk, choice enginechoice.Choice, now time.Time) {
	work := &enginechoice.Work{Batch: entry.ask.Batch, PrefillTokens: choice.PrefillTokens, MemoryTokens: entry.ask.MemoryTokens}
	d.engines.Start(choice.Entry.Incarnation(), work)
	granted := &inFlightRequest{
		node: entry.Node, id: entry.ask.ID, engine: choice.Entry.Incarnation(), work: work, since: now,
		grant: Grant{
			ID: entry.ask.ID, Engine: EngineHash(choice.Entry.Incarnation()), PrefillTokens: choice.PrefillTokens,
			InFlight: choice.InFlight, Score: choice.Score, Preempts: choice.Preempts, Waited: now.Sub(entry.Since), Slowness: choice.Slowness,
		},
		suspect: entry.ask.Suspect, admitOnly: entry.ask.AdmitOnly,
	}
	d.trackSuspect(granted)
	if !entry.ask.Batch && !entry.ask.AdmitOnly {
		d.policies.Overload.Granted(&entry.Waiting, now)
	}
	if !entry.ask.AdmitOnly {
		charge := d.policies.orderOf(entry.ask.Batch).Granted(&entry.Waiting, now)
		granted.charge = &charge
	}
	if entry.reserved && d.limits != nil {
		d.limits.Begin(entry.ask.Tenant)
	}
	if entry.reserved {
		granted.tenant = entry.ask.Tenant
	}
	known.inFlight[granted.id] = granted
	delete(known.queued, granted.id)
	d.sendGrant(granted, now)
}

func (d *Dispatcher) query(entry *queuedAsk, known *nodeState) enginechoice.Query {
	ask := entry.ask
	query := enginechoice.Query{
		Pool: d.lane.Pool, Zone: known.zone, Shared: ask.Shared, OwnTokens: ask.OwnTokens, MemoryTokens: ask.MemoryTokens,
		Batch: ask.Batch, MaxBatchPercent: ask.BatchPercent, Reserved: d.reservation.keptFrom(entry),
		PreviousEngine: d.engineByHash[ask.Former], Connected: known.connected,
	}
	if len(ask.Exclude) > 0 {
		query.Exclude = make(map[enginechoice.Incarnation]bool, len(ask.Exclude))
		for _, engine := range ask.Exclude {
			query.Exclude[d.engineByHash[engine]] = true
		}
	}
	return query
}

// sendGrant adds a grant to the reply to its node.
func (d *Dispatcher) sendGrant(granted *inFlightRequest, now time.Time) {
	granted.lastSentAt = now
	reply := d.reply(granted.node)
	reply.Grants = append(reply.Grants, granted.grant)
}

// preemptNewestBatch stops the batch run that started last at an engine, since it loses
// the least work.
func (d *Dispatcher) preemptNewestBatch(engine enginechoice.Incarnation, now time.Time) {
	var newest *inFlightRequest
	for _, known := range d.nodes {
		for _, request := range known.inFlight {
			if request.engine != engine || !request.work.Batch || request.preempted {
				continue
			}
			if newest == nil || request.since.After(newest.since) || (request.since.Equal(newest.since) && request.id > newest.id) {
				newest = request
			}
		}
	}
	if newest == nil {
		return
	}
	newest.preempted, newest.lastSentAt = true, now
	d.engines.Finish(engine, newest.work, enginechoice.Abandoned, now)
	reply := d.reply(newest.node)
	reply.Stops = append(reply.Stops, newest.id)
}

package grant

import (
	"cmp"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/ordering"
)

// updateQueue updates the node's requests in the queue from its State.
func (d *Dispatcher) updateQueue(from string, known *nodeState, state State, now time.Time) {
	asked := make(map[uint64]bool, len(state.Waiting))
	for _, ask := range state.Waiting {
		if known.inFlight[ask.ID] != nil {
			continue // granted already; the reply is still in transit
		}
		asked[ask.ID] = true
		entry := known.queued[ask.ID]
		if entry == nil {
			entry = d.admit(from, known, ask, now)
		}
		if entry == nil {
			continue
		}
		entry.ask, entry.deadline = ask, now.Add(ask.DueIn)
		d.retryBatch = d.retryBatch || ask.Batch
	}
	for id, entry := range known.queued {
		if !asked[id] {
			d.releaseReservation(entry)
			delete(known.queued, id)
		}
	}
}

// admit adds a new request to the queue if its tenant's limit admits it. It returns nil
// if the request does not wait: it was refused, or it wanted only admission.
func (d *Dispatcher) admit(from string, known *nodeState, ask Ask, now time.Time) *queuedAsk {
	entry := &queuedAsk{node: from, ask: ask, since: now}
	if ask.Tenant != 0 && d.limits != nil {
		verdict := d.limits.Reserve(ask.Tenant)
		if !verdict.Admitted {
			reply := d.reply(from)
			reply.Refused = append(reply.Refused, Refusal{ID: ask.ID, Verdict: verdict})
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
	known := d.nodes[entry.node]
	return known != nil && known.queued[entry.ask.ID] == entry
}

// meetsDeadline reports whether an entry can be expected to have its first token by its
// deadline if it is granted a slot now.
func (d *Dispatcher) meetsDeadline(entry *queuedAsk, now time.Time) bool {
	return !now.Add(d.firstTokens.expected(entry.ask.promptTokens())).After(entry.deadline)
}

// grantOnline grants queued online requests: those that ask for placement first, then
// those that can still meet their deadline, then by the rank of the tenant, the rank of
// the route, and the earliest deadline.
func (d *Dispatcher) grantOnline(now time.Time) {
	d.online = slices.DeleteFunc(d.online, func(entry *queuedAsk) bool { return !d.isQueued(entry) })
	slices.SortStableFunc(d.online, func(a, b *queuedAsk) int {
		return cmp.Or(
			ordering.FalseFirst(b.ask.Place, a.ask.Place), ordering.FalseFirst(!d.meetsDeadline(a, now), !d.meetsDeadline(b, now)),
			cmp.Compare(a.ask.TenantRank, b.ask.TenantRank), cmp.Compare(a.ask.Rank, b.ask.Rank), a.deadline.Compare(b.deadline),
		)
	})
	full := false
	for _, entry := range d.online {
		if entry.ask.Queued && !entry.ask.Place && now.Sub(d.busySince) < d.config.RequeuedStartDelay {
			continue
		}
		if full && !entry.ask.Place && len(entry.ask.Exclude) == 0 {
			continue
		}
		granted := d.tryGrant(entry, now)
		full = full || (!granted && entry.ask.Suspect.Content == 0)
	}
	d.online = slices.DeleteFunc(d.online, func(entry *queuedAsk) bool { return !d.isQueued(entry) })
}

// tryGrant grants an entry the best engine. It reports whether an engine could be
// granted; an online request needs a free slot unless it asks for placement.
func (d *Dispatcher) tryGrant(entry *queuedAsk, now time.Time) bool {
	known := d.nodes[entry.node]
	choice, found := d.pick(entry, d.query(entry, known), now)
	if !found || (!entry.ask.Batch && !entry.ask.Place && !choice.HasSlot()) {
		return false
	}
	if choice.Preempts {
		d.preemptNewestBatch(choice.Entry.Incarnation(), now)
	}
	d.engines.RecordPrompt(choice.Entry.Incarnation(), entry.ask.Shared, now)
	d.commitGrant(known, entry, choice, now)
	return true
}

// commitGrant grants an entry the chosen engine and counts the request there. The Choice
// is zero for an entry that wanted only admission.
func (d *Dispatcher) commitGrant(known *nodeState, entry *queuedAsk, choice enginechoice.Choice, now time.Time) {
	work := &enginechoice.Work{Batch: entry.ask.Batch, PrefillTokens: choice.PrefillTokens, MemoryTokens: entry.ask.MemoryTokens}
	d.engines.Start(choice.Entry.Incarnation(), work)
	granted := &inFlightRequest{
		node: entry.node, id: entry.ask.ID, engine: choice.Entry.Incarnation(), work: work, since: now,
		grant: Grant{
			ID: entry.ask.ID, Engine: EngineHash(choice.Entry.Incarnation()), PrefillTokens: choice.PrefillTokens,
			InFlight: choice.InFlight, Score: choice.Score, Preempts: choice.Preempts, Waited: now.Sub(entry.since),
		},
		suspect: entry.ask.Suspect,
	}
	d.trackSuspect(granted)
	if entry.reserved && d.limits != nil {
		d.limits.Begin(entry.ask.Tenant)
	}
	if entry.reserved && !entry.ask.AdmitOnly {
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
		Batch: ask.Batch, MaxBatchPercent: ask.BatchPercent,
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

// grantBatch grants batch requests the capacity that online requests leave. Requests that
// are not late come first, then the order is by tenant rank, route rank and deadline.
func (d *Dispatcher) grantBatch(now time.Time) {
	if len(d.online) > 0 {
		return
	}
	d.retryBatch = false
	var queue []*queuedAsk
	for _, known := range d.nodes {
		for _, entry := range known.queued {
			if entry.ask.Batch {
				queue = append(queue, entry)
			}
		}
	}
	slices.SortFunc(queue, func(a, b *queuedAsk) int {
		return cmp.Or(
			ordering.FalseFirst(a.ask.Late, b.ask.Late), cmp.Compare(a.ask.TenantRank, b.ask.TenantRank), cmp.Compare(a.ask.Rank, b.ask.Rank),
			a.deadline.Compare(b.deadline), cmp.Compare(a.ask.ID, b.ask.ID),
		)
	})
	if len(queue) == 0 {
		return
	}
	capacity := d.engines.BatchCapacity(d.lane.Pool, queue[0].ask.RoomPercent, now)
	for _, entry := range queue[:min(capacity, len(queue))] {
		if !d.tryGrant(entry, now) && entry.ask.Suspect.Content == 0 {
			return // keep the free capacity for the requests at the front
		}
	}
}

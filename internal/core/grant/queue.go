package grant

import (
	"cmp"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/ordering"
)

// takeAsks brings the node's part of the queue up to date.
func (d *Dispatcher) takeAsks(from string, known *node, state State, now time.Time) {
	asked := make(map[uint64]bool, len(state.Waiting))
	for _, ask := range state.Waiting {
		if known.works[ask.ID] != nil {
			continue // its grant is on the way
		}
		asked[ask.ID] = true
		entry := known.asks[ask.ID]
		if entry == nil {
			entry = d.admit(from, known, ask, now)
		}
		if entry == nil {
			continue
		}
		entry.ask, entry.due = ask, now.Add(ask.DueIn)
		d.batch = d.batch || ask.Batch
	}
	for id, entry := range known.asks {
		if !asked[id] {
			d.drop(entry)
			delete(known.asks, id)
		}
	}
}

// admit takes a new ask into the queue, if its tenant's limit lets it; nil: it does
// not wait.
func (d *Dispatcher) admit(from string, known *node, ask Ask, now time.Time) *waiting {
	entry := &waiting{node: from, ask: ask, since: now}
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
		d.begin(known, entry, enginechoice.Choice{}, now)
		return nil
	}
	known.asks[ask.ID] = entry
	if !ask.Batch {
		d.online = append(d.online, entry)
	}
	return entry
}

// drop takes back what was reserved for an entry that waits no longer.
func (d *Dispatcher) drop(entry *waiting) {
	if entry.reserved && d.limits != nil {
		d.limits.Drop(entry.ask.Tenant)
	}
}

// queued says whether an entry of a queue still waits.
func (d *Dispatcher) queued(entry *waiting) bool {
	known := d.nodes[entry.node]
	return known != nil && known.asks[entry.ask.ID] == entry
}

// inTime says whether an entry can have its first token before it is due, if it is
// granted a slot now.
func (d *Dispatcher) inTime(entry *waiting, now time.Time) bool {
	return !now.Add(d.ready.expected(entry.ask.promptTokens())).After(entry.due)
}

// grantOnline serves the queue of online requests: those that can be in time before
// those that cannot any more, then by the rank of their tenants and of their routes,
// and of these the one with the least time left first.
func (d *Dispatcher) grantOnline(now time.Time) {
	d.online = slices.DeleteFunc(d.online, func(entry *waiting) bool { return !d.queued(entry) })
	slices.SortStableFunc(d.online, func(a, b *waiting) int {
		return cmp.Or(
			ordering.FalseFirst(b.ask.Place, a.ask.Place), ordering.FalseFirst(!d.inTime(a, now), !d.inTime(b, now)),
			cmp.Compare(a.ask.TenantRank, b.ask.TenantRank), cmp.Compare(a.ask.Rank, b.ask.Rank), a.due.Compare(b.due),
		)
	})
	full := false
	for _, entry := range d.online {
		if entry.ask.Queued && !entry.ask.Place && now.Sub(d.busy) < d.config.QueuedAfter {
			continue
		}
		if full && !entry.ask.Place && len(entry.ask.Exclude) == 0 {
			continue
		}
		granted := d.grant(entry, now)
		full = full || (!granted && entry.ask.Suspect.Content == 0)
	}
	d.online = slices.DeleteFunc(d.online, func(entry *waiting) bool { return !d.queued(entry) })
}

// grant gives an entry the best engine, if there is one that can start it.
func (d *Dispatcher) grant(entry *waiting, now time.Time) bool {
	known := d.nodes[entry.node]
	choice, found := d.pick(entry, d.query(entry, known), now)
	if !found || (!entry.ask.Batch && !entry.ask.Place && !choice.HasSlot()) {
		return false
	}
	if choice.MakeRoom {
		d.stopOne(choice.Entry.Incarnation(), now)
	}
	d.engines.Remember(choice.Entry.Incarnation(), entry.ask.Shared, now)
	d.begin(known, entry, choice, now)
	return true
}

// begin grants an entry an engine, or the zero Choice where it wanted none.
func (d *Dispatcher) begin(known *node, entry *waiting, choice enginechoice.Choice, now time.Time) {
	counted := &enginechoice.Work{Batch: entry.ask.Batch, PrefillTokens: choice.PrefillTokens, MemoryTokens: entry.ask.MemoryTokens}
	d.engines.Start(choice.Entry.Incarnation(), counted)
	granted := &work{
		node: entry.node, id: entry.ask.ID, engine: choice.Entry.Incarnation(), counted: counted, since: now,
		grant: Grant{
			ID: entry.ask.ID, Engine: EngineHash(choice.Entry.Incarnation()), PrefillTokens: choice.PrefillTokens,
			InFlight: choice.InFlight, Score: choice.Score, Preempts: choice.MakeRoom, Waited: now.Sub(entry.since),
		},
		suspect: entry.ask.Suspect,
	}
	d.noteSuspect(granted)
	if entry.reserved && d.limits != nil {
		d.limits.Begin(entry.ask.Tenant)
	}
	if entry.reserved && !entry.ask.AdmitOnly {
		granted.tenant = entry.ask.Tenant
	}
	known.works[granted.id] = granted
	delete(known.asks, granted.id)
	d.tell(granted, now)
}

func (d *Dispatcher) query(entry *waiting, known *node) enginechoice.Query {
	ask := entry.ask
	query := enginechoice.Query{
		Pool: d.lane.Pool, Zone: known.zone, Shared: ask.Shared, OwnTokens: ask.OwnTokens, MemoryTokens: ask.MemoryTokens,
		Batch: ask.Batch, BatchPercent: ask.BatchPercent,
		Former: d.names[ask.Former], Connected: known.connected,
	}
	if len(ask.Exclude) > 0 {
		query.Exclude = make(map[enginechoice.Incarnation]bool, len(ask.Exclude))
		for _, engine := range ask.Exclude {
			query.Exclude[d.names[engine]] = true
		}
	}
	return query
}

// tell has a grant sent.
func (d *Dispatcher) tell(granted *work, now time.Time) {
	granted.toldAt = now
	reply := d.reply(granted.node)
	reply.Grants = append(reply.Grants, granted.grant)
}

// stopOne has the batch run at an engine stopped that began last: it has lost
// the least.
func (d *Dispatcher) stopOne(engine enginechoice.Incarnation, now time.Time) {
	var last *work
	for _, known := range d.nodes {
		for _, request := range known.works {
			if request.engine != engine || !request.counted.Batch || request.stopped {
				continue
			}
			if last == nil || request.since.After(last.since) || (request.since.Equal(last.since) && request.id > last.id) {
				last = request
			}
		}
	}
	if last == nil {
		return
	}
	last.stopped, last.toldAt = true, now
	d.engines.Finish(engine, last.counted, enginechoice.Abandoned, now)
	reply := d.reply(last.node)
	reply.Stops = append(reply.Stops, last.id)
}

// grantBatch gives batch items what online requests leave: those that can be in
// time first, and of these the one that is due first.
func (d *Dispatcher) grantBatch(now time.Time) {
	if len(d.online) > 0 {
		return
	}
	d.batch = false
	var queue []*waiting
	for _, known := range d.nodes {
		for _, entry := range known.asks {
			if entry.ask.Batch {
				queue = append(queue, entry)
			}
		}
	}
	slices.SortFunc(queue, func(a, b *waiting) int {
		return cmp.Or(
			ordering.FalseFirst(a.ask.Late, b.ask.Late), cmp.Compare(a.ask.TenantRank, b.ask.TenantRank), cmp.Compare(a.ask.Rank, b.ask.Rank),
			a.due.Compare(b.due), cmp.Compare(a.ask.ID, b.ask.ID),
		)
	})
	if len(queue) == 0 {
		return
	}
	room := d.engines.BatchCapacity(d.lane.Pool, queue[0].ask.RoomPercent, now)
	for _, entry := range queue[:min(room, len(queue))] {
		if !d.grant(entry, now) && entry.ask.Suspect.Content == 0 {
			return // what is free goes to those at the front
		}
	}
}

package grant

import (
	"cmp"
	"slices"
	"time"
)

// grantBatch grants batch requests the capacity that online requests leave.
func (d *Dispatcher) grantBatch(now time.Time) {
	if len(d.online) > 0 {
		d.batchStalls.ungranted(BatchWaitsForOnline, 0)
		return
	}
	if d.policies.Overload.Overloaded(now) {
		d.batchStalls.ungranted(BatchWaitsForOverload, 0)
		return
	}
	d.retryBatch = false
	queue := d.arrangeBatch(now)
	if len(queue) == 0 {
		d.batchStalls.granted(now)
		return
	}
	capacity := d.engines.BatchCapacity(d.lane.Pool, queue[0].entry.ask.RoomPercent, now)
	if capacity == 0 {
		d.batchStalls.ungranted(BatchWaitsForSlot, capacity)
	}
	for _, waiting := range queue[:min(capacity, len(queue))] {
		ask := waiting.entry.ask
		if d.tryGrant(waiting.entry, now) == isGranted {
			d.batchStalls.granted(now)
			continue
		}
		d.batchStalls.ungranted(BatchWaitsForEngine, capacity)
		if ask.Suspect.Content == 0 && len(ask.Exclude) == 0 {
			return // keep the free capacity for the requests at the front
		}
	}
}

// arrangeBatch returns the batch requests in the order in which slots are granted. Requests that
// are not late come first.
func (d *Dispatcher) arrangeBatch(now time.Time) []*Waiting {
	var queue []*Waiting
	for _, known := range d.nodes {
		for _, entry := range known.queued {
			if entry.ask.Batch {
				entry.InTime = !entry.ask.Late
				queue = append(queue, &entry.Waiting)
			}
		}
	}
	slices.SortFunc(queue, func(a, b *Waiting) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Node, b.Node)) })
	d.policies.BatchOrder.Arrange(queue, now)
	return queue
}

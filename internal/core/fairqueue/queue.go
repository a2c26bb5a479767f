// Package fairqueue divides a scarce resource among flows, rows or tenants, by weight. Tags
// keeps the account of the flows; Queue is a bounded queue in which the requests of rows wait
// in the order of their tags.
//
// The discipline is start-time fair queueing. A request gets a start tag, the
// larger of the virtual time and its flow's last finish tag; its finish tag is
// the start tag plus cost over weight. The lowest start tag is served first, and
// the virtual time is the start tag of the request served last. For any two flows
// that stay backlogged over an interval, the work served for each, divided by the
// flow's weight, differs by at most c1/w1 + c2/w2, where c is the flow's largest
// cost. No flow falls behind by more than one request of its own and one of the
// other's.
package fairqueue

import (
	"container/heap"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
)

// Ticket is one waiting request.
type Ticket struct {
	Row      identity.RowID
	Weight   int     // at least 1
	Cost     float64 // above zero, in the same unit for the whole queue
	Deadline time.Time

	start    float64
	sequence uint64
	position int // in the heap; -1 after removal
}

// Queue is a bounded weighted fair queue of the rows' requests; callers remove a request at its
// deadline. Its zero value is not usable.
type Queue struct {
	limit    int
	sequence uint64
	tags     *Tags[identity.RowID]
	waiting  ticketHeap
}

// NewQueue returns a queue that holds at most limit tickets.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, tags: NewTags[identity.RowID]()}
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return len(q.waiting) }

// Push queues a ticket. It returns false when the queue is full.
func (q *Queue) Push(ticket *Ticket) bool {
	if len(q.waiting) >= q.limit {
		return false
	}
	if len(q.waiting) == 0 {
		// No row is backlogged, so earlier finish tags no longer count.
		q.tags.Forget()
	}
	ticket.start = q.tags.Charge(ticket.Row, ticket.Cost/float64(max(ticket.Weight, 1)))
	q.sequence++
	ticket.sequence = q.sequence
	heap.Push(&q.waiting, ticket)
	return true
}

// Peek returns the ticket to be served next, or nil if the queue is empty.
func (q *Queue) Peek() *Ticket {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.waiting[0]
}

// Serve removes a waiting ticket as served and advances the virtual time.
func (q *Queue) Serve(ticket *Ticket) {
	q.tags.Advance(ticket.start)
	q.Remove(ticket)
}

// Remove removes a ticket without serving it. A ticket that is not in the queue is
// ignored.
func (q *Queue) Remove(ticket *Ticket) {
	if ticket.position < 0 || ticket.position >= len(q.waiting) || q.waiting[ticket.position] != ticket {
		return
	}
	heap.Remove(&q.waiting, ticket.position)
}

// ticketHeap orders tickets by start tag, then by arrival.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int { return len(h) }

func (h ticketHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].sequence < h[j].sequence
}

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(value any) {
	ticket := value.(*Ticket)
	ticket.position = len(*h)
	*h = append(*h, ticket)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.position = -1
	return last
}

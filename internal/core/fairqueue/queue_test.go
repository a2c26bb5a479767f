package fairqueue_test

import (
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/fairqueue"
	"ringstream.example/ringstream/internal/core/identity"
	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

// referenceQueue is the reference model: the same discipline with loops over an unsorted list.
type referenceQueue struct {
	waiting     []*referenceTicket
	virtualTime float64
	finish      map[identity.RowID]float64
}

type referenceTicket struct {
	ticket *fairqueue.Ticket
	start  float64
}

func (n *referenceQueue) push(ticket *fairqueue.Ticket) {
	if len(n.waiting) == 0 {
		n.finish = map[identity.RowID]float64{}
	}
	start := max(n.virtualTime, n.finish[ticket.Row])
	n.finish[ticket.Row] = start + ticket.Cost/float64(ticket.Weight)
	n.waiting = append(n.waiting, &referenceTicket{ticket, start})
}

func (n *referenceQueue) next() *referenceTicket {
	var best *referenceTicket
	for _, candidate := range n.waiting {
		if best == nil || candidate.start < best.start {
			best = candidate
		}
	}
	return best
}

func (n *referenceQueue) remove(ticket *fairqueue.Ticket) {
	n.waiting = slices.DeleteFunc(n.waiting, func(other *referenceTicket) bool { return other.ticket == ticket })
}

func TestQueueAgreesWithReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := fairqueue.NewQueue(20)
		reference := &referenceQueue{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				ticket := &fairqueue.Ticket{
					Row:    identity.RowID(strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "row"))),
					Weight: rapid.IntRange(1, 5).Draw(t, "weight"), Cost: float64(rapid.IntRange(1, 50).Draw(t, "cost")),
				}
				pushed := queue.Push(ticket)
				if pushed != (len(reference.waiting) < 20) {
					t.Fatalf("pushed: %v with %d waiting", pushed, len(reference.waiting))
				}
				if pushed {
					reference.push(ticket)
				}
			case 2:
				want, got := reference.next(), queue.Peek()
				if (want == nil) != (got == nil) || (want != nil && want.ticket != got) {
					t.Fatalf("next ticket is %+v, reference model has %+v", got, want)
				}
				if got != nil {
					queue.Serve(got)
					reference.virtualTime = max(reference.virtualTime, want.start)
					reference.remove(got)
				}
			case 3:
				if len(reference.waiting) > 0 {
					gone := reference.waiting[rapid.IntRange(0, len(reference.waiting)-1).Draw(t, "gone")].ticket
					queue.Remove(gone)
					queue.Remove(gone) // a second time changes nothing
					reference.remove(gone)
				}
			}
			if queue.Len() != len(reference.waiting) {
				t.Fatalf("%d waiting, reference model has %d", queue.Len(), len(reference.waiting))
			}
		}
	})
}

// TestFairnessBound checks that over any interval in which two rows stay backlogged, the work
// served for each, divided by its weight, differs by at most c1/w1 + c2/w2.
func TestFairnessBound(t *testing.T) {
	const maxCost = 50.0
	rapid.Check(t, func(t *rapid.T) {
		weights := [2]int{rapid.IntRange(1, 10).Draw(t, "w1"), rapid.IntRange(1, 10).Draw(t, "w2")}
		queue := fairqueue.NewQueue(1000)
		push := func(row int) {
			queue.Push(&fairqueue.Ticket{Row: identity.RowID(strconv.Itoa(row)), Weight: weights[row], Cost: float64(rapid.IntRange(1, maxCost).Draw(t, "cost"))})
		}
		for range 3 {
			push(0)
			push(1)
		}
		bound := maxCost/float64(weights[0]) + maxCost/float64(weights[1])
		var low, high, difference float64 // extremes of the running difference; an interval is the difference of two of its points
		for range 200 {
			next := queue.Peek()
			queue.Serve(next)
			row, _ := strconv.Atoi(string(next.Row))
			push(row)
			share := next.Cost / float64(weights[row])
			if row == 1 {
				share = -share
			}
			difference += share
			low, high = min(low, difference), max(high, difference)
		}
		if high-low > bound+1e-9 {
			t.Fatalf("rows drifted apart by %v, bound %v (weights %v)", high-low, bound, weights)
		}
	})
}

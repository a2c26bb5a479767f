package admission_test

import (
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/admission"
	"ringstream.example/ringstream/internal/core/identity"
	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

// naiveQueue is the discipline by plain loops over an unsorted list.
type naiveQueue struct {
	waiting     []*naiveTicket
	virtualTime float64
	finish      map[identity.RowID]float64
}

type naiveTicket struct {
	ticket *admission.Ticket
	start  float64
}

func (n *naiveQueue) push(ticket *admission.Ticket) {
	if len(n.waiting) == 0 {
		n.finish = map[identity.RowID]float64{}
	}
	start := max(n.virtualTime, n.finish[ticket.Row])
	n.finish[ticket.Row] = start + ticket.Cost/float64(ticket.Weight)
	n.waiting = append(n.waiting, &naiveTicket{ticket, start})
}

func (n *naiveQueue) next() *naiveTicket {
	var best *naiveTicket
	for _, candidate := range n.waiting {
		if best == nil || candidate.start < best.start {
			best = candidate
		}
	}
	return best
}

func (n *naiveQueue) remove(ticket *admission.Ticket) {
	n.waiting = slices.DeleteFunc(n.waiting, func(other *naiveTicket) bool { return other.ticket == ticket })
}

func TestQueueAgreesWithNaiveTwin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := admission.NewQueue(20)
		naive := &naiveQueue{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				ticket := &admission.Ticket{
					Row:    identity.RowID(strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "row"))),
					Weight: rapid.IntRange(1, 5).Draw(t, "weight"), Cost: float64(rapid.IntRange(1, 50).Draw(t, "cost")),
				}
				pushed := queue.Push(ticket)
				if pushed != (len(naive.waiting) < 20) {
					t.Fatalf("pushed: %v with %d waiting", pushed, len(naive.waiting))
				}
				if pushed {
					naive.push(ticket)
				}
			case 2:
				want, got := naive.next(), queue.Peek()
				if (want == nil) != (got == nil) || (want != nil && want.ticket != got) {
					t.Fatalf("next is %+v, naive says %+v", got, want)
				}
				if got != nil {
					queue.Serve(got)
					naive.virtualTime = max(naive.virtualTime, want.start)
					naive.remove(got)
				}
			case 3:
				if len(naive.waiting) > 0 {
					gone := naive.waiting[rapid.IntRange(0, len(naive.waiting)-1).Draw(t, "gone")].ticket
					queue.Remove(gone)
					queue.Remove(gone) // a second time changes nothing
					naive.remove(gone)
				}
			}
			if queue.Len() != len(naive.waiting) {
				t.Fatalf("%d waiting, naive says %d", queue.Len(), len(naive.waiting))
			}
		}
	})
}

// TestFairnessBound: over any interval in which two rows stay backlogged, the
// work served by weight differs by at most c1/w1 + c2/w2.
func TestFairnessBound(t *testing.T) {
	const most = 50.0
	rapid.Check(t, func(t *rapid.T) {
		weights := [2]int{rapid.IntRange(1, 10).Draw(t, "w1"), rapid.IntRange(1, 10).Draw(t, "w2")}
		queue := admission.NewQueue(1000)
		push := func(row int) {
			queue.Push(&admission.Ticket{Row: identity.RowID(strconv.Itoa(row)), Weight: weights[row], Cost: float64(rapid.IntRange(1, most).Draw(t, "cost"))})
		}
		for range 3 {
			push(0)
			push(1)
		}
		bound := most/float64(weights[0]) + most/float64(weights[1])
		var low, high, difference float64 // of the running difference: any interval is a difference of two points
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

package sharing

import (
	"context"
	"net"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/loadsum"
	"ringstream.example/ringstream/internal/wait"
)

// aggregate sums up while other nodes report to this one.
func (s *Share) aggregate(ctx context.Context, datagrams net.PacketConn) {
	pause := s.config.SumEvery
	var told lastTotal
	for wait.For(ctx, pause) {
		now := time.Now()
		s.mu.Lock()
		acting := s.tree.Acting(now)
		var summary loadsum.Summary
		var others []string
		var totals map[string]loadsum.Total
		if acting {
			summary, others = s.tree.Summary(now)
			totals = s.tree.Totals(summary, now)
		}
		s.mu.Unlock()
		largest := s.tellSummary(datagrams, summary, others)
		largest = max(largest, s.tellTotals(datagrams, totals, &told))
		pause = max(s.config.SumEvery, time.Duration(largest)*time.Second/time.Duration(s.config.SumBytes))
	}
}

// tellSummary tells other aggregators this one's sum; one that has nothing to
// tell says nothing. It gives the datagram's length.
func (s *Share) tellSummary(datagrams net.PacketConn, summary loadsum.Summary, to []string) int {
	if len(summary.Loads) == 0 && len(summary.Backlogs) == 0 {
		return 0
	}
	told := message{Kind: kindSummary, Life: summary.Life, Sequence: summary.Sequence, Loads: flatten(summary.Loads.Busiest(s.config.SumEngines)), Backlogs: flattenBacklogs(summary.Backlogs)}
	return s.send(datagrams, told, to...)
}

// lastTotal is what the nodes that ask were last told.
type lastTotal struct {
	loads []uint32
	nodes int
	at    time.Time
}

// tellTotals tells the nodes that ask the sum of all. One that they know is told again now and then, as a sign that the aggregator is
// alive. It gives the length of the longest datagram.
func (s *Share) tellTotals(datagrams net.PacketConn, totals map[string]loadsum.Total, last *lastTotal) int {
	if len(totals) == 0 {
		return 0
	}
	var loads []uint32
	for _, total := range totals {
		loads = flatten(total.Loads.Busiest(s.config.SumEngines)) // the same for all
		break
	}
	if len(totals) == last.nodes && slices.Equal(loads, last.loads) && time.Since(last.at) < s.config.SumAgain {
		return 0
	}
	*last = lastTotal{loads: loads, nodes: len(totals), at: time.Now()}
	largest := 0
	for address, total := range totals {
		told := message{Kind: kindTotal, Life: total.Life, Included: total.Included, Loads: loads, Backlogs: flattenBacklogs(total.Backlogs)}
		largest = max(largest, s.send(datagrams, told, address))
	}
	return largest
}

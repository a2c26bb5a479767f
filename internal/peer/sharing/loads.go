package sharing

import (
	"context"
	"errors"
	"maps"
	"math"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/loadsum"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/wait"
)

// messageKind says what a datagram holds.
type messageKind uint8

const (
	kindReport  messageKind = iota + 1 // a node to its aggregator
	kindSummary                        // an aggregator to others
	kindTotal                          // an aggregator to the nodes that report to it
)

// message is one datagram. It is sent often, so it is small: loads stand in a
// flat list of loadFields each.
type message struct {
	Kind     messageKind
	Life     uint32 // of the sender; kindTotal: of the receiver
	Sequence uint64
	Included uint64 // kindTotal: the receiver's newest report in it
	// Loads holds for each engine: hash of its id, online and batch requests,
	// tokens to prefill and of memory, in units of tokenUnit.
	Loads   []uint32
	Wants   bool     // kindReport
	Wanting []uint32 // kindSummary, kindTotal
}

const (
	loadFields = 5
	tokenUnit  = 16 // counts of tokens are told in this unit, rounded up
)

// flatten gives the same list for the same loads.
func flatten(loads loadsum.Loads) []uint32 {
	flat := make([]uint32, 0, len(loads)*loadFields)
	for _, engine := range slices.Sorted(maps.Keys(loads)) {
		counts := loads[engine]
		if counts == (enginechoice.Counts{}) {
			continue
		}
		flat = append(flat, engine, small(counts.Online), small(counts.Batch), units(counts.PrefillTokens), units(counts.MemoryTokens))
	}
	return flat
}

func unflatten(flat []uint32) loadsum.Loads {
	loads := make(loadsum.Loads, len(flat)/loadFields)
	for ; len(flat) >= loadFields; flat = flat[loadFields:] {
		loads[flat[0]] = enginechoice.Counts{
			Online: int(flat[1]), Batch: int(flat[2]), PrefillTokens: int(flat[3]) * tokenUnit, MemoryTokens: int(flat[4]) * tokenUnit,
		}
	}
	return loads
}

func small(count int) uint32 { return uint32(min(max(count, 0), math.MaxInt32)) } //nolint:gosec // bounded

func units(tokens int) uint32 { return small((tokens + tokenUnit - 1) / tokenUnit) }

// Nudge has the node tell its work soon, not only when its time has come.
func (s *Share) Nudge() {
	select {
	case s.nudges <- struct{}{}:
	default:
	}
}

// report tells the aggregator this node's work as it changes, and hands on
// what is known of the others'. A node that has nothing under way says so now
// and then, so that it goes on hearing of the others.
func (s *Share) report(ctx context.Context, datagrams net.PacketConn) {
	var idleTold time.Time
	for {
		idle := s.reportOnce(datagrams, time.Since(idleTold) < s.config.IdleEvery)
		if !idle {
			idleTold = time.Time{}
		} else if time.Since(idleTold) >= s.config.IdleEvery {
			idleTold = time.Now()
		}
		if !s.pause(ctx) {
			return
		}
	}
}

// reportOnce reports whether the node is idle; one that is tells it unless
// quiet.
func (s *Share) reportOnce(datagrams net.PacketConn, quiet bool) (idle bool) {
	loads := s.loads()
	wants := s.local.Wants()
	now := time.Now()
	s.lookAtPeers(now)
	s.mu.Lock()
	own := s.tree.SetOwn(loads, wants)
	before, heard := s.tree.Asked()
	aggregator := s.tree.Aggregator(now)
	remote, wanting := s.tree.Remote(now)
	s.mu.Unlock()
	if aggregator != before {
		events.AggregatorChanged.Log(s.logger, zap.String("from", before), zap.String("to", aggregator), zap.Duration("silent", silence(heard, now)))
	}
	idle = len(loads) == 0 && !wants
	if aggregator != s.config.Address && (!idle || !quiet) {
		s.send(datagrams, message{Kind: kindReport, Life: own.Life, Sequence: own.Sequence, Loads: flatten(own.Loads), Wants: own.Wants}, aggregator)
	}
	if now.Sub(s.toldAt) >= s.config.SumEvery {
		s.toldAt = now
		s.local.Told(s.byEngine(remote), wanting)
	}
	return idle
}

// lookAtPeers has the tree know the nodes that may be alive.
func (s *Share) lookAtPeers(now time.Time) {
	if now.Sub(s.lookedAt) < s.config.LookEvery {
		return
	}
	s.lookedAt = now
	peers, seeds := s.local.Peers(), s.local.Seeds()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree.SetPeers(peers, seeds)
}

// silence is how long an aggregator has said nothing; zero: it was never asked.
func silence(heard, now time.Time) time.Duration {
	if heard.IsZero() {
		return 0
	}
	return now.Sub(heard)
}

func (s *Share) loads() loadsum.Loads {
	loads := make(loadsum.Loads)
	for engine, counts := range s.local.Loads() {
		loads[loadsum.EngineHash(engine)] = counts
	}
	return loads
}

func (s *Share) byEngine(loads loadsum.Loads) map[string]enginechoice.Counts {
	named := make(map[string]enginechoice.Counts, len(loads))
	for _, engine := range s.local.Engines() {
		if counts, told := loads[loadsum.EngineHash(engine)]; told {
			named[engine] = counts
		}
	}
	return named
}

// pause waits for the time to tell again, or less when there is news.
func (s *Share) pause(ctx context.Context) bool {
	if !wait.For(ctx, s.config.Soonest) {
		return false
	}
	timer := time.NewTimer(s.config.Every - s.config.Soonest)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-s.nudges:
	}
	return true
}

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
	if len(summary.Loads) == 0 && len(summary.Wanting) == 0 {
		return 0
	}
	told := message{Kind: kindSummary, Life: summary.Life, Sequence: summary.Sequence, Loads: flatten(summary.Loads.Busiest(s.config.SumEngines)), Wanting: summary.Wanting}
	return s.send(datagrams, told, to...)
}

// lastTotal is what the nodes that report here were last told.
type lastTotal struct {
	loads []uint32
	nodes int
	at    time.Time
}

// tellTotals tells the nodes that report here the sum of all. One that they
// know is told again now and then, as a sign that the aggregator is alive.
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
		told := message{Kind: kindTotal, Life: total.Life, Included: total.Included, Loads: loads, Wanting: total.Wanting}
		largest = max(largest, s.send(datagrams, told, address))
	}
	return largest
}

// send gives the length of what was sent; it is a hint, so what cannot be sent
// is left out.
func (s *Share) send(datagrams net.PacketConn, told message, to ...string) int {
	content := s.codec.Write(told)
	if len(content) > datagramBytes {
		return 0
	}
	for _, peer := range to {
		if address, err := net.ResolveUDPAddr("udp", peer); err == nil {
			_, _ = datagrams.WriteTo(content, address)
		}
	}
	return len(content)
}

func (s *Share) listen(ctx context.Context, datagrams net.PacketConn) {
	buffer := make([]byte, datagramBytes)
	for ctx.Err() == nil {
		count, from, err := datagrams.ReadFrom(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if told, err := s.codec.Read(buffer[:count]); err == nil {
			s.hear(from.String(), told)
		}
	}
}

func (s *Share) hear(from string, told message) {
	now := time.Now()
	loads := unflatten(told.Loads)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch told.Kind {
	case kindReport:
		s.tree.HearReport(from, loadsum.Report{Life: told.Life, Sequence: told.Sequence, Loads: loads, Wants: told.Wants}, now)
	case kindSummary:
		s.tree.HearSummary(from, loadsum.Summary{Life: told.Life, Sequence: told.Sequence, Loads: loads, Wanting: told.Wanting}, now)
	case kindTotal:
		s.tree.HearTotal(from, loadsum.Total{Life: told.Life, Included: told.Included, Loads: loads, Wanting: told.Wanting}, now)
	}
}

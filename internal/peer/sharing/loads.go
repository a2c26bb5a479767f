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
	kindReport  messageKind = iota + 1 // a node to its aggregator, or to others directly
	kindSummary                        // an aggregator to others
	kindTotal                          // an aggregator to the nodes that ask it
	kindPreempt                        // a node to one whose batch request is to be stopped
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
	Engine  uint32 // kindPreempt: hash of its id
	Backlog uint32 // kindReport: batch items that wait
	Asks    bool   // kindReport
	Scope   uint8  // kindReport: of the sender; kindTotal: of the receiver
	// Backlogs holds for each node that has one: hash of its life, items.
	Backlogs []uint32 // kindSummary, kindTotal
}

const (
	loadFields    = 5
	backlogFields = 2
	tokenUnit     = 16 // counts of tokens are told in this unit, rounded up
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

func flattenBacklogs(backlogs []loadsum.Backlog) []uint32 {
	flat := make([]uint32, 0, len(backlogs)*backlogFields)
	for _, known := range backlogs {
		flat = append(flat, known.Node, small(known.Items))
	}
	return flat
}

func unflattenBacklogs(flat []uint32) []loadsum.Backlog {
	backlogs := make([]loadsum.Backlog, 0, len(flat)/backlogFields)
	for ; len(flat) >= backlogFields; flat = flat[backlogFields:] {
		backlogs = append(backlogs, loadsum.Backlog{Node: flat[0], Items: int(flat[1])})
	}
	return backlogs
}

func small(count int) uint32 { return uint32(min(max(count, 0), math.MaxInt32)) } //nolint:gosec // bounded

func units(tokens int) uint32 { return small((tokens + tokenUnit - 1) / tokenUnit) }

// Nudge has the node tell its work soon, not only when its time has come.
func (s *Share) Nudge() { signal(s.nudges) }

// signal leaves a token in a channel that holds one.
func signal(tokens chan struct{}) {
	select {
	case tokens <- struct{}{}:
	default:
	}
}

// report sends this node's work as it changes, and hands on what is known of
// the others'. A node that has nothing under way says so now and then, so that
// it goes on hearing of the others.
func (s *Share) report(ctx context.Context, datagrams net.PacketConn) {
	var idleTold time.Time
	for {
		idle, direct := s.reportOnce(datagrams, time.Since(idleTold) < s.config.IdleEvery)
		if !idle {
			idleTold = time.Time{}
		} else if time.Since(idleTold) >= s.config.IdleEvery {
			idleTold = time.Now()
		}
		if !s.pause(ctx, direct) {
			return
		}
	}
}

// reportOnce reports whether the node is idle, and how many bytes it sent to
// other nodes directly. One that is idle says nothing if quiet.
func (s *Share) reportOnce(datagrams net.PacketConn, quiet bool) (idle bool, direct int) {
	loads := s.loads()
	backlog := s.local.Backlog()
	now := time.Now()
	s.lookAtPeers(now)
	s.mu.Lock()
	before, heard := s.tree.Asked()
	aggregator := s.tree.Aggregator(now)
	own := s.tree.SetOwn(loads, backlog)
	others := s.tree.Direct()
	s.mu.Unlock()
	if aggregator != before {
		events.AggregatorChanged.Log(s.logger, zap.String("from", before), zap.String("to", aggregator), zap.Duration("silent", silence(heard, now)), zap.Stringer("scope", own.Scope))
	}
	idle = len(loads) == 0 && backlog == 0
	if !idle || !quiet {
		direct = s.sendReport(datagrams, own, aggregator, others)
	}
	if now.Sub(s.toldAt) >= s.config.SumEvery {
		s.toldAt = now
		s.deliver()
	}
	return idle, direct
}

// sendReport sends a report to the aggregator and to the nodes that are told
// directly. It gives the bytes sent to those.
func (s *Share) sendReport(datagrams net.PacketConn, own loadsum.Report, aggregator string, others []string) int {
	told := message{Kind: kindReport, Life: own.Life, Sequence: own.Sequence, Loads: flatten(own.Loads), Backlog: small(own.Backlog), Scope: uint8(own.Scope)}
	bytes := 0
	if len(others) > 0 {
		bytes = s.send(datagrams, told, others...) * len(others)
	}
	if aggregator != s.config.Address {
		told.Asks = true
		s.send(datagrams, told, aggregator)
	}
	return bytes
}

// deliver hands on what is known of the others' work.
func (s *Share) deliver() {
	s.mu.Lock()
	remote, backlogs := s.tree.Remote(time.Now())
	preemptible := s.tree.Preemptible()
	s.mu.Unlock()
	counts := make(map[string]enginechoice.Counts, len(remote))
	byName := make(map[string]int, len(preemptible))
	for _, engine := range s.local.Engines() {
		hash := loadsum.EngineHash(engine)
		if load, some := remote[hash]; some {
			counts[engine] = load
		}
		if batch := preemptible[hash]; batch > 0 {
			byName[engine] = batch
		}
	}
	s.local.Told(counts, byName, backlogs)
}

// Preempt asks the node that runs the most batch requests at an engine to stop
// one; false when none is known. The message is a hint: where it is lost, the
// engine is relieved when its excess is seen in the reports.
func (s *Share) Preempt(engine, request string) bool {
	hash := loadsum.EngineHash(engine)
	s.mu.Lock()
	address, age, found := s.tree.Preempt(hash, time.Now())
	s.mu.Unlock()
	datagrams := s.datagrams.Load()
	if !found || datagrams == nil {
		return false
	}
	events.PreemptionAsked.Log(s.logger, zap.String("request", request), zap.String("engine", engine), zap.String("peer", address), zap.Duration("report_age", age))
	s.send(*datagrams, message{Kind: kindPreempt, Engine: hash}, address)
	return true
}

// deliverSoon hands on what other nodes reported directly, as soon as it comes
// but with a pause that grows with the number of engines.
func (s *Share) deliverSoon(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.heard:
		}
		s.deliver()
		pause := max(s.config.DeliverEvery, time.Duration(len(s.local.Engines()))*deliverPerEngine)
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// deliverPerEngine is the pause for each known engine between two deliveries,
// which look at each of them: some 300 ns an engine, so under 2 % of a core.
const deliverPerEngine = 20 * time.Microsecond

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

// pause waits for the time to report again, or less when there is news. What
// was sent directly lengthens it where it goes beyond the bytes allowed.
func (s *Share) pause(ctx context.Context, direct int) bool {
	soonest, longest := s.config.Soonest, s.config.Every
	if direct > 0 {
		soonest, longest = s.config.DirectSoonest, s.config.DirectEvery
		now := time.Now()
		soonest = max(soonest, s.directBytes.ReserveN(now, min(direct, s.directBytes.Burst())).DelayFrom(now))
	}
	if !wait.For(ctx, soonest) {
		return false
	}
	timer := time.NewTimer(max(longest-soonest, 0))
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
	if len(summary.Loads) == 0 && len(summary.Backlogs) == 0 {
		return 0
	}
	told := message{Kind: kindSummary, Life: summary.Life, Sequence: summary.Sequence, Loads: flatten(summary.Loads.Busiest(s.config.SumEngines)), Backlogs: flattenBacklogs(summary.Backlogs)}
	return s.send(datagrams, told, to...)
}

// lastTotal is what the nodes that ask were last told, by their scope.
type lastTotal struct {
	loads map[loadsum.Scope][]uint32
	nodes int
	at    time.Time
}

// tellTotals tells the nodes that ask what they do not hear directly. A sum
// that they know is told again now and then, as a sign that the aggregator is
// alive. It gives the length of the longest datagram.
func (s *Share) tellTotals(datagrams net.PacketConn, totals map[string]loadsum.Total, last *lastTotal) int {
	if len(totals) == 0 {
		return 0
	}
	loads := make(map[loadsum.Scope][]uint32)
	for _, total := range totals {
		if _, known := loads[total.Scope]; !known {
			loads[total.Scope] = flatten(total.Loads.Busiest(s.config.SumEngines)) // the same for all of a scope
		}
	}
	if len(totals) == last.nodes && maps.EqualFunc(loads, last.loads, slices.Equal) && time.Since(last.at) < s.config.SumAgain {
		return 0
	}
	*last = lastTotal{loads: loads, nodes: len(totals), at: time.Now()}
	largest := 0
	for address, total := range totals {
		told := message{Kind: kindTotal, Life: total.Life, Included: total.Included, Loads: loads[total.Scope], Backlogs: flattenBacklogs(total.Backlogs), Scope: uint8(total.Scope)}
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
	if told.Kind == kindPreempt {
		s.local.Preempt(told.Engine, from)
		return
	}
	now := time.Now()
	loads := unflatten(told.Loads)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch told.Kind {
	case kindReport:
		s.tree.HearReport(from, loadsum.Report{
			Life: told.Life, Sequence: told.Sequence, Loads: loads, Backlog: int(told.Backlog), Scope: loadsum.Scope(told.Scope), Asks: told.Asks,
		}, now)
		if s.tree.Scope() != loadsum.AggregatorScope {
			signal(s.heard)
		}
	case kindSummary:
		s.tree.HearSummary(from, loadsum.Summary{Life: told.Life, Sequence: told.Sequence, Loads: loads, Backlogs: unflattenBacklogs(told.Backlogs)}, now)
	case kindTotal:
		s.tree.HearTotal(from, loadsum.Total{Scope: loadsum.Scope(told.Scope), Life: told.Life, Included: told.Included, Loads: loads, Backlogs: unflattenBacklogs(told.Backlogs)}, now)
	}
}

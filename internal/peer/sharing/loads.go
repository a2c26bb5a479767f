package sharing

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/loadsum"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/wait"
)

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

// deliverPerEngine is the pause for each known engine between two deliveries.
// A delivery looks at each engine, so that the share of the processor that
// deliveries take does not grow with their number.
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
		told, err := s.codec.Read(buffer[:count])
		if err == nil {
			err = s.hear(from.String(), told)
		}
		if err != nil {
			s.noteDropped(from.String(), err)
		}
	}
}

// errUnknownMessage: a datagram of a kind or scope that this program does not
// know.
var errUnknownMessage = errors.New("sharing: a message of an unknown kind or scope")

// droppedEvery is the least pause between two log lines about dropped datagrams:
// while nodes of two versions run beside each other, all of some nodes' are.
const droppedEvery = time.Second

// noteDropped logs that a datagram was dropped, and how many since the last line.
func (s *Share) noteDropped(from string, err error) {
	s.dropped++
	if time.Since(s.droppedAt) < droppedEvery {
		return
	}
	events.PeerMessageDropped.Log(s.logger, zap.String("peer", from), zap.Int("messages", s.dropped), zap.Error(err))
	s.dropped, s.droppedAt = 0, time.Now()
}

// hear takes a message; one that is not known changes nothing.
func (s *Share) hear(from string, told message) error {
	if told.Kind < kindReport || told.Kind > kindPreempt || told.Scope > uint8(loadsum.FleetScope) {
		return errUnknownMessage
	}
	if told.Kind == kindPreempt {
		s.local.Preempt(told.Engine, from)
		return nil
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
		s.tree.HearTotal(from, loadsum.Total{Life: told.Life, Included: told.Included, Loads: loads, Backlogs: unflattenBacklogs(told.Backlogs)}, now)
	}
	return nil
}

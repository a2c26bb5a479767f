// Package sharing is what pass-through nodes tell each other: in datagrams,
// the work that each has under way at the engines, so that all see an engine's
// whole load; over TCP, the platform's documents, for a node that the store
// refuses or does not reach. Both are gob. What is told is a hint: it is lost
// without harm, and nothing durable rests on it.
package sharing

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/wait"
)

// Report is one node's work at all engines. It is sent often, so it is small:
// names stand as hashes, and the loads in a flat list of loadFields each.
type Report struct {
	Node     string // this life of the node
	Sequence uint64
	// Loads holds for each engine: hash of its id, online and batch requests,
	// tokens to prefill, tokens of memory.
	Loads []uint32
	// Wants says that the node has batch items that wait for an engine.
	Wants bool
}

const loadFields = 5

// engineHash stands for an engine's id in a report.
func engineHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) } //nolint:gosec // the low half is meant

// Question asks for the documents that the asker lacks.
type Question struct {
	RoutesVersion int64 // that the asker has
	RowsSince     int64 // newest version of an engine's row that the asker has
}

// Documents answers a Question.
type Documents struct {
	RoutesVersion int64
	Routes        []byte // nil: nothing newer
	Rows          []passthrough.Row
	// Age is how long ago the answerer heard the store.
	Age time.Duration
}

// Local is the node that tells and asks.
type Local interface {
	// Loads gives this node's work at the engines.
	Loads() map[string]enginechoice.Counts
	// Engines gives the ids of the engines that this node knows.
	Engines() []string
	// Peers gives the addresses of the other nodes.
	Peers() []string
	// Blind says whether this node does not hear the store.
	Blind() bool
	// Question gives what this node has.
	Question() Question
	// Answer gives what the asker lacks.
	Answer(Question) Documents
	// Learn takes an answer; from is the peer's address.
	Learn(documents Documents, from string)
	// Wants says whether this node has batch items that wait for an engine.
	Wants() bool
	// Told takes the sum of the other nodes' work at the engines, and the nodes
	// that have batch items waiting.
	Told(counts map[string]enginechoice.Counts, wanting []string)
}

// Config says how often nodes tell and ask.
type Config struct {
	Address string // IP:port, for both kinds
	Every   time.Duration
	// PerPeer lengthens the pause with the number of peers, so that what a node
	// hears stays bounded in a large fleet.
	PerPeer  time.Duration
	Trust    time.Duration // a report counts this long
	AskEvery time.Duration
}

// DefaultConfig suits some dozen nodes.
func DefaultConfig(address string) Config {
	return Config{Address: address, Every: 100 * time.Millisecond, PerPeer: 8 * time.Millisecond, Trust: 800 * time.Millisecond, AskEvery: 250 * time.Millisecond}
}

const (
	datagramBytes = 32 << 10
	askTime       = 400 * time.Millisecond
	answerTime    = time.Second
	documentBytes = 8 << 20
)

// heard is the newest report of one node.
type heard struct {
	report Report
	at     time.Time
}

// Share tells and asks for one node.
type Share struct {
	config Config
	local  Local
	self   string
	logger *zap.Logger

	nudges chan struct{} // has one token when there is news to tell

	mu    sync.Mutex // guards nodes
	nodes map[string]heard
}

// New makes a share for a life of a node.
func New(config Config, self string, local Local, logger *zap.Logger) *Share {
	return &Share{config: config, local: local, self: self, logger: logger, nodes: make(map[string]heard), nudges: make(chan struct{}, 1)}
}

// Run tells and listens until ctx ends.
func (s *Share) Run(ctx context.Context) error {
	var network net.ListenConfig
	datagrams, err := network.ListenPacket(ctx, "udp", s.config.Address)
	if err != nil {
		return err
	}
	network.SetMultipathTCP(false)
	listener, err := network.Listen(ctx, "tcp", s.config.Address)
	if err != nil {
		return errors.Join(err, datagrams.Close())
	}
	ended := context.AfterFunc(ctx, func() {
		_ = datagrams.Close()
		_ = listener.Close()
	})
	defer ended()
	var group sync.WaitGroup
	for _, part := range []func(){
		func() { s.tell(ctx, datagrams) },
		func() { s.listen(ctx, datagrams) },
		func() { s.answer(ctx, listener) },
		func() { s.ask(ctx) },
	} {
		group.Go(part)
	}
	group.Wait()
	return nil
}

// Nudge has the node tell its work soon, not only when its time has come.
func (s *Share) Nudge() {
	select {
	case s.nudges <- struct{}{}:
	default:
	}
}

// tell sends this node's report to all peers, and sums up theirs. A node that
// has nothing under way says so once.
func (s *Share) tell(ctx context.Context, datagrams net.PacketConn) {
	silent := false
	for sequence := uint64(1); ; sequence++ {
		peers := s.local.Peers()
		report := s.report(sequence)
		if len(report.Loads) > 0 || report.Wants || !silent {
			s.send(datagrams, report, peers)
		}
		silent = len(report.Loads) == 0 && !report.Wants
		s.local.Told(s.sum(time.Now()))
		pause := max(s.config.Every, time.Duration(len(peers))*s.config.PerPeer)
		if !s.pause(ctx, pause) {
			return
		}
	}
}

// pause waits for the time to tell again, or less when there is news.
func (s *Share) pause(ctx context.Context, pause time.Duration) bool {
	least := pause / nudgeShare
	if !wait.For(ctx, least) {
		return false
	}
	timer := time.NewTimer(pause - least)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-s.nudges:
	}
	return true
}

// nudgeShare is the part of the pause that news waits for at least.
const nudgeShare = 5

func (s *Share) report(sequence uint64) Report {
	report := Report{Node: s.self, Sequence: sequence, Wants: s.local.Wants()}
	for engine, counts := range s.local.Loads() {
		report.Loads = append(report.Loads, engineHash(engine), small(counts.Online), small(counts.Batch), small(counts.PrefillTokens), small(counts.MemoryTokens))
	}
	return report
}

func small(count int) uint32 { return uint32(min(max(count, 0), math.MaxInt32)) } //nolint:gosec // bounded

func (s *Share) send(datagrams net.PacketConn, report Report, peers []string) {
	var message bytes.Buffer
	if err := gob.NewEncoder(&message).Encode(report); err != nil || message.Len() > datagramBytes {
		return // a hint; the next report comes soon
	}
	for _, peer := range peers {
		if address, err := net.ResolveUDPAddr("udp", peer); err == nil {
			_, _ = datagrams.WriteTo(message.Bytes(), address) // a hint
		}
	}
}

func (s *Share) listen(ctx context.Context, datagrams net.PacketConn) {
	buffer := make([]byte, datagramBytes)
	for ctx.Err() == nil {
		count, _, err := datagrams.ReadFrom(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var report Report
		if gob.NewDecoder(bytes.NewReader(buffer[:count])).Decode(&report) == nil {
			s.hear(report)
		}
	}
}

// hear takes a report unless a newer one of its node was heard.
func (s *Share) hear(report Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if report.Node != s.self && report.Sequence > s.nodes[report.Node].report.Sequence {
		s.nodes[report.Node] = heard{report: report, at: time.Now()}
	}
}

// sum adds up the reports that still count.
func (s *Share) sum(now time.Time) (total map[string]enginechoice.Counts, wanting []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byHash := make(map[uint32]enginechoice.Counts)
	trust := s.config.Trust + 2*time.Duration(len(s.nodes))*s.config.PerPeer
	for node, told := range s.nodes {
		if now.Sub(told.at) > trust {
			delete(s.nodes, node)
			continue
		}
		if told.report.Wants {
			wanting = append(wanting, node)
		}
		for loads := told.report.Loads; len(loads) >= loadFields; loads = loads[loadFields:] {
			counts := byHash[loads[0]]
			counts.Online += int(loads[1])
			counts.Batch += int(loads[2])
			counts.PrefillTokens += int(loads[3])
			counts.MemoryTokens += int(loads[4])
			byHash[loads[0]] = counts
		}
	}
	total = make(map[string]enginechoice.Counts, len(byHash))
	for _, engine := range s.local.Engines() {
		if counts, told := byHash[engineHash(engine)]; told {
			total[engine] = counts
		}
	}
	return total, wanting
}

// answer serves questions until the listener closes.
func (s *Share) answer(ctx context.Context, listener net.Listener) {
	for ctx.Err() == nil {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go s.answerOne(connection)
		}
	}
}

func (s *Share) answerOne(connection net.Conn) {
	defer connection.Close() //nolint:errcheck // what could be said is said
	_ = connection.SetDeadline(time.Now().Add(answerTime))
	var question Question
	if gob.NewDecoder(io.LimitReader(connection, documentBytes)).Decode(&question) == nil {
		_ = gob.NewEncoder(connection).Encode(s.local.Answer(question)) // the asker asks again
	}
}

// ask asks a peer now and then while the store is not heard.
func (s *Share) ask(ctx context.Context) {
	for wait.For(ctx, s.config.AskEvery) {
		peers := s.local.Peers()
		if !s.local.Blind() || len(peers) == 0 {
			continue
		}
		peer := peers[rand.IntN(len(peers))]
		documents, err := s.askOne(ctx, peer)
		if err != nil {
			events.PeerNotAsked.Log(s.logger, zap.String("peer", peer), zap.Error(err))
			continue
		}
		s.local.Learn(documents, peer)
	}
}

func (s *Share) askOne(ctx context.Context, peer string) (Documents, error) {
	var documents Documents
	dialer := net.Dialer{Timeout: askTime}
	connection, err := dialer.DialContext(ctx, "tcp", peer)
	if err != nil {
		return documents, err
	}
	defer connection.Close() //nolint:errcheck // only read
	_ = connection.SetDeadline(time.Now().Add(askTime))
	if err := gob.NewEncoder(connection).Encode(s.local.Question()); err != nil {
		return documents, err
	}
	err = gob.NewDecoder(io.LimitReader(connection, documentBytes)).Decode(&documents)
	return documents, err
}

// Package sharing is what pass-through nodes tell each other: in datagrams,
// the work that each has under way at the engines, summed up as package loadsum
// says, so that all see an engine's whole load; over TCP, the platform's documents, for a node that the store
// refuses or does not reach. Both are gob. What is told is a hint: it is lost
// without harm, and nothing durable rests on it.
package sharing

import (
	"context"
	"encoding/gob"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/loadsum"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/wait"
)

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

// ask is what a node sends to another over TCP: one of its parts is given.
type ask struct {
	Question *Question
	Store    *StoreCall
}

// answer is what comes back.
type answer struct {
	Documents *Documents
	Store     *StoreAnswer
}

// Local is the node that tells and asks.
type Local interface {
	// Loads gives this node's work at the engines.
	Loads() map[string]enginechoice.Counts
	// Engines gives the ids of the engines that this node knows.
	Engines() []string
	// Peers gives the other nodes that may be alive.
	Peers() []loadsum.Peer
	// Seeds gives addresses to turn to while no other node is known.
	Seeds() []string
	// Blind says whether this node does not hear the store.
	Blind() bool
	// Question gives what this node has.
	Question() Question
	// Answer gives what the asker lacks.
	Answer(Question) Documents
	// Learn takes an answer; from is the peer's address.
	Learn(documents Documents, from string)
	// CallStore makes a call to the store for another node.
	CallStore(ctx context.Context, call StoreCall) StoreAnswer
	// Backlog counts this node's batch items that wait for an engine and can
	// still be in time.
	Backlog() int
	// Told takes the sum of the other nodes' work at the engines, how many of
	// their batch requests there can be stopped by Share.Preempt, and their
	// backlogs.
	Told(counts map[string]enginechoice.Counts, preemptible map[string]int, backlogs []loadsum.Backlog)
	// Preempt stops one of this node's batch requests at an engine, given by
	// loadsum.EngineHash, if there is one; from is the peer that asks.
	Preempt(engine uint32, from string)
}

// Config says how often nodes tell and ask.
type Config struct {
	Address string // IP:port, for both kinds
	Zone    string
	// Every is the longest pause between two reports of a node that has work
	// under way, and Soonest the shortest.
	Every, Soonest time.Duration
	// DirectEvery and DirectSoonest are the same for reports that other nodes
	// are sent directly, and DirectBytes bounds these, in bytes a second.
	DirectEvery, DirectSoonest time.Duration
	DirectBytes                int
	// DeliverEvery is the least pause between two deliveries of such reports.
	DeliverEvery time.Duration
	// IdleEvery is the pause between the reports of a node that has none.
	IdleEvery time.Duration
	// SumEvery is the pause between an aggregator's sums, and SumBytes lengthens
	// it: no node is told more than so many bytes a second.
	SumEvery time.Duration
	SumBytes int
	// SumEngines is the most engines that a sum tells of, the busiest ones.
	SumEngines int
	// SumAgain is the longest pause between two of them that say the same.
	SumAgain time.Duration
	AskEvery time.Duration
	// LookEvery is the pause between two looks at which nodes there are.
	LookEvery time.Duration
	Sums      loadsum.Config
}

// DefaultConfig suits some hundred nodes in zones of some dozen.
func DefaultConfig(address, zone string) Config {
	return Config{
		Address: address, Zone: zone, Every: 100 * time.Millisecond, Soonest: 20 * time.Millisecond,
		DirectEvery: 200 * time.Millisecond, DirectSoonest: 2 * time.Millisecond, DirectBytes: 64 << 10, DeliverEvery: time.Millisecond,
		IdleEvery: 300 * time.Millisecond,
		SumEvery:  50 * time.Millisecond, SumBytes: 12 << 10, SumEngines: 200, SumAgain: 150 * time.Millisecond,
		AskEvery: 250 * time.Millisecond, LookEvery: 100 * time.Millisecond, Sums: loadsum.DefaultConfig(),
	}
}

const (
	datagramBytes = 32 << 10
	askTime       = 400 * time.Millisecond
	answerTime    = time.Second
	documentBytes = 8 << 20
)

// Share tells and asks for one node.
type Share struct {
	config Config
	local  Local
	logger *zap.Logger

	nudges chan struct{} // has one token when there is news to tell
	heard  chan struct{} // has one token when another node reported directly
	codec  *codec

	// Of the goroutine that reports:
	directBytes *rate.Limiter // of bytes sent directly
	toldAt      time.Time     // when it last had Told called
	lookedAt    time.Time     // when the nodes were last looked at

	// Of the goroutine that listens:
	dropped   int       // datagrams since the last log line about them
	droppedAt time.Time // when that was

	datagrams atomic.Pointer[net.PacketConn] // nil before Run

	mu   sync.Mutex // guards tree
	tree *loadsum.Tree
}

// New makes a share for a life of a node.
func New(config Config, self string, local Local, logger *zap.Logger) *Share {
	tree := loadsum.New(config.Sums, loadsum.Peer{Address: config.Address, Zone: config.Zone}, loadsum.NodeHash(self))
	return &Share{
		config: config, local: local, logger: logger, tree: tree, codec: newCodec(),
		nudges: make(chan struct{}, 1), heard: make(chan struct{}, 1),
		directBytes: rate.NewLimiter(rate.Limit(config.DirectBytes), config.DirectBytes),
	}
}

// Run tells and listens until ctx ends.
func (s *Share) Run(ctx context.Context) error {
	var network net.ListenConfig
	datagrams, err := network.ListenPacket(ctx, "udp", s.config.Address)
	if err != nil {
		return err
	}
	s.datagrams.Store(&datagrams)
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
		func() { s.report(ctx, datagrams) },
		func() { s.aggregate(ctx, datagrams) },
		func() { s.listen(ctx, datagrams) },
		func() { s.deliverSoon(ctx) },
		func() { s.serveAsks(ctx, listener) },
		func() { s.askPeers(ctx) },
	} {
		group.Go(part)
	}
	group.Wait()
	return nil
}

// serveAsks serves what others ask until the listener closes.
func (s *Share) serveAsks(ctx context.Context, listener net.Listener) {
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
	var asked ask
	if gob.NewDecoder(io.LimitReader(connection, storeCallBytes)).Decode(&asked) != nil {
		return
	}
	var told answer
	switch {
	case asked.Question != nil:
		documents := s.local.Answer(*asked.Question)
		told.Documents = &documents
	case asked.Store != nil:
		told.Store = s.answerStore(connection, *asked.Store)
	}
	_ = gob.NewEncoder(connection).Encode(told) // the asker asks again
}

// askPeers asks a peer now and then while the store is not heard.
func (s *Share) askPeers(ctx context.Context) {
	for wait.For(ctx, s.config.AskEvery) {
		peers := s.known()
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

// known gives the addresses of the other nodes, or of the seeds.
func (s *Share) known() []string {
	var addresses []string
	for _, peer := range s.local.Peers() {
		addresses = append(addresses, peer.Address)
	}
	if len(addresses) == 0 {
		return s.local.Seeds()
	}
	return addresses
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
	question := s.local.Question()
	if err := gob.NewEncoder(connection).Encode(ask{Question: &question}); err != nil {
		return documents, err
	}
	answered := answer{Documents: &documents}
	err = gob.NewDecoder(io.LimitReader(connection, documentBytes)).Decode(&answered)
	return documents, err
}

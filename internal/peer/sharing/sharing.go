// Package sharing is what pass-through nodes tell each other: in datagrams,
// what each has under way and waiting in a lane of engines, what its dispatcher
// grants (package core/grant), which engines ended under which contents (package
// core/quarantine), and that a node is alive (package core/liveness); over TCP, the platform's documents, for
// a node that the store refuses or does not reach. Both are gob. What is told is
// a hint: it is lost without harm, and nothing durable rests on it.
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

	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/liveness"
	"ringstream.example/ringstream/internal/core/quarantine"
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
	// Age is how long before the question the answerer heard the store, at the most.
	Age time.Duration
	// Stale: a node of the two was suspended between question and answer, which confirms nothing.
	Stale bool
}

// ask is what a node sends to another over TCP: one of its parts is given.
type ask struct {
	Question *Question
	Store    *StoreCall
	Follow   *FollowCall
}

// answer is what comes back.
type answer struct {
	Documents *Documents
	Store     *StoreAnswer
	Follow    *FollowAnswer
}

// Local is the node that asks and answers.
type Local interface {
	// Peers gives the addresses of the other nodes that may be alive.
	Peers() []string
	// Seeds gives addresses to turn to while no other node is known.
	Seeds() []string
	// Suspensions counts how often this node's machine was suspended.
	Suspensions() uint64
	// Blind says whether this node does not hear the store.
	Blind() bool
	// Question gives what this node has.
	Question() Question
	// Answer gives what the asker lacks.
	Answer(Question) Documents
	// Learn takes an answer to a question sent at a time; from is the peer's address.
	Learn(documents Documents, from string, asked time.Time)
	// CallStore makes a call to the store for another node.
	CallStore(ctx context.Context, call StoreCall) StoreAnswer
}

// Slots hears what other nodes say about slots; an error says that a message
// was not taken.
type Slots interface {
	HearState(from string, lane grant.Lane, state grant.State) error
	HearReply(from string, lane grant.Lane, reply grant.Reply) error
}

// Crashes hears from other nodes which engines ended under which contents.
type Crashes interface {
	Hear(from string, crashes []quarantine.Crash)
	// Gravest gives what a node that has just started must know.
	Gravest() []quarantine.Crash
}

// Watchers hears from other nodes who is alive.
type Watchers interface {
	HearLiveness(from string, message liveness.Message)
}

// Config says where nodes hear each other, and how often one asks.
type Config struct {
	Address  string        // IP:port, for both kinds
	AskEvery time.Duration // pause between two questions while the store is not heard
}

// DefaultConfig suits nodes some milliseconds apart.
func DefaultConfig(address string) Config {
	return Config{Address: address, AskEvery: 250 * time.Millisecond}
}

const (
	askTime       = 400 * time.Millisecond
	answerTime    = time.Second
	documentBytes = 8 << 20
)

// Share tells and asks for one node.
type Share struct {
	config   Config
	local    Local
	slots    Slots
	crashes  Crashes
	watchers Watchers
	logger   *zap.Logger
	codec    *codec[message]
	alive    *codec[liveness.Message]
	tables   Tables // nil: this node answers nobody from its copies
	follows  follows
	large    spacing // of answers with many rows

	// Of the goroutine that listens:
	dropped   int       // datagrams since the last log line about them
	droppedAt time.Time // when that was

	datagrams atomic.Pointer[net.PacketConn] // nil before Run
}

// New makes a share for a life of a node.
func New(config Config, local Local, slots Slots, crashes Crashes, watchers Watchers, logger *zap.Logger) *Share {
	messages := newCodec[message]()
	return &Share{
		config: config, local: local, slots: slots, crashes: crashes, watchers: watchers, logger: logger,
		codec: messages, alive: newCodec[liveness.Message](),
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
		func() { s.listen(ctx, datagrams) },
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
			go s.answerOne(ctx, connection)
		}
	}
}

func (s *Share) answerOne(ctx context.Context, raw net.Conn) {
	defer raw.Close() //nolint:errcheck // what could be said is said
	ended := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer ended()
	_ = raw.SetDeadline(time.Now().Add(answerTime))
	connection := newStream(raw)
	var asked ask
	if connection.receive(&asked, storeCallBytes) != nil {
		return
	}
	var told answer
	switch {
	case asked.Follow != nil:
		s.serveFollower(ctx, connection, *asked.Follow)
		return
	case asked.Question != nil:
		documents, done := s.answerQuestion(*asked.Question)
		defer done()
		told.Documents = &documents
	case asked.Store != nil:
		told.Store = s.answerStore(raw, *asked.Store)
	}
	_ = connection.write.Encode(told) // the asker asks again
}

// askPeers asks a peer now and then while the store is not heard.
func (s *Share) askPeers(ctx context.Context) {
	for wait.For(ctx, s.config.AskEvery) {
		peers := s.known()
		if !s.local.Blind() || len(peers) == 0 {
			continue
		}
		peer := peers[rand.IntN(len(peers))]
		suspensions := s.local.Suspensions()
		documents, asked, err := s.askOne(ctx, peer)
		documents.Stale = documents.Stale || s.local.Suspensions() != suspensions
		if err != nil {
			events.PeerNotAsked.Log(s.logger, zap.String("peer", peer), zap.Error(err))
			continue
		}
		s.local.Learn(documents, peer, asked)
	}
}

// known gives the addresses of the other nodes, or of the seeds.
func (s *Share) known() []string {
	if peers := s.local.Peers(); len(peers) > 0 {
		return peers
	}
	return s.local.Seeds()
}

// askOne asks a peer, and gives when it did.
func (s *Share) askOne(ctx context.Context, peer string) (documents Documents, asked time.Time, err error) {
	dialer := net.Dialer{Timeout: askTime}
	connection, err := dialer.DialContext(ctx, "tcp", peer)
	if err != nil {
		return documents, asked, err
	}
	defer connection.Close() //nolint:errcheck // only read
	question := s.local.Question()
	asked = time.Now()
	_ = connection.SetDeadline(asked.Add(askTime))
	if err := gob.NewEncoder(connection).Encode(ask{Question: &question}); err != nil {
		return documents, asked, err
	}
	answered := answer{Documents: &documents}
	err = gob.NewDecoder(io.LimitReader(connection, documentBytes)).Decode(&answered)
	return documents, asked, err
}

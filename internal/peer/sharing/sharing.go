// Package sharing exchanges state between pass-through nodes. Datagrams carry the
// requests that a node has in flight and waiting in a lane of engines, the grants of
// a lane's dispatcher (package core/grant), reports of engines that crashed on certain
// contents (package core/quarantine), and liveness messages (package core/liveness).
// TCP connections carry the platform's documents to nodes that the store refuses or
// that cannot reach it. Both use gob. The exchanged data is a hint: losing it does no
// harm, and nothing durable depends on it.
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
	"ringstream.example/ringstream/internal/core/streamorigin"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	released "ringstream.example/ringstream/internal/peer/sharing/released/grant"
	"ringstream.example/ringstream/internal/wait"
)

// Question requests the documents that are newer than those of the requesting node.
type Question struct {
	RoutesVersion int64 // version of the requesting node's routes
	RowsSince     int64 // newest version among the requesting node's rows of engines
}

// Documents answers a Question.
type Documents struct {
	RoutesVersion int64
	Routes        []byte // nil if there is nothing newer
	Rows          []passthrough.Row
	// Age is an upper bound of the time between the answering node's last contact with the store
	// and the question.
	Age time.Duration
	// Stale says that one of the two nodes was suspended between question and answer, so that the
	// answer does not confirm that the documents are current.
	Stale bool
}

// ask is a request that a node sends to another over TCP. Exactly one of its fields is set.
type ask struct {
	Question *Question
	Store    *StoreCall
	Follow   *FollowCall
}

// answer is the response to an ask. The field that corresponds to that of the ask is set.
type answer struct {
	Documents *Documents
	Store     *StoreAnswer
	Follow    *FollowAnswer
}

// Local is the node on whose behalf a Share sends and answers requests.
type Local interface {
	// Peers returns the addresses of the other nodes that may be alive.
	Peers() []string
	// Seeds returns the addresses to contact while no other node is known.
	Seeds() []string
	// Suspensions returns how often this node's machine was suspended.
	Suspensions() uint64
	// StoreUnreachable reports whether this node has no contact with the store.
	StoreUnreachable() bool
	// Question returns the request for documents newer than this node's.
	Question() Question
	// Answer returns the documents that the requesting node lacks.
	Answer(Question) Documents
	// ApplyDocuments applies an answer from the peer at the address from; askedAt is when the question was sent.
	ApplyDocuments(documents Documents, from string, askedAt time.Time)
	// CallStore makes a call to the store for another node.
	CallStore(ctx context.Context, call StoreCall) StoreAnswer
}

// Slots receives the messages of other nodes about slots. An error means that the
// message was not accepted.
type Slots interface {
	HandleState(from string, lane grant.Lane, state grant.State) error
	HandleReply(from string, lane grant.Lane, reply grant.Reply) error
	HandleLimitUse(from string, lane grant.Lane, use grant.LimitUse) error
	HandleAttachment(from string, message grant.AttachmentMessage) error
}

// Crashes receives the reports of other nodes about engines that crashed on certain contents.
type Crashes interface {
	AddPeerCrashes(from string, crashes []quarantine.Crash)
	// StartupReports returns the reports that a node needs when it has just started.
	StartupReports() []quarantine.Crash
}

// Watchers receives the liveness messages of other nodes.
type Watchers interface {
	HandleLiveness(from string, message liveness.Message)
}

// Origins receives the messages of other nodes about the origins of streams.
type Origins interface {
	HandleMessage(from string, message streamorigin.Message)
}

// noOrigins drops all messages.
type noOrigins struct{}

// HandleMessage implements Origins.
func (noOrigins) HandleMessage(string, streamorigin.Message) {}

// Config sets the address of a node and the interval of its questions.
type Config struct {
	Address  string        // IP:port, for both UDP and TCP
	AskEvery time.Duration // pause between two questions while the store cannot be reached
}

// DefaultConfig returns a configuration for nodes with some milliseconds of latency between them.
func DefaultConfig(address string) Config {
	return Config{Address: address, AskEvery: 250 * time.Millisecond}
}

const (
	askTimeout       = 400 * time.Millisecond
	answerTimeout    = time.Second
	maxDocumentBytes = 8 << 20
)

// Share exchanges state with other nodes on behalf of one node.
type Share struct {
	config            Config
	local             Local
	slots             Slots
	crashes           Crashes
	watchers          Watchers
	origins           Origins
	logger            *zap.Logger
	releasedCodec     *codec[released.Message]
	livenessCodec     *codec[liveness.Message]
	messageCodec      *codec[message]
	originsCodec      *codec[streamorigin.Message]
	attachmentCodec   *codec[grant.AttachmentMessage]
	upgraded          upgradedPeers
	tables            Tables // nil if this node does not answer from its copies
	followConnections connectionPool
	largeAnswers      largeAnswerLimiter // limits answers with many rows

	// Used by the listening goroutine only:
	dropped     int       // datagrams dropped since lastDropLog
	lastDropLog time.Time // when dropped datagrams were last logged

	datagrams atomic.Pointer[net.PacketConn] // nil before Run
}

// UseOrigins sets the receiver of messages about the origins of streams. It must be called before Run.
func (s *Share) UseOrigins(origins Origins) { s.origins = origins }

// New creates the share of a node, for one run of its process.
func New(config Config, local Local, slots Slots, crashes Crashes, watchers Watchers, logger *zap.Logger) *Share {
	share := &Share{
		config: config, local: local, slots: slots, crashes: crashes, watchers: watchers, origins: noOrigins{}, logger: logger,
		upgraded: upgradedPeers{lastHeard: make(map[string]time.Time)},
	}
	// The order is that in which earlier builds created theirs, see newCodec.
	share.releasedCodec = newCodec[released.Message]()
	share.livenessCodec = newCodec[liveness.Message]()
	share.messageCodec = newCodec[message]()
	share.originsCodec = newCodec[streamorigin.Message]()
	share.attachmentCodec = newCodec[grant.AttachmentMessage]()
	return share
}

// sockets are those at which a node receives datagrams and connections of other nodes.
type sockets struct {
	datagrams net.PacketConn
	listener  net.Listener
}

// listenAt opens the sockets at an address.
func listenAt(ctx context.Context, address string) (sockets, error) {
	var network net.ListenConfig
	datagrams, err := network.ListenPacket(ctx, "udp", address)
	if err != nil {
		return sockets{}, err
	}
	network.SetMultipathTCP(false)
	listener, err := network.Listen(ctx, "tcp", address)
	if err != nil {
		return sockets{}, errors.Join(err, datagrams.Close())
	}
	return sockets{datagrams: datagrams, listener: listener}, nil
}

// Run sends and serves messages and requests until ctx ends.
func (s *Share) Run(ctx context.Context) error {
	opened, err := listenAt(ctx, s.config.Address)
	if err != nil {
		return err
	}
	s.serve(ctx, opened)
	return nil
}

// serve sends and serves messages and requests at the sockets until ctx ends, and closes them.
func (s *Share) serve(ctx context.Context, opened sockets) {
	s.datagrams.Store(&opened.datagrams)
	stopClosing := context.AfterFunc(ctx, func() {
		_ = opened.datagrams.Close()
		_ = opened.listener.Close()
	})
	defer stopClosing()
	var group sync.WaitGroup
	for _, part := range []func(){
		func() { s.listen(ctx, opened.datagrams) },
		func() { s.serveRequests(ctx, opened.listener) },
		func() { s.askPeersWhileStoreUnreachable(ctx) },
	} {
		group.Go(part)
	}
	group.Wait()
}

// serveRequests serves the requests of other nodes until the listener closes.
func (s *Share) serveRequests(ctx context.Context, listener net.Listener) {
	for ctx.Err() == nil {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go s.serveRequest(ctx, connection)
		}
	}
}

// serveRequest serves the request on a connection, or the calls of a follower, and closes it.
func (s *Share) serveRequest(ctx context.Context, raw net.Conn) {
	defer raw.Close() //nolint:errcheck // the response has been sent or has failed
	stopClosing := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stopClosing()
	_ = raw.SetDeadline(time.Now().Add(answerTimeout))
	connection := newStream(raw)
	var request ask
	if connection.receive(&request, maxStoreCallBytes) != nil {
		return
	}
	var response answer
	switch {
	case request.Follow != nil:
		s.serveFollower(ctx, connection, *request.Follow)
		return
	case request.Question != nil:
		documents, done := s.answerQuestion(*request.Question)
		defer done()
		response.Documents = &documents
	case request.Store != nil:
		response.Store = s.serveStoreCall(raw, *request.Store)
	}
	_ = connection.write.Encode(response) // the requesting node retries
}

// askPeersWhileStoreUnreachable asks a random peer for documents every AskEvery while the store cannot be reached.
func (s *Share) askPeersWhileStoreUnreachable(ctx context.Context) {
	for wait.For(ctx, s.config.AskEvery) {
		peers := s.askablePeers()
		if !s.local.StoreUnreachable() || len(peers) == 0 {
			continue
		}
		peer := peers[rand.IntN(len(peers))]
		suspensions := s.local.Suspensions()
		documents, askedAt, err := s.askPeer(ctx, peer)
		documents.Stale = documents.Stale || s.local.Suspensions() != suspensions
		if err != nil {
			events.PeerUnanswered.Log(s.logger, zap.String("peer", peer), zap.Error(err))
			continue
		}
		s.local.ApplyDocuments(documents, peer, askedAt)
	}
}

// askablePeers returns the addresses of the other nodes, or those of the seeds if there are none.
func (s *Share) askablePeers() []string {
	if peers := s.local.Peers(); len(peers) > 0 {
		return peers
	}
	return s.local.Seeds()
}

// askPeer sends this node's question to a peer. It returns the answer and the time at which the question
// was sent.
func (s *Share) askPeer(ctx context.Context, peer string) (documents Documents, askedAt time.Time, err error) {
	dialer := net.Dialer{Timeout: askTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", peer)
	if err != nil {
		return documents, askedAt, err
	}
	defer connection.Close() //nolint:errcheck // nothing is written after the question
	question := s.local.Question()
	askedAt = time.Now()
	_ = connection.SetDeadline(askedAt.Add(askTimeout))
	if err := gob.NewEncoder(connection).Encode(ask{Question: &question}); err != nil {
		return documents, askedAt, err
	}
	response := answer{Documents: &documents}
	err = gob.NewDecoder(io.LimitReader(connection, maxDocumentBytes)).Decode(&response)
	return documents, askedAt, err
}

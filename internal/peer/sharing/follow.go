package sharing

import (
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/passthrough"
)

// FollowCall requests the changes in a node's copy of a table of the store.
type FollowCall struct {
	Table string
	Since int64         // version up to which the requesting node has the table; 0: none
	Hold  time.Duration // how long the answer may wait for a change
	// After is the time, by the answering node's clock, as of which the requesting node knows the
	// copy to be complete; 0: none.
	After time.Duration
	// Parts says that the requesting node accepts an answer in parts. Nodes of older builds do not.
	Parts bool
}

// FollowRefusal is the reason why a node does not answer from its copy.
type FollowRefusal uint8

// The refusals.
const (
	NotRefused FollowRefusal = iota
	NotListed                // the node is a relay, but has not listed the table yet
	NotRelay                 // the node is not a relay, or not any more
	TooStale                 // the node's copy of the table is staler than allowed for a relay
)

// FollowAnswer answers a FollowCall.
type FollowAnswer struct {
	Refusal FollowRefusal
	Whole   bool              // Rows are the whole table, else the changes
	Rows    []passthrough.Row // in ascending order of version; sent without the table's name
	Version int64
	// At is the answering node's clock when the answer was made, and AsOf the same clock when the
	// copy was last known to be complete.
	At, AsOf time.Duration
	StoreAt  time.Duration // the store's clock at AsOf
	// Renewing says that the copy is staler than usual because the table is being listed again.
	Renewing bool
	// More says that the next answer on the connection holds further rows.
	More bool
}

// Tables answers calls from this node's copies of the store's tables.
type Tables interface {
	Follow(ctx context.Context, call FollowCall) FollowAnswer
}

// Limits of following a table through another node.
const (
	followIdleTimeout    = 15 * time.Second       // a connection without a call for this long is closed
	followWriteTimeout   = 5 * time.Second        // for sending one answer
	followAnswerMargin   = 400 * time.Millisecond // wait for an answer beyond FollowCall.Hold
	followListTimeout    = 4 * time.Second        // for receiving the listing of a whole table
	maxFollowAnswerBytes = 256 << 20              // of one part of an answer
	maxFollowCallBytes   = 4 << 10                // of one call
)

// UseTables makes the node answer others from its copies. It is called before Run.
func (s *Share) UseTables(tables Tables) { s.tables = tables }

// stream is a connection with one gob stream in each direction. A type is described once per stream.
type stream struct {
	raw     net.Conn
	limited *io.LimitedReader
	read    *gob.Decoder
	write   *gob.Encoder
}

func newStream(raw net.Conn) *stream {
	limited := &io.LimitedReader{R: raw}
	return &stream{raw: raw, limited: limited, read: gob.NewDecoder(limited), write: gob.NewEncoder(raw)}
}

// receive reads one value, which may take up to limit bytes.
func (s *stream) receive(into any, limit int64) error {
	s.limited.N = limit
	return s.read.Decode(into)
}

// serveFollower answers the calls on a connection. The first call has already been read.
func (s *Share) serveFollower(ctx context.Context, connection *stream, call FollowCall) {
	if s.tables == nil {
		return
	}
	for {
		result := s.tables.Follow(ctx, call)
		_ = connection.raw.SetDeadline(time.Now().Add(followWriteTimeout))
		if sendFollowAnswer(connection, result, call.Parts) != nil {
			return
		}
		_ = connection.raw.SetDeadline(time.Now().Add(followIdleTimeout))
		var next ask
		if connection.receive(&next, maxFollowCallBytes) != nil || next.Follow == nil {
			return
		}
		call = *next.Follow
	}
}

// sendFollowAnswer sends an answer, in parts if the requesting node accepts them.
func sendFollowAnswer(connection *stream, result FollowAnswer, parts bool) error {
	for rows := result.Rows; ; {
		count := len(rows)
		if parts {
			count = rowsInPart(rows)
		}
		part := result
		part.Rows, rows = withoutTable(rows[:count]), rows[count:]
		part.More = len(rows) > 0
		if err := connection.write.Encode(answer{Follow: &part}); err != nil || !part.More {
			return err
		}
	}
}

// withoutTable returns copies of rows without the name of their table, which the requesting node
// knows. The rows themselves are shared with other followers.
func withoutTable(rows []passthrough.Row) []passthrough.Row {
	unnamed := slices.Clone(rows)
	for i := range unnamed {
		unnamed[i].Table = ""
	}
	return unnamed
}

// maxPartBytes limits the keys and values in one part of an answer. Each part is encoded completely before
// it is sent. On a machine with 184 MB, an answer with 10,000 engines in a single part held 2.7 MB for each of
// 31 concurrent followers; in parts it holds 0.1 MB (heap in use, TestManyFollowersOfALargeTableTakeLittleMemory).
const maxPartBytes = 64 << 10

// rowsInPart returns how many of the rows the next part holds: at least one, unless there are none.
func rowsInPart(rows []passthrough.Row) int {
	bytes := 0
	for i, row := range rows {
		bytes += len(row.Key) + len(row.Value)
		if bytes > maxPartBytes {
			return max(i, 1)
		}
	}
	return len(rows)
}

// connectionPool holds this node's idle connections to the nodes whose copies it follows.
type connectionPool struct {
	mu   sync.Mutex
	idle map[string]*stream // key: peer and table, separated by a slash
}

func (p *connectionPool) take(key string) *stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	connection := p.idle[key]
	delete(p.idle, key)
	return connection
}

func (p *connectionPool) put(key string, connection *stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string]*stream)
	}
	if previous := p.idle[key]; previous != nil {
		_ = previous.raw.Close()
	}
	p.idle[key] = connection
}

// CloseIdleConnections closes the idle connections to a node whose copies are no longer followed.
func (s *Share) CloseIdleConnections(peer string) {
	s.followConnections.mu.Lock()
	defer s.followConnections.mu.Unlock()
	for key, connection := range s.followConnections.idle {
		if connection.raw.RemoteAddr().String() == peer {
			_ = connection.raw.Close()
			delete(s.followConnections.idle, key)
		}
	}
}

var errNoFollowAnswer = errors.New("the peer gave no answer about a table")

// Follow calls a node for its copy of a table. It returns the answer and the time at which the call was sent.
// The connection is kept for the next call. If the call fails on a kept connection, Follow retries once on a new one.
func (s *Share) Follow(ctx context.Context, peer string, call FollowCall) (result FollowAnswer, sentAt time.Time, err error) {
	key := peer + "/" + call.Table
	kept := s.followConnections.take(key)
	if kept != nil {
		if result, sentAt, err = s.callFollow(ctx, kept, key, call); err == nil || ctx.Err() != nil {
			return result, sentAt, err
		}
	}
	dialer := net.Dialer{Timeout: askTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", peer)
	if err != nil {
		return FollowAnswer{}, time.Time{}, err
	}
	return s.callFollow(ctx, newStream(raw), key, call)
}

// callFollow makes a call on a connection. It keeps the connection for the next call if the whole answer arrived,
// and closes it otherwise.
func (s *Share) callFollow(ctx context.Context, connection *stream, key string, call FollowCall) (result FollowAnswer, sentAt time.Time, err error) {
	stopAbort := context.AfterFunc(ctx, func() { _ = connection.raw.SetDeadline(time.Now()) })
	defer stopAbort()
	timeout := call.Hold + followAnswerMargin
	if call.Since == 0 {
		timeout = followListTimeout
	}
	sentAt = time.Now()
	_ = connection.raw.SetDeadline(sentAt.Add(timeout))
	call.Parts = true
	err = connection.write.Encode(ask{Follow: &call})
	if err == nil {
		result, err = receiveFollowAnswer(ctx, connection)
	}
	if err != nil || !stopAbort() {
		return FollowAnswer{}, sentAt, errors.Join(err, connection.raw.Close(), ctx.Err())
	}
	s.followConnections.put(key, connection)
	return result, sentAt, nil
}

// receiveFollowAnswer reads all parts of an answer. If the first part announces more, the deadline becomes
// that of a whole listing, since the node may have to send one even though the call names a version.
func receiveFollowAnswer(ctx context.Context, connection *stream) (FollowAnswer, error) {
	first, err := receivePart(connection)
	if err == nil && first.More {
		_ = connection.raw.SetDeadline(time.Now().Add(followListTimeout))
	}
	for err == nil && first.More {
		var part FollowAnswer
		part, err = receivePart(connection)
		first.Rows, first.More = append(first.Rows, part.Rows...), part.More
		err = errors.Join(err, ctx.Err()) // the deadline set when ctx ended may have been overwritten by that of the listing
	}
	return first, err
}

// receivePart reads one part of an answer.
func receivePart(connection *stream) (FollowAnswer, error) {
	response := answer{}
	if err := connection.receive(&response, maxFollowAnswerBytes); err != nil {
		return FollowAnswer{}, err
	}
	if response.Follow == nil {
		return FollowAnswer{}, errNoFollowAnswer
	}
	return *response.Follow, nil
}

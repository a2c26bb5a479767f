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

// FollowCall asks a node for what has changed in its copy of a table of the store.
type FollowCall struct {
	Table string
	Since int64         // version that the asker has followed the table to; 0: none
	Hold  time.Duration // how long the answer may wait for news
	// After is the moment, by the answerer's clock, as of which the asker knows the copy to be
	// complete; zero: none.
	After time.Duration
	// Parts: the asker takes an answer in parts. Nodes of builds before do not.
	Parts bool
}

// FollowRefusal says why a node does not answer from its copy.
type FollowRefusal uint8

// The refusals.
const (
	NotRefused FollowRefusal = iota
	NotYet                   // it is to be asked, and has not listed the table yet
	NoRelay                  // it is not, or no longer, one to ask
	TooOld                   // its copy of the table is older than one to follow may be
)

// FollowAnswer answers a FollowCall.
type FollowAnswer struct {
	Refusal FollowRefusal
	Whole   bool              // Rows are the whole table; else what has changed
	Rows    []passthrough.Row // by rising versions; sent without their table's name
	Version int64
	// At is the answerer's clock when the answer was made, and AsOf that of when the copy was
	// last known to be complete.
	At, AsOf time.Duration
	StoreAt  time.Duration // the store's clock at AsOf
	// Renewing: the copy is older than usual because the table is being listed anew.
	Renewing bool
	// More: further rows follow in the next answer on the connection.
	More bool
}

// Tables answers from this node's copies of the store's tables.
type Tables interface {
	Follow(ctx context.Context, call FollowCall) FollowAnswer
}

// Bounds of following by way of another node.
const (
	followIdle   = 15 * time.Second // a connection without a call for so long is closed
	followWrite  = 5 * time.Second  // for an answer to be taken
	followSlack  = 400 * time.Millisecond
	followWhole  = 4 * time.Second // for a whole listing to come
	followBytes  = 256 << 20       // of one answer
	followAsking = 4 << 10         // bytes of one call
)

// UseTables has the node answer others from its copies; called before Run.
func (s *Share) UseTables(tables Tables) { s.tables = tables }

// stream is a connection that carries several values of gob each way, whose types are told once.
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

// receive reads one value of so many bytes at the most.
func (s *stream) receive(into any, most int64) error {
	s.limited.N = most
	return s.read.Decode(into)
}

// serveFollower answers the calls that come on a connection, the first of which was read.
func (s *Share) serveFollower(ctx context.Context, connection *stream, call FollowCall) {
	if s.tables == nil {
		return
	}
	for {
		answered := s.tables.Follow(ctx, call)
		_ = connection.raw.SetDeadline(time.Now().Add(followWrite))
		if sendFollowed(connection, answered, call.Parts) != nil {
			return
		}
		_ = connection.raw.SetDeadline(time.Now().Add(followIdle))
		var next ask
		if connection.receive(&next, followAsking) != nil || next.Follow == nil {
			return
		}
		call = *next.Follow
	}
}

// sendFollowed answers a call, in parts where the asker takes them.
func sendFollowed(connection *stream, answered FollowAnswer, parts bool) error {
	for rows := answered.Rows; ; {
		count := len(rows)
		if parts {
			count = partOf(rows)
		}
		part := answered
		part.Rows, rows = withoutTable(rows[:count]), rows[count:]
		part.More = len(rows) > 0
		if err := connection.write.Encode(answer{Follow: &part}); err != nil || !part.More {
			return err
		}
	}
}

// withoutTable copies rows without the name of their table, which the asker knows. The rows
// themselves are other followers' too.
func withoutTable(rows []passthrough.Row) []passthrough.Row {
	unnamed := slices.Clone(rows)
	for i := range unnamed {
		unnamed[i].Table = ""
	}
	return unnamed
}

// partBytes bounds the values of one part of an answer. An answer is encoded as a whole before it is
// sent: that of 10,000 engines held 2.7 MB for each of 31 followers that asked at one moment, on a
// machine of 184 MB, and holds 0.1 MB in parts (heap in use, TestManyFollowersOfALargeTableTakeLittleMemory).
const partBytes = 64 << 10

// partOf gives how many of some rows the next part holds: one at the least, if there is any.
func partOf(rows []passthrough.Row) int {
	bytes := 0
	for i, row := range rows {
		bytes += len(row.Key) + len(row.Value)
		if bytes > partBytes {
			return max(i, 1)
		}
	}
	return len(rows)
}

// follows are this node's connections to the nodes whose copies it follows.
type follows struct {
	mu   sync.Mutex
	idle map[string]*stream // by peer and table
}

func (f *follows) take(key string) *stream {
	f.mu.Lock()
	defer f.mu.Unlock()
	connection := f.idle[key]
	delete(f.idle, key)
	return connection
}

func (f *follows) put(key string, connection *stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle == nil {
		f.idle = make(map[string]*stream)
	}
	if former := f.idle[key]; former != nil {
		_ = former.raw.Close()
	}
	f.idle[key] = connection
}

// Forget closes the connections to a node whose copies are not followed any more.
func (s *Share) Forget(peer string) {
	s.follows.mu.Lock()
	defer s.follows.mu.Unlock()
	for key, connection := range s.follows.idle {
		if connection.raw.RemoteAddr().String() == peer {
			_ = connection.raw.Close()
			delete(s.follows.idle, key)
		}
	}
}

var errNotFollowed = errors.New("the peer gave no answer about a table")

// Follow asks a node's copy, and gives when the call was sent. A connection is kept for the next
// call; one that was kept and has been closed meanwhile is replaced once.
func (s *Share) Follow(ctx context.Context, peer string, call FollowCall) (answered FollowAnswer, sent time.Time, err error) {
	key := peer + "/" + call.Table
	kept := s.follows.take(key)
	if kept != nil {
		if answered, sent, err = s.followOn(ctx, kept, key, call); err == nil || ctx.Err() != nil {
			return answered, sent, err
		}
	}
	dialer := net.Dialer{Timeout: askTime}
	raw, err := dialer.DialContext(ctx, "tcp", peer)
	if err != nil {
		return FollowAnswer{}, time.Time{}, err
	}
	return s.followOn(ctx, newStream(raw), key, call)
}

// followOn makes a call on a connection, which is kept when the answer came whole.
func (s *Share) followOn(ctx context.Context, connection *stream, key string, call FollowCall) (answered FollowAnswer, sent time.Time, err error) {
	ended := context.AfterFunc(ctx, func() { _ = connection.raw.SetDeadline(time.Now()) })
	defer ended()
	patience := call.Hold + followSlack
	if call.Since == 0 {
		patience = followWhole
	}
	sent = time.Now()
	_ = connection.raw.SetDeadline(sent.Add(patience))
	call.Parts = true
	err = connection.write.Encode(ask{Follow: &call})
	if err == nil {
		answered, err = receiveFollowed(ctx, connection)
	}
	if err != nil || !ended() {
		return FollowAnswer{}, sent, errors.Join(err, connection.raw.Close(), ctx.Err())
	}
	s.follows.put(key, connection)
	return answered, sent, nil
}

// receiveFollowed reads an answer, all of its parts. From the first of several on they have the time
// of a whole listing: the node may have to tell one though a version was asked from.
func receiveFollowed(ctx context.Context, connection *stream) (FollowAnswer, error) {
	first, err := receivePart(connection)
	if err == nil && first.More {
		_ = connection.raw.SetDeadline(time.Now().Add(followWhole))
	}
	for err == nil && first.More {
		var part FollowAnswer
		part, err = receivePart(connection)
		first.Rows, first.More = append(first.Rows, part.Rows...), part.More
		err = errors.Join(err, ctx.Err()) // its deadline may have been set before that of the listing
	}
	return first, err
}

func receivePart(connection *stream) (FollowAnswer, error) {
	told := answer{}
	if err := connection.receive(&told, followBytes); err != nil {
		return FollowAnswer{}, err
	}
	if told.Follow == nil {
		return FollowAnswer{}, errNotFollowed
	}
	return *told.Follow, nil
}

// Package peerstore reaches the platform's store by way of another node while
// the store refuses, throttles or drops this one. It owns what is believed of
// this node's own way to the store, and the choice of the peer; it decides
// nothing about what is written, and every call keeps its meaning: what is
// known of a call that failed is told as of one made directly.
package peerstore

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/peer/sharing"
	"ringstream.example/ringstream/internal/wait"
)

// Config says when the own way counts as lost and how it is tried again.
type Config struct {
	FailuresToLeave int           // failed calls in a row after which the own way counts as lost
	LeaveAfter      time.Duration // the least time between the first of them and the last
	ProbeEvery      time.Duration // pause between two tries of a lost way
	ProbeTime       time.Duration // that a try may take
	PeersTried      int           // for one call
	AloneFor        time.Duration // no peer is asked for so long after all that were said that they have lost it as well
	LeftFor         time.Duration // a peer that could not help is asked after all others for so long
}

// DefaultConfig suits a store that answers within some milliseconds.
func DefaultConfig() Config {
	return Config{FailuresToLeave: 2, LeaveAfter: 300 * time.Millisecond, ProbeEvery: 500 * time.Millisecond, ProbeTime: 400 * time.Millisecond, PeersTried: 2, AloneFor: 500 * time.Millisecond, LeftFor: 3 * time.Second}
}

// Peers are the other nodes that may make calls for this one.
type Peers interface {
	// Addresses gives those that may be alive, those to ask first at the front.
	Addresses() []string
	// CallStore has one of them make a call.
	CallStore(ctx context.Context, peer string, call sharing.StoreCall) (sharing.StoreAnswer, error)
}

// Store is the platform's store as this node reaches it. It is safe for
// concurrent use.
type Store struct {
	config  Config
	rows    passthrough.Rows
	objects passthrough.Objects
	probe   string // a table to read when the own way is tried
	logger  *zap.Logger

	mu       sync.Mutex           // guards the rest; never held during a call
	peers    Peers                // nil: there are none
	allowed  func() bool          // whether peers may be asked
	failures int                  // in a row, on the own way
	failing  time.Time            // since the first of them
	lostAt   time.Time            // zero: the own way counts as sound
	helper   string               // the peer whose call was last answered
	alone    time.Time            // until when no peer is asked
	left     map[string]time.Time // when peers last could not help
}

var (
	_ passthrough.Rows    = (*Store)(nil)
	_ passthrough.Objects = (*Store)(nil)
)

// New makes a store over the direct way to it; probe is a table that exists.
func New(config Config, rows passthrough.Rows, objects passthrough.Objects, probe string, logger *zap.Logger) *Store {
	return &Store{config: config, rows: rows, objects: objects, probe: probe, logger: logger, left: make(map[string]time.Time)}
}

// UsePeers has calls go by way of peers where the own way is lost and allowed
// says so; called before Run.
func (s *Store) UsePeers(peers Peers, allowed func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers, s.allowed = peers, allowed
}

// Lost says whether the own way to the store counts as lost.
func (s *Store) Lost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lostAt.IsZero()
}

// Run tries a lost way again until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	for wait.For(ctx, s.config.ProbeEvery) {
		if !s.Lost() {
			continue
		}
		call, cancel := context.WithTimeout(ctx, s.config.ProbeTime)
		_, err := s.rows.List(call, s.probe, "", "", "", 1)
		cancel()
		s.note(err)
	}
	return nil
}

// note takes the outcome of a call on the own way.
func (s *Store) note(err error) {
	failed := errors.Is(err, passthrough.ErrNothingDone) || errors.Is(err, passthrough.ErrOutcomeUnknown)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !failed && !s.lostAt.IsZero():
		events.OwnWayRegained.Log(s.logger, zap.Duration("after", time.Since(s.lostAt)), zap.String("helper", s.helper))
		s.failures, s.lostAt = 0, time.Time{}
	case !failed:
		s.failures = 0
	default:
		if s.failures == 0 {
			s.failing = time.Now()
		}
		s.failures++
		if s.failures >= s.config.FailuresToLeave && time.Since(s.failing) >= s.config.LeaveAfter && s.lostAt.IsZero() {
			s.lostAt = time.Now()
			events.OwnWayLost.Log(s.logger, zap.Int("failures", s.failures), zap.Error(err))
		}
	}
}

// do makes a call directly, or by way of peers where the own way is lost. A
// call that no peer could make goes the own way all the same.
func (s *Store) do(ctx context.Context, call sharing.StoreCall, direct func(context.Context) error) (sharing.StoreAnswer, bool, error) {
	if s.Lost() {
		if answered, made, err := s.byPeer(ctx, call); made {
			return answered, true, err
		}
	}
	err := direct(ctx)
	if !errors.Is(ctx.Err(), context.Canceled) {
		s.note(err) // a call that its caller ended says nothing of the store
	}
	return sharing.StoreAnswer{}, false, err
}

// byPeer has a peer make the call; made is false when none could, and none may
// have.
func (s *Store) byPeer(ctx context.Context, call sharing.StoreCall) (answered sharing.StoreAnswer, made bool, err error) {
	peers, asked := s.candidates()
	told := 0 // by peers that have lost the store as well
	for _, peer := range asked {
		answered, err = peers.CallStore(ctx, peer, call)
		if err == nil {
			err = answered.Err()
			told++
		}
		s.remember(peer, err)
		if !errors.Is(err, passthrough.ErrNothingDone) {
			return answered, true, err
		}
	}
	if len(asked) > 0 && told == len(asked) {
		s.mu.Lock()
		s.alone = time.Now().Add(s.config.AloneFor)
		s.mu.Unlock()
	}
	return answered, false, err
}

// remember notes whether a peer could help.
func (s *Store) remember(peer string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, passthrough.ErrOutcomeUnknown) || errors.Is(err, passthrough.ErrNothingDone) {
		s.left[peer] = time.Now()
		if s.helper == peer {
			s.helper = ""
		}
		return
	}
	s.helper = peer
	delete(s.left, peer)
}

// candidates gives the peers to ask: the one that helped last, then the others
// in their order, those that lately could not help at the end.
func (s *Store) candidates() (Peers, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil || time.Now().Before(s.alone) || !s.allowed() {
		return nil, nil
	}
	addresses := s.peers.Addresses()
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(s.place(a), s.place(b)) })
	return s.peers, addresses[:min(len(addresses), s.config.PeersTried)]
}

// place orders peers; the caller holds Store.mu.
func (s *Store) place(peer string) time.Duration {
	ago := time.Since(s.left[peer])
	switch {
	case peer == s.helper:
		return -1
	case ago > s.config.LeftFor:
		return 0
	default:
		return s.config.LeftFor - ago + 1 // the longest ago first
	}
}

// Commit implements passthrough.Rows.
func (s *Store) Commit(ctx context.Context, transaction passthrough.Transaction) (result passthrough.CommitResult, err error) {
	answered, byPeer, err := s.do(ctx, sharing.StoreCall{Kind: sharing.StoreCommit, Transaction: transaction}, func(ctx context.Context) (err error) {
		result, err = s.rows.Commit(ctx, transaction)
		return err
	})
	if byPeer {
		return answered.Commit, err
	}
	return result, err
}

// List implements passthrough.Rows.
func (s *Store) List(ctx context.Context, table, part, from, to string, limit int) (snapshot passthrough.Snapshot, err error) {
	call := sharing.StoreCall{Kind: sharing.StoreList, Table: table, Part: part, From: from, To: to, Limit: limit}
	answered, byPeer, err := s.do(ctx, call, func(ctx context.Context) (err error) {
		snapshot, err = s.rows.List(ctx, table, part, from, to, limit)
		return err
	})
	if byPeer {
		return answered.Snapshot, err
	}
	return snapshot, err
}

// Feed implements passthrough.Rows.
func (s *Store) Feed(ctx context.Context, table string, since int64, hold time.Duration) (snapshot passthrough.Snapshot, err error) {
	call := sharing.StoreCall{Kind: sharing.StoreFeed, Table: table, Since: since, Wait: hold}
	answered, byPeer, err := s.do(ctx, call, func(ctx context.Context) (err error) {
		snapshot, err = s.rows.Feed(ctx, table, since, hold)
		return err
	})
	if byPeer {
		return answered.Snapshot, err
	}
	return snapshot, err
}

// Parts implements passthrough.Rows; it is always asked directly.
func (s *Store) Parts(ctx context.Context, table, after string) (parts []string, more bool, err error) {
	return s.rows.Parts(ctx, table, after)
}

// PutObject implements passthrough.Objects.
func (s *Store) PutObject(ctx context.Context, name string, body []byte) error {
	_, _, err := s.do(ctx, sharing.StoreCall{Kind: sharing.StorePut, Object: name, Body: body}, func(ctx context.Context) error {
		return s.objects.PutObject(ctx, name, body)
	})
	return err
}

// GetObject implements passthrough.Objects.
func (s *Store) GetObject(ctx context.Context, name string) (body []byte, err error) {
	answered, byPeer, err := s.do(ctx, sharing.StoreCall{Kind: sharing.StoreGet, Object: name}, func(ctx context.Context) (err error) {
		body, err = s.objects.GetObject(ctx, name)
		return err
	})
	if byPeer {
		return answered.Body, err
	}
	return body, err
}

// DeleteObject implements passthrough.Objects; it is always asked directly.
func (s *Store) DeleteObject(ctx context.Context, name string) error {
	return s.objects.DeleteObject(ctx, name)
}

// ListObjects implements passthrough.Objects; it is always asked directly.
func (s *Store) ListObjects(ctx context.Context, prefix, after string) (names []string, more bool, err error) {
	return s.objects.ListObjects(ctx, prefix, after)
}

// errOwnWayLost is told to a node that asks this one while it has lost its own
// way to the store.
var errOwnWayLost = errors.New("this node does not reach the store either")

// CallFor makes a call for another node, directly and never by way of a third.
func (s *Store) CallFor(ctx context.Context, call sharing.StoreCall) (answered sharing.StoreAnswer) {
	if s.Lost() {
		return sharing.StoreAnswer{Fault: sharing.FaultNothingDone, Message: errOwnWayLost.Error()}
	}
	var err error
	switch call.Kind {
	case sharing.StoreCommit:
		answered.Commit, err = s.rows.Commit(ctx, call.Transaction)
	case sharing.StoreList:
		answered.Snapshot, err = s.rows.List(ctx, call.Table, call.Part, call.From, call.To, call.Limit)
	case sharing.StoreFeed:
		answered.Snapshot, err = s.rows.Feed(ctx, call.Table, call.Since, call.Wait)
	case sharing.StorePut:
		err = s.objects.PutObject(ctx, call.Object, call.Body)
	case sharing.StoreGet:
		answered.Body, err = s.objects.GetObject(ctx, call.Object)
	default:
		return sharing.StoreAnswer{Fault: sharing.FaultNothingDone, Message: "this node does not know the call"}
	}
	if ctx.Err() == nil {
		s.note(err) // the asker's time says nothing of this node's way
	}
	answered.Fault = sharing.FaultOf(err)
	if err != nil {
		answered.Message = err.Error()
	}
	return answered
}

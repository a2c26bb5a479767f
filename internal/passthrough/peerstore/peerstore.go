// Package peerstore reaches the platform's store through another node while the store refuses,
// throttles or drops calls of this one. It owns the state of this node's direct access to the
// store, and the choice of the peer. It decides nothing about what is written, and every call
// keeps its meaning: the error of a call through a peer says the same about the call's effect as
// that of a direct call.
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

// Config configures when direct access counts as lost, how it is probed, and how peers are chosen.
type Config struct {
	MinFailures      int           // consecutive failed calls after which direct access counts as lost
	MinFailurePeriod time.Duration // minimum time between the first and the last of them
	ProbeInterval    time.Duration // pause between two probes while direct access is lost
	ProbeTimeout     time.Duration // time limit of a probe
	MaxPeersPerCall  int           // peers asked for one call
	PeerBackoff      time.Duration // no peer is asked for this long after all asked peers answered that they cannot reach the store either
	PeerDemotionTime time.Duration // a peer that could not help is asked after all others for this long
}

// DefaultConfig returns a configuration for a store that answers within some milliseconds.
func DefaultConfig() Config {
	return Config{MinFailures: 2, MinFailurePeriod: 300 * time.Millisecond, ProbeInterval: 500 * time.Millisecond, ProbeTimeout: 400 * time.Millisecond, MaxPeersPerCall: 2, PeerBackoff: 500 * time.Millisecond, PeerDemotionTime: 3 * time.Second}
}

// Peers are the other nodes, which can make calls for this one.
type Peers interface {
	// Addresses returns the peers that may be alive, preferred ones first.
	Addresses() []string
	// CallStore asks a peer to make a call.
	CallStore(ctx context.Context, peer string, call sharing.StoreCall) (sharing.StoreAnswer, error)
}

// Store is the platform's store as this node reaches it. It is safe for concurrent use.
type Store struct {
	config     Config
	rows       passthrough.Rows
	objects    passthrough.Objects
	probeTable string // an existing table, read by probes
	logger     *zap.Logger

	mu           sync.Mutex           // guards the rest; never held during a call
	peers        Peers                // nil if there are none
	peersAllowed func() bool          // whether peers may be asked
	failures     int                  // consecutive failures of direct access
	firstFailure time.Time            // time of the first of them
	lostAt       time.Time            // when direct access was lost; zero if it is not lost
	lastHelper   string               // the peer that helped last
	noPeersUntil time.Time            // until when no peer is asked
	demotedAt    map[string]time.Time // when peers last could not help
}

var (
	_ passthrough.Rows    = (*Store)(nil)
	_ passthrough.Objects = (*Store)(nil)
)

// New returns a Store over direct access to the store. probe is the name of an existing table.
func New(config Config, rows passthrough.Rows, objects passthrough.Objects, probe string, logger *zap.Logger) *Store {
	return &Store{config: config, rows: rows, objects: objects, probeTable: probe, logger: logger, demotedAt: make(map[string]time.Time)}
}

// UsePeers makes calls go through peers while direct access is lost and allowed returns true. It
// must be called before Run.
func (s *Store) UsePeers(peers Peers, allowed func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers, s.peersAllowed = peers, allowed
}

// Lost reports whether direct access to the store counts as lost.
func (s *Store) Lost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lostAt.IsZero()
}

// Run probes lost direct access until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	for wait.For(ctx, s.config.ProbeInterval) {
		if !s.Lost() {
			continue
		}
		call, cancel := context.WithTimeout(ctx, s.config.ProbeTimeout)
		_, err := s.rows.List(call, s.probeTable, "", "", "", 1)
		cancel()
		s.recordOutcome(err)
	}
	return nil
}

// recordOutcome records the result of a direct call.
func (s *Store) recordOutcome(err error) {
	failed := errors.Is(err, passthrough.ErrNothingDone) || errors.Is(err, passthrough.ErrOutcomeUnknown)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !failed && !s.lostAt.IsZero():
		events.StoreConnectionRegained.Log(s.logger, zap.Duration("after", time.Since(s.lostAt)), zap.String("helper", s.lastHelper))
		s.failures, s.lostAt = 0, time.Time{}
	case !failed:
		s.failures = 0
	default:
		if s.failures == 0 {
			s.firstFailure = time.Now()
		}
		s.failures++
		if s.failures >= s.config.MinFailures && time.Since(s.firstFailure) >= s.config.MinFailurePeriod && s.lostAt.IsZero() {
			s.lostAt = time.Now()
			events.StoreConnectionLost.Log(s.logger, zap.Int("failures", s.failures), zap.Error(err))
		}
	}
}

// makeCall makes a call directly, or through peers while direct access is lost. A call that no
// peer could make is made directly even then.
func (s *Store) makeCall(ctx context.Context, call sharing.StoreCall, direct func(context.Context) error) (sharing.StoreAnswer, bool, error) {
	if s.Lost() {
		if answer, made, err := s.callPeers(ctx, call); made {
			return answer, true, err
		}
	}
	err := direct(ctx)
	if !errors.Is(ctx.Err(), context.Canceled) {
		s.recordOutcome(err) // a call that its caller canceled says nothing about the store
	}
	return sharing.StoreAnswer{}, false, err
}

// callPeers asks peers to make a call. made is false if no peer made it and none can have made it.
func (s *Store) callPeers(ctx context.Context, call sharing.StoreCall) (answer sharing.StoreAnswer, made bool, err error) {
	peers, asked := s.candidates()
	refusals := 0 // answers from peers that cannot reach the store either
	for _, peer := range asked {
		answer, err = peers.CallStore(ctx, peer, call)
		if err == nil {
			err = answer.Err()
			refusals++
		}
		s.recordPeer(peer, err)
		if !errors.Is(err, passthrough.ErrNothingDone) {
			return answer, true, err
		}
	}
	if len(asked) > 0 && refusals == len(asked) {
		s.mu.Lock()
		s.noPeersUntil = time.Now().Add(s.config.PeerBackoff)
		s.mu.Unlock()
	}
	return answer, false, err
}

// recordPeer records whether a peer could help.
func (s *Store) recordPeer(peer string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, passthrough.ErrOutcomeUnknown) || errors.Is(err, passthrough.ErrNothingDone) {
		s.demotedAt[peer] = time.Now()
		if s.lastHelper == peer {
			s.lastHelper = ""
		}
		return
	}
	s.lastHelper = peer
	delete(s.demotedAt, peer)
}

// candidates returns the peers to ask: the one that helped last, then the others in their order,
// and at the end those that recently could not help.
func (s *Store) candidates() (Peers, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil || time.Now().Before(s.noPeersUntil) || !s.peersAllowed() {
		return nil, nil
	}
	addresses := s.peers.Addresses()
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(s.rank(a), s.rank(b)) })
	return s.peers, addresses[:min(len(addresses), s.config.MaxPeersPerCall)]
}

// rank returns a peer's sort key; lower ranks are asked first. The caller holds mu.
func (s *Store) rank(peer string) time.Duration {
	ago := time.Since(s.demotedAt[peer])
	switch {
	case peer == s.lastHelper:
		return -1
	case ago > s.config.PeerDemotionTime:
		return 0
	default:
		return s.config.PeerDemotionTime - ago + 1 // the least recently demoted first
	}
}

// Commit implements passthrough.Rows.
func (s *Store) Commit(ctx context.Context, transaction passthrough.Transaction) (result passthrough.CommitResult, err error) {
	answer, viaPeer, err := s.makeCall(ctx, sharing.StoreCall{Kind: sharing.StoreCommit, Transaction: transaction}, func(ctx context.Context) (err error) {
		result, err = s.rows.Commit(ctx, transaction)
		return err
	})
	if viaPeer {
		return answer.Commit, err
	}
	return result, err
}

// List implements passthrough.Rows.
func (s *Store) List(ctx context.Context, table, part, from, to string, limit int) (snapshot passthrough.Snapshot, err error) {
	call := sharing.StoreCall{Kind: sharing.StoreList, Table: table, Part: part, From: from, To: to, Limit: limit}
	answer, viaPeer, err := s.makeCall(ctx, call, func(ctx context.Context) (err error) {
		snapshot, err = s.rows.List(ctx, table, part, from, to, limit)
		return err
	})
	if viaPeer {
		return answer.Snapshot, err
	}
	return snapshot, err
}

// Feed implements passthrough.Rows.
func (s *Store) Feed(ctx context.Context, table string, since int64, hold time.Duration) (snapshot passthrough.Snapshot, err error) {
	call := sharing.StoreCall{Kind: sharing.StoreFeed, Table: table, Since: since, Wait: hold}
	answer, viaPeer, err := s.makeCall(ctx, call, func(ctx context.Context) (err error) {
		snapshot, err = s.rows.Feed(ctx, table, since, hold)
		return err
	})
	if viaPeer {
		return answer.Snapshot, err
	}
	return snapshot, err
}

// Parts implements passthrough.Rows. It always calls the store directly.
func (s *Store) Parts(ctx context.Context, table, after string) (parts []string, more bool, err error) {
	return s.rows.Parts(ctx, table, after)
}

// PutObject implements passthrough.Objects.
func (s *Store) PutObject(ctx context.Context, name string, body []byte) error {
	_, _, err := s.makeCall(ctx, sharing.StoreCall{Kind: sharing.StorePut, Object: name, Body: body}, func(ctx context.Context) error {
		return s.objects.PutObject(ctx, name, body)
	})
	return err
}

// GetObject implements passthrough.Objects.
func (s *Store) GetObject(ctx context.Context, name string) (body []byte, err error) {
	answer, viaPeer, err := s.makeCall(ctx, sharing.StoreCall{Kind: sharing.StoreGet, Object: name}, func(ctx context.Context) (err error) {
		body, err = s.objects.GetObject(ctx, name)
		return err
	})
	if viaPeer {
		return answer.Body, err
	}
	return body, err
}

// DeleteObject implements passthrough.Objects. It always calls the store directly.
func (s *Store) DeleteObject(ctx context.Context, name string) error {
	return s.objects.DeleteObject(ctx, name)
}

// ListObjects implements passthrough.Objects. It always calls the store directly.
func (s *Store) ListObjects(ctx context.Context, prefix, after string) (names []string, more bool, err error) {
	return s.objects.ListObjects(ctx, prefix, after)
}

// errStoreUnreachable is returned to a peer that asks this node while it has lost direct access
// itself.
var errStoreUnreachable = errors.New("this node does not reach the store either")

// CallFor makes a call for another node. It calls the store directly and never through a third
// node.
func (s *Store) CallFor(ctx context.Context, call sharing.StoreCall) (answer sharing.StoreAnswer) {
	if s.Lost() {
		return sharing.StoreAnswer{Fault: sharing.FaultNothingDone, Message: errStoreUnreachable.Error()}
	}
	var err error
	switch call.Kind {
	case sharing.StoreCommit:
		answer.Commit, err = s.rows.Commit(ctx, call.Transaction)
	case sharing.StoreList:
		answer.Snapshot, err = s.rows.List(ctx, call.Table, call.Part, call.From, call.To, call.Limit)
	case sharing.StoreFeed:
		answer.Snapshot, err = s.rows.Feed(ctx, call.Table, call.Since, call.Wait)
	case sharing.StorePut:
		err = s.objects.PutObject(ctx, call.Object, call.Body)
	case sharing.StoreGet:
		answer.Body, err = s.objects.GetObject(ctx, call.Object)
	default:
		return sharing.StoreAnswer{Fault: sharing.FaultNothingDone, Message: "this node does not know the call"}
	}
	if ctx.Err() == nil {
		s.recordOutcome(err) // a deadline of the asking node says nothing about this node's access
	}
	answer.Fault = sharing.FaultOf(err)
	if err != nil {
		answer.Message = err.Error()
	}
	return answer
}

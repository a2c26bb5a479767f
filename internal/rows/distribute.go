package rows

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/core/rendezvous"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/wait"
)

const (
	// reorderGrace is how long a gap may come from floods that overtook each
	// other before the missing change is asked for.
	reorderGrace = 50 * time.Millisecond
	// loadRetry is the mean pause between two tries to load the first table.
	loadRetry = 500 * time.Millisecond
	// peersAsked is how many other nodes are tried before the store.
	peersAsked = 3
	// tellings is how often a poller tells its zone of a revision.
	tellings = 3
	// pollDoublings bounds the growth of the poll interval while the store is down.
	pollDoublings = 3
)

var (
	errUnready = errors.New("the other node has no table, or is catching up itself")
	errNoPeer  = errors.New("no other node answered")
	errReply   = errors.New("unexpected reply")
)

// load gets the first table: from another node, which is quick and spares the
// store, else from the store; and is ready only when one of them gave it. A
// revision that both lack comes with the next exchange.
func (s *Service) load(ctx context.Context) bool {
	for {
		err := s.snapshotFromPeers(ctx)
		if err != nil {
			err = s.loadFromStore(ctx)
		}
		if err == nil {
			s.loaded.Store(true)
			table := s.Table()
			events.RowsLoaded.Log(s.logger, zap.Uint64("revision", table.Revision()), zap.Int("rows", table.Len()))
			s.ask(want{confirm: true})
			return true
		}
		events.RowsNotLoaded.Log(s.logger, zap.Error(err))
		if !wait.For(ctx, jitter(loadRetry)) {
			return false
		}
	}
}

func (s *Service) loadFromStore(ctx context.Context) error {
	revision, rows, err := s.readTable(ctx)
	if err != nil {
		return err
	}
	s.merge(revision, rows)
	return nil
}

// repairLoop fetches what this node lacks, one fetch at a time.
func (s *Service) repairLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.repair:
		}
		s.mu.Lock()
		wanted := s.wanted
		s.wanted = want{}
		s.mu.Unlock()
		if wanted.reload {
			s.reload(ctx)
		}
		if wanted.confirm {
			s.catchUp(ctx)
		}
		s.fill(ctx, wanted)
	}
}

// fill fetches until the wanted revision is reached or nobody can give more.
func (s *Service) fill(ctx context.Context, wanted want) {
	if s.Table().Revision() >= wanted.revision || !wait.For(ctx, reorderGrace) {
		return
	}
	for s.Table().Revision() < wanted.revision {
		if s.progress(func() error { return s.fetchFromPeer(ctx, wanted.from) }) {
			continue
		}
		if !s.progress(func() error { return s.fetchAnywhere(ctx) }) && !s.progress(func() error { return s.fetchFromStore(ctx) }) {
			return // the next exchange, poll or change asks again
		}
	}
}

// progress says whether a fetch brought a higher revision.
func (s *Service) progress(fetch func() error) bool {
	before := s.Table().Revision()
	return fetch() == nil && s.Table().Revision() > before
}

// catchUp asks someone for what a pause may have hidden, then is ready again;
// when nobody answers within the limit the node goes on with what it has.
func (s *Service) catchUp(ctx context.Context) {
	deadline := time.Now().Add(s.config.CatchUpLimit)
	var pauses uint64
	for {
		pauses = s.pauses.Load() // an answer across a later one may be as old as that was long
		err := s.fetchAnywhere(ctx)
		if err == nil {
			break
		}
		if !time.Now().Before(deadline) {
			events.RowsIsolated.Log(s.logger, zap.Uint64("revision", s.Table().Revision()), zap.Error(err))
			break
		}
		if !wait.For(ctx, jitter(tickInterval)) {
			return
		}
	}
	s.caughtUp.Store(pauses)
}

// reload replaces a table that has diverged by the store's, if that is not older.
func (s *Service) reload(ctx context.Context) {
	revision, rows, err := s.readTable(ctx)
	if err != nil {
		return // the divergence is seen again at the next exchange
	}
	fresh := policy.NewTable(revision, rows)
	s.mu.Lock()
	defer s.mu.Unlock()
	if fresh.Revision() >= s.table.Load().Highest() {
		s.table.Store(fresh)
	}
}

// fetchAnywhere asks a few other nodes, then the store. No error means that
// one of them was reached and that its changes are applied.
func (s *Service) fetchAnywhere(ctx context.Context) error {
	others := s.others()
	for range min(peersAsked, len(others)) {
		at := rand.IntN(len(others)) //nolint:gosec // load spreading, not a secret
		if s.fetchFromPeer(ctx, others[at].ID) == nil {
			return nil
		}
		others = append(others[:at:at], others[at+1:]...)
	}
	return s.fetchFromStore(ctx)
}

// fetchFromPeer gets the changes after this node's revision from another node,
// or its whole table when they are too old.
func (s *Service) fetchFromPeer(ctx context.Context, id identity.NodeID) error {
	if id == "" {
		return errNoPeer
	}
	for {
		answer, err := s.call(ctx, id, changesRequest{After: s.Table().Revision()})
		if err != nil {
			return err
		}
		reply, ok := answer.(changesReply)
		switch {
		case !ok:
			return errReply
		case reply.Unready:
			return errUnready
		case reply.TooOld:
			return s.snapshotFromPeer(ctx, id)
		}
		before := s.Table().Revision()
		after := s.apply(sourcePeer, reply.Changes...)
		if after >= reply.Revision || after == before {
			return nil
		}
	}
}

func (s *Service) snapshotFromPeers(ctx context.Context) error {
	others := s.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] }) //nolint:gosec // load spreading
	err := errNoPeer
	for _, member := range others[:min(peersAsked, len(others))] {
		if err = s.snapshotFromPeer(ctx, member.ID); err == nil {
			return nil
		}
	}
	return err
}

// snapshotFromPeer gets another node's whole table page by page. The first
// page's revision counts: later pages may be newer.
func (s *Service) snapshotFromPeer(ctx context.Context, id identity.NodeID) error {
	var rows []policy.Row
	var revision uint64
	after := identity.RowID("")
	for page := 0; ; page++ {
		answer, err := s.call(ctx, id, snapshotRequest{After: after})
		if err != nil {
			return err
		}
		reply, ok := answer.(snapshotReply)
		if !ok {
			return errReply
		}
		if reply.Unready {
			return errUnready
		}
		if page == 0 {
			revision = reply.Revision
		}
		rows = append(rows, reply.Rows...)
		if reply.Done {
			s.merge(revision, rows)
			return nil
		}
		after = rows[len(rows)-1].ID
	}
}

// fetchFromStore reads the log after this node's revision; when the log no
// longer goes back that far, it reads the whole table.
func (s *Service) fetchFromStore(ctx context.Context) error {
	for {
		before := s.Table().Revision()
		entries, err := s.readLog(ctx, before, logPage)
		if err != nil {
			return err
		}
		if len(entries) > 0 && entries[0].Revision != before+1 {
			return s.loadFromStore(ctx)
		}
		changes := make([]policy.Change, len(entries))
		for i, entry := range entries {
			changes[i] = entry.change()
		}
		s.apply(sourceStore, changes...)
		if len(entries) < logPage {
			return nil
		}
	}
}

func (s *Service) call(ctx context.Context, id identity.NodeID, message any) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	return s.bus.Call(ctx, id, message)
}

// exchange compares tables with one random other node.
func (s *Service) exchange() {
	others := s.others()
	if len(others) == 0 || !s.loaded.Load() {
		return
	}
	other := others[rand.IntN(len(others))] //nolint:gosec // load spreading, not a secret
	_ = s.bus.Send(other.ID, headOf(s.Table()))
}

// others gives the live members without this node.
func (s *Service) others() []membership.Member {
	live := s.bus.View().Live()
	others := make([]membership.Member, 0, len(live))
	for _, member := range live {
		if member.ID != s.bus.Self() {
			others = append(others, member)
		}
	}
	return others
}

// everyone gives the live members, this node included.
func (s *Service) everyone() []identity.NodeID {
	var nodes []identity.NodeID
	for _, member := range s.bus.View().Live() {
		nodes = append(nodes, member.ID)
	}
	return nodes
}

// zone gives the live members of this node's zone, itself included.
func (s *Service) zone() []identity.NodeID {
	view := s.bus.View()
	self, _ := view.Member(view.Self)
	var nodes []identity.NodeID
	for _, member := range view.Live() {
		if member.Zone == self.Zone {
			nodes = append(nodes, member.ID)
		}
	}
	return nodes
}

// pollLoop reads the head from the store when this node is its zone's poller,
// and tells the zone of every revision that is new to it.
func (s *Service) pollLoop(ctx context.Context) {
	failures := 0
	for wait.For(ctx, s.pollWait(failures)) {
		nodes := s.zone()
		owner, ok := rendezvous.Owner("rows/poller", nodes)
		if !ok || owner != s.bus.Self() || !s.loaded.Load() {
			failures = 0
			continue
		}
		if s.poll(ctx) != nil {
			failures++
		} else {
			failures = 0
		}
		s.tellZone(nodes)
	}
}

// pollWait spreads the pollers' reads; it is the interval at most, and grows
// while the store is down.
func (s *Service) pollWait(failures int) time.Duration {
	wait := s.config.PollInterval - rand.N(s.config.PollInterval/4) //nolint:gosec // jitter, not a secret
	return wait << min(failures, pollDoublings)
}

func (s *Service) poll(ctx context.Context) error {
	current, err := s.readHead(ctx)
	if err != nil {
		events.RowsPollFailed.Log(s.logger, zap.Error(err))
		return err
	}
	s.noteHead(current)
	if current.revision > s.Table().Revision() {
		return s.fetchFromStore(ctx)
	}
	return nil
}

// tellZone sends the revision to the zone, a few times after it has risen.
func (s *Service) tellZone(nodes []identity.NodeID) {
	message := headOf(s.Table())
	s.mu.Lock()
	if message.Revision > s.told.revision {
		s.told = told{revision: message.Revision}
	}
	s.told.times++
	enough := s.told.times > tellings
	s.mu.Unlock()
	if enough {
		return
	}
	for _, node := range nodes {
		if node != s.bus.Self() {
			_ = s.bus.Send(node, message) // best effort; the anti-entropy repeats it
		}
	}
}

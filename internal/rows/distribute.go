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
	// reorderGrace is the wait before missing changes are fetched, since a gap
	// may only come from floods that arrived out of order.
	reorderGrace = 50 * time.Millisecond
	// loadRetryPause is the mean pause between two attempts to load the first table.
	loadRetryPause = 500 * time.Millisecond
	// maxPeersTried is the number of other nodes that are tried before the store.
	maxPeersTried = 3
	// maxAnnouncements is how often a poller announces a revision to its zone.
	maxAnnouncements = 3
	// maxPollDoublings bounds the growth of the poll interval while the store is down.
	maxPollDoublings = 3
)

var (
	errPeerNotReady    = errors.New("the other node has no table, or is catching up itself")
	errNoPeer          = errors.New("no other node answered")
	errUnexpectedReply = errors.New("unexpected reply")
)

// load fetches the first table from another node, which is fast and spares the
// store, or else from the store. It retries until one of them succeeds and
// returns false if the context ends first. A revision that the source lacks
// arrives with a later comparison of tables.
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
			s.requestRepair(repairRequest{confirm: true})
			return true
		}
		events.RowsNotLoaded.Log(s.logger, zap.Error(err))
		if !wait.For(ctx, jitter(loadRetryPause)) {
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

// repairLoop fetches the changes that this node lacks, one fetch at a time.
func (s *Service) repairLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.repairSignal:
		}
		s.mu.Lock()
		request := s.pendingRepair
		s.pendingRepair = repairRequest{}
		s.mu.Unlock()
		if request.reload {
			s.reload(ctx)
		}
		if request.confirm {
			s.catchUp(ctx)
		}
		s.fetchMissing(ctx, request)
	}
}

// fetchMissing fetches changes until the requested revision is reached or neither
// other nodes nor the store have more.
func (s *Service) fetchMissing(ctx context.Context, request repairRequest) {
	if s.Table().Revision() >= request.revision || !wait.For(ctx, reorderGrace) {
		return
	}
	for s.Table().Revision() < request.revision {
		if s.madeProgress(func() error { return s.fetchFromPeer(ctx, request.from) }) {
			continue
		}
		if !s.madeProgress(func() error { return s.fetchAnywhere(ctx) }) && !s.madeProgress(func() error { return s.fetchFromStore(ctx) }) {
			return // the next comparison, poll or change requests them again
		}
	}
}

// madeProgress runs a fetch and reports whether it raised the table's revision.
func (s *Service) madeProgress(fetch func() error) bool {
	before := s.Table().Revision()
	return fetch() == nil && s.Table().Revision() > before
}

// catchUp fetches the changes that the node may have missed during a pause, after
// which it is ready again. If neither a node nor the store answers within
// CatchUpLimit, the node continues with the table it has.
func (s *Service) catchUp(ctx context.Context) {
	deadline := time.Now().Add(s.config.CatchUpLimit)
	var pauses uint64
	for {
		pauses = s.pausesDetected.Load() // an answer received after a further pause may be as old as that pause was long
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
	s.pausesResolved.Store(pauses)
}

// reload replaces a diverged table with the store's, unless the store's is older.
func (s *Service) reload(ctx context.Context) {
	revision, rows, err := s.readTable(ctx)
	if err != nil {
		return // the next comparison detects the divergence again
	}
	fresh := policy.NewTable(revision, rows)
	s.mu.Lock()
	defer s.mu.Unlock()
	if fresh.Revision() >= s.table.Load().Highest() {
		s.table.Store(fresh)
	}
}

// fetchAnywhere fetches changes from one of a few random other nodes, or else
// from the store. A nil error means that one of them answered and its changes
// are applied.
func (s *Service) fetchAnywhere(ctx context.Context) error {
	others := s.otherMembers()
	for range min(maxPeersTried, len(others)) {
		index := rand.IntN(len(others)) //nolint:gosec // load spreading, not a secret
		if s.fetchFromPeer(ctx, others[index].ID) == nil {
			return nil
		}
		others = append(others[:index:index], others[index+1:]...)
	}
	return s.fetchFromStore(ctx)
}

// fetchFromPeer fetches the changes after this node's revision from another node,
// or the whole table if that node no longer has all these changes.
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
			return errUnexpectedReply
		case reply.Unready:
			return errPeerNotReady
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
	others := s.otherMembers()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] }) //nolint:gosec // load spreading
	err := errNoPeer
	for _, member := range others[:min(maxPeersTried, len(others))] {
		if err = s.snapshotFromPeer(ctx, member.ID); err == nil {
			return nil
		}
	}
	return err
}

// snapshotFromPeer fetches another node's whole table page by page. The table's
// revision is that of the first page, since later pages may be newer.
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
			return errUnexpectedReply
		}
		if reply.Unready {
			return errPeerNotReady
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

// fetchFromStore reads the log after this node's revision, or the whole table if
// the log no longer goes back that far.
func (s *Service) fetchFromStore(ctx context.Context) error {
	for {
		before := s.Table().Revision()
		entries, err := s.readLog(ctx, before, logPageSize)
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
		if len(entries) < logPageSize {
			return nil
		}
	}
}

func (s *Service) call(ctx context.Context, id identity.NodeID, message any) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	return s.bus.Call(ctx, id, message)
}

// sendHeadToRandomPeer starts a comparison of tables with one random other node.
func (s *Service) sendHeadToRandomPeer() {
	others := s.otherMembers()
	if len(others) == 0 || !s.loaded.Load() {
		return
	}
	other := others[rand.IntN(len(others))] //nolint:gosec // load spreading, not a secret
	_ = s.bus.Send(other.ID, headOf(s.Table()))
}

// otherMembers returns the live members other than this node.
func (s *Service) otherMembers() []membership.Member {
	live := s.bus.View().Live()
	others := make([]membership.Member, 0, len(live))
	for _, member := range live {
		if member.ID != s.bus.Self() {
			others = append(others, member)
		}
	}
	return others
}

// liveNodes returns the live nodes, including this one.
func (s *Service) liveNodes() []identity.NodeID {
	var nodes []identity.NodeID
	for _, member := range s.bus.View().Live() {
		nodes = append(nodes, member.ID)
	}
	return nodes
}

// zoneNodes returns the live nodes of this node's zone, including this one.
func (s *Service) zoneNodes() []identity.NodeID {
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

// pollLoop reads the head from the store while this node is its zone's poller,
// and announces new revisions to the zone.
func (s *Service) pollLoop(ctx context.Context) {
	failures := 0
	for wait.For(ctx, s.pollWait(failures)) {
		nodes := s.zoneNodes()
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
		s.announceToZone(nodes)
	}
}

// pollWait returns the wait before the next poll. It is the poll interval less a
// jitter that spreads the reads of the pollers, and doubles with each failure up
// to maxPollDoublings times.
func (s *Service) pollWait(failures int) time.Duration {
	wait := s.config.PollInterval - rand.N(s.config.PollInterval/4) //nolint:gosec // jitter, not a secret
	return wait << min(failures, maxPollDoublings)
}

func (s *Service) poll(ctx context.Context) error {
	current, err := s.readHead(ctx)
	if err != nil {
		events.RowsPollFailed.Log(s.logger, zap.Error(err))
		return err
	}
	s.cacheHead(current)
	if current.revision > s.Table().Revision() {
		return s.fetchFromStore(ctx)
	}
	return nil
}

// announceToZone sends the table's head to the zone, up to maxAnnouncements times
// for each revision.
func (s *Service) announceToZone(nodes []identity.NodeID) {
	message := headOf(s.Table())
	s.mu.Lock()
	if message.Revision > s.announced.revision {
		s.announced = announcement{revision: message.Revision}
	}
	s.announced.count++
	limitReached := s.announced.count > maxAnnouncements
	s.mu.Unlock()
	if limitReached {
		return
	}
	for _, node := range nodes {
		if node != s.bus.Self() {
			_ = s.bus.Send(node, message) // best effort; the anti-entropy makes up for a lost message
		}
	}
}

package batch

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/core/rendezvous"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/wait"
)

// beat writes this node's signs of life.
func (s *Service) beat(ctx context.Context) error {
	started := time.Now().UnixNano()
	for count := int64(1); ; count++ {
		s.mu.Lock()
		leaving := s.leaving
		s.mu.Unlock()
		sign := nodeSign{Name: s.Name, Zone: s.Zone, Peer: s.Peer, Capacity: s.Capacity, Started: started, Count: count, Leaving: leaving, Slowness: s.pace.slowness()}
		pause := time.Duration(float64(s.heartbeat()) * sign.Slowness)
		if !s.writeSign(ctx, sign) {
			pause /= missedSignShare
		}
		if !wait.For(ctx, pause) {
			return nil
		}
	}
}

// nodesPerBeat is how many nodes may write signs of life in one heartbeat; every
// sign reaches every node, so a larger fleet writes them less often.
const nodesPerBeat = 40

// Crowding is how much larger than planned for the fleet is, at least one.
func (s *Service) Crowding() float64 {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	return max(1, float64(len(s.view.nodes))/nodesPerBeat)
}

func (s *Service) heartbeat() time.Duration {
	return time.Duration(float64(s.config.Heartbeat) * s.Crowding())
}

// deadAfter is how long a node may be silent.
func (s *Service) deadAfter() time.Duration {
	return time.Duration(float64(s.config.DeadAfter) * s.Crowding())
}

// missedSignShare is the part of the heartbeat after which a sign that was not
// written is made up for.
const missedSignShare = 4

// writeSign writes one sign of life; a lost one is made up for by the next.
func (s *Service) writeSign(ctx context.Context, sign nodeSign) bool {
	value, err := json.Marshal(sign)
	if err != nil {
		return false // strings and numbers always can be written
	}
	row := passthrough.Row{Table: tableJobs, Part: partNodes, Key: s.Self, Value: value}
	result, err := s.commit(ctx, passthrough.Transaction{Put: []passthrough.Row{row}})
	if err == nil {
		s.mu.Lock()
		s.signTaken = time.Now()
		s.mu.Unlock()
		s.follower.Expect(partNodes, s.Self, result.Version)
	}
	if err == nil || ctx.Err() != nil {
		return true
	}
	s.mu.Lock()
	s.signMissed = time.Now()
	s.mu.Unlock()
	events.SignNotWritten.Log(s.Logger, zap.Int64("count", sign.Count), zap.Error(err))
	return false
}

// fleet is what a node believes of the nodes.
type fleet struct {
	live map[string]bool
	// names of live nodes that can take jobs, this node among them
	able []identity.NodeID
	// dead nodes' reasons, for the log
	dead map[string]string
}

// lookAtNodes judges the nodes. A node is dead when its machine has started a
// new life, or when no sign of life came for DeadAfter while the store was
// heard, took this node's own signs all that time and told them back: a store that takes
// no writes silences everybody, and so does one whose feed tells nothing.
func (s *Service) lookAtNodes(now time.Time) fleet {
	health := s.follower.Health()
	heartbeat, deadAfter := s.heartbeat(), s.deadAfter()
	trusted := !health.AsOf.IsZero() && now.Sub(health.AsOf) < s.config.Heartbeat+deadAfter/2
	s.mu.Lock()
	signMissed := s.signMissed
	signDue := s.signTaken.Add(heartbeat + deadAfter/2)
	s.mu.Unlock()
	quietSince := now.Sub(health.LastBad) > deadAfter && now.Sub(signMissed) > deadAfter && now.Sub(s.started) > deadAfter && now.Before(signDue)
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	newest := make(map[string]int64)
	for _, node := range s.view.nodes {
		newest[node.sign.Name] = max(newest[node.sign.Name], node.sign.Started)
	}
	seen := fleet{live: map[string]bool{s.Self: true}, able: []identity.NodeID{identity.NodeID(s.Self)}, dead: make(map[string]string)}
	own := s.view.nodes[s.Self]
	trusted = trusted && own != nil && now.Sub(own.heard) < heartbeat+deadAfter/2
	for id, node := range s.view.nodes {
		silent := now.Sub(node.heard)
		switch {
		case id == s.Self:
		case node.sign.Started < newest[node.sign.Name]:
			seen.dead[id] = "its machine has started anew"
		case trusted && quietSince && silent > time.Duration(float64(deadAfter)*max(node.sign.Slowness, 1)):
			seen.dead[id] = "no sign of life"
		default:
			seen.live[id] = true
			if !node.sign.Leaving {
				seen.able = append(seen.able, identity.NodeID(id))
			}
		}
	}
	return seen
}

// peerCache is the list of Peers, which costs a look at each node.
type peerCache struct {
	peers []grant.Candidate
	at    time.Time
}

// peersEvery is how long a list of Peers is used.
const peersEvery = 100 * time.Millisecond

// Peers gives the other nodes that may be alive and are not leaving.
func (s *Service) Peers() []grant.Candidate {
	now := time.Now()
	s.mu.Lock()
	cached := s.peers
	s.mu.Unlock()
	if now.Sub(cached.at) < peersEvery {
		return cached.peers
	}
	seen := s.lookAtNodes(now)
	var peers []grant.Candidate
	s.view.mu.Lock()
	for id, node := range s.view.nodes {
		if id != s.Self && seen.live[id] && node.sign.Peer != "" && !node.sign.Leaving {
			peers = append(peers, grant.Candidate{Address: node.sign.Peer, Zone: node.sign.Zone, Capacity: node.sign.Capacity})
		}
	}
	s.view.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = peerCache{peers: peers, at: now}
	return peers
}

// rank gives this node's place among those that may claim a job.
func (f fleet) rank(job, self string) int {
	own := rendezvous.Score(job, identity.NodeID(self))
	rank := 0
	for _, node := range f.able {
		if rendezvous.Score(job, node) > own {
			rank++
		}
	}
	return rank
}

// Each further node waits this much longer before it claims a job, so that
// claims seldom meet.
const (
	claimStep  = 300 * time.Millisecond
	claimRanks = 8 // beyond these, nodes wait alike
	// ownClaim is how long a job may be this node's in the store and not in
	// memory: the store's feed lags behind a job that has just been finished.
	ownClaim  = 600 * time.Millisecond
	tendEvery = 120 * time.Millisecond
)

// tend lets go of jobs that are another's or have ended, and claims those
// that have no live owner. A node that has just started claims nothing yet: when
// all start at once, the first would take all jobs, since it knows no other.
func (s *Service) tend(ctx context.Context) error {
	ticker := time.NewTicker(tendEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.view.wake:
		}
		s.watch.Look()
		s.learnCrashes()
		s.letGo()
		s.mu.Lock()
		leaving := s.leaving
		s.mu.Unlock()
		if !leaving && !s.blind() && s.settled(time.Now()) {
			s.claimOrphans(ctx)
		}
	}
}

// letGo drops jobs whose row says that they are no longer this node's.
func (s *Service) letGo() {
	for _, job := range s.ownedJobs() {
		seen, found := s.view.job(job.id)
		s.mu.Lock()
		newer := found && seen.version > job.version && !job.writing
		s.mu.Unlock()
		switch {
		case found && seen.record.Ended && seen.record.Epoch >= job.epoch:
			s.drop(job, "the job was ended")
		case newer && (seen.record.Owner != s.Self || seen.record.Epoch != job.epoch):
			s.drop(job, "another node owns it")
		}
	}
}

func (s *Service) claimOrphans(ctx context.Context) {
	now := time.Now()
	seen := s.lookAtNodes(now)
	for _, known := range s.view.all() {
		id := known.record.ID
		s.mu.Lock()
		_, mine := s.owned[id]
		own := known.record.Owner == s.Self
		orphan := known.record.Active() && !mine && s.taking[id] == 0 && (own || !seen.live[known.record.Owner])
		if !orphan {
			delete(s.orphans, id)
			s.mu.Unlock()
			continue
		}
		since, noted := s.orphans[id]
		if !noted {
			since = now
			s.orphans[id] = now
		}
		s.mu.Unlock()
		if now.Sub(since) >= s.claimPause(known.record, seen) {
			s.claim(ctx, known, seen.dead[known.record.Owner])
		}
	}
}

// claimPause is how long a job has to be seen without a live owner before this
// node claims it. An owner of whom nothing was heard may have just started.
func (s *Service) claimPause(record passjob.Record, seen fleet) time.Duration {
	pause := time.Duration(min(seen.rank(record.ID, s.Self), claimRanks)) * claimStep
	switch {
	case record.Owner == s.Self:
		return ownClaim
	case record.Owner != "" && seen.dead[record.Owner] == "":
		return pause + s.deadAfter()
	default:
		return pause
	}
}

// claim takes a job over under a new epoch; the compare lets one node win.
func (s *Service) claim(ctx context.Context, known entry, why string) {
	record := known.record.Clone()
	former := record.Owner
	record.Claim(s.Self)
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	result, err := s.writeRecord(call, passthrough.Transaction{}, record, known.version)
	s.metrics.claims.WithLabelValues(strconv.FormatBool(result.applied)).Inc()
	events.JobClaimed.Log(s.Logger, zap.String("job", record.ID), zap.Bool("won", result.applied), zap.Int64("epoch", record.Epoch),
		zap.String("former", former), zap.String("why", why), zap.Int("listed", record.Listed), zap.Int("items", len(record.Items)), zap.Error(err))
	s.mu.Lock()
	delete(s.orphans, record.ID)
	s.mu.Unlock()
	if err != nil {
		return
	}
	if !result.applied {
		if _, row, found := currentRecord(result.current, record.ID); found {
			s.learn(row)
		}
		return
	}
	s.adopt(record, result.version, nil)
}

// LiveNodes counts the nodes that are taken for alive, this one included.
func (s *Service) LiveNodes() int { return len(s.lookAtNodes(time.Now()).live) }

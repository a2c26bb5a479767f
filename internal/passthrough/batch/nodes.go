package batch

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/wait"
)

// beat writes this node's signs of life: one when it starts, when it is about to leave and when it
// was taken for dead; one after another while there are nodes that go by them.
func (s *Service) beat(ctx context.Context) error {
	started := time.Now().UnixNano()
	missed := 0 // signs in a row
	for count := int64(1); ; count++ {
		s.mu.Lock()
		leaving := s.leaving
		s.mu.Unlock()
		sign := nodeSign{
			Name: s.Name, Zone: s.Zone, Peer: s.Peer, Capacity: s.Capacity, Started: started, Count: count, Leaving: leaving,
			Slowness: s.pace.slowness(), Watched: s.watchable(),
		}
		missed++
		if s.writeSign(ctx, sign) {
			missed = 0
		}
		if !s.untilNextSign(ctx, sign, missed) {
			return nil
		}
	}
}

// signLookEvery is the pause between two looks whether a sign is due before its time.
const signLookEvery = 500 * time.Millisecond

// untilNextSign waits for the time of the next sign of life. It is false when ctx has ended.
func (s *Service) untilNextSign(ctx context.Context, last nodeSign, missed int) bool {
	pause := time.Duration(float64(s.heartbeat()) * last.Slowness)
	if missed > 0 {
		pause = s.missedSignPause(missed)
	}
	for written := time.Now(); !s.signIsDue(last); {
		left := pause - time.Since(written)
		next := signLookEvery
		if left > 0 {
			next = min(next, left)
		} else if missed > 0 || !s.lookAtNodes(time.Now()).watched {
			break // there are nodes that go by signs, or the last was not taken
		}
		if !wait.For(ctx, next) {
			return false
		}
	}
	return ctx.Err() == nil
}

// signIsDue says whether a sign is to be written before its time.
func (s *Service) signIsDue(last nodeSign) bool {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	_, removed := s.view.removed[s.Self]
	return removed || leaving != last.Leaving
}

// pulsePrefix begins the keys of pulses, among the signs of life.
const pulsePrefix = "pulse/"

// isPulse says whether a row is a pulse. A reader of the store writes one each heartbeat, since
// what it has written shows whether its feed tells it; for other nodes it means nothing.
func isPulse(row passthrough.Row) bool {
	return row.Part == partNodes && strings.HasPrefix(row.Key, pulsePrefix)
}

// pulse writes this node's pulses while it reads the store for others.
func (s *Service) pulse(ctx context.Context) error {
	for wait.For(ctx, s.config.Heartbeat) {
		slot, held := s.Reader()
		if !held || !s.lookAtNodes(time.Now()).watched {
			continue
		}
		row := passthrough.Row{Table: tableJobs, Part: partNodes, Key: pulsePrefix + slot}
		_, _ = s.commit(ctx, passthrough.Transaction{Put: []passthrough.Row{row}}) // the next one is as good
	}
	return nil
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
// written is made up for the first time.
const missedSignShare = 4

// missedSignMost is the longest pause between two tries. When 985 nodes start at once, the part
// of the store that takes 300 signs a second turns most first tries away.
const missedSignMost = 2 * time.Second

// missedSignPause gives the pause before a sign is tried again: doubled with each try, by chance.
func (s *Service) missedSignPause(missed int) time.Duration {
	longest := min(s.config.Heartbeat/missedSignShare<<min(missed, 8), missedSignMost)
	return longest/2 + rand.N(longest/2)
}

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
		row.Version = result.Version
		s.view.joinAgain(row)
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

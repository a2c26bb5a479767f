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

// writeHeartbeats writes this node's heartbeat row: once when the node starts, when it is about to
// leave and when it was considered or suspected to be dead, and periodically while there are nodes that are judged by
// their heartbeat rows.
func (s *Service) writeHeartbeats(ctx context.Context) error {
	started := time.Now().UnixNano()
	failures := 0 // consecutive failed writes
	for count := int64(1); ; count++ {
		s.mu.Lock()
		leaving := s.leaving
		s.mu.Unlock()
		heartbeat := heartbeatRow{
			Name: s.Name, Zone: s.Zone, Peer: s.Peer, Capacity: s.Capacity, Started: started, Count: count, Leaving: leaving,
			Slowness: s.writeLatency.slowness(), Watched: s.canBeWatched(), Refutes: s.canBeWatched(),
		}
		failures++
		if s.writeHeartbeat(ctx, heartbeat) {
			failures = 0
		}
		if !s.awaitNextHeartbeat(ctx, heartbeat, failures) {
			return nil
		}
	}
}

// heartbeatCheckInterval is the pause between two checks whether a heartbeat row is due early.
const heartbeatCheckInterval = 500 * time.Millisecond

// awaitNextHeartbeat waits until the next heartbeat row is due. It returns false if ctx has ended.
func (s *Service) awaitNextHeartbeat(ctx context.Context, last heartbeatRow, failures int) bool {
	pause := time.Duration(float64(s.heartbeatInterval()) * last.Slowness)
	if failures > 0 {
		pause = s.heartbeatRetryPause(failures)
	}
	for written := time.Now(); !s.heartbeatDue(last) && (failures > 0 || !s.isSuspected()); {
		left := pause - time.Since(written)
		next := heartbeatCheckInterval
		if left > 0 {
			next = min(next, left)
		} else if failures > 0 || !s.currentFleet(time.Now()).allWatched {
			break // nodes are judged by heartbeat rows, or the last write failed
		}
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		case <-s.view.suspected:
			timer.Stop()
		}
	}
	return ctx.Err() == nil
}

// heartbeatDue reports whether a heartbeat row is due early: this node's row was removed, or the
// node is leaving and its row does not say so.
func (s *Service) heartbeatDue(last heartbeatRow) bool {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	_, removed := s.view.removedNodes[s.Self]
	return removed || leaving != last.Leaving
}

// pulsePrefix is the prefix of the keys of pulses in partNodes.
const pulsePrefix = "pulse/"

// isPulse reports whether a row is a pulse. A reader of the store writes a pulse in each heartbeat
// interval: if the pulse arrives through its feed, the feed works. Other nodes ignore pulses.
func isPulse(row passthrough.Row) bool {
	return row.Part == partNodes && strings.HasPrefix(row.Key, pulsePrefix)
}

// writePulses writes pulses while this node reads the store for others.
func (s *Service) writePulses(ctx context.Context) error {
	for wait.For(ctx, s.config.Heartbeat) {
		slot, held := s.Reader()
		if !held || !s.currentFleet(time.Now()).allWatched {
			continue
		}
		row := passthrough.Row{Table: tableJobs, Part: partNodes, Key: pulsePrefix + slot}
		_, _ = s.commit(ctx, passthrough.Transaction{Put: []passthrough.Row{row}}) // a lost pulse is replaced by the next one
	}
	return nil
}

// nodesPerHeartbeat is how many nodes may write heartbeat rows in one heartbeat interval. Each row
// reaches each node, so a larger fleet writes them less often.
const nodesPerHeartbeat = 40

// FleetSizeFactor returns the factor by which the fleet exceeds nodesPerHeartbeat, at least one.
func (s *Service) FleetSizeFactor() float64 {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	return max(1, float64(len(s.view.nodes))/nodesPerHeartbeat)
}

func (s *Service) heartbeatInterval() time.Duration {
	return time.Duration(float64(s.config.Heartbeat) * s.FleetSizeFactor())
}

// nodeTimeout returns how long a node may write no heartbeat row before it is considered dead.
func (s *Service) nodeTimeout() time.Duration {
	return time.Duration(float64(s.config.DeadAfter) * s.FleetSizeFactor())
}

// heartbeatRetryDivisor is the part of the heartbeat interval on which the pause before the first
// retry of a heartbeat row is based.
const heartbeatRetryDivisor = 4

// maxHeartbeatRetryPause is the longest pause between two attempts. When 985 nodes start at once,
// the part of the store that accepts 300 rows a second refuses most first attempts.
const maxHeartbeatRetryPause = 2 * time.Second

// heartbeatRetryPause returns the pause before a heartbeat row is retried. It doubles with each
// attempt, with jitter.
func (s *Service) heartbeatRetryPause(failures int) time.Duration {
	longest := min(s.config.Heartbeat/heartbeatRetryDivisor<<min(failures, 8), maxHeartbeatRetryPause)
	return longest/2 + rand.N(longest/2)
}

// writeHeartbeat writes one heartbeat row, and returns false if that failed.
func (s *Service) writeHeartbeat(ctx context.Context, heartbeat heartbeatRow) bool {
	value, err := json.Marshal(heartbeat)
	if err != nil {
		return false // not reached: strings and numbers can always be encoded
	}
	row := passthrough.Row{Table: tableJobs, Part: partNodes, Key: s.Self, Value: value}
	result, err := s.commit(ctx, passthrough.Transaction{Put: []passthrough.Row{row}})
	if err == nil {
		s.mu.Lock()
		s.heartbeatWrittenAt, s.heartbeatVersion = time.Now(), result.Version
		s.mu.Unlock()
		row.Version = result.Version
		s.view.rejoin(row)
	}
	if err == nil || ctx.Err() != nil {
		return true
	}
	s.mu.Lock()
	s.heartbeatFailedAt = time.Now()
	s.mu.Unlock()
	events.HeartbeatNotWritten.Log(s.Logger, zap.Int64("count", heartbeat.Count), zap.Error(err))
	return false
}

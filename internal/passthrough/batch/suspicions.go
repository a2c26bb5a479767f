package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
)

// A node that answers no ping is suspected in a row of the store. If it is alive, it refutes the
// suspicion: it writes its heartbeat row again, whose version is then above that of the suspicion.
// The rows are among the quota rows for the same reason as those with software versions.
const (
	partSuspicions = partQuotas
	// suspicionPrefix is the prefix of the keys.
	suspicionPrefix = "/suspected/"
	// suspicionRows is the number of rows, over which the suspecting nodes are spread. Rows are
	// replaced and never removed.
	suspicionRows = 16
	// maxSuspected bounds a row to some 30 KB.
	maxSuspected = 500
)

// suspicionRow is the value of a row with suspected nodes.
type suspicionRow struct {
	By    string   `json:"by"`
	Nodes []string `json:"nodes"` // incarnation ids
}

// suspicionState is a row with suspected nodes as last seen.
type suspicionState struct {
	nodes   []string
	version int64
}

// isSuspicion reports whether a row holds suspected nodes.
func isSuspicion(row passthrough.Row) bool {
	return row.Part == partSuspicions && strings.HasPrefix(row.Key, suspicionPrefix)
}

// decodeSuspicion decodes a row with suspected nodes.
func decodeSuspicion(value []byte) (suspicionRow, error) {
	var row suspicionRow
	if err := json.Unmarshal(value, &row); err != nil {
		return suspicionRow{}, fmt.Errorf("suspected nodes: %w", err)
	}
	return row, nil
}

// applySuspicion applies a row with suspected nodes. The caller holds view.mu.
func (v *view) applySuspicion(row passthrough.Row) {
	if row.Version <= v.suspicions[row.Key].version {
		return
	}
	suspicion, err := decodeSuspicion(row.Value)
	if err != nil && !row.Gone {
		events.JobRowUnreadable.Log(v.logger, zap.String("row", row.Key), zap.Error(err))
	}
	v.suspicions[row.Key] = suspicionState{nodes: suspicion.Nodes, version: row.Version}
	select {
	case v.suspected <- struct{}{}:
	default:
	}
}

// isSuspected reports whether this node is suspected and has not refuted it yet.
func (s *Service) isSuspected() bool {
	s.mu.Lock()
	written := s.heartbeatVersion
	s.mu.Unlock()
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	for _, suspicion := range s.view.suspicions {
		if suspicion.version > written && slices.Contains(suspicion.nodes, s.Self) {
			return true
		}
	}
	return false
}

// suspect writes a row with nodes that answer no ping. Nodes of builds that do not refute suspicions
// are left out. The row replaces this node's last one, so it also names those that have not refuted that
// one: they may not have read it yet.
func (s *Service) suspect(ctx context.Context, ids []string) {
	s.view.mu.Lock()
	ids = slices.DeleteFunc(ids, func(id string) bool { node := s.view.nodes[id]; return node == nil || !node.heartbeat.Refutes })
	s.view.mu.Unlock()
	s.nodeLiveness.mu.Lock()
	defer s.nodeLiveness.mu.Unlock()
	former := slices.Sorted(maps.Keys(s.nodeLiveness.suspected))
	ids = ids[:min(len(ids), max(maxSuspected-len(former), 0))]
	if s.nodeLiveness.suspecting || len(ids) == 0 {
		return
	}
	s.nodeLiveness.suspecting = true
	go s.writeSuspicion(ctx, ids, former)
}

// writeSuspicion writes a row with newly suspected nodes and former ones, and records when the store accepted
// the suspicion of the new ones.
func (s *Service) writeSuspicion(ctx context.Context, ids, former []string) {
	value, err := json.Marshal(suspicionRow{By: s.Self, Nodes: slices.Concat(former, ids)})
	var result passthrough.CommitResult
	if err == nil {
		key := fmt.Sprintf("%s%x", suspicionPrefix, xxhash.Sum64String(s.Self)%suspicionRows)
		result, err = s.commit(ctx, passthrough.Transaction{Put: []passthrough.Row{{Table: tableJobs, Part: partSuspicions, Key: key, Value: value}}})
	}
	events.NodesSuspected.Log(s.Logger, zap.Int("nodes", len(ids)), zap.String("first", ids[0]), zap.Int64("version", result.Version), zap.Error(err))
	s.nodeLiveness.mu.Lock()
	defer s.nodeLiveness.mu.Unlock()
	s.nodeLiveness.suspecting = false
	if err != nil {
		return // reported again by the next tick
	}
	now := time.Now()
	for _, id := range ids {
		s.nodeLiveness.suspected[id] = result.Version
		s.nodeLiveness.detector.RecordSuspected(id, now)
	}
}

// recordRefutations tells the detector which suspected nodes have written their heartbeat rows since.
// The caller holds nodeLiveness.mu.
func (s *Service) recordRefutations(now time.Time) {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	for id, version := range s.nodeLiveness.suspected {
		node := s.view.nodes[id]
		if node == nil {
			delete(s.nodeLiveness.suspected, id)
		} else if node.version > version {
			delete(s.nodeLiveness.suspected, id)
			s.nodeLiveness.detector.Vouch(id, now.Sub(node.changedAt), now)
		}
	}
}

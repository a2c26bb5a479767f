package batch

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
)

// jobEntry is what a node knows of one job.
type jobEntry struct {
	record  passjob.Record
	version int64         // of the row
	changed chan struct{} // closed at the next change
}

// heartbeatRow is the value of the row that a node writes to show that it is alive. Settings and
// log events call it a sign of life.
type heartbeatRow struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Started int64  `json:"started"` // increases with each start of a node of this name
	Count   int64  `json:"count"`
	Peer    string `json:"peer,omitempty"` // address for messages from other nodes
	Leaving bool   `json:"leaving,omitempty"`
	// Capacity is the capacity of the node's machine, as a share of a processor core.
	Capacity float64 `json:"capacity,omitempty"`
	// Slowness is the factor by which the node's next heartbeat row may be later than usual.
	Slowness float64 `json:"slowness,omitempty"`
	// Watched is true if the node sends heartbeat messages to its watchers, which remove its row
	// when it dies.
	Watched bool `json:"watched,omitempty"`
	// Refutes is true if the node answers pings, and refutes suspicions in the store.
	Refutes bool `json:"refutes,omitempty"`
}

// sameExceptPeriodic reports whether two rows differ only in the fields that change with each
// write.
func (n heartbeatRow) sameExceptPeriodic(other heartbeatRow) bool {
	n.Count, n.Slowness = other.Count, other.Slowness
	return n == other
}

// nodeView is what this node knows of a node from its heartbeat rows.
type nodeView struct {
	heartbeat heartbeatRow
	version   int64
	changedAt time.Time // when the row last changed
	firstSeen time.Time // when the node was first seen
}

// view is the node's copy of the table of jobs. It follows the store's feed. Rows that the node
// itself reads or writes are applied at once.
type view struct {
	config Config
	logger *zap.Logger

	mu              sync.Mutex // guards the fields below
	listed          bool       // a whole listing was applied
	jobs            map[string]*jobEntry
	deletedVersions map[string]int64 // versions at which rows of jobs were deleted
	nodes           map[string]*nodeView
	// generation counts the changes of nodes, except for periodic heartbeat rows.
	generation     uint64
	removedNodes   map[string]int64          // by incarnation id: the version at which the heartbeat row was removed
	quotaVersions  map[string]int64          // versions of the quota rows, by key
	served         map[string]servedState    // software versions of pools, by row key
	crashes        map[string]crashRowState  // by row key
	pendingCrashes []pendingCrash            // from rows, not passed to the guard yet
	jobWatchers    map[string]chan struct{}  // by id of jobs that are not known yet
	wake           chan struct{}             // holds one token after a change
	suspicions     map[string]suspicionState // by row key
	suspected      chan struct{}             // holds one token after a change of suspicions
}

func newView(config Config, logger *zap.Logger) *view {
	return &view{
		config: config, logger: events.RateLimited(logger), jobs: make(map[string]*jobEntry), deletedVersions: make(map[string]int64),
		nodes: make(map[string]*nodeView), removedNodes: make(map[string]int64), quotaVersions: make(map[string]int64), served: make(map[string]servedState), crashes: make(map[string]crashRowState),
		jobWatchers: make(map[string]chan struct{}), wake: make(chan struct{}, 1),
		suspicions: make(map[string]suspicionState), suspected: make(chan struct{}, 1),
	}
}

// Replace implements catalog.Sink.
func (v *view) Replace(rows []passthrough.Row, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Part+"/"+row.Key] = true
		v.apply(row)
	}
	for id, known := range v.nodes {
		if !listed[partNodes+"/"+id] && known.version <= version {
			v.removeNode(id, version)
		}
	}
	for id, known := range v.jobs {
		if known.version <= version && !listed[v.config.shard(id)+"/"+id] {
			v.removeJob(id, version)
		}
	}
	v.listed = true
	v.notify()
}

// Change implements catalog.Sink.
func (v *view) Change(rows []passthrough.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, row := range rows {
		v.apply(row)
	}
	v.notify()
}

// Learn applies rows that the node read or wrote itself.
func (v *view) Learn(rows ...passthrough.Row) { v.Change(rows) }

func (v *view) notify() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

func (v *view) apply(row passthrough.Row) {
	switch row.Part {
	case partNodes:
		if !isPulse(row) {
			v.applyNode(row)
		}
	case partQuotas:
		if isServed(row) {
			v.applyServed(row)
			return
		}
		if isSuspicion(row) {
			v.applySuspicion(row)
			return
		}
		v.quotaVersions[row.Key] = max(v.quotaVersions[row.Key], row.Version)
	case partCrashes:
		v.applyCrashes(row)
	default:
		v.applyJob(row)
	}
}

func (v *view) applyNode(row passthrough.Row) {
	known := v.nodes[row.Key]
	if row.Version <= v.removedNodes[row.Key] || known != nil && row.Version <= known.version {
		return
	}
	if row.Gone {
		v.removeNode(row.Key, row.Version)
		return
	}
	heartbeat, err := decodeHeartbeat(row.Value)
	if err != nil {
		events.JobRowUnreadable.Log(v.logger, zap.String("row", row.Key), zap.Error(err))
		return
	}
	if known == nil || !known.heartbeat.sameExceptPeriodic(heartbeat) {
		v.generation++
	}
	delete(v.removedNodes, row.Key)
	next := &nodeView{heartbeat: heartbeat, version: row.Version, changedAt: time.Now(), firstSeen: time.Now()}
	if known != nil {
		next.firstSeen = known.firstSeen
	}
	v.nodes[row.Key] = next
}

// rejoin applies a node's own heartbeat row at once if the previous one was removed. Otherwise the
// row has to arrive through the feed, which shows that the feed works.
func (v *view) rejoin(row passthrough.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, removed := v.removedNodes[row.Key]; removed {
		v.applyNode(row)
	}
}

// maxRemovedNodes bounds the removed nodes that are remembered. It covers some minutes of a rolling
// restart of 1,000 nodes.
const maxRemovedNodes = 4096

// removeNode records that a node's heartbeat row was removed.
func (v *view) removeNode(id string, version int64) {
	delete(v.nodes, id)
	v.generation++
	for dropped := range v.removedNodes {
		if len(v.removedNodes) < maxRemovedNodes {
			break
		}
		delete(v.removedNodes, dropped) // jobs that this node still owns are claimed a little later
	}
	v.removedNodes[id] = version
}

func (v *view) applyJob(row passthrough.Row) {
	known := v.jobs[row.Key]
	if row.Version == 0 || row.Version <= v.deletedVersions[row.Key] || (known != nil && row.Version <= known.version) {
		return
	}
	if row.Gone {
		v.removeJob(row.Key, row.Version)
		return
	}
	record, err := decodeRecord(row)
	if err != nil {
		events.JobRowUnreadable.Log(v.logger, zap.String("row", row.Key), zap.Error(err))
		return
	}
	next := &jobEntry{record: record, version: row.Version, changed: make(chan struct{})}
	v.jobs[row.Key] = next
	if known != nil {
		close(known.changed)
	}
	if watcher := v.jobWatchers[row.Key]; watcher != nil {
		close(watcher)
		delete(v.jobWatchers, row.Key)
	}
}

func (v *view) removeJob(id string, version int64) {
	known := v.jobs[id]
	delete(v.jobs, id)
	v.deletedVersions[id] = version
	if known != nil {
		close(known.changed)
	}
}

// newestHeartbeat returns when the feed last returned a heartbeat row of any node. The caller holds
// mu.
func (v *view) newestHeartbeat() time.Time {
	var newest time.Time
	for _, node := range v.nodes {
		if node.changedAt.After(newest) {
			newest = node.changedAt
		}
	}
	return newest
}

// nodesGeneration returns the number of changes of nodes, except for periodic heartbeat rows.
func (v *view) nodesGeneration() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.generation
}

// job returns what is known of a job.
func (v *view) job(id string) (jobEntry, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.jobs[id]; known != nil {
		return *known, true
	}
	return jobEntry{}, false
}

// all returns what is known of all jobs.
func (v *view) all() []jobEntry {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]jobEntry, 0, len(v.jobs))
	for _, known := range v.jobs {
		list = append(list, *known)
	}
	return list
}

// countQueue returns the number of tokens that wait in a queue, as of a version of its quota row.
func (v *view) countQueue(queue tenantQueue) queueCount {
	v.mu.Lock()
	defer v.mu.Unlock()
	seen := queueCount{version: v.quotaVersions[queue.key()], exact: true}
	for _, known := range v.jobs {
		if known.record.Route == queue.route && known.record.Tenant == queue.tenant {
			seen.tokens += known.record.Waiting()
		}
	}
	return seen
}

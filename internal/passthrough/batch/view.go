package batch

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
)

// entry is what a node knows of one job.
type entry struct {
	record  passjob.Record
	version int64         // of the row
	changed chan struct{} // closed at the next change
}

// nodeSign is a node's sign of life.
type nodeSign struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Started int64  `json:"started"` // rises with each start of the same name
	Count   int64  `json:"count"`
	Peer    string `json:"peer,omitempty"` // where it hears other nodes
	Leaving bool   `json:"leaving,omitempty"`
	// Capacity is what its machine can do, as a share of a processor core.
	Capacity float64 `json:"capacity,omitempty"`
	// Slowness is how much longer than usual the node's next sign may take.
	Slowness float64 `json:"slowness,omitempty"`
	// Watched: it sends heartbeats to its watchers, who remove its sign when it dies.
	Watched bool `json:"watched,omitempty"`
}

// sameBut says whether two signs differ in no more than what each new one changes.
func (n nodeSign) sameBut(other nodeSign) bool {
	n.Count, n.Slowness = other.Count, other.Slowness
	return n == other
}

// nodeView is a node as seen through its signs of life.
type nodeView struct {
	sign    nodeSign
	version int64
	heard   time.Time // when the sign last changed
	known   time.Time // when the node was first seen
}

// view is the node's copy of the table of jobs. It follows the store's feed,
// and takes in at once what the node itself reads or writes.
type view struct {
	config Config
	logger *zap.Logger

	mu    sync.Mutex // guards the rest
	jobs  map[string]*entry
	gone  map[string]int64 // versions at which rows went
	nodes map[string]*nodeView
	// generation counts the changes of nodes beside further signs of the same ones.
	generation uint64
	removed    map[string]int64         // lives of nodes whose signs went, and the versions then
	quotas     map[string]int64         // versions of the quota rows, by their keys
	crashes    map[string]seenCrashes   // by the rows' keys
	unheard    []heardCrash             // from rows, for the guard
	watchers   map[string]chan struct{} // of jobs that are not known yet
	wake       chan struct{}            // has one token when something changed
}

func newView(config Config, logger *zap.Logger) *view {
	return &view{
		config: config, logger: events.Bounded(logger), jobs: make(map[string]*entry), gone: make(map[string]int64),
		nodes: make(map[string]*nodeView), removed: make(map[string]int64), quotas: make(map[string]int64), crashes: make(map[string]seenCrashes),
		watchers: make(map[string]chan struct{}), wake: make(chan struct{}, 1),
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
			v.drop(id, version)
		}
	}
	v.signal()
}

// Change implements catalog.Sink.
func (v *view) Change(rows []passthrough.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, row := range rows {
		v.apply(row)
	}
	v.signal()
}

// Learn takes rows that the node read or wrote itself.
func (v *view) Learn(rows ...passthrough.Row) { v.Change(rows) }

func (v *view) signal() {
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
		v.quotas[row.Key] = max(v.quotas[row.Key], row.Version)
	case partCrashes:
		v.applyCrashes(row)
	default:
		v.applyJob(row)
	}
}

func (v *view) applyNode(row passthrough.Row) {
	known := v.nodes[row.Key]
	if row.Version <= v.removed[row.Key] || known != nil && row.Version <= known.version {
		return
	}
	if row.Gone {
		v.removeNode(row.Key, row.Version)
		return
	}
	sign, err := decodeSign(row.Value)
	if err != nil {
		events.JobRowUnreadable.Log(v.logger, zap.String("row", row.Key), zap.Error(err))
		return
	}
	if known == nil || !known.sign.sameBut(sign) {
		v.generation++
	}
	delete(v.removed, row.Key)
	next := &nodeView{sign: sign, version: row.Version, heard: time.Now(), known: time.Now()}
	if known != nil {
		next.known = known.known
	}
	v.nodes[row.Key] = next
}

// joinAgain takes a node's own sign at once if the one before was removed; else the feed has to
// tell it, which shows that it does.
func (v *view) joinAgain(row passthrough.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, removed := v.removed[row.Key]; removed {
		v.applyNode(row)
	}
}

// mostRemoved bounds the removed nodes that are remembered: some minutes of a fleet of 1,000
// that is rolled.
const mostRemoved = 4096

// removeNode takes word that a node's sign of life went.
func (v *view) removeNode(id string, version int64) {
	delete(v.nodes, id)
	v.generation++
	for oldest := range v.removed {
		if len(v.removed) < mostRemoved {
			break
		}
		delete(v.removed, oldest) // whose jobs wait a little longer if it still has any
	}
	v.removed[id] = version
}

func (v *view) applyJob(row passthrough.Row) {
	known := v.jobs[row.Key]
	if row.Version == 0 || row.Version <= v.gone[row.Key] || (known != nil && row.Version <= known.version) {
		return
	}
	if row.Gone {
		v.drop(row.Key, row.Version)
		return
	}
	record, err := decodeRecord(row)
	if err != nil {
		events.JobRowUnreadable.Log(v.logger, zap.String("row", row.Key), zap.Error(err))
		return
	}
	next := &entry{record: record, version: row.Version, changed: make(chan struct{})}
	v.jobs[row.Key] = next
	if known != nil {
		close(known.changed)
	}
	if watcher := v.watchers[row.Key]; watcher != nil {
		close(watcher)
		delete(v.watchers, row.Key)
	}
}

func (v *view) drop(id string, version int64) {
	known := v.jobs[id]
	delete(v.jobs, id)
	v.gone[id] = version
	if known != nil {
		close(known.changed)
	}
}

// newestSign gives when a sign of life was last told; the caller holds mu.
func (v *view) newestSign() time.Time {
	var newest time.Time
	for _, node := range v.nodes {
		if node.heard.After(newest) {
			newest = node.heard
		}
	}
	return newest
}

// nodesGeneration counts the changes of nodes beside further signs of the same ones.
func (v *view) nodesGeneration() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.generation
}

// job gives what is known of a job.
func (v *view) job(id string) (entry, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.jobs[id]; known != nil {
		return *known, true
	}
	return entry{}, false
}

// all gives what is known of all jobs.
func (v *view) all() []entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]entry, 0, len(v.jobs))
	for _, known := range v.jobs {
		list = append(list, *known)
	}
	return list
}

// count gives the tokens that a tenant has waiting on a route, as of a version of their quota row.
func (v *view) count(queue tenantQueue) queueCount {
	v.mu.Lock()
	defer v.mu.Unlock()
	seen := queueCount{version: v.quotas[queue.key()], exact: true}
	for _, known := range v.jobs {
		if known.record.Route == queue.route && known.record.Tenant == queue.tenant {
			seen.tokens += known.record.Waiting()
		}
	}
	return seen
}

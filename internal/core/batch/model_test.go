package batch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/lease"
)

// This file is a model checker. It explores every interleaving of two nodes that
// accept, run, hand over and cancel one job of two items, of which item 1 must not
// be repeated. The faults are a lost answer of the store, a request that arrives
// twice, and a crash of a node. A pause needs no step of its own: it is a node that
// takes no step while others do. The nodes run the state machines of this package
// and of package lease. The runner's part (the compares of each commit and the
// order of its operations) is restated here, and each of its rules has a switch
// that breaks it.

// bug selects a rule that the model breaks on purpose.
type bug int

const (
	noBug              bug = iota
	skipLeaseCompare       // completions and intents do not compare the lease
	skipHeaderCompare      // completions and intents do not compare the job's header
	skipSegmentCompare     // completions and intents do not compare the segment
	acknowledgeEarly       // the caller is answered before the store answers the commit
	sendEarly              // the item is sent before its intent is durable
	resendIntent           // the next lease holder runs an item with an intent again
	trustLostAnswer        // a request whose answer is lost counts as applied
)

const (
	modelNodes        = 2
	modelItems        = 2
	nonRepeatableItem = 1 // index of the item that must not be repeated
)

type headerState int

const (
	absent headerState = iota
	open
	cancelled
	completed
)

// request is a store transaction that is in flight or whose answer is in flight.
type request struct {
	id              int
	kind            string // "accept", "claim", "items", "cancel"
	node            int
	epoch           uint64            // of the lease under which it was made
	compares        map[string]uint64 // expected version of each compared record
	segment         *Segment          // written, unless nil
	header          headerState       // written, unless absent
	shard           *lease.Record     // written, unless nil
	outcomes        []ItemOutcome     // made final by the commit
	intents         []ItemIntent      // made durable by the commit
	answer          string            // "": not processed yet; "applied", "conflict", or "done" once handled
	conflictWriters map[string]int    // after a conflict: last writer of each record whose compare failed
	newVersions     map[string]uint64 // versions of the written records, once applied
}

type modelNode struct {
	crashed  int
	machine  lease.Machine
	job      *Job
	segment  uint64           // version of the segment's record, as loaded or last written
	header   uint64           // version of the job's header, as loaded
	ready    []ItemOutcome    // outcomes that are not committed yet
	intended [modelItems]bool // the item's intent is durable, and the item may be sent
	sent     [modelItems]bool
	pending  *request
}

type world struct {
	bug      bug
	version  uint64
	sequence int
	// Records of the store, and their versions.
	shard          lease.Versioned
	header         headerState
	headerVersion  uint64
	segment        Segment
	segmentVersion uint64
	// The request that last wrote each record.
	segmentWriter, shardWriter, headerWriter int
	lateRequests                             []*request // copies of requests that may still arrive
	// Engines, clients and the remaining fault budgets.
	sendCounts                   [modelItems]int
	acknowledged, cancelAnswered bool
	accept, cancel               *request
	finalCodes                   [modelItems]Code // codes at the previous check
	codesAtCancel                [modelItems]Code
	lost, duplicates, crashes    int
	claims                       int
	nodes                        [modelNodes]modelNode
	violation                    string
}

// faults is the budget of each fault: how often it may happen.
type faults struct{ lost, duplicates, crashes int }

func newWorld(planted bug, budget faults) *world {
	w := &world{bug: planted, segment: NewSegment(modelItems), lost: budget.lost, duplicates: budget.duplicates, crashes: budget.crashes, claims: 2}
	for i := range w.nodes {
		w.nodes[i].machine = modelMachine(i, 0)
	}
	return w
}

// withJob changes w to the state after the job's acceptance, which is explored
// separately from acceptanceWorld.
func (w *world) withJob() *world {
	w.accept = &request{answer: "done"}
	w.header, w.headerVersion, w.acknowledged = open, 1, true
	w.version = 1
	return w
}

func modelMachine(node, restarts int) lease.Machine {
	machine := lease.Machine{Node: identity.NodeID(fmt.Sprint(node)), Session: fmt.Sprintf("s%d.%d", node, restarts), TimeToLive: time.Second}
	machine.SetWanted(true)
	return machine
}

// clone copies a world. Requests are shared, except those that may still change.
func (w *world) clone() *world {
	c := *w
	c.segment = w.segment.Clone()
	c.lateRequests = slices.Clone(w.lateRequests)
	c.accept, c.cancel = w.accept.clone(), w.cancel.clone()
	for i := range c.nodes {
		node := &c.nodes[i]
		node.pending = node.pending.clone()
		node.ready = slices.Clone(node.ready)
		if node.job != nil {
			job := *node.job
			job.segments = []Segment{job.segments[0].Clone()}
			job.phases, job.returned = slices.Clone(job.phases), slices.Clone(job.returned)
			node.job = &job
		}
	}
	return &c
}

func (r *request) clone() *request {
	if r == nil {
		return nil
	}
	c := *r
	return &c
}

// key returns a key that identifies the state. Versions only increase and are only
// compared for equality, so the key contains only whether a version is current.
func (w *world) key() []byte {
	b := make([]byte, 0, 512)
	b = append(b, w.shard.Record.Session...)
	b = append(b, byte(w.shard.Record.Epoch), byte(w.header), byte(w.sendCounts[nonRepeatableItem]), flags(w.acknowledged, w.cancelAnswered),
		byte(w.finalCodes[0]), byte(w.finalCodes[1]), byte(w.codesAtCancel[0]), byte(w.codesAtCancel[1]), byte(w.lost), byte(w.duplicates), byte(w.crashes), byte(w.claims))
	b = append(b, w.segment.Encode()...)
	lateKeys := make([]string, 0, len(w.lateRequests))
	for _, late := range w.lateRequests {
		lateKeys = append(lateKeys, string(w.requestKey(nil, late)))
	}
	slices.Sort(lateKeys)
	b = append(b, strings.Join(lateKeys, "+")...)
	b = w.requestKey(w.requestKey(b, w.accept), w.cancel)
	for i := range w.nodes {
		b = w.nodeKey(b, &w.nodes[i])
	}
	return b
}

func (w *world) nodeKey(b []byte, node *modelNode) []byte {
	b = append(b, '#', byte(node.crashed), byte(node.machine.State()))
	b = w.requestKey(b, node.pending)
	if node.machine.State() != lease.Held {
		return b
	}
	held := node.machine.Lease()
	b = append(b, byte(held.Record.Epoch), flags(held.Version == w.shard.Version))
	if node.job == nil {
		return b
	}
	b = append(b, flags(node.segment == w.segmentVersion, node.header == w.headerVersion, node.job.closed), byte(len(node.job.returned)))
	b = append(b, node.job.segments[0].Encode()...)
	for index, phase := range node.job.phases {
		running := phase == Running
		b = append(b, byte(phase), flags(running && node.intended[index], running && node.sent[index]))
	}
	return outcomesKey(b, node.ready)
}

func outcomesKey(b []byte, outcomes []ItemOutcome) []byte {
	b = append(b, byte(len(outcomes)))
	for _, outcome := range outcomes {
		b = append(b, byte(outcome.Index), byte(outcome.Code))
	}
	return b
}

func flags(values ...bool) (packed byte) {
	for i, value := range values {
		if value {
			packed |= 1 << i
		}
	}
	return packed
}

func (w *world) requestKey(b []byte, r *request) []byte {
	if r == nil {
		return append(b, '-')
	}
	if r.answer == "done" {
		return append(b, '.')
	}
	_, current, writers := w.store()
	b = append(b, r.kind[0], r.kind[1], byte(r.node), byte(r.epoch), byte(len(r.answer)), byte(len(r.intents)), byte(r.header))
	b = outcomesKey(b, r.outcomes)
	for _, name := range [...]string{"shard", "header", "segment"} {
		version, compared := r.compares[name]
		written, wrote := r.newVersions[name]
		b = append(b, flags(compared, version == current[name], r.id == writers[name], wrote, written == current[name], r.conflictWriters[name] == r.id, r.conflictWriters[name] != 0))
	}
	if r.segment != nil {
		b = append(b, r.segment.Encode()...)
	}
	return append(b, '>')
}

// store returns the shard record, and the current version and last writer of each record.
func (w *world) store() (shard lease.Record, versions map[string]uint64, writers map[string]int) {
	return w.shard.Record, map[string]uint64{"shard": w.shard.Version, "header": w.headerVersion, "segment": w.segmentVersion},
		map[string]int{"shard": w.shardWriter, "header": w.headerWriter, "segment": w.segmentWriter}
}

// apply processes a request like the store: it writes all records if all compares
// hold, and otherwise none.
func (w *world) apply(r *request) {
	_, current, writers := w.store()
	r.answer, r.conflictWriters = "applied", nil
	for record, version := range r.compares {
		if current[record] != version {
			r.answer = "conflict"
			if r.conflictWriters == nil {
				r.conflictWriters = map[string]int{}
			}
			r.conflictWriters[record] = writers[record]
		}
	}
	if r.answer != "applied" {
		return
	}
	if r.kind == "items" && r.epoch != w.shard.Record.Epoch {
		w.reportViolation("a write under epoch %d took effect under epoch %d", r.epoch, w.shard.Record.Epoch)
	}
	r.newVersions = map[string]uint64{}
	w.version++
	if r.segment != nil {
		w.segment, w.segmentVersion, w.segmentWriter = r.segment.Clone(), w.version, r.id
		r.newVersions["segment"] = w.version
	}
	if r.header != absent {
		w.header, w.headerVersion, w.headerWriter = r.header, w.version, r.id
		r.newVersions["header"] = w.version
	}
	if r.shard != nil {
		w.shard, w.shardWriter = lease.Versioned{Record: *r.shard, Version: w.version}, r.id
		r.newVersions["shard"] = w.version
	}
}

func (w *world) reportViolation(format string, arguments ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, arguments...)
	}
}

// check checks the invariants on the state of the store and the engines.
func (w *world) check() {
	if w.acknowledged && w.header == absent {
		w.reportViolation("an acknowledged job does not exist")
	}
	if w.sendCounts[nonRepeatableItem] > 1 {
		w.reportViolation("an item that must not be repeated was sent %d times", w.sendCounts[nonRepeatableItem])
	}
	for index := range modelItems {
		code := w.segment.Code(index)
		if w.finalCodes[index] != Open && code != w.finalCodes[index] {
			w.reportViolation("the outcome of item %d changed", index)
		}
		w.finalCodes[index] = code
		if w.cancelAnswered && code != w.codesAtCancel[index] {
			w.reportViolation("item %d completed after the cancellation", index)
		}
		if w.header == completed && code == Open {
			w.reportViolation("a completed job has an open item")
		}
	}
}

// Package faults runs the fault matrix: every fault at every step of a
// request, a job, an item, a cancel, a lease hand-over and a row edit. Each
// cell is a small fleet of whole nodes on a simulated network in virtual time;
// the fault comes when the platform's stand-ins see the step, and the checker
// judges the cell by the stand-ins' and the callers' records. It never looks
// into a node. The matrix is made from the lists Steps and Faults: an entry
// added to one of them adds its column or row.
package faults

import (
	"encoding/json"
	"strings"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
	"ringstream.example/ringstream/internal/core/batch"
	"ringstream.example/ringstream/internal/emulator"
)

// Step is a point in the course of some work, as the stand-ins see it.
type Step struct {
	Name string `json:"name"`
	// Of says whose step it is: "request", "job", "item", "cancel", "lease", "edit".
	Of string `json:"of"`
	// needsStop: it comes up only when a node is stopped, which the cell then does.
	needsStop bool
	reached   func(*sight) bool
}

// sight is one call at a stand-in, taken apart.
type sight struct {
	emulator.Call
	transaction wire.Transaction
	// newItems: the commit makes items final that were not; newIntents: it
	// records intents only. Both for writes of a job's segments.
	newItems, newIntents bool
	// keyWrites counts the commits of the same idempotency record before.
	keyWrites int
}

// watcher takes calls apart; it remembers what it needs to tell commits apart.
// Its caller sees to it that one call is taken apart at a time.
type watcher struct {
	final     map[string]int // items that a segment record shows as final
	keyWrites map[string]int
}

func newWatcher() *watcher { return &watcher{final: map[string]int{}, keyWrites: map[string]int{}} }

const (
	segmentPrefix = "batch/segment/"
	keyPrefix     = "idempotency/"
	rowPrefix     = "rows/row/"
	openPrefix    = "batch/open/"
	inputPrefix   = "batch/input/"
	resultPrefix  = "batch/result/"
)

func (w *watcher) look(call emulator.Call) *sight {
	seen := &sight{Call: call}
	if call.System != "table" || call.Operation != "commit" || json.Unmarshal(call.Body, &seen.transaction) != nil {
		return seen
	}
	for _, write := range seen.transaction.Writes {
		switch {
		case strings.HasPrefix(write.Key, segmentPrefix) && !write.Delete:
			w.lookSegment(seen, write)
		case strings.HasPrefix(write.Key, keyPrefix):
			seen.keyWrites = w.keyWrites[write.Key]
			if call.Phase == emulator.AfterEffect {
				w.keyWrites[write.Key]++
			}
		}
	}
	return seen
}

func (w *watcher) lookSegment(seen *sight, write wire.Write) {
	segment, err := batch.DecodeSegment(write.Value)
	if err != nil {
		return
	}
	counts := segment.Counts()
	if final := counts.Final(); final > w.final[write.Key] {
		seen.newItems = true
		if seen.Phase == emulator.AfterEffect {
			w.final[write.Key] = final
		}
	} else {
		seen.newIntents = true
	}
}

// writes tells whether the commit writes a key with the prefix.
func (s *sight) writes(prefix string) bool {
	for _, write := range s.transaction.Writes {
		if strings.HasPrefix(write.Key, prefix) {
			return true
		}
	}
	return false
}

// deletes tells whether the commit deletes a key with the prefix.
func (s *sight) deletes(prefix string) bool {
	for _, write := range s.transaction.Writes {
		if write.Delete && strings.HasPrefix(write.Key, prefix) {
			return true
		}
	}
	return false
}

func (s *sight) commitOf(id string) bool { return strings.HasPrefix(s.transaction.ID, id) }

func (s *sight) put(prefix string) bool {
	return s.System == "objects" && s.Operation == "put" && strings.HasPrefix(s.Subject, prefix)
}

// generates tells whether the call sends an attempt of a priority.
func (s *sight) generates(priority backend.Priority) bool {
	if s.Operation != "generate" {
		return false
	}
	var sent wire.GenerateRequest
	return json.Unmarshal(s.Body, &sent) == nil && backend.Priority(sent.Priority) == priority
}

func (s *sight) streams(operation string, priority backend.Priority) bool {
	return s.Operation == operation && s.Priority == priority
}

// Steps lists every step, in the order of their work.
func Steps() []Step {
	var steps []Step
	steps = append(steps, around("request", "key_claim", func(s *sight) bool { return s.writes(keyPrefix) && s.keyWrites == 0 })...)
	steps = append(steps, attempt("request", backend.PriorityOnline)...)
	steps = append(steps, around("request", "key_answer", func(s *sight) bool { return s.writes(keyPrefix) && s.keyWrites == 1 })...)
	steps = append(steps, around("job", "input_put", func(s *sight) bool { return s.put(inputPrefix) })...)
	steps = append(steps, around("job", "accept", func(s *sight) bool { return s.commitOf("accept-") })...)
	steps = append(steps, around("item", "intent", func(s *sight) bool { return s.newIntents })...)
	steps = append(steps, attempt("item", backend.PriorityBatch)...)
	steps = append(steps, around("item", "result_put", func(s *sight) bool { return s.put(resultPrefix) })...)
	steps = append(steps, around("item", "final", func(s *sight) bool { return s.newItems })...)
	steps = append(steps, around("job", "end", func(s *sight) bool { return s.commitOf("items-") && s.deletes(openPrefix) })...)
	steps = append(steps, around("cancel", "commit", func(s *sight) bool { return s.commitOf("cancel-") })...)
	steps = append(steps, around("cancel", "engine", func(s *sight) bool { return s.Operation == "cancel" })...)
	steps = append(steps, around("lease", "renew", func(s *sight) bool { return s.commitOf("renew-") })...)
	for _, handOver := range []string{"release", "end", "claim"} {
		steps = append(steps, needsStop(around("lease", handOver, func(s *sight) bool { return s.commitOf(handOver + "-") }))...)
	}
	steps = append(steps, around("edit", "commit", func(s *sight) bool { return s.writes(rowPrefix) })...)
	steps = append(steps, around("edit", "poll", func(s *sight) bool { return s.Operation == "get" && s.Subject == "rows/head" })...)
	return steps
}

// around gives the steps before a call's effect and after it, unanswered.
func around(of, name string, match func(*sight) bool) []Step {
	at := func(phase emulator.CallPhase) func(*sight) bool {
		return func(s *sight) bool { return s.Phase == phase && match(s) }
	}
	return []Step{
		{Name: of + "." + name + ".before", Of: of, reached: at(emulator.BeforeEffect)},
		{Name: of + "." + name + ".after", Of: of, reached: at(emulator.AfterEffect)},
	}
}

// attempt gives the steps of an attempt on an engine.
func attempt(of string, priority backend.Priority) []Step {
	steps := around(of, "send", func(s *sight) bool { return s.generates(priority) })
	for _, point := range []string{emulator.OperationFirstToken, emulator.OperationHalfway, emulator.OperationFinish} {
		steps = append(steps, Step{Name: of + "." + point, Of: of, reached: func(s *sight) bool { return s.streams(point, priority) }})
	}
	return steps
}

func needsStop(steps []Step) []Step {
	for i := range steps {
		steps[i].needsStop = true
	}
	return steps
}

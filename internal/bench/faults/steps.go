// Package faults runs the fault matrix, which injects every fault at every step of a request, a
// job, an item, a cancel, a lease hand-over and a row edit. Each cell is a small fleet of complete
// nodes on a simulated network in virtual time. The fault begins when the platform stand-ins
// observe the step. The checker judges the cell by the records of the stand-ins and the callers,
// and never by the state of a node. The matrix is built from the lists Steps and Faults, so an
// entry added to one of them adds a column or a row.
package faults

import (
	"encoding/json"
	"strings"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
	"ringstream.example/ringstream/internal/core/batch"
	"ringstream.example/ringstream/internal/emulator"
)

// Step is a point in the course of some work, as observed by the stand-ins.
type Step struct {
	Name string `json:"name"`
	// Of is the kind of work: "request", "job", "item", "cancel", "lease" or "edit".
	Of string `json:"of"`
	// needsStop is true if the step is reached only when a node is stopped. The cell then includes
	// a planned stop.
	needsStop bool
	reached   func(*observedCall) bool
}

// observedCall is a classified call to a stand-in.
type observedCall struct {
	emulator.Call
	transaction wire.Transaction
	// newItems is true if the commit makes more items final. newIntents is true if it records
	// intents only. Both concern writes of a job's segments.
	newItems, newIntents bool
	// keyWrites is the number of earlier commits of the same idempotency record.
	keyWrites int
}

// callClassifier classifies calls and keeps the state needed to tell commits apart. It is not safe
// for concurrent use.
type callClassifier struct {
	final     map[string]int // number of final items by segment key
	keyWrites map[string]int
}

func newCallClassifier() *callClassifier {
	return &callClassifier{final: map[string]int{}, keyWrites: map[string]int{}}
}

const (
	segmentPrefix = "batch/segment/"
	keyPrefix     = "idempotency/"
	rowPrefix     = "rows/row/"
	openPrefix    = "batch/open/"
	inputPrefix   = "batch/input/"
	resultPrefix  = "batch/result/"
)

func (w *callClassifier) classify(call emulator.Call) *observedCall {
	seen := &observedCall{Call: call}
	if call.System != "table" || call.Operation != "commit" || json.Unmarshal(call.Body, &seen.transaction) != nil {
		return seen
	}
	for _, write := range seen.transaction.Writes {
		switch {
		case strings.HasPrefix(write.Key, segmentPrefix) && !write.Delete:
			w.classifySegment(seen, write)
		case strings.HasPrefix(write.Key, keyPrefix):
			seen.keyWrites = w.keyWrites[write.Key]
			if call.Phase == emulator.AfterEffect {
				w.keyWrites[write.Key]++
			}
		}
	}
	return seen
}

func (w *callClassifier) classifySegment(seen *observedCall, write wire.Write) {
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

// writes reports whether the commit writes a key with the prefix.
func (s *observedCall) writes(prefix string) bool {
	for _, write := range s.transaction.Writes {
		if strings.HasPrefix(write.Key, prefix) {
			return true
		}
	}
	return false
}

// deletes reports whether the commit deletes a key with the prefix.
func (s *observedCall) deletes(prefix string) bool {
	for _, write := range s.transaction.Writes {
		if write.Delete && strings.HasPrefix(write.Key, prefix) {
			return true
		}
	}
	return false
}

func (s *observedCall) isCommitOf(id string) bool { return strings.HasPrefix(s.transaction.ID, id) }

func (s *observedCall) isPutOf(prefix string) bool {
	return s.System == "objects" && s.Operation == "put" && strings.HasPrefix(s.Subject, prefix)
}

// generates reports whether the call sends an attempt of a priority.
func (s *observedCall) generates(priority backend.Priority) bool {
	if s.Operation != "generate" {
		return false
	}
	var sent wire.GenerateRequest
	return json.Unmarshal(s.Body, &sent) == nil && backend.Priority(sent.Priority) == priority
}

func (s *observedCall) streams(operation string, priority backend.Priority) bool {
	return s.Operation == operation && s.Priority == priority
}

// Steps lists every step, ordered by the course of the work.
func Steps() []Step {
	var steps []Step
	steps = append(steps, stepsAround("request", "key_claim", func(s *observedCall) bool { return s.writes(keyPrefix) && s.keyWrites == 0 })...)
	steps = append(steps, attemptSteps("request", backend.PriorityOnline)...)
	steps = append(steps, stepsAround("request", "key_answer", func(s *observedCall) bool { return s.writes(keyPrefix) && s.keyWrites == 1 })...)
	steps = append(steps, stepsAround("job", "input_put", func(s *observedCall) bool { return s.isPutOf(inputPrefix) })...)
	steps = append(steps, stepsAround("job", "accept", func(s *observedCall) bool { return s.isCommitOf("accept-") })...)
	steps = append(steps, stepsAround("item", "intent", func(s *observedCall) bool { return s.newIntents })...)
	steps = append(steps, attemptSteps("item", backend.PriorityBatch)...)
	steps = append(steps, stepsAround("item", "result_put", func(s *observedCall) bool { return s.isPutOf(resultPrefix) })...)
	steps = append(steps, stepsAround("item", "final", func(s *observedCall) bool { return s.newItems })...)
	steps = append(steps, stepsAround("job", "end", func(s *observedCall) bool { return s.isCommitOf("items-") && s.deletes(openPrefix) })...)
	steps = append(steps, stepsAround("cancel", "commit", func(s *observedCall) bool { return s.isCommitOf("cancel-") })...)
	steps = append(steps, stepsAround("cancel", "engine", func(s *observedCall) bool { return s.Operation == "cancel" })...)
	steps = append(steps, stepsAround("lease", "renew", func(s *observedCall) bool { return s.isCommitOf("renew-") })...)
	for _, operation := range []string{"release", "end", "claim"} {
		steps = append(steps, needsStop(stepsAround("lease", operation, func(s *observedCall) bool { return s.isCommitOf(operation + "-") }))...)
	}
	steps = append(steps, stepsAround("edit", "commit", func(s *observedCall) bool { return s.writes(rowPrefix) })...)
	steps = append(steps, stepsAround("edit", "poll", func(s *observedCall) bool { return s.Operation == "get" && s.Subject == "rows/head" })...)
	return steps
}

// stepsAround returns the steps before the effect of a call, and after the effect but before the
// answer.
func stepsAround(of, name string, match func(*observedCall) bool) []Step {
	at := func(phase emulator.CallPhase) func(*observedCall) bool {
		return func(s *observedCall) bool { return s.Phase == phase && match(s) }
	}
	return []Step{
		{Name: of + "." + name + ".before", Of: of, reached: at(emulator.BeforeEffect)},
		{Name: of + "." + name + ".after", Of: of, reached: at(emulator.AfterEffect)},
	}
}

// attemptSteps returns the steps of an attempt on an engine.
func attemptSteps(of string, priority backend.Priority) []Step {
	steps := stepsAround(of, "send", func(s *observedCall) bool { return s.generates(priority) })
	for _, point := range []string{emulator.OperationFirstToken, emulator.OperationHalfway, emulator.OperationFinish} {
		steps = append(steps, Step{Name: of + "." + point, Of: of, reached: func(s *observedCall) bool { return s.streams(point, priority) }})
	}
	return steps
}

func needsStop(steps []Step) []Step {
	for i := range steps {
		steps[i].needsStop = true
	}
	return steps
}

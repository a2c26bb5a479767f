package explain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Numbers of the events that a summary evaluates; see docs/events.md.
const (
	eventRequestEnded   = 8102
	eventEngineChosen   = 8103
	eventAttemptEnded   = 8104
	eventRequestRefused = 8110
	eventJobSubmitted   = 8302
	eventRunEnded       = 8321
	eventItemPreempted  = 8323
	eventKeyRefused     = 8113
	eventOverLimit      = 8114
	eventContentRefused = 8143
)

// Row is one line of a summary.
type Row struct {
	Route string // set for requests and job submissions
	Label string // what was counted: an outcome with its cause, or a range
	Count int
}

// Summary counts the outcomes of requests, job submissions and item runs in the
// logs of some nodes.
type Summary struct {
	Requests    int // number of requests that ended
	Late        []Row
	LateBy      []Row // late requests by lateness, in ascending order
	LateSeconds []Row // the seconds with the most late requests, counted from the first line
	Failed      []Row
	Keys        []Row // requests refused for their key, by verdict
	Limits      []Row // requests over their tenants' limits, by tenant
	Submissions []Row
	Runs        []Row
	Preemptions []Row
}

// request collects what the lines so far say about one request at one node.
type request struct {
	chosen   []Line // choices of engines, in order
	attempts []Line
	refused  string
}

// tally counts rows by route and label.
type tally map[Row]int

func (t tally) add(route, what string) { t[Row{Route: route, Label: what}]++ }

// rows returns the counted rows in descending order of their counts.
func (t tally) rows() []Row {
	rows := make([]Row, 0, len(t))
	for _, row := range slices.Collect(maps.Keys(t)) {
		row.Count = t[row]
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Label, b.Label))
	})
	return rows
}

// Summarize counts the late and failed requests by cause, and also the job
// submissions and the item runs by outcome.
func Summarize(lines []Line) Summary {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, compareTime)
	requests := make(map[string]*request)
	late, failed, submissions, runs, preemptions, keys, limits := make(tally), make(tally), make(tally), make(tally), make(tally), make(tally), make(tally)
	delays := newDelays(lines)
	summary := Summary{}
	for _, line := range lines {
		id, _ := line.Fields["request"].(string)
		current := requests[line.Node+"/"+id]
		if current == nil {
			current = &request{}
			requests[line.Node+"/"+id] = current
		}
		switch line.Number {
		case eventEngineChosen:
			current.chosen = append(current.chosen, line)
		case eventAttemptEnded:
			current.attempts = append(current.attempts, line)
		case eventRequestRefused:
			current.refused = text(line, "reason")
		case eventRequestEnded:
			summary.Requests++
			current.classify(line, late, failed)
			delays.record(line)
			delete(requests, line.Node+"/"+id)
		case eventJobSubmitted:
			submissions.add(text(line, "route"), text(line, "outcome"))
		case eventRunEnded:
			runs.add("", text(line, "outcome"))
		case eventItemPreempted:
			preemptions.add("", fmt.Sprintf("%s, with %s kept", text(line, "why"), keptEventsLabel(number(line, "events_kept"))))
		case eventKeyRefused:
			keys.add("", text(line, "verdict"))
		case eventContentRefused:
			current.refused = "request_ends_engines"
		case eventOverLimit:
			current.refused = "tenant_over_limit"
			limits.add("", overLimitLabel(line))
		}
	}
	for _, unfinished := range requests {
		if len(unfinished.chosen) > 0 {
			failed.add("", "no end in these logs: the node ended, or lines were shed")
		}
	}
	summary.Late, summary.Failed, summary.Submissions, summary.Runs, summary.Preemptions = late.rows(), failed.rows(), submissions.rows(), runs.rows(), preemptions.rows()
	summary.LateBy, summary.LateSeconds = delays.rows()
	summary.Keys, summary.Limits = keys.rows(), limits.rows()
	return summary
}

// classify counts the request in late or failed, if it was either.
func (r *request) classify(ended Line, late, failed tally) {
	route := text(ended, "route")
	if outcome := text(ended, "outcome"); outcome != "completed" {
		failed.add(route, r.failureCause(outcome))
		return
	}
	objective, first := duration(ended, "objective"), duration(ended, "first_event")
	if objective > 0 && first > objective {
		late.add(route, r.latenessCause())
	}
}

// failureCause returns the outcome with the reason of the refusal, or with the end
// of the last attempt.
func (r *request) failureCause(outcome string) string {
	if r.refused != "" {
		return outcome + ", refused: " + r.refused
	}
	if len(r.attempts) == 0 {
		return outcome + ", no attempt"
	}
	last := r.attempts[len(r.attempts)-1]
	return outcome + ", last attempt " + text(last, "outcome") + ": " + lastErrorPart(text(last, "error"))
}

// lastErrorPart returns the text after the last ": " of an error. It has no
// addresses in it, so that equal failures are counted together.
func lastErrorPart(problem string) string {
	if problem == "" {
		return "no error"
	}
	return strings.TrimSpace(problem[strings.LastIndex(problem, ": ")+1:])
}

// latenessCause returns what delayed a completed request.
func (r *request) latenessCause() string {
	if len(r.chosen) == 0 {
		return "no choice of an engine in these logs"
	}
	if len(r.chosen) > 1 {
		first := r.attempts
		if len(first) == 0 {
			return "several attempts"
		}
		return "several attempts, the first ended " + text(first[0], "outcome")
	}
	chosen := r.chosen[0]
	slots, inFlight := number(chosen, "slots"), number(chosen, "in_flight")
	preemptsBatch, _ := chosen.Fields["makes_room"].(bool)
	choice := "granted"
	if text(chosen, "chosen_by") == "alone" {
		choice = "chosen alone, no dispatcher answered"
	}
	switch {
	case duration(chosen, "waited") > longWait && slots > 0 && inFlight >= slots && !preemptsBatch:
		return choice + ": waited for a slot, then queued at a full engine"
	case duration(chosen, "waited") > longWait:
		return choice + ": waited for a slot"
	case preemptsBatch:
		return choice + ": engine full, a batch run was stopped"
	case slots > 0 && inFlight >= slots:
		return choice + ": queued at a full engine"
	case chosen.Fields["state"] != "ready":
		return fmt.Sprintf("%s: engine with a slot, state %v", choice, chosen.Fields["state"])
	case number(chosen, "prefill_tokens") > longPromptTokens:
		return choice + ": engine with a slot, a long prompt of its own"
	default:
		return choice + ": engine with a slot"
	}
}

// longWait is a wait for a slot that exceeds the round trip to the dispatcher.
// longPromptTokens is the length of a prompt whose prefill takes most of a usual
// objective.
const (
	longWait         = 50 * time.Millisecond
	longPromptTokens = 4000
)

func text(line Line, name string) string {
	value, _ := line.Fields[name].(string)
	return value
}

func number(line Line, name string) int {
	value, _ := line.Fields[name].(float64)
	return int(value)
}

// duration parses a duration as zap writes it. It returns zero if there is none.
func duration(line Line, name string) time.Duration {
	value, err := time.ParseDuration(text(line, name))
	if err != nil {
		return 0 // the field is missing or was written by an older version
	}
	return value
}

// Text formats a summary as a table.
func (s Summary) Text() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%d requests ended\n", s.Requests)
	for _, part := range []struct {
		name string
		rows []Row
	}{{"late", s.Late}, {"late by", s.LateBy}, {"late, by second", s.LateSeconds}, {"failed", s.Failed}, {"keys refused", s.Keys}, {"over a tenant's limit", s.Limits}, {"hand-ins of jobs", s.Submissions}, {"runs of items", s.Runs}, {"runs stopped", s.Preemptions}} {
		total := 0
		for _, row := range part.rows {
			total += row.Count
		}
		fmt.Fprintf(&out, "\n%s: %d\n", part.name, total)
		for _, row := range part.rows {
			fmt.Fprintf(&out, "%8d  %-12s %s\n", row.Count, row.Route, row.Label)
		}
	}
	return out.String()
}

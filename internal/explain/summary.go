package explain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Numbers of the events that a summary rests on: see docs/events.md.
const (
	eventRequestEnded   = 8102
	eventEngineChosen   = 8103
	eventAttemptEnded   = 8104
	eventRequestRefused = 8110
	eventJobHandedIn    = 8302
	eventRunEnded       = 8321
	eventItemYields     = 8323
	eventKeyRefused     = 8113
	eventOverLimit      = 8114
	eventContentRefused = 8143
)

// Row is one line of a summary.
type Row struct {
	Route string // for requests
	What  string // how it went, and why
	Count int
}

// Summary is what became of the requests, hand-ins and runs of items in some
// nodes' logs.
type Summary struct {
	Requests int // that ended
	Late     []Row
	LateBy   []Row // late requests by how much, in order
	LateAt   []Row // the seconds with the most late requests, from the first line on
	Failed   []Row
	Keys     []Row // requests whose key did not let them in, by verdict
	Limits   []Row // requests over their tenants' limits, by tenant
	HandIns  []Row
	Runs     []Row
	Yields   []Row
}

// request is what the lines so far tell of one request at one node.
type request struct {
	chosen   []Line // engines, in order
	attempts []Line
	refused  string
}

// tally counts equal rows.
type tally map[Row]int

func (t tally) add(route, what string) { t[Row{Route: route, What: what}]++ }

// rows gives the counted rows, the most frequent first.
func (t tally) rows() []Row {
	rows := make([]Row, 0, len(t))
	for _, row := range slices.Collect(maps.Keys(t)) {
		row.Count = t[row]
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route), cmp.Compare(a.What, b.What))
	})
	return rows
}

// Summarize counts the late and failed requests by cause, and beside them the
// hand-ins of jobs and the runs of items.
func Summarize(lines []Line) Summary {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, byTime)
	requests := make(map[string]*request)
	late, failed, handIns, runs, yields, keys, limits := make(tally), make(tally), make(tally), make(tally), make(tally), make(tally), make(tally)
	delays := newDelays(lines)
	summary := Summary{}
	for _, line := range lines {
		id, _ := line.Fields["request"].(string)
		known := requests[line.Node+"/"+id]
		if known == nil {
			known = &request{}
			requests[line.Node+"/"+id] = known
		}
		switch line.Number {
		case eventEngineChosen:
			known.chosen = append(known.chosen, line)
		case eventAttemptEnded:
			known.attempts = append(known.attempts, line)
		case eventRequestRefused:
			known.refused = text(line, "reason")
		case eventRequestEnded:
			summary.Requests++
			known.judge(line, late, failed)
			delays.take(line)
			delete(requests, line.Node+"/"+id)
		case eventJobHandedIn:
			handIns.add(text(line, "route"), text(line, "outcome"))
		case eventRunEnded:
			runs.add("", text(line, "outcome"))
		case eventItemYields:
			yields.add("", fmt.Sprintf("%s, with %s kept", text(line, "why"), eventsKept(number(line, "events_kept"))))
		case eventKeyRefused:
			keys.add("", text(line, "verdict"))
		case eventContentRefused:
			known.refused = "request_ends_engines"
		case eventOverLimit:
			known.refused = "tenant_over_limit"
			limits.add("", overLimit(line))
		}
	}
	for _, left := range requests {
		if len(left.chosen) > 0 {
			failed.add("", "no end in these logs: the node ended, or lines were shed")
		}
	}
	summary.Late, summary.Failed, summary.HandIns, summary.Runs, summary.Yields = late.rows(), failed.rows(), handIns.rows(), runs.rows(), yields.rows()
	summary.LateBy, summary.LateAt = delays.rows()
	summary.Keys, summary.Limits = keys.rows(), limits.rows()
	return summary
}

// judge counts a request that has ended, if it was late or failed.
func (r *request) judge(ended Line, late, failed tally) {
	route := text(ended, "route")
	if outcome := text(ended, "outcome"); outcome != "completed" {
		failed.add(route, r.whyFailed(outcome))
		return
	}
	objective, first := duration(ended, "objective"), duration(ended, "first_event")
	if objective > 0 && first > objective {
		late.add(route, r.whyLate())
	}
}

// whyFailed names the refusal's reason, or how the last attempt ended.
func (r *request) whyFailed(outcome string) string {
	if r.refused != "" {
		return outcome + ", refused: " + r.refused
	}
	if len(r.attempts) == 0 {
		return outcome + ", no attempt"
	}
	last := r.attempts[len(r.attempts)-1]
	return outcome + ", last attempt " + text(last, "outcome") + ": " + ending(text(last, "error"))
}

// ending gives the last part of an error, which has no addresses in it.
func ending(problem string) string {
	if problem == "" {
		return "no error"
	}
	return strings.TrimSpace(problem[strings.LastIndex(problem, ": ")+1:])
}

// whyLate names what delayed a request that was served.
func (r *request) whyLate() string {
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
	makesRoom, _ := chosen.Fields["makes_room"].(bool)
	by := "granted"
	if text(chosen, "chosen_by") == "alone" {
		by = "chosen alone, no dispatcher answered"
	}
	switch {
	case duration(chosen, "waited") > longWait && slots > 0 && inFlight >= slots && !makesRoom:
		return by + ": waited for a slot, then queued at a full engine"
	case duration(chosen, "waited") > longWait:
		return by + ": waited for a slot"
	case makesRoom:
		return by + ": engine full, a batch run was stopped"
	case slots > 0 && inFlight >= slots:
		return by + ": queued at a full engine"
	case chosen.Fields["state"] != "ready":
		return fmt.Sprintf("%s: engine with a slot, state %v", by, chosen.Fields["state"])
	case number(chosen, "prefill_tokens") > longPrompt:
		return by + ": engine with a slot, a long prompt of its own"
	default:
		return by + ": engine with a slot"
	}
}

// longWait is a wait for a slot that is more than the way to the dispatcher and
// back, and longPrompt a number of tokens whose reading takes most of a usual
// objective.
const (
	longWait   = 50 * time.Millisecond
	longPrompt = 4000
)

func text(line Line, name string) string {
	value, _ := line.Fields[name].(string)
	return value
}

func number(line Line, name string) int {
	value, _ := line.Fields[name].(float64)
	return int(value)
}

// duration reads a duration as zap writes it; zero when there is none.
func duration(line Line, name string) time.Duration {
	value, err := time.ParseDuration(text(line, name))
	if err != nil {
		return 0 // the field is missing, or of an older version
	}
	return value
}

// Text writes a summary as a table.
func (s Summary) Text() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%d requests ended\n", s.Requests)
	for _, part := range []struct {
		name string
		rows []Row
	}{{"late", s.Late}, {"late by", s.LateBy}, {"late, by second", s.LateAt}, {"failed", s.Failed}, {"keys refused", s.Keys}, {"over a tenant's limit", s.Limits}, {"hand-ins of jobs", s.HandIns}, {"runs of items", s.Runs}, {"runs stopped", s.Yields}} {
		total := 0
		for _, row := range part.rows {
			total += row.Count
		}
		fmt.Fprintf(&out, "\n%s: %d\n", part.name, total)
		for _, row := range part.rows {
			fmt.Fprintf(&out, "%8d  %-12s %s\n", row.Count, row.Route, row.What)
		}
	}
	return out.String()
}

package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"ringstream.example/ringstream/platform/platformtest"
)

// writtenEvent is an event of an answer or text and the name of the run that wrote it.
type writtenEvent struct {
	number int
	writer string
}

// streamEvents returns the whole events of a stream.
func streamEvents(body string) []writtenEvent {
	var events []writtenEvent
	blocks := strings.Split(body, "\n\n")
	for _, block := range blocks[:len(blocks)-1] {
		var event writtenEvent
		for line := range strings.SplitSeq(block, "\n") {
			if id, found := strings.CutPrefix(line, "id: "); found {
				event.number = eventNumber(id)
			}
			if data, found := strings.CutPrefix(line, "data: "); found {
				_, event.writer = platformtest.SplitWriter(data)
			}
		}
		events = append(events, event)
	}
	return events
}

// textEvents returns the events of an item's text.
func textEvents(text string) []writtenEvent {
	if text == "" {
		return nil
	}
	var events []writtenEvent
	for line := range strings.SplitSeq(text, "\n") {
		data, writer := platformtest.SplitWriter(line)
		events = append(events, writtenEvent{number: eventNumber(data[strings.LastIndex(data, ":")+1:]), writer: writer})
	}
	return events
}

// describeEvents tells the numbers of the events of an answer or text and the run that wrote the last one, or
// how the text begins if it has no events.
func describeEvents(events []writtenEvent, text string) string {
	if len(events) == 0 {
		return fmt.Sprintf("no whole event in %.120q", text)
	}
	var spans []string
	first := 0
	for i, event := range events {
		if i+1 == len(events) || events[i+1].number != event.number+1 {
			spans = append(spans, fmt.Sprintf("%d to %d", events[first].number, event.number))
			first = i + 1
		}
	}
	return fmt.Sprintf("events %s, the last of %s", strings.Join(spans, ", "), events[len(events)-1].writer)
}

// concludeWriters judges which of all runs wrote the events of successes and of listed texts.
func (j *judge) concludeWriters(all []engineRun) {
	byID := runsByID(all)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.framing = j.reportFraming(byID)
	requests := slices.Clone(j.requests)
	for _, keyed := range j.keyedRequests {
		requests = append(requests, keyed.requestRecord)
	}
	for _, request := range requests {
		if request.reply.Status != http.StatusOK {
			continue
		}
		runs := byID[request.id]
		if !slices.ContainsFunc(runs, func(run engineRun) bool { return platformtest.Seal(run.engine) == request.reply.Seal }) {
			j.recordViolationLocked("answers_are_of_own_engines", request.id, fmt.Sprintf("%s: sealed with %q by no engine that ran it", request.route, request.reply.Seal))
		}
		j.judgeEvents(request.id, request.after, streamEvents(request.reply.Body), runs)
	}
	for _, job := range j.jobs {
		for _, result := range job.results {
			j.judgeEvents(result.ID, 0, textEvents(result.Text), byID[result.ID])
		}
		for _, item := range job.items {
			j.judgeContinuations(item, byID[item])
		}
	}
}

// judgeEvents judges the events that came after a given one, whether the answer is complete or not. They rise
// by one, and each run of which there are events was asked to go on after the event before its own. The caller
// holds mu.
func (j *judge) judgeEvents(subject string, after int, events []writtenEvent, runs []engineRun) {
	continued := make(map[string]int) // the last event before a run's own, by the run's name
	for _, run := range runs {
		continued[run.run.Writer] = eventNumber(run.run.LastEvent)
	}
	last, writer := after, ""
	for i, event := range events {
		if event.number != last+1 {
			j.recordViolationLocked("events_come_in_order", subject, fmt.Sprintf("event %d of %s after event %d of %s", event.number, event.writer, last, writer))
			return
		}
		before, known := continued[event.writer]
		if !known {
			j.recordViolationLocked("answers_are_of_own_engines", subject, fmt.Sprintf("event %d was written by %q, which is none of its runs", event.number, event.writer))
			return
		}
		if (i == 0 || event.writer != writer) && before != last {
			j.recordViolationLocked("texts_are_of_one_run", subject, fmt.Sprintf("event %d of %s, which was asked to go on after event %d, follows event %d of %s", event.number, event.writer, before, last, writer))
			return
		}
		last, writer = event.number, event.writer
	}
}

// judgeContinuations judges the runs of an item: one that goes on after an event follows a run that wrote that
// event. The caller holds mu.
func (j *judge) judgeContinuations(item string, runs []engineRun) {
	for _, run := range runs {
		asked := eventNumber(run.run.LastEvent)
		if asked == 0 || slices.ContainsFunc(runs, func(former engineRun) bool {
			return former.run.Began.Before(run.run.Began) && former.run.Wrote >= asked
		}) {
			continue
		}
		j.recordViolationLocked("items_go_on_after_what_was_written", item, fmt.Sprintf("%s was asked to go on after event %d, which no run before it had written", run.run.Writer, asked))
	}
}

// eventNumber returns the number of an event's id; 0 for an empty one.
func eventNumber(id string) int {
	number, err := strconv.Atoi(id)
	if err != nil {
		return 0
	}
	return number
}

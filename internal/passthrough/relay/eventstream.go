package relay

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"ringstream.example/ringstream/internal/passthrough/memorybudget"
)

// errNotContinued is returned when a run does not go on after the last event of the run before.
var errNotContinued = errors.New("the run does not go on after the last event")

// Splitter splits a byte stream into server-sent events and drops those that were returned
// before. An event ends with an empty line, and the line "id: N" gives its id.
type Splitter struct {
	pending []byte
	last    string // id of the last event returned
	lastID  int64
	count   int
	run     runSize
	limits  runLimits // of run
	// begun reports that the current run has brought an event with an id.
	begun bool
	// consecutive reports that the ids of the stream have always risen by one. rises is how many times they have
	// risen.
	consecutive bool
	rises       int
	// requireConsecutive is set by RequireConsecutive.
	requireConsecutive bool
	budget             *memorybudget.Budget // counts pending; nil: it is not counted
	counted            int64                // bytes of pending that are counted
}

// NewSplitter returns a splitter for a stream that resumes after the event with the id last. An
// empty id means a stream from the start.
func NewSplitter(last string) *Splitter {
	splitter := &Splitter{last: last, lastID: -1, consecutive: true, limits: limitsOf(0)}
	if number, err := strconv.ParseInt(last, 10, 64); err == nil {
		splitter.lastID = number
	}
	return splitter
}

// Last returns the id of the last event returned, or the id given to NewSplitter if there is none.
func (s *Splitter) Last() string { return s.last }

// Count returns the number of events returned so far.
func (s *Splitter) Count() int { return s.count }

// Pending reports whether an incomplete event is buffered.
func (s *Splitter) Pending() bool { return len(s.pending) > 0 }

// RunEvents returns the number of events that the current run has brought, including those that were
// dropped.
func (s *Splitter) RunEvents() int { return s.run.events }

// Restart discards an incomplete event before a run of the stream begins at another engine.
func (s *Splitter) Restart() {
	s.Release()
	s.run, s.begun = runSize{}, false
}

// CountIn makes the splitter count an incomplete event in a budget until Release or the event's end.
func (s *Splitter) CountIn(budget *memorybudget.Budget) { s.budget = budget }

// Release discards an incomplete event.
func (s *Splitter) Release() {
	s.pending = nil
	_ = s.countPending() // nothing always fits
}

// countPending counts the incomplete event in the budget.
func (s *Splitter) countPending() error {
	length := int64(len(s.pending))
	if s.budget == nil || length == s.counted {
		return nil
	}
	former := s.counted
	if length < former {
		s.budget.ReleaseBody(former)
		former = 0
	}
	if !s.budget.TryGrowBody(former, length) {
		s.counted = former
		return errMemoryFull
	}
	s.counted = length
	return nil
}

// RequireConsecutive makes Add fail if a run that resumes the stream does not begin with the next number. Without
// it, Add requires this of a stream whose ids have always risen by one, and else only a higher id.
func (s *Splitter) RequireConsecutive() { s.requireConsecutive = true }

// Add appends content to the stream and returns the events that are now complete, without those
// that were returned before. The result is valid until the next call. Add fails if an event
// or the run exceeds what a sound answer may hold, if the budget has no room for an event, or if a run
// does not go on after the last event.
func (s *Splitter) Add(content []byte) ([]byte, error) {
	s.pending = append(s.pending, content...)
	s.run.bytes += int64(len(content))
	var whole []byte
	for {
		end := eventEnd(s.pending)
		if end < 0 {
			break
		}
		event := s.pending[:end]
		if err := s.checkContinues(event); err != nil {
			return whole, err
		}
		if exceeded := s.countEvent(); exceeded != nil {
			return whole, exceeded
		}
		if s.isNew(event) {
			whole = append(whole, event...)
			s.count++
		}
		s.pending = s.pending[end:]
	}
	if err := s.checkBytes(); err != nil {
		return whole, err
	}
	return whole, s.countPending()
}

// checkContinues fails if an event shows that its run does not go on after the last event. Only the first event of
// a run that has an id can.
func (s *Splitter) checkContinues(event []byte) error {
	id, found := EventID(event)
	if !found || s.begun {
		return nil
	}
	s.begun = true
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil || s.lastID < 0 {
		return nil //nolint:nilerr // ids that are no numbers tell nothing
	}
	skips := number > s.lastID+1 && (s.requireConsecutive || (s.consecutive && s.rises > 0))
	if number <= s.lastID || skips {
		return fmt.Errorf("%w: it begins with event %d after event %d", errNotContinued, number, s.lastID)
	}
	return nil
}

// isNew reports whether the event was not returned before, and records its id. An event without
// an id is always new.
func (s *Splitter) isNew(event []byte) bool {
	id, found := EventID(event)
	if !found {
		return true
	}
	number, err := strconv.ParseInt(id, 10, 64)
	if err == nil && number <= s.lastID {
		return false
	}
	if err == nil {
		s.recordRise(number)
		s.lastID = number
	}
	s.last = id
	return true
}

// recordRise records by how much the id of a new event is higher than the last.
func (s *Splitter) recordRise(number int64) {
	if s.lastID < 0 {
		return
	}
	s.rises++
	s.consecutive = s.consecutive && number == s.lastID+1
}

// eventEnd returns the length of the first complete event, or -1 if there is none.
func eventEnd(content []byte) int {
	end := bytes.Index(content, []byte("\n\n"))
	other := bytes.Index(content, []byte("\r\n\r\n"))
	switch {
	case end >= 0 && (other < 0 || end < other):
		return end + 2
	case other >= 0:
		return other + 4
	default:
		return -1
	}
}

// EventID returns the id of an event and whether it has one.
func EventID(event []byte) (string, bool) { return field(event, "id") }

// EventData returns the data of an event, with its lines joined by line feeds.
func EventData(event []byte) string {
	var data []byte
	first := true
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, found := lineValue(line, "data")
		if !found {
			continue
		}
		if !first {
			data = append(data, '\n')
		}
		first = false
		data = append(data, value...)
	}
	return string(data)
}

func field(event []byte, name string) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, found := lineValue(line, name); found {
			return string(value), true
		}
	}
	return "", false
}

func lineValue(line []byte, name string) ([]byte, bool) {
	line = bytes.TrimSuffix(line, []byte("\r"))
	value, found := bytes.CutPrefix(line, []byte(name+":"))
	if !found {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}

// Events splits a sequence of complete events. A rest that is not terminated becomes the last
// element.
func Events(whole []byte) [][]byte {
	var list [][]byte
	for len(whole) > 0 {
		end := eventEnd(whole)
		if end < 0 {
			return append(list, whole)
		}
		list = append(list, whole[:end])
		whole = whole[end:]
	}
	return list
}

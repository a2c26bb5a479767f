package relay

import (
	"bytes"
	"errors"
	"strconv"
)

// errEventTooLong bounds what is held back of an event that has not ended.
var errEventTooLong = errors.New("an event is longer than the limit")

// maxEventBytes is the longest event.
const maxEventBytes = 4 << 20

// Splitter cuts a stream of bytes into whole events and keeps their order.
// Events end with an empty line; an event's id stands in its line "id: N".
type Splitter struct {
	pending []byte
	last    string // id of the last event given out
	lastID  int64
	count   int
}

// NewSplitter makes a splitter for a stream that goes on after the event with
// the id last; empty: from the start.
func NewSplitter(last string) *Splitter {
	splitter := &Splitter{last: last, lastID: -1}
	if number, err := strconv.ParseInt(last, 10, 64); err == nil {
		splitter.lastID = number
	}
	return splitter
}

// Last gives the id of the last event given out, or that of the start.
func (s *Splitter) Last() string { return s.last }

// Count gives the events given out.
func (s *Splitter) Count() int { return s.count }

// Pending says whether a part of an event is held back.
func (s *Splitter) Pending() bool { return len(s.pending) > 0 }

// Restart drops a part of an event, before the stream goes on elsewhere.
func (s *Splitter) Restart() { s.pending = nil }

// Add takes bytes and gives the whole events among them, those that were
// given out before left out. The result is valid until the next call.
func (s *Splitter) Add(content []byte) ([]byte, error) {
	s.pending = append(s.pending, content...)
	var whole []byte
	for {
		end := eventEnd(s.pending)
		if end < 0 {
			break
		}
		event := s.pending[:end]
		if s.isNew(event) {
			whole = append(whole, event...)
			s.count++
		}
		s.pending = s.pending[end:]
	}
	if len(s.pending) > maxEventBytes {
		return whole, errEventTooLong
	}
	return whole, nil
}

// isNew takes note of the event's id; an event without one is always new.
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
		s.lastID = number
	}
	s.last = id
	return true
}

// eventEnd gives the length of the first whole event, or -1.
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

// EventID gives the id of one event.
func EventID(event []byte) (string, bool) { return field(event, "id") }

// EventData gives the data of one event, its lines joined with line feeds.
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

// Events cuts whole events apart.
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

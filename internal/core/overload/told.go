package overload

import "time"

// toldMemory is a bounded memory of the requests that were refused without a place. When it
// is full, the oldest is forgotten, and its return counts as a new request.
type toldMemory struct {
	until  map[uint64]time.Time // by content
	oldest []uint64             // contents in the order in which they were added, from next
	next   int
}

// maxTold bounds the memory. It covers a flood of five times what a lane of 2,048 slots
// completes for the time after which clients come back.
const maxTold = 16384

func newToldMemory() toldMemory { return toldMemory{until: make(map[uint64]time.Time)} }

// add remembers a request until a time. A content of 0 is not remembered.
func (m *toldMemory) add(content uint64, until time.Time) {
	if content == 0 {
		return
	}
	_, known := m.until[content]
	m.until[content] = until
	switch {
	case known:
	case len(m.oldest) < maxTold:
		m.oldest = append(m.oldest, content)
	default:
		delete(m.until, m.oldest[m.next])
		m.oldest[m.next] = content
		m.next = (m.next + 1) % maxTold
	}
}

// holds reports whether a request is remembered.
func (m *toldMemory) holds(content uint64, now time.Time) bool {
	until, known := m.until[content]
	return known && !now.After(until)
}

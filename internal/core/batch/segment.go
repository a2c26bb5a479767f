// Package batch holds the state machines of batch work: a segment of items
// as it is stored, and a job as the node that owns it runs it. It does no I/O.
//
// An item moves Waiting -> Running -> Finished -> final. Only the last step is
// durable: an item is final when a committed segment says so, and it never
// leaves that state. Everything before it may be forgotten at any moment.
package batch

import (
	"math/bits"
	"slices"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/outcome"
)

// Code is an item's durable outcome.
type Code uint8

// The codes; the numbers are stored.
const (
	Open      Code = 0 // not final
	Completed Code = 1
	Failed    Code = 2 // ran, and an engine reported that it cannot complete
	Unknown   Code = 3 // may have run, and must not run again
)

// Outcome gives the code's meaning for callers.
func (c Code) Outcome() outcome.Kind {
	switch c {
	case Completed:
		return outcome.Completed
	case Failed:
		return outcome.Failed
	default:
		return outcome.Unknown
	}
}

// Intent names the one attempt of an item that must not be repeated.
type Intent = identity.Intent

// Reference names a result object of a job: the lease epoch of its writer and
// the writer's count.
type Reference struct{ Epoch, Sequence uint64 }

// Extent is the part that a result object has in a segment: the lowest and the
// highest of the items in it, which may not be all between them.
type Extent struct {
	Reference Reference
	Low, High int
}

// Segment is the durable state of a run of a job's items, indexed from 0. The
// zero value with Items set is a segment in which nothing has happened.
type Segment struct {
	Items      int
	final      []uint64     // one bit an item
	exceptions map[int]Code // final items that did not complete
	intents    map[int]Intent
	extents    []Extent
}

// NewSegment gives a segment of open items.
func NewSegment(items int) Segment {
	return Segment{Items: items, final: make([]uint64, (items+63)/64)}
}

// Clone copies the segment.
func (s *Segment) Clone() Segment {
	clone := Segment{Items: s.Items, final: slices.Clone(s.final), extents: slices.Clone(s.extents)}
	for index, code := range s.exceptions {
		clone.setException(index, code)
	}
	for index, intent := range s.intents {
		clone.SetIntent(index, intent)
	}
	return clone
}

// Code gives an item's outcome.
func (s *Segment) Code(index int) Code {
	if s.final[index/64]&(1<<(index%64)) == 0 {
		return Open
	}
	if code, exceptional := s.exceptions[index]; exceptional {
		return code
	}
	return Completed
}

// SetFinal makes an item final; false when it already is.
func (s *Segment) SetFinal(index int, code Code) bool {
	if code == Open || s.Code(index) != Open {
		return false
	}
	s.final[index/64] |= 1 << (index % 64)
	if code != Completed {
		s.setException(index, code)
	}
	delete(s.intents, index)
	return true
}

func (s *Segment) setException(index int, code Code) {
	if s.exceptions == nil {
		s.exceptions = make(map[int]Code)
	}
	s.exceptions[index] = code
}

// SetIntent records the attempt of an open item.
func (s *Segment) SetIntent(index int, intent Intent) {
	if s.intents == nil {
		s.intents = make(map[int]Intent)
	}
	s.intents[index] = intent
}

// Intent gives the recorded attempt of an open item.
func (s *Segment) Intent(index int) (Intent, bool) {
	intent, found := s.intents[index]
	return intent, found
}

// Intents gives the items with an intent, in order.
func (s *Segment) Intents() []int { return sortedKeys(s.intents) }

// AddReference makes a final item's result object readable. The items of one
// object are added one after the other.
func (s *Segment) AddReference(reference Reference, index int) {
	if last := len(s.extents) - 1; last >= 0 && s.extents[last].Reference == reference {
		s.extents[last].Low = min(s.extents[last].Low, index)
		s.extents[last].High = max(s.extents[last].High, index)
		return
	}
	s.extents = append(s.extents, Extent{Reference: reference, Low: index, High: index})
}

// Extents gives the result objects, oldest first.
func (s *Segment) Extents() []Extent { return s.extents }

// References gives the objects that hold results of items from low to below high.
func (s *Segment) References(low, high int) []Reference {
	var references []Reference
	for _, extent := range s.extents {
		if extent.Low < high && extent.High >= low {
			references = append(references, extent.Reference)
		}
	}
	return references
}

// Counts are numbers of items by durable outcome.
type Counts struct{ Total, Completed, Failed, Unknown int }

// Final is the number of items with a final outcome.
func (c Counts) Final() int { return c.Completed + c.Failed + c.Unknown }

// Add sums two counts.
func (c Counts) Add(other Counts) Counts {
	return Counts{
		Total:     c.Total + other.Total,
		Completed: c.Completed + other.Completed,
		Failed:    c.Failed + other.Failed,
		Unknown:   c.Unknown + other.Unknown,
	}
}

// Subtract takes a part's counts away.
func (c Counts) Subtract(part Counts) Counts {
	return Counts{
		Total:     c.Total - part.Total,
		Completed: c.Completed - part.Completed,
		Failed:    c.Failed - part.Failed,
		Unknown:   c.Unknown - part.Unknown,
	}
}

// Counts counts the segment's items.
func (s *Segment) Counts() Counts {
	counts := Counts{Total: s.Items}
	for _, word := range s.final {
		counts.Completed += bits.OnesCount64(word)
	}
	for _, code := range s.exceptions {
		counts.Completed--
		if code == Failed {
			counts.Failed++
		} else {
			counts.Unknown++
		}
	}
	return counts
}

func sortedKeys[V any](values map[int]V) []int {
	keys := make([]int, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

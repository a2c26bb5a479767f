// Package batch implements the state machines of batch work: the stored segment
// of items, and the job on the node that owns it. It does no I/O.
//
// An item moves Waiting -> Running -> Finished -> Final. Only the last state is
// durable: an item is final once a committed segment records its outcome, and it
// never leaves that state. All earlier states may be lost at any time.
package batch

import (
	"math/bits"
	"slices"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/outcome"
)

// Code is an item's durable outcome.
type Code uint8

// The codes. Their numeric values are stored.
const (
	Open      Code = 0 // not final
	Completed Code = 1
	Failed    Code = 2 // an engine ran the item and reported that it cannot complete
	Unknown   Code = 3 // the item may have run, and must not run again
)

// Outcome returns the outcome that callers see for the code.
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

// Intent identifies the only attempt of an item that must not be repeated.
type Intent = identity.Intent

// Reference identifies a result object of a job by the lease epoch of its writer
// and the writer's sequence number.
type Reference struct{ Epoch, Sequence uint64 }

// Extent is the range of a segment's items that a result object covers, from the
// lowest to the highest item. The object need not hold every item in between.
type Extent struct {
	Reference Reference
	Low, High int
}

// Segment is the durable state of a contiguous range of a job's items, indexed
// from 0.
type Segment struct {
	Items      int
	final      []uint64     // bitmap of the final items
	exceptions map[int]Code // codes of the final items that did not complete
	intents    map[int]Intent
	extents    []Extent
}

// NewSegment returns a segment of open items.
func NewSegment(items int) Segment {
	return Segment{Items: items, final: make([]uint64, (items+63)/64)}
}

// Clone returns a deep copy of the segment.
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

// Code returns an item's outcome.
func (s *Segment) Code(index int) Code {
	if s.final[index/64]&(1<<(index%64)) == 0 {
		return Open
	}
	if code, exceptional := s.exceptions[index]; exceptional {
		return code
	}
	return Completed
}

// SetFinal makes an item final and removes its intent. It returns false if the
// item is already final or the code is Open.
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

// Intent returns the recorded attempt of an open item.
func (s *Segment) Intent(index int) (Intent, bool) {
	intent, found := s.intents[index]
	return intent, found
}

// Intents returns the items with an intent in ascending order.
func (s *Segment) Intents() []int { return sortedKeys(s.intents) }

// AddReference adds the result object of a final item. All items of one object
// must be added consecutively.
func (s *Segment) AddReference(reference Reference, index int) {
	if last := len(s.extents) - 1; last >= 0 && s.extents[last].Reference == reference {
		s.extents[last].Low = min(s.extents[last].Low, index)
		s.extents[last].High = max(s.extents[last].High, index)
		return
	}
	s.extents = append(s.extents, Extent{Reference: reference, Low: index, High: index})
}

// Extents returns the extents of the result objects, oldest first.
func (s *Segment) Extents() []Extent { return s.extents }

// References returns the objects that may hold results of items in the range from
// low, inclusive, to high, exclusive.
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

// Final returns the number of items with a final outcome.
func (c Counts) Final() int { return c.Completed + c.Failed + c.Unknown }

// Add returns the sum of two counts.
func (c Counts) Add(other Counts) Counts {
	return Counts{
		Total:     c.Total + other.Total,
		Completed: c.Completed + other.Completed,
		Failed:    c.Failed + other.Failed,
		Unknown:   c.Unknown + other.Unknown,
	}
}

// Subtract returns the counts without those of a part.
func (c Counts) Subtract(part Counts) Counts {
	return Counts{
		Total:     c.Total - part.Total,
		Completed: c.Completed - part.Completed,
		Failed:    c.Failed - part.Failed,
		Unknown:   c.Unknown - part.Unknown,
	}
}

// Counts returns the numbers of the segment's items by outcome.
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

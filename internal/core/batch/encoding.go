package batch

import (
	"encoding/binary"
	"errors"

	"ringstream.example/ringstream/internal/core/identity"
)

// formatVersion is the first byte of an encoded segment.
const formatVersion = 1

// ErrFormat is returned for data that is not an encoded segment.
var ErrFormat = errors.New("batch: not an encoded segment")

// Encode returns the stored form of the segment. Its size is about Items/8 bytes,
// plus 2 bytes for each exception, 4 to 6 bytes for each reference, and the text
// of open intents.
func (s *Segment) Encode() []byte {
	out := make([]byte, 0, 16+s.Items/8+6*len(s.extents))
	out = append(out, formatVersion)
	out = binary.AppendUvarint(out, uint64(s.Items))
	for _, word := range s.final {
		out = binary.LittleEndian.AppendUint64(out, word)
	}
	out = binary.AppendUvarint(out, uint64(len(s.exceptions)))
	for _, index := range sortedKeys(s.exceptions) {
		out = binary.AppendUvarint(out, uint64(index))
		out = append(out, byte(s.exceptions[index]))
	}
	out = binary.AppendUvarint(out, uint64(len(s.extents)))
	previous := Reference{}
	for _, extent := range s.extents {
		out = binary.AppendVarint(out, int64(extent.Reference.Epoch-previous.Epoch))
		out = binary.AppendVarint(out, int64(extent.Reference.Sequence-previous.Sequence))
		out = binary.AppendUvarint(out, uint64(extent.Low))
		out = binary.AppendUvarint(out, uint64(extent.High-extent.Low))
		previous = extent.Reference
	}
	out = binary.AppendUvarint(out, uint64(len(s.intents)))
	for _, index := range s.Intents() {
		out = binary.AppendUvarint(out, uint64(index))
		out = appendText(out, string(s.intents[index].Attempt))
		out = appendText(out, string(s.intents[index].Engine))
		out = appendText(out, string(s.intents[index].Incarnation))
	}
	return out
}

// DecodeSegment decodes the form that Encode writes. It returns ErrFormat for
// malformed data.
func DecodeSegment(data []byte) (Segment, error) {
	reader := &reader{data: data}
	if reader.byte() != formatVersion {
		return Segment{}, ErrFormat
	}
	items := reader.count(8 * len(data))
	segment := NewSegment(items)
	for i := range segment.final {
		segment.final[i] = reader.word()
	}
	for range reader.count(len(data)) {
		index := reader.count(items - 1)
		segment.setException(index, Code(reader.byte()))
	}
	previous := Reference{}
	for range reader.count(len(data)) {
		previous.Epoch += uint64(reader.signed())
		previous.Sequence += uint64(reader.signed())
		low := reader.count(items - 1)
		segment.extents = append(segment.extents, Extent{Reference: previous, Low: low, High: low + reader.count(items-1-low)})
	}
	for range reader.count(len(data)) {
		index := reader.count(items - 1)
		attempt := identity.AttemptID(reader.text())
		engine := identity.EngineID(reader.text())
		segment.SetIntent(index, Intent{Attempt: attempt, Engine: engine, Incarnation: identity.Incarnation(reader.text())})
	}
	if reader.failed || len(reader.data) != 0 {
		return Segment{}, ErrFormat
	}
	return segment, nil
}

func appendText(out []byte, text string) []byte {
	out = binary.AppendUvarint(out, uint64(len(text)))
	return append(out, text...)
}

// reader decodes values from the front of data. After a failure all values are zero.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) take(length int) []byte {
	if r.failed || length > len(r.data) {
		r.failed = true
		return nil
	}
	taken := r.data[:length]
	r.data = r.data[length:]
	return taken
}

func (r *reader) byte() byte {
	if taken := r.take(1); taken != nil {
		return taken[0]
	}
	return 0
}

func (r *reader) word() uint64 {
	if taken := r.take(8); taken != nil {
		return binary.LittleEndian.Uint64(taken)
	}
	return 0
}

// count reads an unsigned number. A number above the limit is a failure.
func (r *reader) count(limit int) int {
	value, length := binary.Uvarint(r.data)
	if r.failed || length <= 0 || limit < 0 || value > uint64(limit) {
		r.failed = true
		return 0
	}
	r.data = r.data[length:]
	return int(value)
}

func (r *reader) signed() int64 {
	value, length := binary.Varint(r.data)
	if r.failed || length <= 0 {
		r.failed = true
		return 0
	}
	r.data = r.data[length:]
	return value
}

func (r *reader) text() string { return string(r.take(r.count(len(r.data)))) }

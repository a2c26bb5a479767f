package sharing

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// A gob stream describes its types before its first value. Datagrams do not form
// a stream: with the type descriptions in each datagram, a decoder would have to
// compile them each time, which costs ten times as much as the message. A datagram
// therefore holds a digest of the type descriptions and the value alone. A receiver
// with other types, as during an upgrade, drops it.

// errTypeMismatch is returned for a datagram whose type digest differs from this program's.
var errTypeMismatch = errors.New("sharing: a message of other types")

const digestBytes = 8

// codec encodes and decodes datagrams of one type. It is safe for concurrent use.
type codec[T any] struct {
	digest uint64 // of the type descriptions at the start of a gob stream of T

	writeMu     sync.Mutex // guards encoder and writeBuffer
	encoder     *gob.Encoder
	writeBuffer bytes.Buffer

	readMu  sync.Mutex // guards decoder and readBuffer
	decoder *gob.Decoder
	// readBuffer is the decoder's input. It is empty between messages.
	readBuffer bytes.Buffer
}

// newCodec creates a codec whose encoder and decoder have already exchanged the types. Gob numbers
// types in the order of their first use, and the numbers are part of a datagram. A node therefore
// creates its codecs before any other use of gob and always in the same order: the one of
// released.Message first, then the one of liveness.Message, as earlier builds do.
func newCodec[T any]() *codec[T] {
	c := &codec[T]{}
	c.encoder = gob.NewEncoder(&c.writeBuffer)
	var zero T
	withTypes := c.encode(zero)
	withoutTypes := c.encode(zero)
	c.digest = xxhash.Sum64(withTypes[:len(withTypes)-len(withoutTypes)])
	c.resetDecoder()
	return c
}

func (c *codec[T]) encode(value T) []byte {
	c.writeBuffer.Reset()
	if err := c.encoder.Encode(value); err != nil {
		panic("sharing: a message cannot be written: " + err.Error()) // gob can encode every value of these types
	}
	return bytes.Clone(c.writeBuffer.Bytes())
}

// resetDecoder replaces the decoder by one that has read the type descriptions and one value.
func (c *codec[T]) resetDecoder() {
	c.readBuffer.Reset()
	c.decoder = gob.NewDecoder(&c.readBuffer)
	var zero T
	_, _ = c.readBuffer.Write(encodeWithTypes(zero))
	if err := c.decoder.Decode(&zero); err != nil {
		panic("sharing: the program's own types cannot be read: " + err.Error())
	}
}

// encodeWithTypes returns a complete gob stream of one value.
func encodeWithTypes[T any](value T) []byte {
	var content bytes.Buffer
	_ = gob.NewEncoder(&content).Encode(value) // cannot fail: writes to memory, and gob can encode every value of these types
	return content.Bytes()
}

// Write encodes a value as a datagram.
func (c *codec[T]) Write(value T) []byte {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return append(binary.LittleEndian.AppendUint64(nil, c.digest), c.encode(value)...)
}

// Read decodes a datagram. It returns errTypeMismatch or an error of gob.
func (c *codec[T]) Read(datagram []byte) (T, error) {
	var value T
	if len(datagram) < digestBytes || binary.LittleEndian.Uint64(datagram) != c.digest {
		return value, errTypeMismatch
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	_, _ = c.readBuffer.Write(datagram[digestBytes:])
	err := c.decoder.Decode(&value)
	if err != nil || c.readBuffer.Len() > 0 {
		c.resetDecoder() // the rest of a damaged message must not become the start of the next
	}
	return value, err
}

package sharing

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// A gob stream tells its types before its first value. Datagrams have no
// stream: to tell the types in each would make a decoder learn them anew each
// time, which costs ten times as much as the message. So each datagram holds a
// digest of the types and the value alone; who has other types, as during an
// upgrade, drops it.

// errOtherTypes: the sender's message has other types than this program's.
var errOtherTypes = errors.New("sharing: a message of other types")

const digestBytes = 8

// codec writes and reads datagrams of one type. It is safe for concurrent use.
type codec[T any] struct {
	digest uint64 // of what a gob stream of messages begins with, the types

	writing sync.Mutex // guards encoder and written
	encoder *gob.Encoder
	written bytes.Buffer

	reading sync.Mutex // guards decoder and received
	decoder *gob.Decoder
	// received is what the decoder reads from; it is empty between messages.
	received bytes.Buffer
}

// newCodec makes a codec whose two sides know the types. Gob numbers types in
// the order of their use, so a node makes its codecs before it uses others, and always in the
// same order: that of message first, as builds do that know no other.
func newCodec[T any]() *codec[T] {
	c := &codec[T]{}
	c.encoder = gob.NewEncoder(&c.written)
	var empty T
	withTypes := c.encode(empty)
	without := c.encode(empty)
	c.digest = xxhash.Sum64(withTypes[:len(withTypes)-len(without)])
	c.resetDecoder()
	return c
}

func (c *codec[T]) encode(told T) []byte {
	c.written.Reset()
	if err := c.encoder.Encode(told); err != nil {
		panic("sharing: a message cannot be written: " + err.Error()) // numbers always can
	}
	return bytes.Clone(c.written.Bytes())
}

// resetDecoder makes a decoder that has read the types and one value.
func (c *codec[T]) resetDecoder() {
	c.received.Reset()
	c.decoder = gob.NewDecoder(&c.received)
	var nothing T
	_, _ = c.received.Write(gobOf(nothing))
	if err := c.decoder.Decode(&nothing); err != nil {
		panic("sharing: the program's own types cannot be read: " + err.Error())
	}
}

// gobOf gives a whole gob stream of one message.
func gobOf[T any](told T) []byte {
	var content bytes.Buffer
	_ = gob.NewEncoder(&content).Encode(told) // into memory, of numbers
	return content.Bytes()
}

// Write gives a message as a datagram.
func (c *codec[T]) Write(told T) []byte {
	c.writing.Lock()
	defer c.writing.Unlock()
	return append(binary.LittleEndian.AppendUint64(nil, c.digest), c.encode(told)...)
}

// Read reads a datagram. Its errors are errOtherTypes and those of gob.
func (c *codec[T]) Read(datagram []byte) (T, error) {
	var told T
	if len(datagram) < digestBytes || binary.LittleEndian.Uint64(datagram) != c.digest {
		return told, errOtherTypes
	}
	c.reading.Lock()
	defer c.reading.Unlock()
	_, _ = c.received.Write(datagram[digestBytes:])
	err := c.decoder.Decode(&told)
	if err != nil || c.received.Len() > 0 {
		c.resetDecoder() // what is left of a damaged message is no start of the next
	}
	return told, err
}

package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"reflect"

	"ringstream.example/ringstream/internal/core/identity"
)

// frameKind is the purpose of a frame. Its values are part of the wire format.
type frameKind uint8

const (
	frameMessage   frameKind = iota + 1 // expects no reply
	frameCall                           // expects a reply with the same number
	frameReply                          // answers a call
	frameNoHandler                      // answers a call for which the receiver has no handler; without a message
	frameFlood                          // is forwarded; has an origin and a number
	frameEnd                            // orderly end of a stream or link; without a message
)

// frame is the unit that connections carry.
type frame struct {
	kind frameKind
	// number identifies a call within its connection or a flood within its origin.
	number  uint64
	origin  identity.NodeID // for floods only
	message any
	msgType *messageType
}

const (
	lengthBytes = 4
	tagBytes    = 4
	// maxOriginBytes is the maximum length of a node id.
	maxOriginBytes = 256
	// maxKeptBufferBytes is the capacity of the largest buffer that is kept between frames.
	maxKeptBufferBytes = 64 << 10
)

var (
	errFrameTooLarge = errors.New("peer: frame over the limit")
	errFrameInvalid  = errors.New("peer: frame not valid")
)

// encoder writes frames. A frame consists of its length, a header in encoding/binary
// and the message as part of the connection's single gob stream, so that a type is
// described only in the first frame that contains it.
type encoder struct {
	writer *bufio.Writer
	buffer bytes.Buffer
	gob    *gob.Encoder
	limit  int
}

func newEncoder(writer *bufio.Writer, limit int) *encoder {
	e := &encoder{writer: writer, limit: limit}
	e.gob = gob.NewEncoder(&e.buffer)
	return e
}

// encode writes one frame and returns its size in bytes. After an error the connection
// must be closed, since the other side may lack a type's description.
func (e *encoder) encode(f *frame) (int, error) {
	if e.buffer.Cap() > maxKeptBufferBytes {
		e.buffer = bytes.Buffer{}
	}
	e.buffer.Reset()
	var header [lengthBytes + 1 + 2*binary.MaxVarintLen64 + tagBytes]byte
	e.buffer.Write(header[:lengthBytes])
	e.buffer.WriteByte(byte(f.kind))
	e.buffer.Write(binary.AppendUvarint(header[:0], f.number))
	if f.kind == frameFlood {
		e.buffer.Write(binary.AppendUvarint(header[:0], uint64(len(f.origin))))
		e.buffer.WriteString(string(f.origin))
	}
	if f.message != nil {
		e.buffer.Write(binary.BigEndian.AppendUint32(header[:0], f.msgType.tag))
		if err := e.gob.Encode(f.message); err != nil {
			return 0, fmt.Errorf("peer: encode %s: %w", f.msgType.name, err)
		}
	}
	encoded := e.buffer.Bytes()
	if len(encoded)-lengthBytes > e.limit {
		return 0, fmt.Errorf("%w: %d bytes", errFrameTooLarge, len(encoded))
	}
	binary.BigEndian.PutUint32(encoded, uint32(len(encoded)-lengthBytes))
	_, err := e.writer.Write(encoded)
	return len(encoded), err
}

// decoder reads the frames that an encoder wrote.
type decoder struct {
	reader *bufio.Reader
	buffer []byte
	body   bytes.Reader
	gob    *gob.Decoder
	limit  int
}

func newDecoder(reader *bufio.Reader, limit int) *decoder {
	d := &decoder{reader: reader, limit: limit}
	d.gob = gob.NewDecoder(&d.body)
	return d
}

// decode reads one frame and returns it with its size in bytes. The error is io.EOF if
// the connection ended between frames.
func (d *decoder) decode() (frame, int, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(d.reader, length[:]); err != nil {
		return frame{}, 0, err
	}
	size := int(binary.BigEndian.Uint32(length[:]))
	if size > d.limit {
		return frame{}, 0, fmt.Errorf("%w: %d bytes", errFrameTooLarge, size)
	}
	if cap(d.buffer) < size || cap(d.buffer) > maxKeptBufferBytes {
		d.buffer = make([]byte, size)
	}
	d.buffer = d.buffer[:size]
	if _, err := io.ReadFull(d.reader, d.buffer); err != nil {
		return frame{}, 0, unexpectedEOF(err)
	}
	d.body.Reset(d.buffer)
	f, err := d.parse()
	return f, size + lengthBytes, unexpectedEOF(err)
}

// parse decodes a frame's header and message from d.body.
func (d *decoder) parse() (frame, error) {
	kind, err := d.body.ReadByte()
	if err != nil {
		return frame{}, err
	}
	f := frame{kind: frameKind(kind)}
	if f.number, err = binary.ReadUvarint(&d.body); err != nil {
		return frame{}, err
	}
	switch f.kind {
	case frameEnd, frameNoHandler:
		return f, nil
	case frameFlood:
		if f.origin, err = d.origin(); err != nil {
			return frame{}, err
		}
	case frameMessage, frameCall, frameReply:
	default:
		return frame{}, fmt.Errorf("%w: kind %d", errFrameInvalid, kind)
	}
	var tag [tagBytes]byte
	if _, err = io.ReadFull(&d.body, tag[:]); err != nil {
		return frame{}, err
	}
	if f.msgType, err = typeByTag(binary.BigEndian.Uint32(tag[:])); err != nil {
		return frame{}, err
	}
	value := reflect.New(f.msgType.goType).Elem()
	if err = d.gob.DecodeValue(value); err != nil {
		return frame{}, fmt.Errorf("peer: decode %s: %w", f.msgType.name, err)
	}
	f.message = value.Interface()
	return f, nil
}

// origin decodes the origin of a flood.
func (d *decoder) origin() (identity.NodeID, error) {
	size, err := binary.ReadUvarint(&d.body)
	if err != nil {
		return "", err
	}
	if size > maxOriginBytes || int(size) > d.body.Len() {
		return "", fmt.Errorf("%w: origin of %d bytes", errFrameInvalid, size)
	}
	origin := make([]byte, size)
	_, err = io.ReadFull(&d.body, origin)
	return identity.NodeID(origin), err
}

// unexpectedEOF turns io.EOF, at the end of the data within a frame, into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

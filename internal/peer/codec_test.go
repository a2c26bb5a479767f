package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/policy"
	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

// tableChange has the fields of the message that floods an edit.
type tableChange struct {
	Row         policy.Row
	By          string
	CommittedAt time.Time
}

func init() { Register(tableChange{}) }

func sampleChange() tableChange {
	return tableChange{
		Row: policy.Row{
			ID: "row-tenant-0042", Match: policy.Match{Tenant: "tenant-0042", Model: policy.Any, Kind: policy.KindOnline},
			Weight: 3, Limits: policy.Limits{RequestsPerSecond: 100, TokensPerSecond: 50_000, Concurrency: 200},
			DeadlineClass: policy.DeadlineWindow, NewSiteShare: 0.25, Pool: "pool-1", Revision: 66_001,
		},
		By: "operator-7", CommittedAt: time.Unix(1_790_000_000, 0),
	}
}

func sampleHeartbeat() membership.Heartbeat { return membership.Heartbeat{Digest: 0x9e3779b97f4a7c15} }

const testFrameLimit = 1 << 16

func testCodec() (*encoder, *decoder, *bytes.Buffer) {
	var pipe bytes.Buffer
	return newEncoder(bufio.NewWriter(&pipe), testFrameLimit), newDecoder(bufio.NewReader(&pipe), testFrameLimit), &pipe
}

func testFrame(t interface{ Fatal(...any) }, kind frameKind, message any) *frame {
	msgType, err := typeOf(message)
	if err != nil {
		t.Fatal(err)
	}
	return &frame{kind: kind, number: 77, message: message, msgType: msgType}
}

func TestFramesArriveAsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		encoder, decoder, _ := testCodec()
		for range rapid.IntRange(1, 10).Draw(t, "frames") {
			sent := testFrame(t, rapid.SampledFrom([]frameKind{frameMessage, frameCall, frameReply, frameFlood}).Draw(t, "kind"),
				testNote{Number: rapid.Int().Draw(t, "number"), Text: rapid.String().Draw(t, "text")})
			sent.number = rapid.Uint64().Draw(t, "call")
			if sent.kind == frameFlood {
				sent.origin = identity.NodeID(rapid.StringN(0, -1, maxOriginBytes).Draw(t, "origin"))
			}
			size, err := encoder.encode(sent)
			if err != nil {
				t.Fatal(err)
			}
			_ = encoder.writer.Flush()
			got, read, err := decoder.decode()
			if err != nil || read != size {
				t.Fatalf("read %d of %d bytes: %v", read, size, err)
			}
			if diff := cmp.Diff(*sent, got, cmp.AllowUnexported(frame{}), cmp.Comparer(func(a, b *messageType) bool { return a == b })); diff != "" {
				t.Fatalf("(-sent +got)\n%s", diff)
			}
		}
	})
}

func TestFrameOverTheLimit(t *testing.T) {
	encoder, decoder, pipe := testCodec()
	large := testNote{Text: string(make([]byte, testFrameLimit+1))}
	if _, err := encoder.encode(testFrame(t, frameMessage, large)); !errors.Is(err, errFrameTooLarge) {
		t.Errorf("encode: got error %v, want errFrameTooLarge", err)
	}
	_ = binary.Write(pipe, binary.BigEndian, uint32(testFrameLimit+1))
	if _, _, err := decoder.decode(); !errors.Is(err, errFrameTooLarge) {
		t.Errorf("decode: got error %v, want errFrameTooLarge", err)
	}
}

func TestCutFrameIsNotAnOrderlyEnd(t *testing.T) {
	encoder, _, pipe := testCodec()
	if _, err := encoder.encode(testFrame(t, frameMessage, testNote{Text: "hello"})); err != nil {
		t.Fatal(err)
	}
	_ = encoder.writer.Flush()
	whole := pipe.Bytes()
	for length := range len(whole) {
		decoder := newDecoder(bufio.NewReader(bytes.NewReader(whole[:length])), testFrameLimit)
		_, _, err := decoder.decode()
		if orderly := errors.Is(err, io.EOF); err == nil || orderly != (length == 0) {
			t.Errorf("frame truncated after %d of %d bytes: error %v", length, len(whole), err)
		}
	}
}

func TestUnregisteredMessageIsAnError(t *testing.T) {
	type unknown struct{ A int }
	if _, err := typeOf(unknown{}); !errors.Is(err, ErrNotRegistered) {
		t.Errorf("got error %v, want ErrNotRegistered", err)
	}
}

func FuzzDecode(f *testing.F) {
	encoder, _, pipe := testCodec()
	for _, message := range []any{testNote{Number: 1, Text: "a"}, sampleHeartbeat(), sampleChange()} {
		if _, err := encoder.encode(testFrame(f, frameMessage, message)); err != nil {
			f.Fatal(err)
		}
	}
	_ = encoder.writer.Flush()
	f.Add(pipe.Bytes())
	f.Fuzz(func(_ *testing.T, data []byte) {
		decoder := newDecoder(bufio.NewReader(bytes.NewReader(data)), testFrameLimit)
		for {
			if _, _, err := decoder.decode(); err != nil {
				return
			}
		}
	})
}

func TestFloodHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history floodHistory
		seen := map[uint64]bool{}
		var highest uint64
		for range 200 {
			number := rapid.Uint64Range(1, 3*floodWindow).Draw(t, "number")
			want := !seen[number] && number+floodWindow > highest
			if got := history.addIfNew(number); got != want {
				t.Fatalf("flood %d with highest number %d: addIfNew returned %t, want %t", number, highest, got, want)
			}
			seen[number] = seen[number] || want
			highest = max(highest, number)
		}
	})
}

// BenchmarkEncode measures the encoding of a frame on an established stream. The metric
// wire-B is the frame's size without the transport's headers.
func BenchmarkEncode(b *testing.B) {
	for name, message := range map[string]any{"heartbeat": sampleHeartbeat(), "change": sampleChange()} {
		b.Run(name, func(b *testing.B) {
			encoder, _, pipe := testCodec()
			f := testFrame(b, frameMessage, message)
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				size, _ = encoder.encode(f)
				_ = encoder.writer.Flush()
				pipe.Reset()
			}
			b.ReportMetric(float64(size), "wire-B")
		})
	}
}

// BenchmarkDecode measures the encoding and decoding of a frame on an established stream.
func BenchmarkDecode(b *testing.B) {
	for name, message := range map[string]any{"heartbeat": sampleHeartbeat(), "change": sampleChange()} {
		b.Run(name, func(b *testing.B) {
			encoder, decoder, pipe := testCodec()
			f := testFrame(b, frameMessage, message)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = encoder.encode(f)
				_ = encoder.writer.Flush()
				if _, _, err := decoder.decode(); err != nil {
					b.Fatal(err)
				}
				pipe.Reset()
			}
		})
	}
}

// BenchmarkDatagram measures the alternative design with a new gob encoder and
// decoder for each message, as datagrams need. See decision 0060.
func BenchmarkDatagram(b *testing.B) {
	b.Run("heartbeat", func(b *testing.B) { benchmarkDatagram(b, sampleHeartbeat()) })
	b.Run("change", func(b *testing.B) { benchmarkDatagram(b, sampleChange()) })
}

func benchmarkDatagram[T any](b *testing.B, message T) {
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		var datagram bytes.Buffer
		if err := gob.NewEncoder(&datagram).Encode(message); err != nil {
			b.Fatal(err)
		}
		size = datagram.Len()
		var received T
		if err := gob.NewDecoder(&datagram).Decode(&received); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "wire-B")
}

package sharing

import (
	"bytes"
	"encoding/gob"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

func exampleMessage() message {
	told := message{Kind: kindReport, Life: 7, Sequence: 9}
	for engine := range uint32(20) {
		told.Loads = append(told.Loads, engine*7919, engine%3, 1, 40, 90)
	}
	return told
}

// Whatever is written by one codec is read by another, also between datagrams
// that are damaged, cut or of other types.
func TestCodecReadsWhatAnotherWrote(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := newCodec(), newCodec()
		for range rapid.IntRange(1, 8).Draw(t, "messages") {
			told := message{
				Kind: messageKind(rapid.IntRange(0, 3).Draw(t, "kind")), Life: rapid.Uint32().Draw(t, "life"),
				Sequence: rapid.Uint64().Draw(t, "sequence"), Included: rapid.Uint64().Draw(t, "included"), Backlog: rapid.Uint32().Draw(t, "backlog"),
			}
			if loads := rapid.SliceOfN(rapid.Uint32(), 0, 30).Draw(t, "loads"); len(loads) > 0 {
				told.Loads = loads
			}
			datagram := from.Write(told)
			damaged := bytes.Clone(datagram)
			switch rapid.IntRange(0, 3).Draw(t, "damage") {
			case 0:
				at := rapid.IntRange(0, len(damaged)-1).Draw(t, "at")
				damaged[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
				_, _ = to.Read(damaged) // an error or another message; neither spoils the next
			case 1:
				_, _ = to.Read(damaged[:rapid.IntRange(0, len(damaged)).Draw(t, "length")])
			}
			got, err := to.Read(datagram)
			if err != nil {
				t.Fatal(err)
			}
			if difference := cmp.Diff(told, got); difference != "" {
				t.Fatal(difference)
			}
		}
	})
}

func TestCodecDropsOtherTypes(t *testing.T) {
	var other bytes.Buffer
	if err := gob.NewEncoder(&other).Encode(exampleMessage()); err != nil {
		t.Fatal(err)
	}
	if _, err := newCodec().Read(other.Bytes()); !errors.Is(err, errOtherTypes) {
		t.Errorf("got %v", err)
	}
}

func FuzzCodecRead(f *testing.F) {
	f.Add(newCodec().Write(exampleMessage()))
	reader := newCodec()
	known := newCodec().Write(exampleMessage())
	f.Fuzz(func(t *testing.T, datagram []byte) {
		_, _ = reader.Read(datagram)
		if got, err := reader.Read(known); err != nil || !cmp.Equal(got, exampleMessage()) {
			t.Errorf("after %x: %v, %v", datagram, got, err)
		}
	})
}

func BenchmarkCodecWrite(b *testing.B) {
	codec := newCodec()
	b.ReportAllocs()
	for b.Loop() {
		_ = codec.Write(exampleMessage())
	}
}

func BenchmarkCodecRead(b *testing.B) {
	codec := newCodec()
	datagram := codec.Write(exampleMessage())
	b.ReportAllocs()
	b.ReportMetric(float64(len(datagram)), "bytes")
	for b.Loop() {
		if _, err := codec.Read(datagram); err != nil {
			b.Fatal(err)
		}
	}
}

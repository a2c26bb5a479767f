package sharing

import (
	"bytes"
	"encoding/gob"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

func exampleMessage() message {
	state := &grant.State{Life: 7, Sequence: 9, Zone: "z1", Connected: []uint64{3, 1 << 60}}
	for id := range uint64(4) {
		state.Held = append(state.Held, grant.Held{ID: id, Engine: id * 7919, Batch: id%2 == 0, PrefillTokens: 40, MemoryTokens: 90})
	}
	state.Waiting = []grant.Ask{{ID: 9, Rank: 1, DueIn: 300, Shared: []enginechoice.Part{{ID: "9c2e41", Tokens: 300}}, OwnTokens: 40, Exclude: []uint64{5}}}
	return message{Lane: grant.Lane{Pool: "p", Parts: 2, Part: 1}, State: state}
}

// A codec decodes what another codec encoded, also after datagrams that are
// damaged, truncated or of other types.
func TestCodecReadsWhatAnotherWrote(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := newCodec[message](), newCodec[message]()
		for range rapid.IntRange(1, 8).Draw(t, "messages") {
			sent := message{Lane: grant.Lane{Pool: rapid.String().Draw(t, "pool"), Parts: rapid.Uint32().Draw(t, "parts")}}
			if rapid.Bool().Draw(t, "reply") {
				sent.Reply = &grant.Reply{Life: rapid.Uint64().Draw(t, "life"), Sequence: rapid.Uint64().Draw(t, "sequence")}
				for range rapid.IntRange(0, 30).Draw(t, "grants") {
					sent.Reply.Grants = append(sent.Reply.Grants, grant.Grant{ID: rapid.Uint64().Draw(t, "id"), Engine: rapid.Uint64().Draw(t, "engine")})
				}
			} else {
				sent.State = &grant.State{Life: rapid.Uint64().Draw(t, "life"), Zone: rapid.String().Draw(t, "zone")}
				for range rapid.IntRange(0, 30).Draw(t, "held") {
					sent.State.Held = append(sent.State.Held, grant.Held{ID: rapid.Uint64().Draw(t, "id"), MemoryTokens: rapid.Int().Draw(t, "memory")})
				}
			}
			datagram := from.Write(sent)
			damaged := bytes.Clone(datagram)
			switch rapid.IntRange(0, 3).Draw(t, "damage") {
			case 0:
				at := rapid.IntRange(0, len(damaged)-1).Draw(t, "at")
				damaged[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
				_, _ = to.Read(damaged) // gives an error or a different message; neither may affect the next one
			case 1:
				_, _ = to.Read(damaged[:rapid.IntRange(0, len(damaged)).Draw(t, "length")])
			}
			got, err := to.Read(datagram)
			if err != nil {
				t.Fatal(err)
			}
			if difference := cmp.Diff(sent, got); difference != "" {
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
	if _, err := newCodec[message]().Read(other.Bytes()); !errors.Is(err, errTypeMismatch) {
		t.Errorf("got error %v, want errTypeMismatch", err)
	}
}

func FuzzCodecRead(f *testing.F) {
	f.Add(newCodec[message]().Write(exampleMessage()))
	reader := newCodec[message]()
	known := newCodec[message]().Write(exampleMessage())
	f.Fuzz(func(t *testing.T, datagram []byte) {
		_, _ = reader.Read(datagram)
		if got, err := reader.Read(known); err != nil || !cmp.Equal(got, exampleMessage()) {
			t.Errorf("after datagram %x: got message %v, error %v", datagram, got, err)
		}
	})
}

func BenchmarkCodecWrite(b *testing.B) {
	codec := newCodec[message]()
	b.ReportAllocs()
	for b.Loop() {
		_ = codec.Write(exampleMessage())
	}
}

func BenchmarkCodecRead(b *testing.B) {
	codec := newCodec[message]()
	datagram := codec.Write(exampleMessage())
	b.ReportAllocs()
	b.ReportMetric(float64(len(datagram)), "bytes")
	for b.Loop() {
		if _, err := codec.Read(datagram); err != nil {
			b.Fatal(err)
		}
	}
}

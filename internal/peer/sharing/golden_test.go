package sharing

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	released "ringstream.example/ringstream/internal/peer/sharing/released/grant"
)

// releasedCodec is created before any other use of gob, as in a node, because gob numbers types in the
// order of their first use and the numbers are part of a datagram.
var releasedCodec = newCodec[released.Message]()

// During a rolling upgrade, nodes of two builds run side by side and exchange datagrams about the slots
// that they hold. If one build drops the datagrams of the other, two dispatchers count the same slots
// and each sees half of the work. The test decodes a datagram of a released build and checks that this
// build encodes the same message to the same bytes, since released builds decode by the same rule.
func TestDatagramsAreThoseOfLandedBuilds(t *testing.T) {
	landed, err := os.ReadFile("testdata/state-6e50d88.datagram")
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := releasedCodec.Read(landed)
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(exampleMessage(), currentMessage(decoded)); difference != "" {
		t.Error(difference)
	}
	example := exampleMessage()
	written := releasedCodec.Write(released.Message{Lane: example.Lane, State: released.FromState(*example.State)})
	if difference := cmp.Diff(landed, written); difference != "" {
		t.Error(difference)
	}
}

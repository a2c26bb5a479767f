package sharing

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// landedCodec is made before any other use of gob, as a node makes it: gob numbers types in the
// order of their use, and the numbers are part of a datagram.
var landedCodec = newCodec[message]()

// Nodes of two builds run side by side while machines are replaced one after the other, and tell
// each other by datagrams which slots they hold. A build whose datagrams the other drops would
// have two dispatchers count the same slots, each half of the work. So what the landed builds have written
// is read here, and what this build writes has to be the same byte for byte, for they
// read it by the same rule.
func TestDatagramsAreThoseOfLandedBuilds(t *testing.T) {
	landed, err := os.ReadFile("testdata/state-6e50d88.datagram")
	if err != nil {
		t.Fatal(err)
	}
	told, err := landedCodec.Read(landed)
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(exampleMessage(), told); difference != "" {
		t.Error(difference)
	}
	if difference := cmp.Diff(landed, landedCodec.Write(exampleMessage())); difference != "" {
		t.Error(difference)
	}
}

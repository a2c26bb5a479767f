package sharing

import (
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/liveness"
	"ringstream.example/ringstream/internal/core/streamorigin"
	released "ringstream.example/ringstream/internal/peer/sharing/released/grant"
)

// The codecs are created before any other use of gob and in the order of New, because gob numbers
// types in the order of their first use and the numbers are part of a datagram.
var (
	releasedCodec = newCodec[released.Message]()
	_             = newCodec[liveness.Message]()
	currentCodec  = newCodec[message]()
	originsCodec  = newCodec[streamorigin.Message]()
	attachCodec   = newCodec[grant.AttachmentMessage]()
)

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

// TestDatagramsOfTheCurrentFormAreKept decodes a datagram of the current form and checks that this build
// encodes the same message to the same bytes. A change of the form needs a released copy of it.
func TestDatagramsOfTheCurrentFormAreKept(t *testing.T) {
	example := exampleMessage()
	example.State.Waiting[0].Owner, example.State.Waiting[0].EndsIn = 11, 5*time.Second
	example.State.Paces = []grant.Pace{{Engine: 3, Events: 4, Elapsed: time.Millisecond}}
	kept, err := os.ReadFile("testdata/state-scheduling.datagram")
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := currentCodec.Read(kept)
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(example, decoded); difference != "" {
		t.Error(difference)
	}
	if difference := cmp.Diff(kept, currentCodec.Write(example)); difference != "" {
		t.Error(difference)
	}
}

// checkKept decodes a kept datagram and encodes its message again.
func checkKept[T any](t *testing.T, codec *codec[T], file string, example T) {
	t.Helper()
	kept, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := codec.Read(kept)
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(example, decoded); difference != "" {
		t.Errorf("%s: %s", file, difference)
	}
	if difference := cmp.Diff(kept, codec.Write(example)); difference != "" {
		t.Errorf("%s: %s", file, difference)
	}
}

// TestDatagramsAboutOriginsAreKept decodes datagrams about the origins of streams and checks that this
// build encodes the same messages to the same bytes. Nodes of two builds that do not read each other's
// refuse streams that they could resume.
func TestDatagramsAboutOriginsAreKept(t *testing.T) {
	key := streamorigin.Key{1, 2, 3}
	for name, example := range map[string]streamorigin.Message{
		"records":  {Records: []streamorigin.Record{{Key: key, Software: "v1.1"}}},
		"question": {Question: &streamorigin.Question{ID: 7, Key: key, Pool: "p"}},
		"answer":   {Answer: &streamorigin.Answer{ID: 7, Key: key, Evidence: streamorigin.Evidence{Software: "v1", Versions: []string{"v1", "v2"}}}},
	} {
		checkKept(t, originsCodec, "testdata/origins-"+name+".datagram", example)
	}
}

// TestDatagramsAboutAttachmentsAreKept decodes datagrams about the attachment of nodes and checks that this
// build encodes the same messages to the same bytes. A dispatcher counts the nodes of a build whose datagrams
// it does not read as before, so that a tenant's burst can be admitted twice.
func TestDatagramsAboutAttachmentsAreKept(t *testing.T) {
	lane := grant.Lane{Pool: "p", Parts: 2, Part: 1}
	for name, example := range map[string]grant.AttachmentMessage{
		"question": {Lane: lane, Question: &grant.AttachmentQuestion{Asked: 5 * time.Second}},
		"answer":   {Lane: lane, Answer: &grant.AttachmentAnswer{Life: 7, Asked: 5 * time.Second, Attached: true, For: time.Minute}},
	} {
		checkKept(t, attachCodec, "testdata/attachment-"+name+".datagram", example)
	}
}

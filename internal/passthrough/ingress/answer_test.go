package ingress

import (
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"ringstream.example/ringstream/internal/passthrough/memorybudget"
)

// unreadBody fails the test if it is read.
type unreadBody struct{ t *testing.T }

// Read implements io.Reader.
func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("a body that does not fit was read")
	return 0, io.EOF
}

// TestBodiesAreCountedBeforeTheyAreRead fills the budget with a large body and unread answers.
func TestBodiesAreCountedBeforeTheyAreRead(t *testing.T) {
	const large = memorybudget.SmallBodyBytes + 1
	budget := memorybudget.New(2 * large)
	newWriter := func() *answerWriter { return &answerWriter{ResponseWriter: httptest.NewRecorder(), budget: budget} }
	first := newWriter()
	for _, length := range []int64{large, -1} {
		body, err := first.readCounted(strings.NewReader(strings.Repeat("x", large)), length)
		if len(body) != large || err != nil || budget.Held() != large {
			t.Fatalf("stated length %d: got %d bytes, %v, %d held", length, len(body), err, budget.Held())
		}
		if length > 0 {
			first.releaseBody()
		}
	}
	budget.Add(2 * large)
	if _, err := newWriter().readCounted(unreadBody{t}, large); !errors.Is(err, errMemoryFull) {
		t.Errorf("a second large body got %v", err)
	}
	if _, err := newWriter().readCounted(strings.NewReader(strings.Repeat("x", large)), -1); !errors.Is(err, errMemoryFull) {
		t.Errorf("a second large body of unknown length got %v", err)
	}
	for _, length := range []int64{-1, 0} {
		if _, err := newWriter().readCounted(strings.NewReader(""), length); err != nil {
			t.Errorf("an empty body got %v", err)
		}
	}
	first.releaseBody()
	if _, err := newWriter().readCounted(strings.NewReader(strings.Repeat("x", large)), large); err != nil {
		t.Errorf("the only large body got %v", err)
	}
}

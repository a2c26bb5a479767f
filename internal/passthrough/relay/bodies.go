package relay

import (
	"errors"
	"io"

	"ringstream.example/ringstream/internal/passthrough/memorybudget"
)

// errMemoryFull means that the node holds as many bytes for its clients as it may.
var errMemoryFull = errors.New("the node holds too much for its clients to read a long response or event")

// countedBody reads the body of a response and counts it in the budget. Short bodies always fit.
type countedBody struct {
	from   io.Reader
	budget *memorybudget.Budget
	bytes  int64
}

// Read implements io.Reader.
func (b *countedBody) Read(into []byte) (int, error) {
	count, err := b.from.Read(into)
	if !b.budget.TryGrowBody(b.bytes, b.bytes+int64(count)) {
		return 0, errMemoryFull
	}
	b.bytes += int64(count)
	return count, err
}

// release ends the count of the body.
func (b *countedBody) release() {
	b.budget.ReleaseBody(b.bytes)
	b.bytes = 0
}

// releaseBodies ends the count of the bodies of all responses. What is written to the client counts anew.
func (e *exchange) releaseBodies() {
	for _, body := range e.bodies {
		body.release()
	}
	e.bodies = nil
}

// Package memorybudget bounds the bytes that a node holds for all its clients together: the bodies of
// requests in flight, answers that are read whole, and answers that clients have not read yet.
package memorybudget

import "sync"

const (
	// SmallBodyBytes is the length of a body that is always admitted, so that clients that hold the
	// memory do not stop the requests of all others.
	SmallBodyBytes = 64 << 10
	// aheadDivisor is the part of the limit, as a divisor, that answers read ahead of slow clients may
	// take.
	aheadDivisor = 2
)

// Budget counts the bytes held. It is safe for concurrent use.
//
// The sum may exceed the limit by small bodies, by one larger body, and by answers that are being written.
type Budget struct {
	limit int64 // 0: no limit

	mu    sync.Mutex // guards the fields below
	held  int64
	ahead int64 // of held: answers read ahead of slow clients
	large int64 // of held: bodies longer than SmallBodyBytes
}

// New returns a budget of a number of bytes, or one without a limit if it is 0.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// TryGrowBody counts a body that grows from a number of bytes to another one. It refuses what exceeds
// the limit, unless the body is small or no other large one is held: any body that the configuration
// allows can be served. It reports whether it has counted the body's further bytes.
func (b *Budget) TryGrowBody(from, to int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	others := b.large - largeBytes(from)
	if to > SmallBodyBytes && others > 0 && !b.fits(to-from) {
		return false
	}
	b.held += to - from
	b.large = others + largeBytes(to)
	return true
}

// ReleaseBody ends the count of a body of a number of bytes.
func (b *Budget) ReleaseBody(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= bytes
	b.large -= largeBytes(bytes)
}

// TryAddAhead counts bytes of an answer that are read ahead of its client. They may take a part of the
// limit only. It reports whether it did. No bytes, as at an answer's end, always fit.
func (b *Budget) TryAddAhead(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes > 0 && b.limit > 0 && (b.ahead+bytes > b.limit/aheadDivisor || !b.fits(bytes)) {
		return false
	}
	b.held += bytes
	b.ahead += bytes
	return true
}

// ReleaseAhead ends the count of bytes that TryAddAhead has counted.
func (b *Budget) ReleaseAhead(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= bytes
	b.ahead -= bytes
}

// Add counts further bytes that are held in any case, such as an answer whose engine has run. They leave
// less to others.
func (b *Budget) Add(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held += bytes
}

// Release ends the count of bytes that Add has counted.
func (b *Budget) Release(bytes int64) { b.Add(-bytes) }

// Held returns the bytes that are counted now.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// fits reports whether further bytes are within the limit. The caller holds mu.
func (b *Budget) fits(bytes int64) bool { return b.limit == 0 || b.held+bytes <= b.limit }

// largeBytes returns the bytes of a body that counts as large, or 0.
func largeBytes(bytes int64) int64 {
	if bytes <= SmallBodyBytes {
		return 0
	}
	return bytes
}

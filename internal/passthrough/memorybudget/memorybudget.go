// Package memorybudget bounds the bytes that a node holds for all its clients together: the bodies of
// requests in flight, and answers that clients have not read yet.
package memorybudget

import "sync/atomic"

// Budget counts the bytes held. It is safe for concurrent use.
type Budget struct {
	limit int64 // 0: no limit
	held  atomic.Int64
}

// New returns a budget of a number of bytes, or one without a limit if it is 0.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// TryAdd counts further bytes, unless the sum would exceed the limit. It reports whether it did.
func (b *Budget) TryAdd(bytes int64) bool {
	if sum := b.held.Add(bytes); b.limit > 0 && sum > b.limit {
		b.held.Add(-bytes)
		return false
	}
	return true
}

// Add counts further bytes that are held in any case, such as an answer whose engine has run. They leave
// less to TryAdd.
func (b *Budget) Add(bytes int64) { b.held.Add(bytes) }

// Release ends the count of bytes that Add or TryAdd has counted.
func (b *Budget) Release(bytes int64) { b.held.Add(-bytes) }

// Held returns the bytes that are counted now.
func (b *Budget) Held() int64 { return b.held.Load() }

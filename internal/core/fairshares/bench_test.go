package fairshares

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/grant"
)

// BenchmarkArrange measures Arrange of queues of requests of 83 tenants of skewed sizes, in the
// order of their arrival.
func BenchmarkArrange(b *testing.B) {
	for _, waiting := range []int{200, 2000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) { benchmarkArrange(b, waiting) })
	}
}

func benchmarkArrange(b *testing.B, waiting int) {
	const tenants = 83
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	random := rand.New(rand.NewPCG(1, 1))
	var queue []*grant.Waiting
	for i := range waiting {
		owner := uint64(random.IntN(1 + random.IntN(tenants))) //nolint:gosec // not negative
		deadline := start.Add(time.Duration(i)*time.Millisecond + time.Duration(random.IntN(3))*100*time.Millisecond)
		queue = append(queue, &grant.Waiting{
			ID: uint64(i), Owner: owner, MemoryTokens: 1 << random.IntN(12), Deadline: deadline, InTime: i%3 > 0, //nolint:gosec // not negative
		})
	}
	order := New()
	arranged := make([]*grant.Waiting, waiting)
	b.ReportAllocs()
	for b.Loop() {
		copy(arranged, queue)
		order.Arrange(arranged, start)
	}
}

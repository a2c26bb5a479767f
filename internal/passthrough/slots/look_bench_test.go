package slots

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/grant"
)

// BenchmarkLook measures refresh, which a node with requests in some lanes calls five times a
// second.
func BenchmarkLook(b *testing.B) {
	for _, nodes := range []int{10, 1000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			ctx, cancel := context.WithCancel(b.Context())
			service := newFleet(ctx, 1, 10).nodes["n0"].Service
			cancel() // the service's own loop would be measured too
			var candidates []grant.Candidate
			for i := range nodes {
				candidates = append(candidates, grant.Candidate{Address: fmt.Sprintf("10.0.%d.%d:8166", i/250, i%250), Zone: "z", Capacity: []float64{0.8, 0.192, 0.192, 0.192}[i%4]})
			}
			service.Candidates = func() []grant.Candidate { return candidates }
			service.mu.Lock()
			for part := range uint32(4) {
				service.requesterFor(grant.Lane{Pool: "p", Parts: 64, Part: part}, time.Now())
			}
			service.mu.Unlock()
			b.ReportAllocs()
			for b.Loop() {
				service.mu.Lock()
				service.refreshedAt = time.Time{}
				service.mu.Unlock()
				service.refresh()
			}
		})
	}
}

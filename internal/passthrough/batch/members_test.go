package batch

import (
	"fmt"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/liveness"
)

// BenchmarkCurrentFleet compares a call for 1,000 watched nodes without changes with a full
// assessment of them.
func BenchmarkCurrentFleet(b *testing.B) {
	service := newTestService(&acceptingStore{})
	service.Peer = "127.0.0.1:1"
	service.UseTransport(noTransport{})
	for i := range 1000 {
		id := fmt.Sprintf("n%d/life", i)
		service.view.nodes[id] = &nodeView{heartbeat: heartbeatRow{Name: id, Started: 1, Peer: "10.0.0.1:1", Watched: true}, changedAt: time.Now()}
	}
	b.Run("unchanged", func(b *testing.B) {
		for b.Loop() {
			service.currentFleet(time.Now())
		}
	})
	b.Run("anew", func(b *testing.B) {
		for b.Loop() {
			service.assessNodes(time.Now())
		}
	})
}

// noTransport sends nothing.
type noTransport struct{}

func (noTransport) SendLiveness(string, liveness.Message) {}

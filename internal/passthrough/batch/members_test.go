package batch

import (
	"fmt"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/liveness"
)

// BenchmarkLookAtNodes looks at watched nodes of which nothing has changed, and judges them anew as
// each look did before.
func BenchmarkLookAtNodes(b *testing.B) {
	service := newTestService(&takingStore{})
	service.Peer = "127.0.0.1:1"
	service.UseTransport(noTransport{})
	for i := range 1000 {
		id := fmt.Sprintf("n%d/life", i)
		service.view.nodes[id] = &nodeView{sign: nodeSign{Name: id, Started: 1, Peer: "10.0.0.1:1", Watched: true}, heard: time.Now()}
	}
	b.Run("unchanged", func(b *testing.B) {
		for b.Loop() {
			service.lookAtNodes(time.Now())
		}
	})
	b.Run("anew", func(b *testing.B) {
		for b.Loop() {
			service.judgeNodes(time.Now())
		}
	})
}

// noTransport sends nothing.
type noTransport struct{}

func (noTransport) SendLiveness(string, liveness.Message) {}

package guard

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/quarantine"
)

// network records when each crash was first sent, and how often.
type network struct {
	mu         sync.Mutex
	started    time.Time
	firstSent  map[quarantine.Crash]time.Duration
	sendCounts map[quarantine.Crash]int
}

func (n *network) SendCrashes(_ string, crashes []quarantine.Crash) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, crash := range crashes {
		crash.Age = 0
		if _, sent := n.firstSent[crash]; !sent {
			n.firstSent[crash] = time.Since(n.started)
		}
		n.sendCounts[crash]++
	}
}

func (n *network) AskCrashes(string) {}

// slowStore takes one second for each write.
type slowStore struct{}

func (slowStore) KeepCrashes(ctx context.Context, _ string, _ []quarantine.Crash) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Second):
		return nil
	}
}

// TestCrashIsSentAtOnceWhileMoreArrive guards against a crash that is sent late because more
// crashes arrive. The gathering delay restarted with each crash report from another node, every few
// milliseconds while engines ended, and one goroutine both sent and stored crashes, so that it sent
// nothing during a write to the store. On a busy machine a request ended eight
// engines, the last two 30 ms after two nodes had blocked it.
func TestCrashIsSentAtOnceWhileMoreArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &network{started: time.Now(), firstSent: make(map[quarantine.Crash]time.Duration), sendCounts: make(map[quarantine.Crash]int)}
		s := New(quarantine.DefaultConfig(), Dependencies{Logger: zap.NewNop(), Peers: func() []string { return []string{"peer"} }})
		s.UseTransport(transport)
		s.UseKeeper(slowStore{})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		const crashes = 100
		for engine := range uint64(crashes) {
			crash := quarantine.Crash{Content: quarantine.Content{Host: "h"}.Digest(), Engine: engine}
			s.mu.Lock()
			s.unsent = append(s.unsent, crash)
			s.unpersisted[crash.Content] = true
			s.mu.Unlock()
			s.signalBoth()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		stop()
		<-done
		for crash, at := range transport.firstSent {
			if late := at - time.Duration(crash.Engine)*time.Millisecond; late > gatherDelay+time.Millisecond {
				t.Errorf("crash %d was sent %v after it was recorded", crash.Engine, late)
			}
			if transport.sendCounts[crash] != sendAttempts {
				t.Errorf("crash %d was sent %d times, want %d", crash.Engine, transport.sendCounts[crash], sendAttempts)
			}
		}
		if len(transport.firstSent) != crashes {
			t.Errorf("%d crashes were sent", len(transport.firstSent))
		}
	})
}

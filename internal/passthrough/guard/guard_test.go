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

// network notes when a crash was first told to a node.
type network struct {
	mu    sync.Mutex
	begun time.Time
	first map[quarantine.Crash]time.Duration
	times map[quarantine.Crash]int
}

func (n *network) SendCrashes(_ string, crashes []quarantine.Crash) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, crash := range crashes {
		crash.Age = 0
		if _, told := n.first[crash]; !told {
			n.first[crash] = time.Since(n.begun)
		}
		n.times[crash]++
	}
}

func (n *network) AskCrashes(string) {}

// stuckStore takes a second for each write.
type stuckStore struct{}

func (stuckStore) KeepCrashes(ctx context.Context, _ string, _ []quarantine.Crash) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Second):
		return nil
	}
}

// TestCrashIsToldAtOnceWhileMoreCome.
//
// Symptom: on a busy machine a request ended eight engines, the last two 30 ms after two nodes
// had it blocked.
//
// Sequence: while engines end, each node hears of crashes every few milliseconds. Each of these
// put off what the node itself had to tell by five more, and while a write to the store was under
// way it told nothing.
//
// Cause: the pause in which crashes are gathered began anew with each, and one goroutine told and kept.
//
// What settled it: "engine ended under a request" at one node at 17.998, "crashes learned" from it at
// the others at 18.036, with five "crashes learned" of its own in between.
func TestCrashIsToldAtOnceWhileMoreCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		told := &network{begun: time.Now(), first: make(map[quarantine.Crash]time.Duration), times: make(map[quarantine.Crash]int)}
		s := New(quarantine.DefaultConfig(), Dependencies{Logger: zap.NewNop(), Peers: func() []string { return []string{"peer"} }})
		s.UseTransport(told)
		s.KeepBy(stuckStore{})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		const crashes = 100
		for engine := range uint64(crashes) {
			crash := quarantine.Crash{Content: quarantine.Content{Host: "h"}.Digest(), Engine: engine}
			s.mu.Lock()
			s.fresh = append(s.fresh, crash)
			s.unkept[crash.Content] = true
			s.mu.Unlock()
			s.signal()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		stop()
		<-done
		for crash, at := range told.first {
			if late := at - time.Duration(crash.Engine)*time.Millisecond; late > gatherFor+time.Millisecond {
				t.Errorf("crash %d was told %v after it came", crash.Engine, late)
			}
			if told.times[crash] != tries {
				t.Errorf("crash %d was told %d times, want %d", crash.Engine, told.times[crash], tries)
			}
		}
		if len(told.first) != crashes {
			t.Errorf("%d crashes were told", len(told.first))
		}
	})
}

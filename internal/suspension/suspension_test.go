package suspension

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// handClock is suspended by hand.
type handClock struct{ suspended atomic.Int64 }

func (c *handClock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

func TestSuspensionIsCorrectedOnceBeforeAnybodyActs(t *testing.T) {
	clock := &handClock{}
	clock.suspended.Store(int64(time.Hour)) // before the node started
	watch := NewWatch(clock)
	var corrected atomic.Int64
	watch.OnWake(func(gap time.Duration) {
		time.Sleep(5 * time.Millisecond) // others look meanwhile
		corrected.Add(int64(gap))
	})
	watch.Look()
	if corrected.Load() != 0 {
		t.Error("a suspension from before the start is corrected")
	}
	clock.suspended.Add(int64(3 * time.Second))
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			watch.Look()
			if got := time.Duration(corrected.Load()); got != 3*time.Second {
				t.Errorf("somebody acts after a correction of %v", got)
			}
		})
	}
	group.Wait()
	if count := watch.Count(); count != 1 {
		t.Errorf("%d suspensions were noticed", count)
	}
}

func TestShortSuspensionsAddUp(t *testing.T) {
	clock := &handClock{}
	watch := NewWatch(clock)
	var corrected time.Duration
	watch.OnWake(func(gap time.Duration) { corrected += gap })
	for range 10 {
		clock.suspended.Add(int64(least / 4))
		watch.Look()
	}
	if corrected != 2*least {
		t.Errorf("corrected %v", corrected)
	}
}

func TestSystemClockStandsStillWhileTheMachineRuns(t *testing.T) {
	clock := NewSystemClock()
	before := clock.Suspended()
	time.Sleep(30 * time.Millisecond)
	if drift := (clock.Suspended() - before).Abs(); drift >= least {
		t.Errorf("the clocks went apart by %v", drift)
	}
}

func TestNilWatch(t *testing.T) {
	var watch *Watch
	watch.OnWake(func(time.Duration) { t.Error("called") })
	watch.Look()
	if watch.Count() != 0 {
		t.Error("a suspension was noticed")
	}
}

func BenchmarkLook(b *testing.B) {
	watch := NewWatch(NewSystemClock())
	for b.Loop() {
		watch.Look()
	}
}

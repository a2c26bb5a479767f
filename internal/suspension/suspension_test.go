package suspension_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/suspension"
	"ringstream.example/ringstream/internal/suspension/suspensiontest"
)

func TestSuspensionIsCorrectedOnceBeforeAnybodyActs(t *testing.T) {
	clock := &suspensiontest.Clock{}
	clock.Suspend(time.Hour) // before the node started
	watch := suspension.NewWatch(clock)
	var corrected atomic.Int64
	watch.OnWake(func(gap time.Duration) {
		time.Sleep(5 * time.Millisecond) // other goroutines call Look meanwhile
		corrected.Add(int64(gap))
	})
	watch.Look()
	if corrected.Load() != 0 {
		t.Error("a suspension before the start was corrected")
	}
	clock.Suspend(3 * time.Second)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			watch.Look()
			if got := time.Duration(corrected.Load()); got != 3*time.Second {
				t.Errorf("Look returned after a correction of %v, want 3s", got)
			}
		})
	}
	group.Wait()
	if count := watch.Count(); count != 1 {
		t.Errorf("%d suspensions were detected, want 1", count)
	}
}

func TestShortSuspensionsAddUp(t *testing.T) {
	clock := &suspensiontest.Clock{}
	watch := suspension.NewWatch(clock)
	var corrected time.Duration
	watch.OnWake(func(gap time.Duration) { corrected += gap })
	for range 10 {
		clock.Suspend(suspension.Least / 4)
		watch.Look()
	}
	if corrected != 2*suspension.Least {
		t.Errorf("corrected %v, want twice Least", corrected)
	}
}

func TestSystemClockStandsStillWhileTheMachineRuns(t *testing.T) {
	clock := suspension.NewSystemClock()
	before := clock.Suspended()
	time.Sleep(30 * time.Millisecond)
	if drift := (clock.Suspended() - before).Abs(); drift >= suspension.Least {
		t.Errorf("the clocks diverged by %v", drift)
	}
}

func TestNilWatch(t *testing.T) {
	var watch *suspension.Watch
	watch.OnWake(func(time.Duration) { t.Error("a nil Watch called a correction") })
	watch.Look()
	if watch.Count() != 0 {
		t.Error("a nil Watch detected a suspension")
	}
}

func BenchmarkLook(b *testing.B) {
	watch := suspension.NewWatch(suspension.NewSystemClock())
	for b.Loop() {
		watch.Look()
	}
}

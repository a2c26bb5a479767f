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
	watch.OnResume(func(gap time.Duration) {
		time.Sleep(5 * time.Millisecond) // other goroutines call Check meanwhile
		corrected.Add(int64(gap))
	})
	watch.Check()
	if corrected.Load() != 0 {
		t.Error("a suspension before the start was corrected")
	}
	clock.Suspend(3 * time.Second)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			watch.Check()
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
	watch.OnResume(func(gap time.Duration) { corrected += gap })
	for range 10 {
		clock.Suspend(suspension.MinDetected / 4)
		watch.Check()
	}
	if corrected != 2*suspension.MinDetected {
		t.Errorf("corrected %v, want twice Least", corrected)
	}
}

func TestSystemClockStandsStillWhileTheMachineRuns(t *testing.T) {
	clock := suspension.NewSystemClock()
	before := clock.Suspended()
	time.Sleep(30 * time.Millisecond)
	if drift := (clock.Suspended() - before).Abs(); drift >= suspension.MinDetected {
		t.Errorf("the clocks diverged by %v", drift)
	}
}

func TestNilWatch(t *testing.T) {
	var watch *suspension.Watch
	watch.OnResume(func(time.Duration) { t.Error("a nil Watch called a correction") })
	watch.Check()
	if watch.Count() != 0 {
		t.Error("a nil Watch detected a suspension")
	}
}

func BenchmarkLook(b *testing.B) {
	watch := suspension.NewWatch(suspension.NewSystemClock())
	for b.Loop() {
		watch.Check()
	}
}

package health_test

import (
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/health"
)

func TestEngineIsEjectedHeldAndProbedBack(t *testing.T) {
	now := time.Unix(1000, 0)
	var machine health.Machine
	expect := func(step string, got, want health.State) {
		t.Helper()
		if got != want {
			t.Fatalf("%s: state %v, want %v", step, got, want)
		}
	}
	expect("one failure", machine.Unreachable(now), health.Healthy)
	expect("answered", machine.RecordAnswer(now), health.Healthy)
	expect("one failure again", machine.Unreachable(now), health.Healthy)
	expect("second in a row", machine.Unreachable(now), health.Ejected)
	expect("answers during the hold", machine.RecordAnswer(now.Add(time.Second/2)), health.Ejected)
	expect("late token during the hold", machine.RecordToken(), health.Ejected)
	now = now.Add(time.Second)
	expect("answers after the hold", machine.RecordAnswer(now), health.Probing)
	expect("the probe hangs", machine.RecordTimeout(now), health.Ejected)
	expect("the hold has doubled", machine.RecordAnswer(now.Add(1999*time.Millisecond)), health.Ejected)
	now = now.Add(2 * time.Second)
	expect("answers after the second hold", machine.RecordAnswer(now), health.Probing)
	expect("the probe works", machine.RecordToken(), health.Healthy)
	expect("hung", machine.RecordTimeout(now), health.Ejected)
	expect("the hold was reset", machine.RecordAnswer(now.Add(time.Second)), health.Probing)
}

func TestHoldIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var machine health.Machine
	for range 20 {
		machine.RecordTimeout(now)
		now = now.Add(30 * time.Second)
		if machine.RecordAnswer(now) != health.Probing {
			t.Fatal("held for longer than 30 s")
		}
	}
}

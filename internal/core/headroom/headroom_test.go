package headroom_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/headroom"
	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

// TestAllowedNeverTakesOnlineRoom checks that with any limits, batch work beside online
// work fits into the slots that online work leaves free, and that an engine that online
// work has just left is not filled.
func TestAllowedNeverTakesOnlineRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := headroom.Limits{
			Full: rapid.Float64Range(0, 1).Draw(t, "full"), Density: rapid.Float64Range(0, 1).Draw(t, "density"),
			MinBatch: rapid.IntRange(0, 10).Draw(t, "beside"), Hold: time.Second,
		}
		most := rapid.IntRange(1, 64).Draw(t, "most")
		online := rapid.IntRange(0, most).Draw(t, "online")
		idle := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "idle"))
		allowed := limits.Allowed(most, online, idle)
		if allowed < 0 || allowed > most {
			t.Fatalf("%d batch sequences allowed on %d slots", allowed, most)
		}
		if online > 0 && allowed > most-online {
			t.Fatalf("%d batch sequences allowed beside %d online on %d slots", allowed, online, most)
		}
		if held := limits.Allowed(most, 0, limits.Hold/2); held > max(limits.MinBatch, int(limits.Density*float64(most))) {
			t.Fatalf("%d batch sequences allowed right after online work", held)
		}
		if filled := limits.Allowed(most, 0, limits.Hold); filled != int(limits.Full*float64(most)) {
			t.Fatalf("%d batch sequences allowed on an idle engine with %d slots", filled, most)
		}
	})
}

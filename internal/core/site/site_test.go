package site

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

// keysBetween is the reference model: it returns the keys whose position lies in [from, to).
func keysBetween(keys []string, from, to float64) (moved map[string]bool) {
	moved = map[string]bool{}
	for _, key := range keys {
		position := Position(key)
		if position >= from && position < to {
			moved[key] = true
		}
	}
	return moved
}

func TestRaisingTheShareMovesOnlyTheKeysBetween(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOfN(rapid.String(), 1, 200).Draw(t, "keys")
		a := rapid.Float64Range(0, 1).Draw(t, "a")
		b := rapid.Float64Range(0, 1).Draw(t, "b")
		low, high := min(a, b), max(a, b)
		between := keysBetween(keys, low, high)
		for _, key := range keys {
			before, after := Choose(key, low), Choose(key, high)
			if (before != after) != between[key] {
				t.Fatalf("key %q: %v at %v, %v at %v", key, before, low, after, high)
			}
			if before == Here && after == Other {
				t.Fatalf("key %q moved to the other site when the share was raised", key)
			}
		}
	})
}

func TestTheEndsOfTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.String().Draw(t, "key")
		if Choose(key, 0) != Other || Choose(key, 1) != Here {
			t.Fatalf("key %q does not follow a share of 0 or 1", key)
		}
	})
}

func TestTheShareIsKept(t *testing.T) {
	const keys = 100_000
	here := 0
	for i := range keys {
		if Choose(fmt.Sprint("request-", i), 0.3) == Here {
			here++
		}
	}
	if here < 0.29*keys || here > 0.31*keys {
		t.Errorf("%d of %d keys here for a share of 0.3", here, keys)
	}
}

func BenchmarkChoose(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Choose("01J8Z0V6Q7Q8", 0.5)
	}
}

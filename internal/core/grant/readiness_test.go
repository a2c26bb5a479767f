package grant

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestReadinessFollowsTheQuantile draws times from a distribution with a long tail,
// and then from one that is three times as slow, and counts as a plain list would.
func TestReadinessFollowsTheQuantile(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var learned readiness
	for _, scale := range []float64{1, 3, 1} {
		var recent []time.Duration
		for range 3000 {
			taken := time.Duration(scale * (10 + 5*random.ExpFloat64()) * float64(time.Millisecond))
			learned.observe(FirstToken{PromptTokens: 450, Elapsed: taken})
			recent = append(recent, taken)
		}
		slices.Sort(recent)
		want := recent[len(recent)*95/100]
		if got := learned.expected(450); got < want*8/10 || got > want*13/10 {
			t.Errorf("scale %v: expected %s, the quantile is %s", scale, got, want)
		}
	}
}

func TestReadinessTellsPromptsByLength(t *testing.T) {
	var learned readiness
	if got := learned.expected(9000); got != 0 {
		t.Errorf("%s though nothing was observed", got)
	}
	learned.observe(FirstToken{PromptTokens: 450, Elapsed: 20 * time.Millisecond})
	learned.observe(FirstToken{PromptTokens: 9000, Elapsed: 170 * time.Millisecond})
	for tokens, want := range map[int]time.Duration{300: 20 * time.Millisecond, 2000: 20 * time.Millisecond, 9100: 170 * time.Millisecond, 1 << 40: 170 * time.Millisecond, 3: 0, -1: 0} {
		if got := learned.expected(tokens).Round(time.Microsecond); got != want {
			t.Errorf("%d tokens: expected %s, want %s", tokens, got, want)
		}
	}
}

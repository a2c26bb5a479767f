package grant

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestFirstTokenEstimateFollowsTheQuantile draws times from a distribution with a long
// tail, then from one that is three times as slow, then from the first again. It compares
// the estimate with the exact quantile of a sorted list.
func TestFirstTokenEstimateFollowsTheQuantile(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var estimator firstTokenEstimator
	for _, scale := range []float64{1, 3, 1} {
		var recent []time.Duration
		for range 3000 {
			taken := time.Duration(scale * (10 + 5*random.ExpFloat64()) * float64(time.Millisecond))
			estimator.observe(FirstToken{PromptTokens: 450, Elapsed: taken})
			recent = append(recent, taken)
		}
		slices.Sort(recent)
		want := recent[len(recent)*95/100]
		if got := estimator.expected(450); got < want*8/10 || got > want*13/10 {
			t.Errorf("scale %v: estimate is %s, exact quantile is %s", scale, got, want)
		}
	}
}

func TestFirstTokenEstimateByPromptLength(t *testing.T) {
	var estimator firstTokenEstimator
	if got := estimator.expected(9000); got != 0 {
		t.Errorf("estimate is %s without observations, want 0", got)
	}
	estimator.observe(FirstToken{PromptTokens: 450, Elapsed: 20 * time.Millisecond})
	estimator.observe(FirstToken{PromptTokens: 9000, Elapsed: 170 * time.Millisecond})
	for tokens, want := range map[int]time.Duration{300: 20 * time.Millisecond, 2000: 20 * time.Millisecond, 9100: 170 * time.Millisecond, 1 << 40: 170 * time.Millisecond, 3: 0, -1: 0} {
		if got := estimator.expected(tokens).Round(time.Microsecond); got != want {
			t.Errorf("%d tokens: estimate is %s, want %s", tokens, got, want)
		}
	}
}

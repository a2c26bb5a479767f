package grant

import (
	"math/bits"
	"time"
)

// FirstToken is how long a request took from its grant to its first token.
type FirstToken struct {
	PromptTokens int // of the whole prompt, read before or not
	Elapsed      time.Duration
}

// readiness learns how long requests of a lane take from their grant to their first
// token, with the way of the grant: a high quantile, for prompts of about the same
// length. A request that is granted a slot later than that before it is due is late in
// most cases, and takes the slot from one that need not be.
type readiness struct {
	quantiles [promptClasses]float64 // seconds; 0: nothing was observed
}

const (
	// readinessQuantile is the part of the requests that take no longer than expected.
	readinessQuantile = 0.95
	// readinessStep is how much of the estimate one observation moves it by at the most:
	// some fifty observations follow a change of half.
	readinessStep = 0.05
	// readinessLeast keeps an estimate from vanishing, in seconds.
	readinessLeast = 0.0005
	// promptClasses is the number of lengths told apart, by the power of two.
	promptClasses = 24
)

func promptClass(tokens int) int {
	return min(bits.Len(uint(max(tokens, 0))), promptClasses-1) //nolint:gosec // not negative
}

// observe takes what a request took.
func (r *readiness) observe(first FirstToken) {
	known := &r.quantiles[promptClass(first.PromptTokens)]
	taken := max(first.Elapsed.Seconds(), readinessLeast)
	switch {
	case *known == 0:
		*known = taken
	case taken > *known:
		*known += readinessStep * readinessQuantile * *known
	default:
		*known = max(*known-readinessStep*(1-readinessQuantile)**known, readinessLeast)
	}
}

// expected gives what a prompt of a length takes. Of lengths that were not observed it
// takes the next shorter one that was; zero when there is none.
func (r *readiness) expected(promptTokens int) time.Duration {
	for class := promptClass(promptTokens); class >= 0; class-- {
		if known := r.quantiles[class]; known > 0 {
			return time.Duration(known * float64(time.Second))
		}
	}
	return 0
}

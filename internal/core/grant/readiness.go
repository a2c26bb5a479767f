package grant

import (
	"math/bits"
	"time"
)

// FirstToken is the time that a request took from its grant to its first token.
type FirstToken struct {
	PromptTokens int // length of the whole prompt, including cached parts
	Elapsed      time.Duration
	// Engine is the EngineHash of the engine; 0 if the sender does not tell.
	Engine uint64
	// PrefillTokens is the part of the prompt that the engine had to compute.
	PrefillTokens int
}

// firstTokenEstimator estimates a high quantile of the time that requests of a lane take
// from their grant to their first token, including the transit of the grant, for each
// class of prompt lengths. A request that is granted a slot with less time left than the
// estimate usually misses its deadline, and takes the slot from one that could meet its
// own.
type firstTokenEstimator struct {
	seconds [promptLengthClasses]float64 // by class of prompt length; 0 if nothing was observed
}

const (
	// estimatedQuantile is the fraction of requests that take no longer than expected.
	estimatedQuantile = 0.95
	// estimateStep is the largest relative change of an estimate by one observation. Some
	// fifty observations follow a change by half.
	estimateStep = 0.05
	// minEstimateSeconds is the lower bound of an estimate, which keeps its relative steps
	// from vanishing.
	minEstimateSeconds = 0.0005
	// promptLengthClasses is the number of prompt length classes, one per power of two.
	promptLengthClasses = 24
)

func promptLengthClass(tokens int) int {
	return min(bits.Len(uint(max(tokens, 0))), promptLengthClasses-1) //nolint:gosec // not negative
}

// observe updates the estimate of a prompt length with one request.
func (r *firstTokenEstimator) observe(first FirstToken) {
	estimate := &r.seconds[promptLengthClass(first.PromptTokens)]
	taken := max(first.Elapsed.Seconds(), minEstimateSeconds)
	switch {
	case *estimate == 0:
		*estimate = taken
	case taken > *estimate:
		*estimate += estimateStep * estimatedQuantile * *estimate
	default:
		*estimate = max(*estimate-estimateStep*(1-estimatedQuantile)**estimate, minEstimateSeconds)
	}
}

// expected returns the estimate for a prompt length. If that length class has not been
// observed, it returns the estimate of the next shorter one that has, or zero if there is
// none.
func (r *firstTokenEstimator) expected(promptTokens int) time.Duration {
	for class := promptLengthClass(promptTokens); class >= 0; class-- {
		if estimate := r.seconds[class]; estimate > 0 {
			return time.Duration(estimate * float64(time.Second))
		}
	}
	return 0
}

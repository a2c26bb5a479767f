package dispatch

import "sync"

// retryBudget limits retries to a fixed ratio of requests plus a burst, so that
// failing engines do not multiply the load on the others.
type retryBudget struct {
	ratio, burst float64

	mutex     sync.Mutex
	available float64
}

func newRetryBudget(ratio float64, burst int) *retryBudget {
	return &retryBudget{ratio: ratio, burst: float64(burst), available: float64(burst)}
}

// creditRequest adds the retry allowance of one request to the budget.
func (b *retryBudget) creditRequest() {
	b.mutex.Lock()
	b.available = min(b.available+b.ratio, b.burst)
	b.mutex.Unlock()
}

// takeRetry consumes one retry. It returns false when the budget is exhausted.
func (b *retryBudget) takeRetry() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

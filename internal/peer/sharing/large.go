package sharing

import (
	"sync"
	"time"
)

// The rate of answers with many rows is limited. When a fleet restarts, a node that knows no other node
// asks a seed every AskEvery: 985 nodes ask the seeds for 10,000 engines up to 3,900 times per second
// (calculated). Such an answer takes 5.4 MB while it is encoded. A node that gets no rows asks again,
// by then also other nodes that have some.
const (
	// largeAnswerRows is the number of rows from which on an answer counts as large.
	largeAnswerRows = 1000
	// largeAnswerInterval is the minimum time between the starts of two large answers. One takes about 20 ms
	// of processor time (calculated), which is 0.1 s on a machine with a fifth of a core.
	largeAnswerInterval = 100 * time.Millisecond
)

// largeAnswerLimiter admits one large answer at a time and limits their rate.
type largeAnswerLimiter struct {
	mu        sync.Mutex
	busy      bool
	lastBegan time.Time // when the last answer was admitted
}

// tryBegin reports whether a large answer may be made now. If so, the caller calls end when it is sent.
func (l *largeAnswerLimiter) tryBegin(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy || now.Sub(l.lastBegan) < largeAnswerInterval {
		return false
	}
	l.busy, l.lastBegan = true, now
	return true
}

// end marks the large answer in progress as finished.
func (l *largeAnswerLimiter) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy = false
}

// answerQuestion answers a question. It omits the rows of a large answer while another one is in flight
// or started less than largeAnswerInterval ago. The caller calls done when the answer is sent.
func (s *Share) answerQuestion(question Question) (documents Documents, done func()) {
	documents = s.local.Answer(question)
	if len(documents.Rows) < largeAnswerRows {
		return documents, func() {}
	}
	if s.largeAnswers.tryBegin(time.Now()) {
		return documents, s.largeAnswers.end
	}
	documents.Rows = nil
	return documents, func() {}
}

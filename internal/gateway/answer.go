package gateway

import (
	"strings"
	"sync"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/outcome"
)

// answer is the output of one run: the texts so far and the final result. One
// writer appends. Any number of subscribers read from the start at their own pace,
// so a slow client never delays the run. The request's token limit bounds its memory.
type answer struct {
	mutex       sync.Mutex
	progress    progress
	subscribers []chan struct{}
}

// progress is the state of an answer at one time. Texts are never changed after
// they were added.
type progress struct {
	head   answerHead
	texts  []string
	ended  bool
	result answerResult
}

// answerResult is how an answer ended: a failure, or the finish reason and the usage.
type answerResult struct {
	failure *apierror.Error
	// answeredByOtherSite is true when the other site answers. Each client's request
	// is then passed to that site.
	answeredByOtherSite bool
	reason              string
	used                usage
}

func newAnswer(head answerHead) *answer { return &answer{progress: progress{head: head}} }

// subscribe registers a reader. The channel receives a signal after each change.
func (a *answer) subscribe() chan struct{} {
	changed := make(chan struct{}, 1)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.subscribers = append(a.subscribers, changed)
	if len(a.progress.texts) > 0 || a.progress.ended {
		changed <- struct{}{}
	}
	return changed
}

// unsubscribe removes a reader.
func (a *answer) unsubscribe(changed chan struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for i, subscriber := range a.subscribers {
		if subscriber == changed {
			a.subscribers = append(a.subscribers[:i], a.subscribers[i+1:]...)
			return
		}
	}
}

func (a *answer) notify() {
	for _, subscriber := range a.subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
}

// add appends one text.
func (a *answer) add(text string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.progress.texts = append(a.progress.texts, text)
	a.notify()
}

// end closes the answer with a result. Calls after the first have no effect.
func (a *answer) end(result answerResult) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.progress.ended {
		return
	}
	a.progress.ended, a.progress.result = true, result
	a.notify()
}

// fail closes the answer with a failure.
func (a *answer) fail(failure *apierror.Error) { a.end(answerResult{failure: failure}) }

// replay fills an empty answer with the answer of an earlier run.
func (a *answer) replay(head answerHead, texts []string, result answerResult) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.progress = progress{head: head, texts: texts, ended: true, result: result}
	a.notify()
}

// snapshot returns the current state of the answer.
func (a *answer) snapshot() progress {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.progress
}

// text returns the whole text.
func (p progress) text() string { return strings.Join(p.texts, "") }

// resultOf returns the answer's result for a run's outcome.
func resultOf(ended outcome.Outcome) answerResult {
	if ended.Kind != outcome.Completed {
		return answerResult{failure: failureOf(ended)}
	}
	reason := ended.FinishReason
	if reason == "" {
		reason = finishStop
	}
	return answerResult{reason: reason, used: usage{prompt: ended.PromptTokens, output: ended.OutputTokens}}
}

const finishStop = "stop"

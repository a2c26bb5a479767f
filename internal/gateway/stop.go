package gateway

import "strings"

// stopFilter ends an answer at the first of its stop sequences. Text that may be the
// start of a sequence is held back until later tokens decide.
type stopFilter struct {
	sequences []string
	held      string
}

// filter returns the text that may be sent and whether a sequence was found. The
// sequence itself and all text after it are never sent.
func (f *stopFilter) filter(text string) (out string, found bool) {
	if len(f.sequences) == 0 {
		return text, false
	}
	text = f.held + text
	f.held = ""
	first := -1
	for _, sequence := range f.sequences {
		if at := strings.Index(text, sequence); at >= 0 && (first < 0 || at < first) {
			first = at
		}
	}
	if first >= 0 {
		return text[:first], true
	}
	keep := f.partialMatch(text)
	f.held = text[len(text)-keep:]
	return text[:len(text)-keep], false
}

// flush returns the text still held back when the answer ended without a stop sequence.
func (f *stopFilter) flush() string {
	held := f.held
	f.held = ""
	return held
}

// partialMatch returns the length of the longest suffix of text that is a proper
// prefix of a sequence.
func (f *stopFilter) partialMatch(text string) int {
	longest := 0
	for _, sequence := range f.sequences {
		for length := min(len(sequence)-1, len(text)); length > longest; length-- {
			if strings.HasSuffix(text, sequence[:length]) {
				longest = length
			}
		}
	}
	return longest
}

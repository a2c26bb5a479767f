// Package emulator emulates the platform's systems with stand-ins: engines,
// table service, object store, weight store, machine list and the other site.
// Each stand-in is an in-memory model behind an http.Handler, has faults that
// can be injected, and records what it did, so that checkers can verify a run
// against the stand-ins' own records. No production package imports it.
//
// Lock order: an Engine's lock is taken before the lock of the Weights that it
// loads from; no other two locks of this package are held together.
package emulator

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabularySize is the number of words in the vocabulary, a power of two.
const vocabularySize = 1024

var vocabulary = makeVocabulary()

// makeVocabulary builds the vocabulary from pairs of syllables.
func makeVocabulary() [vocabularySize]string {
	const consonants, vowels = "bdfgklmnprstvzhj", "ao"
	var syllables []string
	for _, consonant := range consonants {
		for _, vowel := range vowels {
			syllables = append(syllables, string(consonant)+string(vowel))
		}
	}
	var all [vocabularySize]string
	for i := range all {
		all[i] = syllables[i/len(syllables)] + syllables[i%len(syllables)] + " "
	}
	return all
}

// PromptHash identifies a prompt for a model in ledgers. It is also the seed of
// the prompt's output.
func PromptHash(model, prompt string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(model) // xxhash writes never fail
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt)
	return digest.Sum64()
}

// tokenAt returns the token at an offset of the output for a prompt hash.
func tokenAt(hash uint64, offset int) string {
	// One round of splitmix64.
	x := hash + uint64(offset+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return vocabulary[(x^(x>>31))%vocabularySize]
}

// ExpectedTokens returns the first count tokens that every engine stand-in
// generates for a prompt, regardless of version, adapter and interruptions.
func ExpectedTokens(model, prompt string, count int) []string {
	hash := PromptHash(model, prompt)
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = tokenAt(hash, i)
	}
	return tokens
}

// ExpectedText returns the tokens of ExpectedTokens as one text.
func ExpectedText(model, prompt string, count int) string {
	return strings.Join(ExpectedTokens(model, prompt, count), "")
}

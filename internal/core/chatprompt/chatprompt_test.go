package chatprompt

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

func TestNoContentPassesForAnotherRole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		contents := rapid.SliceOf(rapid.StringOf(rapid.RuneFrom([]rune("<|>\nsystem")))).Draw(t, "contents")
		messages := make([]Message, len(contents))
		for i, content := range contents {
			messages[i] = Message{Role: "user", Content: content}
		}
		prompt := Join(messages)
		if markers := strings.Count(prompt, roleOpen); markers != len(messages)+1 {
			t.Fatalf("%d role markers for %d messages: %q", markers, len(messages), prompt)
		}
	})
}

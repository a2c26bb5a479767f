package wire

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	_ "ringstream.example/ringstream/internal/seedtest" // makes rapid draw the same values in every run
)

func TestTokenLinesComeBackAsTheyWereWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempt := rapid.String().Draw(t, "attempt")
		offset := rapid.IntRange(0, 999_999_999).Draw(t, "offset")
		text := rapid.String().Draw(t, "text")
		line := AppendToken(nil, AppendPrefix(nil, attempt), offset, text)
		reader := NewLineReader(attempt)
		if gotOffset, gotText, ok := reader.Token(line); ok {
			if gotOffset != offset || gotText != text {
				t.Fatalf("the fast path returned %d %q for %q", gotOffset, gotText, line)
			}
			return
		}
		parsed, err := reader.Parse(line)
		if err != nil || parsed.Text == nil || parsed.Offset != offset || *parsed.Text != text {
			t.Fatalf("Parse returned %+v, %v for %q", parsed, err, line)
		}
	})
}

func TestALineOfAnotherAttemptIsNotTaken(t *testing.T) {
	line := AppendToken(nil, AppendPrefix(nil, "attempt-10"), 3, "word ")
	reader := NewLineReader("attempt-1")
	if _, _, ok := reader.Token(line); ok {
		t.Fatal("the fast path accepted a line of another attempt")
	}
	if _, err := reader.Parse(line); !errors.Is(err, ErrOtherAttempt) {
		t.Fatalf("Parse returned %v, want ErrCrossed", err)
	}
}

// FuzzToken checks that the fast path agrees with the JSON decoder.
func FuzzToken(f *testing.F) {
	f.Add([]byte(`{"a":"x","o":7,"t":"word "}`))
	f.Add([]byte(`{"a":"x","o":7,"t":"a\"b"}`))
	f.Add([]byte(`{"a":"x","o":07,"t":"","o":1}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		reader := NewLineReader("x")
		offset, text, ok := reader.Token(raw)
		if !ok {
			return
		}
		parsed, err := reader.Parse(raw)
		if err != nil {
			return // not valid JSON: the fast path also accepts control characters
		}
		if parsed.Text == nil || parsed.Offset != offset {
			t.Fatalf("the fast path returned %d %q, the decoder %+v", offset, text, parsed)
		}
	})
}

func BenchmarkToken(b *testing.B) {
	line := AppendToken(nil, AppendPrefix(nil, "01JDXB6Z1K9Q4T0V7W8X9Y0Z1A"), 1234, "kolu ")
	reader := NewLineReader("01JDXB6Z1K9Q4T0V7W8X9Y0Z1A")
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := reader.Token(line); !ok {
			b.Fatal("the fast path rejected a token line")
		}
	}
}

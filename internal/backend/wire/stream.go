package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
	"unicode/utf8"
)

// A token stream is a sequence of JSON lines. Each carries the attempt that it
// answers, so that a line of another attempt is never taken for one of ours:
//
//	{"a":"ATTEMPT","o":7,"t":"word "}      one token
//	{"a":"ATTEMPT","preempted":true}       the engine set the sequence back in its queue
//	{"a":"ATTEMPT","finish":{...}}         the end
//	{"a":"ATTEMPT","error":{...}}          the engine gives up
//
// The reader takes the first form apart without a JSON decoder.

// ErrCrossed says that a line belongs to another attempt.
var ErrCrossed = errors.New("the line answers another attempt")

// Line is one line of a token stream. Exactly one of Token, Preempted, Finish
// and Error is meant.
type Line struct {
	Attempt   string  `json:"a"`
	Offset    int     `json:"o"`
	Text      *string `json:"t,omitempty"`
	Preempted bool    `json:"preempted,omitempty"`
	Finish    *Finish `json:"finish,omitempty"`
	Error     *Error  `json:"error,omitempty"`
}

// AppendPrefix appends what every line of the attempt begins with.
func AppendPrefix(into []byte, attempt string) []byte {
	into = append(into, `{"a":`...)
	into = appendString(into, attempt)
	return append(into, ',')
}

// AppendToken appends one token line; prefix comes from AppendPrefix.
func AppendToken(into, prefix []byte, offset int, text string) []byte {
	into = append(into, prefix...)
	into = append(into, `"o":`...)
	into = strconv.AppendInt(into, int64(offset), 10)
	into = append(into, `,"t":`...)
	into = appendString(into, text)
	return append(into, '}', '\n')
}

// appendString appends a JSON string; plain text takes no encoder.
func appendString(into []byte, text string) []byte {
	if plain(text) {
		into = append(into, '"')
		into = append(into, text...)
		return append(into, '"')
	}
	encoded, _ := json.Marshal(text) // strings always encode
	return append(into, encoded...)
}

func plain(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			return false
		}
	}
	return true
}

// LineReader takes the lines of one attempt's stream apart.
type LineReader struct {
	attempt string
	prefix  []byte // of a token line, up to the offset
}

// NewLineReader makes a reader for one attempt.
func NewLineReader(attempt string) *LineReader {
	return &LineReader{attempt: attempt, prefix: append(AppendPrefix(nil, attempt), `"o":`...)}
}

// Token parses a plain token line; ok is false for every other line, which
// Parse takes.
func (r *LineReader) Token(line []byte) (offset int, text string, ok bool) {
	rest, found := bytes.CutPrefix(line, r.prefix)
	if !found {
		return 0, "", false
	}
	digits := 0
	for digits < len(rest) && digits < maxOffsetDigits && rest[digits] >= '0' && rest[digits] <= '9' {
		offset = offset*10 + int(rest[digits]-'0')
		digits++
	}
	rest, found = bytes.CutPrefix(rest[digits:], textField)
	if digits == 0 || !found {
		return 0, "", false
	}
	end := bytes.IndexByte(rest, '"')
	if end < 0 || string(bytes.TrimRight(rest[end:], "\r\n")) != `"}` || bytes.IndexByte(rest[:end], '\\') >= 0 {
		return 0, "", false
	}
	return offset, string(rest[:end]), true
}

// maxOffsetDigits keeps an offset within an int.
const maxOffsetDigits = 9

var textField = []byte(`,"t":"`)

// Parse decodes any line; a line of another attempt gives ErrCrossed.
func (r *LineReader) Parse(raw []byte) (Line, error) {
	var line Line
	if err := json.Unmarshal(raw, &line); err != nil {
		return Line{}, err
	}
	if line.Attempt != r.attempt {
		return Line{}, ErrCrossed
	}
	return line, nil
}

package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
	"unicode/utf8"
)

// A token stream is a sequence of JSON lines. Each line carries the ID of its attempt,
// so that a line of another attempt is detected:
//
//	{"a":"ATTEMPT","o":7,"t":"word "}      one token
//	{"a":"ATTEMPT","preempted":true}       the engine requeued the sequence
//	{"a":"ATTEMPT","finish":{...}}         the stream is complete
//	{"a":"ATTEMPT","error":{...}}          the engine aborts the attempt
//
// The reader parses the first form without a JSON decoder.

// ErrOtherAttempt is returned for a line that belongs to another attempt.
var ErrOtherAttempt = errors.New("the line answers another attempt")

// Line is one line of a token stream. Exactly one of Text, Preempted, Finish and Error
// is set.
type Line struct {
	Attempt   string  `json:"a"`
	Offset    int     `json:"o"`
	Text      *string `json:"t,omitempty"`
	Preempted bool    `json:"preempted,omitempty"`
	Finish    *Finish `json:"finish,omitempty"`
	Error     *Error  `json:"error,omitempty"`
}

// AppendPrefix appends the common prefix of all lines of the attempt.
func AppendPrefix(into []byte, attempt string) []byte {
	into = append(into, `{"a":`...)
	into = appendString(into, attempt)
	return append(into, ',')
}

// AppendToken appends one token line. prefix is the result of AppendPrefix.
func AppendToken(into, prefix []byte, offset int, text string) []byte {
	into = append(into, prefix...)
	into = append(into, `"o":`...)
	into = strconv.AppendInt(into, int64(offset), 10)
	into = append(into, `,"t":`...)
	into = appendString(into, text)
	return append(into, '}', '\n')
}

// appendString appends a JSON string. Plain text needs no encoder.
func appendString(into []byte, text string) []byte {
	if isPlain(text) {
		into = append(into, '"')
		into = append(into, text...)
		return append(into, '"')
	}
	encoded, _ := json.Marshal(text) // strings always encode
	return append(into, encoded...)
}

func isPlain(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			return false
		}
	}
	return true
}

// LineReader parses the lines of one attempt's stream.
type LineReader struct {
	attempt string
	prefix  []byte // of a token line, up to the offset
}

// NewLineReader creates a reader for one attempt.
func NewLineReader(attempt string) *LineReader {
	return &LineReader{attempt: attempt, prefix: append(AppendPrefix(nil, attempt), `"o":`...)}
}

// Token parses a plain token line. ok is false for any other line, which must be
// parsed with Parse.
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
	rest, found = bytes.CutPrefix(rest[digits:], textFieldPrefix)
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

var textFieldPrefix = []byte(`,"t":"`)

// Parse decodes any line. It returns ErrOtherAttempt for a line of another attempt.
func (r *LineReader) Parse(raw []byte) (Line, error) {
	var line Line
	if err := json.Unmarshal(raw, &line); err != nil {
		return Line{}, err
	}
	if line.Attempt != r.attempt {
		return Line{}, ErrOtherAttempt
	}
	return line, nil
}

package gateway

import (
	"strconv"
	"unicode/utf8"
)

// answerHead holds the fields that every event of one answer repeats.
type answerHead struct {
	id      string
	model   string
	created int64 // Unix seconds
	chat    bool
}

// usage counts the tokens of one answer.
type usage struct {
	prompt, output int
}

// eventEncoder encodes the events of one streamed answer. The repeated parts are
// encoded once, so that a token costs an append and one pass of quoting.
type eventEncoder struct {
	tokenPrefix  []byte // up to the token's text, which is a JSON string
	tokenSuffix  []byte // after the token's text
	head         answerHead
	finishPrefix []byte // up to the finish reason
}

const (
	eventPrefix = "data: "
	eventSuffix = "\n\n"
	streamDone  = "data: [DONE]\n\n"
)

func newEventEncoder(head answerHead) *eventEncoder {
	object := "text_completion"
	if head.chat {
		object = "chat.completion.chunk"
	}
	start := append([]byte(eventPrefix), `{"id":`...)
	start = appendHead(start, head, object)
	start = append(start, `,"choices":[{"index":0,`...)
	encoder := &eventEncoder{head: head}
	if head.chat {
		encoder.tokenPrefix = append(append([]byte{}, start...), `"delta":{"content":`...)
		encoder.tokenSuffix = []byte(`},"logprobs":null,"finish_reason":null}]}` + eventSuffix)
		encoder.finishPrefix = append(append([]byte{}, start...), `"delta":{},"logprobs":null,"finish_reason":`...)
	} else {
		encoder.tokenPrefix = append(append([]byte{}, start...), `"text":`...)
		encoder.tokenSuffix = []byte(`,"logprobs":null,"finish_reason":null}]}` + eventSuffix)
		encoder.finishPrefix = append(append([]byte{}, start...), `"text":"","logprobs":null,"finish_reason":`...)
	}
	return encoder
}

// appendHead appends the id's value and the fields after it.
func appendHead(to []byte, head answerHead, object string) []byte {
	to = appendString(to, head.id)
	to = append(to, `,"object":"`...)
	to = append(to, object...)
	to = append(to, `","created":`...)
	to = strconv.AppendInt(to, head.created, 10)
	to = append(to, `,"model":`...)
	return appendString(to, head.model)
}

// appendRole appends the first event of a chat stream.
func (e *eventEncoder) appendRole(to []byte) []byte {
	to = append(to, e.tokenPrefix[:len(e.tokenPrefix)-len(`"content":`)]...)
	to = append(to, `"role":"assistant","content":""`...)
	return append(to, e.tokenSuffix...)
}

// appendToken appends one token's event.
func (e *eventEncoder) appendToken(to []byte, text string) []byte {
	to = append(to, e.tokenPrefix...)
	to = appendString(to, text)
	return append(to, e.tokenSuffix...)
}

// appendFinish appends the event that carries the finish reason.
func (e *eventEncoder) appendFinish(to []byte, reason string) []byte {
	to = append(to, e.finishPrefix...)
	to = appendString(to, reason)
	return append(to, "}]}"+eventSuffix...)
}

// appendUsage appends the event that carries the usage and no choice.
func (e *eventEncoder) appendUsage(to []byte, used usage) []byte {
	object := "text_completion"
	if e.head.chat {
		object = "chat.completion.chunk"
	}
	to = append(to, eventPrefix+`{"id":`...)
	to = appendHead(to, e.head, object)
	to = append(to, `,"choices":[],"usage":`...)
	to = appendUsageObject(to, used)
	return append(to, "}"+eventSuffix...)
}

// appendFullAnswer appends the body of an answer that is not streamed.
func appendFullAnswer(to []byte, head answerHead, text, reason string, used usage) []byte {
	object := "text_completion"
	if head.chat {
		object = "chat.completion"
	}
	to = append(to, `{"id":`...)
	to = appendHead(to, head, object)
	to = append(to, `,"choices":[{"index":0,`...)
	if head.chat {
		to = append(to, `"message":{"role":"assistant","content":`...)
		to = appendString(to, text)
		to = append(to, `,"refusal":null}`...)
	} else {
		to = append(to, `"text":`...)
		to = appendString(to, text)
	}
	to = append(to, `,"logprobs":null,"finish_reason":`...)
	to = appendString(to, reason)
	to = append(to, `}],"usage":`...)
	to = appendUsageObject(to, used)
	return append(to, "}\n"...)
}

func appendUsageObject(to []byte, used usage) []byte {
	to = append(to, `{"prompt_tokens":`...)
	to = strconv.AppendInt(to, int64(used.prompt), 10)
	to = append(to, `,"completion_tokens":`...)
	to = strconv.AppendInt(to, int64(used.output), 10)
	to = append(to, `,"total_tokens":`...)
	to = strconv.AppendInt(to, int64(used.prompt+used.output), 10)
	return append(to, '}')
}

const hexDigits = "0123456789abcdef"

// appendString appends text as a JSON string and replaces invalid UTF-8 by U+FFFD.
func appendString(to []byte, text string) []byte {
	to = append(to, '"')
	start := 0
	for i := 0; i < len(text); {
		c := text[i]
		if c >= utf8.RuneSelf {
			decoded, size := utf8.DecodeRuneInString(text[i:])
			if decoded == utf8.RuneError && size == 1 {
				to = append(append(to, text[start:i]...), "\uFFFD"...)
				start = i + 1
			}
			i += size
			continue
		}
		if c < ' ' || c == '"' || c == '\\' {
			to = appendEscaped(append(to, text[start:i]...), c)
			start = i + 1
		}
		i++
	}
	return append(append(to, text[start:]...), '"')
}

func appendEscaped(to []byte, c byte) []byte {
	switch c {
	case '"', '\\':
		return append(to, '\\', c)
	case '\n':
		return append(to, '\\', 'n')
	case '\r':
		return append(to, '\\', 'r')
	case '\t':
		return append(to, '\\', 't')
	default:
		return append(to, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&0xf])
	}
}

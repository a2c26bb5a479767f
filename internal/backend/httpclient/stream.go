package httpclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
)

// tokenStream reads one attempt's lines. A line of another attempt, a gap in
// the offsets or an end without a finish breaks the stream: none of them can
// reach the caller as tokens.
type tokenStream struct {
	body   io.ReadCloser
	cancel context.CancelCauseFunc
	reader *bufio.Reader
	lines  *wire.LineReader
	system string
	next   int // the offset that must come next
	finish backend.Finish
	end    error // io.EOF or the failure, once known
}

func newTokenStream(body io.ReadCloser, cancel context.CancelCauseFunc, system, attempt string, offset int) *tokenStream {
	return &tokenStream{
		body: body, cancel: cancel, system: system, next: offset,
		reader: bufio.NewReaderSize(body, streamBuffer),
		lines:  wire.NewLineReader(attempt),
	}
}

// Next implements backend.TokenStream.
func (s *tokenStream) Next() (backend.Token, error) {
	for s.end == nil {
		raw, err := s.reader.ReadSlice('\n')
		if err != nil {
			s.end = s.broken(fmt.Errorf("the stream ended at offset %d: %w", s.next, unexpected(err)))
			break
		}
		if offset, text, ok := s.lines.Token(raw); ok {
			return s.take(offset, text)
		}
		line, err := s.lines.Parse(raw)
		if err != nil {
			s.end = s.broken(err)
			break
		}
		if line.Text != nil {
			return s.take(line.Offset, *line.Text)
		}
		s.special(line)
	}
	return backend.Token{}, s.end
}

// take passes a token on when it is the next one.
func (s *tokenStream) take(offset int, text string) (backend.Token, error) {
	if offset != s.next {
		s.end = s.broken(fmt.Errorf("offset %d came where %d was due", offset, s.next))
		return backend.Token{}, s.end
	}
	s.next++
	return backend.Token{Offset: offset, Text: text}, nil
}

// special takes a line that is not a token.
func (s *tokenStream) special(line wire.Line) {
	switch {
	case line.Finish != nil && line.Finish.Reason != finishCancelled && line.Finish.OutputTokens != s.next:
		s.end = s.broken(fmt.Errorf("finished with %d tokens after %d", line.Finish.OutputTokens, s.next))
	case line.Finish != nil:
		s.finish = backend.Finish(*line.Finish)
		s.end = io.EOF
	case line.Error != nil:
		s.end = &backend.Error{
			Code: backend.ErrorCode(line.Error.Code), Effect: backend.EffectUnknown,
			RetryAfter: time.Duration(line.Error.RetryAfterMillis) * time.Millisecond,
			System:     s.system, Operation: "stream", Cause: errors.New(line.Error.Message),
		}
	}
}

// unexpected keeps a body that just ends from passing for the stream's own
// end: errors.Is(err, io.EOF) holds for whole streams only.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// finishCancelled is the only end that may come before all tokens were read.
const finishCancelled = "cancelled"

func (s *tokenStream) broken(cause error) error {
	return &backend.Error{
		Code: backend.CodeBroken, Effect: backend.EffectUnknown,
		System: s.system, Operation: "stream", Cause: cause,
	}
}

// drainTimeout bounds the wait for the end of a body after its last line.
const drainTimeout = 100 * time.Millisecond

// Finish implements backend.TokenStream.
func (s *tokenStream) Finish() backend.Finish { return s.finish }

// Close implements backend.TokenStream. A stream read to its end gives its
// connection back; any other is cut.
func (s *tokenStream) Close() error {
	if errors.Is(s.end, io.EOF) {
		timer := time.AfterFunc(drainTimeout, func() { s.cancel(nil) })
		_, _ = s.reader.ReadByte() // the end of the body, so that the connection can be used again
		timer.Stop()
	}
	err := s.body.Close()
	s.cancel(nil)
	return err
}

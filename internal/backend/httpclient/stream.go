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

// tokenStream reads the lines of one attempt. A line of another attempt, a gap in the
// offsets or an end without a finish line breaks the stream, so that the caller never
// receives wrong tokens.
type tokenStream struct {
	body       io.ReadCloser
	cancel     context.CancelCauseFunc
	reader     *bufio.Reader
	lines      *wire.LineReader
	system     string
	nextOffset int // the offset of the next token
	finish     backend.Finish
	endErr     error // io.EOF or the failure, once the stream has ended
}

func newTokenStream(body io.ReadCloser, cancel context.CancelCauseFunc, system, attempt string, offset int) *tokenStream {
	return &tokenStream{
		body: body, cancel: cancel, system: system, nextOffset: offset,
		reader: bufio.NewReaderSize(body, streamBufferBytes),
		lines:  wire.NewLineReader(attempt),
	}
}

// Next implements backend.TokenStream.
func (s *tokenStream) Next() (backend.Token, error) {
	for s.endErr == nil {
		raw, err := s.reader.ReadSlice('\n')
		if err != nil {
			s.endErr = s.brokenError(fmt.Errorf("the stream ended at offset %d: %w", s.nextOffset, unexpectedEOF(err)))
			break
		}
		if offset, text, ok := s.lines.Token(raw); ok {
			return s.acceptToken(offset, text)
		}
		line, err := s.lines.Parse(raw)
		if err != nil {
			s.endErr = s.brokenError(err)
			break
		}
		if line.Text != nil {
			return s.acceptToken(line.Offset, *line.Text)
		}
		s.handleControlLine(line)
	}
	return backend.Token{}, s.endErr
}

// acceptToken returns a token if its offset is the next one.
func (s *tokenStream) acceptToken(offset int, text string) (backend.Token, error) {
	if offset != s.nextOffset {
		s.endErr = s.brokenError(fmt.Errorf("offset %d came where %d was due", offset, s.nextOffset))
		return backend.Token{}, s.endErr
	}
	s.nextOffset++
	return backend.Token{Offset: offset, Text: text}, nil
}

// handleControlLine handles a line that is not a token.
func (s *tokenStream) handleControlLine(line wire.Line) {
	switch {
	case line.Finish != nil && line.Finish.Reason != finishCancelled && line.Finish.OutputTokens != s.nextOffset:
		s.endErr = s.brokenError(fmt.Errorf("finished with %d tokens after %d", line.Finish.OutputTokens, s.nextOffset))
	case line.Finish != nil:
		s.finish = backend.Finish(*line.Finish)
		s.endErr = io.EOF
	case line.Error != nil:
		s.endErr = &backend.Error{
			Code: backend.ErrorCode(line.Error.Code), Effect: backend.EffectUnknown,
			RetryAfter: time.Duration(line.Error.RetryAfterMillis) * time.Millisecond,
			System:     s.system, Operation: "stream", Cause: errors.New(line.Error.Message),
		}
	}
}

// unexpectedEOF converts io.EOF to io.ErrUnexpectedEOF, so that errors.Is(err, io.EOF)
// holds only for streams that ended with a finish line.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// finishCancelled is the only finish reason with which a stream may end before all
// tokens were read.
const finishCancelled = "cancelled"

func (s *tokenStream) brokenError(cause error) error {
	return &backend.Error{
		Code: backend.CodeBroken, Effect: backend.EffectUnknown,
		System: s.system, Operation: "stream", Cause: cause,
	}
}

// drainTimeout bounds the wait for the end of the body after its last line.
const drainTimeout = 100 * time.Millisecond

// Finish implements backend.TokenStream.
func (s *tokenStream) Finish() backend.Finish { return s.finish }

// Close implements backend.TokenStream. The connection of a stream that was read to
// its end returns to the pool. Any other connection is closed.
func (s *tokenStream) Close() error {
	if errors.Is(s.endErr, io.EOF) {
		timer := time.AfterFunc(drainTimeout, func() { s.cancel(nil) })
		_, _ = s.reader.ReadByte() // reads the end of the body, so that the connection can be reused
		timer.Stop()
	}
	err := s.body.Close()
	s.cancel(nil)
	return err
}

package intake

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/jobs/record"
)

// Limits bound one submission.
type Limits struct {
	MaxItems     int // in a job
	MaxLineBytes int // in a line
	MaxTokens    int // that an item may request
	SegmentItems int // in a segment
	SegmentBytes int // in a segment at which the next one is started
}

// Content describes the items of a submission.
type Content struct {
	Segments []int // number of items in each segment
	Digest   string
	Tokens   int64 // sum of max_tokens
}

// Scanner reads a submission's items. Its memory is bounded by one segment, one
// line, and 8 bytes for the hash of each item's custom_id.
type Scanner struct {
	limits     Limits
	repeatable bool
	lines      *bufio.Scanner
	line       int
	seen       map[uint64]struct{}
}

// NewScanner returns a scanner that reads items as JSON lines. repeatable is the
// default for items that do not set it.
func NewScanner(reader io.Reader, repeatable bool, limits Limits) *Scanner {
	lines := bufio.NewScanner(reader)
	lines.Buffer(make([]byte, 0, min(64<<10, limits.MaxLineBytes)), limits.MaxLineBytes)
	return &Scanner{limits: limits, repeatable: repeatable, lines: lines, seen: make(map[uint64]struct{})}
}

// ReadAll validates every line and passes each segment, encoded as JSON lines, to
// the segment function. The bytes are reused after that function returns. An
// invalid line gives an *apierror.Error whose message has the line number and the
// reason.
func (s *Scanner) ReadAll(segment func(number int, lines []byte) error) (Content, error) {
	var content Content
	var buffer bytes.Buffer
	digest := sha256.New()
	items, total := 0, 0
	flush := func() error {
		if items == 0 {
			return nil
		}
		if err := segment(len(content.Segments), buffer.Bytes()); err != nil {
			return err
		}
		content.Segments = append(content.Segments, items)
		buffer.Reset()
		items = 0
		return nil
	}
	encoder := json.NewEncoder(io.MultiWriter(&buffer, digest))
	encoder.SetEscapeHTML(false)
	for {
		item, found, err := s.next()
		if err != nil {
			return Content{}, err
		}
		if !found {
			break
		}
		if total++; total > s.limits.MaxItems {
			return Content{}, apierror.New(http.StatusRequestEntityTooLarge, apierror.CodeTooLarge, "line %d: a job has at most %d items", s.line, s.limits.MaxItems)
		}
		if err := encoder.Encode(item); err != nil {
			return Content{}, err
		}
		items++
		content.Tokens += int64(item.MaxTokens)
		if items == s.limits.SegmentItems || buffer.Len() >= s.limits.SegmentBytes {
			if err := flush(); err != nil {
				return Content{}, err
			}
		}
	}
	if total == 0 {
		return Content{}, apierror.Invalid("the job has no items")
	}
	content.Digest = hex.EncodeToString(digest.Sum(nil))
	return content, flush()
}

// next returns the item of the next line that is not empty; found is false at the
// end.
func (s *Scanner) next() (item record.Item, found bool, err error) {
	for s.lines.Scan() {
		s.line++
		line := bytes.TrimSpace(s.lines.Bytes())
		if len(line) == 0 {
			continue
		}
		item, err = s.parse(line)
		return item, err == nil, err
	}
	switch err = s.lines.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return record.Item{}, false, apierror.New(http.StatusRequestEntityTooLarge, apierror.CodeTooLarge, "line %d: longer than %d bytes", s.line+1, s.limits.MaxLineBytes)
	case err != nil:
		return record.Item{}, false, apierror.Invalid("line %d: the upload broke off: %v", s.line+1, err)
	}
	return record.Item{}, false, nil
}

func (s *Scanner) parse(line []byte) (record.Item, error) {
	var item record.Item
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&item); err != nil {
		return item, apierror.Invalid("line %d: %v", s.line, err)
	}
	if decoder.More() {
		return item, apierror.Invalid("line %d: more than one JSON value", s.line)
	}
	switch {
	case item.ID == "":
		return item, apierror.Invalid("line %d: custom_id is missing", s.line)
	case item.Prompt == "":
		return item, apierror.Invalid("line %d: prompt is missing", s.line)
	case item.MaxTokens < 1 || item.MaxTokens > s.limits.MaxTokens:
		return item, apierror.Invalid("line %d: max_tokens is %d, allowed are 1 to %d", s.line, item.MaxTokens, s.limits.MaxTokens)
	}
	hash := xxhash.Sum64String(item.ID)
	if _, twice := s.seen[hash]; twice {
		return item, apierror.Invalid("line %d: custom_id %q is used twice", s.line, item.ID)
	}
	s.seen[hash] = struct{}{}
	if item.Repeatable == nil {
		item.Repeatable = &s.repeatable
	}
	return item, nil
}

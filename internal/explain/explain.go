// Package explain tells the story of one request, job or item from the log
// lines of many nodes: the lines that carry its id, in order of time, and what
// the same nodes learned shortly before. It reads text and keeps nothing.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one log line.
type Line struct {
	At      time.Time
	Node    string
	Message string
	Number  int // of the event
	Fields  map[string]any
}

// Numbers of the events that change what a node believes, or are of its life:
// see docs/events.md.
const (
	firstBelief, lastBelief = 8001, 8099
	firstLife, lastLife     = 8201, 8299
)

// belief says whether a line tells a change of what the node believes.
func (l Line) belief() bool {
	return (l.Number >= firstBelief && l.Number <= lastBelief) || (l.Number >= firstLife && l.Number <= lastLife)
}

// carries says whether a line is about an id.
func (l Line) carries(id string) bool {
	return l.Fields["request"] == id || l.Fields["job"] == id
}

// Numbers of the events that tell of engines ending under a content.
const firstOfContent, lastOfContent = 8140, 8146

// tellsOfContent says whether a line tells of engines that ended under one of some
// contents.
func (l Line) tellsOfContent(contents map[string]bool) bool {
	content, _ := l.Fields["content"].(string)
	return l.Number >= firstOfContent && l.Number <= lastOfContent && contents[content]
}

// maxLine is the longest line that is read, in bytes.
const maxLine = 1 << 20

// Read reads the log lines of a file; other lines, and what stands before the
// JSON of a line, are passed over.
func Read(source io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		if begin := strings.IndexByte(text, '{'); begin >= 0 {
			if line, ok := parse(text[begin:]); ok {
				lines = append(lines, line)
			}
		}
	}
	return lines, scanner.Err()
}

func parse(text string) (Line, bool) {
	fields := make(map[string]any)
	if json.Unmarshal([]byte(text), &fields) != nil {
		return Line{}, false
	}
	stamp, _ := fields["ts"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	number, isEvent := fields["event"].(float64)
	if err != nil || !isEvent {
		return Line{}, false
	}
	line := Line{At: at, Number: int(number), Fields: fields}
	line.Node, _ = fields["node"].(string)
	line.Message, _ = fields["msg"].(string)
	for _, shown := range []string{"ts", "event", "node", "msg", "level"} {
		delete(fields, shown)
	}
	return line, true
}

// Story gives the lines about an id in order of time, the changes of belief of the
// same nodes from `before` its first line on until its last, and what any node had told
// until then of engines that ended under the same content.
func Story(lines []Line, id string, before time.Duration) []Line {
	var own []Line
	nodes, contents := make(map[string]bool), make(map[string]bool)
	for _, line := range lines {
		if line.carries(id) {
			own = append(own, line)
			nodes[line.Node] = true
			if content, told := line.Fields["content"].(string); told {
				contents[content] = true
			}
		}
	}
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, byTime)
	from, to := own[0].At.Add(-before), own[len(own)-1].At
	story := own
	for _, line := range lines {
		believed := line.belief() && nodes[line.Node] && !line.At.Before(from)
		crashed := line.tellsOfContent(contents) && !line.carries(id)
		if (believed || crashed) && !line.At.After(to) {
			story = append(story, line)
		}
	}
	slices.SortStableFunc(story, byTime)
	return story
}

func byTime(a, b Line) int { return a.At.Compare(b.At) }

// Text writes a story: a line an event, times counted from the first.
func Text(story []Line) string {
	var text strings.Builder
	for _, line := range story {
		fmt.Fprintf(&text, "%+9.3fs  %-24s %s", line.At.Sub(story[0].At).Seconds(), line.Node, line.Message)
		names := make([]string, 0, len(line.Fields))
		for name := range line.Fields {
			names = append(names, name)
		}
		slices.SortFunc(names, cmp.Compare[string])
		for _, name := range names {
			fmt.Fprintf(&text, " %s=%v", name, line.Fields[name])
		}
		text.WriteByte('\n')
	}
	return text.String()
}

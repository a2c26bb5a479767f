// Package explain reconstructs the history of one request, job or item from the
// log lines of many nodes: the lines that carry its id, in order of time, and
// the changes of the same nodes' state shortly before. It also summarizes logs.
// It reads text and stores nothing.
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
	Number  int // the event number
	Fields  map[string]any
}

// Numbers of the events that change a node's view of the fleet, and of those
// that concern the lifecycle of its process; see docs/events.md.
const (
	firstViewEvent, lastViewEvent           = 8001, 8099
	firstLifecycleEvent, lastLifecycleEvent = 8201, 8299
)

// changesNodeState reports whether a line records a change of the node's view of
// the fleet or of its lifecycle.
func (l Line) changesNodeState() bool {
	return (l.Number >= firstViewEvent && l.Number <= lastViewEvent) || (l.Number >= firstLifecycleEvent && l.Number <= lastLifecycleEvent)
}

// isAbout reports whether a line is about the request or job with the id, or about a request that
// resumes its stream.
func (l Line) isAbout(id string) bool {
	return l.Fields["request"] == id || l.Fields["job"] == id || l.Fields["resumes"] == id
}

// Numbers of the events about engines that ended while they ran a request. The
// fields content and parts of these events identify what the request contained.
const firstCrashEvent, lastCrashEvent = 8140, 8146

// reportsCrashUnder reports whether a line is about engines that ended while they
// ran a request with one of the contents, or a part of its prompt.
func (l Line) reportsCrashUnder(contents map[string]bool) bool {
	if l.Number < firstCrashEvent || l.Number > lastCrashEvent {
		return false
	}
	parts, _ := l.Fields["parts"].([]any)
	return slices.ContainsFunc(append(parts, l.Fields["content"]), func(digest any) bool {
		text, _ := digest.(string)
		return contents[text]
	})
}

// maxLineBytes is the length limit of a line. Read fails at a longer one.
const maxLineBytes = 1 << 20

// Read reads the log lines of a file. It skips lines that are not events, and any
// text before the JSON of a line.
func Read(source io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
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
	for _, name := range []string{"ts", "event", "node", "msg", "level"} {
		delete(fields, name)
	}
	return line, true
}

// Timeline returns the lines about an id in order of time, together with their
// context. The context is the state changes of the same nodes and the lines of any
// node about engines that ended while they ran a request with the same content, or with
// the part of its prompt that is blocked. State
// changes are included from the duration given by the parameter before ahead of the
// first line about the id. The context ends with the last line about the id. Timeline
// returns nil if no line is about the id.
func Timeline(lines []Line, id string, before time.Duration) []Line {
	var ownLines []Line
	nodes, contents := make(map[string]bool), make(map[string]bool)
	for _, line := range lines {
		if line.isAbout(id) {
			ownLines = append(ownLines, line)
			nodes[line.Node] = true
			for _, field := range []string{"content", "blocked"} {
				if content, present := line.Fields[field].(string); present {
					contents[content] = true
				}
			}
		}
	}
	if len(ownLines) == 0 {
		return nil
	}
	slices.SortStableFunc(ownLines, compareTime)
	from, to := ownLines[0].At.Add(-before), ownLines[len(ownLines)-1].At
	timeline := ownLines
	for _, line := range lines {
		stateChange := line.changesNodeState() && nodes[line.Node] && !line.At.Before(from)
		crashReport := line.reportsCrashUnder(contents) && !line.isAbout(id)
		if (stateChange || crashReport) && !line.At.After(to) {
			timeline = append(timeline, line)
		}
	}
	slices.SortStableFunc(timeline, compareTime)
	return timeline
}

func compareTime(a, b Line) int { return a.At.Compare(b.At) }

// Text formats a timeline with one line per event, with times relative to the first.
func Text(timeline []Line) string {
	var text strings.Builder
	for _, line := range timeline {
		fmt.Fprintf(&text, "%+9.3fs  %-24s %s", line.At.Sub(timeline[0].At).Seconds(), line.Node, line.Message)
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

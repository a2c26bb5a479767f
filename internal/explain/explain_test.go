package explain

import (
	"strings"
	"testing"
	"time"
)

const logs = `built in 1 s
  1.2 n1 {"level":"info","ts":"2026-01-01T00:00:01.2Z","msg":"engine chosen","node":"n1","request":"r1","engine":"e1","event":8103}
{"level":"info","ts":"2026-01-01T00:00:00.9Z","msg":"store lost","node":"n1","table":"op","event":8003}
{"level":"info","ts":"2026-01-01T00:00:00.9Z","msg":"store lost","node":"n2","table":"op","event":8003}
{"level":"info","ts":"2026-01-01T00:00:01.1Z","msg":"routes taken","node":"n1","version":4,"event":8010}
{"level":"info","ts":"2026-01-01T00:00:01.5Z","msg":"request ended","node":"n1","request":"r1","outcome":"failed","event":8102}
{"level":"info","ts":"2026-01-01T00:00:01.4Z","msg":"job written","node":"n2","job":"j1","event":8305}
{"broken
{"ts":"when","event":1}
`

// The story of a stream goes on in the requests that resume it.
func TestStoryOfAStreamIncludesTheRequestsThatResumeIt(t *testing.T) {
	const later = `{"level":"info","ts":"2026-01-01T00:00:02Z","msg":"request ended","node":"n2","request":"r2","resumes":"r1","event":8102}`
	lines, err := Read(strings.NewReader(logs + later))
	if err != nil {
		t.Fatal(err)
	}
	if text := Text(Timeline(lines, "r1", time.Second)); !strings.Contains(text, "request=r2") {
		t.Errorf("the request that resumes the stream is missing in\n%s", text)
	}
}

// The story of a request that is refused for a part of its prompt has the engines that ended under it.
func TestStoryOfABlockedPartIncludesTheEnginesThatEnded(t *testing.T) {
	const blocked = `{"level":"info","ts":"2026-01-01T00:00:01Z","msg":"engine ended under a request","node":"n2","request":"r7","content":"c7","parts":["p1","p2"],"engine":"e9","event":8140}
{"level":"info","ts":"2026-01-01T00:00:02Z","msg":"request refused, its content is blocked","node":"n1","request":"r8","content":"c8","blocked":"p2","event":8143}`
	lines, err := Read(strings.NewReader(blocked))
	if err != nil {
		t.Fatal(err)
	}
	if text := Text(Timeline(lines, "r8", time.Second)); !strings.Contains(text, "engine=e9") {
		t.Errorf("the engine that ended is missing in\n%s", text)
	}
}

func TestStoryIsOrderedAndIncludesNodeState(t *testing.T) {
	lines, err := Read(strings.NewReader(logs))
	if err != nil || len(lines) != 6 {
		t.Fatalf("got %d lines and error %v, want 6 lines", len(lines), err)
	}
	text := Text(Timeline(lines, "r1", time.Second))
	want := []string{"store lost table=op", "routes taken version=4", "engine chosen engine=e1 request=r1", "request ended outcome=failed request=r1"}
	at := 0
	for _, part := range want {
		next := strings.Index(text[at:], part)
		if next < 0 {
			t.Fatalf("%q is missing or out of order in\n%s", part, text)
		}
		at += next
	}
	if strings.Contains(text, "n2") {
		t.Errorf("the story includes another node's line:\n%s", text)
	}
	if text := Text(Timeline(lines, "r1", 0)); strings.Contains(text, "store lost") {
		t.Errorf("the story includes an older line:\n%s", text)
	}
	if story := Timeline(lines, "j1", 0); len(story) != 1 {
		t.Errorf("got %+v for the job, want one line", story)
	}
	if story := Timeline(lines, "nobody", time.Second); story != nil {
		t.Errorf("got %+v for an unknown id, want nil", story)
	}
}

// TestStoryOfRefusedRequestIncludesEngineCrashes checks that the story of a request that
// is refused for its content includes the engine crashes under that content, at any node
// and under any request id, up to the refusal.
func TestStoryOfRefusedRequestIncludesEngineCrashes(t *testing.T) {
	lines, err := Read(strings.NewReader(`
{"ts":"2026-01-01T00:00:01Z","msg":"engine ended under a request","node":"n1","request":"r1","content":"c1","engine":"e1","event":8140}
{"ts":"2026-01-01T00:00:02Z","msg":"engine ended under a request","node":"n2","request":"r2","content":"c1","engine":"e2","event":8140}
{"ts":"2026-01-01T00:00:02Z","msg":"engine ended under a request","node":"n2","request":"r3","content":"c2","engine":"e2","event":8140}
{"ts":"2026-01-01T00:00:03Z","msg":"request refused, its content is blocked","node":"n3","request":"r4","content":"c1","event":8143}
{"ts":"2026-01-01T00:00:04Z","msg":"engine ended under a request","node":"n1","request":"r5","content":"c1","engine":"e5","event":8140}
`))
	if err != nil {
		t.Fatal(err)
	}
	text := Text(Timeline(lines, "r4", time.Second))
	for _, part := range []string{"engine=e1", "engine=e2 request=r2", "request=r4"} {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in\n%s", part, text)
		}
	}
	for _, part := range []string{"request=r3", "engine=e5"} {
		if strings.Contains(text, part) {
			t.Errorf("the story includes %q:\n%s", part, text)
		}
	}
	if failed := Summarize(append(lines, Line{At: lines[3].At.Add(time.Second), Node: "n3", Number: eventRequestEnded, Fields: map[string]any{"request": "r4", "route": "a", "outcome": "failed"}})).Failed; len(failed) != 1 || failed[0].Label != "failed, refused: request_ends_engines" {
		t.Errorf("got %+v", failed)
	}
}

// The story of an item under which engines ended has the ends, its pauses and the operator's block that holds
// it, and not the ends under other items.
func TestStoryOfAnItemIncludesItsPauses(t *testing.T) {
	lines, err := Read(strings.NewReader(`
{"ts":"2026-01-01T00:00:01Z","msg":"engine ended under a request","node":"n1","request":"i1","content":"c1","item":true,"engine":"e1","event":8140}
{"ts":"2026-01-01T00:00:01Z","msg":"engine ended under a request","node":"n1","request":"i2","content":"c2","item":true,"engine":"e1","event":8140}
{"ts":"2026-01-01T00:00:02Z","msg":"item pauses, engines ended under it","node":"n2","job":"j1","request":"i1","content":"c1","crashes":2,"for":0.5,"event":8148}
{"ts":"2026-01-01T00:00:03Z","msg":"item held or released","node":"n2","job":"j1","request":"i1","content":"c1","held":true,"blocked":"c1","event":8147}
`))
	if err != nil {
		t.Fatal(err)
	}
	text := Text(Timeline(lines, "i1", time.Second))
	for _, part := range []string{"engine=e1 item=true request=i1", "crashes=2 for=0.5", "held=true"} {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in\n%s", part, text)
		}
	}
	if strings.Contains(text, "i2") {
		t.Errorf("the story includes another item:\n%s", text)
	}
}

func TestTooLongLineIsAnError(t *testing.T) {
	if _, err := Read(strings.NewReader(strings.Repeat("x", maxLineBytes+1))); err == nil {
		t.Error("a line over the length limit was skipped without an error")
	}
}

// TestStoryNamesIncarnations checks that a story includes the restart of the request's
// engine under its id, but not the restart of another engine after the request ended.
func TestStoryNamesIncarnations(t *testing.T) {
	lines, err := Read(strings.NewReader(`
{"ts":"2026-01-01T00:00:01.0Z","msg":"engine chosen","node":"n1","request":"r1","engine":"e1@1000","attempt":1,"event":8103}
{"ts":"2026-01-01T00:00:01.1Z","msg":"attempt ended","node":"n1","request":"r1","engine":"e1@1000","outcome":"failed","event":8104}
{"ts":"2026-01-01T00:00:01.2Z","msg":"engine started again under its id","node":"n1","engine":"e1@2000","former":"e1@1000","event":8026}
{"ts":"2026-01-01T00:00:01.3Z","msg":"engine chosen","node":"n1","request":"r1","engine":"e1@2000","attempt":2,"event":8103}
{"ts":"2026-01-01T00:00:01.4Z","msg":"request ended","node":"n1","request":"r1","outcome":"completed","event":8102}
{"ts":"2026-01-01T00:00:01.5Z","msg":"engine started again under its id","node":"n1","engine":"e2@2000","former":"e2@1000","event":8026}
`))
	if err != nil {
		t.Fatal(err)
	}
	text := Text(Timeline(lines, "r1", time.Second))
	for _, part := range []string{"attempt=1 engine=e1@1000", "engine=e1@2000 former=e1@1000", "attempt=2 engine=e1@2000"} {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in\n%s", part, text)
		}
	}
	if strings.Contains(text, "e2@2000") {
		t.Errorf("the story includes a restart after the request ended:\n%s", text)
	}
}

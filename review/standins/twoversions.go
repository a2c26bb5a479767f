package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

const (
	streams        = 8
	streamEvents   = 36
	streamDeadline = 8 * time.Second
	// drainTime is how long an engine that is leaving serves on.
	drainTime = 2200 * time.Millisecond
	// toleratedStreams is the most streams that may hold events of two versions.
	toleratedStreams = 2
)

// twoVersions kills all nodes, which start again, while the last engines of a software version leave as planned. Clients take their
// streams up again.
func twoVersions(ctx context.Context, f *fleet, trouble bool) error {
	f.configure(1, []route{{"online", "streaming", "llm", map[string]any{"resumable": true, "timeout_ms": streamDeadline.Milliseconds()}}})
	if err := f.startNodes(ctx, 3, 2); err != nil {
		return err
	}
	if err := f.addVersion("v1", 150*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(settleTime)
	versions := make([]string, streams)
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() { versions[i] = f.takeUp(ctx, i) })
	}
	time.Sleep(300 * time.Millisecond)
	former := f.engines
	if err := f.addVersion("v2", 50*time.Millisecond); err != nil {
		return err
	}
	for _, leaving := range former {
		f.list(leaving, "draining")
	}
	time.Sleep(drainTime)
	if trouble {
		for _, struck := range f.nodes {
			if err := f.kill(struck); err != nil {
				return err
			}
		}
	}
	for _, leaving := range former {
		leaving.crash()
		f.store.Remove("servers", "", leaving.ID)
	}
	f.log.note("the engines of v1 have left")
	if trouble {
		if err := os.WriteFile(filepath.Join(f.folder, "restart"), nil, 0o600); err != nil {
			return err
		}
	}
	group.Wait()
	return f.judgeVersions(versions)
}

// addVersion starts two engines of a software version.
func (f *fleet) addVersion(version string, pace time.Duration) error {
	for i := range 2 {
		if err := f.addEngine(fmt.Sprintf("%s-%d", version, i), "llm", "z0", "", streamEvents, pace); err != nil {
			return err
		}
		added := f.engines[len(f.engines)-1]
		added.Software = version
		f.list(added, "ready")
	}
	return nil
}

// takeUp plays a client that takes its stream up again at the next node until it is whole or its time is up. It returns the software
// versions of the engines that wrote the stream.
func (f *fleet) takeUp(ctx context.Context, number int) string {
	start := time.Now()
	first, last := fmt.Sprintf("stream-%d-0", number), ""
	var text strings.Builder
	for try := 0; time.Since(start) < streamDeadline-time.Second; try++ {
		asked := f.nodes[(number+try)%len(f.nodes)]
		call := platformtest.Call{
			Node: asked.address, Method: http.MethodPost, Path: "/online/x", ID: fmt.Sprintf("stream-%d-%d", number, try), Body: "prompt",
			Deadline: streamDeadline - time.Since(start), LastEvent: last,
		}
		if last != "" {
			call.Resumes = first
		}
		reply := platformtest.Send(ctx, call)
		f.log.note("client: %s, Last-Event-Id %q, at %s: %d, %d bytes, complete %t", call.ID, last, asked.name, reply.Status, len(reply.Body), reply.Err == nil)
		if reply.Status == http.StatusOK {
			whole, newest := wholeEvents(reply.Body)
			text.WriteString(whole)
			if newest != "" {
				last = newest
			}
			if reply.Err == nil {
				break
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	_, versions := platformtest.SplitSoftware(text.String())
	return strings.Join(versions, " and ")
}

// wholeEvents returns the whole events of an answer, and the id of the last one.
func wholeEvents(body string) (whole, last string) {
	end := strings.LastIndex(body, "\n\n")
	if end < 0 {
		return "", ""
	}
	whole = body[:end+len("\n\n")]
	for line := range strings.SplitSeq(whole, "\n") {
		if id, found := strings.CutPrefix(line, "id: "); found {
			last = id
		}
	}
	return whole, last
}

// judgeVersions applies the rule about streams that hold events of two versions.
func (f *fleet) judgeVersions(versions []string) error {
	mixed := 0
	for number, known := range versions {
		f.log.say("stream %d was written by %s", number, known)
		if strings.Contains(known, " and ") {
			mixed++
		}
	}
	if mixed > toleratedStreams {
		return fmt.Errorf("%w: ORDER, %d streams hold events of two software versions", errBroken, mixed)
	}
	return nil
}

package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

const (
	// usualTokens and oversizedTokens are the prompts of the first job's item, without and with the disruption. An engine has
	// memory for memoryTokens.
	usualTokens     = 900
	oversizedTokens = 120000
	// largeJobItems is the most items of a job of minutewell-ring.
	largeJobItems = 40
)

// oversized hands in an item that is larger than an engine's memory, and then jobs of the usual size. No engine has anything else to do.
func oversized(ctx context.Context, f *fleet, trouble bool) error {
	f.configure(1, []route{{"online", "streaming", "llm", map[string]any{"resumable": true}}, batchRoute("llm")})
	if err := f.startNodes(ctx, 3, 2); err != nil {
		return err
	}
	for i := range 4 {
		if err := f.addEngine(fmt.Sprintf("i-%d", i), "llm", fmt.Sprintf("z%d", i%2), "", 20, 50*time.Millisecond); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	tokens := usualTokens
	if trouble {
		tokens = oversizedTokens
		if given, err := strconv.Atoi(os.Getenv("TOKENS")); err == nil {
			tokens = given
		}
	}
	first := &job{id: "job-first", items: []string{"item-first"}, listed: make(map[string]time.Time)}
	call := platformtest.SubmitJob(f.nodes[0].address, first.id, nil)
	call.Body = bodyOfOne(first.items[0], tokens)
	f.log.note("client: %s has one item with a prompt of %d tokens", first.id, tokens)
	if err := f.send(ctx, first, f.nodes[0], call); err != nil {
		return err
	}
	var jobs []*job
	for i, entered := range f.nodes {
		made, err := f.submit(ctx, entered, i, largeJobItems)
		if err != nil {
			return err
		}
		jobs = append(jobs, made)
	}
	end := time.Now()
	f.log.note("the traffic has ended")
	f.readUntil(ctx, jobs, end.Add(finishTime))
	err := f.judge(jobs, end) // the first job is not judged: no engine can do its item
	if err != nil {
		f.log.note("the result stands; the jobs are read on until they expire")
		f.readUntil(ctx, append(jobs, first), end.Add(expiry))
	}
	return err
}

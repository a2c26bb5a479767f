package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

// keepAlive is what the engines announce for idle connections.
const keepAlive = "timeout=30"

// silentEngines lets all open connections to the engines fall silent when the traffic ends, right after jobs were accepted.
func silentEngines(ctx context.Context, f *fleet, trouble bool) error {
	for i := range 4 {
		if err := f.addEngine(fmt.Sprintf("i-%d", i), "llm", fmt.Sprintf("z%d", i%2), keepAlive, 12, 40*time.Millisecond); err != nil {
			return err
		}
	}
	f.configure(1, []route{{"online", "streaming", "llm", map[string]any{"resumable": true}}, batchRoute("llm")})
	if err := f.startNodes(ctx, 3, 2); err != nil {
		return err
	}
	time.Sleep(settleTime)
	for round := range 2 {
		for _, entered := range f.nodes {
			f.pressOnline(ctx, entered, round, len(f.engines)*slotsPerEngine)
		}
	}
	var jobs []*job
	for i, entered := range f.nodes {
		made, err := f.submit(ctx, entered, i, itemsPerJob)
		if err != nil {
			return err
		}
		jobs = append(jobs, made)
	}
	end := time.Now()
	f.log.note("the traffic has ended")
	if trouble {
		for _, known := range f.engines {
			f.log.note("%d open connections to engine %s fall silent", known.link.silence(), known.ID)
		}
	}
	f.readUntil(ctx, jobs, end.Add(finishTime))
	return f.judge(jobs, end)
}

// pressOnline sends requests for streams to a node at the same time, and waits for their answers.
func (f *fleet) pressOnline(ctx context.Context, entered *node, round, count int) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			id := fmt.Sprintf("online-%s-%d-%d", entered.name, round, i)
			reply := platformtest.Send(ctx, platformtest.Call{
				Node: entered.address, Method: http.MethodPost, Path: "/online/x", ID: id, Body: "prompt of " + id, Deadline: 4 * time.Second,
				Prompt: fmt.Sprintf("a%x:5,b%x:15", i%8, i),
			})
			f.log.note("client: %s to %s: %d, whole %t", id, entered.name, reply.Status, reply.Body == platformtest.Stream(id, f.engines[0].Events))
		})
	}
	group.Wait()
}

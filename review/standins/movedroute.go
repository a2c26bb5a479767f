package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// lapseTime is how long an entry stays after its engine's last heartbeat: three of 1,200 ms.
	lapseTime        = 3600 * time.Millisecond
	enginesOfService = 4
)

// movedRoute has all engines of a service crash for good. Jobs are accepted meanwhile, and then the operator moves their route to another
// service, whose engines have nothing to do.
func movedRoute(ctx context.Context, f *fleet, trouble bool) error {
	for i := range 2 * enginesOfService {
		service := "first"
		if i >= enginesOfService {
			service = "second"
		}
		if err := f.addEngine(fmt.Sprintf("i-%d", i), service, fmt.Sprintf("z%d", i%2), "", 12, 40*time.Millisecond); err != nil {
			return err
		}
	}
	routes := func(service string) []route {
		return []route{
			{"online", "streaming", "second", map[string]any{"resumable": true}},
			{"other", "streaming", "first", map[string]any{"resumable": true}},
			batchRoute(service),
		}
	}
	f.configure(1, routes("first"))
	if err := f.startNodes(ctx, 3, 2); err != nil {
		return err
	}
	time.Sleep(settleTime)
	struck := f.engines[:enginesOfService]
	if trouble {
		for _, known := range struck {
			f.log.note("engine %s of service %s crashes for good", known.ID, known.service)
			known.crash()
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
	f.readUntil(ctx, jobs, time.Now().Add(lapseTime))
	if trouble {
		for _, known := range struck {
			f.log.note("the entry of engine %s lapses", known.ID)
			f.store.Remove("servers", "", known.ID)
		}
	}
	f.readUntil(ctx, jobs, time.Now().Add(settleTime))
	f.configure(2, routes("second"))
	f.readUntil(ctx, jobs, time.Now().Add(settleTime))
	end := time.Now()
	f.log.note("the traffic has ended")
	f.readUntil(ctx, jobs, end.Add(finishTime))
	err := f.judge(jobs, end)
	if err != nil {
		f.log.note("the result stands; the jobs are read on until they expire")
		f.readUntil(ctx, jobs, end.Add(expiry))
	}
	return err
}

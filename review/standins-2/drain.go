package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// The course of the play with a clock that is set back.
const (
	drainNodes   = 3
	drainEngines = 6
	// busyInterval is the time between two requests at a load that keeps all engines busy.
	busyInterval = 8 * time.Millisecond
	// clockLead is by how much the clock of the engine's machine is ahead at first.
	clockLead = 2 * time.Second
	// crashAfter is how long after its start the engine crashes, and backAfter how long it is away.
	crashAfter, backAfter = 500 * time.Millisecond, 700 * time.Millisecond
	// drainTime is drain_ms, and servesOn how long the leaving engine serves after the store has taken its entry.
	drainTime = 2 * time.Second
	servesOn  = 7 * time.Second
)

// playDrain lets an engine join whose clock is ahead. The clock is set right, the engine crashes and starts again, and
// some seconds later it leaves as planned. It returns whether the engine got no request later than drain_ms after that.
func playDrain(ctx context.Context, folder string, trouble bool) (held bool, err error) {
	made, err := newFleet(ctx, folder, fleetSize{nodes: drainNodes, engines: drainEngines})
	if err != nil {
		return false, err
	}
	if err := made.configure(streamRoute("fault-alert", host, "/lohu930/")); err != nil {
		return false, err
	}
	if err := made.awaitReady(ctx); err != nil {
		return false, err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	clients.Go(func() { made.sendSound(load, busyInterval, &clients) })
	time.Sleep(settleTime)

	joined, err := newEngine("i-99", zones[0], made.store, made.record)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex // guards the variables below
	var leftAt time.Time
	runs, late := 0, 0
	joined.crashesOn = func(*http.Request, string) bool {
		mu.Lock()
		defer mu.Unlock()
		runs++
		if !leftAt.IsZero() && time.Since(leftAt) > drainTime {
			late++
		}
		return false
	}
	if trouble {
		joined.clockLead = clockLead
	}
	if err := joined.start(ctx, "7"); err != nil {
		return false, err
	}
	time.Sleep(crashAfter)
	joined.clockLead = 0
	joined.end()
	time.Sleep(backAfter)
	if err := joined.start(ctx, "7"); err != nil {
		return false, err
	}
	time.Sleep(settleTime + contactTime)
	joined.drain()
	mu.Lock()
	leftAt = time.Now()
	before := runs
	mu.Unlock()
	time.Sleep(servesOn)
	joined.end()
	stop()
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	made.record.add("engine %s ran %d requests before it left, and %d later than drain_ms after that", joined.id, before, late)
	return late == 0, nil
}

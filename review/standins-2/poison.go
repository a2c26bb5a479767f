package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// The course of the play with requests that crash engines.
const (
	poisonNodes   = 3
	poisonEngines = 12
	// contactTime is contact_ms.
	contactTime = 3 * time.Second
	// engineBack is how long a crashed engine is away.
	engineBack     = 3 * time.Second
	poisonInterval = 700 * time.Millisecond
	poisonTime     = 24 * time.Second
	// soundInterval is the time between two sound requests.
	soundInterval = 100 * time.Millisecond
	// maxLateRuns is the number of requests that may still reach engines contactTime after the deciding crash.
	maxLateRuns = 3
)

// crashes counts the runs that crash engines.
type crashes struct {
	fleet    *fleet
	deciding int // the number of the crash after which contactTime begins
	crash    bool
	dark     bool // a crashed engine says nothing until it starts again, like a machine without power
	ctx      context.Context

	mu        sync.Mutex // guards the fields below
	runs      int
	decidedAt time.Time
	late      int
}

// handle handles a run of a request that crashes its engine. The engine is back after engineBack.
func (c *crashes) handle(e *engine, request *http.Request) {
	c.mu.Lock()
	c.runs++
	number := c.runs
	if number == c.deciding {
		c.decidedAt = time.Now()
	}
	late := !c.decidedAt.IsZero() && time.Since(c.decidedAt) > contactTime
	if late {
		c.late++
	}
	c.mu.Unlock()
	c.fleet.record.add("run %d of a request that crashes engines, %s %s%s at %s, later than contact_ms after crash %d: %t",
		number, request.Header.Get("X-Request-Id"), request.Host, request.RequestURI, e.id, c.deciding, late)
	if !c.crash {
		return
	}
	if c.dark {
		e.goDark()
	} else {
		e.end()
	}
	time.AfterFunc(engineBack, func() {
		if c.dark {
			e.end()
		}
		if err := e.start(c.ctx, "7"); err != nil {
			c.fleet.record.add("engine %s can't start: %v", e.id, err)
		}
	})
}

// arm makes all engines crash under the requests that the function reports.
func (c *crashes) arm(isPoison func(request *http.Request, body string) bool) {
	for _, next := range c.fleet.engines {
		next.crashesOn = func(request *http.Request, body string) bool {
			if !isPoison(request, body) {
				return false
			}
			c.handle(next, request)
			return c.crash
		}
	}
}

// verdict returns whether the rule held.
func (c *crashes) verdict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.crash {
		c.fleet.record.add("%d runs, none of which crashed its engine", c.runs)
		return true
	}
	c.fleet.record.add("%d runs crashed their engines; %d of them were sent later than contact_ms after crash %d; allowed are %d", c.runs, c.late, c.deciding, maxLateRuns)
	return c.late <= maxLateRuns
}

// poisonBody is the body of the request that crashes engines.
const poisonBody = "a prompt that crashes each engine that begins to run it"

// playPoison sends a request that crashes engines again and again, with the same path and body. SAME_QUERY=1 lets its
// query stay the same, too.
func playPoison(ctx context.Context, folder string, trouble bool) (held bool, err error) {
	made, err := newFleet(ctx, folder, fleetSize{nodes: poisonNodes, engines: poisonEngines})
	if err != nil {
		return false, err
	}
	counted := &crashes{fleet: made, deciding: 3, crash: trouble, dark: os.Getenv("DARK") != "", ctx: ctx}
	counted.arm(func(_ *http.Request, body string) bool { return body == poisonBody })
	if err := made.configure(streamRoute("fault-alert", host, "/lohu930/")); err != nil {
		return false, err
	}
	if err := made.awaitReady(ctx); err != nil {
		return false, err
	}
	sound, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	clients.Go(func() { made.sendSound(sound, soundInterval, &clients) })
	time.Sleep(settleTime)
	began := time.Now()
	for try := 1; time.Since(began) < poisonTime; try++ {
		path := "/lohu930/2f?try=1"
		if os.Getenv("SAME_QUERY") == "" {
			path = fmt.Sprintf("/lohu930/2f?try=%d", try)
		}
		id := newRequestID()
		clients.Go(func() {
			made.once(made.nodes[try%len(made.nodes)], attempt{id: id, host: host, path: path, prompt: "77aa0b13:646", body: poisonBody})
		})
		time.Sleep(poisonInterval)
	}
	stop()
	clients.Wait()
	return counted.verdict(), nil
}

// poisonPart is the part of a prompt that crashes engines.
const poisonPart = "bad0c0de"

// otherHost is the host of a second route to the same engines.
const otherHost = "wuny96.example"

// playPoisonPart sends requests with a part of a prompt that crashes engines, no two alike, first on one route and then
// on another one. SAME_HOST=1 lets all of them go to the first route.
func playPoisonPart(ctx context.Context, folder string, trouble bool) (held bool, err error) {
	made, err := newFleet(ctx, folder, fleetSize{nodes: poisonNodes, engines: poisonEngines})
	if err != nil {
		return false, err
	}
	counted := &crashes{fleet: made, deciding: 5, crash: trouble, ctx: ctx}
	counted.arm(func(request *http.Request, _ string) bool {
		return strings.Contains(request.Header.Get("X-Prompt-Prefix"), poisonPart)
	})
	if err := made.configure(streamRoute("fault-alert", host, "/lohu930/"), streamRoute("service-digest", otherHost, "/bopu901/")); err != nil {
		return false, err
	}
	if err := made.awaitReady(ctx); err != nil {
		return false, err
	}
	sound, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	clients.Go(func() { made.sendSound(sound, soundInterval, &clients) })
	time.Sleep(settleTime)
	began := time.Now()
	for number := 0; time.Since(began) < poisonTime; number++ {
		id := newRequestID()
		call := attempt{id: id, host: host, path: "/lohu930/2f", prompt: "5c1e07a2:155," + poisonPart + ":200," + id + ":291", body: "prompt of " + id}
		if time.Since(began) > poisonTime/2 && os.Getenv("SAME_HOST") == "" {
			call.host, call.path = otherHost, "/bopu901/2f"
		}
		clients.Go(func() { made.once(made.nodes[number%len(made.nodes)], call) })
		time.Sleep(poisonInterval)
	}
	stop()
	clients.Wait()
	return counted.verdict(), nil
}

// once sends one client attempt.
func (f *fleet) once(to *node, call attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTime)
	defer cancel()
	f.try(ctx, to, call)
}

// sharedParts is the number of first parts of the prompts of sound requests.
const sharedParts = 8

// sendSound sends sound requests, a given time apart, until ctx ends.
func (f *fleet) sendSound(ctx context.Context, interval time.Duration, clients *sync.WaitGroup) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			id := newRequestID()
			clients.Go(func() {
				f.once(f.nodes[number%len(f.nodes)], attempt{id: id, host: host, path: "/lohu930/2f", prompt: fmt.Sprintf("5c1e07a%d:155,%s:491", number%sharedParts, id), body: "prompt of " + id})
			})
		}
	}
}

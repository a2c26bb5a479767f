package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The course of the play with a tenant's limit.
const (
	quotaNodes   = 8
	quotaEngines = 24
	// The tenant's limit, and the terms of the rule: quota_window_s, quota_overrun and quota_slack.
	limitPerSecond = 200
	limitBurst     = 200
	quotaWindow    = 5 * time.Second
	quotaOverrun   = 0.1
	quotaSlack     = 20
	// quietTime is how long the tenant sends nothing before a round, so that its burst is whole.
	quietTime = 3 * time.Second
	// freezeTime is how long a machine stands still.
	freezeTime = 380 * time.Millisecond
	// The tenant sends burstRequests at once to the machine of the round, and otherRequests to each other node.
	burstRequests = 220
	otherRequests = 40
	// steadyTime is how long it goes on sending after that, and steadyInterval the time between two requests.
	steadyTime     = 5500 * time.Millisecond
	steadyInterval = 4 * time.Millisecond
	shortEvents    = 2
	// burstStep is the number of requests of a burst that are sent without a pause of a millisecond.
	burstStep = 4
)

// tenantKey is the key of the tenant.
const tenantKey = "wyy7yx5x42q492cqf75r"

// arrivals holds when the tenant's requests were sent and when they began to run at an engine.
type arrivals struct {
	mu   sync.Mutex // guards the rest
	sent map[string]time.Time
	ran  []counted
}

type counted struct{ sent, arrived time.Time }

func (a *arrivals) send(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent[id] = time.Now()
}

func (a *arrivals) arrive(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if sent, known := a.sent[id]; known {
		a.ran = append(a.ran, counted{sent: sent, arrived: time.Now()})
	}
}

// most returns the largest number of requests that were sent and arrived within one window, and clears them.
func (a *arrivals) most() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortFunc(a.ran, func(x, y counted) int { return x.sent.Compare(y.sent) })
	most := 0
	for i, first := range a.ran {
		within := 0
		for _, next := range a.ran[i:] {
			if next.arrived.Sub(first.sent) <= quotaWindow {
				within++
			}
		}
		most = max(most, within)
	}
	a.ran, a.sent = nil, make(map[string]time.Time)
	return most
}

// playQuota lets a tenant send its burst, and more, at the moment at which one machine stands still for a moment: each
// machine in turn, since the nodes don't tell which of them counts. It returns whether the limit was kept.
func playQuota(ctx context.Context, folder string, trouble bool) (held bool, err error) {
	made, err := newFleet(ctx, folder, fleetSize{nodes: quotaNodes, engines: quotaEngines, tenants: true})
	if err != nil {
		return false, err
	}
	counts := &arrivals{sent: make(map[string]time.Time)}
	for _, next := range made.engines {
		next.crashesOn = func(request *http.Request, _ string) bool {
			counts.arrive(request.Header.Get("X-Request-Id"))
			return false
		}
	}
	limited := streamRoute("fault-alert", host, "/lohu930/")
	limited["public"] = false
	if err := made.configureTenants([]map[string]any{{
		"name": "kaje80", "keys": []string{tenantKey}, "priority": 1, "rate_per_s": limitPerSecond, "burst": limitBurst,
	}}, limited); err != nil {
		return false, err
	}
	if err := made.awaitReady(ctx); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	allowed := (limitPerSecond*quotaWindow.Seconds()+limitBurst)*(1+quotaOverrun) + quotaSlack
	worst := 0
	for _, frozen := range made.nodes {
		time.Sleep(quietTime)
		if trouble {
			process, err := made.process(folder, frozen)
			if err != nil {
				return false, err
			}
			if err := freeze(process); err != nil {
				return false, err
			}
			made.record.add("%s stands still", frozen.name)
		}
		made.sendAtLimit(ctx, frozen, counts)
		most := counts.most()
		worst = max(worst, most)
		made.record.add("with %s: %d requests ran that were sent and arrived within %s; allowed are %.0f", frozen.name, most, quotaWindow, allowed)
	}
	made.record.add("at most %d requests ran that were sent and arrived within %s; allowed are %.0f", worst, quotaWindow, allowed)
	return float64(worst) <= allowed, nil
}

// process returns the id of a node's process, which the script has written.
func (f *fleet) process(folder string, of *node) (int, error) {
	content, err := os.ReadFile(filepath.Join(folder, of.name+".pid"))
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(string(content)))
}

// freeze stops a process and lets it go on after freezeTime.
func freeze(process int) error {
	if err := syscall.Kill(process, syscall.SIGSTOP); err != nil {
		return err
	}
	time.AfterFunc(freezeTime, func() { _ = syscall.Kill(process, syscall.SIGCONT) }) // fails only if the process has ended
	return nil
}

// sendAtLimit sends a burst to one node and to the others, and then requests to all at a rate above the limit.
func (f *fleet) sendAtLimit(ctx context.Context, first *node, counts *arrivals) {
	var clients sync.WaitGroup
	for i := range burstRequests {
		for _, to := range f.nodes {
			if to == first || i < otherRequests {
				clients.Go(func() { f.sendLimited(ctx, to, counts) })
			}
		}
		if i%burstStep == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	ticker := time.NewTicker(steadyInterval)
	defer ticker.Stop()
	for began, number := time.Now(), 0; time.Since(began) < steadyTime; number++ {
		<-ticker.C
		clients.Go(func() { f.sendLimited(ctx, f.nodes[number%len(f.nodes)], counts) })
	}
	clients.Wait()
}

// sendLimited sends one request of the tenant.
func (f *fleet) sendLimited(ctx context.Context, to *node, counts *arrivals) {
	ctx, cancel := context.WithTimeout(ctx, clientTime)
	defer cancel()
	id := newRequestID()
	counts.send(id)
	f.try(ctx, to, attempt{id: id, host: host, path: "/lohu930/2f", prompt: fmt.Sprintf("%s:20", id), body: "x", key: tenantKey, events: shortEvents})
}

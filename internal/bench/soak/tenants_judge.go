package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Bounds of keys: a node that has not confirmed its configuration for confirmWithin serves no
// key, whatever struck it. The slack is for a confirmation's way.
const (
	confirmWithin = 5 * time.Second
	confirmSlack  = 250 * time.Millisecond
)

// Bounds of limits: all nodes together stay within the limit of a window by this share and
// this many requests.
const (
	limitSeconds = 5
	limitWindow  = limitSeconds * time.Second
	limitOverrun = 0.1
	limitSlack   = 20
)

// mostInWindow is how many requests of the pressed tenant may run in any window.
const mostInWindow int = (pressedPerSecond*limitSeconds+pressedBurst)*(1+limitOverrun) + limitSlack

// tenantOverLimit stands in the answer to a request beyond its tenant's limit.
const tenantOverLimit = "tenant_over_limit"

// keyedRequest is a request under a key, as its caller saw it.
type keyedRequest struct {
	requestRecord
	node, tenant, key string
	sent, answered    time.Time
	inTouch           bool // as of a resultRead
}

// TenantsReport is what came of requests under keys.
type TenantsReport struct {
	Sent         int            `json:"sent"` // of the tenant whose keys come and go
	Statuses     map[string]int `json:"statuses"`
	Withdrawn    int            `json:"withdrawn"` // sent so late under a withdrawn key that none may run
	PressedSent  int            `json:"pressed_sent"`
	Pressed      map[string]int `json:"pressed_statuses"`
	PressedRuns  int            `json:"pressed_runs"`
	MostInWindow int            `json:"most_in_window"` // requests of the pressed tenant
	Allowed      int            `json:"allowed_in_window"`
}

// answeredKeyed takes what the caller of a request under a key saw.
func (j *judge) answeredKeyed(request keyedRequest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.keyed = append(j.keyed, request)
	j.judgeAnswer(request.requestRecord)
}

// concludeKeyed judges the requests under keys, and gives the runs of others.
func (j *judge) concludeKeyed(runs []engineRun, ring *keyring) []engineRun {
	j.mu.Lock()
	defer j.mu.Unlock()
	byID := make(map[string][]engineRun)
	for _, run := range runs {
		byID[run.run.ID] = append(byID[run.run.ID], run)
	}
	for _, request := range j.keyed {
		own := byID[request.id]
		j.concludeRequest(request.requestRecord, own)
		j.judgeKey(request, own, ring)
		j.judgeTenantShown(request, own)
		delete(byID, request.id)
	}
	j.judgeLimit(runs)
	others := make([]engineRun, 0, len(runs))
	for _, run := range runs {
		if byID[run.run.ID] != nil {
			others = append(others, run)
		}
	}
	return others
}

// judgeKey judges what became of a request by when its key came and went; the caller holds mu.
func (j *judge) judgeKey(request keyedRequest, runs []engineRun, ring *keyring) {
	if request.tenant != rotatedTenant {
		return
	}
	j.tenants.Sent++
	j.tenants.Statuses[statusName(request.reply)]++
	times, held := ring.timesOf(request.key)
	if !held {
		if len(runs) > 0 {
			j.violateLocked("unknown_keys_run_nothing", request.id, fmt.Sprintf("%s: ran at %s", request.node, runs[0].engine))
		}
		return
	}
	j.judgeWithdrawn(request, runs, times)
	refused := request.reply.Err == nil && request.reply.Status == http.StatusUnauthorized
	inForceAll := request.inTouch && !times.acknowledged.IsZero() && request.sent.Sub(times.acknowledged) > inForce
	stillHeld := times.withdrawing.IsZero() || request.answered.Before(times.withdrawing)
	if refused && inForceAll && stillHeld {
		j.violateLocked("held_keys_are_known", request.id, fmt.Sprintf("%s: %s, %v after it came", request.node, request.key, request.sent.Sub(times.acknowledged)))
	}
	if request.reply.Err == nil && strings.Contains(request.reply.Body, tenantOverLimit) {
		j.violateLocked("only_limits_limit", request.id, request.node+": a tenant without a limit is over it")
	}
}

// judgeWithdrawn asks that nothing runs under a key that went; the caller holds mu.
func (j *judge) judgeWithdrawn(request keyedRequest, runs []engineRun, times keyTimes) {
	if times.withdrawn.IsZero() {
		return
	}
	since := request.sent.Sub(times.withdrawn)
	bound := confirmWithin + confirmSlack
	if request.inTouch {
		bound = inForce
	}
	if since <= bound {
		return
	}
	j.tenants.Withdrawn++
	if len(runs) > 0 {
		j.violateLocked("withdrawn_keys_run_nothing", request.id, fmt.Sprintf(
			"%s: %s, sent %v after it went, in touch: %v, ran at %s", request.node, request.key, since, request.inTouch, runs[0].engine))
	}
}

// judgeTenantShown asks that engines see the tenant's name and no key; the caller holds mu.
func (j *judge) judgeTenantShown(request keyedRequest, runs []engineRun) {
	for _, run := range runs {
		if run.run.Credential != "" || run.run.Tenant != request.tenant {
			j.violateLocked("engines_see_the_tenant_and_no_key", request.id, fmt.Sprintf("tenant %q, key %q", run.run.Tenant, run.run.Credential))
		}
	}
}

// limitedRun is when a request was sent and first reached an engine.
type limitedRun struct{ sent, began time.Time }

// judgeLimit asks that in no window more requests of the pressed tenant were sent and ran than
// its limit allows; the caller holds mu.
func (j *judge) judgeLimit(runs []engineRun) {
	began := make(map[string]time.Time)
	for _, run := range runs {
		if first, ran := began[run.run.ID]; !ran || run.run.Began.Before(first) {
			began[run.run.ID] = run.run.Began
		}
	}
	var ran []limitedRun
	for _, request := range j.keyed {
		if request.tenant != pressedTenant {
			continue
		}
		j.tenants.PressedSent++
		j.tenants.Pressed[statusName(request.reply)]++
		if at, reached := began[request.id]; reached {
			ran = append(ran, limitedRun{sent: request.sent, began: at})
		}
	}
	most, from := mostTogether(ran)
	j.tenants.PressedRuns, j.tenants.MostInWindow, j.tenants.Allowed = len(ran), most, mostInWindow
	if most > mostInWindow {
		j.violateLocked("limits_hold", pressedTenant, fmt.Sprintf("%d requests from %v on, allowed are %d in %v", most, from.Sub(j.started), mostInWindow, limitWindow))
	}
}

// mostTogether gives the most requests that were sent and ran within one window, and where
// that window begins.
func mostTogether(ran []limitedRun) (most int, from time.Time) {
	slices.SortFunc(ran, func(a, b limitedRun) int { return cmp.Compare(a.sent.UnixNano(), b.sent.UnixNano()) })
	for i, first := range ran {
		count := 0
		for _, other := range ran[i:] {
			if other.began.Sub(first.sent) <= limitWindow {
				count++
			}
		}
		if count > most {
			most, from = count, first.sent
		}
	}
	return most, from
}

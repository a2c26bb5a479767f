package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Bounds for keys. A node that has not confirmed its configuration for confirmWithin accepts no
// key, whatever faults affect it. confirmSlack allows for the transmission of a confirmation.
const (
	confirmWithin = 5 * time.Second
	confirmSlack  = 250 * time.Millisecond
)

// Bounds for limits. All nodes together may exceed the limit of a window by limitOverrun, as a
// share of it, plus limitSlack requests.
const (
	limitSeconds = 5
	limitWindow  = limitSeconds * time.Second
	limitOverrun = 0.1
	limitSlack   = 20
)

// maxInWindow is the number of requests of pressedTenant that may run in any window.
const maxInWindow int = (pressedPerSecond*limitSeconds+pressedBurst)*(1+limitOverrun) + limitSlack

// tenantOverLimit is in the answer to a request that exceeds its tenant's limit.
const tenantOverLimit = "tenant_over_limit"

// keyedRequest is a request with a key, as its caller saw it.
type keyedRequest struct {
	requestRecord
	node, tenant, key string
	sent, answered    time.Time
	undisturbed       bool // see resultRead
}

// TenantsReport summarizes the requests with keys.
type TenantsReport struct {
	Sent            int            `json:"sent"` // requests of rotatedTenant
	Statuses        map[string]int `json:"statuses"`
	Withdrawn       int            `json:"withdrawn"` // sent so long after the withdrawal of the key that none may run
	PressedSent     int            `json:"pressed_sent"`
	PressedStatuses map[string]int `json:"pressed_statuses"`
	PressedRuns     int            `json:"pressed_runs"`
	MostInWindow    int            `json:"most_in_window"` // requests of pressedTenant
	Allowed         int            `json:"allowed_in_window"`
}

// addKeyedAnswer records and judges the reply to a request with a key.
func (j *judge) addKeyedAnswer(request keyedRequest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.keyedRequests = append(j.keyedRequests, request)
	j.judgeAnswer(request.requestRecord)
}

// concludeKeyed judges the requests with keys, and returns the runs of other requests.
func (j *judge) concludeKeyed(runs []engineRun, ring *keyring) []engineRun {
	j.mu.Lock()
	defer j.mu.Unlock()
	byID := make(map[string][]engineRun)
	for _, run := range runs {
		byID[run.run.ID] = append(byID[run.run.ID], run)
	}
	for _, request := range j.keyedRequests {
		own := byID[request.id]
		j.concludeRequest(request.requestRecord, own)
		j.judgeKey(request, own, ring)
		j.judgeForwardedTenant(request, own)
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

// judgeKey judges the outcome of a request by the times at which its key was added and withdrawn.
// The caller holds mu.
func (j *judge) judgeKey(request keyedRequest, runs []engineRun, ring *keyring) {
	if request.tenant != rotatedTenant {
		return
	}
	j.tenants.Sent++
	j.tenants.Statuses[statusName(request.reply)]++
	times, held := ring.timesOf(request.key)
	if !held {
		if len(runs) > 0 {
			j.recordViolationLocked("unknown_keys_run_nothing", request.id, fmt.Sprintf("%s: ran at %s", request.node, runs[0].engine))
		}
		return
	}
	j.judgeWithdrawn(request, runs, times)
	refused := request.reply.Err == nil && request.reply.Status == http.StatusUnauthorized
	inForceAll := request.undisturbed && !times.acknowledged.IsZero() && request.sent.Sub(times.acknowledged) > configurationBound
	stillHeld := times.withdrawing.IsZero() || request.answered.Before(times.withdrawing)
	if refused && inForceAll && stillHeld {
		j.recordViolationLocked("held_keys_are_known", request.id, fmt.Sprintf("%s: %s, %v after it came", request.node, request.key, request.sent.Sub(times.acknowledged)))
	}
	if request.reply.Err == nil && strings.Contains(request.reply.Body, tenantOverLimit) {
		j.recordViolationLocked("only_limits_limit", request.id, request.node+": a tenant without a limit is over it")
	}
}

// judgeWithdrawn checks that no request runs with a withdrawn key. The caller holds mu.
func (j *judge) judgeWithdrawn(request keyedRequest, runs []engineRun, times keyTimes) {
	if times.withdrawn.IsZero() {
		return
	}
	since := request.sent.Sub(times.withdrawn)
	bound := confirmWithin + confirmSlack
	if request.undisturbed {
		bound = configurationBound
	}
	if since <= bound {
		return
	}
	j.tenants.Withdrawn++
	if len(runs) > 0 {
		j.recordViolationLocked("withdrawn_keys_run_nothing", request.id, fmt.Sprintf(
			"%s: %s, sent %v after it went, in touch: %v, ran at %s", request.node, request.key, since, request.undisturbed, runs[0].engine))
	}
}

// judgeForwardedTenant checks that engines receive the tenant's name and no key. The caller holds
// mu.
func (j *judge) judgeForwardedTenant(request keyedRequest, runs []engineRun) {
	for _, run := range runs {
		if run.run.Credential != "" || run.run.Tenant != request.tenant {
			j.recordViolationLocked("engines_see_the_tenant_and_no_key", request.id, fmt.Sprintf("tenant %q, key %q", run.run.Tenant, run.run.Credential))
		}
	}
}

// limitedRun is when a request was sent and when it first reached an engine.
type limitedRun struct{ sent, began time.Time }

// judgeLimit checks that in no window more requests of pressedTenant were sent and ran than its
// limit allows. The caller holds mu.
func (j *judge) judgeLimit(runs []engineRun) {
	began := make(map[string]time.Time)
	for _, run := range runs {
		if first, ran := began[run.run.ID]; !ran || run.run.Began.Before(first) {
			began[run.run.ID] = run.run.Began
		}
	}
	var ran []limitedRun
	for _, request := range j.keyedRequests {
		if request.tenant != pressedTenant {
			continue
		}
		j.tenants.PressedSent++
		j.tenants.PressedStatuses[statusName(request.reply)]++
		if at, reached := began[request.id]; reached {
			ran = append(ran, limitedRun{sent: request.sent, began: at})
		}
	}
	most, from := busiestWindow(ran)
	j.tenants.PressedRuns, j.tenants.MostInWindow, j.tenants.Allowed = len(ran), most, maxInWindow
	if most > maxInWindow {
		j.recordViolationLocked("limits_hold", pressedTenant, fmt.Sprintf("%d requests from %v on, allowed are %d in %v", most, from.Sub(j.started), maxInWindow, limitWindow))
	}
}

// busiestWindow returns the largest number of requests that were sent and ran within one window,
// and the start of that window.
func busiestWindow(ran []limitedRun) (most int, from time.Time) {
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

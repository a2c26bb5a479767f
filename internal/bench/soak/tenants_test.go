package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

// keyedAt returns a request of rotatedTenant that was sent at the given time and answered with the
// given status.
func keyedAt(key string, sent time.Time, status int, inTouch bool) keyedRequest {
	reply := platformtest.Reply{Status: status, Sent: true}
	if status == http.StatusOK {
		reply = wholeAnswer("k-1")
	}
	return keyedRequest{
		requestRecord: requestRecord{id: "k-1", route: platformtest.RouteKeyed, reply: reply},
		node:          "n1", tenant: rotatedTenant, key: key, sent: sent, answered: sent.Add(time.Millisecond), undisturbed: inTouch,
	}
}

func ranAs(tenant, credential, id string, began time.Time) engineRun {
	return engineRun{engine: "e1", run: platformtest.Run{ID: id, Tenant: tenant, Credential: credential, Began: began}}
}

// TestJudgeOfKeys adds the second of three keys at one time, and withdraws the first at a later
// time.
func TestJudgeOfKeys(t *testing.T) {
	came := time.Now()
	went := came.Add(time.Minute)
	const first, second, third = "key-0", "key-1", "key-2"
	ran := []engineRun{ranAs(rotatedTenant, "", "k-1", went)}
	cases := map[string]struct {
		request keyedRequest
		runs    []engineRun
		promise string
	}{
		"a held key runs":                            {keyedAt(second, went, http.StatusOK, true), ran, ""},
		"a key that went runs at once after":         {keyedAt(first, went.Add(configurationBound), http.StatusOK, true), ran, ""},
		"a key that went runs later":                 {keyedAt(first, went.Add(configurationBound+1), http.StatusOK, true), ran, "withdrawn_keys_run_nothing"},
		"the same, without a whole answer":           {keyedAt(first, went.Add(configurationBound+1), http.StatusBadGateway, true), ran, "withdrawn_keys_run_nothing"},
		"the same, refused":                          {keyedAt(first, went.Add(configurationBound+1), http.StatusUnauthorized, true), nil, ""},
		"the same, at a node out of touch":           {keyedAt(first, went.Add(configurationBound+1), http.StatusOK, false), ran, ""},
		"out of touch for longer than keys may hold": {keyedAt(first, went.Add(confirmWithin+confirmSlack+1), http.StatusOK, false), ran, "withdrawn_keys_run_nothing"},
		"a held key is unknown":                      {keyedAt(second, came.Add(configurationBound+1), http.StatusUnauthorized, true), nil, "held_keys_are_known"},
		"a held key is not sure":                     {keyedAt(second, came.Add(configurationBound+1), http.StatusServiceUnavailable, true), nil, ""},
		"a new key is unknown":                       {keyedAt(second, came.Add(configurationBound), http.StatusUnauthorized, true), nil, ""},
		"a held key is unknown out of touch":         {keyedAt(second, came.Add(configurationBound+1), http.StatusUnauthorized, false), nil, ""},
		"a key is unknown while it goes":             {keyedAt(first, went.Add(-time.Millisecond), http.StatusUnauthorized, true), nil, ""},
		"a key that is not written yet":              {keyedAt(third, went.Add(time.Minute), http.StatusUnauthorized, true), nil, ""},
		"nobody's key runs":                          {keyedAt(unknownKey, came, http.StatusBadGateway, false), ran, "unknown_keys_run_nothing"},
		"nobody's key is refused":                    {keyedAt(unknownKey, came, http.StatusUnauthorized, false), nil, ""},
		"another tenant's name":                      {keyedAt(second, came, http.StatusOK, false), []engineRun{ranAs(pressedTenant, "", "k-1", came)}, "engines_see_the_tenant_and_no_key"},
		"the key reaches an engine":                  {keyedAt(second, came, http.StatusOK, false), []engineRun{ranAs(rotatedTenant, second, "k-1", came)}, "engines_see_the_tenant_and_no_key"},
		"it runs twice":                              {keyedAt(second, came, http.StatusOK, false), append(ran, ran...), "at_most_once"},
		"it runs and has not run":                    {keyedAt(second, came, http.StatusServiceUnavailable, false), ran, "not_run_is_true"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			ring := newKeyring()
			ring.recordWritten(came)
			ring.rotate(went.Add(-time.Millisecond))
			ring.recordWritten(went)
			ring.times[third] = keyTimes{}
			judge := newJudge(testEvents)
			judge.addKeyedAnswer(test.request)
			if left := judge.concludeKeyed(test.runs, ring); len(left) > 0 {
				t.Errorf("runs of other requests: %+v, want none", left)
			}
			if test.promise == "" && len(judge.violations) > 0 {
				t.Errorf("violations %+v, want none", judge.violations)
			}
			if test.promise != "" && (len(judge.violations) != 1 || judge.violations[0].Promise != test.promise) {
				t.Errorf("violations %+v, want only one of %s", judge.violations, test.promise)
			}
		})
	}
}

// TestUnlimitedTenantIsOverNoLimit plants a refusal for a limit that the tenant does not have.
func TestUnlimitedTenantIsOverNoLimit(t *testing.T) {
	judge, ring := newJudge(testEvents), newKeyring()
	request := keyedAt("key-0", time.Now(), http.StatusTooManyRequests, false)
	request.reply.Body = `{"code":"` + tenantOverLimit + `"}`
	judge.addKeyedAnswer(request)
	judge.concludeKeyed(nil, ring)
	if len(judge.violations) != 1 || judge.violations[0].Promise != "only_limits_limit" {
		t.Errorf("violations %+v, want one of only_limits_limit", judge.violations)
	}
}

// TestJudgeOfLimits runs as many requests as a window allows, and one more inside or just outside
// the window.
func TestJudgeOfLimits(t *testing.T) {
	begun := time.Now()
	cases := map[string]struct {
		sent, began time.Duration // of the additional request
		broken      bool
	}{
		"within the window":         {limitWindow - time.Second, limitWindow, true},
		"it runs after the window":  {limitWindow - time.Second, limitWindow + 1, false},
		"it was sent before it":     {-1, limitWindow, false},
		"sent and run in the first": {0, 0, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			judge := newJudge(testEvents)
			var runs []engineRun
			add := func(id string, sent, began time.Duration) {
				request := keyedAt(pressedKey, begun.Add(sent), http.StatusBadGateway, false)
				request.tenant, request.id = pressedTenant, id
				judge.addKeyedAnswer(request)
				runs = append(runs, ranAs(pressedTenant, "", id, begun.Add(began)))
			}
			for i := range maxInWindow {
				add(fmt.Sprint("k-", i), 0, limitWindow)
			}
			add("k-more", test.sent, test.began)
			judge.concludeKeyed(runs, newKeyring())
			broken := len(judge.violations) == 1 && judge.violations[0].Promise == "limits_hold"
			if broken != test.broken || len(judge.violations) > 1 {
				t.Errorf("violations %+v, report %+v", judge.violations, judge.tenants)
			}
		})
	}
}

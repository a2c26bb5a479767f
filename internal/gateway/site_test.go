package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/policy"
)

// fakeOtherSite answers with its own text or fails as its fields say.
type fakeOtherSite struct {
	mutex     sync.Mutex
	fail      error
	broken    bool // its streams end early
	hang      bool // requests arrive but are not answered
	forwarded []backend.SiteRequest
}

const otherEvents = "data: {\"other\":1}\n\ndata: [DONE]\n\n"

func (o *fakeOtherSite) Forward(ctx context.Context, request backend.SiteRequest) (backend.SiteResponse, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.forwarded = append(o.forwarded, request)
	if o.hang {
		o.mutex.Unlock()
		<-ctx.Done()
		o.mutex.Lock()
		return backend.SiteResponse{}, siteError(backend.EffectUnknown)
	}
	if o.fail != nil {
		return backend.SiteResponse{}, o.fail
	}
	if strings.Contains(string(request.Body), `"stream":true`) {
		body := io.Reader(strings.NewReader(otherEvents))
		if o.broken {
			body = io.MultiReader(strings.NewReader("data: {\"oth"), brokenReader{})
		}
		return backend.SiteResponse{Status: http.StatusOK, ContentType: contentTypeEvents, Body: io.NopCloser(body)}, nil
	}
	return backend.SiteResponse{
		Status: http.StatusTooManyRequests, ContentType: "application/json", RetryAfter: "7", Body: io.NopCloser(strings.NewReader(`{"other":1}`)),
	}, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

func siteError(effect backend.Effect) error {
	return &backend.Error{Code: backend.CodeUnavailable, Effect: effect, System: "site", Operation: "forward"}
}

// newGatewaysWithOtherSite returns gateways whose row assigns a share of the keys to
// this site.
func newGatewaysWithOtherSite(t *testing.T, share float64) (*gateways, *fakeOtherSite) {
	other := &fakeOtherSite{}
	n := newGateways(t)
	n.site = other
	n.setShare(share)
	return n, other
}

func (n *gateways) setShare(share float64) {
	n.rows = fixedRows{policy.NewTable(1, []policy.Row{{
		ID: "all", Match: policy.Match{Tenant: policy.Any, Model: "scribe", Kind: policy.Any}, Weight: 1, NewSiteShare: share,
	}})}
}

func TestTheOtherSitesAnswerIsPassedUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, other := newGatewaysWithOtherSite(t, 0)
		a := n.gateway("a")
		whole := send(t.Context(), a, plainBody)
		if whole.Code != http.StatusTooManyRequests || whole.Body.String() != `{"other":1}` || whole.Header().Get("Retry-After") != "7" {
			t.Errorf("%d %v %s", whole.Code, whole.Header(), whole.Body)
		}
		if streamed := send(t.Context(), a, streamBody); streamed.Body.String() != otherEvents {
			t.Errorf("%s", streamed.Body)
		}
		if other.forwarded[0].Authorization != "Bearer corrib" || string(other.forwarded[0].Body) != plainBody {
			t.Errorf("%+v", other.forwarded[0])
		}
		other.broken = true
		wantResponse(t, send(t.Context(), a, streamBody), http.StatusOK, "event: error", `"run":"unknown"`)
		other.broken = false
		wantResponse(t, send(t.Context(), a, plainBody, backend.HopHeader, "1"), http.StatusOK, "run1-19")
		if len(other.forwarded) != 3 {
			t.Errorf("%d forwards", len(other.forwarded))
		}
	})
}

func TestWhatRunsWhereWhenTheOtherSiteFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, other := newGatewaysWithOtherSite(t, 0)
		a := n.gateway("a")
		other.fail = siteError(backend.EffectNone)
		wantResponse(t, send(t.Context(), a, nonRepeatableBody), http.StatusOK, "run1-19") // unkeyed; provably not run on the other site
		wantResponse(t, sendKeyed(t, a, nonRepeatableBody), http.StatusOK, "run2-19")      // keyed, first forward
		other.fail = siteError(backend.EffectUnknown)
		wantResponse(t, send(t.Context(), a, plainBody), http.StatusBadGateway, `"run":"unknown"`)
		other.fail = nil
		wantResponse(t, sendKeyed(t, n.gateway("b"), nonRepeatableBody), http.StatusOK, "run2-19") // recorded here
		if n.engine.runs != 2 {
			t.Errorf("%d runs", n.engine.runs)
		}
	})
}

func TestASlowOtherSiteCostsNoSecondRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, other := newGatewaysWithOtherSite(t, 0)
		other.hang = true
		begun := time.Now()
		answer := send(t.Context(), n.gateway("a"), nonRepeatableBody, headerTimeout, "3s")
		wantResponse(t, answer, http.StatusBadGateway, `"run":"unknown"`)
		if answer.Header().Get(headerShouldRetry) != "false" || time.Since(begun) != 3*time.Second || n.engine.runs != 0 {
			t.Errorf("%v after %v, %d runs here", answer.Header(), time.Since(begun), n.engine.runs)
		}
	})
}

func TestAKeyThatMayHaveRunThereNeverRunsHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, other := newGatewaysWithOtherSite(t, 0)
		other.fail = siteError(backend.EffectUnknown)
		wantResponse(t, sendKeyed(t, n.gateway("a"), streamBody), http.StatusBadGateway, `"run":"unknown"`)
		synctest.Wait()
		n.setShare(1)
		other.fail = siteError(backend.EffectNone)
		wantResponse(t, sendKeyed(t, n.gateway("b"), streamBody), http.StatusServiceUnavailable, `"run":"unknown"`)
		other.fail = nil
		if answer := sendKeyed(t, n.gateway("c"), streamBody); answer.Body.String() != otherEvents {
			t.Errorf("%s", answer.Body)
		}
		hopped := send(t.Context(), n.gateway("d"), streamBody, headerIdempotencyKey, "k1", backend.HopHeader, "1")
		wantResponse(t, hopped, http.StatusConflict, `"run":"unknown"`)
		if n.engine.runs != 0 {
			t.Errorf("%d runs here", n.engine.runs)
		}
	})
}

func TestAForwardThatADeadNodeMadeNeverRunsHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, other := newGatewaysWithOtherSite(t, 0)
		other.hang = true
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		go send(ctx, n.gateway("a"), streamBody, headerIdempotencyKey, "k1")
		synctest.Wait()
		n.markDead("a")
		other.mutex.Lock()
		other.hang, other.fail = false, siteError(backend.EffectNone)
		other.mutex.Unlock()
		wantResponse(t, sendKeyed(t, n.gateway("b"), streamBody), http.StatusServiceUnavailable, `"run":"unknown"`)
		if n.engine.runs != 0 {
			t.Errorf("%d runs here", n.engine.runs)
		}
	})
}

func TestTheRecordedSiteAnswersAfterTheShareMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, other := newGatewaysWithOtherSite(t, 1)
		here := sendKeyed(t, n.gateway("a"), streamBody)
		n.setShare(0)
		if again := sendKeyed(t, n.gateway("b"), streamBody); again.Body.String() != here.Body.String() || len(other.forwarded) != 0 {
			t.Errorf("%d forwards: %s", len(other.forwarded), again.Body)
		}
		sendSecondKey := func(server *Server) *httptest.ResponseRecorder {
			return send(t.Context(), server, streamBody, headerIdempotencyKey, "k2")
		}
		first := sendSecondKey(n.gateway("b"))
		n.setShare(1)
		if again := sendSecondKey(n.gateway("c")); again.Body.String() != first.Body.String() || len(other.forwarded) != 2 || other.forwarded[1].IdempotencyKey != "k2" {
			t.Errorf("%+v: %s", other.forwarded, again.Body)
		}
	})
}

func TestRacingForwardsOfOneKeyGoOnlyToTheOtherSite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, other := newGatewaysWithOtherSite(t, 0)
		servers := []*Server{n.gateway("a"), n.gateway("b")}
		var group sync.WaitGroup
		for i := range 20 {
			group.Go(func() {
				if answer := sendKeyed(t, servers[i%2], streamBody); answer.Body.String() != otherEvents {
					t.Errorf("%s", answer.Body)
				}
			})
		}
		group.Wait()
		if n.engine.runs != 0 || len(other.forwarded) != 20 {
			t.Errorf("%d runs here, %d forwards", n.engine.runs, len(other.forwarded))
		}
	})
}

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

// otherSite answers with its own words, or fails as told.
type otherSite struct {
	mutex  sync.Mutex
	fail   error
	broken bool // its streams break off
	hang   bool // a request arrives, and no answer comes
	asked  []backend.SiteRequest
}

const otherEvents = "data: {\"other\":1}\n\ndata: [DONE]\n\n"

func (o *otherSite) Forward(ctx context.Context, request backend.SiteRequest) (backend.SiteResponse, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.asked = append(o.asked, request)
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

// sitesWith gives gateways whose row puts a share of the keys here.
func sitesWith(t *testing.T, share float64) (*nodes, *otherSite) {
	other := &otherSite{}
	n := newNodes(t)
	n.site = other
	n.setShare(share)
	return n, other
}

func (n *nodes) setShare(share float64) {
	n.rows = fixedRows{policy.NewTable(1, []policy.Row{{
		ID: "all", Match: policy.Match{Tenant: policy.Any, Model: "scribe", Kind: policy.Any}, Weight: 1, NewSiteShare: share,
	}})}
}

func TestTheOtherSitesAnswerIsPassedUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, other := sitesWith(t, 0)
		a := n.gateway("a")
		whole := send(t.Context(), a, wholeBody)
		if whole.Code != http.StatusTooManyRequests || whole.Body.String() != `{"other":1}` || whole.Header().Get("Retry-After") != "7" {
			t.Errorf("%d %v %s", whole.Code, whole.Header(), whole.Body)
		}
		if streamed := send(t.Context(), a, streamBody); streamed.Body.String() != otherEvents {
			t.Errorf("%s", streamed.Body)
		}
		if other.asked[0].Authorization != "Bearer corrib" || string(other.asked[0].Body) != wholeBody {
			t.Errorf("%+v", other.asked[0])
		}
		other.broken = true
		wantCode(t, send(t.Context(), a, streamBody), http.StatusOK, "event: error", `"run":"unknown"`)
		other.broken = false
		wantCode(t, send(t.Context(), a, wholeBody, backend.HopHeader, "1"), http.StatusOK, "run1-19")
		if len(other.asked) != 3 {
			t.Errorf("%d forwards", len(other.asked))
		}
	})
}

func TestWhatRunsWhereWhenTheOtherSiteFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, other := sitesWith(t, 0)
		a := n.gateway("a")
		other.fail = siteError(backend.EffectNone)
		wantCode(t, send(t.Context(), a, onceBody), http.StatusOK, "run1-19") // unkeyed: provably not run there
		wantCode(t, keyed(t, a, onceBody), http.StatusOK, "run2-19")          // keyed, first forward
		other.fail = siteError(backend.EffectUnknown)
		wantCode(t, send(t.Context(), a, wholeBody), http.StatusBadGateway, `"run":"unknown"`)
		other.fail = nil
		wantCode(t, keyed(t, n.gateway("b"), onceBody), http.StatusOK, "run2-19") // recorded here
		if n.engine.runs != 2 {
			t.Errorf("%d runs", n.engine.runs)
		}
	})
}

func TestASlowOtherSiteCostsNoSecondRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, other := sitesWith(t, 0)
		other.hang = true
		begun := time.Now()
		answer := send(t.Context(), n.gateway("a"), onceBody, headerTimeout, "3s")
		wantCode(t, answer, http.StatusBadGateway, `"run":"unknown"`)
		if answer.Header().Get(headerShouldRetry) != "false" || time.Since(begun) != 3*time.Second || n.engine.runs != 0 {
			t.Errorf("%v after %v, %d runs here", answer.Header(), time.Since(begun), n.engine.runs)
		}
	})
}

func TestAKeyThatMayHaveRunThereNeverRunsHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, other := sitesWith(t, 0)
		other.fail = siteError(backend.EffectUnknown)
		wantCode(t, keyed(t, n.gateway("a"), streamBody), http.StatusBadGateway, `"run":"unknown"`)
		synctest.Wait()
		n.setShare(1)
		other.fail = siteError(backend.EffectNone)
		wantCode(t, keyed(t, n.gateway("b"), streamBody), http.StatusServiceUnavailable, `"run":"unknown"`)
		other.fail = nil
		if answer := keyed(t, n.gateway("c"), streamBody); answer.Body.String() != otherEvents {
			t.Errorf("%s", answer.Body)
		}
		hopped := send(t.Context(), n.gateway("d"), streamBody, headerIdempotencyKey, "k1", backend.HopHeader, "1")
		wantCode(t, hopped, http.StatusConflict, `"run":"unknown"`)
		if n.engine.runs != 0 {
			t.Errorf("%d runs here", n.engine.runs)
		}
	})
}

func TestAForwardThatADeadNodeMadeNeverRunsHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, other := sitesWith(t, 0)
		other.hang = true
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		go send(ctx, n.gateway("a"), streamBody, headerIdempotencyKey, "k1")
		synctest.Wait()
		n.die("a")
		other.mutex.Lock()
		other.hang, other.fail = false, siteError(backend.EffectNone)
		other.mutex.Unlock()
		wantCode(t, keyed(t, n.gateway("b"), streamBody), http.StatusServiceUnavailable, `"run":"unknown"`)
		if n.engine.runs != 0 {
			t.Errorf("%d runs here", n.engine.runs)
		}
	})
}

func TestTheRecordedSiteAnswersAfterTheShareMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, other := sitesWith(t, 1)
		here := keyed(t, n.gateway("a"), streamBody)
		n.setShare(0)
		if again := keyed(t, n.gateway("b"), streamBody); again.Body.String() != here.Body.String() || len(other.asked) != 0 {
			t.Errorf("%d forwards: %s", len(other.asked), again.Body)
		}
		away := func(server *Server) *httptest.ResponseRecorder {
			return send(t.Context(), server, streamBody, headerIdempotencyKey, "k2")
		}
		first := away(n.gateway("b"))
		n.setShare(1)
		if again := away(n.gateway("c")); again.Body.String() != first.Body.String() || len(other.asked) != 2 || other.asked[1].IdempotencyKey != "k2" {
			t.Errorf("%+v: %s", other.asked, again.Body)
		}
	})
}

func TestRacingForwardsOfOneKeyGoOnlyToTheOtherSite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, other := sitesWith(t, 0)
		servers := []*Server{n.gateway("a"), n.gateway("b")}
		var group sync.WaitGroup
		for i := range 20 {
			group.Go(func() {
				if answer := keyed(t, servers[i%2], streamBody); answer.Body.String() != otherEvents {
					t.Errorf("%s", answer.Body)
				}
			})
		}
		group.Wait()
		if n.engine.runs != 0 || len(other.asked) != 20 {
			t.Errorf("%d runs here, %d forwards", n.engine.runs, len(other.asked))
		}
	})
}

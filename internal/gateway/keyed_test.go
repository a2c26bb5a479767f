package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/backendtest"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/dispatch"
	"ringstream.example/ringstream/internal/store"
)

func TestFiftyRacingFirstWritersGetTheBytesOfOneRun(t *testing.T) {
	for _, body := range []string{plainBody, streamBody} {
		synctest.Test(t, func(t *testing.T) {
			n := newGateways(t)
			servers := []*Server{n.gateway("a"), n.gateway("b"), n.gateway("c")}
			answers := make([]string, 50)
			var group sync.WaitGroup
			for i := range answers {
				group.Go(func() {
					time.Sleep(time.Duration(i) * minTokenInterval) // some arrive after the run's end
					answers[i] = sendKeyed(t, servers[i%len(servers)], body).Body.String()
				})
			}
			group.Wait()
			for i, answer := range answers {
				if answer != answers[0] || !strings.Contains(answer, "run1-19") {
					t.Fatalf("answer %d differs:\n%s\n%s", i, answer, answers[0])
				}
			}
			if n.engine.runs != 1 {
				t.Errorf("%d runs, want 1", n.engine.runs)
			}
		})
	}
}

func TestAnotherBodyUnderTheKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newGateways(t)
		a, b := n.gateway("a"), n.gateway("b")
		go sendKeyed(t, a, plainBody)
		synctest.Wait()
		wantResponse(t, sendKeyed(t, a, streamBody), http.StatusUnprocessableEntity, "idempotency_key_reuse", "not_run")
		time.Sleep(time.Second)
		wantResponse(t, sendKeyed(t, b, streamBody), http.StatusUnprocessableEntity, "idempotency_key_reuse", "not_run")
	})
}

func TestAKeyedRunOutlivesItsClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newGateways(t)
		a := n.gateway("a")
		ctx, leave := context.WithTimeout(t.Context(), 3*minTokenInterval)
		defer leave()
		send(ctx, a, streamBody, headerIdempotencyKey, "k1")
		again := sendKeyed(t, a, streamBody) // joins the run
		time.Sleep(time.Second)
		later := sendKeyed(t, n.gateway("b"), streamBody) // reads the record
		if again.Body.String() != later.Body.String() || !strings.HasSuffix(later.Body.String(), streamDone) || n.engine.runs != 1 {
			t.Errorf("%d runs:\n%s\n%s", n.engine.runs, again.Body, later.Body)
		}
	})
}

func TestTakeOverOfADeadNodesKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newGateways(t)
		n.engine.tokenInterval = 20 * minTokenInterval
		first := make(chan *httptest.ResponseRecorder, 1)
		go func() { first <- sendKeyed(t, n.gateway("a"), streamBody) }()
		time.Sleep(5 * minTokenInterval)
		n.markDead("a") // considered dead, but it continues
		second := sendKeyed(t, n.gateway("b"), streamBody)
		wantResponse(t, second, http.StatusOK, "run2-19", streamDone)
		if late := <-first; strings.Contains(late.Body.String(), "[DONE]") || !strings.Contains(late.Body.String(), `"run":"unknown"`) {
			t.Errorf("the superseded run looks complete: %s", late.Body)
		}
		if third := sendKeyed(t, n.gateway("c"), streamBody); third.Body.String() != second.Body.String() {
			t.Errorf("read %s", third.Body)
		}
	})
}

func TestNodesThatConsiderEachOtherDeadGiveOneAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newGateways(t)
		n.split, n.engine.tokenInterval = true, time.Second
		servers := []*Server{n.gateway("a"), n.gateway("b")}
		answers := make([]string, 2)
		var group sync.WaitGroup
		for i := range answers {
			group.Go(func() { // a client that reaches only its own side of the partition
				time.Sleep(time.Duration(i) * runTokens / 2 * time.Second) // halfway through the other's run
				for range 20 {
					if answer := sendKeyed(t, servers[i], streamBody); strings.HasSuffix(answer.Body.String(), streamDone) {
						answers[i] = answer.Body.String()
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		group.Wait()
		if answers[0] == "" || answers[0] != answers[1] {
			t.Errorf("answers %q", answers)
		}
		if n.engine.runs > 6 {
			t.Errorf("%d runs", n.engine.runs)
		}
	})
}

func TestAnOnceOnlyRequestIsResumedNeverSentAgain(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			n := newGateways(t)
			dying := n.gateway("a")
			go sendKeyed(t, dying, nonRepeatableBody)
			time.Sleep(5 * minTokenInterval)
			n.table.SetFaults(backendtest.Faults{Down: true})
			dying.keyed.cancel() // the node dies: its run stops and writes nothing
			synctest.Wait()
			n.table.SetFaults(backendtest.Faults{})
			n.markDead("a")
			n.engine.restarted = restarted
			b, c := sendKeyed(t, n.gateway("b"), nonRepeatableBody), sendKeyed(t, n.gateway("c"), nonRepeatableBody)
			if restarted {
				wantResponse(t, b, http.StatusBadGateway, `"run":"unknown"`, "no longer knows")
				wantResponse(t, c, http.StatusBadGateway, `"run":"unknown"`, "no longer knows")
			} else {
				wantResponse(t, b, http.StatusOK, "run1-0 ", "run1-19")
				if c.Body.String() != b.Body.String() {
					t.Errorf("read %s", c.Body)
				}
			}
			if n.engine.runs != 1 || n.engine.resumes != 1 {
				t.Errorf("%d sends, %d resumes", n.engine.runs, n.engine.resumes)
			}
		})
	}
}

func TestAnIntentThatNeverRanIsSentByItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newGateways(t)
		dying := n.gateway("a")
		dying.deps.Online = runFunc(func(ctx context.Context, request dispatch.Request, _ dispatch.Sink) outcome.Outcome {
			if err := request.BeforeSend(ctx, dispatch.Intent{Attempt: "unsent", Engine: "e1", Incarnation: "i1"}); err != nil {
				t.Error(err)
			}
			n.table.SetFaults(backendtest.Faults{Down: true}) // the node dies before it sends
			dying.keyed.cancel()
			return outcome.Outcome{Kind: outcome.Cancelled}
		})
		sendKeyed(t, dying, nonRepeatableBody)
		synctest.Wait()
		n.table.SetFaults(backendtest.Faults{})
		n.markDead("a")
		n.engine.neverRan = "unsent/e1/i1"
		wantResponse(t, sendKeyed(t, n.gateway("b"), nonRepeatableBody), http.StatusOK, "run1-19")
		if n.engine.runs != 1 || n.engine.resumes != 1 {
			t.Errorf("%d sends, %d resumes", n.engine.runs, n.engine.resumes)
		}
	})
}

func TestAnOwnerThatWasTakenOverDoesNotClaimNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newGateways(t)
		slow := n.gateway("a")
		slowEngine := &fakeEngine{attempts: map[identity.AttemptID]int{}, routingDelay: time.Minute}
		slow.deps.Online = slowEngine
		first := make(chan *httptest.ResponseRecorder, 1)
		go func() { first <- sendKeyed(t, slow, nonRepeatableBody) }()
		synctest.Wait()
		n.markDead("a")
		wantResponse(t, sendKeyed(t, n.gateway("b"), nonRepeatableBody), http.StatusOK, "run1-19")
		wantResponse(t, <-first, http.StatusServiceUnavailable, `"run":"unknown"`)
		if slowEngine.runs != 0 || n.engine.runs != 1 {
			t.Errorf("%d sends by the slow owner, %d by its successor", slowEngine.runs, n.engine.runs)
		}
	})
}

func TestAStoreThatIsDownRefusesOnlyKeyedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newGateways(t)
		a := n.gateway("a")
		n.table.SetFaults(backendtest.Faults{Down: true})
		refused := sendKeyed(t, a, plainBody)
		wantResponse(t, refused, http.StatusServiceUnavailable, "store_unavailable", `"run":"not_run"`)
		if refused.Header().Get("Retry-After") == "" || n.engine.runs != 0 {
			t.Errorf("%v, %d runs", refused.Header(), n.engine.runs)
		}
		wantResponse(t, send(t.Context(), a, plainBody), http.StatusOK, "run1-19")
		n.table.SetFaults(backendtest.Faults{})
		wantResponse(t, sendKeyed(t, a, plainBody), http.StatusOK, "run2-19")
	})
}

func TestALostClaimDoesNotHoldItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newGateways(t)
		n.table.SetFaults(backendtest.Faults{LoseResponses: store.DefaultRetry.Attempts})
		wantResponse(t, sendKeyed(t, n.gateway("a"), plainBody), http.StatusServiceUnavailable, `"run":"not_run"`)
		begun := time.Now()
		wantResponse(t, sendKeyed(t, n.gateway("b"), plainBody), http.StatusOK, "run1-19")
		if waited := time.Since(begun); waited > 5*time.Second {
			t.Errorf("answered after %v", waited)
		}
	})
}

func TestAStoreThatHangsRefusesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newGateways(t)
		n.table.SetFaults(backendtest.Faults{Hang: true})
		begun := time.Now()
		wantResponse(t, sendKeyed(t, n.gateway("a"), plainBody), http.StatusServiceUnavailable, "store_unavailable", `"run":"not_run"`)
		if waited := time.Since(begun); waited > DefaultConfig().RecordWaitTimeout {
			t.Errorf("refused after %v", waited)
		}
	})
}

func TestAnAnswerThatCannotBeRecordedIsGivenLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newGateways(t)
		a := n.gateway("a")
		first := make(chan *httptest.ResponseRecorder, 1)
		begun := time.Now()
		go func() { first <- sendKeyed(t, a, streamBody) }()
		time.Sleep(5 * minTokenInterval)
		n.table.SetFaults(backendtest.Faults{Down: true})
		if reply := <-first; strings.Contains(reply.Body.String(), "[DONE]") || !strings.Contains(reply.Body.String(), `"run":"unknown"`) {
			t.Errorf("the unrecorded answer was reported as %s", reply.Body)
		}
		if waited := time.Since(begun); waited > DefaultConfig().RecordWaitTimeout+time.Second {
			t.Errorf("reported after %v", waited)
		}
		n.table.SetFaults(backendtest.Faults{})
		time.Sleep(10 * time.Second)
		wantResponse(t, sendKeyed(t, n.gateway("b"), streamBody), http.StatusOK, "run1-19", streamDone)
		if n.engine.runs != 1 {
			t.Errorf("%d runs", n.engine.runs)
		}
	})
}

func TestLostAnswersOfTheStoreCostNoSecondRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newGateways(t)
		n.table.SetFaults(backendtest.Faults{LoseResponses: 2})
		wantResponse(t, sendKeyed(t, n.gateway("a"), nonRepeatableBody), http.StatusOK, "run1-19")
		n.table.SetFaults(backendtest.Faults{LoseResponses: 1})
		wantResponse(t, sendKeyed(t, n.gateway("b"), nonRepeatableBody), http.StatusOK, "run1-19")
	})
}

func TestARefusedKeyedRequestMayRunLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newGateways(t)
		a := n.gateway("a")
		a.deps.Online = runFunc(func(context.Context, dispatch.Request, dispatch.Sink) outcome.Outcome {
			return outcome.Outcome{Kind: outcome.Refused}
		})
		wantResponse(t, sendKeyed(t, a, plainBody), http.StatusServiceUnavailable, "not_run")
		synctest.Wait()
		wantResponse(t, sendKeyed(t, n.gateway("b"), plainBody), http.StatusOK, "run1-19")
	})
}

func TestALateTokenReachesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newGateways(t)
		a := n.gateway("a")
		late := make(chan error, 1)
		a.deps.Online = runFunc(func(_ context.Context, _ dispatch.Request, sink dispatch.Sink) outcome.Outcome {
			_ = sink(backend.Token{Text: "only"})
			time.AfterFunc(time.Second, func() { late <- sink(backend.Token{Offset: 1, Text: "late"}) })
			return outcome.Outcome{Kind: outcome.Completed, OutputTokens: 1}
		})
		got := sendKeyed(t, a, streamBody)
		if err := <-late; err == nil {
			t.Error("the late token was accepted")
		}
		if again := sendKeyed(t, n.gateway("b"), streamBody); again.Body.String() != got.Body.String() || strings.Contains(again.Body.String(), "late") {
			t.Errorf("%s", again.Body)
		}
	})
}

func TestAWaitWithoutClientsEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newGateways(t)
		n.engine.routingDelay = time.Minute
		a, b := n.gateway("a"), n.gateway("b")
		go sendKeyed(t, a, plainBody)
		synctest.Wait()
		ctx, leave := context.WithTimeout(t.Context(), time.Second)
		defer leave()
		send(ctx, b, plainBody, headerIdempotencyKey, "k1")
		time.Sleep(2 * maxKeyPollInterval)
		b.keyed.mutex.Lock()
		waiting := len(b.keyed.byKey)
		b.keyed.mutex.Unlock()
		if waiting != 0 {
			t.Error("the node still waits for a key without clients")
		}
		wantResponse(t, sendKeyed(t, b, plainBody), http.StatusOK, "run1-19")
	})
}

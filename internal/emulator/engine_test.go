package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/emulator/netsim"
)

const model = "fleetlink-llm"

// startTestFleet starts a fleet on a simulated network and returns it with a
// client of its first engine. It must be called within a synctest bubble.
func startTestFleet(t *testing.T, edit func(*FleetConfig)) (*Fleet, backend.Engine) {
	t.Helper()
	config := DefaultFleetConfig()
	config.Network = netsim.New(nil)
	config.Pools[0].Engines = 2
	if edit != nil {
		edit(&config)
	}
	fleet, err := StartFleet(config)
	if err != nil {
		t.Fatal(err)
	}
	clients, err := fleet.Clients(true)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(clients.Close)
	return fleet, clients.Engines.Engine(fleet.Machines.Current()[0])
}

func request(attempt string, tokens int, priority backend.Priority) backend.GenerateRequest {
	return backend.GenerateRequest{
		Attempt: identity.AttemptID(attempt), Model: model, Prompt: "prompt of " + attempt,
		MaxTokens: tokens, Priority: priority,
	}
}

// drain reads a stream to its end and returns the texts of its tokens.
func drain(stream backend.TokenStream) ([]string, backend.Finish, error) {
	defer stream.Close()
	var texts []string
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return texts, stream.Finish(), nil
		}
		if err != nil {
			return texts, backend.Finish{}, err
		}
		texts = append(texts, token.Text)
	}
}

func mustGenerate(t *testing.T, engine backend.Engine, generate backend.GenerateRequest) backend.TokenStream {
	t.Helper()
	stream, err := engine.Generate(t.Context(), generate)
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

func errorCode(err error) (backend.ErrorCode, backend.Effect) {
	var failure *backend.Error
	if errors.As(err, &failure) {
		return failure.Code, failure.Effect
	}
	return "", 0
}

func TestAnEngineGivesTheExpectedTokensAndResumesAtAnOffset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, engine := startTestFleet(t, nil)
		defer fleet.Close()
		start := time.Now()
		texts, finish, err := drain(mustGenerate(t, engine, request("a", 50, backend.PriorityOnline)))
		if err != nil {
			t.Fatal(err)
		}
		want := ExpectedTokens(model, "prompt of a", 50)
		if diff := cmp.Diff(want, texts); diff != "" || finish.OutputTokens != 50 || finish.Reason != "length" {
			t.Errorf("finish %+v, -want +got:\n%s", finish, diff)
		}
		if step := time.Since(start) / 50; step < 13*time.Millisecond || step > 15*time.Millisecond {
			t.Errorf("a single sequence took %s per token; want 13ms to 15ms", step)
		}
		stream, err := engine.Resume(t.Context(), "a", 20)
		if err != nil {
			t.Fatal(err)
		}
		texts, _, err = drain(stream)
		if diff := cmp.Diff(want[20:], texts); diff != "" || err != nil {
			t.Errorf("resumed stream: error %v, -want +got:\n%s", err, diff)
		}
		kept := request("b", 50, backend.PriorityBatch)
		kept.Prompt, kept.Kept = "prompt of a", want[:30]
		texts, finish, err = drain(mustGenerate(t, engine, kept))
		if diff := cmp.Diff(want[30:], texts); diff != "" || err != nil || finish.OutputTokens != 50 {
			t.Errorf("attempt with kept tokens: error %v, finish %+v, -want +got:\n%s", err, finish, diff)
		}
	})
}

func TestARepeatedAttemptJoinsTheRunningOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, engine := startTestFleet(t, nil)
		defer fleet.Close()
		first := mustGenerate(t, engine, request("a", 20, backend.PriorityOnline))
		second := mustGenerate(t, engine, request("a", 20, backend.PriorityOnline))
		one, _, firstErr := drain(first)
		two, _, secondErr := drain(second)
		if diff := cmp.Diff(one, two); diff != "" || firstErr != nil || secondErr != nil {
			t.Errorf("errors %v and %v, -first +second:\n%s", firstErr, secondErr, diff)
		}
		ledger := fleet.Engines[0].Ledger()
		if len(ledger) != 1 || ledger[0].Repeats != 1 || ledger[0].Tokens != 20 {
			t.Errorf("ledger %+v; want one entry with 1 repeat and 20 tokens", ledger)
		}
	})
}

func TestOnlinePreemptsBatchAndBatchStillCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, engine := startTestFleet(t, func(c *FleetConfig) { c.Engine.MaxRunning = 2 })
		defer fleet.Close()
		batch := []backend.TokenStream{
			mustGenerate(t, engine, request("b1", 40, backend.PriorityBatch)),
			mustGenerate(t, engine, request("b2", 40, backend.PriorityBatch)),
		}
		time.Sleep(200 * time.Millisecond)
		_, _, err := drain(mustGenerate(t, engine, request("o", 5, backend.PriorityOnline)))
		if err != nil {
			t.Fatal(err)
		}
		for i, stream := range batch {
			texts, _, err := drain(stream)
			want := ExpectedTokens(model, fmt.Sprintf("prompt of b%d", i+1), 40)
			if diff := cmp.Diff(want, texts); diff != "" || err != nil {
				t.Errorf("batch stream %d: error %v, -want +got:\n%s", i, err, diff)
			}
		}
		var preempted, waited int
		for _, entry := range fleet.Engines[0].Ledger() {
			preempted += entry.Preemptions
			if entry.Attempt == "o" && entry.StartedAt.Sub(entry.OfferedAt) > 20*time.Millisecond {
				waited++
			}
		}
		if preempted != 1 || waited != 0 {
			t.Errorf("%d preemptions, %d online attempts waited over 20ms; want 1 and 0", preempted, waited)
		}
	})
}

func TestCancelStopsAnAttemptAlsoBeforeItComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, engine := startTestFleet(t, nil)
		defer fleet.Close()
		stream := mustGenerate(t, engine, request("a", 100, backend.PriorityBatch))
		time.Sleep(100 * time.Millisecond)
		report, err := engine.Cancel(t.Context(), "a")
		if err != nil || !report.Found || !report.Running || report.OutputTokens == 0 {
			t.Errorf("cancel of a running attempt: %+v, %v", report, err)
		}
		if _, finish, err := drain(stream); err != nil || finish.Reason != "cancelled" {
			t.Errorf("finish %+v, error %v; want reason cancelled", finish, err)
		}
		if report, err := engine.Cancel(t.Context(), "later"); err != nil || report.Found {
			t.Errorf("cancel of an attempt that has not arrived: %+v, %v", report, err)
		}
		_, err = engine.Generate(t.Context(), request("later", 10, backend.PriorityBatch))
		if code, effect := errorCode(err); code != backend.CodeInvalid || effect != backend.EffectNone {
			t.Errorf("generate of an attempt cancelled before it arrived: %v; want CodeInvalid without effect", err)
		}
	})
}

func TestStreamsThatBreakOrCrossNeverGiveWrongTokens(t *testing.T) {
	for name, faults := range map[string]FaultSettings{
		"dropped":          {DropStreams: 1, DropStreamAfter: 7},
		"crossed":          {MixStreams: 1, DropStreamAfter: 7},
		"answer lost":      {LoseAnswers: 1, Operations: []string{"generate"}},
		"dropped at start": {DropStreams: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet, engine := startTestFleet(t, nil)
				defer fleet.Close()
				other := mustGenerate(t, engine, request("other", 60, backend.PriorityOnline))
				fleet.Engines[0].Faults.Set(faults)
				want := ExpectedTokens(model, "prompt of a", 30)
				var texts []string
				stream, err := engine.Generate(t.Context(), request("a", 30, backend.PriorityOnline))
				if err == nil {
					texts, _, err = drain(stream)
				}
				if _, effect := errorCode(err); err == nil || effect != backend.EffectUnknown {
					t.Fatalf("got %d tokens and error %v; want an error with unknown effect", len(texts), err)
				}
				resumed, err := engine.Resume(t.Context(), "a", len(texts))
				if err != nil {
					t.Fatal(err)
				}
				rest, _, err := drain(resumed)
				if diff := cmp.Diff(want, append(texts, rest...)); diff != "" || err != nil {
					t.Errorf("resumed stream: error %v, -want +got:\n%s", err, diff)
				}
				if _, _, err := drain(other); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

func TestAKilledEngineLosesItsAttemptsAndComesBackEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, engine := startTestFleet(t, nil)
		defer fleet.Close()
		stream := mustGenerate(t, engine, request("a", 100, backend.PriorityOnline))
		time.Sleep(100 * time.Millisecond)
		if err := fleet.Kill(fleet.Engines[0].ID()); err != nil {
			t.Fatal(err)
		}
		if _, _, err := drain(stream); err == nil {
			t.Error("the stream of a killed engine ended without an error")
		}
		_, err := engine.Generate(t.Context(), request("b", 10, backend.PriorityOnline))
		if _, effect := errorCode(err); err == nil || effect != backend.EffectNone {
			t.Errorf("generate at a killed engine: %v; want an error with EffectNone", err)
		}
		if err := fleet.Restart(fleet.Engines[0].ID()); err != nil {
			t.Fatal(err)
		}
		if _, err := engine.Resume(t.Context(), "a", 0); !isCode(err, backend.CodeNotFound) {
			t.Errorf("resume after the restart: %v; want CodeNotFound", err)
		}
		if _, _, err := drain(mustGenerate(t, engine, request("b", 10, backend.PriorityOnline))); err != nil {
			t.Error(err)
		}
		if entry := fleet.Engines[0].Ledger()[0]; entry.End != "crashed" {
			t.Errorf("ledger entry of the lost attempt: %+v; want end crashed", entry)
		}
	})
}

func isCode(err error, want backend.ErrorCode) bool {
	code, _ := errorCode(err)
	return code == want
}

func TestLoadReportsAndCacheEventsComeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, engine := startTestFleet(t, func(c *FleetConfig) { c.Engine.CacheLossRate = 0.5 })
		defer fleet.Close()
		long := request("a", 100, backend.PriorityOnline)
		long.Prompt = strings.Repeat("x", 40*backend.PrefixBlockBytes)
		stream := mustGenerate(t, engine, long)
		time.Sleep(250 * time.Millisecond)
		load, err := engine.Load(t.Context())
		if err != nil || load.RunningOnline != 0 {
			t.Errorf("the load report is visible before its lag: %+v, %v", load, err)
		}
		if events, err := engine.CacheEvents(t.Context(), 0); err != nil || len(events) != 0 {
			t.Errorf("cache events are visible before their lag: %v, %v", events, err)
		}
		time.Sleep(400 * time.Millisecond)
		load, err = engine.Load(t.Context())
		if err != nil || load.RunningOnline != 1 || time.Since(load.ReportedAt) < 300*time.Millisecond {
			t.Errorf("load report after the lag: %+v, %v; want 1 running online sequence", load, err)
		}
		events, err := engine.CacheEvents(t.Context(), 0)
		if err != nil || len(events) == 0 || len(events) >= 40 {
			t.Errorf("got %d of 40 cache events, error %v; want some but not all", len(events), err)
		}
		if _, finish, err := drain(stream); err != nil || finish.CachedTokens != 0 {
			t.Errorf("first run of the prompt: finish %+v, error %v; want no cached tokens", finish, err)
		}
		long.Attempt = "b"
		if _, finish, err := drain(mustGenerate(t, engine, long)); err != nil || finish.CachedTokens != 40*blockTokens {
			t.Errorf("second run of the prompt: finish %+v, error %v; want 40 cached blocks", finish, err)
		}
	})
}

func TestOrdersAreFencedAndLoadsTakeTheWeightStoresTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, engine := startTestFleet(t, nil)
		defer fleet.Close()
		order := backend.Order{ID: "o1", Epoch: 5, Kind: backend.OrderLoadModel, Model: model, Version: "2"}
		if err := engine.Order(t.Context(), order); err != nil {
			t.Fatal(err)
		}
		stale := backend.Order{ID: "o2", Epoch: 4, Kind: backend.OrderUnloadModel, Model: model}
		if err := engine.Order(t.Context(), stale); !isCode(err, backend.CodeFenced) {
			t.Errorf("order with a stale epoch: %v; want CodeFenced", err)
		}
		second := request("a", 5, backend.PriorityOnline)
		second.Version = "2"
		if _, err := engine.Generate(t.Context(), second); !isCode(err, backend.CodeNotLoaded) {
			t.Errorf("generate while the model is loading: %v; want CodeNotLoaded", err)
		}
		time.Sleep(2100 * time.Millisecond) // the load takes 2 s: 8 GiB at 4 GiB per second
		second.Attempt = "b"
		if _, _, err := drain(mustGenerate(t, engine, second)); err != nil {
			t.Error(err)
		}
	})
}

func TestALeavingEngineRefusesNewWorkAndFinishesTheOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, engine := startTestFleet(t, nil)
		defer fleet.Close()
		stream := mustGenerate(t, engine, request("a", 50, backend.PriorityOnline))
		if err := fleet.Leave(fleet.Engines[0].ID()); err != nil {
			t.Fatal(err)
		}
		if _, err := engine.Generate(t.Context(), request("b", 5, backend.PriorityOnline)); !isCode(err, backend.CodeLeaving) {
			t.Errorf("new attempt: %v; want CodeLeaving", err)
		}
		if texts, _, err := drain(stream); err != nil || len(texts) != 50 {
			t.Errorf("running attempt: %d tokens, error %v; want 50", len(texts), err)
		}
	})
}

func TestTheClientsWorkOverSockets(t *testing.T) {
	config := DefaultFleetConfig()
	config.Engine.StepBase, config.Engine.StepPerSequence = time.Millisecond, 0
	fleet, err := StartFleet(config)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	clients, err := fleet.Clients(true)
	if err != nil {
		t.Fatal(err)
	}
	defer clients.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	snapshot, err := clients.Machines.Machines(ctx, 0)
	if err != nil || len(snapshot.Machines) != 12 {
		t.Fatalf("%d machines, error %v; want 12", len(snapshot.Machines), err)
	}
	engine := clients.Engines.Engine(snapshot.Machines[3])
	stream, err := engine.Generate(ctx, request("a", 30, backend.PriorityOnline))
	if err != nil {
		t.Fatal(err)
	}
	texts, _, err := drain(stream)
	if diff := cmp.Diff(ExpectedTokens(model, "prompt of a", 30), texts); diff != "" || err != nil {
		t.Errorf("error %v, -want +got:\n%s", err, diff)
	}
	if err := fleet.Kill(snapshot.Machines[3].ID); err != nil {
		t.Fatal(err)
	}
	clients.Close() // on an idle connection the effect would be unknown: the request could have arrived
	_, err = engine.Generate(ctx, request("b", 30, backend.PriorityOnline))
	if _, effect := errorCode(err); err == nil || effect != backend.EffectNone {
		t.Errorf("generate at a killed engine: %v; want an error with EffectNone", err)
	}
}

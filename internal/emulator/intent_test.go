package emulator

import (
	"errors"
	"testing"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
)

// An attempt that was cancelled before it arrived never runs, and neither does
// an attempt for an earlier incarnation of the engine.
func TestEngineRefusesAttemptsCancelledBeforeArrival(t *testing.T) {
	engine := NewEngine(DefaultEngineConfig(), nil)
	late := wire.GenerateRequest{Attempt: "late", Model: engine.config.Models[0].Model, Prompt: "p", MaxTokens: 1, Incarnation: engine.incarnation()}
	if report := engine.cancel(late.Attempt); !report.Never || report.Incarnation != late.Incarnation {
		t.Fatalf("cancel of an attempt that never arrived: %+v; want Never and the incarnation", report)
	}
	if _, err := engine.generate(late, ""); err == nil {
		t.Error("an attempt cancelled before it arrived was accepted")
	}
	other := late
	other.Attempt = "other"
	if _, err := engine.generate(other, ""); err != nil {
		t.Fatal(err)
	}
	if report := engine.cancel(other.Attempt); report.Never {
		t.Error("cancel reports Never for an attempt that arrived")
	}
	engine.crash()
	var refused *refusal
	if _, err := engine.generate(other, ""); !errors.As(err, &refused) || refused.code != backend.CodeFenced {
		t.Errorf("attempt for an earlier incarnation: %v; want CodeFenced", err)
	}
}

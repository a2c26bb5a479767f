package emulator

import (
	"errors"
	"testing"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
)

// An attempt that was cancelled before it came never runs, and neither does
// one that was meant for an earlier life of the engine.
func TestEngineVouchesForAttemptsThatNeverCame(t *testing.T) {
	engine := NewEngine(DefaultEngineConfig(), nil)
	late := wire.GenerateRequest{Attempt: "late", Model: engine.config.Models[0].Model, Prompt: "p", MaxTokens: 1, Incarnation: engine.incarnation()}
	if report := engine.cancel(late.Attempt); !report.Never || report.Incarnation != late.Incarnation {
		t.Fatalf("cancel of an attempt that never came: %+v", report)
	}
	if _, err := engine.generate(late, ""); err == nil {
		t.Error("an attempt cancelled before it came was taken")
	}
	other := late
	other.Attempt = "other"
	if _, err := engine.generate(other, ""); err != nil {
		t.Fatal(err)
	}
	if report := engine.cancel(other.Attempt); report.Never {
		t.Error("the engine vouches for an attempt that came")
	}
	engine.crash()
	var refused *refusal
	if _, err := engine.generate(other, ""); !errors.As(err, &refused) || refused.code != backend.CodeFenced {
		t.Errorf("an attempt of an earlier life: %v", err)
	}
}

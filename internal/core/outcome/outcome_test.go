package outcome

import "testing"

// TestLabelsAreKept guards against a change of the labels, which callers, log readers and metrics rely on, and
// against two kinds with one label.
func TestLabelsAreKept(t *testing.T) {
	seen := make(map[string]Kind)
	for kind, want := range map[Kind]string{
		Unknown: "unknown", Completed: "completed", Refused: "not_run", Failed: "failed", Cancelled: "cancelled", Preempted: "preempted",
	} {
		got := kind.String()
		if got != want {
			t.Errorf("kind %d: %q, want %q", kind, got, want)
		}
		if other, twice := seen[got]; twice {
			t.Errorf("kinds %d and %d are both %q", kind, other, got)
		}
		seen[got] = kind
	}
}

// TestOutcomeClaimsNothingByDefault guards against a zero value that says a request ran, or did not.
func TestOutcomeClaimsNothingByDefault(t *testing.T) {
	if kind := (Outcome{}).Kind; kind != Unknown {
		t.Errorf("the zero value is %s", kind)
	}
}

package faults

import (
	"testing"
)

func TestACellWithoutFaultsCompletesEverything(t *testing.T) {
	result := runBubble(t, Cell{Seed: 1})
	if len(result.Violations) > 0 || len(result.Failures) > 0 {
		t.Errorf("violations %v, failures %v", result.Violations, result.Failures)
	}
	if result.Requests == 0 || result.Completed != result.Requests || result.Items == 0 || result.ItemsCompleted != result.Items {
		t.Errorf("%d of %d requests, %d of %d items", result.Completed, result.Requests, result.ItemsCompleted, result.Items)
	}
}

// TestEveryStepComesUp checks that the product still reaches every listed step. A step that is no
// longer reached would leave its column untested.
func TestEveryStepComesUp(t *testing.T) {
	seen := map[string]bool{}
	result := runBubble(t, Cell{Seed: 1, stop: true, inspect: func(c *cell) { seen = c.seenSteps }})
	if len(result.Violations) > 0 || len(result.Failures) > 0 {
		t.Errorf("violations %v, failures %v", result.Violations, result.Failures)
	}
	for _, step := range Steps() {
		if !seen[step.Name] {
			t.Errorf("step %s was not reached", step.Name)
		}
	}
}

// TestPartOfTheMatrix runs every fault at one step each. The command "ringstream-bench faults" runs
// the whole matrix.
func TestPartOfTheMatrix(t *testing.T) {
	steps := Steps()
	for number, fault := range Faults() {
		const stride = 11 // coprime with the number of steps, 42
		step := steps[number*stride%len(steps)]
		t.Run(fault.Name+" at "+step.Name, func(t *testing.T) {
			t.Parallel()
			result := runBubble(t, Cell{Seed: 1, Injections: []Injection{{step.Name, fault.Name}}})
			if !result.Reached || len(result.Violations) > 0 || len(result.Failures) > 0 {
				t.Errorf("reached %v, violations %v, failures %v", result.Reached, result.Violations, result.Failures)
			}
		})
	}
}

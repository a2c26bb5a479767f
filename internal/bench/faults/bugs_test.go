package faults

import (
	"fmt"
	"sync"
	"testing"
)

// TestPlantedBugsAreCaught guards against checks that miss violations. A bug is caught when one of
// its cells shows violations that the same cell without the bug does not have.
func TestPlantedBugsAreCaught(t *testing.T) {
	var mutex sync.Mutex
	caught := map[string]bool{}
	t.Cleanup(func() {
		for _, bug := range []string{BugNoCompare, BugEarlyAnswer, BugResend} {
			if !caught[bug] {
				t.Errorf("%s was not caught", bug)
			}
		}
	})
	for _, spec := range bugCells(1) {
		t.Run(fmt.Sprintf("%s at %s, seed %d", spec.Bug, spec.Injections[0].Step, spec.Seed), func(t *testing.T) {
			t.Parallel()
			result := runBubble(t, spec)
			spec.Bug = ""
			sound := runBubble(t, spec)
			if len(sound.Violations) > 0 {
				t.Errorf("without the bug: %v", sound.Violations)
			}
			for _, violation := range result.Violations[:min(2, len(result.Violations))] {
				t.Log(violation)
			}
			mutex.Lock()
			defer mutex.Unlock()
			caught[result.Bug] = caught[result.Bug] || len(result.Violations) > 0
		})
	}
}

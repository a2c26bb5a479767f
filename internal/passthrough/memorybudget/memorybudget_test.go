package memorybudget

import "testing"

func TestBudgetIsNeverExceededByTryAdd(t *testing.T) {
	budget := New(10)
	if !budget.TryAdd(6) || budget.TryAdd(5) || !budget.TryAdd(4) || budget.TryAdd(1) {
		t.Errorf("wrong verdicts, %d bytes held", budget.Held())
	}
	budget.Add(5) // an answer that is there already
	budget.Release(10)
	if budget.Held() != 5 || budget.TryAdd(6) || !budget.TryAdd(5) {
		t.Errorf("wrong verdicts after a release, %d bytes held", budget.Held())
	}
}

func TestBudgetWithoutALimitRefusesNothing(t *testing.T) {
	budget := New(0)
	if !budget.TryAdd(1<<40) || budget.Held() != 1<<40 {
		t.Errorf("%d bytes held, want all", budget.Held())
	}
}

package memorybudget

import "testing"

// unit is the length of a body that is not small.
const unit = 2 * SmallBodyBytes

func TestLargeBodiesKeepToTheLimit(t *testing.T) {
	budget := New(10 * unit)
	if !budget.TryGrowBody(0, 6*unit) || budget.TryGrowBody(0, 5*unit) || !budget.TryGrowBody(0, 4*unit) || budget.TryGrowBody(0, unit) || budget.TryGrowBody(4*unit, 5*unit) {
		t.Errorf("wrong verdicts, %d bytes held", budget.Held())
	}
	budget.Add(5 * unit) // an answer that is there already
	budget.ReleaseBody(6 * unit)
	budget.ReleaseBody(3 * unit) // of the second body, a unit stays
	if budget.Held() != 6*unit || budget.TryGrowBody(0, 5*unit) || !budget.TryGrowBody(0, 4*unit) {
		t.Errorf("wrong verdicts after a release, %d bytes held", budget.Held())
	}
	budget.ReleaseBody(unit)
	budget.ReleaseBody(4 * unit)
	budget.Release(5 * unit)
	if budget.Held() != 0 || budget.large != 0 {
		t.Errorf("%d bytes held after all are released, %d of them of large bodies", budget.Held(), budget.large)
	}
}

// TestUnreadAnswersStopNoSmallBody has answers exceed the limit, as when clients do not read them.
func TestUnreadAnswersStopNoSmallBody(t *testing.T) {
	budget := New(10 * unit)
	budget.Add(20 * unit)
	if !budget.TryGrowBody(0, 0) || !budget.TryGrowBody(0, SmallBodyBytes) || !budget.TryAddAhead(0) {
		t.Error("an empty body, a small one or an answer's end was refused")
	}
	if budget.TryAddAhead(1) {
		t.Error("an answer was read ahead beyond the limit")
	}
	if !budget.TryGrowBody(0, 12*unit) || budget.TryGrowBody(0, unit) {
		t.Error("one large body at a time must be admitted")
	}
}

func TestReadAheadLeavesHalfToRequests(t *testing.T) {
	budget := New(10 * unit)
	if !budget.TryAddAhead(5*unit) || budget.TryAddAhead(1) || !budget.TryGrowBody(0, 3*unit) || !budget.TryGrowBody(0, 2*unit) || budget.TryGrowBody(0, unit) {
		t.Errorf("wrong verdicts, %d bytes held", budget.Held())
	}
	budget.ReleaseAhead(unit)
	if !budget.TryAddAhead(unit) {
		t.Error("bytes that were released are still counted")
	}
}

func TestBudgetWithoutALimitRefusesNothing(t *testing.T) {
	budget := New(0)
	for range 2 {
		if !budget.TryGrowBody(0, 1<<40) {
			t.Error("a body was refused")
		}
	}
	if !budget.TryAddAhead(1<<40) || budget.Held() != 3<<40 {
		t.Errorf("%d bytes held, want all", budget.Held())
	}
}

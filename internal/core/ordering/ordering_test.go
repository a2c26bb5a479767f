package ordering

import (
	"slices"
	"testing"
)

func TestFalseFirst(t *testing.T) {
	list := []bool{true, false, true, false}
	slices.SortFunc(list, FalseFirst)
	if !slices.Equal(list, []bool{false, false, true, true}) {
		t.Errorf("got %v, want false before true", list)
	}
}

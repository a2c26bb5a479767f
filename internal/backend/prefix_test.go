package backend_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ringstream.example/ringstream/internal/backend"
)

func TestPrefixHashesShareTheCommonPrefixOnly(t *testing.T) {
	common := strings.Repeat("a", 2*backend.PrefixBlockBytes)
	first := backend.AppendPrefixHashes(nil, "m", "", common+strings.Repeat("b", 300), 8)
	second := backend.AppendPrefixHashes(nil, "m", "", common+strings.Repeat("c", 300), 8)
	if len(first) != 3 || len(second) != 3 {
		t.Fatalf("blocks: %d and %d, want 3 each", len(first), len(second))
	}
	if diff := cmp.Diff(first[:2], second[:2]); diff != "" {
		t.Errorf("common blocks differ (-first +second):\n%s", diff)
	}
	if first[2] == second[2] {
		t.Error("different blocks have the same hash")
	}
	if other := backend.AppendPrefixHashes(nil, "m", "adapter", common, 8); other[0] == first[0] {
		t.Error("the hash does not depend on the adapter")
	}
	if limited := backend.AppendPrefixHashes(nil, "m", "", common, 1); len(limited) != 1 {
		t.Errorf("limit 1 returned %d blocks", len(limited))
	}
}

func TestPrefixHashesDoNotAllocate(t *testing.T) {
	prompt := strings.Repeat("x", 4096)
	buffer := make([]uint64, 0, 16)
	if allocations := testing.AllocsPerRun(100, func() {
		buffer = backend.AppendPrefixHashes(buffer[:0], "model", "adapter", prompt, 16)
	}); allocations != 0 {
		t.Errorf("%v allocations, want 0", allocations)
	}
}

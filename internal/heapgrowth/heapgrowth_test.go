package heapgrowth

import "testing"

// TestHeapGrowsByAsMuchInLargeFleetsAsInSmallOnes guards against excessive heap growth in large
// fleets. A node of a small fleet has 4 MB in use and keeps the default percentage. A node that
// knows 10,000 engines has 17 MB in use, and with the default took 34 MB and more of a machine that
// many others share.
func TestHeapGrowsByAsMuchInLargeFleetsAsInSmallOnes(t *testing.T) {
	for _, test := range []struct {
		inUse   uint64
		percent int
	}{{0, 100}, {4 << 20, 100}, {8 << 20, 100}, {16 << 20, 50}, {20 << 20, 40}, {1 << 30, 25}} {
		if got := Percent(test.inUse); got != test.percent {
			t.Errorf("%d MB in use: %d %%, want %d %%", test.inUse>>20, got, test.percent)
		}
	}
}

package share_test

import (
	"math"
	"testing"

	"cairnbay"
	"cairnbay/internal/process/share"
)

// TestWeighted guards against a share that counts a resource that the class lacks, or the
// sum of several instead of the scarcest one.
func TestWeighted(t *testing.T) {
	total := cairnbay.Resources{MilliCPU: 1000, MemoryMB: 100}
	for name, test := range map[string]struct {
		used   cairnbay.Resources
		weight float64
		want   float64
	}{
		"nothing in use":                  {cairnbay.Resources{}, 2, 0},
		"the scarcer of two":              {cairnbay.Resources{MilliCPU: 100, MemoryMB: 50}, 1, 0.5},
		"a resource that the class lacks": {cairnbay.Resources{MilliCPU: 100, Accelerators: 8}, 1, 0.1},
		"by weight":                       {cairnbay.Resources{MilliCPU: 500}, 4, 0.125},
	} {
		if got := share.Of(test.used).Weighted(total, test.weight); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
	if mixed := share.Of(total).Mix(share.Use{}, 0.25); math.Abs(mixed[0]-750) > 1e-9 {
		t.Errorf("a quarter of nothing with 1000: %v, want 750", mixed[0])
	}
}

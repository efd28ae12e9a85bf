package index_test

import (
	"cmp"
	"flag"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cairnbay"
	"cairnbay/internal/process/index"
)

// A fixed seed makes a failure repeatable.
func init() { _ = flag.Set("rapid.seed", "20261203") }

// TestTreeAgainstSort compares Ascend with a map that is filtered and sorted.
func TestTreeAgainstSort(t *testing.T) {
	amounts := rapid.Custom(func(t *rapid.T) cairnbay.Resources {
		amount := rapid.Int64Range(-2, 6)
		return cairnbay.Resources{
			MilliCPU: amount.Draw(t, "cpu"), MemoryMB: amount.Draw(t, "memory"), Accelerators: amount.Draw(t, "accelerators"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		dimension := rapid.IntRange(0, cairnbay.Dimensions-1).Draw(t, "dimension")
		tree, free := index.New(dimension), make(map[int]cairnbay.Resources)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			slot := rapid.IntRange(0, 20).Draw(t, "slot")
			if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				tree.Remove(slot)
				delete(free, slot)
				continue
			}
			free[slot] = amounts.Draw(t, "free")
			tree.Set(slot, free[slot])
		}
		need := amounts.Draw(t, "need")
		var want, got []int
		for slot, amount := range free {
			if need.Fits(amount) {
				want = append(want, slot)
			}
		}
		slices.SortFunc(want, func(a, b int) int {
			return cmp.Or(cmp.Compare(free[a].Values()[dimension], free[b].Values()[dimension]), cmp.Compare(a, b))
		})
		tree.Ascend(need, func(slot int) bool {
			got = append(got, slot)
			return true
		})
		if !slices.Equal(got, want) {
			t.Fatalf("Ascend(%+v) visited %v, want %v", need, got, want)
		}
	})
}

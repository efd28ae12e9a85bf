package quota_test

import (
	"testing"

	"pgregory.net/rapid"

	"cairnbay"
	"cairnbay/internal/process/quota"
)

// Guards against a unit of a small quota that no shard can use, and against parts that
// exceed the quota together.
func TestSharesHoldWholeQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 40_000).Draw(t, "quota")
		of := cairnbay.Resources{Accelerators: limit}
		left, total, used := limit, int64(0), quota.Share{}
		for range rapid.IntRange(1, 24).Draw(t, "shards") {
			amount := rapid.Int64Range(0, left).Draw(t, "amount")
			share := quota.ShareFor(cairnbay.Resources{Accelerators: amount}, of)
			if got := share.Of(of).Accelerators; got != amount {
				t.Fatalf("%d of %d has share %v, which is %d", amount, limit, share, got)
			}
			left -= amount
			used = used.Add(share)
		}
		rest := quota.Share{0, 0, quota.Whole}.Sub(used)
		if got := rest.Of(of).Accelerators; got < left {
			t.Fatalf("the rest of %d is %d, not %d", limit, got, left)
		}
		shards := rapid.IntRange(1, 24).Draw(t, "parts")
		names := make([]string, 0, shards)
		for i := range shards {
			names = append(names, string(rune('a'+i)))
		}
		for _, share := range quota.EqualDivision(names) {
			total += share.Of(of).Accelerators
		}
		if total > limit {
			t.Fatalf("%d parts of %d sum to %d", shards, limit, total)
		}
	})
}

// Guards against two owners that give way to each other, or neither.
func TestOneClaimantPrecedes(t *testing.T) {
	for _, latest := range [][2]int64{{0, 0}, {5, 0}, {0, 5}, {100, 0}, {0, 100}} {
		a, b := quota.Claimant{Shard: "a", LatestStartUnixMS: latest[0]}, quota.Claimant{Shard: "b", LatestStartUnixMS: latest[1]}
		if a.Precedes(b) == b.Precedes(a) {
			t.Errorf("%v: both or neither precede", latest)
		}
	}
}

// Guards against a grant that leaves the giver less than it keeps, or the asker less than
// it may have.
func TestGrant(t *testing.T) {
	for _, scenario := range []struct{ part, kept, asked, given int64 }{
		{500_000, 0, 100_000, 250_000},
		{500_000, 0, 400_000, 400_000},
		{500_000, 0, 900_000, 500_000},
		{500_000, 450_000, 100_000, 50_000},
		{500_000, 700_000, 100_000, 0},
		{500_000, 0, 0, 0},
	} {
		given := quota.Grant(quota.Share{scenario.part}, quota.Share{scenario.kept}, quota.Share{scenario.asked})
		if given != (quota.Share{scenario.given}) {
			t.Errorf("%+v: gave %v", scenario, given)
		}
	}
}

package quota

import (
	"cairnbay"
)

// Whole is the whole quota in the unit of a Share.
const Whole = 1_000_000

// Share is a part of a quota in millionths, by resource.
type Share [cairnbay.Dimensions]int64

// Of returns the part of a quota: the largest amount whose share, rounded down, is within
// s. Amounts of parts that sum to Whole exceed the quota by at most a millionth of it for
// each part, and not at all where the quota times the number of parts is below Whole.
// Rounding the amounts down instead would lose one of three accelerators, since two
// thirds and one third are no whole millionths.
func (s Share) Of(quota cairnbay.Resources) cairnbay.Resources {
	amounts := quota.Values()
	for i, limit := range amounts {
		if s[i] <= 0 || limit <= 0 {
			amounts[i] = 0
			continue
		}
		amounts[i] = min(((s[i]+1)*limit-1)/Whole, limit)
	}
	return cairnbay.Resources{MilliCPU: amounts[0], MemoryMB: amounts[1], Accelerators: amounts[2]}
}

// ShareFor returns the least share of a quota that holds an amount, 0 in a resource
// without a limit.
func ShareFor(amount, quota cairnbay.Resources) (share Share) {
	amounts := amount.Values()
	for i, limit := range quota.Values() {
		if limit > 0 {
			share[i] = max(amounts[i], 0) * Whole / limit
		}
	}
	return share
}

// IsZero reports whether every resource is 0.
func (s Share) IsZero() bool {
	return s == Share{}
}

// Add returns s plus other.
func (s Share) Add(other Share) Share {
	for i := range s {
		s[i] += other[i]
	}
	return s
}

// Sub returns s minus other, at least 0 in each resource.
func (s Share) Sub(other Share) Share {
	for i := range s {
		s[i] = max(s[i]-other[i], 0)
	}
	return s
}

// Max returns the larger share of each resource.
func (s Share) Max(other Share) Share {
	for i := range s {
		s[i] = max(s[i], other[i])
	}
	return s
}

// Min returns the smaller share of each resource.
func (s Share) Min(other Share) Share {
	for i := range s {
		s[i] = min(s[i], other[i])
	}
	return s
}

// Grant returns what an owner gives of its part: the larger of what is asked and half of
// what it does not keep, and never what it keeps. Half saves the asker further requests
// while its work grows.
func Grant(part, kept, asked Share) (given Share) {
	unused := part.Sub(kept)
	for i := range asked {
		if asked[i] > 0 {
			given[i] = min(unused[i], max(asked[i], unused[i]/2))
		}
	}
	return given
}

// latestStartTolerance is the difference of latest starts, in milliseconds, up to which
// they count as equal: two owners read different clocks.
const latestStartTolerance = 20

// Claimant is waiting work that competes with that of another shard for a part.
type Claimant struct {
	Shard             string
	LatestStartUnixMS int64
}

// Precedes reports whether the work has the earlier latest start. The name of the shard
// decides between equal ones, so that two owners never give way to each other.
func (c Claimant) Precedes(other Claimant) bool {
	difference := c.LatestStartUnixMS - other.LatestStartUnixMS
	if difference >= -latestStartTolerance && difference <= latestStartTolerance {
		return c.Shard < other.Shard
	}
	return difference < 0
}

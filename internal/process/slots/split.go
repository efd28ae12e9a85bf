package slots

import "math"

// share is the weight of one member when slots are divided.
type share struct {
	member string
	weight float64
}

// split divides slots in proportion to the weights of the shares, in whole numbers
// that add up to exactly slots. The start in [0, 1) differs by upstream, so that a
// member's rounding loss on one tends to be offset by a gain on another.
//
// Source: systematic sampling (Madow, 1949): each share is an interval on a line
// of length slots, and gets one slot for each point start+k that lies in it.
func split(slots int, start float64, shares []share) map[string]int {
	parts := make(map[string]int, len(shares))
	total := 0.0
	for _, share := range shares {
		total += share.weight
	}
	if total <= 0 {
		return parts
	}
	cumulative, assigned := 0.0, 0
	for i, share := range shares {
		cumulative += share.weight
		points := slots
		if i < len(shares)-1 {
			points = pointsBelow(cumulative/total*float64(slots), start, slots)
		}
		parts[share.member] = points - assigned
		assigned = points
	}
	return parts
}

// pointsBelow counts the points start, start+1, ... that lie below end.
func pointsBelow(end, start float64, slots int) int {
	return min(max(0, int(math.Ceil(end-start))), slots)
}

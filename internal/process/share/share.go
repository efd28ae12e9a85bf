// Package share computes dominant shares of a capacity, weighted between those who
// compete for it.
//
// Source: Ghodsi et al., Dominant Resource Fairness, NSDI 2011.
package share

import "cairnbay"

// Use is an amount of each resource, in the order of cairnbay.Resources.Values. An
// average may hold fractions.
type Use [cairnbay.Dimensions]float64

// Of returns an amount as a Use.
func Of(amount cairnbay.Resources) (use Use) {
	for i, value := range amount.Values() {
		use[i] = float64(value)
	}
	return use
}

// Mix returns the average of two amounts, in which other has the given part.
func (u Use) Mix(other Use, part float64) (mixed Use) {
	for i := range u {
		mixed[i] = u[i] + part*(other[i]-u[i])
	}
	return mixed
}

// Dominant returns the largest share of total in any dimension. Dimensions in which
// total is zero are ignored.
func (u Use) Dominant(total cairnbay.Resources) float64 {
	largest := 0.0
	for i, amount := range total.Values() {
		if amount > 0 {
			largest = max(largest, u[i]/float64(amount))
		}
	}
	return largest
}

// Weighted returns the dominant share divided by a weight. The work of the one with the
// smallest comes first.
func (u Use) Weighted(total cairnbay.Resources, weight float64) float64 {
	return u.Dominant(total) / weight
}

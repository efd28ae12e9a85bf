package audit

import (
	"math/bits"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// maxWait is the longest waiting time told apart from longer ones.
const maxWait = 24 * time.Hour

// Precisions of waiting times, in leading bits.
const (
	// fineBits keeps two significant digits, as in minutes and hours.
	fineBits = 8
	// coarseBits keeps 16 steps to each doubling, as in days.
	coarseBits = 5
)

// waitDigits is how many significant digits a Histogram tells apart; its
// buckets are those of fineBits.
const waitDigits = 2

// buckets counts waiting times by the lowest value of their bucket, in
// microseconds. Only occupied buckets take room, since a histogram of fixed
// size for each of some thousand label sets would not fit a small instance.
type buckets map[uint64]uint64

// bucketOf returns the lowest value of the bucket that holds a value: its
// leading bits.
//
// Source: the log-linear buckets of HdrHistogram.
func bucketOf(value uint64, precision int) uint64 {
	shift := max(0, bits.Len64(value)-precision)
	return value >> shift << shift
}

func (b buckets) add(wait *cairnbayv1.AuditWait, precision int) {
	value := uint64(0)
	for i := range min(len(wait.ValueStepsUs), len(wait.Counts)) {
		value += wait.ValueStepsUs[i]
		b[bucketOf(value, precision)] += wait.Counts[i]
	}
}

func (b buckets) pack(labels cairnbay.Labels) *cairnbayv1.AuditWait {
	wait := &cairnbayv1.AuditWait{
		Labels:       wireLabels(labels),
		ValueStepsUs: make([]uint64, 0, len(b)),
		Counts:       make([]uint64, 0, len(b)),
	}
	values := make([]uint64, 0, len(b))
	for value := range b {
		values = append(values, value)
	}
	slices.Sort(values)
	before := uint64(0)
	for _, value := range values {
		wait.ValueStepsUs = append(wait.ValueStepsUs, value-before)
		wait.Counts = append(wait.Counts, b[value])
		before = value
	}
	return wait
}

// Histogram returns the waiting times of a record, in microseconds. A wait
// whose parts do not match in length is cut to the shorter.
func Histogram(wait *cairnbayv1.AuditWait) *hdrhistogram.Histogram {
	histogram := hdrhistogram.New(1, maxWait.Microseconds(), waitDigits)
	value := uint64(0)
	for i := range min(len(wait.ValueStepsUs), len(wait.Counts)) {
		value += wait.ValueStepsUs[i]
		inRange := min(value, uint64(maxWait.Microseconds()))
		_ = histogram.RecordValues(int64(inRange), int64(wait.Counts[i])) // in range by the line above
	}
	return histogram
}

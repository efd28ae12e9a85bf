package report

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/audit"
)

// maxPoints bounds the points of one line of a plot.
const maxPoints = 120

// point is a value at a moment of Unix time.
type point struct {
	unixMS int64
	value  float64
}

// line is one line of a plot.
type line struct {
	name   string
	points []point
}

// series is what is plotted over time.
type series struct {
	// waitP99 is the 99th percentile of waiting a band, in milliseconds.
	waitP99 []line
	// gauges are the samples, one group a prefix and unit.
	gauges []gaugeGroup
	// versions is one line an instance.
	versions []line
}

// gaugeGroup is the gauges that share a plot.
type gaugeGroup struct {
	title string
	unit  string
	lines []line
}

// Prefixes of the names of samples that are plotted.
const (
	// PackingPrefix begins the names of samples of packing.
	PackingPrefix = "packing"
	// ControlPrefix begins the names of samples of the cost of control.
	ControlPrefix = "control"
)

// bucketKey names a point before its value is known.
type bucketKey struct {
	name   string
	bucket int64
}

func seriesOf(records []*cairnbayv1.AuditRecord, options Options) series {
	width := max(time.Minute, options.To.Sub(options.From)/maxPoints).Milliseconds()
	return series{
		waitP99:  waitSeries(records, options, width),
		gauges:   gaugeGroups(records, width),
		versions: versionSeries(records),
	}
}

func waitSeries(records []*cairnbayv1.AuditRecord, options Options, width int64) []line {
	merged := make(map[bucketKey]*hdrhistogram.Histogram)
	for _, record := range records {
		for _, wait := range record.Waits {
			labels := audit.LabelsOf(wait.Labels)
			if options.wants(labels) {
				mergeInto(merged, bucketKey{labels.Band, record.FromUnixMs / width}, wait)
			}
		}
	}
	values := make(map[bucketKey]float64)
	for key, histogram := range merged {
		values[key] = quantileMS(histogram, 99)
	}
	return linesOf(values, width)
}

func gaugeGroups(records []*cairnbayv1.AuditRecord, width int64) []gaugeGroup {
	var groups []gaugeGroup
	for _, unit := range unitsOf(records) {
		groups = appendGroup(groups, "Packing", unit, sampleSeries(records, PackingPrefix, unit, width))
		groups = appendGroup(groups, "Cost of control, mean of an instance", unit, sampleSeries(records, ControlPrefix, unit, width))
	}
	slices.SortStableFunc(groups, func(a, b gaugeGroup) int { return cmp.Compare(b.title, a.title) })
	return groups
}

func appendGroup(groups []gaugeGroup, title, unit string, lines []line) []gaugeGroup {
	if len(lines) == 0 {
		return groups
	}
	return append(groups, gaugeGroup{title: title, unit: unit, lines: lines})
}

func unitsOf(records []*cairnbayv1.AuditRecord) []string {
	var units []string
	for _, record := range records {
		for _, sample := range record.Samples {
			if !slices.Contains(units, sample.Unit) {
				units = append(units, sample.Unit)
			}
		}
	}
	slices.Sort(units)
	return units
}

// sampleSeries is the mean of gauges over the instances and the bucket.
func sampleSeries(records []*cairnbayv1.AuditRecord, prefix, unit string, width int64) []line {
	sums := make(map[bucketKey]float64)
	counts := make(map[bucketKey]uint64)
	for _, record := range records {
		for _, sample := range record.Samples {
			if sample.Unit != unit || !strings.HasPrefix(sample.Name, prefix) {
				continue
			}
			key := bucketKey{sample.Name, record.FromUnixMs / width}
			sums[key] += sample.Sum
			counts[key] += sample.Count
		}
	}
	for key := range sums {
		sums[key] /= float64(max(1, counts[key]))
	}
	return linesOf(sums, width)
}

func linesOf(values map[bucketKey]float64, width int64) []line {
	byName := make(map[string]*line)
	for key, value := range values {
		known, ok := byName[key.name]
		if !ok {
			known = &line{name: key.name}
			byName[key.name] = known
		}
		known.points = append(known.points, point{unixMS: key.bucket * width, value: value})
	}
	return sortedLines(byName)
}

func versionSeries(records []*cairnbayv1.AuditRecord) []line {
	byName := make(map[string]*line)
	for _, record := range records {
		for _, version := range record.Versions {
			known, ok := byName[record.Instance]
			if !ok {
				known = &line{name: record.Instance}
				byName[record.Instance] = known
			}
			known.points = append(known.points, point{unixMS: version.UnixMs, value: float64(version.Version)})
		}
	}
	return sortedLines(byName)
}

func sortedLines(byName map[string]*line) []line {
	var lines []line
	for _, known := range byName {
		slices.SortFunc(known.points, func(a, b point) int { return cmp.Compare(a.unixMS, b.unixMS) })
		lines = append(lines, *known)
	}
	slices.SortFunc(lines, func(a, b line) int { return cmp.Compare(a.name, b.name) })
	return lines
}

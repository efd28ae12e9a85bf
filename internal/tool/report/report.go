// Package report turns verified audit records into what a reader asks for: a
// verdict a promise, waiting times and counts, as text, JSON, HTML and CSV.
package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/audit"
)

// Options restrict a report. Promises and the chain are always judged over all
// records; Team and Service restrict waiting times and counts.
type Options struct {
	From, To time.Time
	Team     string
	// Service is the kind of the labels: a service's name, or a kind of work.
	Service string
}

// Report is what the records of a stretch of time show.
type Report struct {
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	Team    string    `json:"team,omitempty"`
	Service string    `json:"service,omitempty"`

	Promises []PromiseLine `json:"promises"`
	Lives    []audit.Life  `json:"lives"`
	Faults   []audit.Fault `json:"faults,omitempty"`
	Gaps     []audit.Gap   `json:"gaps,omitempty"`
	// Covered is the share of the instances' time that the records cover.
	Covered float64 `json:"covered"`

	Waits      []WaitLine  `json:"waits,omitempty"`
	Outcomes   []CountLine `json:"outcomes,omitempty"`
	Refusals   []CountLine `json:"refusals,omitempty"`
	Exceptions []CountLine `json:"exceptions,omitempty"`
	Samples    []Sample    `json:"samples,omitempty"`

	series series
}

// WaitLine sums up waiting times in milliseconds.
type WaitLine struct {
	Kind  string  `json:"kind,omitempty"`
	Band  string  `json:"band,omitempty"`
	Team  string  `json:"team,omitempty"`
	Count int64   `json:"count"`
	P50MS float64 `json:"p50_ms"`
	P90MS float64 `json:"p90_ms"`
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
}

// CountLine counts outcomes, reasons or exceptions of one name.
type CountLine struct {
	Kind  string `json:"kind,omitempty"`
	Band  string `json:"band,omitempty"`
	Name  string `json:"name"`
	Count uint64 `json:"count"`
}

// Sample sums up a gauge over all instances.
type Sample struct {
	Name string  `json:"name"`
	Unit string  `json:"unit"`
	Min  float64 `json:"min"`
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

// Make builds the report.
func Make(verified audit.Verified, options Options) Report {
	report := Report{
		From: options.From.UTC(), To: options.To.UTC(), Team: options.Team, Service: options.Service,
		Lives: verified.Lives, Faults: verified.Faults, Gaps: verified.Gaps,
		Covered: covered(verified),
	}
	report.Promises = judgePromises(verified)
	report.Waits = waitLines(verified.Records, options)
	report.Outcomes = countLines(verified.Records, options, (*cairnbayv1.AuditRecord).GetOutcomes)
	report.Refusals = countLines(verified.Records, options, (*cairnbayv1.AuditRecord).GetRefusals)
	report.Exceptions = exceptionLines(verified.Records)
	report.Samples = sampleLines(verified.Records)
	report.series = seriesOf(verified.Records, options)
	return report
}

// Sound says whether every promise was shown to be held by an intact chain.
func (r Report) Sound() bool {
	if len(r.Faults) > 0 {
		return false
	}
	return !slices.ContainsFunc(r.Promises, func(line PromiseLine) bool { return line.State != StateHeld })
}

// lossless are causes of gaps that lose detail but no time.
func lossless(cause string) bool {
	return cause == audit.GapTooManyLabels || cause == audit.GapTooManyExceptions
}

func covered(verified audit.Verified) float64 {
	var whole, lost int64
	for _, life := range verified.Lives {
		whole += life.UntilUnixMS - life.FromUnixMS
	}
	for _, gap := range verified.Gaps {
		if gap.Cause == audit.GapNoFinalRecord {
			// At most the open minute was lost; the rest is time after the end.
			open := min(gap.UntilUnixMS-gap.FromUnixMS, time.Minute.Milliseconds())
			whole += open
			lost += open
			continue
		}
		if !lossless(gap.Cause) {
			lost += gap.UntilUnixMS - gap.FromUnixMS
		}
	}
	if whole <= 0 {
		return 0
	}
	return float64(max(0, whole-lost)) / float64(whole)
}

func (o Options) wants(labels cairnbay.Labels) bool {
	return (o.Team == "" || o.Team == labels.Team) && (o.Service == "" || o.Service == labels.Kind)
}

// shown leaves the team out of a line unless it was asked for.
func (o Options) shown(labels cairnbay.Labels) cairnbay.Labels {
	if o.Team == "" {
		labels.Team = ""
	}
	return labels
}

func waitLines(records []*cairnbayv1.AuditRecord, options Options) []WaitLine {
	merged := make(map[cairnbay.Labels]*hdrhistogram.Histogram)
	for _, record := range records {
		for _, wait := range record.Waits {
			labels := audit.LabelsOf(wait.Labels)
			if options.wants(labels) {
				mergeInto(merged, options.shown(labels), wait)
			}
		}
	}
	var lines []WaitLine
	for labels, histogram := range merged {
		lines = append(lines, waitLine(labels, histogram))
	}
	slices.SortFunc(lines, func(a, b WaitLine) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Band, b.Band), cmp.Compare(a.Team, b.Team))
	})
	return lines
}

func mergeInto[Key comparable](merged map[Key]*hdrhistogram.Histogram, key Key, wait *cairnbayv1.AuditWait) {
	histogram := audit.Histogram(wait)
	if known, ok := merged[key]; ok {
		known.Merge(histogram)
		return
	}
	merged[key] = histogram
}

const microsPerMilli = 1000.0

func waitLine(labels cairnbay.Labels, histogram *hdrhistogram.Histogram) WaitLine {
	return WaitLine{
		Kind: labels.Kind, Band: labels.Band, Team: labels.Team,
		Count: histogram.TotalCount(),
		P50MS: quantileMS(histogram, 50),
		P90MS: quantileMS(histogram, 90),
		P99MS: quantileMS(histogram, 99),
		MaxMS: float64(histogram.Max()) / microsPerMilli,
	}
}

func quantileMS(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / microsPerMilli
}

func countLines(records []*cairnbayv1.AuditRecord, options Options, of func(*cairnbayv1.AuditRecord) []*cairnbayv1.AuditCount) []CountLine {
	counts := make(map[CountLine]uint64)
	for _, record := range records {
		for _, count := range of(record) {
			labels := audit.LabelsOf(count.Labels)
			if options.wants(labels) {
				counts[CountLine{Kind: labels.Kind, Band: labels.Band, Name: count.Name}] += count.Count
			}
		}
	}
	return sortedCounts(counts)
}

func exceptionLines(records []*cairnbayv1.AuditRecord) []CountLine {
	counts := make(map[CountLine]uint64)
	for _, record := range records {
		for _, exception := range record.Exceptions {
			counts[CountLine{Name: exception.Name}]++
		}
	}
	return sortedCounts(counts)
}

func sortedCounts(counts map[CountLine]uint64) []CountLine {
	var lines []CountLine
	for line, count := range counts {
		line.Count = count
		lines = append(lines, line)
	}
	slices.SortFunc(lines, func(a, b CountLine) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Band, b.Band), cmp.Compare(a.Name, b.Name))
	})
	return lines
}

func sampleLines(records []*cairnbayv1.AuditRecord) []Sample {
	merged := make(map[string]*cairnbayv1.AuditSample)
	for _, record := range records {
		for _, sample := range record.Samples {
			merged[sample.Name] = audit.JoinSamples(merged[sample.Name], sample)
		}
	}
	var lines []Sample
	for _, sample := range merged {
		lines = append(lines, Sample{
			Name: sample.Name, Unit: sample.Unit, Min: sample.Min, Max: sample.Max,
			Mean: sample.Sum / float64(max(1, sample.Count)),
		})
	}
	slices.SortFunc(lines, func(a, b Sample) int { return cmp.Compare(a.Name, b.Name) })
	return lines
}

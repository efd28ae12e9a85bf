package report

import (
	"bytes"
	"fmt"
	"html/template"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a chart.
const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 7 * vg.Centimeter
	lineWidth   = 1.5
	axisGap     = 2 * vg.Millimeter
	// edgeGap leaves room for the half of the last label beyond the axis.
	edgeGap   = 8 * vg.Millimeter
	pointSize = 1 * vg.Millimeter
)

// maxLegend is how many lines a legend names.
const maxLegend = 12

// legendEntry names a line by its colour, as "#rrggbb".
type legendEntry struct {
	Name   string
	Colour string
}

// legend is shown beside the drawing, where it covers no line.
func (c chart) legend() []legendEntry {
	var entries []legendEntry
	for i, line := range c.lines[:min(len(c.lines), maxLegend)] {
		red, green, blue, _ := plotutil.Color(i).RGBA()
		entries = append(entries, legendEntry{
			Name: line.name, Colour: fmt.Sprintf("#%02x%02x%02x", red>>8, green>>8, blue>>8),
		})
	}
	return entries
}

// timeTicks puts labels at round times.
type timeTicks struct{}

// maxTicks is how many labels an axis has room for.
const maxTicks = 8

// Ticks implements plot.Ticker on seconds of Unix time.
func (timeTicks) Ticks(from, to float64) []plot.Tick {
	step := tickStep(time.Duration((to - from) * float64(time.Second)))
	layout := tickLayout(step)
	var ticks []plot.Tick
	first := time.Unix(int64(from), 0).UTC().Truncate(step)
	for at := first; float64(at.Unix()) <= to; at = at.Add(step) {
		if float64(at.Unix()) >= from {
			ticks = append(ticks, plot.Tick{Value: float64(at.Unix()), Label: at.Format(layout)})
		}
	}
	return ticks
}

// tickLayout is as fine as the step between two labels.
func tickLayout(step time.Duration) string {
	switch {
	case step >= 24*time.Hour:
		return "2006-01-02"
	case step < time.Minute:
		return "15:04:05"
	default:
		return "15:04"
	}
}

// tickStep is the shortest round step that leaves at most maxTicks labels.
func tickStep(length time.Duration) time.Duration {
	const day = 24 * time.Hour
	steps := []time.Duration{
		time.Second, 5 * time.Second, 15 * time.Second, time.Minute, 5 * time.Minute, 15 * time.Minute, 30 * time.Minute,
		time.Hour, 2 * time.Hour, 3 * time.Hour, 6 * time.Hour, 12 * time.Hour, day, 2 * day, 7 * day, 30 * day,
	}
	for _, step := range steps {
		if length/step <= maxTicks {
			return step
		}
	}
	return length / maxTicks
}

// chart is one plot over time.
type chart struct {
	title string
	unit  string
	// stepped lines keep their value until the next point.
	stepped bool
	lines   []line
}

func (r Report) charts() []chart {
	charts := []chart{{title: "Waiting time before work started, 99th percentile by band", unit: "ms", lines: r.series.waitP99}}
	for _, gauge := range r.series.gauges {
		charts = append(charts, chart{title: gauge.title, unit: gauge.unit, lines: gauge.lines})
	}
	return append(charts, chart{
		title: "Settings version in force by instance", unit: "version", stepped: true, lines: r.series.versions,
	})
}

func (c chart) empty() bool {
	return len(c.lines) == 0
}

// svg draws the chart as an element that can stand inside HTML.
func (c chart) svg() (template.HTML, error) {
	panel, err := c.panel()
	if err != nil {
		return "", err
	}
	canvas := vgsvg.New(chartWidth, chartHeight)
	panel.Draw(draw.Crop(draw.New(canvas), 0, -edgeGap, 0, 0))
	return inline(canvas)
}

func (c chart) panel() (*plot.Plot, error) {
	panel := plot.New()
	panel.Y.Label.Text = c.unit
	panel.X.Tick.Marker = timeTicks{}
	panel.X.Padding, panel.Y.Padding = axisGap, axisGap
	panel.Add(plotter.NewGrid())
	for i, line := range c.lines {
		drawn, err := plotter.NewLine(pointsOf(line))
		if err != nil {
			return nil, errors.Annotatef(err, "line %q", line.name)
		}
		drawn.Color = plotutil.Color(i)
		drawn.Width = vg.Points(lineWidth)
		if c.stepped {
			drawn.StepStyle = plotter.PostStep
		}
		panel.Add(drawn)
		if len(line.points) == 1 {
			panel.Add(pointOf(line, i))
		}
	}
	panel.Y.Min = min(0, panel.Y.Min)
	return panel, nil
}

// pointOf draws the single point of a line, which as a line has no length.
func pointOf(line line, colour int) *plotter.Scatter {
	drawn := &plotter.Scatter{XYs: pointsOf(line), GlyphStyle: plotter.DefaultGlyphStyle}
	drawn.Color = plotutil.Color(colour)
	drawn.Radius = pointSize
	drawn.Shape = draw.CircleGlyph{}
	return drawn
}

func pointsOf(line line) plotter.XYs {
	points := make(plotter.XYs, 0, len(line.points))
	for _, point := range line.points {
		points = append(points, plotter.XY{X: float64(point.unixMS) / 1000, Y: point.value})
	}
	return points
}

// inline drops the XML header, which has no place inside HTML.
func inline(canvas *vgsvg.Canvas) (template.HTML, error) {
	var drawing bytes.Buffer
	if _, err := canvas.WriteTo(&drawing); err != nil {
		return "", errors.Trace(err)
	}
	start := bytes.Index(drawing.Bytes(), []byte("<svg"))
	if start < 0 {
		return "", errors.New("drawing without an svg element")
	}
	return template.HTML(drawing.Bytes()[start:]), nil
}

func textOf(name any) string {
	return fmt.Sprint(name)
}

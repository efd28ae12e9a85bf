package report

import (
	"bytes"
	"embed"
	"html/template"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"
)

//go:embed report.gohtml
var pages embed.FS

// page is what the template shows.
type page struct {
	Report
	Plots []plotted
}

// plotted is a chart as inline SVG.
type plotted struct {
	Title  string
	Legend []legendEntry
	SVG    template.HTML
}

// HTML writes the report as one page that needs no other file.
func HTML(out io.Writer, report Report) error {
	shown, err := template.New("report.gohtml").Funcs(template.FuncMap{
		"when":     timeText,
		"number":   number,
		"percent":  func(share float64) string { return number(share*100) + " %" },
		"day":      func(at time.Time) string { return at.Format("2006-01-02 15:04:05Z") },
		"spaced":   func(name any) string { return strings.ReplaceAll(textOf(name), "_", " ") },
		"evidence": Evidence.text,
	}).ParseFS(pages, "report.gohtml")
	if err != nil {
		return errors.Trace(err)
	}
	content := page{Report: report}
	for _, chart := range report.charts() {
		if !chart.empty() {
			drawing, err := chart.svg()
			if err != nil {
				return errors.Annotatef(err, "plot %q", chart.title)
			}
			content.Plots = append(content.Plots, plotted{Title: chart.title, Legend: chart.legend(), SVG: drawing})
		}
	}
	return errors.Trace(shown.Execute(out, content))
}

// Export writes report.html and the CSV files into a directory, which it makes.
func Export(directory string, report Report) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Trace(err)
	}
	var content bytes.Buffer
	if err := HTML(&content, report); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(directory, "report.html"), content.Bytes(), 0o644); err != nil {
		return errors.Trace(err)
	}
	return CSV(directory, report)
}

package report

import (
	"encoding/csv"
	"os"
	"path/filepath"
	"strconv"

	"github.com/juju/errors"
)

// table is one CSV file.
type table struct {
	name   string
	header []string
	rows   [][]string
}

// CSV writes the report's tables into a directory, one file each.
func CSV(directory string, report Report) error {
	tables := []table{
		promiseTable(report), evidenceTable(report), waitTable(report),
		countTable("outcomes", report.Outcomes), countTable("refusals", report.Refusals),
		countTable("exceptions", report.Exceptions), faultTable(report), gapTable(report), seriesTable(report),
	}
	for _, table := range tables {
		if err := table.write(directory); err != nil {
			return err
		}
	}
	return nil
}

func (t table) write(directory string) error {
	path := filepath.Join(directory, t.name+".csv")
	file, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	writer := csv.NewWriter(file)
	err = writer.WriteAll(append([][]string{t.header}, t.rows...))
	if err != nil {
		_ = file.Close() // the first error is the one to report
		return errors.Annotatef(err, "file %q", path)
	}
	return errors.Trace(file.Close())
}

func promiseTable(report Report) table {
	found := table{name: "promises", header: []string{"promise", "state", "held", "broken", "why"}}
	for _, line := range report.Promises {
		found.rows = append(found.rows, []string{string(line.Promise), string(line.State), unsigned(line.Held), unsigned(line.Broken), line.Why})
	}
	return found
}

func evidenceTable(report Report) table {
	found := table{name: "evidence", header: []string{"promise", "time", "evidence"}}
	for _, line := range report.Promises {
		for _, evidence := range line.Evidence {
			found.rows = append(found.rows, []string{string(line.Promise), timeText(evidence.UnixMS), evidence.text()})
		}
	}
	return found
}

func waitTable(report Report) table {
	found := table{name: "waits", header: []string{"kind", "band", "team", "count", "p50_ms", "p90_ms", "p99_ms", "max_ms"}}
	for _, line := range report.Waits {
		found.rows = append(found.rows, []string{
			line.Kind, line.Band, line.Team, strconv.FormatInt(line.Count, 10),
			number(line.P50MS), number(line.P90MS), number(line.P99MS), number(line.MaxMS),
		})
	}
	return found
}

func countTable(name string, lines []CountLine) table {
	found := table{name: name, header: []string{"kind", "band", "name", "count"}}
	for _, line := range lines {
		found.rows = append(found.rows, []string{line.Kind, line.Band, line.Name, unsigned(line.Count)})
	}
	return found
}

func faultTable(report Report) table {
	found := table{name: "faults", header: []string{"kind", "instance", "first_sequence", "last_sequence", "detail"}}
	for _, fault := range report.Faults {
		found.rows = append(found.rows, []string{
			string(fault.Kind), fault.Instance, unsigned(fault.FirstSequence), unsigned(fault.LastSequence), fault.Detail,
		})
	}
	return found
}

func gapTable(report Report) table {
	found := table{name: "gaps", header: []string{"instance", "from", "until", "cause", "lost"}}
	for _, gap := range report.Gaps {
		found.rows = append(found.rows, []string{
			gap.Instance, timeText(gap.FromUnixMS), timeText(gap.UntilUnixMS), gap.Cause, unsigned(gap.Lost),
		})
	}
	return found
}

func seriesTable(report Report) table {
	found := table{name: "series", header: []string{"plot", "line", "time", "value"}}
	for _, chart := range report.charts() {
		for _, line := range chart.lines {
			for _, point := range line.points {
				found.rows = append(found.rows, []string{
					chart.title, line.name, timeText(point.unixMS), strconv.FormatFloat(point.value, 'g', -1, 64),
				})
			}
		}
	}
	return found
}

func unsigned(value uint64) string {
	return strconv.FormatUint(value, 10)
}

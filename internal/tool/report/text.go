package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// JSON writes the report with snake-case names.
func JSON(out io.Writer, report Report) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Trace(encoder.Encode(report))
}

// Text writes the report for a terminal.
func Text(out io.Writer, report Report) error {
	fmt.Fprintf(out, "Audit from %s to %s\n", report.From.Format(time.RFC3339), report.To.Format(time.RFC3339))
	fmt.Fprintf(out, "%d lives of instances; %.2f %% of their time covered by records; %d faults in the chain\n\n",
		len(report.Lives), report.Covered*100, len(report.Faults))
	printPromises(out, report.Promises)
	printFaults(out, report)
	printGaps(out, report)
	if err := printWaits(out, report.Waits); err != nil {
		return err
	}
	printCounts(out, "Outcomes", report.Outcomes)
	printCounts(out, "Refusals", report.Refusals)
	printCounts(out, "Exceptions", report.Exceptions)
	return nil
}

func printPromises(out io.Writer, lines []PromiseLine) {
	fmt.Fprintln(out, "Promises")
	for _, line := range lines {
		fmt.Fprintf(out, "  %-32s %-16s %d held, %d broken", line.Promise, line.State, line.Held, line.Broken)
		if line.Why != "" {
			fmt.Fprintf(out, " (%s)", line.Why)
		}
		fmt.Fprintln(out)
		for _, evidence := range line.Evidence {
			fmt.Fprintf(out, "      %s\n", evidence.text())
		}
	}
}

func printFaults(out io.Writer, report Report) {
	if len(report.Faults) == 0 {
		return
	}
	fmt.Fprintln(out, "\nFaults in the chain")
	for _, fault := range report.Faults {
		fmt.Fprintf(out, "  %-13s %s records %d to %d: %s\n",
			fault.Kind, orDash(fault.Instance), fault.FirstSequence, fault.LastSequence, fault.Detail)
	}
}

func printGaps(out io.Writer, report Report) {
	if len(report.Gaps) == 0 {
		return
	}
	fmt.Fprintln(out, "\nNot covered")
	for _, gap := range report.Gaps {
		fmt.Fprintf(out, "  %s from %s to %s: %s", gap.Instance, timeText(gap.FromUnixMS), timeText(gap.UntilUnixMS), gap.Cause)
		if gap.Lost > 0 {
			fmt.Fprintf(out, ", %d lost", gap.Lost)
		}
		fmt.Fprintln(out)
	}
}

func printWaits(out io.Writer, lines []WaitLine) error {
	if len(lines) == 0 {
		return nil
	}
	fmt.Fprintln(out, "\nWaiting time before work started, in milliseconds")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\tband\tteam\tcount\tp50\tp90\tp99\tmax\t")
	for _, line := range lines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t\n", orDash(line.Kind), orDash(line.Band), orDash(line.Team),
			line.Count, number(line.P50MS), number(line.P90MS), number(line.P99MS), number(line.MaxMS))
	}
	return errors.Trace(table.Flush())
}

func printCounts(out io.Writer, title string, lines []CountLine) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(out, "\n%s\n", title)
	for _, line := range lines {
		fmt.Fprintf(out, "  %-12s %-12s %-32s %d\n", orDash(line.Kind), orDash(line.Band), line.Name, line.Count)
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func number(value float64) string {
	return strconv.FormatFloat(value, 'f', 1, 64)
}

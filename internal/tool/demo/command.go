package demo

import (
	"context"
	"encoding/json"
	"flag"
	"io"

	"github.com/juju/errors"

	audited "cairnbay/internal/tool/report"
	"cairnbay/internal/tool/shell"
)

// Command runs the demo from the shell.
func Command() shell.Command {
	return shell.Command{
		Name:     "demo",
		Summary:  "run the main job on embedded stand-ins, with failures, and judge every promise",
		Examples: []string{"cairnbay demo", "cairnbay demo -json -seed 7", "cairnbay demo -export audit-report"},
		Prepare: func(flags *flag.FlagSet, streams shell.Streams) shell.Runner {
			seed := flags.Uint64("seed", 1, "`number` that makes the callers' load")
			perSecond := flags.Int("rate", 300, "requests a `second`")
			logs := flags.Bool("logs", false, "show the instances' logs on standard error")
			export := flags.String("export", "", "write the audit's page and CSV files to this `folder`")
			asJSON := flags.Bool("json", false, "print the report as JSON")
			return func(ctx context.Context, arguments []string) error {
				if len(arguments) > 0 {
					return errors.Annotatef(shell.ErrUsage, "argument %q is not expected", arguments[0])
				}
				config := Config{Progress: streams.Err, Logs: io.Discard, Seed: *seed, PerSecond: *perSecond}
				if *logs {
					config.Logs = streams.Err
				}
				return runCommand(ctx, config, streams.Out, output{asJSON: *asJSON, export: *export})
			}
		},
	}
}

// output says how a report is shown.
type output struct {
	asJSON bool
	export string
}

func runCommand(ctx context.Context, config Config, out io.Writer, show output) error {
	report, err := Run(ctx, config)
	if err != nil {
		return err
	}
	if show.export != "" {
		if err := audited.Export(show.export, report.Audit); err != nil {
			return err
		}
	}
	if show.asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(report)
	} else {
		report.Print(out)
	}
	if err != nil {
		return errors.Trace(err)
	}
	if broken := report.Broken(); broken > 0 {
		return errors.Errorf("%d promises were broken", broken)
	}
	if report.JobsOpen > 0 {
		return errors.Errorf("%d jobs were not finished", report.JobsOpen)
	}
	return nil
}

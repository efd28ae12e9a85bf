// Package serve has the commands that run until they are stopped: an entry
// instance, and the platform's stand-ins.
package serve

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/term"

	"cairnbay/internal/process/config"
	"cairnbay/internal/process/entry"
	"cairnbay/internal/process/timer"
	"cairnbay/internal/process/trace"
	"cairnbay/internal/tool/shell"
)

// EntryCommand runs one entry instance.
func EntryCommand() shell.Command {
	return shell.Command{
		Name:    "entry",
		Summary: "run one entry instance until it is stopped",
		Examples: []string{
			"cairnbay entry -instance e1 -data-centre tallinn-a -store 127.0.0.1:7100 -list 127.0.0.1:7101",
			"CAIRNBAY_INSTANCE=e1 CAIRNBAY_DATA_CENTRE=tallinn-a cairnbay entry -print-settings",
		},
		Prepare: func(flags *flag.FlagSet, streams shell.Streams) shell.Runner {
			source := config.Register(flags)
			show := flags.Bool("print-settings", false, "print each setting with where it comes from, and exit")
			asJSON := flags.Bool("json", false, "with -print-settings: print JSON")
			return func(ctx context.Context, arguments []string) error {
				if len(arguments) > 0 {
					return errors.Annotatef(shell.ErrUsage, "argument %q is not expected", arguments[0])
				}
				settings, values, err := source.Load(streams.Getenv)
				if *show {
					return stderrUsage(printSettings(streams.Out, values, *asJSON), err)
				}
				if err != nil {
					return errors.Annotatef(shell.ErrUsage, "%v", err)
				}
				return runEntry(ctx, settings, streams)
			}
		},
	}
}

// stderrUsage prefers a failure to print over faults of the settings.
func stderrUsage(printed, faults error) error {
	if printed != nil {
		return printed
	}
	if faults != nil {
		return errors.Annotatef(shell.ErrUsage, "%v", faults)
	}
	return nil
}

func printSettings(out io.Writer, values []config.Value, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(values))
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "FLAG\tVARIABLE\tVALUE\tFROM")
	for _, value := range values {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", value.Flag, value.Variable, value.Value, value.Origin)
	}
	return errors.Trace(table.Flush())
}

// runEntry serves until the first signal, then stops within the limit; a
// second signal ends it at once.
func runEntry(ctx context.Context, settings config.Settings, streams shell.Streams) error {
	log := newLog(settings, streams.Err)
	clock := timer.New()
	defer clock.Close()
	stopTraces, err := trace.Start(ctx, trace.Config{
		Exporter: settings.Traces, URL: settings.TracesURL, Out: streams.Out,
		Instance: settings.Instance, DataCentre: settings.DataCentre,
	})
	if err != nil {
		return errors.Annotatef(shell.ErrUsage, "%v", err)
	}
	available, err := machine(settings.MemoryMB<<20, 0)
	if err != nil {
		return err
	}
	instance, err := entry.New(ctx, entry.Config{Settings: settings, Clock: clock, Log: log, Machine: available})
	if err != nil {
		return err
	}
	log.WithFields(logrus.Fields{
		"callers": instance.CallersAddress(), "members": instance.MembersAddress(), "operators": instance.OperatorsAddress(),
	}).Info("entry instance serves")
	failed := instance.Wait(ctx)
	limited, cancel := stopContext(settings)
	defer cancel()
	stopped := instance.Stop(limited)
	flushed := stopTraces(limited)
	return firstError(failed, stopped, flushed)
}

// stopContext ends after the stop limit, or at a second signal.
func stopContext(settings config.Settings) (context.Context, context.CancelFunc) {
	limited, cancelLimit := context.WithTimeout(context.Background(), settings.StopLimit)
	signalled, cancelSignal := signal.NotifyContext(limited, os.Interrupt, syscall.SIGTERM)
	return signalled, func() {
		cancelSignal()
		cancelLimit()
	}
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// newLog writes text to a terminal and JSON elsewhere, unless told otherwise.
func newLog(settings config.Settings, out io.Writer) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(out)
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err == nil {
		log.SetLevel(level)
	}
	if wantsJSON(settings.LogFormat, out) {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log.WithFields(logrus.Fields{"instance": settings.Instance, "data_centre": settings.DataCentre})
}

func wantsJSON(format string, out io.Writer) bool {
	switch format {
	case "json":
		return true
	case "text":
		return false
	}
	file, ok := out.(*os.File)
	return !ok || !term.IsTerminal(int(file.Fd()))
}

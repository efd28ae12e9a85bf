package serve

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"cairnbay/internal/fake/stand"
	"cairnbay/internal/process/timer"
	"cairnbay/internal/tool/shell"
)

// standinFlags are the flags of standin.
type standinFlags struct {
	layout  string
	store   string
	list    string
	control string
	lag     time.Duration
	writes  int
	reads   int
}

// Rates that the platform's store is known to take.
const (
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
	defaultListLag         = 2 * time.Second
)

// StandinCommand runs the platform's stand-ins over loopback.
func StandinCommand() shell.Command {
	return shell.Command{
		Name:    "standin",
		Summary: "run stand-ins of the platform over loopback: store, list, workers, upstreams",
		Examples: []string{
			"cairnbay standin -layout cascade",
			`curl -X POST 127.0.0.1:7102/faults -d '{"store": {"down": true}}'`,
			`curl -X POST 127.0.0.1:7102/faults -d '{"workers": {"tallinn-a-quoting-worker-00": {"Paused": true}}}'`,
			"curl 127.0.0.1:7102/verdicts",
		},
		Prepare: func(flags *flag.FlagSet, streams shell.Streams) shell.Runner {
			f := &standinFlags{}
			flags.StringVar(&f.layout, "layout", "vihmavesi", "`name` of the layout: "+strings.Join(stand.LayoutNames(), ", "))
			flags.StringVar(&f.store, "store", "127.0.0.1:7100", "`ip:port` of the store")
			flags.StringVar(&f.list, "list", "127.0.0.1:7101", "`ip:port` of the list")
			flags.StringVar(&f.control, "control", "127.0.0.1:7102", "`ip:port` for faults, entry instances, records and verdicts")
			flags.DurationVar(&f.lag, "list-lag", defaultListLag, "`time` by which the list lags")
			flags.IntVar(&f.writes, "writes", defaultWritesPerSecond, "store writes a `second`")
			flags.IntVar(&f.reads, "reads", defaultReadsPerSecond, "store reads a `second`")
			return func(ctx context.Context, arguments []string) error {
				if len(arguments) > 0 {
					return errors.Annotatef(shell.ErrUsage, "argument %q is not expected", arguments[0])
				}
				return runStandin(ctx, f, streams)
			}
		},
	}
}

func runStandin(ctx context.Context, f *standinFlags, streams shell.Streams) error {
	layout, err := stand.FindLayout(f.layout)
	if err != nil {
		return errors.Annotatef(shell.ErrUsage, "%v", err)
	}
	clock := timer.New()
	defer clock.Close()
	platform, err := stand.New(stand.Config{
		Clock: clock, Layout: layout, StoreListen: f.store, ListListen: f.list, ListLag: f.lag,
		WritesPerSecond: f.writes, ReadsPerSecond: f.reads,
	})
	if err != nil {
		return err
	}
	defer platform.Close()
	listener, err := net.Listen("tcp", f.control)
	if err != nil {
		return errors.Annotate(err, "control address")
	}
	server := &http.Server{Handler: platform.Control(), ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	fmt.Fprintf(streams.Out, "store %s, list %s, control %s, %d workers and upstreams\n",
		platform.StoreAddress, platform.ListAddress, listener.Addr(), len(platform.Instances()))
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Annotate(err, "control address")
	}
	return json.NewEncoder(streams.Out).Encode(platform.Store.Counts())
}

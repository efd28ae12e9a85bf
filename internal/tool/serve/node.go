package serve

import (
	"context"
	"flag"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"cairnbay/internal/process/logq"
	"cairnbay/internal/process/node"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/timer"
	"cairnbay/internal/request/gate"
	"cairnbay/internal/tool/shell"
	"cairnbay/platform"
)

const (
	// workerLease is how long a worker runs on without its owner. It covers the
	// lapse of an owner's store lease and the takeover.
	workerLease = 5 * time.Second
	// storeLease is how long an owner may be silent before its classes go to
	// another instance.
	storeLease = 1400 * time.Millisecond
	// watchWait is how long the store holds a watch, and watchStall the longest
	// silence before a watch is taken for dead; both fit into the time within
	// which a configuration must be in force.
	watchWait  = 900 * time.Millisecond
	watchStall = 1500 * time.Millisecond
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// userTimeout ends a connection whose bytes are not acknowledged.
	userTimeout = 1500 * time.Millisecond
	// idleConnections is how many idle connections are kept to one peer.
	idleConnections = 16
	// idleLife is how long an unused connection is kept.
	idleLife = 30 * time.Second
	// logLines bounds the log lines that wait to be written.
	logLines = 8192
	// admitShare and holdShare of the instance's memory are for the jobs of each shard that
	// it owns: up to the first jobs are admitted, up to the second those of former owners
	// are taken over. An instance may own several shards.
	admitShare = 0.125
	holdShare  = 0.3
	// maxAdmitted bounds the first, in bytes, and is the least of the second, so that any
	// next owner can hold what any other has admitted.
	maxAdmitted = 40 << 20
)

// memoryLimits returns the limits for the jobs of a shard on an instance with that much
// memory, in bytes. Any owner admits a job of the largest size.
func memoryLimits(memory int64) sched.MemoryLimits {
	admitted := max(int64(float64(memory)*admitShare), sched.MaxJobFootprint)
	return sched.MemoryLimits{
		Admit: min(admitted, maxAdmitted),
		Hold:  max(int64(float64(memory)*holdShare), maxAdmitted),
	}
}

// NodeCommand runs one instance on the users' platform.
func NodeCommand() shell.Command {
	return shell.Command{
		Name:    "node",
		Summary: "run one instance on the platform until it is stopped",
		Examples: []string{
			platform.SettingsVariable + "=/etc/cairnbay/node.toml cairnbay node",
			"cairnbay node -settings node.toml -check",
		},
		Prepare: func(flags *flag.FlagSet, streams shell.Streams) shell.Runner {
			path := flags.String("settings", streams.Getenv(platform.SettingsVariable), "path of the platform's settings `file`")
			check := flags.Bool("check", false, "check the settings and exit")
			level := flags.String("log-level", "info", "lowest `level` logged: info has a line for each decision, warning only what went wrong")
			learned := flags.String("learn", sched.AllLearnUses.String(), "`uses` of learned run times, separated by commas; empty for none")
			return func(ctx context.Context, arguments []string) error {
				if len(arguments) > 0 {
					return errors.Annotatef(shell.ErrUsage, "argument %q is not expected", arguments[0])
				}
				if *path == "" {
					return errors.Annotatef(shell.ErrUsage, "neither -settings nor %s names a file", platform.SettingsVariable)
				}
				settings, err := platform.LoadSettings(*path)
				if err != nil {
					return errors.Annotatef(shell.ErrUsage, "%v", err)
				}
				lowest, err := logrus.ParseLevel(*level)
				if err != nil {
					return errors.Annotatef(shell.ErrUsage, "-log-level: %v", err)
				}
				uses, err := sched.ParseLearnUses(*learned)
				if err != nil {
					return errors.Annotatef(shell.ErrUsage, "-learn: %v", err)
				}
				if *check {
					return nil
				}
				return runNode(ctx, *path, settings, streams, lowest, uses)
			}
		},
	}
}

func runNode(ctx context.Context, path string, settings platform.Settings, streams shell.Streams, lowest logrus.Level, uses sched.LearnUses) error {
	runtime.GOMAXPROCS(1)
	available, err := machine(settings.MemoryMB<<20, settings.MaxDescriptors)
	if err != nil {
		return err
	}
	lines := logq.New(logq.Config{Out: streams.Out, MaxLines: logLines})
	defer lines.Close()
	logger := logrus.New()
	logger.SetOutput(lines)
	logger.SetFormatter(&logq.Formatter{TimestampFormat: "15:04:05.000"})
	logger.SetLevel(lowest)
	log := logger.WithField("instance", settings.Instance)
	clock := timer.New()
	defer clock.Close()
	set := metrics.NewSet()
	set.NewGauge("cairnbay_log_lines_dropped", func() float64 { return float64(lines.Dropped()) })
	running, err := node.New(node.Config{
		Instance: settings.Instance, DataCentre: settings.DataCentre,
		CallerAddress: settings.CallerAddress, ReadyAddress: settings.ReadyAddress,
		MemberAddress:  net.JoinHostPort(settings.IP, strconv.Itoa(settings.MemberPort)),
		MetricsAddress: net.JoinHostPort(settings.IP, strconv.Itoa(settings.MetricsPort)),
		Cores:          settings.Cores, LinkMbps: settings.LinkMbps, Machine: available, Grace: settings.Grace,
		Lease: min(workerLease, settings.MaxLease), MaxLease: settings.MaxLease, StoreLease: max(storeLease, settings.StoreMinLease),
		WatchStallTimeout: watchStall, WatchHold: watchWait,
		Sched: sched.Config{
			CrossRackFactor: settings.CrossRackFactor,
			Retention:       settings.StatusRetention, StopTime: settings.StopTime, Learn: uses,
			Memory: memoryLimits(settings.MemoryMB << 20),
		},
		Platform: adapters(settings), Clock: clock, Log: log, Metrics: set,
		MemberClient: client(),
	})
	if err != nil {
		log.WithError(err).Error("not started")
		return errors.Trace(err)
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	for {
		select {
		case <-reload:
			reloadSettings(path, settings, log)
		case <-ctx.Done():
			running.Stop()
			return nil
		}
	}
}

// reloadSettings checks the settings file again. Addresses and limits are taken
// at a start only.
func reloadSettings(path string, now platform.Settings, log *logrus.Entry) {
	next, err := platform.LoadSettings(path)
	if err != nil {
		log.WithError(err).Error("settings not reloaded")
		return
	}
	log.WithField("changed", next != now).Info("settings read again; changes apply at the next start")
}

// adapters connects the node to the platform.
func adapters(settings platform.Settings) node.Platform {
	bound := node.Platform{
		Store: platform.NewStore(platform.StoreConfig{
			Address: settings.StoreAddress, Client: client(), WatchWait: watchWait,
		}),
		Agent: platform.NewAgent(newDialer(), idleLife),
		Format: gate.Format{
			DeadlineHeader: platform.DeadlineHeader, DecodeWorkflow: platform.DecodeWorkflow, CountObjects: platform.CountObjects,
			EncodeState: platform.EncodeState, EncodeQueueLength: platform.EncodeQueueLength,
		},
		RoutingPrefix: platform.OperatorPrefix, RoutingKey: platform.RoutingKey, WorkerPrefix: platform.WorkerPrefix,
		DecodeRouting: platform.DecodeRouting, DigestKeys: platform.DigestKeys, DecodeWorker: platform.DecodeWorker,
		ReadyPath: platform.ReadyPath,
	}
	if settings.AdvisorAddress != "" {
		bound.Advisor = platform.NewAdvisor(settings.AdvisorAddress, client())
	}
	return bound
}

// newDialer returns a dialer whose connections end when their peer goes silent.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: userTimeout,
		Control: func(_, _ string, conn syscall.RawConn) error {
			var failed error
			err := conn.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

// client returns an HTTP client on the connections of newDialer.
func client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: newDialer().DialContext, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleLife,
		DisableCompression: true,
	}}
}

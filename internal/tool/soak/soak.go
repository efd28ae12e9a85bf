// Package soak runs real instances as processes on this machine, injects faults
// from outside them by a seeded schedule, and checks the promises from what
// callers and workers see.
package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/juju/errors"

	"cairnbay/internal/process/timer"
	"cairnbay/internal/tool/shell"
)

// Config is one run.
type Config struct {
	Seed      uint64
	Length    time.Duration
	Instances int
	Workers   int
	// Shards is the number of shards of the workers' class, at least 1.
	Shards int
	// Workspaces is the number of workspaces whose keys callers need; 0 for a
	// configuration without them.
	Workspaces int
	// Quota is the highest quota of the workspace of all jobs, in tasks; it is lowered and
	// raised during faults. 0 runs without workspaces.
	Quota int
	// KeepNames says that a worker that crashes is back under its name.
	KeepNames bool
	// OddEntries says that other writers leave malformed entries among those of workers.
	OddEntries bool
	// Pauses says that the only faults are owners that pause, one after the other, for
	// longer than their leases last, and that callers cancel every job.
	Pauses bool
	// Impatient says that the only faults are instances that pause, one after the other, for
	// longer than callers wait, and that callers cancel every job, also one that had no
	// answer.
	Impatient bool
	// Recuts says that the only faults are workers that restart under their names and are cut
	// off soon after, while their owner is disrupted and long tasks run.
	Recuts bool
	// Outages is the number of data centres, of dataCentres, whose workers restart under their
	// names at one instant, again and again, while jobs whose tasks last hold most of the
	// room; 0 for none. There are no other faults.
	Outages int
	// Losses says that the only faults are owners that are killed at one instant with half of
	// the workers or more, which never come back, while jobs whose tasks last go on.
	Losses bool
	// Tickets says that the only faults are instances that pause and answers of the policy
	// service that are late by more than their tickets last.
	Tickets bool
	// FirstPort is the first port of the first instance.
	FirstPort int
	// Program is the path of the program under test.
	Program string
	// Folder takes settings and logs; it is made if it does not exist.
	Folder string
	// Out takes the schedule of faults and the verdicts.
	Out io.Writer
}

// Defaults returns the configuration of a short run.
func Defaults() Config {
	return Config{Seed: 1, Length: 20 * time.Second, Instances: 3, Workers: 6, Shards: 1, FirstPort: 21_000}
}

// pausesOnly reports whether instances that pause are the only faults.
func (c *Config) pausesOnly() bool {
	return c.Pauses || c.Impatient
}

// holdsJobs reports whether jobs whose tasks last are kept during the whole run.
func (c *Config) holdsJobs() bool {
	return c.Outages > 0 || c.Losses
}

// ErrBroken says that a promise was broken.
const ErrBroken = errors.ConstError("a promise was broken")

// Command runs the soak.
func Command() shell.Command {
	return shell.Command{
		Name:    "soak",
		Summary: "run real instances on this machine under random faults and check the promises",
		Examples: []string{
			"cairnbay soak -seed 7 -length 30s",
			"cairnbay soak -seed 7 -instances 30 -workers 60 -length 2m",
			"cairnbay soak -seed 7 -workspaces 4",
		},
		Prepare: func(flags *flag.FlagSet, streams shell.Streams) shell.Runner {
			config := Defaults()
			flags.Uint64Var(&config.Seed, "seed", config.Seed, "seed of the schedule of faults")
			flags.DurationVar(&config.Length, "length", config.Length, "`time` during which faults are injected")
			flags.IntVar(&config.Instances, "instances", config.Instances, "instances to start")
			flags.IntVar(&config.Workers, "workers", config.Workers, "workers to stand in for")
			flags.IntVar(&config.Shards, "shards", config.Shards, "shards of the workers' class; the workers stand in racks of two")
			flags.IntVar(&config.Workspaces, "workspaces", config.Workspaces, "workspaces whose keys callers need, at least 2; 0 for a configuration without them")
			flags.IntVar(&config.Quota, "quota", config.Quota, "highest quota of the callers' workspace, in tasks of all workers; 0 for no workspaces")
			flags.BoolVar(&config.KeepNames, "keep-names", config.KeepNames, "bring workers that crash back under their names")
			flags.BoolVar(&config.OddEntries, "odd-entries", config.OddEntries, "leave malformed entries of other writers among those of the workers")
			flags.BoolVar(&config.Pauses, "pauses", config.Pauses, "pause the owners in turn, with no other faults, while every job is cancelled")
			flags.BoolVar(&config.Impatient, "impatient", config.Impatient, "pause any instances in turn, briefly, while callers cancel every job, also one that had no answer")
			flags.BoolVar(&config.Recuts, "recuts", config.Recuts, "restart workers under their names and cut them off soon after, while the owner is disrupted, with no other faults")
			flags.IntVar(&config.Outages, "outages", config.Outages, "data centres, of three, whose workers restart at one instant while long-running tasks hold most of the room, with no other faults; 0 for none")
			flags.BoolVar(&config.Losses, "losses", config.Losses, "kill the owner together with half of the workers or more, which never come back, with no other faults")
			flags.BoolVar(&config.Tickets, "tickets", config.Tickets, "pause instances and let answers of the policy service be late by more than their tickets last, with no other faults")
			flags.IntVar(&config.FirstPort, "port", config.FirstPort, "first `port` of the instances, on loopback")
			flags.StringVar(&config.Program, "program", "", "`path` of the program under test (default: this one)")
			flags.StringVar(&config.Folder, "folder", "", "`folder` for settings and logs (default: a new one, removed after a run that held)")
			return func(ctx context.Context, arguments []string) error {
				if len(arguments) > 0 {
					return errors.Annotatef(shell.ErrUsage, "argument %q is not expected", arguments[0])
				}
				if config.Shards < 1 || config.Shards > config.Workers/2 {
					return errors.Annotatef(shell.ErrUsage, "-shards %d: at least 1, at most half of the workers (%d)", config.Shards, config.Workers/2)
				}
				if config.Workspaces > 0 && config.Quota > 0 {
					return errors.Annotate(shell.ErrUsage, "-workspaces and -quota exclude each other")
				}
				if config.Pauses && config.Impatient || config.Tickets && config.pausesOnly() {
					return errors.Annotate(shell.ErrUsage, "-pauses, -impatient and -tickets exclude each other")
				}
				if config.Workspaces > 0 && config.Tickets {
					return errors.Annotate(shell.ErrUsage, "-workspaces and -tickets exclude each other")
				}
				if config.Workspaces < 0 || config.Workspaces == 1 {
					return errors.Annotatef(shell.ErrUsage, "-workspaces %d: 0 or at least 2", config.Workspaces)
				}
				if config.Recuts && (config.Tickets || config.pausesOnly()) {
					return errors.Annotate(shell.ErrUsage, "-recuts excludes -pauses, -impatient and -tickets")
				}
				if config.Outages < 0 || config.Outages > dataCentres {
					return errors.Annotatef(shell.ErrUsage, "-outages %d: 0 to %d", config.Outages, dataCentres)
				}
				if config.Outages > 0 && (config.Recuts || config.Tickets || config.Quota > 0 || config.pausesOnly()) {
					return errors.Annotate(shell.ErrUsage, "-outages excludes -recuts, -quota, -pauses, -impatient and -tickets")
				}
				if config.Losses && (config.Outages > 0 || config.Recuts || config.Tickets || config.Quota > 0 || config.pausesOnly()) {
					return errors.Annotate(shell.ErrUsage, "-losses excludes -outages, -recuts, -quota, -pauses, -impatient and -tickets")
				}
				if config.Program == "" {
					program, err := os.Executable()
					if err != nil {
						return errors.Trace(err)
					}
					config.Program = program
				}
				config.Out = streams.Out
				return Run(ctx, config)
			}
		},
	}
}

// Run plays one seed. Errors: ErrBroken, or of the set-up.
func Run(ctx context.Context, config Config) error {
	temporary := config.Folder == ""
	if temporary {
		folder, err := os.MkdirTemp("", "cairnbay-soak-")
		if err != nil {
			return errors.Trace(err)
		}
		config.Folder = folder
	}
	config.KeepNames = config.KeepNames || config.Recuts || config.Outages > 0
	w, err := newWorld(config)
	if err != nil {
		return errors.Trace(err)
	}
	defer w.close()
	random := rand.New(rand.NewPCG(config.Seed, 1))
	calls := newCallers(w)
	calls.start(ctx)
	w.watchQuota()
	stopWatch := calls.waits.start()
	w.injectUntil(ctx, random, time.Now().Add(config.Length))
	stopWatch()
	w.heal()
	w.rotateInCalm(ctx, random)
	w.calmFrom.Store(int64(timer.Boot()))
	calls.finish()
	broken := append(w.fleet.Broken(), calls.waits.broken...)
	broken = append(broken, calls.check(ctx)...)
	broken = append(broken, w.searchKeys(ctx)...)
	broken = append(broken, w.quotaBroken()...)
	calls.summarise()
	if len(broken) > 0 {
		for _, one := range broken {
			fmt.Fprintln(config.Out, "BROKEN:", one)
		}
		fmt.Fprintln(config.Out, "logs in", config.Folder)
		return errors.Annotatef(ErrBroken, "seed %d: %d violations", config.Seed, len(broken))
	}
	if temporary {
		return errors.Trace(os.RemoveAll(config.Folder))
	}
	return nil
}

package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/process/admin"
	"cairnbay/internal/tool/near"
	"cairnbay/internal/tool/shell"
)

// Commands returns every command of the package.
func Commands() []shell.Command {
	return []shell.Command{
		planCommand(), applyCommand(), getCommand(), historyCommand(),
		submitCommand(), jobsCommand(), cancelCommand(), explainCommand(),
		statusCommand(), drainCommand(),
	}
}

// statusCommand shows the state of the system as one instance sees it.
func statusCommand() shell.Command {
	return shell.Command{
		Name:     "status",
		Summary:  "show what cannot be served now, members, versions in force and shards",
		Examples: []string{"cairnbay status", "cairnbay status -json"},
		Prepare: func(flags *flag.FlagSet, streams shell.Streams) shell.Runner {
			o := register(flags, streams)
			return func(ctx context.Context, arguments []string) error {
				if err := noArguments(arguments); err != nil {
					return err
				}
				var status admin.Status
				if err := o.call(ctx, http.MethodGet, "/v1/status", nil, &status); err != nil {
					return err
				}
				return o.print(status, func(out io.Writer) { showStatus(out, status) })
			}
		},
	}
}

// showStatus puts troubles first, since those are read on a bad night.
func showStatus(out io.Writer, status admin.Status) {
	if len(status.Troubles) == 0 {
		fmt.Fprintln(out, "no troubles")
	}
	for _, trouble := range status.Troubles {
		fmt.Fprintf(out, "TROUBLE: %s\n", trouble)
	}
	fmt.Fprintf(out, "seen from %s in %s: settings version %d, store %s, list %s\n\n", status.Instance, status.DataCentre,
		status.SettingsVersion, healthText(status.Store), healthText(status.List))
	showMembers(out, status.Members)
	showShards(out, status.Shards)
}

func healthText(health admin.PlatformStatus) string {
	if health.OK {
		return "ok"
	}
	return "not ok (" + health.Detail + ")"
}

func showMembers(out io.Writer, members []cairnbay.Member) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MEMBER\tDATA CENTRE\tVERSION\tSTATE")
	for _, member := range members {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", member.ID, member.DataCentre, member.SettingsVersion, stateText(member))
	}
	_ = table.Flush()
	fmt.Fprintln(out)
}

func stateText(member cairnbay.Member) string {
	switch {
	case member.Leaving:
		return "leaving"
	case member.Suspect:
		return "suspect"
	default:
		return "live"
	}
}

func showShards(out io.Writer, shards []admin.ShardStatus) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SHARD\tOWNER\tEPOCH\tWORKERS\tWAITING\tRUNNING\tUNACCOUNTED\tFREE CPU")
	for _, shard := range shards {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", shard.Shard, shard.Owner, shard.Epoch,
			shard.Workers, shard.Waiting, shard.Running, shard.Unaccounted, freeText(shard))
	}
	_ = table.Flush()
}

func freeText(shard admin.ShardStatus) string {
	const milliPerCore = 1000
	return fmt.Sprintf("%d of %d", shard.Free.MilliCPU/milliPerCore, shard.Total.MilliCPU/milliPerCore)
}

// drainKinds are what can be drained.
var drainKinds = []string{"instance", "worker", "data_centre"}

// drainCommand takes something out of use.
func drainCommand() shell.Command {
	return shell.Command{
		Name:      "drain",
		Summary:   "take an instance, worker or data centre out of use, or back in",
		Arguments: "KIND ID (KIND: instance, worker, data_centre)",
		Examples: []string{
			"cairnbay drain -why 'new memory' worker w-17",
			"cairnbay drain -undo worker w-17",
		},
		Prepare: func(flags *flag.FlagSet, streams shell.Streams) shell.Runner {
			o := register(flags, streams)
			undo := flags.Bool("undo", false, "put it back in use")
			why := flags.String("why", "", "`reason`, kept in the history and the audit")
			return func(ctx context.Context, arguments []string) error {
				return o.drain(ctx, arguments, *undo, *why)
			}
		},
	}
}

func (o *options) drain(ctx context.Context, arguments []string, undo bool, why string) error {
	if len(arguments) != 2 {
		return errors.Annotatef(shell.ErrUsage, "want a kind and an ID, have %d arguments", len(arguments))
	}
	spec := admin.DrainSpec{Kind: arguments[0], ID: arguments[1], Undo: undo, Why: why, ChangeID: uuid.NewString()}
	if err := checkDrainKind(spec.Kind); err != nil {
		return err
	}
	var applied admin.Applied
	if err := o.call(ctx, http.MethodPost, "/v1/drains", spec, &applied); err != nil {
		return err
	}
	return o.print(applied, func(out io.Writer) { showApplied(out, applied) })
}

func checkDrainKind(kind string) error {
	for _, known := range drainKinds {
		if kind == known {
			return nil
		}
	}
	return errors.Annotatef(shell.ErrUsage, "kind %q does not exist%s", kind, near.Hint(kind, drainKinds, ""))
}

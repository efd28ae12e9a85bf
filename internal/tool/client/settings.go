package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"cairnbay/internal/process/admin"
	"cairnbay/internal/tool/shell"
	"cairnbay/internal/version/tree"
)

// planCommand shows what a tree would change.
func planCommand() shell.Command {
	return shell.Command{
		Name:      "plan",
		Summary:   "check a folder of declarations and show what applying it would change",
		Arguments: "FOLDER",
		Examples:  []string{"cairnbay plan examples/vihmavesi"},
		Prepare: func(flags *flag.FlagSet, streams shell.Streams) shell.Runner {
			o := register(flags, streams)
			return func(ctx context.Context, arguments []string) error {
				folder, err := oneArgument(arguments, "folder")
				if err != nil {
					return err
				}
				files, err := readTree(folder)
				if err != nil {
					return err
				}
				var plan admin.Plan
				if err := o.call(ctx, http.MethodPost, "/v1/settings/plan", admin.Bundle{Files: files}, &plan); err != nil {
					return err
				}
				return o.print(plan, func(out io.Writer) { showPlan(out, plan) })
			}
		},
	}
}

// applyFlags are the flags of apply.
type applyFlags struct {
	base     uint64
	rollback uint64
	changeID string
	why      string
	wait     time.Duration
}

// applyCommand puts a tree in force.
func applyCommand() shell.Command {
	return shell.Command{
		Name:      "apply",
		Summary:   "put a folder of declarations in force as a new version",
		Arguments: "FOLDER",
		Examples: []string{
			"cairnbay apply -why 'more slots for quoting' examples/vihmavesi",
			"cairnbay apply -rollback 41 -why 'back to before the new quotas'",
		},
		Prepare: func(flags *flag.FlagSet, streams shell.Streams) shell.Runner {
			o := register(flags, streams)
			f := &applyFlags{}
			flags.Uint64Var(&f.base, "base", 0, "`version` that the folder was written against: what others changed since is kept (0: the folder replaces everything)")
			flags.Uint64Var(&f.rollback, "rollback", 0, "make a new version with the content of this `version`; takes no folder")
			flags.StringVar(&f.changeID, "change-id", "", "`ID` that makes a repeated apply find the first (default: a new one)")
			flags.StringVar(&f.why, "why", "", "`reason`, kept in the history and the audit")
			flags.DurationVar(&f.wait, "wait", 12*time.Second, "longest `time` to wait until the version is in force everywhere")
			return func(ctx context.Context, arguments []string) error {
				return o.apply(ctx, arguments, f)
			}
		},
	}
}

func (o *options) apply(ctx context.Context, arguments []string, f *applyFlags) error {
	bundle := admin.Bundle{
		BaseVersion: f.base, Rollback: f.rollback, ChangeID: f.changeID, Why: f.why, WaitMS: int(f.wait.Milliseconds()),
	}
	if bundle.ChangeID == "" {
		bundle.ChangeID = uuid.NewString()
	}
	if err := fillBundle(&bundle, arguments); err != nil {
		return err
	}
	var applied admin.Applied
	if err := o.call(ctx, http.MethodPost, "/v1/settings/apply", bundle, &applied); err != nil {
		return errors.Annotatef(err, "change ID %s", bundle.ChangeID)
	}
	return o.print(applied, func(out io.Writer) { showApplied(out, applied) })
}

func fillBundle(bundle *admin.Bundle, arguments []string) error {
	if bundle.Rollback != 0 {
		return noArguments(arguments)
	}
	folder, err := oneArgument(arguments, "folder")
	if err != nil {
		return err
	}
	bundle.Files, err = readTree(folder)
	return err
}

// readTree reads every YAML file below a folder by its path within it.
func readTree(folder string) (map[string]string, error) {
	files := make(map[string]string)
	tree := os.DirFS(folder)
	err := fs.WalkDir(tree, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !isDeclaration(path) {
			return err
		}
		content, err := fs.ReadFile(tree, path)
		files[path] = string(content)
		return err
	})
	if err != nil {
		return nil, errors.Annotatef(shell.ErrUsage, "folder %q: %v", folder, err)
	}
	if len(files) == 0 {
		return nil, errors.Annotatef(shell.ErrUsage, "folder %q holds no .yaml file", folder)
	}
	return files, nil
}

func isDeclaration(path string) bool {
	extension := filepath.Ext(path)
	return extension == ".yaml" || extension == ".yml"
}

func showPlan(out io.Writer, plan admin.Plan) {
	fmt.Fprintf(out, "against version %d: %d changes\n", plan.BaseVersion, len(plan.Changes))
	for _, change := range plan.Changes {
		fmt.Fprintf(out, "  %s: %s -> %s\n", change.Path, orNothing(change.From), orNothing(change.To))
		if change.Effect != "" {
			fmt.Fprintf(out, "      %s\n", change.Effect)
		}
	}
	for _, warning := range plan.Warnings {
		fmt.Fprintf(out, "warning: %s\n", warning)
	}
}

func orNothing(text string) string {
	if text == "" {
		return "(nothing)"
	}
	return text
}

func showApplied(out io.Writer, applied admin.Applied) {
	showPlan(out, applied.Plan)
	fmt.Fprintf(out, "version %d is in force on %d members\n", applied.Version, len(applied.InForce))
	for _, member := range applied.Behind {
		fmt.Fprintf(out, "not yet on %s\n", member)
	}
}

// getCommand shows one branch.
func getCommand() shell.Command {
	return shell.Command{
		Name:      "get",
		Summary:   "show a branch with every value resolved",
		Arguments: "PATH (empty for the root)",
		Examples:  []string{"cairnbay get vihmavesi/quoting", "cairnbay get -explain -version 41 vihmavesi"},
		Prepare: func(flags *flag.FlagSet, streams shell.Streams) shell.Runner {
			o := register(flags, streams)
			explain := flags.Bool("explain", false, "show which branch set each value")
			version := flags.Uint64("version", 0, "`version` to read (0: the one in force)")
			return func(ctx context.Context, arguments []string) error {
				path := ""
				if len(arguments) > 0 {
					path = arguments[0]
				}
				return o.get(ctx, path, *version, *explain)
			}
		},
	}
}

func (o *options) get(ctx context.Context, path string, version uint64, explain bool) error {
	query := url.Values{"path": {path}}
	if version != 0 {
		query.Set("version", strconv.FormatUint(version, 10))
	}
	var view admin.BranchView
	if err := o.call(ctx, http.MethodGet, "/v1/settings?"+query.Encode(), nil, &view); err != nil {
		return err
	}
	return o.print(view, func(out io.Writer) { showBranch(out, view, explain) })
}

func showBranch(out io.Writer, view admin.BranchView, explain bool) {
	fmt.Fprintf(out, "branch %q in version %d\n", view.Path, view.Version)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, value := range view.Values {
		if !explain {
			fmt.Fprintf(table, "%s\t%s\n", value.Name, value.Value)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\n", value.Name, value.Value, originText(value))
	}
	_ = table.Flush()
}

func originText(value tree.EffectiveValue) string {
	switch {
	case value.Default:
		return "default"
	case value.Origin == "":
		return "set by the root"
	default:
		return "set by " + value.Origin
	}
}

// historyCommand lists versions.
func historyCommand() shell.Command {
	return shell.Command{
		Name:     "history",
		Summary:  "list the versions of the settings",
		Examples: []string{"cairnbay history"},
		Prepare: func(flags *flag.FlagSet, streams shell.Streams) shell.Runner {
			o := register(flags, streams)
			return func(ctx context.Context, arguments []string) error {
				if err := noArguments(arguments); err != nil {
					return err
				}
				var versions []admin.Version
				if err := o.call(ctx, http.MethodGet, "/v1/settings/history", nil, &versions); err != nil {
					return err
				}
				return o.print(versions, func(out io.Writer) { showHistory(out, versions) })
			}
		},
	}
}

func showHistory(out io.Writer, versions []admin.Version) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "VERSION\tWHEN\tOPERATOR\tCHANGE ID\tWHY")
	for _, version := range versions {
		when := time.UnixMilli(version.UnixMS).UTC().Format(time.RFC3339)
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", version.Version, when, version.Operator, version.ChangeID, version.Why)
	}
	_ = table.Flush()
}

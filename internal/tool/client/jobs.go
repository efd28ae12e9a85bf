package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"sigs.k8s.io/yaml"

	"cairnbay"
	"cairnbay/internal/process/admin"
	"cairnbay/internal/tool/shell"
)

// submitCommand submits one job from a file.
func submitCommand() shell.Command {
	return shell.Command{
		Name:      "submit",
		Summary:   "submit a job from a YAML file",
		Arguments: "FILE (- for standard input)",
		Examples: []string{
			"cairnbay submit catalogue.yaml",
			"cairnbay submit -job-key nightly-2026-12-03 -",
		},
		Prepare: func(flags *flag.FlagSet, streams shell.Streams) shell.Runner {
			o := register(flags, streams)
			key := flags.String("job-key", "", "`key` that makes a repeated submission find the first (default: a new one)")
			return func(ctx context.Context, arguments []string) error {
				return o.submit(ctx, arguments, *key)
			}
		},
	}
}

func (o *options) submit(ctx context.Context, arguments []string, key string) error {
	name, err := oneArgument(arguments, "file")
	if err != nil {
		return err
	}
	content, err := o.read(name)
	if err != nil {
		return err
	}
	var spec admin.JobSpec
	if err := yaml.UnmarshalStrict(content, &spec); err != nil {
		return errors.Annotatef(shell.ErrUsage, "file %q: %v", name, err)
	}
	switch {
	case key != "":
		spec.Key = key
	case spec.Key == "":
		spec.Key = uuid.NewString()
	}
	var submitted admin.Submitted
	if err := o.call(ctx, http.MethodPost, "/v1/jobs", spec, &submitted); err != nil {
		return errors.Annotatef(err, "key %q", spec.Key)
	}
	return o.print(submitted, func(out io.Writer) {
		fmt.Fprintf(out, "job %s accepted by shard %s\n", submitted.Job, submitted.Shard)
	})
}

func (o *options) read(name string) ([]byte, error) {
	if name == "-" {
		content, err := io.ReadAll(o.streams.In)
		return content, errors.Trace(err)
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Annotatef(shell.ErrUsage, "file %q: %v", name, err)
	}
	return content, nil
}

// jobsCommand lists jobs.
func jobsCommand() shell.Command {
	return shell.Command{
		Name:     "jobs",
		Summary:  "list jobs and where their tasks stand",
		Examples: []string{"cairnbay jobs", "cairnbay jobs -json"},
		Prepare: func(flags *flag.FlagSet, streams shell.Streams) shell.Runner {
			o := register(flags, streams)
			return func(ctx context.Context, arguments []string) error {
				if err := noArguments(arguments); err != nil {
					return err
				}
				var views []cairnbay.JobView
				if err := o.call(ctx, http.MethodGet, "/v1/jobs", nil, &views); err != nil {
					return err
				}
				return o.print(views, func(out io.Writer) { showJobs(out, views) })
			}
		},
	}
}

func showJobs(out io.Writer, views []cairnbay.JobView) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "JOB\tSHARD\tTEAM\tKIND\tBAND\tTASKS\tSTATES")
	for _, view := range views {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", view.Job.ID, view.Shard, view.Job.Team,
			view.Job.Kind, view.Job.Band, view.Job.Tasks, countsText(view.Counts))
	}
	_ = table.Flush()
}

func countsText(counts map[cairnbay.TaskState]int) string {
	var parts []string
	for state, count := range counts {
		if count > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", state, count))
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// cancelCommand cancels jobs in one call.
func cancelCommand() shell.Command {
	return shell.Command{
		Name:      "cancel",
		Summary:   "cancel jobs",
		Arguments: "JOB...",
		Examples:  []string{"cairnbay cancel -why 'wrong price list' j-12 j-13"},
		Prepare: func(flags *flag.FlagSet, streams shell.Streams) shell.Runner {
			o := register(flags, streams)
			why := flags.String("why", "", "`reason`, kept in the audit")
			return func(ctx context.Context, arguments []string) error {
				if len(arguments) == 0 {
					return errors.Annotate(shell.ErrUsage, "name at least one job")
				}
				return o.cancel(ctx, arguments, *why)
			}
		},
	}
}

func (o *options) cancel(ctx context.Context, jobs []string, why string) error {
	spec := admin.CancelSpec{Why: why}
	for _, job := range jobs {
		spec.Jobs = append(spec.Jobs, cairnbay.JobID(job))
	}
	var cancelled admin.Cancelled
	if err := o.call(ctx, http.MethodPost, "/v1/jobs/cancel", spec, &cancelled); err != nil {
		return err
	}
	return o.print(cancelled, func(out io.Writer) {
		fmt.Fprintf(out, "%d of %d jobs cancelled\n", cancelled.Cancelled, len(jobs))
	})
}

// explainCommand tells why a job stands where it stands.
func explainCommand() shell.Command {
	return shell.Command{
		Name:      "explain",
		Summary:   "tell why a job runs where it runs, or what holds it back",
		Arguments: "JOB",
		Examples:  []string{"cairnbay explain j-12"},
		Prepare: func(flags *flag.FlagSet, streams shell.Streams) shell.Runner {
			o := register(flags, streams)
			return func(ctx context.Context, arguments []string) error {
				job, err := oneArgument(arguments, "job")
				if err != nil {
					return err
				}
				var explanation cairnbay.Explanation
				if err := o.call(ctx, http.MethodGet, "/v1/explain?job="+url.QueryEscape(job), nil, &explanation); err != nil {
					return err
				}
				return o.print(explanation, func(out io.Writer) { showExplanation(out, explanation) })
			}
		},
	}
}

func showExplanation(out io.Writer, explanation cairnbay.Explanation) {
	fmt.Fprintf(out, "%s in shard %s: %s\n", explanation.Job, explanation.Shard, explanation.Summary)
	if explanation.Constraint != "" {
		fmt.Fprintf(out, "held back by: %s\n", explanation.Constraint)
	}
	if explanation.Setting != "" {
		fmt.Fprintf(out, "setting: %s\n", explanation.Setting)
	}
	if explanation.Ahead > 0 {
		fmt.Fprintf(out, "tasks ahead in the queue: %d\n", explanation.Ahead)
	}
	for _, detail := range explanation.Details {
		fmt.Fprintf(out, "- %s\n", detail)
	}
}

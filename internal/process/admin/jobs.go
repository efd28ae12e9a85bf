package admin

import (
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/request/intake"
)

// JobSpec is the JSON form of a submitted job; RunTime is a duration such as
// 90s.
type JobSpec struct {
	Key         string             `json:"key,omitempty"`
	Branch      string             `json:"branch"`
	Team        string             `json:"team,omitempty"`
	Kind        cairnbay.Kind      `json:"kind,omitempty"`
	DataCentre  string             `json:"data_centre,omitempty"`
	Class       string             `json:"class"`
	Tasks       int                `json:"tasks"`
	Size        cairnbay.Resources `json:"size"`
	RunTime     string             `json:"run_time,omitempty"`
	AtMostOnce  bool               `json:"at_most_once,omitempty"`
	Checkpoints bool               `json:"checkpoints,omitempty"`
	GangRestart bool               `json:"gang_restart,omitempty"`
	MaxAttempts int                `json:"max_attempts,omitempty"`
	Command     string             `json:"command,omitempty"`
}

// Job returns the job that the spec declares. Errors: ErrInvalid.
func (s JobSpec) Job() (cairnbay.Job, error) {
	job := cairnbay.Job{
		Key: s.Key, Branch: s.Branch, Team: s.Team, Kind: s.Kind,
		DataCentre: s.DataCentre, Class: s.Class, Tasks: s.Tasks, Size: s.Size,
		AtMostOnce: s.AtMostOnce, Checkpoints: s.Checkpoints, GangRestart: s.GangRestart,
		MaxAttempts: s.MaxAttempts, Command: s.Command,
	}
	if s.RunTime == "" {
		return job, nil
	}
	runTime, err := time.ParseDuration(s.RunTime)
	if err != nil {
		return job, errors.Annotatef(cairnbay.ErrInvalid, "run_time %q is not a duration such as 90s", s.RunTime)
	}
	job.RunTime = runTime
	return job, nil
}

// Submitted is the response to a submission.
type Submitted struct {
	Job   cairnbay.JobID   `json:"job"`
	Shard cairnbay.ShardID `json:"shard"`
}

// submit accepts a job after it is written to its shard's journal.
func (a *Admin) submit(c *call) (any, error) {
	var spec JobSpec
	if err := decode(c.request, &spec); err != nil {
		return nil, err
	}
	if err := c.allow(VerbChange, spec.Branch); err != nil {
		return nil, err
	}
	job, err := spec.Job()
	if err != nil {
		return nil, err
	}
	view := intake.View{Settings: a.config.Settings.Current(), Instances: a.config.Instances()}
	job, err = intake.Complete(job, view)
	if err != nil {
		return nil, err
	}
	job.SubmittedUnixMS = a.config.Clock.Wall().UnixMilli()
	id, shard, err := a.config.Jobs.Submit(c.request.Context(), job)
	if err != nil {
		return nil, err
	}
	return Submitted{Job: id, Shard: shard}, nil
}

// jobs lists the jobs that the operator may read.
func (a *Admin) jobs(c *call) (any, error) {
	views, err := a.config.Jobs.Jobs(c.request.Context())
	if err != nil {
		return nil, err
	}
	readable := make([]cairnbay.JobView, 0, len(views))
	for _, view := range views {
		if c.allow(VerbRead, view.Job.Branch) == nil {
			readable = append(readable, view)
		}
	}
	return readable, nil
}

// CancelSpec lists the jobs to cancel.
type CancelSpec struct {
	Jobs []cairnbay.JobID `json:"jobs"`
	Why  string           `json:"why,omitempty"`
}

// Cancelled is the response to a cancellation, with the number of jobs that it
// ended; jobs that had already finished are not counted.
type Cancelled struct {
	Cancelled int `json:"cancelled"`
}

func (a *Admin) cancel(c *call) (any, error) {
	var spec CancelSpec
	if err := decode(c.request, &spec); err != nil {
		return nil, err
	}
	if len(spec.Jobs) == 0 {
		return nil, errors.Annotate(cairnbay.ErrInvalid, "jobs is empty: name at least one job")
	}
	if err := a.allowJobs(c, spec.Jobs); err != nil {
		return nil, err
	}
	cancelled, err := a.config.Jobs.Cancel(c.request.Context(), spec.Jobs)
	if err != nil {
		return nil, err
	}
	c.recordChange("jobs_cancelled", string(spec.Jobs[0]), spec.Why)
	return Cancelled{Cancelled: cancelled}, nil
}

// allowJobs checks that every job exists and that the operator may change its
// branch. Errors: ErrNotFound, ErrForbidden, those of Jobs.Jobs.
func (a *Admin) allowJobs(c *call, jobs []cairnbay.JobID) error {
	views, err := a.config.Jobs.Jobs(c.request.Context())
	if err != nil {
		return err
	}
	branches := make(map[cairnbay.JobID]string, len(views))
	for _, view := range views {
		branches[view.Job.ID] = view.Job.Branch
	}
	for _, job := range jobs {
		branch, ok := branches[job]
		if !ok {
			return errors.Annotatef(cairnbay.ErrNotFound, "job %q", job)
		}
		if err := c.allow(VerbChange, branch); err != nil {
			return err
		}
	}
	return nil
}

func (a *Admin) explain(c *call) (any, error) {
	job := cairnbay.JobID(c.request.URL.Query().Get("job"))
	if job == "" {
		return nil, errors.Annotate(cairnbay.ErrInvalid, "job is empty: name the job to explain")
	}
	if err := c.allow(VerbRead, ""); err != nil {
		return nil, err
	}
	return a.config.Jobs.Explain(c.request.Context(), job)
}

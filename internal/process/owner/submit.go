package owner

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/commit"
	"cairnbay/internal/process/shard"
)

// maxCommandBytes bounds a job's command, and so its place in the journal.
const maxCommandBytes = 4096

// Submit accepts a job once it is in its shard's journal, here or at the
// shard's owner. Errors: ErrInvalid, ErrNeverFits, ErrUnavailable (the job will
// not run), ErrUnknown (it may run; a submission with the same key finds it).
func (o *Owner) Submit(ctx context.Context, job cairnbay.Job) (cairnbay.JobID, cairnbay.ShardID, error) {
	id, err := o.shardFor(job)
	if err != nil {
		return "", "", err
	}
	if run := o.runOf(id); run != nil {
		accepted, err := run.submit(ctx, job)
		return accepted, id, err
	}
	accepted, err := o.forward(ctx, id, job)
	return accepted, id, err
}

// shardFor names the shard of a job. Errors: ErrInvalid, ErrNeverFits.
func (o *Owner) shardFor(job cairnbay.Job) (cairnbay.ShardID, error) {
	switch {
	case job.Tasks < 1:
		return "", errors.Annotatef(cairnbay.ErrInvalid, "job has %d tasks, at least 1 is needed", job.Tasks)
	case len(job.Command) > maxCommandBytes:
		return "", errors.Annotatef(cairnbay.ErrInvalid, "job has a command of %d bytes, at most %d are taken", len(job.Command), maxCommandBytes)
	}
	known := group(o.config.Instances())
	centre := job.DataCentre
	if centre == "" {
		centre = o.centreWith(known, job.Class)
	}
	id := cairnbay.ShardID(centre + "/" + job.Class)
	if len(known[id]) == 0 {
		return "", errors.Annotatef(cairnbay.ErrNeverFits, "no worker of class %q in data centre %q", job.Class, centre)
	}
	return id, nil
}

// centreWith chooses a data centre that has workers of the class, this one
// first.
func (o *Owner) centreWith(known map[cairnbay.ShardID][]cairnbay.Instance, class string) string {
	var centres []string
	for id := range known {
		if centre, found := strings.CutSuffix(string(id), "/"+class); found {
			centres = append(centres, centre)
		}
	}
	sort.Strings(centres)
	home := o.config.Members.Self().DataCentre
	for _, centre := range centres {
		if centre == home {
			return centre
		}
	}
	if len(centres) == 0 {
		return home
	}
	return centres[0]
}

// ownerOf names the member to ask for a shard that is owned elsewhere.
func (o *Owner) ownerOf(id cairnbay.ShardID) string {
	o.mu.Lock()
	said, known := o.holders[id]
	o.mu.Unlock()
	members := able(o.config.Members.Live())
	for _, member := range members {
		if known && member.ID == said.member {
			return member.ID
		}
	}
	centre, _, _ := strings.Cut(string(id), "/")
	ranked := rank(id, o.candidates(centre, members, o.config.Clock.Now()))
	if len(ranked) == 0 || ranked[0].ID == o.config.Members.Self().ID {
		return ""
	}
	return ranked[0].ID
}

// forward submits a job at the shard's owner.
func (o *Owner) forward(ctx context.Context, id cairnbay.ShardID, job cairnbay.Job) (cairnbay.JobID, error) {
	peer, err := o.peerFor(id)
	if err != nil {
		return "", err
	}
	encoded, err := json.Marshal(job)
	if err != nil {
		return "", errors.Annotatef(cairnbay.ErrInvalid, "job: %v", err)
	}
	answer, err := peer.Submit(ctx, request(&cairnbayv1.SubmitRequest{Shard: string(id), Job: encoded}))
	if err != nil {
		return "", errors.Annotatef(fromConnect(err), "submit to the owner of shard %q", id)
	}
	return cairnbay.JobID(answer.Msg.GetJobId()), nil
}

// HandleSubmit answers another member's forwarded submission.
func (o *Owner) HandleSubmit(ctx context.Context, asked *cairnbayv1.SubmitRequest) (*cairnbayv1.SubmitResponse, error) {
	var job cairnbay.Job
	if err := json.Unmarshal(asked.GetJob(), &job); err != nil {
		return nil, toConnect(errors.Annotatef(cairnbay.ErrInvalid, "job: %v", err))
	}
	run := o.runOf(cairnbay.ShardID(asked.GetShard()))
	if run == nil {
		return nil, toConnect(errors.Annotatef(cairnbay.ErrNotOwner, "shard %q", asked.GetShard()))
	}
	id, err := run.submit(ctx, job)
	if err != nil {
		return nil, toConnect(err)
	}
	return &cairnbayv1.SubmitResponse{JobId: string(id), Shard: asked.GetShard()}, nil
}

// submit checks a job, journals it and takes it up.
func (r *run) submit(ctx context.Context, job cairnbay.Job) (cairnbay.JobID, error) {
	if r.journal == nil || r.journal.StoreDown() {
		return "", errors.Annotatef(cairnbay.ErrUnavailable, "shard %q takes no new jobs while the store is down", r.shard)
	}
	if job.ID == "" {
		job.ID = newJobID(r.shard)
	}
	job.SubmittedUnixMS = r.owner.config.Clock.Wall().UnixMilli()
	first, err := r.admit(job)
	if err != nil || first != "" {
		return first, err
	}
	ctx, span := r.owner.spans.journal(ctx, r.shard, job.ID)
	defer span.End()
	r.owner.spans.accepted(ctx, job.ID, r.owner.config.Clock.Wall())
	done := make(chan error, 1)
	ticket := r.journal.Append(commit.Urgent, []commit.Record{{Accept: &job}}, func(err error) {
		if err == nil {
			r.step(func(core *shard.Core, now time.Duration) { core.AddJob(job, now) })
		} else {
			r.lostJournal.Store(true)
		}
		done <- err
	})
	select {
	case err := <-done:
		return job.ID, submitError(err, job.ID)
	case <-ctx.Done():
	}
	if r.journal.Withdraw(ticket) {
		r.forgetKey(job)
		return "", errors.Annotatef(cairnbay.ErrUnavailable, "job %q was not written in time and will not run", job.ID)
	}
	return job.ID, errors.Annotatef(cairnbay.ErrUnknown, "job %q may have been accepted", job.ID)
}

func submitError(err error, id cairnbay.JobID) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, cairnbay.ErrUnknown):
		return errors.Annotatef(cairnbay.ErrUnknown, "job %q may have been accepted", id)
	default:
		return errors.Annotatef(cairnbay.ErrUnavailable, "job %q will not run: %v", id, err)
	}
}

// admit checks a job. first is the job that was submitted before under the
// same key.
func (r *run) admit(job cairnbay.Job) (first cairnbay.JobID, err error) {
	err = errors.Annotatef(cairnbay.ErrNotOwner, "shard %q", r.shard)
	r.step(func(core *shard.Core, now time.Duration) {
		if core.Phase() == shard.PhaseFenced {
			return
		}
		var accepted bool
		first, accepted = core.FindKey(job.Key)
		switch {
		case first != "" && accepted:
			err = nil
			return
		case first != "":
			err = errors.Annotatef(cairnbay.ErrUnknown, "job %q with the key %q is being submitted", first, job.Key)
			return
		}
		err = core.Check(job, now)
		if err == nil {
			core.ReserveKey(job.Key, job.ID)
		}
	})
	return first, err
}

func (r *run) forgetKey(job cairnbay.Job) {
	r.step(func(core *shard.Core, _ time.Duration) { core.ReleaseKey(job.Key, job.ID) })
}

// newJobID makes an ID that shows its shard.
func newJobID(id cairnbay.ShardID) cairnbay.JobID {
	return cairnbay.JobID(strings.ReplaceAll(string(id), "/", ".") + "." + uuid.NewString())
}

// shardIn finds the shard that a job's ID shows.
func (o *Owner) shardIn(job cairnbay.JobID) (cairnbay.ShardID, bool) {
	for id := range group(o.config.Instances()) {
		if strings.HasPrefix(string(job), strings.ReplaceAll(string(id), "/", ".")+".") {
			return id, true
		}
	}
	return "", false
}

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

// maxCommandBytes bounds a job's command, and with it the size of the job's journal
// record.
const maxCommandBytes = 4096

// Submit writes a job to its shard's journal, here or at the shard's owner, and
// returns the IDs of the job and the shard. Errors: ErrInvalid, ErrNeverFits,
// ErrNotOwner (this member's runner is fenced), ErrUnavailable (the job will not
// run), ErrUnknown (it may run, or a job with the same key is being submitted;
// submitting again with the same key returns the accepted job).
func (o *Owner) Submit(ctx context.Context, job cairnbay.Job) (cairnbay.JobID, cairnbay.ShardID, error) {
	id, err := o.targetShard(job)
	if err != nil {
		return "", "", err
	}
	if runner := o.runnerOf(id); runner != nil {
		accepted, err := runner.submit(ctx, job)
		return accepted, id, err
	}
	accepted, err := o.forward(ctx, id, job)
	return accepted, id, err
}

// targetShard returns the shard that a new job belongs to. Errors: ErrInvalid,
// ErrNeverFits.
func (o *Owner) targetShard(job cairnbay.Job) (cairnbay.ShardID, error) {
	switch {
	case job.Tasks < 1:
		return "", errors.Annotatef(cairnbay.ErrInvalid, "job has %d tasks, at least 1 is required", job.Tasks)
	case len(job.Command) > maxCommandBytes:
		return "", errors.Annotatef(cairnbay.ErrInvalid, "job has a command of %d bytes, at most %d are allowed", len(job.Command), maxCommandBytes)
	}
	workersByShard := groupByShard(o.config.Instances())
	dataCentre := job.DataCentre
	if dataCentre == "" {
		dataCentre = o.dataCentreWith(workersByShard, job.Class)
	}
	id := cairnbay.ShardID(dataCentre + "/" + job.Class)
	if len(workersByShard[id]) == 0 {
		return "", errors.Annotatef(cairnbay.ErrNeverFits, "no worker of class %q in data centre %q", job.Class, dataCentre)
	}
	return id, nil
}

// dataCentreWith returns a data centre that has workers of the class, preferably
// that of this member.
func (o *Owner) dataCentreWith(workersByShard map[cairnbay.ShardID][]cairnbay.Instance, class string) string {
	var dataCentres []string
	for id := range workersByShard {
		if dataCentre, found := strings.CutSuffix(string(id), "/"+class); found {
			dataCentres = append(dataCentres, dataCentre)
		}
	}
	sort.Strings(dataCentres)
	local := o.config.Members.Self().DataCentre
	for _, dataCentre := range dataCentres {
		if dataCentre == local {
			return dataCentre
		}
	}
	if len(dataCentres) == 0 {
		return local
	}
	return dataCentres[0]
}

// ownerOf returns the ID of the member to which requests for a shard are sent: the
// announced owner if it is live and eligible, otherwise the member that ranks first.
// It is empty when no member ranks first or this member does.
func (o *Owner) ownerOf(id cairnbay.ShardID) string {
	o.mu.Lock()
	owner, found := o.announced[id]
	o.mu.Unlock()
	members := eligible(o.config.Members.Live())
	for _, member := range members {
		if found && member.ID == owner.memberID {
			return member.ID
		}
	}
	dataCentre, _, _ := strings.Cut(string(id), "/")
	ranked := rank(id, o.candidates(dataCentre, members, o.config.Clock.Now()))
	if len(ranked) == 0 || ranked[0].ID == o.config.Members.Self().ID {
		return ""
	}
	return ranked[0].ID
}

// forward submits a job to the shard's owner.
func (o *Owner) forward(ctx context.Context, id cairnbay.ShardID, job cairnbay.Job) (cairnbay.JobID, error) {
	peer, err := o.ownerClient(id)
	if err != nil {
		return "", err
	}
	encoded, err := json.Marshal(job)
	if err != nil {
		return "", errors.Annotatef(cairnbay.ErrInvalid, "encode job: %v", err)
	}
	response, err := peer.Submit(ctx, newRequest(&cairnbayv1.SubmitRequest{Shard: string(id), Job: encoded}))
	if err != nil {
		return "", errors.Annotatef(fromConnect(err), "submit to the owner of shard %q", id)
	}
	return cairnbay.JobID(response.Msg.GetJobId()), nil
}

// HandleSubmit accepts a job that another member forwarded.
func (o *Owner) HandleSubmit(ctx context.Context, request *cairnbayv1.SubmitRequest) (*cairnbayv1.SubmitResponse, error) {
	var job cairnbay.Job
	if err := json.Unmarshal(request.GetJob(), &job); err != nil {
		return nil, toConnect(errors.Annotatef(cairnbay.ErrInvalid, "decode job: %v", err))
	}
	runner := o.runnerOf(cairnbay.ShardID(request.GetShard()))
	if runner == nil {
		return nil, toConnect(errors.Annotatef(cairnbay.ErrNotOwner, "shard %q", request.GetShard()))
	}
	id, err := runner.submit(ctx, job)
	if err != nil {
		return nil, toConnect(err)
	}
	return &cairnbayv1.SubmitResponse{JobId: string(id), Shard: request.GetShard()}, nil
}

// submit checks a job, journals it and adds it to the core.
func (r *runner) submit(ctx context.Context, job cairnbay.Job) (cairnbay.JobID, error) {
	if r.journal == nil || r.journal.StoreDown() {
		return "", errors.Annotatef(cairnbay.ErrUnavailable, "shard %q accepts no new jobs while the store is down", r.shard)
	}
	if job.ID == "" {
		job.ID = newJobID(r.shard)
	}
	job.SubmittedUnixMS = r.owner.config.Clock.Wall().UnixMilli()
	existing, err := r.admit(job)
	if err != nil || existing != "" {
		return existing, err
	}
	ctx, span := r.owner.spans.startJournalWrite(ctx, r.shard, job.ID)
	defer span.End()
	r.owner.spans.recordAcceptance(ctx, job.ID, r.owner.config.Clock.Wall())
	done := make(chan error, 1)
	ticket := r.journal.Append(commit.Urgent, []commit.Record{{Accept: &job}}, func(err error) {
		if err == nil {
			r.step(func(core *shard.Core, now time.Duration) { core.AddJob(job, now) })
		} else {
			r.journalLost.Store(true)
		}
		done <- err
	})
	select {
	case err := <-done:
		return job.ID, submitError(err, job.ID)
	case <-ctx.Done():
	}
	if r.journal.Withdraw(ticket) {
		r.releaseKey(job)
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

// admit checks a job and reserves its key. existing is the job submitted earlier with
// the same key, accepted if err is nil. Errors: ErrNotOwner, ErrUnknown while the
// existing job is being submitted, and those of the core's check.
func (r *runner) admit(job cairnbay.Job) (existing cairnbay.JobID, err error) {
	err = errors.Annotatef(cairnbay.ErrNotOwner, "shard %q", r.shard)
	r.step(func(core *shard.Core, now time.Duration) {
		if core.Phase() == shard.PhaseFenced {
			return
		}
		var accepted bool
		existing, accepted = core.FindKey(job.Key)
		switch {
		case existing != "" && accepted:
			err = nil
			return
		case existing != "":
			err = errors.Annotatef(cairnbay.ErrUnknown, "job %q with the key %q is being submitted", existing, job.Key)
			return
		}
		err = core.Check(job, now)
		if err == nil {
			core.ReserveKey(job.Key, job.ID)
		}
	})
	return existing, err
}

func (r *runner) releaseKey(job cairnbay.Job) {
	r.step(func(core *shard.Core, _ time.Duration) { core.ReleaseKey(job.Key, job.ID) })
}

// newJobID returns a unique ID that contains the shard's name.
func newJobID(id cairnbay.ShardID) cairnbay.JobID {
	return cairnbay.JobID(strings.ReplaceAll(string(id), "/", ".") + "." + uuid.NewString())
}

// shardOfJob returns the shard whose name a job's ID contains. Errors: ErrUnavailable if
// this member does not know the shard, ErrNotFound for an ID that newJobID does not make.
func (o *Owner) shardOfJob(job cairnbay.JobID) (cairnbay.ShardID, error) {
	for id := range o.knownShards() {
		if strings.HasPrefix(string(job), strings.ReplaceAll(string(id), "/", ".")+".") {
			return id, nil
		}
	}
	if _, err := uuid.Parse(string(job)[strings.LastIndexByte(string(job), '.')+1:]); err != nil {
		return "", errors.Annotatef(cairnbay.ErrNotFound, "job %q", job)
	}
	return "", errors.Annotatef(cairnbay.ErrUnavailable, "the shard of job %q is not known", job)
}

// knownShards returns the shards of the listed workers, and those that this member or
// another live one owns: the list may be old, or not read yet.
func (o *Owner) knownShards() map[cairnbay.ShardID]bool {
	known := make(map[cairnbay.ShardID]bool)
	for id := range groupByShard(o.config.Instances()) {
		known[id] = true
	}
	for _, runner := range o.runners() {
		known[runner.shard] = true
	}
	live := make(map[string]bool)
	for _, member := range o.config.Members.Live() {
		live[member.ID] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, owner := range o.announced {
		if live[owner.memberID] {
			known[id] = true
		}
	}
	return known
}

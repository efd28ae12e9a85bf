package owner

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/commit"
	"cairnbay/internal/process/shard"
)

// What a QueryRequest asks for.
const (
	queryJobs    = "jobs"
	queryExplain = "explain"
	queryStatus  = "status"
)

// ShardStatus is how a shard stands, as its owner sees it.
type ShardStatus struct {
	Shard  cairnbay.ShardID `json:"shard"`
	Member string           `json:"member"`
	Epoch  string           `json:"epoch"`
	// Phase is "claiming", "partial", "active" or "fenced".
	Phase string `json:"phase"`
	// Copied says that the owner works from a copy of the journal.
	Copied          bool               `json:"copied,omitempty"`
	StoreDown       bool               `json:"store_down,omitempty"`
	JournalSequence uint64             `json:"journal_sequence"`
	Workers         int                `json:"workers"`
	Claimed         int                `json:"claimed"`
	Unreachable     int                `json:"unreachable"`
	Waiting         int                `json:"waiting"`
	Quarantined     int                `json:"quarantined"`
	Running         int                `json:"running"`
	Unaccounted     int                `json:"unaccounted"`
	Free            cairnbay.Resources `json:"free"`
	Total           cairnbay.Resources `json:"total"`
}

// Shards lists the shards that this member owns, by name.
func (o *Owner) Shards() []ShardStatus {
	var statuses []ShardStatus
	for _, run := range o.runs() {
		statuses = append(statuses, run.status())
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Shard < statuses[j].Shard })
	return statuses
}

func (r *run) status() ShardStatus {
	r.mu.Lock()
	now := r.owner.config.Clock.Now()
	seen := r.core.Status(now)
	stats, _ := r.core.Stats(now)
	r.mu.Unlock()
	status := ShardStatus{
		Shard: r.shard, Member: r.owner.config.Members.Self().ID, Epoch: r.epoch.String(),
		Phase: seen.Phase.String(), Copied: r.journal == nil,
		Workers: seen.Workers, Claimed: seen.Claimed, Unreachable: seen.Unreachable,
		Running: seen.Running, Unaccounted: seen.Unaccounted, Free: seen.Free, Total: seen.Total,
	}
	for _, waiting := range stats.Waiting {
		status.Waiting += waiting
	}
	status.Quarantined = stats.Quarantined
	if r.journal != nil {
		status.JournalSequence = r.journal.Sequence()
		status.StoreDown = r.journal.StoreDown()
	}
	return status
}

// Jobs lists the jobs of every shard whose owner answers.
func (o *Owner) Jobs(ctx context.Context) ([]cairnbay.JobView, error) {
	var views []cairnbay.JobView
	for id := range group(o.config.Instances()) {
		if run := o.runOf(id); run != nil {
			views = append(views, run.jobs()...)
			continue
		}
		var remote []cairnbay.JobView
		if err := o.ask(ctx, id, queryJobs, "", &remote); err != nil {
			return views, err
		}
		views = append(views, remote...)
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Job.ID < views[j].Job.ID })
	return views, nil
}

func (r *run) jobs() []cairnbay.JobView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Jobs(r.owner.config.Clock.Now())
}

// Explain tells why a job stands where it stands. Errors: ErrNotFound,
// ErrUnavailable.
func (o *Owner) Explain(ctx context.Context, job cairnbay.JobID) (cairnbay.Explanation, error) {
	var explained cairnbay.Explanation
	id, ok := o.shardIn(job)
	if !ok {
		return explained, errors.Annotatef(cairnbay.ErrNotFound, "job %q", job)
	}
	if run := o.runOf(id); run != nil {
		return run.explain(job)
	}
	err := o.ask(ctx, id, queryExplain, job, &explained)
	return explained, err
}

func (r *run) explain(job cairnbay.JobID) (cairnbay.Explanation, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Explain(job, r.owner.config.Clock.Now())
}

// ask reads from the owner of a shard.
func (o *Owner) ask(ctx context.Context, id cairnbay.ShardID, what string, job cairnbay.JobID, answer any) error {
	peer, err := o.peerFor(id)
	if err != nil {
		return err
	}
	ctx, cancel := o.bounded(ctx)
	defer cancel()
	got, err := peer.Query(ctx, request(&cairnbayv1.QueryRequest{Shard: string(id), What: what, Job: string(job)}))
	if err != nil {
		return errors.Annotatef(fromConnect(err), "ask the owner of shard %q for %s", id, what)
	}
	return json.Unmarshal(got.Msg.GetAnswer(), answer)
}

// HandleQuery answers another member's question about a shard owned here.
func (o *Owner) HandleQuery(_ context.Context, asked *cairnbayv1.QueryRequest) (*cairnbayv1.QueryResponse, error) {
	run := o.runOf(cairnbay.ShardID(asked.GetShard()))
	if run == nil {
		return nil, toConnect(errors.Annotatef(cairnbay.ErrNotOwner, "shard %q", asked.GetShard()))
	}
	var answer any
	var err error
	switch asked.GetWhat() {
	case queryJobs:
		answer = run.jobs()
	case queryExplain:
		answer, err = run.explain(cairnbay.JobID(asked.GetJob()))
	case queryStatus:
		answer = run.status()
	default:
		err = errors.Annotatef(cairnbay.ErrInvalid, "query %q", asked.GetWhat())
	}
	if err != nil {
		return nil, toConnect(err)
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		return nil, toConnect(err)
	}
	return &cairnbayv1.QueryResponse{Answer: encoded}, nil
}

// Cancel cancels jobs and returns how many were not finished. The jobs of a
// shard are cancelled by one journal write. Errors: ErrNotFound, ErrUnavailable
// (nothing of the shard was cancelled), ErrUnknown.
func (o *Owner) Cancel(ctx context.Context, jobs []cairnbay.JobID) (int, error) {
	byShard := map[cairnbay.ShardID][]cairnbay.JobID{}
	for _, job := range jobs {
		id, ok := o.shardIn(job)
		if !ok {
			return 0, errors.Annotatef(cairnbay.ErrNotFound, "job %q", job)
		}
		byShard[id] = append(byShard[id], job)
	}
	total := 0
	for id, ids := range byShard {
		count, err := o.cancelIn(ctx, id, ids)
		total += count
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

func (o *Owner) cancelIn(ctx context.Context, id cairnbay.ShardID, jobs []cairnbay.JobID) (int, error) {
	if run := o.runOf(id); run != nil {
		return run.cancelJobs(ctx, jobs)
	}
	peer, err := o.peerFor(id)
	if err != nil {
		return 0, err
	}
	names := make([]string, len(jobs))
	for i, job := range jobs {
		names[i] = string(job)
	}
	got, err := peer.Cancel(ctx, request(&cairnbayv1.CancelRequest{Shard: string(id), Jobs: names}))
	if err != nil {
		return 0, errors.Annotatef(fromConnect(err), "cancel at the owner of shard %q", id)
	}
	return int(got.Msg.GetCancelled()), nil
}

// HandleCancel answers another member's forwarded cancellation.
func (o *Owner) HandleCancel(ctx context.Context, asked *cairnbayv1.CancelRequest) (*cairnbayv1.CancelResponse, error) {
	run := o.runOf(cairnbay.ShardID(asked.GetShard()))
	if run == nil {
		return nil, toConnect(errors.Annotatef(cairnbay.ErrNotOwner, "shard %q", asked.GetShard()))
	}
	jobs := make([]cairnbay.JobID, len(asked.GetJobs()))
	for i, job := range asked.GetJobs() {
		jobs[i] = cairnbay.JobID(job)
	}
	count, err := run.cancelJobs(ctx, jobs)
	if err != nil {
		return nil, toConnect(err)
	}
	return &cairnbayv1.CancelResponse{Cancelled: uint32(count)}, nil
}

// cancelJobs journals a cancellation and carries it out.
func (r *run) cancelJobs(ctx context.Context, jobs []cairnbay.JobID) (int, error) {
	if r.journal == nil {
		return 0, errors.Annotatef(cairnbay.ErrUnavailable, "shard %q cancels no jobs while the store is down", r.shard)
	}
	count := 0
	done := make(chan error, 1)
	ticket := r.journal.Append(commit.Urgent, []commit.Record{{Cancel: jobs}}, func(err error) {
		if err == nil {
			r.step(func(core *shard.Core, now time.Duration) { count = core.Cancel(jobs, now) })
		} else {
			r.lostJournal.Store(true)
		}
		done <- err
	})
	select {
	case err := <-done:
		return count, errors.Trace(err)
	case <-ctx.Done():
	}
	if r.journal.Withdraw(ticket) {
		return 0, errors.Annotatef(cairnbay.ErrUnavailable, "%d jobs of shard %q were not cancelled in time", len(jobs), r.shard)
	}
	return 0, errors.Annotatef(cairnbay.ErrUnknown, "%d jobs of shard %q may have been cancelled", len(jobs), r.shard)
}

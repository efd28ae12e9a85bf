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

// Kinds of QueryRequest.
const (
	queryJobs    = "jobs"
	queryExplain = "explain"
	queryStatus  = "status"
)

// ShardStatus is the status of a shard as reported by its owner.
type ShardStatus struct {
	Shard  cairnbay.ShardID `json:"shard"`
	Member string           `json:"member"`
	Epoch  string           `json:"epoch"`
	// Phase is "claiming", "partial", "active" or "fenced".
	Phase string `json:"phase"`
	// Copied is set while the owner runs from a replica of the journal.
	Copied    bool `json:"copied,omitempty"`
	StoreDown bool `json:"store_down,omitempty"`
	// JournalSequence is the last confirmed write, 0 while Copied.
	JournalSequence uint64 `json:"journal_sequence"`
	// Workers, Claimed, Unreachable and Quarantined count workers; Waiting, Running
	// and Unaccounted count tasks.
	Workers     int                `json:"workers"`
	Claimed     int                `json:"claimed"`
	Unreachable int                `json:"unreachable"`
	Waiting     int                `json:"waiting"`
	Quarantined int                `json:"quarantined"`
	Running     int                `json:"running"`
	Unaccounted int                `json:"unaccounted"`
	Free        cairnbay.Resources `json:"free"`
	Total       cairnbay.Resources `json:"total"`
}

// Shards lists the shards that this member owns, ordered by name.
func (o *Owner) Shards() []ShardStatus {
	var statuses []ShardStatus
	for _, runner := range o.runners() {
		statuses = append(statuses, runner.status())
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Shard < statuses[j].Shard })
	return statuses
}

func (r *runner) status() ShardStatus {
	r.mu.Lock()
	now := r.owner.config.Clock.Now()
	coreStatus := r.core.Status(now)
	stats, _ := r.core.Stats(now)
	r.mu.Unlock()
	status := ShardStatus{
		Shard: r.shard, Member: r.owner.config.Members.Self().ID, Epoch: r.epoch.String(),
		Phase: coreStatus.Phase.String(), Copied: r.journal == nil,
		Workers: coreStatus.Workers, Claimed: coreStatus.Claimed, Unreachable: coreStatus.Unreachable,
		Running: coreStatus.Running, Unaccounted: coreStatus.Unaccounted, Free: coreStatus.Free, Total: coreStatus.Total,
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

// Jobs lists the jobs of every shard, ordered by ID. When an owner does not answer,
// it returns the jobs read so far and the error. Errors: ErrUnavailable, ErrUnknown.
func (o *Owner) Jobs(ctx context.Context) ([]cairnbay.JobView, error) {
	var views []cairnbay.JobView
	for id := range o.knownShards() {
		if runner := o.runnerOf(id); runner != nil {
			views = append(views, runner.jobs()...)
			continue
		}
		var remote []cairnbay.JobView
		if err := o.queryOwner(ctx, id, queryJobs, "", &remote); err != nil {
			return views, err
		}
		views = append(views, remote...)
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Job.ID < views[j].Job.ID })
	return views, nil
}

func (r *runner) jobs() []cairnbay.JobView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Jobs(r.owner.config.Clock.Now())
}

// Explain reports why a job is in its current state. Errors: ErrNotFound,
// ErrUnavailable, ErrUnknown when the call to the owner fails for another reason.
func (o *Owner) Explain(ctx context.Context, job cairnbay.JobID) (cairnbay.Explanation, error) {
	var explanation cairnbay.Explanation
	id, err := o.shardOfJob(job)
	if err != nil {
		return explanation, err
	}
	if runner := o.runnerOf(id); runner != nil {
		return runner.explain(job)
	}
	err = o.queryOwner(ctx, id, queryExplain, job, &explanation)
	return explanation, err
}

func (r *runner) explain(job cairnbay.JobID) (cairnbay.Explanation, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Explain(job, r.owner.config.Clock.Now())
}

// queryOwner sends a query to the owner of a shard and decodes its answer.
func (o *Owner) queryOwner(ctx context.Context, id cairnbay.ShardID, kind string, job cairnbay.JobID, answer any) error {
	peer, err := o.ownerClient(id)
	if err != nil {
		return err
	}
	ctx, cancel := o.withPeerTimeout(ctx)
	defer cancel()
	response, err := peer.Query(ctx, newRequest(&cairnbayv1.QueryRequest{Shard: string(id), What: kind, Job: string(job)}))
	if err != nil {
		return errors.Annotatef(fromConnect(err), "query the owner of shard %q for %s", id, kind)
	}
	return json.Unmarshal(response.Msg.GetAnswer(), answer)
}

// HandleQuery answers another member's query about a shard owned here.
func (o *Owner) HandleQuery(_ context.Context, request *cairnbayv1.QueryRequest) (*cairnbayv1.QueryResponse, error) {
	runner := o.runnerOf(cairnbay.ShardID(request.GetShard()))
	if runner == nil {
		return nil, toConnect(errors.Annotatef(cairnbay.ErrNotOwner, "shard %q", request.GetShard()))
	}
	var answer any
	var err error
	switch request.GetWhat() {
	case queryJobs:
		answer = runner.jobs()
	case queryExplain:
		answer, err = runner.explain(cairnbay.JobID(request.GetJob()))
	case queryStatus:
		answer = runner.status()
	default:
		err = errors.Annotatef(cairnbay.ErrInvalid, "unknown kind of query %q", request.GetWhat())
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

// Cancel cancels jobs shard by shard, with one journal write per shard, and returns
// the number of jobs that had not finished. It stops at the first error; jobs of the
// shards before stay cancelled and are counted. Errors: those of shardOfJob, before any
// cancellation; for the failing shard ErrUnavailable, ErrFenced and ErrClosed (not
// cancelled) or ErrUnknown (may have been cancelled).
func (o *Owner) Cancel(ctx context.Context, jobs []cairnbay.JobID) (int, error) {
	byShard := map[cairnbay.ShardID][]cairnbay.JobID{}
	for _, job := range jobs {
		id, err := o.shardOfJob(job)
		if err != nil {
			return 0, err
		}
		byShard[id] = append(byShard[id], job)
	}
	total := 0
	for id, ids := range byShard {
		count, err := o.cancelInShard(ctx, id, ids)
		total += count
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

func (o *Owner) cancelInShard(ctx context.Context, id cairnbay.ShardID, jobs []cairnbay.JobID) (int, error) {
	if runner := o.runnerOf(id); runner != nil {
		return runner.cancelJobs(ctx, jobs)
	}
	peer, err := o.ownerClient(id)
	if err != nil {
		return 0, err
	}
	ids := make([]string, len(jobs))
	for i, job := range jobs {
		ids[i] = string(job)
	}
	response, err := peer.Cancel(ctx, newRequest(&cairnbayv1.CancelRequest{Shard: string(id), Jobs: ids}))
	if err != nil {
		return 0, errors.Annotatef(fromConnect(err), "cancel at the owner of shard %q", id)
	}
	return int(response.Msg.GetCancelled()), nil
}

// HandleCancel carries out a cancellation that another member forwarded.
func (o *Owner) HandleCancel(ctx context.Context, request *cairnbayv1.CancelRequest) (*cairnbayv1.CancelResponse, error) {
	runner := o.runnerOf(cairnbay.ShardID(request.GetShard()))
	if runner == nil {
		return nil, toConnect(errors.Annotatef(cairnbay.ErrNotOwner, "shard %q", request.GetShard()))
	}
	jobs := make([]cairnbay.JobID, len(request.GetJobs()))
	for i, job := range request.GetJobs() {
		jobs[i] = cairnbay.JobID(job)
	}
	count, err := runner.cancelJobs(ctx, jobs)
	if err != nil {
		return nil, toConnect(err)
	}
	return &cairnbayv1.CancelResponse{Cancelled: uint32(count)}, nil
}

// cancelJobs journals a cancellation and applies it to the core.
func (r *runner) cancelJobs(ctx context.Context, jobs []cairnbay.JobID) (int, error) {
	if r.journal == nil {
		return 0, errors.Annotatef(cairnbay.ErrUnavailable, "shard %q cannot cancel jobs while the store is down", r.shard)
	}
	count := 0
	done := make(chan error, 1)
	ticket := r.journal.Append(commit.Urgent, []commit.Record{{Cancel: jobs}}, func(err error) {
		if err == nil {
			r.step(func(core *shard.Core, now time.Duration) { count = core.Cancel(jobs, now) })
		} else {
			r.journalLost.Store(true)
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

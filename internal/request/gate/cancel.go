package gate

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/layout"
)

// cancel cancels a job and responds with the outcome.
func (g *Gate) cancel(ctx context.Context, writer http.ResponseWriter, callerReq *callerRequest) {
	found, err := g.cancelAll(ctx, callerReq)
	switch {
	case err != nil:
		g.recordOutcome(callerReq, http.StatusGatewayTimeout, err.Error())
		http.Error(writer, "not known whether the job was cancelled", http.StatusGatewayTimeout)
	case !found:
		g.recordOutcome(callerReq, http.StatusGone, "unknown")
		http.Error(writer, "no such job", http.StatusGone)
	default:
		g.recordOutcome(callerReq, http.StatusOK, "cancelled")
		writer.WriteHeader(http.StatusOK)
	}
}

// cancelAll cancels the job at the owner that has it, and returns false if no
// owner has it. It calls the owners in the same order as inspectAll, and repeats failed
// calls as repeat allows. If no owner has the job, the one at the job's shard in the
// queue's class stores the cancellation, so that a submission that is still under way
// starts nothing.
func (g *Gate) cancelAll(ctx context.Context, callerReq *callerRequest) (bool, error) {
	for {
		found, err := false, errNoOwner
		if divided, ok := g.awaitLayout(ctx, callerReq.queue.Class); ok {
			found, err = g.cancelClass(ctx, divided, callerReq, wholeJob)
		}
		if err == nil && !found {
			layouts := g.config.Owners.Layouts()
			for class, divided := range layouts {
				if class != callerReq.queue.Class && err == nil && !found {
					found, err = g.cancelClass(ctx, divided, callerReq, wholeJob)
				}
			}
			if err == nil && !found {
				err = g.confirmClasses(ctx, layouts)
			}
			if divided, ok := layouts[callerReq.queue.Class]; ok && err == nil && !found {
				found, err = g.cancelClass(ctx, divided, callerReq, withdrawnJob)
			}
		}
		if err == nil {
			return found, nil
		}
		if !g.repeat(ctx, callerReq, err) {
			return false, err
		}
	}
}

// cancelClass cancels the job at the owner of its shard and, if that owner has it, at
// those of the class's other shards, over which it may be spread. These store the
// cancellation also if their portion has not arrived.
func (g *Gate) cancelClass(
	ctx context.Context, divided layout.Layout, callerReq *callerRequest, target cancelTarget,
) (bool, error) {
	home := divided.ShardOfJob(callerReq.id)
	outcome, err := g.cancelShard(ctx, home, callerReq, target)
	if err != nil || outcome != jobMaySpread {
		return outcome != jobAbsent, err
	}
	calls, ctx := errgroup.WithContext(ctx)
	for _, shard := range divided.Names() {
		if shard != home {
			calls.Go(func() error {
				_, err := g.cancelShard(ctx, shard, callerReq, portionOfJob)
				return err
			})
		}
	}
	return true, calls.Wait()
}

// cancelTarget is what a cancellation is about at a shard.
type cancelTarget int

const (
	wholeJob cancelTarget = iota
	// portionOfJob means that another shard has the job.
	portionOfJob
	// withdrawnJob means that no shard has the job yet.
	withdrawnJob
)

// cancelOutcome is what the owner of a shard says of a cancellation.
type cancelOutcome int

const (
	// jobAbsent means that the owner does not have the job, or has it of another workspace.
	jobAbsent cancelOutcome = iota
	jobCancelled
	// jobMaySpread means that the job is cancelled and that other shards may have portions.
	jobMaySpread
)

// cancelShard cancels the job, or the portion of a job that another shard has, at the
// owner of a shard. Errors: errNoOwner, also when the called instance does not own the
// shard, ErrUnconfirmed, ErrUnknown if the cancellation may not be stored, or the error of
// the call.
func (g *Gate) cancelShard(ctx context.Context, shard string, callerReq *callerRequest, target cancelTarget) (cancelOutcome, error) {
	owner, ok := g.awaitOwner(ctx, shard)
	if !ok {
		return jobAbsent, errNoOwner
	}
	if localDrive := g.config.Drive(shard); localDrive != nil {
		err := localDrive.Cancel(ctx, drive.Cancellation{
			Scope: callerReq.scope, ID: callerReq.id, Queue: callerReq.queue.Path(),
			Portion: target == portionOfJob, Withdraw: target == withdrawnJob,
		})
		switch {
		case errors.Is(err, cairnbay.ErrNotFound):
			callerReq.recordAbsent(shard, owner)
			return jobAbsent, nil
		case err != nil:
			return jobAbsent, ownerError(err)
		case localDrive.IsWhole(callerReq.id):
			return jobCancelled, nil
		default:
			return jobMaySpread, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, confirmedCallTimeout)
	defer cancel()
	response, err := g.config.Relay.Client(owner.Address).Cancel(ctx, connect.NewRequest(&cairnbayv1.CancelWorkflowRequest{
		Shard: shard, Id: callerReq.id, Scope: callerReq.scope, Queue: encodePath(callerReq.queue.Path()),
		Portion: target == portionOfJob, Withdraw: target == withdrawnJob,
	}))
	g.recordOwnerCall(err == nil)
	if err == nil {
		err = responseError(response.Msg)
	}
	switch {
	case err != nil:
		return jobAbsent, err
	case !response.Msg.GetFound():
		callerReq.recordAbsent(shard, owner)
		return jobAbsent, nil
	case !response.Msg.GetStored():
		return jobAbsent, cairnbay.ErrUnknown
	case response.Msg.GetWhole():
		return jobCancelled, nil
	default:
		return jobMaySpread, nil
	}
}

package gate

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/layout"
	"cairnbay/internal/process/tenure"
)

// inspect responds with a job's state.
func (g *Gate) inspect(ctx context.Context, writer http.ResponseWriter, callerReq *callerRequest) {
	state, err := g.inspectAll(ctx, callerReq)
	switch {
	case err != nil:
		g.refuse(writer, callerReq, err.Error(), time.Second)
	case state == cairnbay.WorkflowUnknown:
		g.recordOutcome(callerReq, http.StatusGone, "unknown")
		http.Error(writer, "no such job", http.StatusGone)
	default:
		body, err := g.config.Format.EncodeState(state)
		g.writeJSON(writer, callerReq, body, err, state.String())
	}
}

// inspectAll calls the owner of the job's shard in the queue's class, then those in
// the other classes: the queue may have had another class when it accepted the job.
// It repeats failed calls as repeat allows.
func (g *Gate) inspectAll(ctx context.Context, callerReq *callerRequest) (cairnbay.WorkflowState, error) {
	for {
		state, err := cairnbay.WorkflowUnknown, errNoOwner
		if divided, ok := g.awaitLayout(ctx, callerReq.queue.Class); ok {
			state, err = g.inspectShard(ctx, divided.ShardOfJob(callerReq.id), callerReq, callerReq.inquiry(callerReq.scope))
		}
		if err == nil && state != cairnbay.WorkflowUnknown {
			return state, nil
		}
		if err == nil {
			layouts := g.config.Owners.Layouts()
			state, err = g.inspectOthers(ctx, layouts, callerReq)
			if err == nil && state == cairnbay.WorkflowUnknown {
				err = g.confirmClasses(ctx, layouts)
			}
		}
		if err == nil {
			return state, nil
		}
		if !g.repeat(ctx, callerReq, err) {
			return cairnbay.WorkflowUnknown, err
		}
	}
}

// inspectOthers calls the owners of the job's shards in all classes but the queue's
// own, until one of them has the job.
func (g *Gate) inspectOthers(
	ctx context.Context, layouts map[string]layout.Layout, callerReq *callerRequest,
) (cairnbay.WorkflowState, error) {
	for class, divided := range layouts {
		if class == callerReq.queue.Class {
			continue
		}
		state, err := g.inspectShard(ctx, divided.ShardOfJob(callerReq.id), callerReq, callerReq.inquiry(callerReq.scope))
		if err != nil || state != cairnbay.WorkflowUnknown {
			return state, err
		}
	}
	return cairnbay.WorkflowUnknown, nil
}

// confirmClasses returns nil if the store has no classes besides those asked, so that a
// job that none of them has does not exist. Errors: errNewClass; cairnbay.ErrUnconfirmed
// if the store does not answer.
func (g *Gate) confirmClasses(ctx context.Context, asked map[string]layout.Layout) error {
	stored, err := g.config.Owners.ReadLayouts(ctx)
	if err != nil {
		return cairnbay.ErrUnconfirmed
	}
	for class := range stored {
		if _, ok := asked[class]; !ok {
			return errNewClass
		}
	}
	return nil
}

// inquiry returns the inquiry about the job, limited to a scope.
func (r *callerRequest) inquiry(scope *cairnbayv1.AccessScope) drive.Inquiry {
	return drive.Inquiry{Scope: scope, ID: r.id, Queue: r.queue.Path()}
}

// inspectShard gets the state of the job, if the inquiry's scope includes it, from the
// owner of a shard. Errors: errNoOwner, also when the called instance does not own the
// shard, cairnbay.ErrUnconfirmed, or the error of the call.
func (g *Gate) inspectShard(
	ctx context.Context, shard string, callerReq *callerRequest, inquiry drive.Inquiry,
) (cairnbay.WorkflowState, error) {
	owner, ok := g.awaitOwner(ctx, shard)
	if !ok {
		return cairnbay.WorkflowUnknown, errNoOwner
	}
	asked := time.Now()
	finding, err := g.inquire(ctx, shard, owner, inquiry)
	if err != nil {
		return cairnbay.WorkflowUnknown, err
	}
	if finding.QueueAbsent {
		g.former.setAbsent(&callerReq.queue, shard, asked)
	}
	if finding.State == cairnbay.WorkflowUnknown {
		callerReq.recordAbsent(shard, owner)
	}
	return finding.State, nil
}

// inquire passes an inquiry to the owner of a shard. Errors: as of inspectShard.
func (g *Gate) inquire(ctx context.Context, shard string, owner tenure.Owner, inquiry drive.Inquiry) (drive.Finding, error) {
	if localDrive := g.config.Drive(shard); localDrive != nil {
		finding, err := localDrive.Inquire(ctx, inquiry)
		return finding, ownerError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, confirmedCallTimeout)
	defer cancel()
	response, err := g.config.Relay.Client(owner.Address).Inspect(ctx, connect.NewRequest(&cairnbayv1.InspectWorkflowRequest{
		Shard: shard, Id: inquiry.ID, Scope: inquiry.Scope, Queue: encodePath(inquiry.Queue),
		Submission: inquiry.Submission,
	}))
	g.recordOwnerCall(err == nil)
	if err != nil {
		return drive.Finding{}, err
	}
	if err := responseError(response.Msg); err != nil {
		return drive.Finding{}, err
	}
	return drive.Finding{
		State: cairnbay.WorkflowState(response.Msg.GetState()), QueueAbsent: response.Msg.GetQueueAbsent(),
	}, nil
}

// ownerResponse is the part of an owner's response that tells whether it is the owner.
type ownerResponse interface {
	GetOwner() bool
	GetUnconfirmed() bool
}

// responseError is nil if the response is that of the owner. Errors: errNoOwner,
// cairnbay.ErrUnconfirmed.
func responseError(response ownerResponse) error {
	switch {
	case response.GetUnconfirmed():
		return cairnbay.ErrUnconfirmed
	case !response.GetOwner():
		return errNoOwner
	default:
		return nil
	}
}

// ownerError is the error of a call to an owner on this instance, errNoOwner for
// cairnbay.ErrNotOwner.
func ownerError(err error) error {
	if errors.Is(err, cairnbay.ErrNotOwner) {
		return errNoOwner
	}
	return err
}

func encodePath(path cairnbay.QueuePath) *cairnbayv1.QueuePath {
	return &cairnbayv1.QueuePath{Host: path.Host, Prefix: path.Prefix}
}

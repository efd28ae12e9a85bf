package gate

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/conn/listen"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/tenure"
)

// submit submits a workflow. It responds with 200 if the owner accepted the job,
// 504 if that is not known, 503 if no owner can have accepted it, 400, 408 or 413 if the body is
// invalid, late or too large, 409 if the ID is that of another workspace's job.
func (g *Gate) submit(ctx context.Context, writer http.ResponseWriter, request *http.Request, callerReq *callerRequest) {
	body, err := g.readBody(ctx, writer, request)
	if err != nil {
		g.reject(writer, callerReq, err)
		return
	}
	steps := g.config.Format.CountObjects(body) - 1
	if steps > sched.MaxSteps {
		g.recordOutcome(callerReq, http.StatusBadRequest, sched.ReasonJobTooLarge)
		http.Error(writer, fmt.Sprintf("%s: %d steps", sched.ReasonJobTooLarge, steps), http.StatusBadRequest)
		return
	}
	if err := listen.Reserve(request.Context(), int64(steps)*stepBytes+int64(len(body))*bodyWeight); err != nil {
		g.reject(writer, callerReq, err)
		return
	}
	workflow, err := g.config.Format.DecodeWorkflow(callerReq.id, body)
	if err != nil {
		g.config.Log.WithError(err).WithField("job", callerReq.id).Info("submission cannot be decoded")
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	workflow.Workspace = callerReq.scope.GetWorkspace()
	verdict, err := g.submitAll(ctx, workflow, callerReq)
	for verdict.Kind == cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_MOVED && !callerReq.maybeDelivered && g.rematch(ctx, request, callerReq) {
		verdict, err = g.submitAll(ctx, workflow, callerReq)
	}
	switch {
	case verdict.Kind == cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_INVALID:
		// The owner has no job of that ID, and no owner accepts this one.
		g.recordOutcome(callerReq, http.StatusBadRequest, verdict.Reason)
		http.Error(writer, verdict.Reason, http.StatusBadRequest)
	case callerReq.maybeDelivered && verdict.Kind != cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_ACCEPTED,
		verdict.Kind == cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_UNCERTAIN:
		g.recordOutcome(callerReq, http.StatusGatewayTimeout, "uncertain")
		http.Error(writer, "not known whether the job was accepted", http.StatusGatewayTimeout)
	case err != nil:
		if errors.Is(err, cairnbay.ErrUnconfirmed) {
			g.storeStalledAt.Store(time.Now().UnixNano())
		}
		g.refuse(writer, callerReq, err.Error(), noOwnerRetryAfter)
	case verdict.Kind == cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_ACCEPTED:
		g.recordOutcome(callerReq, http.StatusOK, "accepted")
		writer.WriteHeader(http.StatusOK)
	case verdict.Kind == cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_CONFLICT:
		g.recordOutcome(callerReq, http.StatusConflict, "conflict")
		http.Error(writer, "the ID belongs to another job", http.StatusConflict)
	default:
		if verdict.Reason == drive.ReasonStoreStalled {
			g.storeStalledAt.Store(time.Now().UnixNano())
		}
		g.refuse(writer, callerReq, verdict.Reason, verdict.RetryAfter)
	}
}

// readBody reads the body of a submission until the caller's deadline. Errors: those of
// listen.ReadBody.
func (g *Gate) readBody(ctx context.Context, writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	return listen.ReadBody(writer, request, maxBodyBytes, deadline)
}

var (
	// errNoOwner says that no owner is known, or that the called instance does not
	// own the shard. The call had no effect.
	errNoOwner = errors.New("shard has no owner")
	// errNewClass says that the store has a class of which this instance has not heard.
	errNewClass = errors.New("class not known yet")
	// errOwnUnconfirmed says that the store does not answer the owner in the queue's class,
	// which cannot accept the job then.
	errOwnUnconfirmed = fmt.Errorf("queue's class: %w", cairnbay.ErrUnconfirmed)
	// errUncertain says that the owner responded with SUBMIT_VERDICT_UNCERTAIN: the
	// job may be accepted.
	errUncertain = errors.New("not known whether the owner accepted the job")
)

// placement is the class of a submitted job.
type placement struct {
	class string
	// routingVersion is the version of the configuration that leads the queue to the class;
	// 0 if the class has the job.
	routingVersion uint64
}

// findClass returns the class of a submitted job: the queue's, or that which the queue had
// when a former submission of the job was accepted. It repeats failed calls up to
// ownerWaitTimeout, but for those to the owner of the queue's class if the store does not
// answer it. Errors: those of inspectShard, errOwnUnconfirmed.
func (g *Gate) findClass(ctx context.Context, callerReq *callerRequest) (placement, error) {
	for {
		found, err := g.askFormerClasses(ctx, callerReq)
		if err == nil || errors.Is(err, errOwnUnconfirmed) ||
			time.Since(callerReq.startedAt) > ownerWaitTimeout || !pause(ctx) {
			return found, err
		}
	}
}

// rematch waits for a newer configuration than that of a submission, up to ownerWaitTimeout,
// and finds the queue in it. It returns false if there is none, or if the submission is not
// one to the same path with the same terms of access.
func (g *Gate) rematch(ctx context.Context, request *http.Request, callerReq *callerRequest) bool {
	routing := g.config.Routing()
	for routing.Version <= callerReq.version {
		if time.Since(callerReq.startedAt) > ownerWaitTimeout || !pause(ctx) {
			return false
		}
		routing = g.config.Routing()
	}
	queue, jobID, ok := match(routing, request.Host, request.URL.Path)
	if !ok || jobID != callerReq.id || queue.Public != callerReq.queue.Public || routing.KeysRequired != (callerReq.scope != nil) {
		return false
	}
	g.former.update(routing, g.fresh())
	callerReq.queue, callerReq.version = queue, routing.Version
	return true
}

// askFormerClasses is findClass without repeats. While the configuration may be out of
// date, it asks also the owners that lacked the queue, since a newer configuration may have
// led the job to them. The owner in the queue's class comes first then: if it has the job,
// or the store does not answer it, the others need not be asked.
func (g *Gate) askFormerClasses(ctx context.Context, callerReq *callerRequest) (placement, error) {
	own := placement{class: callerReq.queue.Class, routingVersion: callerReq.version}
	fresh := g.fresh()
	if !fresh {
		state, err := g.inspectOwn(ctx, callerReq)
		if errors.Is(err, cairnbay.ErrUnconfirmed) {
			err = errOwnUnconfirmed
		}
		if err != nil || state != cairnbay.WorkflowUnknown {
			return placement{class: own.class}, err
		}
	}
	layouts, err := g.layouts(ctx, &callerReq.queue)
	if err != nil {
		return placement{}, err
	}
	for class, divided := range layouts {
		shard := divided.ShardOfJob(callerReq.id)
		if class == callerReq.queue.Class || fresh && g.former.lacks(&callerReq.queue, shard) {
			continue
		}
		// Without a scope: a job of another workspace makes the submission a conflict.
		state, err := g.inspectShard(ctx, shard, callerReq, callerReq.inquiry(nil))
		switch {
		case err != nil:
			return placement{}, err
		case state != cairnbay.WorkflowUnknown:
			return placement{class: class}, nil
		}
	}
	return own, nil
}

// inspectOwn is inspectShard for the queue's own class. The job is unknown if the shard has
// no owner, which submitToOwner waits for.
func (g *Gate) inspectOwn(ctx context.Context, callerReq *callerRequest) (cairnbay.WorkflowState, error) {
	own, ok := g.config.Owners.Layout(callerReq.queue.Class)
	if !ok {
		return cairnbay.WorkflowUnknown, nil
	}
	shard := own.ShardOfJob(callerReq.id)
	if _, ok := g.config.Owners.Owner(shard); !ok {
		return cairnbay.WorkflowUnknown, nil
	}
	inquiry := callerReq.inquiry(nil)
	inquiry.Submission = true
	return g.inspectShard(ctx, shard, callerReq, inquiry)
}

// submitAll submits each assignment of a workflow to its owner, one after the other. If
// a later one is not accepted, the first ones have been: the job is uncertain until a
// repeated submission completes it. If the job has been cancelled meanwhile, the
// missing ones must not start. The first is at the job's own shard: once that has the job,
// the others follow it whatever the queue's class. Errors: errNoOwner, those of findClass
// and submitToOwner.
func (g *Gate) submitAll(ctx context.Context, workflow cairnbay.Workflow, callerReq *callerRequest) (drive.Verdict, error) {
	found, err := g.findClass(ctx, callerReq)
	if err != nil {
		return drive.Verdict{}, err
	}
	workflow.Queue = callerReq.queue
	workflow.Class, workflow.Queue.Class = found.class, found.class
	divided, ok := g.awaitLayout(ctx, found.class)
	if !ok {
		return drive.Verdict{}, errNoOwner
	}
	var verdict drive.Verdict
	for i, assigned := range divided.Assign(workflow) {
		submission := drive.Submission{Workflow: assigned.Workflow}
		if i == 0 {
			submission.RoutingVersion = found.routingVersion
		}
		callerReq.maybeDelivered = callerReq.maybeDelivered || i > 0
		var err error
		verdict, err = g.submitToOwner(ctx, assigned.Shard, submission, callerReq)
		if verdict.Kind == cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_CONFLICT && i == 0 {
			// The workspace of a job does not change, so no earlier try was accepted.
			callerReq.maybeDelivered = false
		}
		if err != nil || verdict.Kind != cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_ACCEPTED || verdict.Cancelled {
			return verdict, err
		}
	}
	return verdict, nil
}

// submitToOwner submits the workflow to the owner of a shard, and again if the
// owner does not respond or has changed. Repeating is safe because submissions
// with the same ID are one job. The attempts end with the context, when awaitOwner
// finds no owner, or after ownerWaitTimeout if no owner can have accepted the job.
// Errors: errNoOwner, errUncertain, or the error of the last call;
// callerReq.maybeDelivered says whether an owner can have accepted the job.
func (g *Gate) submitToOwner(
	ctx context.Context, shard string, submission drive.Submission, callerReq *callerRequest,
) (drive.Verdict, error) {
	message := &cairnbayv1.SubmitWorkflowRequest{
		Workflow: drive.EncodeWorkflow(&submission.Workflow), Shard: shard, RoutingVersion: submission.RoutingVersion,
	}
	for {
		owner, ok := g.awaitOwner(ctx, shard)
		if !ok {
			g.recordOwnerCall(false)
			return drive.Verdict{}, errNoOwner
		}
		verdict, err := g.submitOnce(ctx, owner, shard, submission, message, callerReq)
		switch {
		case err != nil:
		case verdict.Kind == cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_UNCERTAIN:
			callerReq.maybeDelivered = true
			err = errUncertain
		case verdict.Kind == cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_NOT_OWNER:
			err = errNoOwner
		default:
			return verdict, nil
		}
		if time.Since(callerReq.startedAt) > ownerWaitTimeout && !callerReq.maybeDelivered {
			return drive.Verdict{}, err
		}
		if !pause(ctx) {
			return drive.Verdict{}, err
		}
	}
}

// submitOnce submits the workflow to the owner once, without a call over the
// network if this instance is the owner.
func (g *Gate) submitOnce(
	ctx context.Context, owner tenure.Owner, shard string,
	submission drive.Submission, message *cairnbayv1.SubmitWorkflowRequest, callerReq *callerRequest,
) (drive.Verdict, error) {
	if localDrive := g.config.Drive(shard); localDrive != nil {
		return localDrive.Submit(ctx, submission), nil
	}
	callCtx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	response, err := g.config.Relay.Client(owner.Address).Submit(callCtx, connect.NewRequest(message))
	g.recordOwnerCall(err == nil)
	if err != nil {
		callerReq.maybeDelivered = callerReq.maybeDelivered || !neverSent(err)
		g.config.Log.WithError(err).WithFields(logrus.Fields{"job": callerReq.id, "owner": owner.Instance}).
			Warn("owner not reached")
		return drive.Verdict{}, err
	}
	result := response.Msg
	return drive.Verdict{
		Kind: result.GetVerdict(), Reason: result.GetReason(),
		RetryAfter: time.Duration(result.GetRetryAfterMs()) * time.Millisecond,
		Cancelled:  result.GetCancelled(),
	}, nil
}

// neverSent reports whether a call failed before a connection was open, so that
// the owner cannot have acted on it.
func neverSent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// repeat waits before a call that failed with an error is repeated. It returns false if
// the request has to be answered without: the context ended, or the store has not
// confirmed an owner for confirmTimeout.
func (g *Gate) repeat(ctx context.Context, callerReq *callerRequest, err error) bool {
	if errors.Is(err, cairnbay.ErrUnconfirmed) && time.Since(callerReq.startedAt) > confirmTimeout {
		return false
	}
	return pause(ctx)
}

// pause waits for retryPause. It returns false if the context ended first.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryPause):
		return true
	}
}

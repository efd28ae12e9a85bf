package gate

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/tenure"
)

// submit submits a workflow and responds with the owner's verdict. The response
// is a refusal only if no owner can have accepted the job.
func (g *Gate) submit(ctx context.Context, writer http.ResponseWriter, request *http.Request, call *callerRequest) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		http.Error(writer, "body cannot be read", http.StatusBadRequest)
		return
	}
	workflow, err := g.config.Format.DecodeWorkflow(call.id, body)
	if err != nil {
		g.config.Log.WithError(err).WithField("job", call.id).Info("submission cannot be read")
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	workflow.Queue, workflow.Class = call.queue, call.queue.Class
	verdict, err := g.submitToOwner(ctx, &workflow, call)
	switch {
	case call.maybeDelivered && verdict.Kind != cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_ACCEPTED,
		verdict.Kind == cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_UNCERTAIN:
		g.recordOutcome(call, http.StatusGatewayTimeout, "uncertain")
		http.Error(writer, "not known whether the job was accepted", http.StatusGatewayTimeout)
	case err != nil:
		g.refuse(writer, call, err.Error(), noOwnerRetryAfter)
	case verdict.Kind == cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_ACCEPTED:
		g.recordOutcome(call, http.StatusOK, "accepted")
		writer.WriteHeader(http.StatusOK)
	default:
		g.refuse(writer, call, verdict.Reason, verdict.RetryAfter)
	}
}

var (
	errNoOwner   = errors.New("class has no owner")
	errUncertain = errors.New("not known whether the owner accepted the job")
)

// submitToOwner submits the workflow to the owner of its class, and again if the
// owner does not respond or has changed. Repeating is safe because submissions
// with the same ID are one job. The attempts end with the context, or after
// ownerWaitTimeout if no owner can have accepted the job.
func (g *Gate) submitToOwner(ctx context.Context, workflow *cairnbay.Workflow, call *callerRequest) (drive.Verdict, error) {
	message := drive.EncodeWorkflow(workflow)
	for {
		owner, ok := g.awaitOwner(ctx, workflow.Class)
		if !ok {
			g.recordOwnerCall(false)
			return drive.Verdict{}, errNoOwner
		}
		verdict, err := g.submitOnce(ctx, owner, workflow, message, call)
		switch {
		case err != nil:
		case verdict.Kind == cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_UNCERTAIN:
			call.maybeDelivered = true
			err = errUncertain
		case verdict.Kind == cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_NOT_OWNER:
			err = errNoOwner
		default:
			return verdict, nil
		}
		if time.Since(call.startedAt) > ownerWaitTimeout && !call.maybeDelivered {
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
	ctx context.Context, owner tenure.Owner, workflow *cairnbay.Workflow, message *cairnbayv1.Workflow, call *callerRequest,
) (drive.Verdict, error) {
	if local := g.config.Drive(workflow.Class); local != nil {
		return local.Submit(ctx, *workflow), nil
	}
	callCtx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	response, err := g.config.Relay.Client(owner.Address).Submit(callCtx,
		connect.NewRequest(&cairnbayv1.SubmitWorkflowRequest{Workflow: message}))
	g.recordOwnerCall(err == nil)
	if err != nil {
		call.maybeDelivered = call.maybeDelivered || !neverSent(err)
		g.config.Log.WithError(err).WithFields(logrus.Fields{"job": call.id, "owner": owner.Instance}).
			Warn("owner not reached")
		return drive.Verdict{}, err
	}
	result := response.Msg
	return drive.Verdict{
		Kind: result.GetVerdict(), Reason: result.GetReason(),
		RetryAfter: time.Duration(result.GetRetryAfterMs()) * time.Millisecond,
	}, nil
}

// neverSent reports whether a call failed before a connection was open, so that
// the owner cannot have acted on it.
func neverSent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
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

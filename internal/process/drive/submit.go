package drive

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/sched"
)

// Reasons for a refusal that come from the state of the owner, not of the queue.
const (
	reasonNotLoaded = "journal_not_loaded"
	// ReasonStoreStalled is for a store that does not answer the owner.
	ReasonStoreStalled = "store_not_answering"
	reasonOwnerStopped = "owner_stopped"
	reasonOverloaded   = "owner_overloaded"
	// reasonOtherWorkspace is for the ID of another workspace's job.
	reasonOtherWorkspace = "id_of_another_workspace"
	// reasonQueueMoved is for a class that was chosen by an old configuration.
	reasonQueueMoved = "configuration_out_of_date"
)

// reasonSeparator stands between a reason and the detail that names what it is about.
const reasonSeparator = ": "

// Submission asks the owner of a shard to accept a workflow.
type Submission struct {
	Workflow cairnbay.Workflow
	// RoutingVersion is the version of the configuration that leads the queue to the
	// workflow's class; 0 if the class has the job already, so that its queue no longer
	// matters.
	RoutingVersion uint64
}

// Verdict is the answer to a submission.
type Verdict struct {
	// Kind is accepted, refused, uncertain, not_owner, invalid, conflict or moved.
	Kind cairnbayv1.SubmitVerdict
	// Reason says why a submission was refused, is invalid or uncertain; empty otherwise.
	Reason string
	// RetryAfter is the minimum wait before a refused submission is repeated.
	RetryAfter time.Duration
	// Cancelled says of an accepted job that it was submitted before and has been
	// cancelled since.
	Cancelled bool
	// Surplus says that the job was refused beyond the rate of its workspace, and Wait how
	// long it would have waited by the owner's estimate; 0 if that was not the reason.
	Surplus bool
	Wait    time.Duration
}

const (
	// stallRetryAfter is the Retry-After while the store does not answer.
	stallRetryAfter = 2 * time.Second
	// loadRetryAfter is the Retry-After while the journal is being read.
	loadRetryAfter = time.Second
	// movedRetryAfter is the Retry-After of a caller whose instance has an old
	// configuration.
	movedRetryAfter = time.Second
)

// pendingSubmission is an accepted workflow that is being stored, or the withdrawal of one
// that has not arrived, which submissions of it wait for.
type pendingSubmission struct {
	// done is closed once err is set.
	done chan struct{}
	err  error
	// workspace and queue are those of the workflow.
	workspace string
	queue     cairnbay.QueuePath
	// footprint is that of the workflow, see sched.Footprint.
	footprint int64
	withdrawn bool
}

// Submit stores a workflow and accepts it, or refuses it. The verdict is
// uncertain when the context or the ownership ends before the store's answer, and
// not_owner once a newer owner exists or the drive is closed. A submission with
// the ID of a job that is stored, or being stored, counts as the same job; its
// contents are not compared. The verdict is conflict if that job belongs to another
// workspace, and moved for a new job whose queue a newer configuration than the
// submission's leads to another class.
func (d *Drive) Submit(ctx context.Context, submission Submission) Verdict {
	verdict, pending := d.trySubmit(submission)
	switch {
	case pending != nil:
		verdict = pending.wait(ctx)
	case verdict.Kind == cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_ACCEPTED && !verdict.Cancelled &&
		errors.Is(d.confirmRecent(ctx), cairnbay.ErrNotOwner):
		// The successor may have cancelled the job.
		verdict = Verdict{Kind: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_NOT_OWNER}
	}
	d.logVerdict(&submission.Workflow, verdict)
	return verdict
}

// wait returns the verdict once the submission is stored or has failed; it is
// uncertain when the context ends first.
func (s *pendingSubmission) wait(ctx context.Context) Verdict {
	select {
	case <-ctx.Done():
		return Verdict{Kind: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_UNCERTAIN, Reason: ReasonStoreStalled}
	case <-s.done:
	}
	switch {
	case s.err == nil:
		return Verdict{Kind: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_ACCEPTED, Cancelled: s.withdrawn}
	case errors.Is(s.err, cairnbay.ErrUnavailable):
		return Verdict{
			Kind:   cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_REFUSED,
			Reason: ReasonStoreStalled, RetryAfter: stallRetryAfter,
		}
	case errors.Is(s.err, cairnbay.ErrFenced):
		return Verdict{Kind: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_NOT_OWNER}
	default:
		return Verdict{Kind: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_UNCERTAIN, Reason: reasonOwnerStopped}
	}
}

// trySubmit returns a verdict, or the submission that is being stored. It does
// not block on the store.
func (d *Drive) trySubmit(submission Submission) (Verdict, *pendingSubmission) {
	workflow := submission.Workflow
	arrivedAt := d.config.BootTime()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.permitsJob(&cairnbayv1.AccessScope{Workspace: workflow.Workspace}, workflow.ID) {
		return Verdict{Kind: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_CONFLICT, Reason: reasonOtherWorkspace}, nil
	}
	if pending := d.pending[workflow.ID]; pending != nil {
		return Verdict{}, pending
	}
	now := d.now()
	// The wait for the lock is part of the lateness.
	d.late.raise(now.BootTime - arrivedAt)
	if dueAt := time.Duration(d.planDueAt.Load()); dueAt > 0 {
		d.late.raise(now.BootTime - dueAt)
	}
	refused := Verdict{Kind: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_REFUSED}
	switch {
	case d.core.HasJob(workflow.ID):
		return Verdict{
			Kind:      cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_ACCEPTED,
			Cancelled: d.core.State(workflow.ID) == cairnbay.WorkflowCancelled,
		}, nil
	case d.fenced || d.ctx.Err() != nil:
		return Verdict{Kind: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_NOT_OWNER}, nil
	case !d.loaded:
		refused.Reason, refused.RetryAfter = reasonNotLoaded, loadRetryAfter
		return refused, nil
	case d.hasMoved(&submission):
		return Verdict{
			Kind: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_MOVED, Reason: reasonQueueMoved, RetryAfter: movedRetryAfter,
		}, nil
	case d.writer.Stalled():
		refused.Reason, refused.RetryAfter = ReasonStoreStalled, stallRetryAfter
		return refused, nil
	case d.late.overloaded():
		refused.Reason, refused.RetryAfter = reasonOverloaded, d.late.retryAfter()
		return refused, nil
	}
	footprint := int64(0)
	for _, pending := range d.pending {
		footprint += pending.footprint
	}
	d.core.SetPending(footprint)
	admission := d.core.Admit(now, workflow)
	if !admission.Accept {
		refused.Reason, refused.RetryAfter = admission.Reason, admission.RetryAfter
		if admission.Detail != "" {
			refused.Reason += reasonSeparator + admission.Detail
		}
		if admission.Invalid {
			refused.Kind = cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_INVALID
		}
		refused.Surplus, refused.Wait = admission.Surplus, admission.ExpectedWait
		return refused, nil
	}
	if workflow.AcceptedUnixMS == 0 {
		workflow.AcceptedUnixMS = now.UnixMS
	}
	pending := &pendingSubmission{done: make(chan struct{}), workspace: workflow.Workspace, queue: workflow.Queue.Path(), footprint: sched.Footprint(&workflow)}
	d.pending[workflow.ID] = pending
	d.writer.TryAppend([]*cairnbayv1.WorkRecord{{Accepted: EncodeWorkflow(&workflow)}}, func(err error) {
		d.mu.Lock()
		delete(d.pending, workflow.ID)
		if err == nil {
			d.core.Accept(d.now(), workflow, false)
		}
		d.mu.Unlock()
		pending.err = err
		close(pending.done)
		d.requestPlan()
	})
	return Verdict{}, pending
}

// hasMoved reports whether a newer configuration than the submission's leads the queue to
// another class. Other instances may know already that this class has no jobs of the queue,
// and would not find the job here.
func (d *Drive) hasMoved(submission *Submission) bool {
	if submission.RoutingVersion == 0 || d.config.Routing == nil {
		return false
	}
	routing := d.config.Routing()
	if routing == nil || routing.Version <= submission.RoutingVersion {
		return false
	}
	class, ok := routing.ClassOf(submission.Workflow.Queue.Path())
	return ok && class != submission.Workflow.Class
}

func (d *Drive) logVerdict(workflow *cairnbay.Workflow, verdict Verdict) {
	d.meters.submitted(verdict)
	fields := logrus.Fields{
		"job": workflow.ID, "queue": workflow.Queue.Name, "verdict": verdictName(verdict.Kind),
	}
	if verdict.Reason != "" {
		fields["reason"] = verdict.Reason
		fields["retry_after_ms"] = verdict.RetryAfter.Milliseconds()
	}
	if workflow.Workspace != "" {
		fields["workspace"] = workflow.Workspace
	}
	if verdict.Wait > 0 {
		fields["wait_ms"], fields["surplus"] = verdict.Wait.Milliseconds(), verdict.Surplus
	}
	d.config.Log.WithFields(fields).Info("submission")
}

func verdictName(kind cairnbayv1.SubmitVerdict) string {
	switch kind {
	case cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_ACCEPTED:
		return "accepted"
	case cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_REFUSED:
		return "refused"
	case cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_UNCERTAIN:
		return "uncertain"
	case cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_NOT_OWNER:
		return "not_owner"
	case cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_CONFLICT:
		return "conflict"
	case cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_MOVED:
		return "moved"
	default:
		return "invalid"
	}
}

package drive

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// Reasons of a refusal that the owner's own state brings about.
const (
	reasonNotLoaded    = "journal_not_loaded"
	reasonStoreStalled = "store_not_answering"
	reasonOwnerStopped = "owner_stopped"
)

// Verdict is the answer to a submission.
type Verdict struct {
	Kind       cairnbayv1.SubmitVerdict
	Reason     string
	RetryAfter time.Duration
}

const (
	// storeStall is how long a journal write may be under way before new
	// submissions are refused. It is many times the store's usual answer.
	storeStall = 300 * time.Millisecond
	// stallRetry is the Retry-After while the store does not answer.
	stallRetry = 2 * time.Second
	// loadRetryAfter is the Retry-After while the journal is being read.
	loadRetryAfter = time.Second
)

// submission is an acceptance on its way to the store.
type submission struct {
	// done is closed once err is set.
	done chan struct{}
	err  error
}

// Submit accepts a workflow once it is in the store, or refuses it. The verdict
// is uncertain when the context or the ownership ends before that is known.
func (d *Drive) Submit(ctx context.Context, workflow cairnbay.Workflow) Verdict {
	verdict, under := d.trySubmit(workflow)
	if under != nil {
		verdict = under.wait(ctx)
	}
	d.logVerdict(&workflow, verdict)
	return verdict
}

func (s *submission) wait(ctx context.Context) Verdict {
	select {
	case <-ctx.Done():
		return Verdict{Kind: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_UNCERTAIN, Reason: reasonStoreStalled}
	case <-s.done:
	}
	switch {
	case s.err == nil:
		return Verdict{Kind: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_ACCEPTED}
	case errors.Is(s.err, cairnbay.ErrUnavailable):
		return Verdict{
			Kind:   cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_REFUSED,
			Reason: reasonStoreStalled, RetryAfter: stallRetry,
		}
	case errors.Is(s.err, cairnbay.ErrFenced):
		return Verdict{Kind: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_NOT_OWNER}
	default:
		return Verdict{Kind: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_UNCERTAIN, Reason: reasonOwnerStopped}
	}
}

// trySubmit decides at once, or returns the acceptance under way.
func (d *Drive) trySubmit(workflow cairnbay.Workflow) (Verdict, *submission) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if under := d.pending[workflow.ID]; under != nil {
		return Verdict{}, under
	}
	refused := Verdict{Kind: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_REFUSED}
	switch {
	case d.core.HasJob(workflow.ID):
		return Verdict{Kind: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_ACCEPTED}, nil
	case d.fenced || d.ctx.Err() != nil:
		return Verdict{Kind: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_NOT_OWNER}, nil
	case !d.loaded:
		refused.Reason, refused.RetryAfter = reasonNotLoaded, loadRetryAfter
		return refused, nil
	case d.writer.StalledFor() > storeStall:
		refused.Reason, refused.RetryAfter = reasonStoreStalled, stallRetry
		return refused, nil
	}
	now := d.now()
	admission := d.core.Admit(now, workflow)
	if !admission.Accept {
		refused.Reason, refused.RetryAfter = admission.Reason, admission.RetryAfter
		return refused, nil
	}
	if workflow.AcceptedUnixMS == 0 {
		workflow.AcceptedUnixMS = now.UnixMS
	}
	under := &submission{done: make(chan struct{})}
	d.pending[workflow.ID] = under
	d.writer.TryAppend([]*cairnbayv1.WorkRecord{{Accepted: EncodeWorkflow(&workflow)}}, func(err error) {
		d.mu.Lock()
		delete(d.pending, workflow.ID)
		if err == nil {
			d.core.Accept(d.now(), workflow, false)
		}
		d.mu.Unlock()
		under.err = err
		close(under.done)
		d.nudge()
	})
	return Verdict{}, under
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
	default:
		return "invalid"
	}
}

// storingPatience bounds how long a question about a job waits while its end is
// being stored: a gathered write and the store's answer, with a margin.
const storingPatience = 150 * time.Millisecond

// Inspect returns a job's state; owner is false while the answer is not known
// here. Callers often ask right after a job's last task, and would be told of
// its end only when they ask again, so the answer waits for a write of the end
// that is under way.
func (d *Drive) Inspect(ctx context.Context, id string) (state cairnbay.WorkflowState, owner bool) {
	patience := time.NewTimer(storingPatience)
	defer patience.Stop()
	for {
		d.mu.Lock()
		storing, noted := d.core.Persisting(id), d.noted
		d.mu.Unlock()
		if !storing {
			break
		}
		select {
		case <-noted:
			continue
		case <-patience.C:
		case <-ctx.Done():
		}
		break
	}
	return d.inspect(id)
}

func (d *Drive) inspect(id string) (state cairnbay.WorkflowState, owner bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded || d.fenced {
		return cairnbay.WorkflowUnknown, false
	}
	if d.pending[id] != nil {
		return cairnbay.WorkflowPending, true
	}
	return d.core.State(id), true
}

// Length counts the jobs of a queue that have started no task.
func (d *Drive) Length(queue string) (waiting int, owner bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded || d.fenced {
		return 0, false
	}
	return d.core.WaitingJobs(queue), true
}

// Cancel ends a job once that is in the store. Errors: ErrNotFound,
// ErrNotOwner, ErrUnknown when the context ends first.
func (d *Drive) Cancel(ctx context.Context, id string) error {
	if err := d.awaitPending(ctx, id); err != nil {
		return err
	}
	d.mu.Lock()
	if !d.loaded || d.fenced {
		d.mu.Unlock()
		return cairnbay.ErrNotOwner
	}
	switch d.core.State(id) {
	case cairnbay.WorkflowUnknown:
		d.mu.Unlock()
		return cairnbay.ErrNotFound
	case cairnbay.WorkflowCancelled:
		d.mu.Unlock()
		return nil
	default:
		d.cancelling++
		d.mu.Unlock()
	}
	stored := make(chan error, 1)
	d.writer.Append([]*cairnbayv1.WorkRecord{{Cancelled: id}}, func(err error) {
		d.mu.Lock()
		d.cancelling--
		if err == nil {
			d.core.Cancel(d.now(), id)
		}
		d.mu.Unlock()
		d.nudge()
		stored <- err
	})
	select {
	case <-ctx.Done():
		return cairnbay.ErrUnknown
	case err := <-stored:
		if errors.Is(err, cairnbay.ErrFenced) {
			return cairnbay.ErrNotOwner
		}
		d.config.Log.WithField("job", id).Info("job cancelled")
		return err
	}
}

func (d *Drive) awaitPending(ctx context.Context, id string) error {
	d.mu.Lock()
	under := d.pending[id]
	d.mu.Unlock()
	if under == nil {
		return nil
	}
	select {
	case <-ctx.Done():
		return cairnbay.ErrUnknown
	case <-under.done:
		return nil
	}
}

package drive

import (
	"context"
	"errors"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/sched"
)

// Cancellation asks for the end of a job.
type Cancellation struct {
	// Scope limits the cancellation to jobs of a workspace; nil for none.
	Scope *cairnbayv1.AccessScope
	ID    string
	// Portion says that another shard has the job, and that a portion of it may be under
	// way to this one.
	Portion bool
	// Withdraw says that no shard has the job, but that a submission of it may be under way.
	Withdraw bool
	// Queue is the path through which the caller asks.
	Queue cairnbay.QueuePath
}

// IsWhole reports whether no other shard has a portion of a job of this shard.
func (d *Drive) IsWhole(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.IsWhole(id)
}

// Cancel stores the cancellation of a job and then ends the job, after a
// submission of the job that is being stored. It succeeds if the job is already
// cancelled. A portion that the shard does not have yet, or a job that the caller
// withdraws, counts as cancelled from then on, so that its submission starts nothing.
// Errors: ErrNotFound, also for a job outside the scope, and once an unknown job is
// withdrawn; ErrNotOwner, also before the journal is read; ErrUnconfirmed for a job that may
// be a newer owner's; ErrUnknown when the context or the drive ends first, in which case
// the cancellation may take effect.
func (d *Drive) Cancel(ctx context.Context, cancellation Cancellation) error {
	scope, id := cancellation.Scope, cancellation.ID
	if err := d.lockSettled(ctx, scope, id); err != nil {
		return err
	}
	records := []*cairnbayv1.WorkRecord{{Cancelled: id}}
	ended := sched.EndedJob{
		ID: id, State: cairnbay.WorkflowCancelled, Workspace: scope.GetWorkspace(), Queue: cancellation.Queue,
	}
	var withdrawal *pendingSubmission
	state := d.core.State(id)
	switch {
	case !d.loaded || d.fenced:
		d.mu.Unlock()
		return cairnbay.ErrNotOwner
	case !d.permitsJob(scope, id), state == cairnbay.WorkflowUnknown && !cancellation.Portion && !cancellation.Withdraw:
		d.logUnknown("cancel", id)
		d.mu.Unlock()
		if err := d.confirm(ctx); err != nil {
			return err
		}
		return cairnbay.ErrNotFound
	case state == cairnbay.WorkflowCancelled:
		d.mu.Unlock()
		return nil
	case state == cairnbay.WorkflowUnknown && d.writer.Stalled():
		d.mu.Unlock()
		return cairnbay.ErrUnconfirmed
	case state == cairnbay.WorkflowUnknown:
		// Both records, since the submission may be stored before them.
		records = append(records, &cairnbayv1.WorkRecord{Ended: encodeEnded(ended)})
		withdrawal = &pendingSubmission{
			done: make(chan struct{}), workspace: ended.Workspace, queue: ended.Queue, withdrawn: true,
		}
		d.pending[id] = withdrawal
	}
	d.pendingCancels++
	d.mu.Unlock()
	stored := make(chan error, 1)
	d.writer.Append(records, func(err error) {
		d.mu.Lock()
		d.pendingCancels--
		if err == nil && !d.core.Cancel(d.now(), id) {
			d.core.RestoreEnded(d.now(), ended)
		}
		if withdrawal != nil {
			delete(d.pending, id)
			withdrawal.err = err
			close(withdrawal.done)
		}
		d.mu.Unlock()
		d.requestPlan()
		stored <- err
	})
	select {
	case <-ctx.Done():
		return cairnbay.ErrUnknown
	case err := <-stored:
		if errors.Is(err, cairnbay.ErrFenced) {
			return cairnbay.ErrNotOwner
		}
		if err == nil && withdrawal != nil && cancellation.Withdraw {
			d.config.Log.WithField("job", id).Info("job withdrawn")
			return cairnbay.ErrNotFound
		}
		d.config.Log.WithField("job", id).Info("job cancelled")
		return err
	}
}

// lockSettled takes the lock once no submission or withdrawal of the job is being stored
// that the scope includes. It returns ErrUnknown, without the lock, when the context ends
// first.
func (d *Drive) lockSettled(ctx context.Context, scope *cairnbayv1.AccessScope, id string) error {
	for {
		d.mu.Lock()
		pending := d.pending[id]
		if pending == nil || !Permits(scope, pending.workspace) {
			return nil
		}
		d.mu.Unlock()
		select {
		case <-ctx.Done():
			return cairnbay.ErrUnknown
		case <-pending.done:
		}
	}
}

package drive

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/layout"
)

// Inquiry asks for the state of a job.
type Inquiry struct {
	// Scope limits the inquiry to jobs of a workspace; nil for none.
	Scope *cairnbayv1.AccessScope
	ID    string
	// Queue is the path through which the caller asks.
	Queue cairnbay.QueuePath
	// Submission says that the caller submits the job. An unknown one cannot be accepted
	// while the store does not answer the owner, so the answer does not wait for the store.
	Submission bool
}

// Finding is the answer to an Inquiry.
type Finding struct {
	State cairnbay.WorkflowState
	// QueueAbsent says that the job is unknown and that the shard has no other job of the
	// queue, ended ones included.
	QueueAbsent bool
}

// maxEndStoreWait bounds how long Inspect waits while the end of a job is being
// stored: the delay of a batched write and the store's answer, with a margin.
const maxEndStoreWait = 150 * time.Millisecond

// Inspect returns the state of a job, without limits of access. Errors: those of Inquire.
func (d *Drive) Inspect(ctx context.Context, id string) (cairnbay.WorkflowState, error) {
	finding, err := d.Inquire(ctx, Inquiry{ID: id})
	return finding.State, err
}

// Inquire returns the state of a job. Callers often poll right after the last
// task of a job. Inquire then waits up to maxEndStoreWait for the end to be
// stored, so that they need not poll again; a job whose end is not stored by then
// is still reported as running. A job outside the scope is unknown, and the answer takes
// no longer than for a job that does not exist. Errors: ErrNotOwner, also before the
// journal is read; ErrUnconfirmed if the answer may be out of date because of a newer
// owner. The end of a job never is.
func (d *Drive) Inquire(ctx context.Context, inquiry Inquiry) (Finding, error) {
	d.mu.Lock()
	permitted := d.permitsJob(inquiry.Scope, inquiry.ID)
	d.mu.Unlock()
	if permitted {
		d.awaitStoredEnd(ctx, inquiry.ID)
	}
	finding, err := d.find(&inquiry)
	switch {
	case err != nil:
	case finding.State == cairnbay.WorkflowUnknown && inquiry.Submission && d.writer.Stalled():
		err = cairnbay.ErrUnconfirmed
	case finding.State == cairnbay.WorkflowUnknown:
		err = d.confirm(ctx)
	case !finding.State.Ended():
		err = d.confirmRecent(ctx)
	}
	if err != nil {
		return Finding{}, err
	}
	return finding, nil
}

// awaitStoredEnd waits for the records of a job that has ended to be stored.
func (d *Drive) awaitStoredEnd(ctx context.Context, id string) {
	timer := time.NewTimer(maxEndStoreWait)
	defer timer.Stop()
	for {
		d.mu.Lock()
		persisting, recordsStored := d.core.Persisting(id), d.recordsStored
		d.mu.Unlock()
		if !persisting {
			return
		}
		select {
		case <-recordsStored:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// find answers from the state of this owner.
func (d *Drive) find(inquiry *Inquiry) (Finding, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.loaded || d.fenced:
		return Finding{}, cairnbay.ErrNotOwner
	case d.permitsJob(inquiry.Scope, inquiry.ID) && d.pending[inquiry.ID] != nil && !d.pending[inquiry.ID].withdrawn:
		return Finding{State: cairnbay.WorkflowPending}, nil
	case d.permitsJob(inquiry.Scope, inquiry.ID) && d.core.HasJob(inquiry.ID):
		return Finding{State: d.core.State(inquiry.ID)}, nil
	}
	d.logUnknown("inspect", inquiry.ID)
	return Finding{QueueAbsent: d.lacksQueue(inquiry.Queue)}, nil
}

// logUnknown logs a call for a job that the journal does not have, with what is known of
// the ownership at that time. The caller holds the lock.
func (d *Drive) logUnknown(call, id string) {
	now := d.config.BootTime()
	d.config.Log.WithFields(logrus.Fields{
		"job": id, "call": call, "generation": d.config.Claim.Generation, "confirmed_by_workers": d.ownershipConfirmed(now),
		"owned_ms": (now - d.config.Claim.ClaimedAt).Milliseconds(),
	}).Info("job not known")
}

// lacksQueue reports whether no job, stored or being stored, is of a queue, and none will
// be accepted with an older configuration. The caller holds the lock.
func (d *Drive) lacksQueue(queue cairnbay.QueuePath) bool {
	if !d.leadsElsewhere(queue) {
		return false
	}
	for _, pending := range d.pending {
		if pending.queue == queue {
			return false
		}
	}
	return !d.core.MayHaveJobsOf(queue)
}

// leadsElsewhere reports whether the configuration in force leads a queue to another class.
func (d *Drive) leadsElsewhere(queue cairnbay.QueuePath) bool {
	if d.config.Routing == nil {
		return true
	}
	routing := d.config.Routing()
	if routing == nil {
		return false
	}
	class, ok := routing.ClassOf(queue)
	return ok && !layout.IsShardOf(d.config.Claim.Shard, class)
}

// LengthInquiry asks for the length of a queue.
type LengthInquiry struct {
	Path cairnbay.QueuePath
	// Name counts for jobs whose path is not known.
	Name string
	// Absence asks whether the shard has no job of the queue at all.
	Absence bool
}

// QueueLength is the answer to a LengthInquiry.
type QueueLength struct {
	// Waiting is the number of accepted jobs that have started no task.
	Waiting int
	// QueueAbsent says that the shard has no job of the queue, ended ones included; false
	// if the inquiry did not ask.
	QueueAbsent bool
}

// Length returns the length of a queue, which may be up to confirmWindow old. Errors: as
// of Inquire.
func (d *Drive) Length(ctx context.Context, inquiry LengthInquiry) (QueueLength, error) {
	d.mu.Lock()
	if !d.loaded || d.fenced {
		d.mu.Unlock()
		return QueueLength{}, cairnbay.ErrNotOwner
	}
	length := QueueLength{
		Waiting:     d.core.WaitingJobs(inquiry.Path, inquiry.Name),
		QueueAbsent: inquiry.Absence && d.lacksQueue(inquiry.Path),
	}
	d.mu.Unlock()
	// Both waits together, as callers on other instances wait no longer.
	ctx, cancel := context.WithTimeout(ctx, FenceTimeout)
	defer cancel()
	if length.QueueAbsent {
		switch err := d.confirm(ctx); {
		case err == nil:
			return length, nil
		case errors.Is(err, cairnbay.ErrNotOwner):
			return QueueLength{}, err
		}
		// Without the store the count may still be recent enough.
		length.QueueAbsent = false
	}
	if err := d.confirmRecent(ctx); err != nil {
		return QueueLength{}, err
	}
	return length, nil
}

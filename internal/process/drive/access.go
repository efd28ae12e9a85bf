package drive

import (
	"context"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// Permits reports whether a scope includes the jobs of a workspace. Jobs without a
// workspace are in every scope; without a scope (nil) all jobs are.
func Permits(scope *cairnbayv1.AccessScope, workspace string) bool {
	return scope == nil || workspace == "" || workspace == scope.GetWorkspace()
}

// permitsJob reports whether a scope includes a job, accepted or being stored. It is
// true for a job that the drive does not have. The caller holds the lock.
func (d *Drive) permitsJob(scope *cairnbayv1.AccessScope, id string) bool {
	if pending := d.pending[id]; pending != nil {
		return Permits(scope, pending.workspace)
	}
	workspace, known := d.core.JobWorkspace(id)
	return !known || Permits(scope, workspace)
}

// InspectScoped is Inspect for a caller that may see only the jobs of its scope. Any
// other job is unknown, and the answer takes no longer than for a job that does not
// exist.
func (d *Drive) InspectScoped(
	ctx context.Context, scope *cairnbayv1.AccessScope, id string,
) (state cairnbay.WorkflowState, owner bool) {
	d.mu.Lock()
	permitted := d.permitsJob(scope, id)
	isOwner := d.loaded && !d.fenced
	d.mu.Unlock()
	if !permitted {
		return cairnbay.WorkflowUnknown, isOwner
	}
	state, owner = d.Inspect(ctx, id)
	// Another workspace may have submitted the job since the first comparison.
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.permitsJob(scope, id) {
		return cairnbay.WorkflowUnknown, owner
	}
	return state, owner
}

package drive

import (
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

package drive

import "cairnbay/internal/process/sched"

// setWorkspaces passes the terms of the workspaces to the core.
func (d *Drive) setWorkspaces() {
	if d.config.Workspaces != nil {
		d.core.SetWorkspaces(d.config.Workspaces())
	}
}

// Edit calls a function while the core makes no decision, and has a plan made afterwards.
// The function must not block, nor call the drive. The core is nil before the journal is
// read: until then it does not know what may run.
func (d *Drive) Edit(edit func(now sched.Moment, core *sched.Core)) {
	d.mu.Lock()
	if d.loaded {
		edit(d.now(), d.core)
	} else {
		edit(d.now(), nil)
	}
	d.mu.Unlock()
	d.requestPlan()
}

// reportQuotaHeld tells of a plan that left work out because of its workspace's part.
func (d *Drive) reportQuotaHeld(held bool) {
	if held && d.config.OnQuotaHeld != nil {
		d.config.OnQuotaHeld()
	}
}

package drive

import (
	"slices"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// LoseWorker counts the attempts of a worker as lost, as at the end of its lease.
func (d *Drive) LoseWorker(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handleWorkerLoss(id, "lease_ended", sched.LossSilent)
}

// StartAfterLoss plans a job and loses the worker of its first start before any start
// leaves, as in a pause of the whole process. It returns that worker.
func (d *Drive) StartAfterLoss(job cairnbay.Workflow) string {
	d.mu.Lock()
	d.core.Accept(d.now(), job, false)
	actions := d.core.Plan(d.now())
	d.countStarts(actions)
	d.mu.Unlock()
	first := slices.IndexFunc(actions, func(action sched.Action) bool { return action.Start != nil })
	if first < 0 {
		return ""
	}
	worker := actions[first].Start.Target.Worker
	d.LoseWorker(worker)
	d.execute(actions)
	return worker
}

// TicketsByID is ticketsByID.
var TicketsByID = ticketsByID

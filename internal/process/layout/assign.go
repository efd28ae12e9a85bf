package layout

import (
	"slices"

	"cairnbay"
)

// Assignment is what one shard runs of a job.
type Assignment struct {
	Shard    string
	Workflow cairnbay.Workflow
}

// minPortion is the least number of tasks for which a job is spread to one more shard.
const minPortion = 8

// Assign returns what each shard runs of a workflow, that of ShardOfJob first. A job
// has one assignment, except one whose tasks last: wide ones are spread over all
// shards. Such tasks hold their workers until the job is cancelled, so that a step
// with more tasks than one shard has workers for it would never run whole. They need
// nothing of each other, and the job ends by its cancellation only.
func (l Layout) Assign(workflow cairnbay.Workflow) []Assignment {
	home := l.ShardOfJob(workflow.ID)
	if !l.spreads(&workflow) {
		return []Assignment{{home, workflow}}
	}
	names := l.Names()
	start := slices.Index(names, home)
	step := workflow.Steps[0]
	assignments := make([]Assignment, 0, len(names))
	first := step.FirstIndex
	for i := range names {
		portion := step
		portion.FirstIndex, portion.Tasks = first, share(step.Tasks, len(names), i)
		portion.DisruptionBudget = share(step.DisruptionBudget, len(names), i)
		first += portion.Tasks
		assigned := workflow
		assigned.Steps = []cairnbay.WorkflowStep{portion}
		assignments = append(assignments, Assignment{names[(start+i)%len(names)], assigned})
	}
	return assignments
}

// spreads reports whether a workflow is spread over all shards. A disruption budget
// must leave each portion at least one task, since a budget of 0 means none.
func (l Layout) spreads(workflow *cairnbay.Workflow) bool {
	if l.Shards == 1 || len(workflow.Steps) != 1 || workflow.Occurrences > 0 {
		return false
	}
	step := &workflow.Steps[0]
	return step.LongRunning && !step.Gang && step.Rack == "" && step.Tasks >= l.Shards*minPortion &&
		(step.DisruptionBudget == 0 || step.DisruptionBudget >= l.Shards)
}

// share is the part of a total that the i-th of count portions gets.
func share(total, count, i int) int {
	if i < total%count {
		return total/count + 1
	}
	return total / count
}

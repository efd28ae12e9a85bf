package place

import "cairnbay"

// orderedStates are the states that a tally counts, in the order in which a task
// passes through them.
var orderedStates = [...]cairnbay.TaskState{
	cairnbay.TaskWaiting, cairnbay.TaskStarting, cairnbay.TaskRunning,
	cairnbay.TaskDone, cairnbay.TaskFailed, cairnbay.TaskCancelled, cairnbay.TaskUnknown,
}

// tally counts a job's tasks by state, in the order of orderedStates.
type tally [len(orderedStates)]int

func (t *tally) add(state cairnbay.TaskState, change int) {
	for i, counted := range orderedStates {
		if counted == state {
			t[i] += change
			return
		}
	}
}

func (t *tally) of(state cairnbay.TaskState) int {
	for i, counted := range orderedStates {
		if counted == state {
			return t[i]
		}
	}
	return 0
}

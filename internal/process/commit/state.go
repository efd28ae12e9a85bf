package commit

import (
	"maps"
	"slices"
	"sort"

	"cairnbay"
)

// JobState is the journalled state of a job.
type JobState struct {
	Job cairnbay.Job `json:"job"`
	// Order is the position of the job in the shard's order of acceptance.
	Order uint64 `json:"order"`
	// Mark is the job's high-water mark; see Mark.
	Mark      int  `json:"mark,omitempty"`
	Cancelled bool `json:"cancelled,omitempty"`
	// Final holds the indices of the tasks that have ended, by final state.
	Final map[cairnbay.TaskState]Spans `json:"final,omitempty"`
}

// FinalState returns the final state of a task, false if it has not ended.
func (j *JobState) FinalState(index int) (cairnbay.TaskState, bool) {
	for state, spans := range j.Final {
		if spans.Contains(index) {
			return state, true
		}
	}
	return "", false
}

// FinalCount returns the number of tasks that have ended.
func (j *JobState) FinalCount() int {
	count := 0
	for _, spans := range j.Final {
		count += spans.Count()
	}
	return count
}

func (j *JobState) clone() *JobState {
	copied := *j
	copied.Final = make(map[cairnbay.TaskState]Spans, len(j.Final))
	for state, spans := range j.Final {
		copied.Final[state] = slices.Clone(spans)
	}
	return &copied
}

// State is the journal's content up to a sequence number.
type State struct {
	// Generation increases with each takeover.
	Generation uint64
	// Sequence is the number of the last applied write.
	Sequence uint64
	Jobs     map[cairnbay.JobID]*JobState
	Workers  []WorkerRef
	// lastOrder is the order of the job accepted last.
	lastOrder uint64
}

// NewState returns the state of an empty journal.
func NewState() *State {
	return &State{Jobs: map[cairnbay.JobID]*JobState{}}
}

// Clone returns a copy that shares no mutable data with the original.
func (s *State) Clone() *State {
	copied := *s
	copied.Jobs = make(map[cairnbay.JobID]*JobState, len(s.Jobs))
	for id, job := range s.Jobs {
		copied.Jobs[id] = job.clone()
	}
	copied.Workers = slices.Clone(s.Workers)
	return &copied
}

// JobsByOrder lists the jobs in order of acceptance.
func (s *State) JobsByOrder() []*JobState {
	jobs := slices.Collect(maps.Values(s.Jobs))
	sort.Slice(jobs, func(i, k int) bool { return jobs[i].Order < jobs[k].Order })
	return jobs
}

// Apply applies a record. Accepting a known job, lowering a mark, a second final
// state of a task and records of unknown jobs have no effect.
func (s *State) Apply(record Record) {
	switch {
	case record.Accept != nil:
		s.accept(*record.Accept)
	case record.Mark != nil:
		if job := s.Jobs[record.Mark.Job]; job != nil {
			job.Mark = max(job.Mark, record.Mark.UpTo)
		}
	case record.End != nil:
		s.end(*record.End)
	case record.Workers != nil:
		s.Workers = slices.Clone(record.Workers)
	}
	for _, id := range record.Cancel {
		if job := s.Jobs[id]; job != nil {
			job.Cancelled = true
		}
	}
	for _, id := range record.Forget {
		delete(s.Jobs, id)
	}
}

func (s *State) accept(job cairnbay.Job) {
	if _, known := s.Jobs[job.ID]; known {
		return
	}
	s.lastOrder++
	s.Jobs[job.ID] = &JobState{Job: job, Order: s.lastOrder, Final: map[cairnbay.TaskState]Spans{}}
}

// end sets the final state of a task. Later final states are ignored.
func (s *State) end(end End) {
	job := s.Jobs[end.Task.Job]
	if job == nil {
		return
	}
	if _, final := job.FinalState(end.Task.Index); final {
		return
	}
	job.Final[end.State] = job.Final[end.State].Add(end.Task.Index)
}

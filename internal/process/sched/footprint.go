package sched

import (
	"math"
	"slices"

	"cairnbay"
)

// The memory that an owner needs at most for parts of a job, in bytes: while it runs, and
// while the journal is read or rewritten.
const (
	jobFootprint  = 2 << 10
	stepFootprint = 1 << 10
	taskFootprint = 512
)

// MaxJobFootprint is the largest Footprint of a job that an owner accepts, in bytes. It does
// not depend on the instance, so that any next owner can hold the job.
const MaxJobFootprint = 16 << 20

// MaxSteps is more than the number of steps of any job that an owner accepts.
const MaxSteps = MaxJobFootprint / (stepFootprint + taskFootprint)

// Footprint estimates the memory that an owner needs for all occurrences of a workflow, in
// bytes; math.MaxInt64 for more than that.
func Footprint(workflow *cairnbay.Workflow) int64 {
	occurrence := occurrenceFootprint(workflow)
	fixed := jobFootprint + int64(len(workflow.Payload))
	occurrences := int64(max(workflow.Occurrences, 1))
	if occurrence > (math.MaxInt64-fixed)/occurrences {
		return math.MaxInt64
	}
	return fixed + occurrences*occurrence
}

// occurrenceFootprint is the part of one occurrence in Footprint.
func occurrenceFootprint(workflow *cairnbay.Workflow) (total int64) {
	for i := range workflow.Steps {
		step := &workflow.Steps[i]
		// Journals of former versions may hold counts that did not fit into their form.
		if step.Tasks <= 0 || step.Tasks > math.MaxInt32 {
			return math.MaxInt64
		}
		total += stepFootprint + int64(len(step.After)+len(step.Label)+len(step.Rack)+len(step.Image)) + taskFootprint*int64(step.Tasks)
	}
	return total
}

// toMB converts bytes, rounded up.
func toMB(bytes int64) int64 {
	return (bytes-1)>>20 + 1
}

// MemoryLimits bound the memory for the jobs of a Core, in bytes by Footprint; 0 for no limit.
type MemoryLimits struct {
	// Admit is the limit up to which jobs are admitted.
	Admit int64
	// Hold is the limit up to which the tasks of accepted jobs are created. Those of a job
	// beyond it are created once other jobs have ended.
	Hold int64
}

// memory accounts for the jobs that a Core holds, in bytes by Footprint.
type memory struct {
	limits MemoryLimits
	// used is what the created occurrences need, pending what the submissions need that
	// are being stored.
	used, pending int64
}

// hasRoomFor reports whether more can be held.
func (m *memory) hasRoomFor(footprint int64) bool {
	return footprint < math.MaxInt64 && (m.limits.Hold <= 0 || m.used <= m.limits.Hold-footprint)
}

// admits reports whether a submission can be accepted.
func (m *memory) admits(footprint int64) bool {
	return m.limits.Admit <= 0 || m.used+m.pending <= m.limits.Admit-footprint
}

// recordUnappliedDone returns the record of a task that is done, of an occurrence that there
// is no room for; nil if the job does not have the task or the record exists.
func (j *job) recordUnappliedDone(end cairnbay.AgentEnd) []Record {
	if !j.has(end.Task.Occurrence, end.Task.Step) {
		return nil
	}
	record := Record{Kind: RecordDone, Task: end.Task, Attempt: end.Attempt}
	if j.workflow.Steps[end.Task.Step].Gang {
		record.Task.Index = wholeGang
	}
	// The worker repeats the end until it is acknowledged.
	if slices.Contains(j.unapplied, record) {
		return nil
	}
	j.started = true
	j.unapplied = append(j.unapplied, record)
	j.unwritten++
	return []Record{record}
}

// HeldBack returns the IDs of the jobs with a due occurrence that there is no room for.
func (c *Core) HeldBack(now Moment) (ids []string) {
	for id, job := range c.jobs {
		if !job.ended && job.nextDue(now) && !job.memory.hasRoomFor(occurrenceFootprint(&job.workflow)) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// SetPending sets the sum of the footprints of the submissions that are being stored.
func (c *Core) SetPending(footprint int64) {
	c.memory.pending = footprint
}

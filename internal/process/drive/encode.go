package drive

import (
	"fmt"
	"time"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/sched"
)

// EncodeWorkflow returns the protobuf message of a workflow. Durations are cut to
// microseconds.
func EncodeWorkflow(workflow *cairnbay.Workflow) *cairnbayv1.Workflow {
	message := &cairnbayv1.Workflow{
		Id: workflow.ID, Class: workflow.Class, Payload: workflow.Payload,
		Occurrences: int32(workflow.Occurrences), FirstDueUnixMs: workflow.FirstDueUnixMS,
		IntervalMs: workflow.IntervalMS, AcceptedUnixMs: workflow.AcceptedUnixMS,
		Workspace: workflow.Workspace,
		Queue: &cairnbayv1.QueueTerms{
			Name: workflow.Queue.Name, Priority: int32(workflow.Queue.Priority),
			MaxAttempts: int32(workflow.Queue.MaxAttempts), Stretch: workflow.Queue.Stretch,
			TargetLatencyUs: workflow.Queue.TargetLatency.Microseconds(),
			Path:            &cairnbayv1.QueuePath{Host: workflow.Queue.Host, Prefix: workflow.Queue.Prefix},
		},
	}
	if advice := workflow.Queue.Advice; advice != nil {
		message.Queue.AdviceDecideUs = advice.Decide.Microseconds()
		message.Queue.AdvicePerWorkerUs = advice.PerWorker.Microseconds()
		message.Queue.AdviceValidUs = advice.Valid.Microseconds()
	}
	for i := range workflow.Steps {
		step := &workflow.Steps[i]
		encoded := &cairnbayv1.Step{
			Tasks: int32(step.Tasks), MilliCpu: step.Size.MilliCPU, MemoryMb: step.Size.MemoryMB,
			Accelerators: step.Size.Accelerators, RunTimeUs: step.RunTime.Microseconds(),
			Gang: step.Gang, SameRack: step.SameRack, Label: step.Label, Rack: step.Rack,
			MaxPerWorker: int32(step.MaxPerWorker), Speculative: step.Speculative,
			LongRunning: step.LongRunning, Checkpoints: step.Checkpoints, BestEffort: step.BestEffort,
			Image: step.Image, TailTargetUs: step.TailTarget.Microseconds(),
			DisruptionBudget: int32(step.DisruptionBudget), FirstIndex: int32(step.FirstIndex),
		}
		for _, earlier := range step.After {
			encoded.After = append(encoded.After, int32(earlier))
		}
		message.Steps = append(message.Steps, encoded)
	}
	return message
}

// DecodeWorkflow returns the workflow of a protobuf message. Its queue has advice
// terms if advice_valid_us is above 0.
func DecodeWorkflow(message *cairnbayv1.Workflow) cairnbay.Workflow {
	terms := message.GetQueue()
	workflow := cairnbay.Workflow{
		ID: message.GetId(), Class: message.GetClass(), Payload: message.GetPayload(),
		Occurrences: int(message.GetOccurrences()), FirstDueUnixMS: message.GetFirstDueUnixMs(),
		IntervalMS: message.GetIntervalMs(), AcceptedUnixMS: message.GetAcceptedUnixMs(),
		Workspace: message.GetWorkspace(),
		Queue: cairnbay.Queue{
			Name: terms.GetName(), Class: message.GetClass(), Priority: int(terms.GetPriority()),
			MaxAttempts: int(terms.GetMaxAttempts()), Stretch: terms.GetStretch(),
			TargetLatency: microseconds(terms.GetTargetLatencyUs()),
			Host:          terms.GetPath().GetHost(), Prefix: terms.GetPath().GetPrefix(),
		},
	}
	if terms.GetAdviceValidUs() > 0 {
		workflow.Queue.Advice = &cairnbay.AdviceTerms{
			Decide: microseconds(terms.GetAdviceDecideUs()), PerWorker: microseconds(terms.GetAdvicePerWorkerUs()),
			Valid: microseconds(terms.GetAdviceValidUs()),
		}
	}
	for _, step := range message.GetSteps() {
		decoded := cairnbay.WorkflowStep{
			Tasks: int(step.GetTasks()),
			Size: cairnbay.Resources{
				MilliCPU: step.GetMilliCpu(), MemoryMB: step.GetMemoryMb(), Accelerators: step.GetAccelerators(),
			},
			RunTime: microseconds(step.GetRunTimeUs()), Gang: step.GetGang(), SameRack: step.GetSameRack(),
			Label: step.GetLabel(), Rack: step.GetRack(), MaxPerWorker: int(step.GetMaxPerWorker()),
			Speculative: step.GetSpeculative(), LongRunning: step.GetLongRunning(),
			Checkpoints: step.GetCheckpoints(), BestEffort: step.GetBestEffort(), Image: step.GetImage(),
			TailTarget: microseconds(step.GetTailTargetUs()), DisruptionBudget: int(step.GetDisruptionBudget()), FirstIndex: int(step.GetFirstIndex()),
		}
		for _, earlier := range step.GetAfter() {
			decoded.After = append(decoded.After, int(earlier))
		}
		workflow.Steps = append(workflow.Steps, decoded)
	}
	return workflow
}

func microseconds(value int64) time.Duration {
	return time.Duration(value) * time.Microsecond
}

func encodeTask(task cairnbay.WorkflowTask, attempt int) *cairnbayv1.TaskRef {
	return &cairnbayv1.TaskRef{
		Attempt: int32(attempt), Job: task.Job, Occurrence: int32(task.Occurrence), Step: int32(task.Step), Index: int32(task.Index),
	}
}

func decodeTask(ref *cairnbayv1.TaskRef) cairnbay.WorkflowTask {
	return cairnbay.WorkflowTask{
		Job: ref.GetJob(), Occurrence: int(ref.GetOccurrence()), Step: int(ref.GetStep()), Index: int(ref.GetIndex()),
	}
}

func decodeRecord(kind sched.RecordKind, ref *cairnbayv1.TaskRef) sched.Record {
	return sched.Record{Kind: kind, Attempt: int(ref.GetAttempt()), Task: decodeTask(ref)}
}

func decodeCrash(crashed *cairnbayv1.CrashedAttempt) sched.Record {
	record := decodeRecord(sched.RecordCrashed, crashed.GetTask())
	record.Worker, record.Suspect = crashed.GetWorker(), crashed.GetSuspect()
	record.Started, record.Prompt = crashed.GetStarted(), crashed.GetPrompt()
	return record
}

func encodeRecords(records []sched.Record) []*cairnbayv1.WorkRecord {
	encoded := make([]*cairnbayv1.WorkRecord, 0, len(records))
	for _, record := range records {
		switch record.Kind {
		case sched.RecordDone:
			encoded = append(encoded, &cairnbayv1.WorkRecord{Done: encodeTask(record.Task, record.Attempt)})
		case sched.RecordFailed:
			encoded = append(encoded, &cairnbayv1.WorkRecord{Failed: encodeTask(record.Task, record.Attempt)})
		case sched.RecordCrashed:
			encoded = append(encoded, &cairnbayv1.WorkRecord{Crashed: &cairnbayv1.CrashedAttempt{
				Task: encodeTask(record.Task, record.Attempt), Worker: record.Worker, Suspect: record.Suspect, Started: record.Started, Prompt: record.Prompt,
			}})
		case sched.RecordGivenUp:
			encoded = append(encoded, &cairnbayv1.WorkRecord{GivenUp: encodeTask(record.Task, record.Attempt)})
		}
	}
	return encoded
}

func encodeWorker(entry cairnbay.WorkerEntry) *cairnbayv1.WorkerRef {
	return &cairnbayv1.WorkerRef{
		Id: entry.ID, Address: entry.Address, Rack: entry.Rack, Labels: entry.Labels,
		MilliCpu: entry.Capacity.MilliCPU, MemoryMb: entry.Capacity.MemoryMB, Accelerators: entry.Capacity.Accelerators,
		Draining: entry.Draining,
	}
}

func decodeWorker(ref *cairnbayv1.WorkerRef) cairnbay.WorkerEntry {
	return cairnbay.WorkerEntry{
		ID: ref.GetId(), Address: ref.GetAddress(), Rack: ref.GetRack(), Labels: ref.GetLabels(), Draining: ref.GetDraining(),
		Capacity: cairnbay.Resources{
			MilliCPU: ref.GetMilliCpu(), MemoryMB: ref.GetMemoryMb(), Accelerators: ref.GetAccelerators(),
		},
	}
}

// taskIndexes formats a task for logs as "occurrence.step.index".
func taskIndexes(task cairnbay.WorkflowTask) string {
	return fmt.Sprintf("%d.%d.%d", task.Occurrence, task.Step, task.Index)
}

func encodeEnded(ended sched.EndedJob) *cairnbayv1.EndedWorkflow {
	encoded := &cairnbayv1.EndedWorkflow{Id: ended.ID, State: uint32(ended.State), Workspace: ended.Workspace}
	if ended.Queue != (cairnbay.QueuePath{}) {
		encoded.Queue = &cairnbayv1.QueuePath{Host: ended.Queue.Host, Prefix: ended.Queue.Prefix}
	}
	return encoded
}

func decodeEnded(ended *cairnbayv1.EndedWorkflow) sched.EndedJob {
	return sched.EndedJob{
		ID: ended.GetId(), State: cairnbay.WorkflowState(ended.GetState()), Workspace: ended.GetWorkspace(),
		Queue: cairnbay.QueuePath{Host: ended.GetQueue().GetHost(), Prefix: ended.GetQueue().GetPrefix()},
	}
}

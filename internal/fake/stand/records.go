package stand

import (
	"time"

	"cairnbay/internal/fake/judge"
	"cairnbay/internal/fake/runner"
	"cairnbay/internal/fake/worker"
)

// Records returns what workers and runners saw, for the judge. Times are
// milliseconds of the stand's clock.
func (s *Stand) Records() judge.Input {
	s.leftMu.Lock()
	defer s.leftMu.Unlock()
	input := judge.Input{EndMS: s.config.Clock.Now().Milliseconds()}
	for _, id := range s.order {
		if started, ok := s.workers[id]; ok {
			input.Workers = append(input.Workers, workerRecord(started.Records()))
			continue
		}
		input.Runners = append(input.Runners, runnerRecord(id, s.left[id], s.runners[id].Records()))
	}
	return input
}

func workerRecord(records worker.Records) judge.Worker {
	record := judge.Worker{ID: records.Worker, Capacity: records.Capacity}
	for _, run := range records.Runs {
		record.Runs = append(record.Runs, judge.Run{
			Span:       span(run.Started, run.Ended, run.Reason != ""),
			Task:       run.Task,
			Attempt:    run.Attempt,
			Size:       run.Size,
			AtMostOnce: run.AtMostOnce,
		})
	}
	return record
}

func runnerRecord(id string, left time.Duration, served []runner.Record) judge.Runner {
	record := judge.Runner{ID: id, LeavingMS: left.Milliseconds()}
	for _, request := range served {
		record.Requests = append(record.Requests, judge.Served{
			Span:       span(request.Start, request.End, request.End != 0),
			RequestID:  request.RequestID,
			Key:        request.Key,
			Idempotent: request.Idempotent,
			Refused:    request.Refused,
			Whole:      request.Whole,
			Answer:     request.RequestID,
		})
	}
	return record
}

// span is in milliseconds; a run that has ended lasts at least one, since an
// end of 0 means that it goes on.
func span(from, until time.Duration, ended bool) judge.Span {
	made := judge.Span{FromMS: from.Milliseconds()}
	if ended {
		made.UntilMS = max(until.Milliseconds(), 1)
	}
	return made
}

func milliseconds(count int) time.Duration {
	return time.Duration(count) * time.Millisecond
}

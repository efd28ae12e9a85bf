package owner

import (
	"context"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"cairnbay"
	"cairnbay/internal/process/shard"
)

// maxTracedJobs bounds the number of jobs whose submission span is stored.
const maxTracedJobs = 1024

// acceptance is the span of a job's submission and the time at which its journal write
// was queued.
type acceptance struct {
	span trace.SpanContext
	at   time.Time
}

// spans links the start spans of a job's tasks to the span of its submission,
// which has ended by then. Jobs whose submission was not sampled are not stored.
type spans struct {
	tracer trace.Tracer
	jobs   *lru.Cache[cairnbay.JobID, acceptance]
}

func newSpans() *spans {
	jobs, _ := lru.New[cairnbay.JobID, acceptance](maxTracedJobs) // fails only for a size below one
	return &spans{tracer: otel.Tracer("cairnbay/internal/process/owner"), jobs: jobs}
}

// startJournalWrite starts the span of the journal write that accepts a job.
func (s *spans) startJournalWrite(ctx context.Context, id cairnbay.ShardID, job cairnbay.JobID) (context.Context, trace.Span) {
	return s.tracer.Start(ctx, "journal", trace.WithAttributes(
		attribute.String("cairnbay.shard", string(id)), attribute.String("cairnbay.job", string(job)),
	))
}

// recordAcceptance stores the span of a job's submission.
func (s *spans) recordAcceptance(ctx context.Context, job cairnbay.JobID, at time.Time) {
	span := trace.SpanContextFromContext(ctx)
	if span.IsSampled() {
		s.jobs.Add(job, acceptance{span: span, at: at})
	}
}

// startTasks starts the span of a call that starts tasks. Its parent span covers
// the time from the job's acceptance to now.
func (s *spans) startTasks(ctx context.Context, action shard.Action, now time.Time) (context.Context, trace.Span) {
	accepted, ok := s.acceptanceOf(action)
	if !ok {
		return ctx, trace.SpanFromContext(ctx)
	}
	job := attribute.String("cairnbay.job", string(action.Start.Tasks[0].Task.Job))
	ctx = trace.ContextWithRemoteSpanContext(ctx, accepted.span)
	ctx, placement := s.tracer.Start(ctx, "place", trace.WithTimestamp(accepted.at), trace.WithAttributes(job))
	placement.End(trace.WithTimestamp(now))
	return s.tracer.Start(ctx, "start", trace.WithAttributes(job,
		attribute.String("cairnbay.worker", action.Address), attribute.Int("cairnbay.tasks", len(action.Start.Tasks)),
	))
}

func (s *spans) acceptanceOf(action shard.Action) (acceptance, bool) {
	if len(action.Start.Tasks) == 0 {
		return acceptance{}, false
	}
	return s.jobs.Get(action.Start.Tasks[0].Task.Job)
}

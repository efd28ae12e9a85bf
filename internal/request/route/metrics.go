package route

import (
	"context"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"cairnbay"
)

var (
	waitSeconds  = metrics.GetOrCreateHistogram("cairnbay_request_wait_seconds")
	retries      = metrics.GetOrCreateCounter("cairnbay_request_retries_total")
	forwards     = metrics.GetOrCreateCounter("cairnbay_request_forwards_total")
	aborted      = metrics.GetOrCreateCounter("cairnbay_request_aborted_total")
	doneTotal    = metrics.GetOrCreateCounter(`cairnbay_request_outcomes_total{outcome="done"}`)
	notRunTotal  = metrics.GetOrCreateCounter(`cairnbay_request_outcomes_total{outcome="not_run"}`)
	unknownTotal = metrics.GetOrCreateCounter(`cairnbay_request_outcomes_total{outcome="unknown"}`)
)

func countRetry()   { retries.Inc() }
func countForward() { forwards.Inc() }

func countRefusal(reason string) {
	metrics.GetOrCreateCounter("cairnbay_request_refusals_total{reason=" + strconv.Quote(reason) + "}").Inc()
}

func quoted(name string) string {
	return strconv.Quote(name)
}

// labels returns the labels of the call for audit records.
func (c *call) labels() cairnbay.Labels {
	return cairnbay.Labels{Kind: "request", Band: c.band.String(), Team: c.team}
}

func (r *Router) countOutcome(call *call, outcome cairnbay.Outcome) {
	r.config.Recorder.CountOutcome(call.labels(), string(outcome))
	switch outcome {
	case cairnbay.OutcomeDone:
		doneTotal.Inc()
	case cairnbay.OutcomeNotRun:
		notRunTotal.Inc()
		r.config.Recorder.CountPromise(cairnbay.PromiseNotRun, 1)
	default:
		unknownTotal.Inc()
	}
}

func (r *Router) recordException(name string, promise cairnbay.Promise, fields map[string]string) {
	r.config.Recorder.RecordException(cairnbay.Exception{
		UnixMS:  r.config.Clock.Wall().UnixMilli(),
		Name:    name,
		Promise: promise,
		Fields:  fields,
	})
}

func (r *Router) recordUnknown(call *call, refusal *refusal) {
	r.recordException("request_unknown", cairnbay.PromiseAtMostOnce, map[string]string{
		"request_id": call.id, "service": call.service, "reason": refusal.reason, "detail": refusal.detail,
	})
}

// recordAborted counts an answer that was not written completely. If the caller
// disconnected, it logs nothing and records no exception.
func (r *Router) recordAborted(ctx context.Context, call *call, err error) {
	aborted.Inc()
	r.countOutcome(call, cairnbay.OutcomeUnknown)
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	r.config.Log.WithField("request_id", call.id).WithError(err).Warn("answer aborted")
	r.recordException("answer_aborted", cairnbay.PromiseWholeReply, map[string]string{
		"request_id": call.id, "service": call.service, "cause": err.Error(),
	})
}

// recordCut records an exception for each request that a stop cancelled.
func (r *Router) recordCut(requests []string) {
	for _, id := range requests {
		r.config.Log.WithField("request_id", id).Warn("request cut by a stop")
		r.config.Recorder.RecordException(cairnbay.Exception{
			UnixMS:  r.config.Clock.Wall().UnixMilli(),
			Name:    "request_cut_by_stop",
			Promise: cairnbay.PromiseGraceful,
			Broken:  true,
			Fields:  map[string]string{"request_id": id},
		})
	}
}

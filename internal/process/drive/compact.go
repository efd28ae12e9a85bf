package drive

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/sched"
)

// compactLoop checks the journal whenever the clock says so, until the drive closes.
func (d *Drive) compactLoop() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.compactDue:
			d.compact()
		}
	}
}

// compact removes expired jobs, and rewrites the journal without them once it has
// MaxSegments segments or enough of it is garbage. The snapshot does not contain
// acceptances and cancellations that are being stored, so a rewrite waits until there
// are none.
func (d *Drive) compact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded || d.fenced {
		return
	}
	for _, id := range d.core.RemoveExpired(d.now()) {
		d.config.Log.WithField("job", id).Info("expired job removed")
	}
	d.journalLearned()
	segmentsBefore := d.writer.Segments()
	if d.compacting || len(d.pending) > 0 || d.pendingCancels > 0 {
		return
	}
	garbage, limit := d.journalGarbage()
	if segmentsBefore < d.config.MaxSegments && garbage < limit {
		return
	}
	if d.late.overloaded() && segmentsBefore < 2*d.config.MaxSegments && garbage < 2*limit {
		return
	}
	d.compacting = true
	records := d.snapshot()
	d.writer.Compact(records, func(err error) {
		d.config.Log.WithError(err).WithFields(logrus.Fields{
			"records": len(records), "segments_before": segmentsBefore, "segments": d.writer.Segments(),
		}).Info("journal rewritten")
		d.mu.Lock()
		d.compacting = false
		d.mu.Unlock()
	})
	d.rewrittenBytes, d.rewrittenJobs = 0, d.core.LiveJobs()
	for _, rec := range records {
		d.rewrittenBytes += proto.Size(rec)
	}
}

// journalGarbage estimates the bytes that a rewrite would remove, and how many may
// gather before one is worth it: MaxGrowth and as many as a rewrite would write. The
// size of the live jobs follows their number since the last rewrite. The caller holds
// the lock.
func (d *Drive) journalGarbage() (garbage, limit int) {
	live := d.rewrittenBytes
	if d.rewrittenJobs > 0 {
		live = min(live, live*d.core.LiveJobs()/d.rewrittenJobs)
	}
	return d.writer.Growth() + d.rewrittenBytes - live, d.config.MaxGrowth + live
}

// snapshot returns the records that rebuild the present state; the caller holds
// the lock.
func (d *Drive) snapshot() (records []*cairnbayv1.WorkRecord) {
	if d.settled > 0 {
		records = append(records, &cairnbayv1.WorkRecord{Settled: d.settled})
	}
	records = append(records, d.learnedRecords(d.core.LearnedState())...)
	links := slices.Collect(maps.Values(d.links))
	for _, known := range d.lineages {
		links = append(links, known.former...)
	}
	for _, link := range links {
		// The record of a worker that is not journaled yet may be queued before the rewrite.
		if link.used != nil {
			records = append(records, d.workerRecord(link))
		}
	}
	for _, job := range d.core.Snapshot() {
		if job.Ended != cairnbay.WorkflowUnknown {
			records = append(records, &cairnbayv1.WorkRecord{Ended: encodeEnded(sched.EndedJob{
				ID: job.Workflow.ID, State: job.Ended, Workspace: job.Workflow.Workspace, Queue: job.Workflow.Queue.Path(),
			})})
			continue
		}
		records = append(records, &cairnbayv1.WorkRecord{Accepted: EncodeWorkflow(&job.Workflow)})
		records = append(records, encodeRecords(job.Records)...)
		if job.Cancelled {
			records = append(records, &cairnbayv1.WorkRecord{Cancelled: job.Workflow.ID})
		}
	}
	return records
}

package demo

import (
	"context"
	"time"

	"github.com/juju/errors"

	"cairnbay/internal/process/audit"
	"cairnbay/internal/tool/report"
)

// auditReport reads the records that the instances wrote to the store, and
// verifies them, as the audit command does.
func (r *run) auditReport(ctx context.Context) (report.Report, error) {
	to := r.clock.Wall().Add(time.Minute)
	from := to.Add(-time.Hour)
	sealed, err := audit.Read(ctx, r.platform.Store, from, to, audit.Filter{})
	if err != nil {
		return report.Report{}, errors.Annotate(err, "audit records")
	}
	verified := audit.Verify(sealed, audit.Check{From: from, To: to})
	return report.Make(verified, report.Options{From: from, To: to}), nil
}

package demo

import (
	"cairnbay"
	"cairnbay/internal/process/admin"
)

// named is a job with the kind of work that the report files it under.
type named struct {
	kind string
	spec admin.JobSpec
}

func cores(count, gigabytes, accelerators int64) cairnbay.Resources {
	return cairnbay.Resources{MilliCPU: count * 1000, MemoryMB: gigabytes * 1024, Accelerators: accelerators}
}

// firstJobs are submitted when the load begins: runners of a service, nightly
// re-pricing, a model build whose tasks start together, and notices that must
// not run twice.
func firstJobs() []named {
	return []named{
		{"service", admin.JobSpec{
			Branch: "vihmavesi/monitors", DataCentre: "tallinn-b", Class: "quoting", Tasks: 4, Size: cores(2, 4, 0), Command: "listen",
		}},
		{"batch", admin.JobSpec{
			Branch: "vihmavesi/catalogue", DataCentre: "tallinn-a", Class: "quoting", Tasks: 300, Size: cores(4, 8, 0), RunTime: "500ms", Command: "run 500ms",
		}},
		{"batch", admin.JobSpec{
			Branch: "vihmavesi/catalogue", DataCentre: cutDataCentre, Class: "quoting", Tasks: 400, Size: cores(4, 8, 0), RunTime: "500ms", Command: "run 500ms",
		}},
		{"gang", admin.JobSpec{
			Branch: "vihmavesi/models", Class: "survey", Tasks: 6, Size: cores(16, 32, 4), RunTime: "2s", Command: "run 2s",
		}},
		{"at_most_once", admin.JobSpec{
			Branch: "vihmavesi/notices", DataCentre: "tallinn-a", Class: "quoting", Tasks: 120, Size: cores(1, 1, 0), AtMostOnce: true, RunTime: "200ms", Command: "run 200ms",
		}},
	}
}

// urgentJob is submitted while a data centre is cut off.
func urgentJob() admin.JobSpec {
	return admin.JobSpec{
		Branch: "vihmavesi/urgent", DataCentre: "tallinn-b", Class: "quoting", Tasks: 8, Size: cores(4, 8, 0), RunTime: "300ms", Command: "run 300ms",
	}
}

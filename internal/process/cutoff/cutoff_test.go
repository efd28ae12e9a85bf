package cutoff_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/clock"
	"cairnbay/internal/process/cutoff"
)

func TestCutoff(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cutoff")
}

// outage is a period in which the store does not answer.
type outage struct{ from, until time.Duration }

var scenarios = []struct {
	name              string
	outages           []outage
	lastRemoteContact time.Duration
	wantReports       int
	seconds           int
}{
	{"the store answers", nil, -1, 0, 30},
	{"the store fails for a second", []outage{{5 * time.Second, 6 * time.Second}}, -1, 0, 30},
	{"the store and other data centres are out of reach", []outage{{5 * time.Second, 20 * time.Second}}, 4 * time.Second, 1, 30},
	{"the store alone is down and the last remote heartbeat arrives in the middle", []outage{{5 * time.Second, 40 * time.Second}}, 25 * time.Second, 0, 60},
	{"there are two cuts", []outage{{5 * time.Second, 10 * time.Second}, {20 * time.Second, 25 * time.Second}}, -1, 2, 40},
	{"the cut does not end", []outage{{5 * time.Second, time.Hour}}, -1, 0, 40},
}

var _ = Describe("Monitor", func() {
	for _, scenario := range scenarios {
		It("reports the expected cuts when "+scenario.name, func() {
			fakeClock := clock.New()
			var reported []cairnbay.Exception
			monitor := cutoff.New(cutoff.Config{
				Clock: fakeClock,
				StoreFailingFor: func() time.Duration {
					for _, outage := range scenario.outages {
						if fakeClock.Now() > outage.from && fakeClock.Now() <= outage.until {
							return fakeClock.Now() - outage.from
						}
					}
					return 0
				},
				LastRemoteContact: func() time.Duration { return min(scenario.lastRemoteContact, fakeClock.Now()) },
				Report:            func(exception cairnbay.Exception) { reported = append(reported, exception) },
			})
			defer monitor.Close()
			fakeClock.Advance(time.Duration(scenario.seconds) * time.Second)
			Expect(reported).To(HaveLen(scenario.wantReports))
		})
	}
})

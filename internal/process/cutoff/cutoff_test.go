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

// stretch is a time in which the store does not answer.
type stretch struct{ from, until time.Duration }

var scenarios = []struct {
	name    string
	silent  []stretch
	remote  time.Duration
	noted   int
	seconds int
}{
	{"the store answers", nil, -1, 0, 30},
	{"a blip of the store", []stretch{{5 * time.Second, 6 * time.Second}}, -1, 0, 30},
	{"store and other data centres out of reach", []stretch{{5 * time.Second, 20 * time.Second}}, 4 * time.Second, 1, 30},
	{"the store alone is down", []stretch{{5 * time.Second, 40 * time.Second}}, 25 * time.Second, 0, 60},
	{"two cuts", []stretch{{5 * time.Second, 10 * time.Second}, {20 * time.Second, 25 * time.Second}}, -1, 2, 40},
	{"a cut that lasts", []stretch{{5 * time.Second, time.Hour}}, -1, 0, 40},
}

var _ = Describe("Watch", func() {
	for _, scenario := range scenarios {
		It("notes what it should when "+scenario.name, func() {
			now := clock.New()
			var notes []cairnbay.Exception
			watch := cutoff.New(cutoff.Config{
				Clock: now,
				StoreFailingFor: func() time.Duration {
					for _, silent := range scenario.silent {
						if now.Now() > silent.from && now.Now() <= silent.until {
							return now.Now() - silent.from
						}
					}
					return 0
				},
				LastRemoteContact: func() time.Duration { return min(scenario.remote, now.Now()) },
				Report:            func(exception cairnbay.Exception) { notes = append(notes, exception) },
			})
			defer watch.Close()
			now.Advance(time.Duration(scenario.seconds) * time.Second)
			Expect(notes).To(HaveLen(scenario.noted))
		})
	}
})

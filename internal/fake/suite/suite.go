// Package suite runs Ginkgo suites of which some specs bound the time that the code takes.
package suite

import (
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

const (
	// Timing is the label of specs that fail on a machine too busy for the code to keep
	// their bounds of time, and of those that measure the memory of processes.
	Timing = "timing"
	// timingVariable selects specs by Timing: without it all run.
	timingVariable = "CAIRNBAY_TIMING"
	// timingApart leaves out the specs with Timing, timingOnly all others.
	timingApart, timingOnly = "apart", "only"
)

// Run runs the specs of a package. CI runs those with Timing by themselves, since the race
// detector's builds of many packages at once leave them too little processor time.
func Run(t *testing.T, name string) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	config, reporter := ginkgo.GinkgoConfiguration()
	switch os.Getenv(timingVariable) {
	case timingApart:
		config.LabelFilter = "!" + Timing
	case timingOnly:
		config.LabelFilter = Timing
	}
	ginkgo.RunSpecs(t, name, config, reporter)
}

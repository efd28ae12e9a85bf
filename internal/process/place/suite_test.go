package place_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The fixed seed makes failures repeatable; steps (calls in a sequence) and checks
// (sequences) bound the time of the tests.
func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.steps", "150")
	_ = flag.Set("rapid.checks", "60")
}

func TestPlace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "place")
}

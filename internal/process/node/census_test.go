package node

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a class that is divided for good by the few workers that have registered
// before a pause of the instance.
var _ = Describe("the number of workers of a class", func() {
	It("has stayed the same for the time between two reads, not between their answers", func() {
		var seen census
		Expect(seen.settled("a", 3, time.Second, time.Second)).To(BeFalse())
		asked := 1100 * time.Millisecond
		Expect(seen.settled("a", 3, asked, asked+5*time.Second)).To(BeFalse())
		asked = time.Second + divideSettleTime
		Expect(seen.settled("a", 3, asked, asked)).To(BeTrue())
		Expect(seen.settled("a", 4, asked, asked+time.Second)).To(BeFalse())
		Expect(seen.settled("a", 4, asked+divideSettleTime, asked+2*time.Second)).To(BeFalse())
	})
})

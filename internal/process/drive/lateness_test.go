package drive

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against an owner that refuses jobs for want of processor time before it does
// without what only improves decisions, and against one that changes with each delay.
var _ = Describe("the lateness of an owner", func() {
	It("makes it hurried before it refuses jobs, and for a while afterwards", func() {
		var l lateness
		l.observe(hurriedLateness)
		Expect(l.hurried(time.Second)).To(BeFalse())
		l.observe(hurriedLateness + time.Millisecond)
		Expect(l.hurried(time.Second)).To(BeTrue())
		Expect(l.overloaded()).To(BeFalse())
		for range 10 {
			l.observe(0)
		}
		Expect(l.hurried(time.Second + hurriedTime - 1)).To(BeTrue())
		Expect(l.hurried(time.Second + hurriedTime)).To(BeFalse())
	})
})

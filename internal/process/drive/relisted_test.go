package drive_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// list lists workers again after listElsewhere, all at once.
func (c *restartCluster) list(names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		delete(c.listedElsewhere, name)
	}
}

// dropTime is enough for a worker that is cut off and not listed to be dropped.
const dropTime = 8 * time.Second

// Guards against owners that take themselves for replaced: they forgot the token that they
// had raised for restarted workers, and called these with an older one.
var _ = DescribeTable("workers that have restarted do not end their owner when they are back after a long cut",
	func(names ...string) {
		c := newRestartCluster()
		c.awaitUsable()
		c.restart(0, names...)
		c.awaitUsable()
		for _, name := range names {
			c.fleet.Cut(name, true)
			c.listElsewhere(name)
		}
		time.Sleep(dropTime)
		for _, name := range names {
			c.fleet.Cut(name, false)
		}
		c.list(names...)
		Eventually(func() int { return c.owner.Counts().Usable }, "5s", "10ms").Should(Equal(len(c.names)))
		Expect(submit(c.owner, job("j", 3), time.Second)).To(Equal(accepted))
	},
	Entry("one of them", "w0"),
	Entry("two of them", "w0", "w1"),
)

package drive_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
)

// restartOwner replaces the owner by a later process of its instance.
func (c *restartCluster) restartOwner() {
	c.afterRestart = true
	c.replaceOwner()
}

// awaitUsable waits until all workers have answered the owner and are in its journal.
func (c *restartCluster) awaitUsable() {
	Eventually(func() int { return c.owner.Counts().Usable }, "5s", "10ms").Should(Equal(len(c.names)))
}

// useOnly leaves room for tasks on one worker only; useAll undoes it.
func (c *restartCluster) useOnly(name string) {
	for _, other := range c.names {
		if other != name {
			c.fleet.Resize(other, cairnbay.Resources{})
		}
	}
}

func (c *restartCluster) useAll() {
	for _, name := range c.names {
		c.fleet.Resize(name, restartSize)
	}
}

// Guards against tasks that run twice (TWICE): the next owner, which has had no answer of a
// restarted worker, counted the lease that a call for its former run has given it as ended.
var _ = DescribeTable("a restarted worker counts as running for the lease that a renewal for its former run has given it",
	func(cutOff func(c *restartCluster)) {
		c := newRestartCluster()
		c.runTime.Store(int64(2 * maxWorkerLease))
		c.awaitUsable()
		c.useOnly("w0")
		c.listBorn("w0", c.born("w0")) // The owner learns of the restart by a renewal.
		c.fleet.Restart("w0", 0, restartSize)
		time.Sleep(restartPause)
		c.listBorn("w0", 0)
		c.accept(c.owner, "j")
		Eventually(func() any { return c.fleet.Running("w0") }, "5s", "1ms").Should(HaveLen(3))
		cutOff(c)
		c.useAll()
		Eventually(c.fleet.Starts, "15s", "10ms").Should(BeNumerically(">", 3))
		Expect(c.fleet.Broken()).To(BeEmpty())
	},
	Entry("under the same owner", func(c *restartCluster) { c.fleet.Cut("w0", true) }),
	Entry("under the next owner", func(c *restartCluster) {
		c.fleet.Cut("w0", true)
		c.replaceOwner()
	}),
	Entry("under the next owner, which it has answered", func(c *restartCluster) {
		c.replaceOwner()
		c.awaitUsable()
		c.fleet.Cut("w0", true)
	}),
	Entry("under its owner after a restart", func(c *restartCluster) {
		c.fleet.Cut("w0", true)
		c.restartOwner()
	}),
)

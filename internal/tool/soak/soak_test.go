package soak_test

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay/internal/fake/suite"
	"cairnbay/internal/tool/soak"
)

func TestSoak(t *testing.T) {
	suite.Run(t, "soak")
}

var _ = Describe("the soak", Ordered, func() {
	var program string
	BeforeAll(func() {
		program = filepath.Join(GinkgoT().TempDir(), "cairnbay")
		out, err := exec.Command("go", "build", "-o", program, "cairnbay/cmd/cairnbay").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), "%s", out)
	})

	DescribeTable("finds no broken promise with one kind of fault",
		func(length time.Duration, choose func(config *soak.Config)) {
			config := soak.Defaults()
			config.Seed, config.Length, config.Program, config.Instances = 2, length, program, 4
			config.FirstPort, config.Folder = 26_000, GinkgoT().TempDir()
			choose(&config)
			var out bytes.Buffer
			config.Out = &out
			Expect(soak.Run(context.Background(), config)).To(Succeed(), out.String)
		},
		// Guards against 410 for accepted jobs, whose tasks then run although their
		// cancellation was acknowledged: an owner answers that was replaced while it was paused.
		Entry("pauses of owners, until they are replaced", 20*time.Second, func(config *soak.Config) { config.Pauses = true }),
		// Guards against submissions that are accepted after their cancellation was
		// acknowledged.
		Entry("pauses of any instances, until their callers give up", 15*time.Second, func(config *soak.Config) { config.Impatient = true }),
		// Guards against steps that wait for ever once each permitted worker has refused a
		// ticket.
		Entry("pauses of any instances, while tickets expire on their way", 15*time.Second, func(config *soak.Config) { config.Tickets = true }),
		// Guards against tasks that run twice, since the lease that a restarted worker has
		// from calls for its former life was counted as ended.
		Entry("workers that restart and are cut off, while their owner is replaced", 30*time.Second, func(config *soak.Config) { config.Recuts = true }),
		// Guards against long-running tasks that wait, after many workers have restarted at
		// once, since their workspace has more than its share or their queue is on trial.
		Entry("data centres whose workers restart at once", 4*time.Second, func(config *soak.Config) {
			config.Seed, config.Workers, config.Outages, config.Workspaces = 9104, 24, 1, 2
		}),
		// Guards against tasks that stand still for good, since the next owner waits for a
		// majority of workers that it never has.
		Entry("owners that are lost with half of the workers or more", 5*time.Second, func(config *soak.Config) {
			config.Workers, config.Losses = 16, true
		}),
	)

	// Seeds that failed once stay here, each with its cause.
	DescribeTable("finds no broken promise",
		func(seed, shards, workspaces int, length time.Duration, keepNames, oddEntries bool) {
			config := soak.Defaults()
			config.Seed, config.Length, config.Program = uint64(seed), length, program
			config.Shards, config.Workspaces = shards, workspaces
			config.KeepNames, config.OddEntries = keepNames, oddEntries
			config.FirstPort, config.Folder = 26_000, GinkgoT().TempDir()
			var out bytes.Buffer
			config.Out = &out
			err := soak.Run(context.Background(), config)
			Expect(err).NotTo(HaveOccurred(), "%s", out.String())
		},
		// A worker shrank twice before its owner could know; the stand-in compared with
		// the capacity between the two.
		Entry("a short run", 1, 1, 0, 8*time.Second, false, false),
		Entry("a short run over three shards", 2, 3, 0, 8*time.Second, false, false),
		// Workers that restarted under their names ran tasks again that had ended.
		Entry("a short run with workers that keep their names", 3, 1, 0, 8*time.Second, true, false),
		// The late answer to a write of an owner's key overwrote the news of its
		// successor; the instance then claimed the class without end.
		Entry("seed 47", 47, 1, 0, 20*time.Second, false, false),
		// Guards against calls that are handled by an old version of the keys, and against
		// keys in logs, metrics and stored values.
		Entry("a short run with keys", 4, 2, 4, 8*time.Second, false, false),
		// Guards against entries of other writers that end or stop the readers of the list.
		Entry("a short run beside malformed entries", 6, 1, 0, 8*time.Second, false, true),
	)
})

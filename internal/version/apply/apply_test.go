package apply_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/timer"
	"cairnbay/internal/version/apply"
	"cairnbay/internal/version/tree"
)

// withCluster runs a test on a cluster of three members in data centre a and two in b
// that know each other and have version 1 in force.
func withCluster(t *testing.T, test func(expect *WithT, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster("a-0", "a-1", "a-2", "b-0", "b-1")
		defer c.close()
		expect := NewWithT(t)
		time.Sleep(3 * time.Second)
		result, err := c.applyWeight("a-0", "first", 0, "x", 1)
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(result.Record.Version).To(Equal(uint64(1)))
		time.Sleep(2 * time.Second)
		expect.Expect(c.nodesBehind(1)).To(BeEmpty())
		test(expect, c)
	})
}

// applyWeight sets a weight through a member's applier, based on a version.
func (c *cluster) applyWeight(id, changeID string, base uint64, path string, weight int) (apply.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var baseTree *tree.Tree
	if base > 0 {
		var err error
		if baseTree, err = c.nodes[id].applier.Get(ctx, base); err != nil {
			return apply.Result{}, err
		}
	}
	return c.nodes[id].applier.Apply(ctx, apply.Request{
		Tree: withWeight(baseTree, path, weight), Base: base, ChangeID: changeID, Who: "ann", Why: "test",
	})
}

// nodesBehind returns the IDs of the running nodes on which an older version is in force.
func (c *cluster) nodesBehind(version uint64) []string {
	var ids []string
	for _, instance := range c.instances {
		if node := c.nodes[instance.ID]; node != nil {
			if number, _ := node.follower.Version(); number < version {
				ids = append(ids, instance.ID)
			}
		}
	}
	return ids
}

func TestChangesFromSameBase(t *testing.T) {
	withCluster(t, func(expect *WithT, c *cluster) {
		_, err := c.applyWeight("a-0", "ann", 1, "y", 5)
		expect.Expect(err).NotTo(HaveOccurred())
		second, err := c.applyWeight("b-0", "bob", 1, "z", 6)
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(second.Record.Version).To(Equal(uint64(3)))
		_, err = c.applyWeight("b-1", "cid", 1, "y", 7)
		expect.Expect(err).To(MatchError(cairnbay.ErrConflict))
		expect.Expect(err.Error()).To(ContainSubstring(`branch "y" request.weight: was "", yours is "7", theirs is "5"`))
		time.Sleep(2 * time.Second)
		settings := c.nodes["a-2"].follower.Current()
		expect.Expect([]int{weightOf(settings, "x"), weightOf(settings, "y"), weightOf(settings, "z")}).To(Equal([]int{1, 5, 6}))
	})
}

func TestLostAnswersAndWrites(t *testing.T) {
	scenarios := []struct {
		name  string
		fault func(c *cluster)
	}{
		{"answers lost", func(c *cluster) { c.store.LoseAnswers(2) }},
		{"writes lost", func(c *cluster) { c.store.LoseWrites(2) }},
		{"a write lost, then answers lost", func(c *cluster) {
			c.store.LoseWrites(1)
			c.store.LoseAnswers(3)
		}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			withCluster(t, func(expect *WithT, c *cluster) {
				scenario.fault(c)
				first, err := c.applyWeight("a-0", "ann", 1, "y", 5)
				expect.Expect(err).NotTo(HaveOccurred())
				again, err := c.applyWeight("b-0", "ann", 1, "y", 5)
				expect.Expect(err).NotTo(HaveOccurred())
				expect.Expect(again.Repeated).To(BeTrue())
				expect.Expect(again.Record).To(Equal(first.Record))
				history, err := c.nodes["a-0"].applier.History(context.Background(), 10)
				expect.Expect(err).NotTo(HaveOccurred())
				expect.Expect(history).To(HaveLen(2))
			})
		})
	}
}

func TestForbidden(t *testing.T) {
	withCluster(t, func(expect *WithT, c *cluster) {
		_, err := c.nodes["a-0"].applier.Apply(context.Background(), apply.Request{
			Tree: withWeight(c.nodes["a-0"].follower.Tree(), "y", 9), Overwrite: true, ChangeID: "ann",
			Authorize: func(path string) error {
				if tree.Within(path, "x") {
					return nil
				}
				return cairnbay.ErrForbidden
			},
		})
		expect.Expect(err).To(MatchError(cairnbay.ErrForbidden))
		history, err := c.nodes["a-0"].applier.History(context.Background(), 10)
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(history).To(HaveLen(1))
	})
}

func TestRollback(t *testing.T) {
	withCluster(t, func(expect *WithT, c *cluster) {
		_, err := c.applyWeight("a-0", "ann", 1, "x", 5)
		expect.Expect(err).NotTo(HaveOccurred())
		rollback, err := c.nodes["b-0"].applier.Rollback(context.Background(), 1, apply.Request{ChangeID: "bob", Base: 2})
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(rollback.Record.Version).To(Equal(uint64(3)))
		time.Sleep(2 * time.Second)
		settings := c.nodes["a-1"].follower.Current()
		expect.Expect(settings.Version).To(Equal(uint64(3)))
		expect.Expect(weightOf(settings, "x")).To(Equal(1))
	})
}

func TestLargeContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := NewWithT(t)
		clock := timer.New()
		defer clock.Close()
		var operators []cairnbay.Operator
		for number := range 1000 {
			operators = append(operators, cairnbay.Operator{
				Name: fmt.Sprintf("operator-%d", number), CertName: tree.Digest(fmt.Append(nil, number)),
			})
		}
		large, err := tree.New(nil, operators)
		expect.Expect(err).NotTo(HaveOccurred())
		applier := apply.New(apply.Config{
			Store: store.New(store.Config{Clock: clock}), Clock: clock, ChunkBytes: 16 << 10,
		})
		result, err := applier.Apply(context.Background(), apply.Request{Tree: large, ChangeID: "ann"})
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(len(result.Record.Content)).To(BeNumerically(">", 1))
		stored, err := applier.Get(context.Background(), 1)
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(tree.Diff(large, stored)).To(BeEmpty())
	})
}

// TestPrune creates more versions than are retained and checks that only the content of
// the oldest is deleted, while their records remain.
func TestPrune(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := NewWithT(t)
		clock := timer.New()
		defer clock.Close()
		ctx := context.Background()
		fakeStore := store.New(store.Config{Clock: clock})
		const retained, versions = 97, 100
		applier := apply.New(apply.Config{Store: fakeStore, Clock: clock, RetainedVersions: retained})
		for number := 1; number <= versions; number++ {
			_, err := applier.Apply(ctx, apply.Request{
				Tree: withWeight(nil, "x", number), Overwrite: true, ChangeID: fmt.Sprint(number),
			})
			expect.Expect(err).NotTo(HaveOccurred())
		}
		_, err := applier.Get(ctx, 3)
		expect.Expect(err).To(MatchError(cairnbay.ErrNotFound))
		_, err = applier.Get(ctx, 4)
		expect.Expect(err).NotTo(HaveOccurred())
		contents, err := fakeStore.List(ctx, "settings/content/")
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(contents.Entries).To(HaveLen(retained))
		history, err := applier.History(ctx, versions+10)
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(history).To(HaveLen(versions))
		expect.Expect(history[versions-1].ChangeID).To(Equal("1"))
	})
}

func TestAwaitAdoption(t *testing.T) {
	withCluster(t, func(expect *WithT, c *cluster) {
		c.store.SetCut("b-1", true)
		c.setPartitioned(true)
		c.mesh.Cut("b-0", "b-1", true)
		c.mesh.Cut("b-1", "b-0", true)
		_, err := c.applyWeight("b-0", "ann", 1, "y", 5)
		expect.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		behind := apply.AwaitAdoption(ctx, c.clock, c.nodes["b-0"].member, 2)
		expect.Expect(behind).To(ContainElement(HaveField("ID", "b-1")))
		c.setPartitioned(false)
		c.mesh.Cut("b-0", "b-1", false)
		c.mesh.Cut("b-1", "b-0", false)
		healedCtx, cancelHealed := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancelHealed()
		expect.Expect(apply.AwaitAdoption(healedCtx, c.clock, c.nodes["b-0"].member, 2)).To(BeEmpty())
	})
}

// TestInForce checks under each fault that a change is in force on all running members
// within 12 s, the limit promised to users, after the last step of the scenario.
func TestInForce(t *testing.T) {
	const adoptionLimit = 12 * time.Second
	scenarios := []struct {
		name        string
		fault       func(c *cluster)
		afterChange func(c *cluster)
	}{
		{"no fault", func(*cluster) {}, nil},
		{"one data centre cut off from the store", func(c *cluster) {
			for _, id := range []string{"b-0", "b-1"} {
				c.store.SetCut(id, true)
			}
		}, nil},
		{"watchers cut off from the store", func(c *cluster) {
			c.store.SetCut("a-0", true)
			c.store.SetCut("b-0", true)
		}, nil},
		{"open watches stop without an error", func(c *cluster) { c.store.SilenceWatches() }, nil},
		{"all watches return no events", func(c *cluster) { c.store.SetWatchesSilent(true) }, nil},
		{"events compacted", func(c *cluster) { c.store.Compact() }, nil},
		{"no calls between data centres", func(c *cluster) { c.setPartitioned(true) }, nil},
		{"data centre cut off from the store and partitioned, then partition healed", func(c *cluster) {
			c.setPartitioned(true)
			c.store.SetCut("b-0", true)
			c.store.SetCut("b-1", true)
		}, func(c *cluster) {
			time.Sleep(time.Minute)
			c.setPartitioned(false)
		}},
		{"store gone right after the change", func(*cluster) {}, func(c *cluster) {
			time.Sleep(50 * time.Millisecond)
			c.store.SetDown(true)
		}},
		{"member started again while the store is down", func(*cluster) {}, func(c *cluster) {
			time.Sleep(time.Second)
			c.store.SetDown(true)
			c.stop("a-1")
			c.start("a-1")
		}},
		{"member restarted alone while the store is down, then partition healed", func(*cluster) {}, func(c *cluster) {
			time.Sleep(time.Second)
			c.store.SetDown(true)
			c.stop("b-0")
			c.stop("b-1")
			c.setPartitioned(true)
			c.start("b-1")
			time.Sleep(time.Minute)
			if c.nodes["b-1"].follower.Current() != nil {
				panic("isolated member adopted a version")
			}
			c.setPartitioned(false)
		}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			withCluster(t, func(expect *WithT, c *cluster) {
				scenario.fault(c)
				_, err := c.applyWeight("a-1", "ann", 1, "y", 5)
				expect.Expect(err).NotTo(HaveOccurred())
				if scenario.afterChange != nil {
					scenario.afterChange(c)
				}
				start := c.clock.Now()
				for len(c.nodesBehind(2)) > 0 && c.clock.Now()-start < adoptionLimit {
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("in force after %v", c.clock.Now()-start)
				expect.Expect(c.nodesBehind(2)).To(BeEmpty())
			})
		})
	}
}

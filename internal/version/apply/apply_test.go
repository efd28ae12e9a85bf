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

// run gives a test a cell of three members in a and two in b that have met and
// hold version 1.
func run(t *testing.T, test func(expect *WithT, c *cell)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell("a-0", "a-1", "a-2", "b-0", "b-1")
		defer c.close()
		expect := NewWithT(t)
		time.Sleep(3 * time.Second)
		result, err := c.change("a-0", "first", 0, "x", 1)
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(result.Record.Version).To(Equal(uint64(1)))
		time.Sleep(2 * time.Second)
		expect.Expect(c.behind(1)).To(BeEmpty())
		test(expect, c)
	})
}

// change sets a weight by way of a member, starting from a version.
func (c *cell) change(id, changeID string, base uint64, path string, weight int) (apply.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var from *tree.Tree
	if base > 0 {
		var err error
		if from, err = c.nodes[id].applier.Get(ctx, base); err != nil {
			return apply.Result{}, err
		}
	}
	return c.nodes[id].applier.Apply(ctx, apply.Request{
		Tree: weighted(from, path, weight), Base: base, ChangeID: changeID, Who: "ann", Why: "test",
	})
}

// behind lists the nodes on which a version is not in force.
func (c *cell) behind(version uint64) []string {
	var ids []string
	for _, instance := range c.list {
		if running := c.nodes[instance.ID]; running != nil {
			if number, _ := running.follower.Version(); number < version {
				ids = append(ids, instance.ID)
			}
		}
	}
	return ids
}

func TestRaces(t *testing.T) {
	run(t, func(expect *WithT, c *cell) {
		_, err := c.change("a-0", "ann", 1, "y", 5)
		expect.Expect(err).NotTo(HaveOccurred())
		other, err := c.change("b-0", "bob", 1, "z", 6)
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(other.Record.Version).To(Equal(uint64(3)))
		_, err = c.change("b-1", "cid", 1, "y", 7)
		expect.Expect(err).To(MatchError(cairnbay.ErrConflict))
		expect.Expect(err.Error()).To(ContainSubstring(`branch "y" request.weight: was "", yours is "7", theirs is "5"`))
		time.Sleep(2 * time.Second)
		settings := c.nodes["a-2"].follower.Current()
		expect.Expect([]int{weightOf(settings, "x"), weightOf(settings, "y"), weightOf(settings, "z")}).To(Equal([]int{1, 5, 6}))
	})
}

func TestLostAnswers(t *testing.T) {
	scenarios := []struct {
		name  string
		fault func(c *cell)
	}{
		{"answers lost", func(c *cell) { c.store.LoseAnswers(2) }},
		{"writes lost", func(c *cell) { c.store.LoseWrites(2) }},
		{"both", func(c *cell) {
			c.store.LoseWrites(1)
			c.store.LoseAnswers(3)
		}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			run(t, func(expect *WithT, c *cell) {
				scenario.fault(c)
				first, err := c.change("a-0", "ann", 1, "y", 5)
				expect.Expect(err).NotTo(HaveOccurred())
				again, err := c.change("b-0", "ann", 1, "y", 5)
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
	run(t, func(expect *WithT, c *cell) {
		_, err := c.nodes["a-0"].applier.Apply(context.Background(), apply.Request{
			Tree: weighted(c.nodes["a-0"].follower.Tree(), "y", 9), Overwrite: true, ChangeID: "ann",
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
	run(t, func(expect *WithT, c *cell) {
		_, err := c.change("a-0", "ann", 1, "x", 5)
		expect.Expect(err).NotTo(HaveOccurred())
		back, err := c.nodes["b-0"].applier.Rollback(context.Background(), 1, apply.Request{ChangeID: "bob", Base: 2})
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(back.Record.Version).To(Equal(uint64(3)))
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
		back, err := applier.Get(context.Background(), 1)
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(tree.Diff(large, back)).To(BeEmpty())
	})
}

// TestPrune makes more versions than keep their content.
func TestPrune(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := NewWithT(t)
		clock := timer.New()
		defer clock.Close()
		ctx := context.Background()
		backing := store.New(store.Config{Clock: clock})
		const kept, made = 97, 100
		applier := apply.New(apply.Config{Store: backing, Clock: clock, RetainedVersions: kept})
		for number := 1; number <= made; number++ {
			_, err := applier.Apply(ctx, apply.Request{
				Tree: weighted(nil, "x", number), Overwrite: true, ChangeID: fmt.Sprint(number),
			})
			expect.Expect(err).NotTo(HaveOccurred())
		}
		_, err := applier.Get(ctx, 3)
		expect.Expect(err).To(MatchError(cairnbay.ErrNotFound))
		_, err = applier.Get(ctx, 4)
		expect.Expect(err).NotTo(HaveOccurred())
		contents, err := backing.List(ctx, "settings/content/")
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(contents.Entries).To(HaveLen(kept))
		history, err := applier.History(ctx, made+10)
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(history).To(HaveLen(made))
		expect.Expect(history[made-1].ChangeID).To(Equal("1"))
	})
}

func TestAwait(t *testing.T) {
	run(t, func(expect *WithT, c *cell) {
		c.store.SetCut("b-1", true)
		c.split(true)
		c.mesh.Cut("b-0", "b-1", true)
		c.mesh.Cut("b-1", "b-0", true)
		_, err := c.change("b-0", "ann", 1, "y", 5)
		expect.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		behind := apply.AwaitAdoption(ctx, c.clock, c.nodes["b-0"].member, 2)
		expect.Expect(behind).To(ContainElement(HaveField("ID", "b-1")))
		c.split(false)
		c.mesh.Cut("b-0", "b-1", false)
		c.mesh.Cut("b-1", "b-0", false)
		whole, stop := context.WithTimeout(context.Background(), 30*time.Second)
		defer stop()
		expect.Expect(apply.AwaitAdoption(whole, c.clock, c.nodes["b-0"].member, 2)).To(BeEmpty())
	})
}

// TestInForce brings a fault about, makes a change and asks where it is in
// force within the users' bound of 12 s.
func TestInForce(t *testing.T) {
	const bound = 12 * time.Second
	scenarios := []struct {
		name  string
		fault func(c *cell)
		after func(c *cell)
	}{
		{"nothing wrong", func(*cell) {}, nil},
		{"one data centre without the store", func(c *cell) {
			for _, id := range []string{"b-0", "b-1"} {
				c.store.SetCut(id, true)
			}
		}, nil},
		{"holders of the watches without the store", func(c *cell) {
			c.store.SetCut("a-0", true)
			c.store.SetCut("b-0", true)
		}, nil},
		{"watches silently dead", func(c *cell) { c.store.SilenceWatches() }, nil},
		{"all watches silent for good", func(c *cell) { c.store.SetWatchesSilent(true) }, nil},
		{"events compacted", func(c *cell) { c.store.Compact() }, nil},
		{"no calls between data centres", func(c *cell) { c.split(true) }, nil},
		{"cut from the store and the others, then healed", func(c *cell) {
			c.split(true)
			c.store.SetCut("b-0", true)
			c.store.SetCut("b-1", true)
		}, func(c *cell) {
			time.Sleep(time.Minute)
			c.split(false)
		}},
		{"store gone right after", func(*cell) {}, func(c *cell) {
			time.Sleep(50 * time.Millisecond)
			c.store.SetDown(true)
		}},
		{"member started while the store is down", func(*cell) {}, func(c *cell) {
			time.Sleep(time.Second)
			c.store.SetDown(true)
			c.stop("a-1")
			c.start("a-1")
		}},
		{"member started alone, then healed", func(*cell) {}, func(c *cell) {
			time.Sleep(time.Second)
			c.store.SetDown(true)
			c.stop("b-0")
			c.stop("b-1")
			c.split(true)
			c.start("b-1")
			time.Sleep(time.Minute)
			if c.nodes["b-1"].follower.Current() != nil {
				panic("a member that cannot know took a version")
			}
			c.split(false)
		}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			run(t, func(expect *WithT, c *cell) {
				scenario.fault(c)
				_, err := c.change("a-1", "ann", 1, "y", 5)
				expect.Expect(err).NotTo(HaveOccurred())
				if scenario.after != nil {
					scenario.after(c)
				}
				start := c.clock.Now()
				for len(c.behind(2)) > 0 && c.clock.Now()-start < bound {
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("in force after %v", c.clock.Now()-start)
				expect.Expect(c.behind(2)).To(BeEmpty())
			})
		})
	}
}

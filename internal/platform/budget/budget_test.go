package budget_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"cairnbay"
	fake "cairnbay/internal/fake/store"
	"cairnbay/internal/platform/budget"
	"cairnbay/internal/process/timer"
)

// bubble runs a test in a synctest bubble with a fake store.
func bubble(t *testing.T, config fake.Config, run func(expect *WithT, clock cairnbay.Clock, backing *fake.Store)) {
	synctest.Test(t, func(t *testing.T) {
		clock := timer.New()
		defer clock.Close()
		config.Clock = clock
		run(NewWithT(t), clock, fake.New(config))
	})
}

func TestPutConfirmed(t *testing.T) {
	scenarios := []struct {
		name  string
		fault func(backing *fake.Store)
		want  error
		puts  int
	}{
		{"no fault", func(*fake.Store) {}, nil, 1},
		{"answer lost", func(backing *fake.Store) { backing.LoseAnswers(1) }, nil, 1},
		{"write lost", func(backing *fake.Store) { backing.LoseWrites(1) }, nil, 2},
		{"write lost, then answer lost", func(backing *fake.Store) {
			backing.LoseWrites(1)
			backing.LoseAnswers(1)
		}, nil, 2},
		{"another writer wrote first", func(backing *fake.Store) {
			_, _ = backing.Put(context.Background(), "k", []byte("theirs"), 0, 0)
		}, cairnbay.ErrConflict, 2},
		{"down from the start", func(backing *fake.Store) { backing.SetDown(true) }, cairnbay.ErrUnavailable, 1},
		{"slow beyond every deadline", func(backing *fake.Store) { backing.SetSlow(time.Hour) }, cairnbay.ErrUnknown, 1},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			bubble(t, fake.Config{}, func(expect *WithT, clock cairnbay.Clock, backing *fake.Store) {
				scenario.fault(backing)
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				write := budget.Write{Key: "k", Value: []byte("mine")}
				revision, err := budget.PutConfirmed(ctx, backing.For("w"), clock, write)
				expect.Expect(backing.Counts().Puts).To(Equal(scenario.puts))
				backing.SetSlow(0)
				if scenario.want != nil {
					expect.Expect(err).To(MatchError(scenario.want))
					return
				}
				expect.Expect(err).NotTo(HaveOccurred())
				entry, err := backing.Get(context.Background(), "k")
				expect.Expect(err).NotTo(HaveOccurred())
				expect.Expect(entry.Revision).To(Equal(revision))
			})
		})
	}
}

// TestPrecedence queues one write of each purpose, lowest precedence first, and
// checks that they end in the order of precedence.
func TestPrecedence(t *testing.T) {
	bubble(t, fake.Config{}, func(expect *WithT, clock cairnbay.Clock, backing *fake.Store) {
		limited := budget.New(budget.Config{
			Store: backing, Clock: clock, Limits: budget.Limits{WritesPerSecond: 4}, Timeout: time.Minute,
		})
		ctx := context.Background()
		_, err := limited.For(cairnbay.PurposeJournal).Put(ctx, "first", nil, 0, 0)
		expect.Expect(err).NotTo(HaveOccurred())
		var order []string
		var mu sync.Mutex
		var calls sync.WaitGroup
		for purpose := cairnbay.Purposes; purpose > 0; purpose-- {
			calls.Go(func() {
				_, _ = limited.For(purpose-1).Put(ctx, (purpose - 1).String(), nil, 0, 0)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, (purpose - 1).String())
			})
			synctest.Wait()
		}
		calls.Wait()
		expect.Expect(order).To(Equal([]string{"journal", "settings", "keys", "audit"}))
	})
}

func TestBackoff(t *testing.T) {
	bubble(t, fake.Config{}, func(expect *WithT, clock cairnbay.Clock, backing *fake.Store) {
		limited := budget.New(budget.Config{Store: backing, Clock: clock})
		backing.SetDown(true)
		for range 100 {
			_, err := limited.For(cairnbay.PurposeAudit).Put(context.Background(), "k", nil, 0, 0)
			expect.Expect(err).To(MatchError(cairnbay.ErrUnavailable))
		}
		health := limited.Health()
		expect.Expect(health.Reachable).To(BeFalse())
		expect.Expect(health.LastError).NotTo(BeEmpty())
		elapsed := clock.Now().Seconds()
		// At maxBackoff a probe is made at most once a second; the shorter back-offs
		// before it add a few more.
		expect.Expect(float64(backing.Counts().Puts)).To(BeNumerically("<", 10+elapsed))
		backing.SetDown(false)
		_, err := limited.For(cairnbay.PurposeAudit).Put(context.Background(), "k", nil, 0, 0)
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(limited.Health().Reachable).To(BeTrue())
	})
}

// TestThunderingHerd guards against overloading a store that answers again after a
// long outage, when every member has a backlog: the calls stay under the store's rate
// limit, and the last journal write ends before the last audit write.
func TestThunderingHerd(t *testing.T) {
	const (
		members = 36
		// backlog is the number of waiting writes of each member and purpose.
		backlog = 10
		// storeWrites is the store's limit in writes per second; the budgets use 80% of
		// it.
		storeWrites = 300
		outage      = 2 * time.Minute
		maxRecovery = 60 * time.Second
	)
	bubble(t, fake.Config{WritesPerSecond: storeWrites}, func(expect *WithT, clock cairnbay.Clock, backing *fake.Store) {
		backing.SetDown(true)
		var writers sync.WaitGroup
		var mu sync.Mutex
		lastPut := make(map[cairnbay.Purpose]time.Duration)
		for member := range members {
			limited := budget.New(budget.Config{
				Store: backing, Clock: clock, Seed: uint64(member),
				Limits:  budget.Limits{WritesPerSecond: storeWrites * 0.8},
				Sharers: func() int { return members },
			})
			for _, purpose := range []cairnbay.Purpose{cairnbay.PurposeJournal, cairnbay.PurposeAudit} {
				for entry := range backlog {
					key := fmt.Sprintf("%s/%d/%d", purpose, member, entry)
					writers.Go(func() {
						for {
							if _, err := limited.For(purpose).Put(context.Background(), key, nil, 0, 0); err == nil {
								break
							}
						}
						mu.Lock()
						defer mu.Unlock()
						lastPut[purpose] = max(lastPut[purpose], clock.Now())
					})
				}
			}
		}
		time.Sleep(outage)
		outagePuts := backing.Counts().Puts
		backing.SetDown(false)
		restoredAt := clock.Now()
		writers.Wait()
		counts := backing.Counts()
		t.Logf("calls of all members during the outage %.2f/s, calls refused by the store's rate limit %d, last journal write %v and last audit write %v after the outage",
			float64(outagePuts)/outage.Seconds(), counts.RateLimited, lastPut[cairnbay.PurposeJournal]-restoredAt,
			lastPut[cairnbay.PurposeAudit]-restoredAt)
		expect.Expect(float64(outagePuts) / outage.Seconds()).To(BeNumerically("<", members))
		expect.Expect(counts.RateLimited).To(BeZero())
		expect.Expect(lastPut[cairnbay.PurposeJournal]).To(BeNumerically("<", lastPut[cairnbay.PurposeAudit]))
		expect.Expect(lastPut[cairnbay.PurposeAudit] - restoredAt).To(BeNumerically("<", maxRecovery))
	})
}

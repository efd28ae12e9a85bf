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

// bubble runs a test in virtual time with a stand-in store.
func bubble(t *testing.T, config fake.Config, run func(expect *WithT, clock cairnbay.Clock, backing *fake.Store)) {
	synctest.Test(t, func(t *testing.T) {
		clock := timer.New()
		defer clock.Close()
		config.Clock = clock
		run(NewWithT(t), clock, fake.New(config))
	})
}

func TestPutSettled(t *testing.T) {
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
		{"another writer was first", func(backing *fake.Store) {
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

func TestPrecedence(t *testing.T) {
	bubble(t, fake.Config{}, func(expect *WithT, clock cairnbay.Clock, backing *fake.Store) {
		shared := budget.New(budget.Config{
			Store: backing, Clock: clock, Limits: budget.Limits{WritesPerSecond: 4}, Timeout: time.Minute,
		})
		ctx := context.Background()
		_, err := shared.For(cairnbay.PurposeJournal).Put(ctx, "first", nil, 0, 0)
		expect.Expect(err).NotTo(HaveOccurred())
		var order []string
		var mu sync.Mutex
		var calls sync.WaitGroup
		for purpose := cairnbay.Purposes; purpose > 0; purpose-- {
			calls.Go(func() {
				_, _ = shared.For(purpose-1).Put(ctx, (purpose - 1).String(), nil, 0, 0)
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

func TestHeldBack(t *testing.T) {
	bubble(t, fake.Config{}, func(expect *WithT, clock cairnbay.Clock, backing *fake.Store) {
		held := budget.New(budget.Config{Store: backing, Clock: clock})
		backing.SetDown(true)
		for range 100 {
			_, err := held.For(cairnbay.PurposeAudit).Put(context.Background(), "k", nil, 0, 0)
			expect.Expect(err).To(MatchError(cairnbay.ErrUnavailable))
		}
		health := held.Health()
		expect.Expect(health.Reachable).To(BeFalse())
		expect.Expect(health.LastError).NotTo(BeEmpty())
		elapsed := clock.Now().Seconds()
		expect.Expect(float64(backing.Counts().Puts)).To(BeNumerically("<", 10+elapsed))
		backing.SetDown(false)
		_, err := held.For(cairnbay.PurposeAudit).Put(context.Background(), "k", nil, 0, 0)
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(held.Health().Reachable).To(BeTrue())
	})
}

// TestHerd brings the store back after a long outage with every member's backlog
// waiting: the calls stay under the store's rate, and no journal write is
// refused for an audit record.
func TestHerd(t *testing.T) {
	const (
		members        = 36
		backlog        = 10
		storeWrites    = 300
		outage         = 2 * time.Minute
		recoveryWithin = 60 * time.Second
	)
	bubble(t, fake.Config{WritesPerSecond: storeWrites}, func(expect *WithT, clock cairnbay.Clock, backing *fake.Store) {
		backing.SetDown(true)
		var writers sync.WaitGroup
		var mu sync.Mutex
		last := make(map[cairnbay.Purpose]time.Duration)
		for member := range members {
			shared := budget.New(budget.Config{
				Store: backing, Clock: clock, Seed: uint64(member),
				Limits:  budget.Limits{WritesPerSecond: storeWrites * 0.8},
				Sharers: func() int { return members },
			})
			for _, purpose := range []cairnbay.Purpose{cairnbay.PurposeJournal, cairnbay.PurposeAudit} {
				for entry := range backlog {
					key := fmt.Sprintf("%s/%d/%d", purpose, member, entry)
					writers.Go(func() {
						for {
							if _, err := shared.For(purpose).Put(context.Background(), key, nil, 0, 0); err == nil {
								break
							}
						}
						mu.Lock()
						defer mu.Unlock()
						last[purpose] = max(last[purpose], clock.Now())
					})
				}
			}
		}
		time.Sleep(outage)
		during := backing.Counts().Puts
		backing.SetDown(false)
		back := clock.Now()
		writers.Wait()
		counts := backing.Counts()
		t.Logf("calls in the outage %.2f/s, refused by rate %d, journal whole after %v, audit after %v",
			float64(during)/outage.Seconds(), counts.RateLimited, last[cairnbay.PurposeJournal]-back,
			last[cairnbay.PurposeAudit]-back)
		expect.Expect(float64(during) / outage.Seconds()).To(BeNumerically("<", members))
		expect.Expect(counts.RateLimited).To(BeZero())
		expect.Expect(last[cairnbay.PurposeJournal]).To(BeNumerically("<", last[cairnbay.PurposeAudit]))
		expect.Expect(last[cairnbay.PurposeAudit] - back).To(BeNumerically("<", recoveryWithin))
	})
}

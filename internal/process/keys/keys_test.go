package keys_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/keys"
	"cairnbay/internal/process/timer"
)

func init() {
	// A fixed seed makes failures repeatable.
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "100")
}

func TestKeys(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keys")
}

func newKeys(life uint64, clock cairnbay.Clock, store cairnbay.Store, window time.Duration) *keys.Keys {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return keys.New(keys.Config{Life: life, Clock: clock, Store: store, BatchWindow: window, Log: logrus.NewEntry(log)})
}

// newClaim pads the digest, of which only the first 8 bytes are compared.
func newClaim(key, body string) *cairnbayv1.KeyRequest {
	return &cairnbayv1.KeyRequest{Service: "docket", Key: key, BodyDigest: []byte(body + "........"), Claim: rand.Uint64()}
}

func newFinish(claim *cairnbayv1.KeyRequest, outcome string) *cairnbayv1.KeyRequest {
	return &cairnbayv1.KeyRequest{
		Service: claim.GetService(), Key: claim.GetKey(), Claim: claim.GetClaim(),
		Finish: true, Outcome: outcome, Status: 200, Body: []byte("answer"),
	}
}

// handle sends a claim or an outcome and returns the verdict, or the error text. A
// claim that waits for a running request ends after 20 ms.
func handle(k *keys.Keys, request *cairnbayv1.KeyRequest) string {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	response, err := k.HandleKey(ctx, request)
	if err != nil {
		return err.Error()
	}
	return response.GetVerdict()
}

// TestNoKeyRunsTwice checks that no key is granted twice by two members that are each
// the home by their own member list, or by their successors, with a store that fails
// and loses writes and answers.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.New()
		defer clock.Close()
		backing := store.New(store.Config{Clock: clock})
		life := uint64(2)
		homes := []*keys.Keys{newKeys(1, clock, backing, -1), newKeys(2, clock, backing, -1)}
		defer func() {
			for _, home := range homes {
				home.Close()
			}
		}()
		type run struct {
			home  *keys.Keys
			claim *cairnbayv1.KeyRequest
		}
		running := map[string]run{}
		ran := map[string]bool{}
		key := rapid.SampledFrom([]string{"a", "b", "c"})
		home := rapid.IntRange(0, 1)
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				name, target := key.Draw(t, "key"), homes[home.Draw(t, "home")]
				claim := newClaim(name, "body")
				if handle(target, claim) != keys.VerdictRun {
					return
				}
				if _, twice := running[name]; twice || ran[name] {
					t.Fatalf("key %q was granted while it ran or after it had run", name)
				}
				running[name] = run{target, claim}
			},
			"end": func(t *rapid.T) {
				name := key.Draw(t, "key")
				run, ok := running[name]
				if !ok {
					t.Skip("does not run")
				}
				outcome := rapid.SampledFrom([]string{keys.VerdictDone, keys.VerdictUnknown, keys.VerdictNotRun}).Draw(t, "outcome")
				handle(run.home, newFinish(run.claim, outcome))
				delete(running, name)
				ran[name] = ran[name] || outcome != keys.VerdictNotRun
			},
			"replace": func(t *rapid.T) {
				index := home.Draw(t, "home")
				for name, run := range running {
					if run.home == homes[index] {
						// The successor cannot tell whether these requests ran.
						delete(running, name)
						ran[name] = true
					}
				}
				homes[index].Close()
				life++
				homes[index] = newKeys(life, clock, backing, -1)
			},
			"down":         func(t *rapid.T) { backing.SetDown(rapid.Bool().Draw(t, "down")) },
			"lose_answers": func(t *rapid.T) { backing.LoseAnswers(rapid.IntRange(1, 3).Draw(t, "writes")) },
			"lose_writes":  func(t *rapid.T) { backing.LoseWrites(rapid.IntRange(1, 3).Draw(t, "writes")) },
		})
	})
}

var _ = Describe("Keys", func() {
	var clock *timer.Service
	var backing *store.Store
	var home *keys.Keys
	BeforeEach(func() {
		clock = timer.New()
		backing = store.New(store.Config{Clock: clock})
		home = newKeys(1, clock, backing, -1)
		DeferCleanup(func() {
			home.Close()
			clock.Close()
		})
	})

	It("lets a repeat wait for the running request, and answers later repeats from memory", func() {
		first := newClaim("k", "body")
		Expect(handle(home, first)).To(Equal(keys.VerdictRun))
		joined := make(chan *cairnbayv1.KeyResponse, 1)
		go func() {
			response, _ := home.HandleKey(context.Background(), newClaim("k", "body"))
			joined <- response
		}()
		Consistently(joined, 20*time.Millisecond).ShouldNot(Receive())
		handle(home, newFinish(first, keys.VerdictDone))
		var response *cairnbayv1.KeyResponse
		Eventually(joined).Should(Receive(&response))
		Expect(response.GetVerdict()).To(Equal(keys.VerdictDone))
		Expect(string(response.GetBody())).To(Equal("answer"))
		Expect(handle(home, newClaim("k", "body"))).To(Equal(keys.VerdictDone))
	})

	It("refuses a key that was used with another body", func() {
		Expect(handle(home, newClaim("k", "body"))).To(Equal(keys.VerdictRun))
		Expect(handle(home, newClaim("k", "other"))).To(Equal(keys.VerdictReused))
	})

	It("lets a repeat run when the first request did not run", func() {
		first := newClaim("k", "body")
		Expect(handle(home, first)).To(Equal(keys.VerdictRun))
		handle(home, newFinish(first, keys.VerdictNotRun))
		Expect(handle(home, newClaim("k", "body"))).To(Equal(keys.VerdictRun))
	})

	It("accepts an outcome only from the request that holds the claim", func() {
		Expect(handle(home, newClaim("k", "body"))).To(Equal(keys.VerdictRun))
		handle(home, newFinish(newClaim("k", "body"), keys.VerdictNotRun))
		Expect(handle(home, newClaim("k", "body"))).To(Equal(keys.VerdictNotRun), "the repeat waits for the running request until its context ends")
	})

	It("returns not_run while the store is down, and unknown after a takeover", func() {
		backing.SetDown(true)
		Expect(handle(home, newClaim("k", "body"))).To(Equal(keys.VerdictNotRun))
		backing.SetDown(false)
		Expect(handle(home, newClaim("k", "body"))).To(Equal(keys.VerdictRun))
		successor := newKeys(2, clock, backing, -1)
		defer successor.Close()
		Expect(handle(successor, newClaim("k", "body"))).To(Equal(keys.VerdictUnknown))
	})
})

// BenchmarkClaims measures the store calls and the claim latency per keyed request, at
// Poisson arrivals of 500 per second, for several batch windows.
func BenchmarkClaims(b *testing.B) {
	const rate = 500.0
	for _, window := range []time.Duration{-1, 5 * time.Millisecond, 20 * time.Millisecond} {
		b.Run(fmt.Sprintf("window=%v", max(0, window)), func(b *testing.B) {
			clock := timer.New()
			defer clock.Close()
			backing := store.New(store.Config{Clock: clock})
			backing.SetSlow(2 * time.Millisecond)
			home := newKeys(1, clock, backing, window)
			random := rand.New(rand.NewPCG(20261203, 0))
			var group sync.WaitGroup
			var waits sync.Map
			for i := range b.N {
				time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				group.Go(func() {
					claim := newClaim(fmt.Sprint("key", i), "body")
					startedAt := time.Now()
					response, err := home.HandleKey(context.Background(), claim)
					if err != nil || response.GetVerdict() != keys.VerdictRun {
						b.Error(response, err)
					}
					waits.Store(i, time.Since(startedAt))
					_, _ = home.HandleKey(context.Background(), newFinish(claim, keys.VerdictDone))
				})
			}
			group.Wait()
			home.Close()
			total := time.Duration(0)
			waits.Range(func(_, value any) bool {
				total += value.(time.Duration)
				return true
			})
			b.ReportMetric(float64(backing.Counts().Total())/float64(b.N), "store-calls/op")
			b.ReportMetric(float64(total.Microseconds())/float64(b.N), "claim-us/op")
		})
	}
}

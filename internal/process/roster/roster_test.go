package roster_test

import (
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/internal/fake/clock"
	fakelister "cairnbay/internal/fake/lister"
	"cairnbay/internal/process/roster"
)

func TestRoster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "roster")
}

var _ = Describe("Roster", func() {
	var (
		fakeClock *clock.Clock
		lister    *fakelister.Lister
		r         *roster.Roster
	)

	ids := func() []string {
		out := []string{}
		for _, instance := range r.Instances() {
			out = append(out, instance.ID)
		}
		return out
	}
	// read advances the clock and waits until the read that this starts has ended.
	read := func(by time.Duration) {
		fakeClock.Jump(by)
		Eventually(func() bool {
			ok, at := r.Health()
			return !ok || at == fakeClock.Now()
		}).Should(BeTrue())
	}

	BeforeEach(func(ctx context.Context) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		fakeClock = clock.New()
		lister = fakelister.New(fakelister.Config{Clock: fakeClock})
		lister.Set(cairnbay.Instance{ID: "w1", Kind: cairnbay.InstanceWorker})
		lister.Set(cairnbay.Instance{ID: "u1", Kind: cairnbay.InstanceUpstream})
		r = roster.New(context.Background(), roster.Config{Clock: fakeClock, Lister: lister, Log: logrus.NewEntry(log)})
		DeferCleanup(r.Close)
	})

	It("keeps a row that the list omits for a while", func() {
		lister.SetForgotten("w1", true)
		read(time.Second)
		Consistently(ids, "20ms").Should(Equal([]string{"u1", "w1"}))
		read(30 * time.Second)
		read(time.Second)
		Eventually(ids).Should(Equal([]string{"u1"}))
	})

	It("drops a leaving row at once when it is missing from the list", func() {
		lister.Set(cairnbay.Instance{ID: "u1", Kind: cairnbay.InstanceUpstream, Leaving: true})
		read(time.Second)
		Eventually(func() bool { return r.Instances()[0].Leaving }).Should(BeTrue())
		lister.Remove("u1")
		read(time.Second)
		Eventually(ids).Should(Equal([]string{"w1"}))
	})

	It("keeps the last snapshot while the list is down", func() {
		lister.SetDown(true)
		read(time.Minute)
		Eventually(func() bool { ok, _ := r.Health(); return ok }).Should(BeFalse())
		Expect(ids()).To(Equal([]string{"u1", "w1"}))
	})
})

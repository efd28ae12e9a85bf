package drive

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// An owner short of processor time or bandwidth handles the answers of its workers
// late. Were each of them given up after renewMargin, it would count the workers as
// lost, and start tasks again that have ended.
func TestRenewTimeoutGrowsUpToTheEndOfTheLease(t *testing.T) {
	g := NewWithT(t)
	const now, lease = time.Minute, 5 * time.Second
	renewed := link{answeredAt: now, clock: time.Hour, leaseEnd: time.Hour + lease}
	var total time.Duration
	for failures, expected := range []time.Duration{renewMargin, 2 * renewMargin, 4 * renewMargin, maxRenewTimeout, maxRenewTimeout} {
		renewed.failures = failures
		g.Expect(renewed.renewTimeout(now)).To(Equal(expected), "after %d failures", failures)
		total += expected
	}
	g.Expect(total).To(BeNumerically(">", lease), "a worker is lost only after its lease has ended")
	renewed.failures = 3
	g.Expect(renewed.renewTimeout(renewed.leaseEndsBy()-time.Second)).To(Equal(time.Second), "the end of the lease is not missed")
	g.Expect(renewed.renewTimeout(renewed.leaseEndsBy())).To(Equal(renewMargin), "a lapsed worker is still asked")
	g.Expect((&link{failures: 3}).renewTimeout(now)).To(Equal(maxRenewTimeout), "a worker that never answered")
}

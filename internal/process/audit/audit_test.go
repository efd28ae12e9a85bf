package audit_test

import (
	"context"
	"crypto/ed25519"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/fake/clock"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/audit"
)

var quoting = cairnbay.Labels{Kind: "quoting", Band: "interactive", Team: "north"}

// bed is one instance on a hand-driven clock.
type bed struct {
	clock *clock.Clock
	store *store.Store
	audit *audit.Audit
	begin time.Time
}

func newBed(change func(*audit.Config)) *bed {
	hand := clock.New()
	kept := store.New(store.Config{Clock: hand})
	config := audit.Config{Instance: "entry-1", DataCentre: "tallinn-a", Clock: hand, Store: kept}
	if change != nil {
		change(&config)
	}
	Expect(config.Validate()).To(Succeed())
	made := &bed{clock: hand, store: kept, audit: audit.New(config), begin: hand.Wall()}
	DeferCleanup(made.audit.Close)
	return made
}

// minutes lets whole minutes pass, with one observation in each, and waits
// until the instance has sealed each.
func (b *bed) minutes(count int) {
	for range count {
		b.audit.ObserveWait(quoting, 40*time.Millisecond)
		b.audit.CountPromise(cairnbay.PromiseOnePlace, 1)
		sealed := b.audit.Sealed()
		b.clock.Advance(time.Minute)
		Eventually(b.audit.Sealed).WithPolling(time.Millisecond).Should(Equal(sealed + 1))
	}
}

// jump lets time pass at once, and waits until the instance has sealed what was
// open.
func (b *bed) jump(by time.Duration) {
	sealed := b.audit.Sealed()
	b.clock.Jump(by)
	Eventually(b.audit.Sealed).WithPolling(time.Millisecond).Should(Equal(sealed + 1))
}

func (b *bed) flush() {
	Expect(b.audit.Flush(context.Background())).To(Succeed())
}

func (b *bed) read() []*cairnbayv1.SealedAudit {
	records, err := audit.Read(context.Background(), b.store, b.begin, b.end(), audit.Filter{})
	Expect(err).NotTo(HaveOccurred())
	return records
}

func (b *bed) keys() []string {
	listing, err := b.store.List(context.Background(), "audit/")
	if err != nil {
		return nil
	}
	var keys []string
	for _, entry := range listing.Entries {
		keys = append(keys, entry.Key)
	}
	return keys
}

func (b *bed) end() time.Time {
	return b.clock.Wall().Add(time.Second)
}

func (b *bed) verify(records []*cairnbayv1.SealedAudit) audit.Verified {
	return audit.Verify(records, audit.Check{From: b.begin, To: b.end()})
}

var _ = Describe("Audit", func() {
	It("writes one intact record a minute and a final one", func() {
		bed := newBed(nil)
		bed.minutes(3)
		bed.flush()
		verified := bed.verify(bed.read())
		Expect(verified.Faults).To(BeEmpty())
		Expect(verified.Gaps).To(BeEmpty())
		Expect(verified.Lives).To(HaveLen(1))
		Expect(verified.Lives[0].Records).To(Equal(4))
		Expect(verified.Lives[0].PlannedStop).To(BeTrue())
		Expect(audit.Histogram(verified.Records[0].Waits[0]).TotalCount()).To(Equal(int64(1)))
	})

	It("keeps records through an outage and groups them afterwards", func() {
		bed := newBed(nil)
		bed.store.SetDown(true)
		bed.minutes(30)
		Expect(bed.keys()).To(BeEmpty())
		bed.store.SetDown(false)
		bed.flush()
		// The instance's own writer may take the first part before the flush.
		Expect(len(bed.keys())).To(BeNumerically("<=", 2))
		verified := bed.verify(bed.read())
		Expect(verified.Faults).To(BeEmpty())
		Expect(verified.Lives[0].Records).To(Equal(31))
	})

	It("declares what an outage beyond its memory bound cost", func() {
		bed := newBed(func(config *audit.Config) { config.MaxPendingBytes = 2000 })
		bed.store.SetDown(true)
		bed.minutes(40)
		bed.store.SetDown(false)
		bed.minutes(1)
		bed.flush()
		verified := bed.verify(bed.read())
		Expect(verified.Faults).To(BeEmpty())
		Expect(verified.Gaps).NotTo(BeEmpty())
		for _, gap := range verified.Gaps {
			Expect(gap.Cause).To(Equal(audit.GapBufferFull))
		}
	})

	It("settles a write whose answer was lost without writing twice", func() {
		bed := newBed(nil)
		bed.store.LoseAnswers(1)
		bed.minutes(2)
		bed.flush()
		Expect(bed.verify(bed.read()).Faults).To(BeEmpty())
		Expect(bed.verify(bed.read()).Lives[0].Records).To(Equal(3))
	})

	It("shows a pause of the process and an unplanned end as gaps", func() {
		bed := newBed(nil)
		bed.minutes(1)
		sealed := bed.audit.Sealed()
		bed.clock.Jump(10 * time.Minute)
		Eventually(bed.audit.Sealed).Should(Equal(sealed + 1))
		Eventually(bed.keys).Should(HaveLen(2))
		bed.clock.Advance(5 * time.Second)
		verified := audit.Verify(bed.read(), audit.Check{From: bed.begin, To: bed.end().Add(time.Hour)})
		Expect(verified.Faults).To(BeEmpty())
		Expect(verified.Gaps).To(HaveLen(2))
		Expect(verified.Gaps[0].Cause).To(Equal(audit.GapPaused))
		Expect(verified.Gaps[1].Cause).To(Equal(audit.GapNoFinalRecord))
	})

	It("bounds labels and exceptions and declares what it left out", func() {
		bed := newBed(func(config *audit.Config) { config.MaxLabelSets, config.MaxExceptions = 16, 2 })
		for _, team := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q"} {
			bed.audit.ObserveWait(cairnbay.Labels{Team: team}, time.Second)
		}
		for range 3 {
			bed.audit.RecordException(cairnbay.Exception{Name: "takeover"})
		}
		bed.flush()
		verified := bed.verify(bed.read())
		var total int64
		for _, wait := range verified.Records[0].Waits {
			total += audit.Histogram(wait).TotalCount()
		}
		Expect(total).To(Equal(int64(17)))
		Expect(verified.Records[0].Exceptions).To(HaveLen(2))
		var causes []string
		for _, gap := range verified.Gaps {
			causes = append(causes, gap.Cause)
		}
		Expect(causes).To(ConsistOf(audit.GapTooManyLabels, audit.GapTooManyExceptions))
	})
})

var _ = Describe("Verify", func() {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	other := ed25519.NewKeyFromSeed([]byte("0123456789abcdef0123456789abcdef"))

	type scenario struct {
		name   string
		change func(records []*cairnbayv1.SealedAudit) []*cairnbayv1.SealedAudit
		trust  ed25519.PublicKey
		want   []audit.FaultKind
	}
	reseal := func(sealed *cairnbayv1.SealedAudit, key ed25519.PrivateKey, change func(*cairnbayv1.AuditRecord)) *cairnbayv1.SealedAudit {
		record, err := audit.Open(sealed)
		Expect(err).NotTo(HaveOccurred())
		change(record)
		changed, err := audit.Seal(record, key)
		Expect(err).NotTo(HaveOccurred())
		return changed
	}
	scenarios := []scenario{
		{name: "untouched", change: func(records []*cairnbayv1.SealedAudit) []*cairnbayv1.SealedAudit { return records }},
		{
			name: "a flipped bit",
			change: func(records []*cairnbayv1.SealedAudit) []*cairnbayv1.SealedAudit {
				records[2].Body[len(records[2].Body)/2] ^= 1
				return records
			},
			want: []audit.FaultKind{audit.FaultTampered, audit.FaultMissing},
		},
		{
			name: "a record rewritten with a digest of its own and no key",
			change: func(records []*cairnbayv1.SealedAudit) []*cairnbayv1.SealedAudit {
				records[2] = reseal(records[2], nil, func(record *cairnbayv1.AuditRecord) { record.Waits = nil })
				return records
			},
			want: []audit.FaultKind{audit.FaultUnsigned, audit.FaultBrokenLink},
		},
		{
			name: "the last record rewritten with another key",
			change: func(records []*cairnbayv1.SealedAudit) []*cairnbayv1.SealedAudit {
				last := len(records) - 1
				records[last] = reseal(records[last], other, func(record *cairnbayv1.AuditRecord) { record.Exceptions = nil })
				return records
			},
			trust: key.Public().(ed25519.PublicKey),
			want:  []audit.FaultKind{audit.FaultUntrusted},
		},
		{
			name: "a signature moved to another record",
			change: func(records []*cairnbayv1.SealedAudit) []*cairnbayv1.SealedAudit {
				records[2].Signature = records[1].Signature
				return records
			},
			want: []audit.FaultKind{audit.FaultTampered, audit.FaultMissing},
		},
		{
			name: "a record taken out",
			change: func(records []*cairnbayv1.SealedAudit) []*cairnbayv1.SealedAudit {
				return append(records[:2:2], records[3:]...)
			},
			want: []audit.FaultKind{audit.FaultMissing},
		},
		{
			name: "the first records taken out",
			change: func(records []*cairnbayv1.SealedAudit) []*cairnbayv1.SealedAudit {
				return records[2:]
			},
			want: []audit.FaultKind{audit.FaultMissing},
		},
		{
			name: "two records swapped",
			change: func(records []*cairnbayv1.SealedAudit) []*cairnbayv1.SealedAudit {
				records[1], records[2] = records[2], records[1]
				return records
			},
			want: []audit.FaultKind{audit.FaultReordered},
		},
		{
			name: "a second record of one minute",
			change: func(records []*cairnbayv1.SealedAudit) []*cairnbayv1.SealedAudit {
				twin := reseal(records[2], key, func(record *cairnbayv1.AuditRecord) { record.Waits = nil })
				return append(records[:3:3], append([]*cairnbayv1.SealedAudit{twin}, records[3:]...)...)
			},
			want: []audit.FaultKind{audit.FaultDuplicate},
		},
		{
			name: "a record kept twice unchanged",
			change: func(records []*cairnbayv1.SealedAudit) []*cairnbayv1.SealedAudit {
				return append(records[:3:3], records[2:]...)
			},
		},
	}
	for _, scenario := range scenarios {
		It("finds "+scenario.name, func() {
			bed := newBed(func(config *audit.Config) { config.SigningKey = key })
			bed.minutes(5)
			bed.flush()
			check := audit.Check{From: bed.begin, To: bed.end()}
			if scenario.trust != nil {
				check.TrustedKeys = []ed25519.PublicKey{scenario.trust}
			}
			verified := audit.Verify(scenario.change(bed.read()), check)
			var kinds []audit.FaultKind
			for _, fault := range verified.Faults {
				kinds = append(kinds, fault.Kind)
			}
			Expect(kinds).To(Equal(scenario.want))
		})
	}

	It("shows the end of the records taken away as time not covered", func() {
		bed := newBed(nil)
		bed.minutes(5)
		bed.flush()
		records := bed.read()
		verified := audit.Verify(records[:3], audit.Check{From: bed.begin, To: bed.end()})
		Expect(verified.Faults).To(BeEmpty())
		Expect(verified.Gaps).To(HaveLen(1))
		Expect(verified.Gaps[0].Cause).To(Equal(audit.GapNoFinalRecord))
	})
})

var _ = Describe("Histogram", func() {
	It("keeps the waiting times to two digits, as the library does", func() {
		bed := newBed(nil)
		direct := hdrhistogram.New(1, (24 * time.Hour).Microseconds(), 2)
		random := rand.New(rand.NewPCG(7, 7))
		for range 10_000 {
			waited := time.Duration(math.Exp(random.Float64()*25)) * time.Microsecond
			bed.audit.ObserveWait(quoting, waited)
			Expect(direct.RecordValue(min(waited, 24*time.Hour).Microseconds())).To(Succeed())
		}
		bed.flush()
		kept := audit.Histogram(bed.verify(bed.read()).Records[0].Waits[0])
		Expect(kept.TotalCount()).To(Equal(direct.TotalCount()))
		for _, percent := range []float64{1, 50, 90, 99, 99.9, 100} {
			Expect(kept.ValueAtQuantile(percent)).To(Equal(direct.ValueAtQuantile(percent)))
		}
	})
})

package keys_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay/internal/fake/keys"
)

func TestKeys(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keys")
}

// Guards against a checker that misses an answer of an old version, or that blames one
// that may be right.
var _ = Describe("the book of keys", func() {
	const bound = 3 * time.Second
	var (
		book       *keys.Book
		first, now string
	)
	at := func(moment time.Duration) func() time.Duration { return func() time.Duration { return moment } }
	publish := func(moment time.Duration) {
		book.Publish(at(moment), func(int, []keys.Workspace) {})
	}
	BeforeEach(func() {
		book = keys.New(1, rand.New(rand.NewPCG(1, 1)))
		first = book.Key(0)
		publish(10 * time.Second)
		book.Rotate(0)
		now = book.Key(0)
		publish(20 * time.Second)
	})

	DescribeTable("judges an answer by the versions that may be in force",
		func(ofFirst bool, sent, answered time.Duration, accepted, bounded, right bool) {
			call := keys.Call{Key: now, SentAt: sent, AnsweredAt: answered, Accepted: accepted, Rejected: !accepted}
			if ofFirst {
				call.Key = first
			}
			limit := time.Duration(0)
			if bounded {
				limit = bound
			}
			Expect(book.Judge(call, limit) == "").To(Equal(right), "%s", book.Judge(call, limit))
		},
		Entry("withdrawn key accepted before the bound", true, 22*time.Second, 22*time.Second, true, true, true),
		Entry("withdrawn key rejected before the bound", true, 22*time.Second, 22*time.Second, false, true, true),
		Entry("withdrawn key accepted after the bound", true, 24*time.Second, 24*time.Second, true, true, false),
		Entry("withdrawn key accepted during faults", true, 24*time.Second, 24*time.Second, true, false, true),
		Entry("withdrawn key rejected before it was", true, 19*time.Second, 19*time.Second, false, true, false),
		Entry("withdrawn key rejected by a late answer", true, 19*time.Second, 21*time.Second, false, true, true),
		Entry("added key rejected after the bound", false, 24*time.Second, 24*time.Second, false, true, false),
		Entry("added key rejected before the bound", false, 22*time.Second, 22*time.Second, false, true, true),
		Entry("added key accepted before it was added", false, 15*time.Second, 16*time.Second, true, false, false),
	)

	It("blames any call that is accepted with a key that no configuration held", func() {
		for _, key := range []string{book.Invent(), ""} {
			Expect(book.Judge(keys.Call{Key: key, SentAt: time.Hour, AnsweredAt: time.Hour, Accepted: true}, 0)).NotTo(BeEmpty())
			Expect(book.Judge(keys.Call{Key: key, SentAt: time.Hour, AnsweredAt: time.Hour, Rejected: true}, bound)).To(BeEmpty())
		}
	})
})

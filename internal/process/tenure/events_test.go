package tenure

import (
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/timer"
)

var _ = Describe("owner events", func() {
	var t *Tenure
	BeforeEach(func() {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		t = &Tenure{
			config: Config{Instance: "self", BootTime: timer.Boot, Log: logger.WithField("test", true), OnLost: func(Claim) {}},
			owners: make(map[string]Owner), ownerRevisions: make(map[string]cairnbay.Revision),
			claims: make(map[string]Claim), changed: make(chan struct{}), wake: make(chan struct{}, 1),
		}
		t.claimDelayStart = make(map[string]time.Duration)
	})
	observeOwner := func(instance string, generation uint64, revision cairnbay.Revision) {
		value, err := proto.Marshal(&cairnbayv1.Holding{Instance: instance, Generation: generation})
		Expect(err).NotTo(HaveOccurred())
		t.onChange([]cairnbay.Event{{Kind: cairnbay.EventPut, Entry: cairnbay.Entry{
			Key: ownerPrefix + "c", Value: value, Revision: revision,
		}}})
	}

	It("are not overwritten by the late result of an older write of this instance", func() {
		observeOwner("other", 8, 20)
		t.mu.Lock()
		t.setOwner("c", Owner{"self", "a", 7, 19})
		t.mu.Unlock()
		owner, ok := t.Owner("c")
		Expect(ok).To(BeTrue())
		Expect(owner.Instance).To(Equal("other"))
	})

	It("are ignored if older than the owner that is already stored", func() {
		t.mu.Lock()
		t.setOwner("c", Owner{"self", "a", 7, 19})
		t.mu.Unlock()
		t.onChange([]cairnbay.Event{{Kind: cairnbay.EventDelete, Entry: cairnbay.Entry{Key: ownerPrefix + "c", Revision: 18}}})
		_, ok := t.Owner("c")
		Expect(ok).To(BeTrue())
		t.onChange([]cairnbay.Event{{Kind: cairnbay.EventDelete, Entry: cairnbay.Entry{Key: ownerPrefix + "c", Revision: 19}}})
		_, ok = t.Owner("c")
		Expect(ok).To(BeFalse())
	})
})

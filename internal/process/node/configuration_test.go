package node

import (
	"io"
	"strconv"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
)

var _ = Describe("the adoption of configurations", func() {
	// Guards against an older version that replaces a newer one when the store and
	// another instance report versions at the same time.
	It("never goes back, whatever the source and the order", func() {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		n := &Node{config: Config{Log: logger.WithField("test", true), Platform: Platform{
			RoutingKey: "config",
			DecodeRouting: func(value []byte) (cairnbay.Routing, error) {
				version, err := strconv.ParseUint(string(value), 10, 64)
				return cairnbay.Routing{Version: version, KeysRequired: true}, err
			},
			DigestKeys: func(value []byte) ([]byte, error) { return value, nil },
		}}}
		const versions = 400
		var sources sync.WaitGroup
		for source := range 4 {
			sources.Go(func() {
				defer GinkgoRecover()
				last := uint64(0)
				for step := range versions {
					// The sources go up in other orders, each now and then back.
					version := []byte(strconv.Itoa(max(step-step*(source+3)%7, 0) + 1))
					if source == 0 {
						n.applyRouting([]cairnbay.Event{{Kind: cairnbay.EventPut, Entry: cairnbay.Entry{Key: "config", Value: version}}})
					} else {
						n.adoptPulled(version)
					}
					current := n.routing.Load().Version
					Expect(current).To(BeNumerically(">=", last))
					last = current
				}
			})
		}
		sources.Wait()
		version, value := n.currentRouting()
		Expect(version).To(Equal(n.routing.Load().Version))
		Expect(string(value)).To(Equal(strconv.FormatUint(version, 10)))
		n.adoptPulled([]byte("not a number"))
		n.adoptPulled([]byte("3"))
		Expect(n.routing.Load().Version).To(Equal(version))
	})
})

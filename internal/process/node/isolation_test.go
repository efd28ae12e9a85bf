package node

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay/internal/process/tenure"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

var _ = Describe("the check of an instance that may be cut off", func() {
	silent := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	refused := func(context.Context) error { return errors.New("connection refused") }
	answers := func(context.Context) error { return nil }

	It("succeeds as soon as one call does", func() {
		startedAt := time.Now()
		Expect(anySucceeds([]func(context.Context) error{silent, refused, answers})).To(BeTrue())
		Expect(time.Since(startedAt)).To(BeNumerically("<", reachTimeout/2))
	})

	It("fails in bounded time when nothing answers", func() {
		startedAt := time.Now()
		Expect(anySucceeds([]func(context.Context) error{silent, refused})).To(BeFalse())
		Expect(time.Since(startedAt)).To(BeNumerically("<", 2*reachTimeout))
	})

	It("calls instances of every other data centre before a second one of any", func() {
		nodes := []tenure.Node{
			{Address: "a1", DataCentre: "a"},
			{Address: "b1", DataCentre: "b"},
			{Address: "b2", DataCentre: "b"},
			{Address: "b3", DataCentre: "b"},
			{Address: "c1", DataCentre: "c"},
			{Address: "d1", DataCentre: "d"},
		}
		Expect(remoteAddresses(nodes, "a")).To(Equal([]string{"b1", "c1", "d1", "b2"}))
		Expect(remoteAddresses(nodes[:1], "a")).To(BeEmpty())
	})
})

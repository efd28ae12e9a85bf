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

	It("calls one instance of every other data centre, spread by seed", func() {
		nodes := []tenure.Node{
			{Address: "a1", DataCentre: "a"},
			{Address: "b1", DataCentre: "b"},
			{Address: "b2", DataCentre: "b"},
			{Address: "c1", DataCentre: "c"},
			{Address: "d1", DataCentre: "d"},
			{Address: "e1", DataCentre: "e"},
		}
		Expect(remoteAddresses(nodes, "a", 0)).To(Equal([]string{"b1", "c1", "d1"}))
		Expect(remoteAddresses(nodes, "a", 1)).To(Equal([]string{"b2", "c1", "d1"}))
		Expect(remoteAddresses(nodes[:1], "a", 0)).To(BeEmpty())
	})
})

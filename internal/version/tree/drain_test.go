package tree_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/version/tree"
)

var _ = Describe("WithDrain", func() {
	worker := cairnbay.Drain{Kind: cairnbay.DrainWorker, ID: "w1"}
	dataCentre := cairnbay.Drain{Kind: cairnbay.DrainDataCentre, ID: "pdx-hall"}
	empty := func() *tree.Tree {
		built, err := tree.New(nil, nil)
		Expect(err).NotTo(HaveOccurred())
		return built
	}
	drained := func(before *tree.Tree, drain cairnbay.Drain, undo bool) *tree.Tree {
		changed, err := before.WithDrain(drain, undo)
		Expect(err).NotTo(HaveOccurred())
		return changed
	}

	It("adds the same drain only once and removes a drain", func() {
		both := drained(drained(drained(empty(), worker, false), dataCentre, false), worker, false)
		Expect(both.Drains).To(Equal([]cairnbay.Drain{dataCentre, worker}))
		Expect(drained(both, dataCentre, true).Drains).To(Equal([]cairnbay.Drain{worker}))
	})

	It("preserves drains in encoding, edits and a merge with another operator's drain", func() {
		base := empty()
		mine, theirs := drained(base, worker, false), drained(base, dataCentre, false)
		merged, err := tree.Merge(base, mine, theirs)
		Expect(err).NotTo(HaveOccurred())
		Expect(merged.Drains).To(Equal([]cairnbay.Drain{dataCentre, worker}))

		content, err := merged.Encode()
		Expect(err).NotTo(HaveOccurred())
		decoded, err := tree.Decode(content)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Drains).To(Equal(merged.Drains))

		edited, err := base.WithEdits(tree.Edits(base, merged))
		Expect(err).NotTo(HaveOccurred())
		Expect(edited.Drains).To(Equal(merged.Drains))

		settings, err := merged.Resolve(2)
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Drains).To(Equal(merged.Drains))
	})

	It("rejects an unknown kind and an empty ID", func() {
		_, err := empty().WithDrain(cairnbay.Drain{Kind: "rack", ID: "r1"}, false)
		Expect(err).To(MatchError(ContainSubstring(`drain kind "rack" is not one of instance, worker, data_centre`)))
		_, err = empty().WithDrain(cairnbay.Drain{Kind: cairnbay.DrainWorker}, false)
		Expect(err).To(MatchError(cairnbay.ErrInvalid))
	})
})

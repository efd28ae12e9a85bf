package tree_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/version/tree"
)

var _ = Describe("Drained", func() {
	worker := cairnbay.Drain{Kind: cairnbay.DrainWorker, ID: "w1"}
	hall := cairnbay.Drain{Kind: cairnbay.DrainDataCentre, ID: "pdx-hall"}
	empty := func() *tree.Tree {
		built, err := tree.New(nil, nil)
		Expect(err).NotTo(HaveOccurred())
		return built
	}
	drained := func(from *tree.Tree, drain cairnbay.Drain, undo bool) *tree.Tree {
		changed, err := from.WithDrain(drain, undo)
		Expect(err).NotTo(HaveOccurred())
		return changed
	}

	It("adds a drain once and takes it away", func() {
		both := drained(drained(drained(empty(), worker, false), hall, false), worker, false)
		Expect(both.Drains).To(Equal([]cairnbay.Drain{hall, worker}))
		Expect(drained(both, hall, true).Drains).To(Equal([]cairnbay.Drain{worker}))
	})

	It("survives the store, edits and a merge with another operator's drain", func() {
		base := empty()
		mine, theirs := drained(base, worker, false), drained(base, hall, false)
		merged, err := tree.Merge(base, mine, theirs)
		Expect(err).NotTo(HaveOccurred())
		Expect(merged.Drains).To(Equal([]cairnbay.Drain{hall, worker}))

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

	It("refuses an unknown kind and an empty ID", func() {
		_, err := empty().WithDrain(cairnbay.Drain{Kind: "rack", ID: "r1"}, false)
		Expect(err).To(MatchError(ContainSubstring(`drain kind "rack" is none of instance, worker, data_centre`)))
		_, err = empty().WithDrain(cairnbay.Drain{Kind: cairnbay.DrainWorker}, false)
		Expect(err).To(MatchError(cairnbay.ErrInvalid))
	})
})

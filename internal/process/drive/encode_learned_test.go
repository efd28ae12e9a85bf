package drive

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"cairnbay/internal/process/learn"
)

var _ = Describe("the record of learned run times", func() {
	state := func(kinds, workers int, name string) (state learn.State) {
		for n := range kinds {
			state.Kinds = append(state.Kinds, learn.KindState{
				Kind: learn.Kind{Queue: fmt.Sprint(name, n), Image: name, Width: 4}, Mean: 0.5, Variance: 0.25, Weight: 8,
			})
		}
		for n := range workers {
			state.Workers = append(state.Workers, learn.WorkerState{ID: fmt.Sprint(name, n), Mean: -0.5, Variance: 0.125, Weight: 64})
		}
		return state
	}

	It("holds 300 workers and 50 kinds in 32 KB", func() {
		full := state(50, 300, strings.Repeat("n", 40))
		message := encodeLearned(full)
		Expect(decodeLearned(message)).To(Equal(full))
		Expect(proto.Size(message)).To(BeNumerically("<=", maxLearnedBytes))
	})

	It("leaves out what exceeds 32 KB", func() {
		// Guards against values that grow with the names in a configuration.
		message := encodeLearned(state(50, 300, strings.Repeat("n", 400)))
		Expect(proto.Size(message)).To(BeNumerically("<=", maxLearnedBytes))
		Expect(message.GetWorkers()).NotTo(BeEmpty())
	})
})

package drive_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/drive"
)

// Guards against a worker that counts as refused because its former run got the ticket.
var _ = Describe("the tickets of a call about two runs of one worker", func() {
	It("go to both, and none to workers that were not asked about", func() {
		tickets := drive.TicketsByID(
			[]cairnbay.Ticket{{Worker: "w", Ticket: "t"}, {Worker: "x", Ticket: "u"}}, []string{"w@2", "w@1", "v@1"})
		Expect(tickets).To(Equal([]cairnbay.Ticket{{Worker: "w@2", Ticket: "t"}, {Worker: "w@1", Ticket: "t"}}))
	})
})

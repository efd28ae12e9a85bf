package logq_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay/internal/process/logq"
)

func TestLogq(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logq")
}

// gate holds each write back until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(text []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(text)
}

var _ = Describe("the queue of log lines", func() {
	It("writes lines in order", func() {
		out := &gate{open: make(chan struct{})}
		close(out.open)
		lines := logq.New(logq.Config{Out: out, MaxLines: 100})
		want := ""
		for n := range 50 {
			line := fmt.Sprintln(n)
			want += line
			_, err := lines.Write([]byte(line))
			Expect(err).NotTo(HaveOccurred())
		}
		lines.Close()
		Expect(out.text.String()).To(Equal(want))
		Expect(lines.Dropped()).To(BeZero())
	})

	It("drops and counts lines rather than wait for a slow reader", func() {
		out := &gate{open: make(chan struct{})}
		lines := logq.New(logq.Config{Out: out, MaxLines: 10})
		// One write of 32 KiB may be under way, beside the lines that wait.
		line := append(bytes.Repeat([]byte("x"), 1023), '\n')
		for range 200 {
			_, err := lines.Write(line)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(lines.Dropped()).To(BeNumerically(">=", 200-33-10))
		close(out.open)
		lines.Close()
	})
})

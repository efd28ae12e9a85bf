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

// blockingWriter blocks each write until open is closed.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *blockingWriter) Write(text []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(text)
}

var _ = Describe("the queue of log lines", func() {
	It("writes lines in order", func() {
		out := &blockingWriter{open: make(chan struct{})}
		close(out.open)
		lines := logq.New(logq.Config{Out: out, MaxLines: 100})
		expected := ""
		for n := range 50 {
			line := fmt.Sprintln(n)
			expected += line
			_, err := lines.Write([]byte(line))
			Expect(err).NotTo(HaveOccurred())
		}
		lines.Close()
		Expect(out.text.String()).To(Equal(expected))
		Expect(lines.Dropped()).To(BeZero())
	})

	It("drops and counts lines rather than block on a slow reader", func() {
		out := &blockingWriter{open: make(chan struct{})}
		lines := logq.New(logq.Config{Out: out, MaxLines: 10})
		// One write of 32 KiB, at most 33 lines, may be under way, besides the 10
		// queued lines.
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

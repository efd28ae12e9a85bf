package listen

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus/hooks/test"

	"cairnbay/internal/fake/clock"
)

// The errors of a misconfigured peer that retries are logged once per interval,
// with the number of suppressed lines.
func TestErrorLog(t *testing.T) {
	expect := gomega.NewWithT(t)
	fakeClock := clock.New()
	log, hook := test.NewNullLogger()
	logger := &errorLog{clock: fakeClock, log: log.WithField("instance", "e1")}
	writeError := func(times int) {
		for range times {
			_, err := logger.Write([]byte("http: TLS handshake error from 127.0.0.1:9: bad certificate\n"))
			expect.Expect(err).NotTo(gomega.HaveOccurred())
		}
	}
	writeError(50)
	expect.Expect(hook.AllEntries()).To(gomega.HaveLen(1))
	expect.Expect(hook.LastEntry().Message).To(gomega.Equal("http: TLS handshake error from 127.0.0.1:9: bad certificate"))
	fakeClock.Advance(serverErrorInterval - time.Second)
	writeError(1)
	expect.Expect(hook.AllEntries()).To(gomega.HaveLen(1))
	fakeClock.Advance(time.Second)
	writeError(1)
	expect.Expect(hook.AllEntries()).To(gomega.HaveLen(2))
	expect.Expect(hook.LastEntry().Data["left_out"]).To(gomega.Equal(50))
}

package logq_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"cairnbay/internal/process/logq"
)

var _ = Describe("the format of log lines", func() {
	It("is that of logrus.JSONFormatter", func() {
		const stamp = "15:04:05.000"
		ours, theirs := &logq.Formatter{TimestampFormat: stamp}, &logrus.JSONFormatter{TimestampFormat: stamp}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			entry := &logrus.Entry{
				Logger: logrus.New(), Level: logrus.WarnLevel, Time: time.UnixMilli(rapid.Int64Range(0, 1<<40).Draw(t, "time")),
				Message: rapid.String().Draw(t, "message"),
				Data: logrus.Fields{
					"text": rapid.String().Draw(t, "text"), "error": errors.New(rapid.String().Draw(t, "error")),
					"int": rapid.Int().Draw(t, "int"), "long": rapid.Int64().Draw(t, "long"), "token": rapid.Uint64().Draw(t, "token"),
					"flag": rapid.Bool().Draw(t, "flag"), "list": []string{"a", "b"}, "share": 0.5, "nothing": nil,
				},
			}
			line, err := ours.Format(entry)
			Expect(err).NotTo(HaveOccurred())
			expected, err := theirs.Format(entry)
			Expect(err).NotTo(HaveOccurred())
			var got, want map[string]any
			Expect(json.Unmarshal(line, &got)).To(Succeed())
			Expect(json.Unmarshal(expected, &want)).To(Succeed())
			Expect(got).To(Equal(want))
			Expect(line[len(line)-1]).To(Equal(byte('\n')))
		})
	})

	It("does not lose a line to a field named like one of its own", func() {
		line, err := (&logq.Formatter{}).Format(&logrus.Entry{Logger: logrus.New(), Message: "m", Data: logrus.Fields{"msg": "other"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Valid(line)).To(BeTrue())
		Expect(string(line)).To(ContainSubstring(`"msg":"m"`))
	})
})

func BenchmarkFormat(b *testing.B) {
	formatter := &logq.Formatter{TimestampFormat: "15:04:05.000"}
	entry := &logrus.Entry{Logger: logrus.New(), Message: "attempt started", Time: time.Now(), Data: logrus.Fields{
		"job": "5c0e7a21d94b36f8", "task": "0.1.17", "attempt": 2, "worker": "i-d3a5531ac5", "waited_ms": int64(31), "resumed": false,
	}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := formatter.Format(entry); err != nil {
			b.Fatal(err)
		}
	}
}

package meter_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay/internal/fake/clock"
	"cairnbay/internal/process/audit"
	"cairnbay/internal/process/meter"
)

func TestMeter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "meter")
}

func find(samples []audit.Sample, name string) (found audit.Sample, ok bool) {
	for _, sample := range samples {
		if sample.Name == name {
			return sample, true
		}
	}
	return found, false
}

var _ = Describe("Meter", func() {
	It("counts the bytes of dialled and accepted connections by purpose and reports rates", func() {
		fakeClock, set := clock.New(), metrics.NewSet()
		trafficMeter := meter.New(meter.Config{Clock: fakeClock, Metrics: set})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &httptest.Server{
			Listener: trafficMeter.Listener(meter.PurposeMembers, listener),
			Config: &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				body, _ := io.ReadAll(request.Body)
				_, _ = writer.Write(body)
			})},
		}
		server.Start()
		defer server.Close()
		client := &http.Client{Transport: &http.Transport{DialContext: trafficMeter.Dial(meter.PurposeStore, nil)}}
		response, err := client.Post(server.URL, "text/plain", bytes.NewReader(make([]byte, 50_000)))
		Expect(err).NotTo(HaveOccurred())
		echoed, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(echoed).To(HaveLen(50_000))

		fakeClock.Advance(10 * time.Second)
		samples := trafficMeter.Samples()
		for _, name := range []string{"control_wire_members", "control_wire_store"} {
			sample, ok := find(samples, name)
			Expect(ok).To(BeTrue())
			Expect(sample.Value).To(BeNumerically("~", 10, 0.1), "50 KB each way in 10 s, plus HTTP headers")
		}
		memory, _ := find(samples, "control_memory")
		Expect(memory.Value).To(BeNumerically(">", 0))
		Expect(trafficMeter.Samples()).To(BeEmpty())

		trafficMeter.Busy(meter.PurposePlacing, 2*time.Second)
		var exposition bytes.Buffer
		set.WritePrometheus(&exposition)
		Expect(exposition.String()).To(ContainSubstring(`cairnbay_control_busy_seconds{purpose="placing"} 2`))
		Expect(exposition.String()).To(ContainSubstring(`cairnbay_control_wire_bytes{purpose="store",direction="out"}`))
	})

	It("reports no sample for the traffic of callers", func() {
		fakeClock := clock.New()
		trafficMeter := meter.New(meter.Config{Clock: fakeClock})
		trafficMeter.Dial(meter.PurposeCallers, nil)
		fakeClock.Advance(time.Second)
		_, ok := find(trafficMeter.Samples(), "control_wire_callers")
		Expect(ok).To(BeFalse())
	})
})

package route_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cairnbay/internal/request/route"
)

var _ http.Handler = (*route.Router)(nil)

// caller is one open connection to a server.
type caller struct {
	conn       net.Conn
	reader     *bufio.Reader
	rawRequest []byte
}

func dial(address, method string) (*caller, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	rawRequest := fmt.Appendf(nil, "%s /%s/price?body_bytes=100 HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", method, service, address)
	return &caller{conn: conn, reader: bufio.NewReader(conn), rawRequest: rawRequest}, nil
}

func (c *caller) send() error {
	if _, err := c.conn.Write(c.rawRequest); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure sends b.N requests over the open connections, concurrency of them at a
// time, and reports latency and processor time.
func measure(b *testing.B, address, method string, connections, concurrency int) {
	callers := make([]*caller, connections)
	for i := range callers {
		opened, err := dial(address, method)
		if err != nil {
			b.Skipf("connection %d of %d: %v", i, connections, err)
		}
		defer opened.conn.Close()
		callers[i] = opened
	}
	for _, caller := range callers[:min(connections, 200)] {
		if err := caller.send(); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime()
	for worker := range concurrency {
		group.Go(func() {
			workerHistogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			for i := worker; i < b.N; i += concurrency {
				caller := callers[(i/concurrency*concurrency+worker)%connections]
				start := time.Now()
				if err := caller.send(); err != nil {
					b.Error(err)
					return
				}
				_ = workerHistogram.RecordValue(time.Since(start).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			histogram.Merge(workerHistogram)
		})
	}
	group.Wait()
	b.StopTimer()
	used := processorTime() - before
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/op")
}

// plainProxy forwards requests with net/http alone: the lowest cost of a proxy with
// this library.
func plainProxy(address string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		request.URL.Scheme, request.URL.Host, request.RequestURI = "http", address, ""
		response, err := transport.RoundTrip(request)
		if err != nil {
			writer.WriteHeader(http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		maps.Copy(writer.Header(), response.Header)
		writer.WriteHeader(response.StatusCode)
		_, _ = io.Copy(writer, response.Body)
	})
}

// BenchmarkPath compares requests through the router with requests sent directly to
// a runner and through a plain proxy, for several numbers of open connections.
// Processor time includes caller, proxy and runner.
func BenchmarkPath(b *testing.B) {
	h := newHarness(harnessConfig{runners: 8, peaksOnly: true})
	defer h.close()
	proxy := httptest.NewServer(plainProxy(h.runners[0].Instance().Address))
	defer proxy.Close()
	paths := []struct{ name, address string }{
		{"direct", h.runners[0].Instance().Address},
		{"plain", proxy.Listener.Addr().String()},
		{"routed", h.server.Listener.Addr().String()},
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, connections := range []int{1, 16, 1000, 9000} {
			for _, path := range paths {
				b.Run(fmt.Sprintf("%s/open=%d/%s", method, connections, path.name), func(b *testing.B) {
					measure(b, path.address, method, connections, min(connections, 8))
				})
			}
		}
	}
}

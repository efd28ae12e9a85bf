package listen

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus/hooks/test"

	"cairnbay"
	"cairnbay/internal/process/timer"
)

const bodyLimit = 64 << 10

// start serves requests whose responses name the outcome of ReadBody. The returned function
// opens a connection, sends text and returns it.
func start(t *testing.T, limits Limits) (send func(text string) net.Conn) {
	expect := gomega.NewWithT(t)
	log, _ := test.NewNullLogger()
	clock := timer.New()
	t.Cleanup(clock.Close)
	server, err := New(Config{
		Name: "callers", Address: "127.0.0.1:0", Limits: limits, Clock: clock, Log: log.WithField("instance", "e1"), Metrics: metrics.NewSet(),
	})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		_ = server.Serve(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			body, err := ReadBody(writer, request, bodyLimit, time.Now().Add(300*time.Millisecond))
			if err == nil {
				err = Reserve(request.Context(), int64(len(body)))
			}
			writer.Header().Set("Connection", "close")
			_, _ = fmt.Fprintf(writer, "%d bytes, %v", len(body), err)
		}))
	}()
	return func(text string) net.Conn {
		conn, err := net.Dial("tcp", server.Address())
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, text)
		return conn
	}
}

func receive(conn net.Conn) string {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, _ := io.ReadAll(conn)
	return string(response)
}

func post(length, sent int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent))
}

func TestReadBody(t *testing.T) {
	send := start(t, Limits{Connections: 100, MemoryBytes: 1 << 20, WorkBytes: 32 << 10, HeaderBytes: 4 << 10, HeaderTimeout: time.Second})
	for name, expected := range map[string]struct{ text, response string }{
		"whole":           {post(1000, 1000), "1000 bytes, <nil>"},
		"of largest size": {post(bodyLimit, bodyLimit), "65536 bytes, overloaded"},
		"too large":       {post(bodyLimit+1, 10), "0 bytes, too large"},
		"too many chunks": {
			"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n", 17),
			"65536 bytes, too large",
		},
		"late":           {post(1000, 999), "deadline cannot be met"},
		"large header":   {"GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("a", 9<<10) + "\r\n\r\n", "431 "},
		"without a body": {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "0 bytes, <nil>"},
	} {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(receive(send(expected.text))).To(gomega.ContainSubstring(expected.response))
		})
	}
}

// Clients that stop within their bodies yield to one that does not, and none is closed while
// there is room.
func TestEviction(t *testing.T) {
	for name, limits := range map[string]Limits{
		"by connections": {Connections: 4, MemoryBytes: 16 << 20, HeaderBytes: 4 << 10},
		"by memory":      {Connections: 100, MemoryBytes: 4*(connectionBytes+bodyWeight*40_000) + 100<<10, HeaderBytes: 4 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			limits.WorkBytes = limits.MemoryBytes
			send := start(t, limits)
			for range 20 {
				send(post(50_000, 40_000))
			}
			expect.Expect(receive(send(post(1000, 1000)))).To(gomega.ContainSubstring("1000 bytes, <nil>"))
		})
	}
}

func TestCostliest(t *testing.T) {
	expect := gomega.NewWithT(t)
	large, old, served, recent := &holding{bytes: 1000, since: 8}, &holding{bytes: 100, since: 1}, &holding{bytes: 1e6, serving: 1}, &holding{bytes: 2000, since: 10}
	all := map[*holding]struct{}{large: {}, old: {}, served: {}, recent: {}}
	expect.Expect(costliest(10, 1, all)).To(gomega.Equal([]*holding{large}))
	expect.Expect(costliest(10, 1001, all)).To(gomega.Equal([]*holding{large, old}))
	expect.Expect(costliest(10, 1e6, all)).To(gomega.Equal([]*holding{large, old, recent}))
	expect.Expect(oldest(all, 2)).To(gomega.Equal([]*holding{old, large}))
}

func TestShare(t *testing.T) {
	expect := gomega.NewWithT(t)
	shared := Machine{MemoryBytes: 100 << 20, Descriptors: 2_000}.Share(Limits{HeaderBytes: 1}, 0.5, 0.25, 1<<20)
	expect.Expect(shared).To(gomega.Equal(Limits{HeaderBytes: 1, MemoryBytes: 50 << 20, WorkBytes: 50 << 20 * 3 / 4, Connections: 400}))
	expect.Expect(Machine{}.Share(Limits{}, 0.5, 0.25, 1).Connections).To(gomega.Equal(unlimitedConnections))
	expect.Expect(errors.Is(bodyError(io.ErrUnexpectedEOF), cairnbay.ErrInvalid)).To(gomega.BeTrue())
}

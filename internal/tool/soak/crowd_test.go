package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay/internal/fake/stand"
	"cairnbay/internal/fake/suite"
	"cairnbay/internal/process/timer"
	platformstand "cairnbay/platform/stand"
)

const (
	crowdPort = 26_500
	// instanceMemoryMB and entryMemoryMB are the memory of the machines in these specs.
	instanceMemoryMB, entryMemoryMB = 96, 256
	// plentifulDescriptors are more than any crowd has clients; scarceDescriptors are fewer.
	plentifulDescriptors, scarceDescriptors = 2_000, 600
	// maxJobBytes is the largest body of a submission, maxEntryBytes the default of
	// request.max_body_bytes.
	maxJobBytes, maxEntryBytes = 256 << 10, 8 << 20
	step                       = platformstand.Step
	// maxPiece is more than any request has bytes.
	maxPiece = 1 << 30
)

// padded returns a submission of one step, filled up with spaces.
func padded(size int) string {
	job := `{"spec":"x","steps":[` + step + `]}`
	return job + strings.Repeat(" ", size-len(job))
}

// stepped returns a submission of at most the given size, with as many steps as fit.
func stepped(size int, step string) string {
	count := (size - 32) / (len(step) + 1)
	return `{"spec":"x","steps":[` + strings.Repeat(step+",", count-1) + step + `]}`
}

func post(path, headers, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers + "\r\n" + body
}

func sized(path, body string) string {
	return post(path, fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
}

func chunked(path, body string, size int) string {
	var chunks strings.Builder
	for at := 0; at < len(body); at += size {
		chunk := body[at:min(at+size, len(body))]
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	return post(path, "Transfer-Encoding: chunked\r\n", chunks.String())
}

func allButLastByte(request string) string { return request[:len(request)-1] }

// startInstance runs cairnbay node with one shard of two workers.
func startInstance(program string, descriptors int) *target {
	config := Defaults()
	config.Instances, config.Workers, config.FirstPort, config.Program = 0, 2, crowdPort, program
	config.Folder, config.Out = GinkgoT().TempDir(), GinkgoWriter
	w, err := newWorld(config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(w.close)
	storeAddress, err := w.serve(platformstand.Store(w.store))
	Expect(err).NotTo(HaveOccurred())
	advisor, err := w.serve(platformstand.Advisor(w.policy))
	Expect(err).NotTo(HaveOccurred())
	settings := platformstand.Settings("n0", "127.0.0.1", crowdPort, storeAddress, advisor)
	settings = platformstand.Limit(settings, instanceMemoryMB, descriptors)
	file := filepath.Join(config.Folder, "n0.toml")
	Expect(os.WriteFile(file, []byte(settings), 0o644)).To(Succeed())
	return startTarget(&target{address: w.front(0), memoryMB: instanceMemoryMB, descriptors: descriptors, ordinary: func(number int) *http.Request {
		request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s%016x", w.front(0), prefix, 1<<40+number),
			bytes.NewReader(platformstand.Job(1, 1, taskSize, false)))
		Expect(err).NotTo(HaveOccurred())
		request.Host = host
		request.Header.Set("Deadline-Ms", "3000")
		return request
	}}, nil, program, "node", "-settings", file)
}

// startWithFullQueue is startInstance for a crowd whose jobs fill the queue.
func startWithFullQueue(program string, descriptors int) *target {
	target := startInstance(program, descriptors)
	target.mayHaveFullQueue = true
	return target
}

// startEntry runs cairnbay entry on the stand-ins of the platform.
func startEntry(program string, _ int) *target {
	clock := timer.New()
	DeferCleanup(clock.Close)
	layout, err := stand.FindLayout("vihmavesi")
	Expect(err).NotTo(HaveOccurred())
	platform, err := stand.New(stand.Config{Clock: clock, Layout: layout, StoreListen: "127.0.0.1:0", ListListen: "127.0.0.1:0"})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(platform.Close)
	control := httptest.NewServer(platform.Control())
	DeferCleanup(control.Close)
	address := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", crowdPort+offset) }
	entry := startTarget(&target{address: address(0), memoryMB: entryMemoryMB, descriptors: plentifulDescriptors, ordinary: func(int) *http.Request {
		request, err := http.NewRequest(http.MethodGet, "http://"+address(0)+"/quoting/tank?work_ms=5", nil)
		Expect(err).NotTo(HaveOccurred())
		return request
	}}, []string{fmt.Sprintf("CAIRNBAY_MEMORY_MB=%d", entryMemoryMB)}, program, "entry", "-instance", "e1", "-data-centre", "tallinn-a",
		"-store", platform.StoreAddress, "-list", platform.ListAddress,
		"-callers-address", address(0), "-members-address", address(1), "-operators-address", address(2))
	response, err := http.Post(control.URL+"/instances", "application/json", strings.NewReader(
		`{"id":"e1","kind":"entry","data_centre":"tallinn-a","address":"`+address(1)+`"}`))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(BeNumerically("<", 300))
	Eventually(func() ([]byte, error) {
		return command(program, "apply", "-address", "http://"+address(2), "-why", "first tree", "../../../examples/vihmavesi").CombinedOutput()
	}, "20s", "200ms").ShouldNot(BeNil())
	return entry
}

var _ = Describe("a crowd of clients", Label(suite.Timing), Ordered, ContinueOnFailure, func() {
	var program string
	BeforeAll(func() {
		program = filepath.Join(GinkgoT().TempDir(), "cairnbay")
		out, err := command("go", "build", "-o", program, "cairnbay/cmd/cairnbay").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), "%s", out)
	})

	DescribeTable("leaves the process within its limits, and callers get answers",
		func(start func(program string, descriptors int) *target, descriptors, clients int, request func(path string) string, endless string) {
			target := start(program, descriptors)
			target.withstand(func(ctx context.Context) { gather(ctx, target.address, clients, request, maxPiece, endless) })
		},
		Entry("bodies that lack their last byte", startInstance, plentifulDescriptors, 300,
			func(path string) string { return allButLastByte(sized(path, padded(maxJobBytes))) }, ""),
		Entry("large chunks that lack the last line", startInstance, plentifulDescriptors, 300,
			func(path string) string { return chunked(path, padded(maxJobBytes), 64<<10) }, ""),
		Entry("chunks of a byte that lack the last line", startInstance, plentifulDescriptors, 700,
			func(path string) string { return chunked(path, padded(64<<10), 1) }, ""),
		Entry("whole bodies of spaces", startInstance, plentifulDescriptors, 800,
			func(path string) string { return sized(path, padded(maxJobBytes)) }, ""),
		Entry("whole bodies full of steps", startWithFullQueue, plentifulDescriptors, 300,
			func(path string) string { return sized(path, stepped(maxJobBytes, step)) }, ""),
		Entry("whole bodies full of empty steps", startInstance, plentifulDescriptors, 300,
			func(path string) string { return sized(path, stepped(maxJobBytes, "{}")) }, ""),
		Entry("heads of 1 MB that stop", startInstance, plentifulDescriptors, 300,
			func(path string) string {
				return post(path, strings.Repeat("A: "+strings.Repeat("a", 4_000)+"\r\n", 300), "")[:1<<20]
			}, ""),
		Entry("heads of short lines that stop", startInstance, plentifulDescriptors, 300,
			func(path string) string {
				var lines strings.Builder
				for line := range 40_000 {
					fmt.Fprintf(&lines, "a%x:\r\n", line)
				}
				return allButLastByte(post(path, lines.String(), ""))
			}, ""),
		Entry("heads without end", startInstance, plentifulDescriptors, 300,
			func(path string) string { return strings.TrimSuffix(post(path, "", ""), "\r\n") }, "A: "+strings.Repeat("a", 4_000)+"\r\n"),
		Entry("a line of a head without end", startInstance, plentifulDescriptors, 300,
			func(path string) string { return "POST " + path }, strings.Repeat("a", 4_000)),
		Entry("empty lines without end", startInstance, plentifulDescriptors, 300,
			func(string) string { return "\r\n" }, strings.Repeat("\r\n", 2_000)),
		Entry("small bodies that hold all descriptors", startInstance, scarceDescriptors, 700,
			func(path string) string { return allButLastByte(sized(path, padded(20_000))) }, ""),
		Entry("connections without a request that hold all descriptors", startInstance, scarceDescriptors, 700,
			func(string) string { return "P" }, ""),
		Entry("of an entry instance: bodies that lack their last byte", startEntry, plentifulDescriptors, 60,
			func(string) string { return allButLastByte(sized("/quoting/tank", strings.Repeat(" ", maxEntryBytes))) }, ""),
		Entry("of an entry instance: large chunks that lack the last line", startEntry, plentifulDescriptors, 60,
			func(string) string { return chunked("/quoting/tank", strings.Repeat(" ", maxEntryBytes), 64<<10) }, ""),
	)

	It("leaves an entry instance within its limits over HTTP/2, where one connection has many bodies", func() {
		target := startEntry(program, plentifulDescriptors)
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		body := strings.Repeat(" ", maxEntryBytes-1)
		target.withstand(func(ctx context.Context) {
			for range 60 {
				lastByte, end := io.Pipe()
				context.AfterFunc(ctx, func() { _ = end.Close() })
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.address+"/quoting/tank",
					io.MultiReader(strings.NewReader(body), lastByte))
				Expect(err).NotTo(HaveOccurred())
				request.ContentLength = maxEntryBytes
				go func() {
					if response, err := client.Do(request); err == nil {
						_ = response.Body.Close()
					}
				}()
			}
			time.Sleep(2 * time.Second)
		})
	})

	It("leaves the process within its limits with bodies in pieces that lack their last byte", func() {
		target := startInstance(program, plentifulDescriptors)
		target.withstand(func(ctx context.Context) {
			gather(ctx, target.address, 300, func(path string) string { return allButLastByte(sized(path, padded(maxJobBytes))) }, 8<<10, "")
		})
	})

	It("leaves a single request of the largest size alone", func() {
		target := startInstance(program, plentifulDescriptors)
		target.callOrdinary(0)
		for number, send := range []func(address, path string) string{
			func(address, path string) string {
				return exchange(address, sized(path, stepped(maxJobBytes, step)), maxJobBytes, 0)
			},
			func(address, path string) string {
				return exchange(address, sized(path, padded(maxJobBytes)), 8<<10, 50*time.Millisecond)
			},
			func(address, path string) string {
				return exchange(address, chunked(path, padded(maxJobBytes-1), 4<<10)+"0\r\n\r\n", 8<<10, 0)
			},
		} {
			Expect(send(target.address, fmt.Sprintf("%s%016x", prefix, 1<<32+number))).To(HavePrefix("HTTP/1.1 200"))
		}
		target.check()
	})
})

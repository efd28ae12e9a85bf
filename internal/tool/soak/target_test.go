package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// reservedFiles is the number of descriptors that the platform reserves for files.
	reservedFiles = 200
	// maxCallerTries is how often a caller sends a request.
	maxCallerTries = 5
	// callPatience bounds one try, so that the specs end; it is no bound on the product.
	callPatience = 10 * time.Second
	// maxEndless is the number of bytes after which a request without end stops.
	maxEndless = 4 << 20
	// piecePause is the time between two pieces of a request.
	piecePause   = 20 * time.Millisecond
	samplePeriod = 20 * time.Millisecond
)

// target is a process under test on a machine of limited memory and descriptors.
type target struct {
	address               string
	memoryMB, descriptors int
	// mayHaveFullQueue says that the crowd's own jobs may be accepted and fill the queue. Then
	// the owner's refusal for that reason counts as an answer.
	mayHaveFullQueue bool
	// ordinary returns a request that the process accepts.
	ordinary func(number int) *http.Request

	process *exec.Cmd
	ended   chan struct{}
	// peakKB and peakSockets are the highest samples: of resident memory with received
	// bytes that are not read yet, and of open sockets.
	peakKB, peakSockets atomic.Int64
}

func command(name string, arguments ...string) *exec.Cmd {
	command := exec.Command(name, arguments...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return command
}

// startTarget runs a program with the descriptors of the target until the end of the spec.
func startTarget(t *target, environment []string, program string, arguments ...string) *target {
	t.process = command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, t.descriptors), program}, arguments...)...)
	t.process.Env = append(os.Environ(), environment...)
	t.process.Stdout, t.process.Stderr = GinkgoWriter, GinkgoWriter
	Expect(t.process.Start()).To(Succeed())
	t.ended = make(chan struct{})
	go func() {
		defer close(t.ended)
		_ = t.process.Wait()
	}()
	go t.watch()
	DeferCleanup(func() {
		_ = t.process.Process.Kill()
		<-t.ended
	})
	return t
}

func (t *target) watch() {
	for {
		select {
		case <-t.ended:
			return
		case <-time.After(samplePeriod):
		}
		t.peakKB.Store(max(t.peakKB.Load(), t.residentKB()+t.unreadKB()))
		t.peakSockets.Store(max(t.peakSockets.Load(), t.sockets()))
	}
}

func (t *target) path(name string) string {
	return fmt.Sprintf("/proc/%d/%s", t.process.Process.Pid, name)
}

func (t *target) residentKB() (kilobytes int64) {
	status, _ := os.ReadFile(t.path("status"))
	if _, rest, found := strings.Cut(string(status), "VmRSS:"); found {
		_, _ = fmt.Sscan(rest, &kilobytes)
	}
	return kilobytes
}

// unreadKB sums the receive queues of the connections to the address.
func (t *target) unreadKB() int64 {
	table, _ := os.ReadFile("/proc/net/tcp")
	_, port, _ := net.SplitHostPort(t.address)
	number, _ := strconv.Atoi(port)
	local, total := fmt.Sprintf(":%04X", number), int64(0)
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], local) || fields[3] == "0A" {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		unread, _ := strconv.ParseInt(received, 16, 64)
		total += unread
	}
	return total >> 10
}

func (t *target) sockets() (count int64) {
	entries, _ := os.ReadDir(t.path("fd"))
	for _, entry := range entries {
		if name, err := os.Readlink(t.path("fd/" + entry.Name())); err == nil && strings.HasPrefix(name, "socket:") {
			count++
		}
	}
	return count
}

// check expects that the process lives and has kept its limits.
func (t *target) check() {
	GinkgoHelper()
	AddReportEntry("peak", fmt.Sprintf("%d MB, %d sockets", t.peakKB.Load()>>10, t.peakSockets.Load()))
	Expect(t.ended).NotTo(BeClosed(), "the process has ended")
	Expect(t.peakKB.Load()>>10).To(BeNumerically("<=", t.memoryMB), "memory in MB")
	Expect(t.peakSockets.Load()).To(BeNumerically("<=", t.descriptors-reservedFiles), "open sockets")
}

// callOrdinary expects that a caller who repeats refused requests is served.
func (t *target) callOrdinary(number int) {
	GinkgoHelper()
	client := &http.Client{Timeout: callPatience, Transport: &http.Transport{DisableKeepAlives: true}}
	var tries []string
	for range maxCallerTries {
		response, err := client.Do(t.ordinary(number))
		if err != nil {
			tries = append(tries, err.Error())
			time.Sleep(time.Second)
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK || t.mayHaveFullQueue && strings.Contains(string(text), "queue_too_long") {
			return
		}
		tries = append(tries, fmt.Sprintf("%d %s", response.StatusCode, text))
		time.Sleep(time.Second)
	}
	Fail("no answer to an ordinary request: " + strings.Join(tries, "; "))
}

// withstand expects that ordinary requests are served before the crowd, while it stays and once
// it has left, and that the process keeps its limits. crowd returns once its clients have sent
// what they send; they stay until ctx ends.
func (t *target) withstand(crowd func(ctx context.Context)) {
	GinkgoHelper()
	t.callOrdinary(0)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	crowd(ctx)
	time.Sleep(2 * time.Second)
	t.callOrdinary(1)
	t.check()
	leave()
	t.callOrdinary(2)
	t.check()
}

// gather opens one connection a client, sends each client's request in pieces, and returns
// when all have sent or were closed. After it a client repeats endless until it has sent
// maxEndless bytes; the connections stay open until ctx ends.
func gather(ctx context.Context, address string, clients int, request func(path string) string, piece int, endless string) {
	var sending sync.WaitGroup
	for number := range clients {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", address, callPatience)
			if err != nil {
				return
			}
			context.AfterFunc(ctx, func() { _ = conn.Close() })
			_ = conn.SetWriteDeadline(time.Now().Add(callPatience))
			text := request(fmt.Sprintf("%s%016x", prefix, number))
			for at := 0; at < len(text) && err == nil; at += piece {
				if at > 0 {
					time.Sleep(piecePause)
				}
				_, err = io.WriteString(conn, text[at:min(at+piece, len(text))])
			}
			for sent := 0; endless != "" && err == nil && sent < maxEndless; sent += len(endless) {
				_, err = io.WriteString(conn, endless)
			}
		})
	}
	sending.Wait()
}

// exchange sends a request in pieces and returns the status line of the response.
func exchange(address, request string, piece int, pause time.Duration) string {
	conn, err := net.DialTimeout("tcp", address, callPatience)
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	for at := 0; at < len(request); at += piece {
		_, err := io.WriteString(conn, request[at:min(at+piece, len(request))])
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(pause)
	}
	Expect(conn.SetReadDeadline(time.Now().Add(callPatience))).To(Succeed())
	line, err := bufio.NewReader(conn).ReadString('\n')
	Expect(err).NotTo(HaveOccurred())
	return strings.TrimSpace(line)
}

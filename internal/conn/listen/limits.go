package listen

import (
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"cairnbay"
)

// Limits bound what the clients of one listener can make the process hold.
type Limits struct {
	// Connections bounds the open connections. Beyond it the one without a complete request
	// for the longest time is closed for a new one.
	Connections int
	// MemoryBytes bounds the memory for connections and requests. Beyond it those without a
	// complete request yield, first the one with the highest product of memory and age.
	MemoryBytes int64
	// WorkBytes is the part of MemoryBytes that Reserve may take.
	WorkBytes int64
	// HeaderBytes bounds a request's header; beyond it the response is 431.
	HeaderBytes int
	// ReceiveBuffer is the size of a connection's receive buffer in bytes, 0 for that of the
	// system.
	ReceiveBuffer int
	// HeaderTimeout and BodyTimeout limit how long a client may take to send a header and a
	// body, IdleTimeout how long an unused connection stays open; 0 for no limit.
	HeaderTimeout, BodyTimeout, IdleTimeout time.Duration
}

const (
	// connectionBytes is the memory of a connection without a request: buffers, goroutines
	// and state of the server.
	connectionBytes = 24 << 10
	// multiplexedBytes is that of a connection with HTTP/2, whose requests share a receive
	// buffer.
	multiplexedBytes = connectionBytes + maxConnReceiveBytes
	// headerWeight is the memory that a byte of a header may take once it is parsed. Short
	// lines take the most.
	headerWeight = 24
	// fieldBytes is the memory of one field of a parsed header besides its text.
	fieldBytes = 112
	// bodyWeight is the memory that a byte of a body takes while it is read into a buffer
	// that grows.
	bodyWeight = 2
	// evictSlack is the part of a limit that an eviction frees beyond what is needed, so that
	// the next one is not due at once.
	evictSlack = 1.0 / 16
	// releaseSlack is the part of a limit that may be exceeded while evicted clients release
	// what they hold.
	releaseSlack = 1.0 / 8
)

// Machine is what a process may use.
type Machine struct {
	// MemoryBytes is its memory, Descriptors the number of its open files and sockets; 0 for
	// no limit.
	MemoryBytes int64
	Descriptors int
}

// Limits of a listener on a machine without limits.
const (
	unlimitedMemory      = 1 << 50
	unlimitedConnections = 1 << 30
)

// reservedFiles is the number of descriptors that are not for sockets.
//
// Source: the platform's page on machines.
const reservedFiles = 200

// sockets is the number of sockets of a machine, at least half of its descriptors.
func (m Machine) sockets() int {
	return max(m.Descriptors-reservedFiles, m.Descriptors/2)
}

// Share returns limits with the given parts of the machine's memory and sockets. The limits may be
// exceeded by releaseSlack. leastMemory is the least of MemoryBytes, which a single request
// of the largest size needs.
func (m Machine) Share(limits Limits, memory, sockets float64, leastMemory int64) Limits {
	limits.MemoryBytes, limits.Connections = unlimitedMemory, unlimitedConnections
	if m.MemoryBytes > 0 {
		limits.MemoryBytes = max(int64(float64(m.MemoryBytes)*memory), leastMemory)
	}
	if m.Descriptors > 0 {
		limits.Connections = max(int(float64(m.sockets())*sockets/(1+releaseSlack)), 1)
	}
	limits.WorkBytes = limits.MemoryBytes * 3 / 4
	return limits
}

// OpenFiles returns the number of descriptors that the system lets the process open.
func OpenFiles() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Annotate(cairnbay.ErrUnavailable, err.Error())
	}
	return int(min(limit.Cur, 1<<30)), nil
}

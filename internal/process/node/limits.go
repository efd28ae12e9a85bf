package node

import (
	"time"

	"cairnbay/internal/conn/listen"
)

// Parts of the instance's memory and sockets that each listener may use. The rest of the
// sockets is for calls to the store, workers and other instances.
const (
	callerMemory, callerSockets = 0.25, 0.45
	memberMemory, memberSockets = 0.15, 0.4
	// checkMemory and checkSockets are for readiness checks and, once more, for metrics.
	checkMemory, checkSockets = 0.01, 0.01
)

// Least memory of a listener in bytes. That of callers admits any job that an owner accepts.
const (
	leastCallerMemory = 32 << 20
	leastMemberMemory = 16 << 20
	leastCheckMemory  = 1 << 20
)

const (
	// headerBytes is several times the header of a client that sends an API key.
	headerBytes = 16 << 10
	// headerTimeout and bodyTimeout limit how long a client may take to send a header and a
	// body. The deadline of a submission limits its body too.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	// idleTimeout is how long an unused client connection stays open.
	idleTimeout = 60 * time.Second
	// receiveBuffer bounds the received bytes of a caller's connection that are not read yet.
	receiveBuffer = 16 << 10
)

// limits are those of all listeners.
var limits = listen.Limits{
	HeaderBytes: headerBytes, HeaderTimeout: headerTimeout, BodyTimeout: bodyTimeout, IdleTimeout: idleTimeout,
}

// callerLimits returns the limits of the callers' listener.
func callerLimits(machine listen.Machine) listen.Limits {
	shared := machine.Share(limits, callerMemory, callerSockets, leastCallerMemory)
	shared.ReceiveBuffer = receiveBuffer
	return shared
}

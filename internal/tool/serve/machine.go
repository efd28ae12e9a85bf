package serve

import (
	"runtime/debug"

	"cairnbay/internal/conn/listen"
)

// memoryShare of the process's memory is what the collector aims at.
const memoryShare = 0.7

// machine returns what the process may use, and sets the collector's aim.
func machine(memoryBytes int64) listen.Machine {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(memoryBytes) * memoryShare))
	}
	return listen.Machine{MemoryBytes: memoryBytes}
}

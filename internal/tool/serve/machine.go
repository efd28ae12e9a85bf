package serve

import (
	"runtime/debug"

	"cairnbay/internal/conn/listen"
)

// memoryShare of the process's memory is what the collector aims at.
const memoryShare = 0.7

// machine returns what the process may use, and sets the collector's aim. descriptors is the
// configured number, 0 for that of the system, which bounds it.
func machine(memoryBytes int64, descriptors int) (listen.Machine, error) {
	open, err := listen.OpenFiles()
	switch {
	case descriptors == 0 && err != nil:
		return listen.Machine{}, err
	case descriptors > 0 && (err != nil || descriptors < open):
		open = descriptors
	}
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(memoryBytes) * memoryShare))
	}
	return listen.Machine{MemoryBytes: memoryBytes, Descriptors: open}, nil
}

package cairnbay

import (
	"strconv"
	"strings"
)

// incarnationSeparator separates a worker's name from its start time in an ID.
const incarnationSeparator = "@"

// IncarnationID returns the ID of one run of a worker process that started at
// bornUnixMS, by its own clock. Runs of a worker share its name. A run that does not
// tell its start time has the name as its ID.
func IncarnationID(name string, bornUnixMS int64) string {
	return name + incarnationSeparator + strconv.FormatInt(bornUnixMS, 10)
}

// WorkerName returns the name under which the platform knows the worker with the ID.
func WorkerName(id string) string {
	name, _, _ := strings.Cut(id, incarnationSeparator)
	return name
}

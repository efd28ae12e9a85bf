package gate

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// refusalReason is why a call was refused because of its key.
type refusalReason string

const (
	keyMissing   refusalReason = "missing"
	keyMalformed refusalReason = "malformed"
	keyUnknown   refusalReason = "unknown"
)

// refusalPeriod is the interval of the log lines about refused calls, so that a flood
// of them costs one line a second.
const refusalPeriod = time.Second

// maxLoggedID is the number of bytes of a refused job's ID that are logged. IDs have
// 16; a path may be much longer.
const maxLoggedID = 64

// refusalLog counts the calls refused because of their key and logs their number
// refusalPeriod after the first of them. Its size does not depend on the calls.
type refusalLog struct {
	log      *logrus.Entry
	counters map[refusalReason]*metrics.Counter

	mu sync.Mutex
	// counts are the refusals since the last line; a line is due while there are any.
	counts map[refusalReason]int
	// example are the fields of the first of them.
	example logrus.Fields
}

func newRefusalLog(log *logrus.Entry, set *metrics.Set) *refusalLog {
	r := &refusalLog{
		log: log, counters: make(map[refusalReason]*metrics.Counter), counts: make(map[refusalReason]int),
	}
	for _, reason := range []refusalReason{keyMissing, keyMalformed, keyUnknown} {
		r.counters[reason] = set.GetOrCreateCounter(fmt.Sprintf("cairnbay_requests_unauthorised_total{reason=%q}", string(reason)))
	}
	return r
}

// add counts a refusal. The prefix of the key's digest is empty if it was not hashed.
func (r *refusalLog) add(reason refusalReason, callerReq *callerRequest, version uint64, digestPrefix string) {
	r.counters[reason].Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.counts) == 0 {
		r.example = logrus.Fields{
			"job": callerReq.id[:min(len(callerReq.id), maxLoggedID)], "queue": callerReq.queue.Name, "reason": string(reason), "version": version,
		}
		if digestPrefix != "" {
			r.example["key"] = digestPrefix
		}
		time.AfterFunc(refusalPeriod, r.report)
	}
	r.counts[reason]++
}

// report logs the refusals since the last line.
func (r *refusalLog) report() {
	r.mu.Lock()
	fields, counts := r.example, r.counts
	r.example, r.counts = nil, make(map[refusalReason]int)
	r.mu.Unlock()
	for reason, count := range counts {
		fields["calls_"+string(reason)] = count
	}
	r.log.WithFields(fields).Info("calls refused because of their key")
}

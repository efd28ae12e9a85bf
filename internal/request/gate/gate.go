// Package gate serves callers' HTTP requests for workflows. It forwards each
// request to the instance that owns the job's shard of the queue's class.
package gate

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/layout"
	"cairnbay/internal/process/relay"
	"cairnbay/internal/process/tenure"
)

// Format converts between callers' HTTP messages and the types of package
// cairnbay.
type Format struct {
	// DeadlineHeader names the request header that says how long the caller
	// waits for a response, in milliseconds.
	DeadlineHeader string
	// DecodeWorkflow parses the body of a submission.
	DecodeWorkflow func(id string, body []byte) (cairnbay.Workflow, error)
	// CountObjects returns an upper bound on the steps of a submission without decoding it.
	CountObjects func(body []byte) int
	// EncodeState and EncodeQueueLength encode the JSON bodies of responses.
	EncodeState       func(state cairnbay.WorkflowState) ([]byte, error)
	EncodeQueueLength func(count int) ([]byte, error)
}

// Owners tells how classes are divided into shards and which instance owns each of
// them. *tenure.Tenure implements it.
type Owners interface {
	// Layout returns the division of a class, false while it has none; Layouts those
	// of all classes.
	Layout(class string) (layout.Layout, bool)
	Layouts() map[string]layout.Layout
	// ReadLayouts reads the divisions of all classes from the store. The read begins after
	// the call.
	ReadLayouts(ctx context.Context) (map[string]layout.Layout, error)
	// Owner returns the owner of a shard, false while it has none.
	Owner(shard string) (tenure.Owner, bool)
	// Owners returns the owners by shard.
	Owners() map[string]tenure.Owner
	// Changed returns a channel that is closed at the next change of an owner or of a
	// layout.
	Changed() <-chan struct{}
}

// Config sets up a Gate.
type Config struct {
	Format Format
	// Routing returns the configuration in force, nil until one was read.
	Routing func() *cairnbay.Routing
	Owners  Owners
	// Relay makes the calls to the owners on other instances.
	Relay *relay.Relay
	// Drive returns the scheduler of a shard that this instance owns, nil for any
	// other shard.
	Drive func(shard string) *drive.Drive
	Log   *logrus.Entry
	// Metrics registers the histogram of request durations and the counters of calls
	// refused because of their key.
	Metrics *metrics.Set
	// AwaitFresh, if set, waits a moment for a newer configuration where the one in force
	// may be out of date.
	AwaitFresh func(ctx context.Context)
	// Fresh reports whether the configuration in force is known to be up to date; nil means
	// that it always is.
	Fresh func() bool
}

// Gate is the http.Handler for callers' requests.
type Gate struct {
	config Config
	// failingSince is when the first of the consecutive failed calls to owners
	// ended, in nanoseconds since the epoch; 0 if the last call succeeded.
	failingSince atomic.Int64
	// storeStalledAt is when a submission was last refused because the owner's
	// store did not answer, in nanoseconds since the epoch; 0 for never.
	storeStalledAt atomic.Int64
	// keys is the key index of the configuration in force.
	keys keyring
	// former tells which owners of other classes may have jobs of a queue.
	former formerClasses
	// unauthorised reports the calls refused because of their key.
	unauthorised *refusalLog
}

// storeStallMemory is how long after such a refusal StoreStalled reports it.
const storeStallMemory = time.Second

// StoreStalled reports whether an owner has lately refused a submission because the
// store did not answer it.
func (g *Gate) StoreStalled() bool {
	return time.Since(time.Unix(0, g.storeStalledAt.Load())) < storeStallMemory
}

// FailingFor returns the time since the first of the consecutive failed calls to
// remote owners, 0 if the last one succeeded. recordOwnerCall says what counts.
func (g *Gate) FailingFor() time.Duration {
	since := g.failingSince.Load()
	if since == 0 {
		return 0
	}
	return max(time.Duration(time.Now().UnixNano()-since), 1)
}

// recordOwnerCall updates failingSince after a call to an owner on another
// instance. A submission to a class that gets no owner and a call that ends because
// the caller disconnected count as failed, a response of an instance that does not
// own the class as successful.
func (g *Gate) recordOwnerCall(ok bool) {
	if ok {
		g.failingSince.Store(0)
		return
	}
	g.failingSince.CompareAndSwap(0, time.Now().UnixNano())
}

// Probe calls the owner of an arbitrary shard that another instance owns, so that
// FailingFor is updated also without requests from callers. It does nothing if
// there is none.
func (g *Gate) Probe(ctx context.Context) {
	for shard := range g.config.Owners.Owners() {
		if g.config.Drive(shard) == nil {
			// shardQueueLength passes the outcome to recordOwnerCall.
			_, _ = g.shardQueueLength(ctx, shard, &cairnbay.Queue{}, false)
			return
		}
	}
}

// New returns a gate.
func New(config Config) *Gate {
	return &Gate{
		config: config, keys: keyring{log: config.Log}, unauthorised: newRefusalLog(config.Log, config.Metrics),
	}
}

const (
	// maxBodyBytes is the size limit of a submission's body.
	maxBodyBytes = 256 << 10
	// stepBytes is the memory of a decoded step with its message to the owner, bodyWeight that
	// of a byte of the body besides.
	stepBytes, bodyWeight = 2 << 10, 4
	// overloadRetryAfter is the Retry-After of a submission that has no room in memory. A
	// request takes less.
	overloadRetryAfter = time.Second
	// maxTimeout limits a caller's deadline.
	maxTimeout = time.Minute
	// defaultTimeout applies to requests without a valid deadline header.
	defaultTimeout = 3 * time.Second
	// responseMargin is subtracted from the caller's deadline, so that the
	// response arrives in time.
	responseMargin = 100 * time.Millisecond
	// ownerWaitTimeout is how long a request waits for a class to get an owner. A
	// submission to a class without an owner is refused in at most 500 ms.
	ownerWaitTimeout = 200 * time.Millisecond
	// ownerCallTimeout is the timeout of one call to an owner. It is well below
	// defaultTimeout, so that the call can be repeated.
	ownerCallTimeout = 700 * time.Millisecond
	// confirmedCallTimeout is the timeout of a call whose answer the owner may have to
	// confirm by the store, which takes it drive.FenceTimeout if the store is silent. The
	// rest is for the way there and back: a call that ends before the owner's answer counts
	// as one that the owner has not answered.
	confirmedCallTimeout = drive.FenceTimeout + transitMargin
	// transitMargin is the time that a call to another instance may be under way.
	transitMargin = 300 * time.Millisecond
	// noOwnerRetryAfter is the Retry-After while a class has no owner. The next
	// owner usually takes over within this time.
	noOwnerRetryAfter = 2 * time.Second
	// confirmTimeout is how long a request is repeated whose owner is not confirmed by the
	// store. Without the store no instance can answer it.
	confirmTimeout = time.Second
	// retryPause is the time before a request is sent to an owner again.
	retryPause = 60 * time.Millisecond
)

// callerRequest is the state of one request from a caller.
type callerRequest struct {
	queue cairnbay.Queue
	// version is that of the configuration that has the queue.
	version uint64
	// id is the job's ID; empty in a request for the queue's length.
	id string
	// scope limits the request to jobs of the caller's workspace and of public queues;
	// nil if the configuration requires no keys.
	scope     *cairnbayv1.AccessScope
	startedAt time.Time
	// maybeDelivered is set once an owner may have acted on the request.
	maybeDelivered bool
	// mu guards absentAt, since shards are asked concurrently.
	mu sync.Mutex
	// absentAt are the owners that said last that they do not have the job, by shard.
	absentAt map[string]tenure.Owner
}

// recordAbsent records that the owner of a shard does not have the job.
func (r *callerRequest) recordAbsent(shard string, owner tenure.Owner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.absentAt == nil {
		r.absentAt = make(map[string]tenure.Owner)
	}
	r.absentAt[shard] = owner
}

// absentNames lists the shards that do not have the job, each with its owner and the
// owner's generation.
func (r *callerRequest) absentNames() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.absentAt))
	for shard, owner := range r.absentAt {
		names = append(names, fmt.Sprintf("%s@%s/%d", shard, owner.Instance, owner.Generation))
	}
	slices.Sort(names)
	return names
}

// ServeHTTP implements http.Handler. Its checks are, in this order: the configuration
// (503), the queue (404), the key (401), the method (405). The path is a queue's prefix, followed by a
// job's ID except in a request for the queue's length.
func (g *Gate) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if g.config.AwaitFresh != nil {
		g.config.AwaitFresh(request.Context())
	}
	routing := g.config.Routing()
	if routing == nil {
		g.refuse(writer, &callerRequest{startedAt: time.Now()}, "no_configuration", time.Second)
		return
	}
	g.former.update(routing, g.fresh())
	queue, jobID, ok := match(routing, request.Host, request.URL.Path)
	if !ok {
		g.config.Log.WithFields(logrus.Fields{
			"host": request.Host, "path": request.URL.Path, "version": routing.Version,
		}).Info("no queue matches the host and path of a request")
		http.Error(writer, "no such queue", http.StatusNotFound)
		return
	}
	callerReq := &callerRequest{queue: queue, version: routing.Version, id: jobID, startedAt: time.Now()}
	if !g.authenticate(writer, request, routing, callerReq) {
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), g.requestTimeout(request, queue))
	defer cancel()
	switch {
	case request.Method == http.MethodGet && jobID == "":
		g.length(ctx, writer, callerReq)
	case jobID == "":
		http.Error(writer, "method not allowed", http.StatusMethodNotAllowed)
	case request.Method == http.MethodPost:
		g.submit(ctx, writer, request, callerReq)
	case request.Method == http.MethodGet:
		g.inspect(ctx, writer, callerReq)
	case request.Method == http.MethodDelete:
		g.cancel(ctx, writer, callerReq)
	default:
		http.Error(writer, "method not allowed", http.StatusMethodNotAllowed)
	}
}

// fresh reports whether the configuration in force is known to be up to date.
func (g *Gate) fresh() bool {
	return g.config.Fresh == nil || g.config.Fresh()
}

// match returns the queue with the longest prefix that matches the path, and
// the job's ID, which is the rest of the path.
func match(routing *cairnbay.Routing, host, path string) (queue cairnbay.Queue, jobID string, ok bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	longest := -1
	for _, candidate := range routing.Queues {
		if candidate.Host != "" && !strings.EqualFold(candidate.Host, host) {
			continue
		}
		if rest, found := strings.CutPrefix(path, candidate.Prefix); found && len(candidate.Prefix) > longest {
			longest, queue, jobID, ok = len(candidate.Prefix), candidate, strings.Trim(rest, "/"), true
		}
	}
	return queue, jobID, ok
}

// requestTimeout returns the lower of the caller's deadline (defaultTimeout without
// a valid one, at most maxTimeout) and the queue's timeout, less responseMargin, but at least
// responseMargin.
func (g *Gate) requestTimeout(request *http.Request, queue cairnbay.Queue) time.Duration {
	timeout := defaultTimeout
	if value := request.Header.Get(g.config.Format.DeadlineHeader); value != "" {
		if ms, err := strconv.ParseFloat(value, 64); err == nil && ms > 0 {
			timeout = time.Duration(min(ms, float64(maxTimeout.Milliseconds())) * float64(time.Millisecond))
		}
	}
	if queue.Timeout > 0 {
		timeout = min(timeout, queue.Timeout)
	}
	return max(timeout-responseMargin, responseMargin)
}

// awaitOwner returns the owner of a shard. If the shard has none, it waits for one
// up to ownerWaitTimeout.
func (g *Gate) awaitOwner(ctx context.Context, shard string) (owner tenure.Owner, ok bool) {
	g.await(ctx, func() bool {
		owner, ok = g.config.Owners.Owner(shard)
		return ok
	})
	return owner, ok
}

// awaitLayout returns the division of a class. If the class has none, it waits for
// one up to ownerWaitTimeout.
func (g *Gate) awaitLayout(ctx context.Context, class string) (divided layout.Layout, ok bool) {
	g.await(ctx, func() bool {
		divided, ok = g.config.Owners.Layout(class)
		return ok
	})
	return divided, ok
}

// await waits until found returns true, which is called again after each change of
// the owners, at most for ownerWaitTimeout.
func (g *Gate) await(ctx context.Context, found func() bool) {
	deadline := time.NewTimer(ownerWaitTimeout)
	defer deadline.Stop()
	for {
		changed := g.config.Owners.Changed()
		if found() {
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// writeJSON responds with body, the result of an encoder. err is the encoder's
// error; if it is set, the status is 500.
func (g *Gate) writeJSON(writer http.ResponseWriter, callerReq *callerRequest, body []byte, err error, outcome string) {
	if err != nil {
		g.config.Log.WithError(err).WithField("job", callerReq.id).Error("response body cannot be encoded")
		http.Error(writer, "internal error", http.StatusInternalServerError)
		return
	}
	g.recordOutcome(callerReq, http.StatusOK, outcome)
	writer.Header().Set("Content-Type", "application/json")
	if _, err := writer.Write(body); err != nil {
		g.config.Log.WithError(err).WithField("job", callerReq.id).Info("response could not be written to the caller")
	}
}

// refuse responds with status 503: the request had no effect and can be repeated
// after retryAfter. The header Retry-After is rounded up to whole seconds, at
// least 1.
func (g *Gate) refuse(writer http.ResponseWriter, callerReq *callerRequest, reason string, retryAfter time.Duration) {
	g.recordOutcome(callerReq, http.StatusServiceUnavailable, reason)
	seconds := max(int64((retryAfter+time.Second-1)/time.Second), 1)
	writer.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	http.Error(writer, reason, http.StatusServiceUnavailable)
}

// reject responds to a submission whose body was not read or not decoded; it had no effect.
// Such responses are counted and not logged one by one, since a crowd of clients may cause
// thousands a second. The connection closes, as the rest of the body may follow.
func (g *Gate) reject(writer http.ResponseWriter, callerReq *callerRequest, err error) {
	status, reason := http.StatusBadRequest, "body cannot be read"
	switch {
	case errors.Is(err, cairnbay.ErrOverloaded):
		status, reason = http.StatusServiceUnavailable, "overloaded"
		writer.Header().Set("Retry-After", strconv.Itoa(int(overloadRetryAfter/time.Second)))
	case errors.Is(err, cairnbay.ErrTooLarge):
		status, reason = http.StatusRequestEntityTooLarge, fmt.Sprintf("body is over %d bytes", maxBodyBytes)
	case errors.Is(err, cairnbay.ErrDeadline):
		status, reason = http.StatusRequestTimeout, "body not received in time"
	}
	g.observe(callerReq, status)
	writer.Header().Set("Connection", "close")
	http.Error(writer, reason, status)
}

// observe records the duration of a request by its status.
func (g *Gate) observe(callerReq *callerRequest, status int) {
	g.config.Metrics.GetOrCreateHistogram(fmt.Sprintf("cairnbay_request_seconds{status=%q}", strconv.Itoa(status))).
		UpdateDuration(callerReq.startedAt)
}

// recordOutcome logs the outcome of a request and records its duration. Requests
// answered with status 401, 404, 405 or 500, or 400 because of their form, are not recorded;
// refusalLog counts those with 401.
func (g *Gate) recordOutcome(callerReq *callerRequest, status int, outcome string) {
	g.observe(callerReq, status)
	fields := logrus.Fields{
		"job": callerReq.id, "queue": callerReq.queue.Name, "status": status, "outcome": outcome,
		"took_ms": time.Since(callerReq.startedAt).Milliseconds(),
	}
	if status == http.StatusGone {
		fields["asked"] = callerReq.absentNames()
	}
	g.config.Log.WithFields(fields).Info("answered")
}

// Package gate takes callers' requests for workflows and answers them by the
// owner of the queue's class.
package gate

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/relay"
	"cairnbay/internal/process/tenure"
)

// Format is how callers' requests and answers are written.
type Format struct {
	// DeadlineHeader carries the caller's patience in milliseconds.
	DeadlineHeader string
	// DecodeWorkflow reads a submission's body.
	DecodeWorkflow func(id string, body []byte) (cairnbay.Workflow, error)
	// EncodeState and EncodeQueueLength write answers.
	EncodeState       func(state cairnbay.WorkflowState) ([]byte, error)
	EncodeQueueLength func(count int) ([]byte, error)
}

// Owners shows which instance owns a class; *tenure.Tenure does.
type Owners interface {
	Owner(class string) (tenure.Owner, bool)
	Owners() map[string]tenure.Owner
	Changed() <-chan struct{}
}

// Config sets up a Gate.
type Config struct {
	Format Format
	// Routing returns the configuration in force, nil before the first.
	Routing func() *cairnbay.Routing
	Owners  Owners
	Relay   *relay.Relay
	// Drive returns the drive of a class that this instance owns, or nil.
	Drive func(class string) *drive.Drive
	Log   *logrus.Entry
	// Metrics takes the histogram of requests.
	Metrics *metrics.Set
}

// Gate is an http.Handler.
type Gate struct {
	config Config
	// failingSince is when calls to owners began to fail, in nanoseconds since
	// the epoch; 0 while the last one succeeded.
	failingSince atomic.Int64
}

// FailingFor is how long calls to owners have failed, 0 while the last one
// succeeded.
func (g *Gate) FailingFor() time.Duration {
	since := g.failingSince.Load()
	if since == 0 {
		return 0
	}
	return max(time.Duration(time.Now().UnixNano()-since), 1)
}

// reached takes note of the outcome of a call to an owner.
func (g *Gate) reached(ok bool) {
	if ok {
		g.failingSince.Store(0)
		return
	}
	g.failingSince.CompareAndSwap(0, time.Now().UnixNano())
}

// Probe calls an owner, so that FailingFor does not depend on callers' requests.
func (g *Gate) Probe(ctx context.Context) {
	for class := range g.config.Owners.Owners() {
		if g.config.Drive(class) == nil {
			// The outcome is noted by the call.
			_, _ = g.lengthOnce(ctx, &call{queue: cairnbay.Queue{Class: class}})
			return
		}
	}
}

// New returns a gate.
func New(config Config) *Gate {
	return &Gate{config: config}
}

const (
	// maxBodyBytes bounds a submission.
	maxBodyBytes = 256 << 10
	// defaultPatience is the caller's deadline where it names none.
	defaultPatience = 3 * time.Second
	// answerMargin is kept of the caller's deadline for the way back.
	answerMargin = 100 * time.Millisecond
	// ownerPatience is how long a request waits for a class that has no owner.
	ownerPatience = 200 * time.Millisecond
	// hopTimeout bounds one try of a question that changes nothing.
	hopTimeout = 700 * time.Millisecond
	// noOwnerRetry is the Retry-After while a class has no owner: the time in
	// which the next one usually takes over.
	noOwnerRetry = 2 * time.Second
	// retryPause is the pause before a request is sent to an owner again.
	retryPause = 60 * time.Millisecond
)

// call is one caller's request.
type call struct {
	queue cairnbay.Queue
	id    string
	began time.Time
	// maybeSent says that some instance may have acted on the request.
	maybeSent bool
}

// ServeHTTP answers one request.
func (g *Gate) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	routing := g.config.Routing()
	if routing == nil {
		g.refuse(writer, &call{began: time.Now()}, "no_configuration", time.Second)
		return
	}
	queue, rest, ok := match(routing, request.Host, request.URL.Path)
	if !ok {
		g.config.Log.WithFields(logrus.Fields{
			"host": request.Host, "path": request.URL.Path, "version": routing.Version,
		}).Info("no such queue")
		http.Error(writer, "no such queue", http.StatusNotFound)
		return
	}
	served := &call{queue: queue, id: rest, began: time.Now()}
	ctx, cancel := context.WithTimeout(request.Context(), g.patience(request, queue))
	defer cancel()
	switch {
	case request.Method == http.MethodGet && rest == "":
		g.length(ctx, writer, served)
	case rest == "":
		http.Error(writer, "method not allowed", http.StatusMethodNotAllowed)
	case request.Method == http.MethodPost:
		g.submit(ctx, writer, request, served)
	case request.Method == http.MethodGet:
		g.inspect(ctx, writer, served)
	case request.Method == http.MethodDelete:
		g.cancel(ctx, writer, served)
	default:
		http.Error(writer, "method not allowed", http.StatusMethodNotAllowed)
	}
}

// match finds the queue with the longest prefix of the path.
func match(routing *cairnbay.Routing, host, path string) (queue cairnbay.Queue, rest string, ok bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	longest := -1
	for _, candidate := range routing.Queues {
		if candidate.Host != "" && !strings.EqualFold(candidate.Host, host) {
			continue
		}
		if after, found := strings.CutPrefix(path, candidate.Prefix); found && len(candidate.Prefix) > longest {
			longest, queue, rest, ok = len(candidate.Prefix), candidate, strings.Trim(after, "/"), true
		}
	}
	return queue, rest, ok
}

func (g *Gate) patience(request *http.Request, queue cairnbay.Queue) time.Duration {
	patience := defaultPatience
	if text := request.Header.Get(g.config.Format.DeadlineHeader); text != "" {
		if ms, err := strconv.ParseFloat(text, 64); err == nil && ms > 0 {
			patience = time.Duration(ms * float64(time.Millisecond))
		}
	}
	if queue.Timeout > 0 {
		patience = min(patience, queue.Timeout)
	}
	return max(patience-answerMargin, answerMargin)
}

// owner returns the owner of a class, after a short wait if it has none.
func (g *Gate) owner(ctx context.Context, class string) (tenure.Owner, bool) {
	deadline := time.NewTimer(ownerPatience)
	defer deadline.Stop()
	for {
		changed := g.config.Owners.Changed()
		if owner, ok := g.config.Owners.Owner(class); ok {
			return owner, true
		}
		select {
		case <-changed:
		case <-deadline.C:
			return tenure.Owner{}, false
		case <-ctx.Done():
			return tenure.Owner{}, false
		}
	}
}

// inspect asks the owner of the queue's class, then the others: the queue may
// have led to another class when the job was accepted.
func (g *Gate) inspect(ctx context.Context, writer http.ResponseWriter, served *call) {
	state, err := g.inspectAll(ctx, served)
	switch {
	case err != nil:
		g.refuse(writer, served, err.Error(), time.Second)
	case state == cairnbay.WorkflowUnknown:
		g.answer(served, http.StatusGone, "unknown")
		http.Error(writer, "no such job", http.StatusGone)
	default:
		body, err := g.config.Format.EncodeState(state)
		g.reply(writer, served, body, err, state.String())
	}
}

func (g *Gate) inspectAll(ctx context.Context, served *call) (cairnbay.WorkflowState, error) {
	for {
		state, err := g.inspectClass(ctx, served.queue.Class, served.id)
		if err == nil && state != cairnbay.WorkflowUnknown {
			return state, nil
		}
		if err == nil {
			state, err = g.inspectOthers(ctx, served)
		}
		if err == nil {
			return state, nil
		}
		if !pause(ctx) {
			return cairnbay.WorkflowUnknown, err
		}
	}
}

func (g *Gate) inspectOthers(ctx context.Context, served *call) (cairnbay.WorkflowState, error) {
	for class := range g.config.Owners.Owners() {
		if class == served.queue.Class {
			continue
		}
		state, err := g.inspectClass(ctx, class, served.id)
		if err != nil || state != cairnbay.WorkflowUnknown {
			return state, err
		}
	}
	return cairnbay.WorkflowUnknown, nil
}

func (g *Gate) inspectClass(ctx context.Context, class, id string) (cairnbay.WorkflowState, error) {
	owner, ok := g.owner(ctx, class)
	if !ok {
		return cairnbay.WorkflowUnknown, errNoOwner
	}
	if local := g.config.Drive(class); local != nil {
		if state, known := local.Inspect(ctx, id); known {
			return state, nil
		}
		return cairnbay.WorkflowUnknown, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, hopTimeout)
	defer cancel()
	answer, err := g.config.Relay.Client(owner.Address).Inspect(ctx,
		connect.NewRequest(&cairnbayv1.InspectWorkflowRequest{Class: class, Id: id}))
	g.reached(err == nil)
	if err != nil {
		return cairnbay.WorkflowUnknown, err
	}
	if !answer.Msg.GetOwner() {
		return cairnbay.WorkflowUnknown, errNoOwner
	}
	return cairnbay.WorkflowState(answer.Msg.GetState()), nil
}

func (g *Gate) cancel(ctx context.Context, writer http.ResponseWriter, served *call) {
	found, err := g.cancelAll(ctx, served)
	switch {
	case err != nil:
		g.answer(served, http.StatusGatewayTimeout, err.Error())
		http.Error(writer, "not known whether the job was cancelled", http.StatusGatewayTimeout)
	case !found:
		g.answer(served, http.StatusGone, "unknown")
		http.Error(writer, "no such job", http.StatusGone)
	default:
		g.answer(served, http.StatusOK, "cancelled")
		writer.WriteHeader(http.StatusOK)
	}
}

func (g *Gate) cancelAll(ctx context.Context, served *call) (bool, error) {
	for {
		found, err := g.cancelClass(ctx, served.queue.Class, served.id)
		if err == nil && !found {
			for class := range g.config.Owners.Owners() {
				if class != served.queue.Class && err == nil && !found {
					found, err = g.cancelClass(ctx, class, served.id)
				}
			}
		}
		if err == nil {
			return found, nil
		}
		if !pause(ctx) {
			return false, err
		}
	}
}

func (g *Gate) cancelClass(ctx context.Context, class, id string) (bool, error) {
	owner, ok := g.owner(ctx, class)
	if !ok {
		return false, errNoOwner
	}
	if local := g.config.Drive(class); local != nil {
		err := local.Cancel(ctx, id)
		if errors.Is(err, cairnbay.ErrNotFound) {
			return false, nil
		}
		return err == nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, hopTimeout)
	defer cancel()
	answer, err := g.config.Relay.Client(owner.Address).Cancel(ctx,
		connect.NewRequest(&cairnbayv1.CancelWorkflowRequest{Class: class, Id: id}))
	g.reached(err == nil)
	switch {
	case err != nil:
		return false, err
	case !answer.Msg.GetOwner():
		return false, errNoOwner
	case !answer.Msg.GetFound():
		return false, nil
	case !answer.Msg.GetStored():
		return false, cairnbay.ErrUnknown
	default:
		return true, nil
	}
}

func (g *Gate) length(ctx context.Context, writer http.ResponseWriter, served *call) {
	for {
		waiting, err := g.lengthOnce(ctx, served)
		if err == nil {
			body, err := g.config.Format.EncodeQueueLength(waiting)
			g.reply(writer, served, body, err, "length")
			return
		}
		if !pause(ctx) {
			g.refuse(writer, served, err.Error(), time.Second)
			return
		}
	}
}

func (g *Gate) lengthOnce(ctx context.Context, served *call) (int, error) {
	class, queue := served.queue.Class, served.queue.Name
	owner, ok := g.owner(ctx, class)
	if !ok {
		return 0, errNoOwner
	}
	if local := g.config.Drive(class); local != nil {
		if waiting, known := local.Length(queue); known {
			return waiting, nil
		}
		return 0, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, hopTimeout)
	defer cancel()
	answer, err := g.config.Relay.Client(owner.Address).Length(ctx,
		connect.NewRequest(&cairnbayv1.LengthRequest{Class: class, Queue: queue}))
	g.reached(err == nil)
	if err != nil {
		return 0, err
	}
	if !answer.Msg.GetOwner() {
		return 0, errNoOwner
	}
	return int(answer.Msg.GetWaiting()), nil
}

func (g *Gate) reply(writer http.ResponseWriter, served *call, body []byte, err error, outcome string) {
	if err != nil {
		g.config.Log.WithError(err).WithField("job", served.id).Error("answer cannot be written")
		http.Error(writer, "internal error", http.StatusInternalServerError)
		return
	}
	g.answer(served, http.StatusOK, outcome)
	writer.Header().Set("Content-Type", "application/json")
	if _, err := writer.Write(body); err != nil {
		g.config.Log.WithError(err).WithField("job", served.id).Info("caller gone")
	}
}

// refuse says that the request had no effect, and when to come back.
func (g *Gate) refuse(writer http.ResponseWriter, served *call, reason string, after time.Duration) {
	g.answer(served, http.StatusServiceUnavailable, reason)
	seconds := max(int64((after+time.Second-1)/time.Second), 1)
	writer.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	http.Error(writer, reason, http.StatusServiceUnavailable)
}

// answer logs the outcome of a request.
func (g *Gate) answer(served *call, status int, outcome string) {
	g.config.Metrics.GetOrCreateHistogram(fmt.Sprintf("cairnbay_request_seconds{status=%q}", strconv.Itoa(status))).
		UpdateDuration(served.began)
	g.config.Log.WithFields(logrus.Fields{
		"job": served.id, "queue": served.queue.Name, "status": status, "outcome": outcome,
		"took_ms": time.Since(served.began).Milliseconds(),
	}).Info("answered")
}

package route

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/conn/listen"
	"cairnbay/internal/conn/pool"
	"cairnbay/internal/request/queue"
)

// call is one request of a caller with its complete body.
type call struct {
	id      string
	service string
	team    string
	band    queue.Band
	// weight is the share of the team relative to other teams.
	weight float64
	// key is the Idempotency-Key, empty if absent.
	key        string
	idempotent bool
	// forwarded is set when a member of another data centre sent the request.
	forwarded bool
	// fromOtherDataCentre is set when a member of another data centre answered; its
	// answer states the outcome.
	fromOtherDataCentre bool
	// arrivedAt and deadline are times on the clock of the router.
	arrivedAt time.Duration
	deadline  time.Duration
	request   *http.Request
	body      []byte
	settings  cairnbay.Request
}

// Defaults for settings that are zero or negative.
const (
	defaultTimeout      = 30 * time.Second
	defaultIdleTimeout  = 15 * time.Second
	defaultMaxBodyBytes = 8 << 20
	// defaultQueueLength is a number of requests.
	defaultQueueLength = 1024
	defaultQueueBytes  = 64 << 20
	// defaultRetryBudget is in retries per request, and applies only to a service
	// without settings; 0 in settings means no retries.
	defaultRetryBudget = 0.1
	// maxRequestedTimeout replaces a longer timeout in the request's header. The
	// timeout in settings is not bounded.
	maxRequestedTimeout = 5 * time.Minute
)

func withDefaults(settings cairnbay.Request) cairnbay.Request {
	if settings.Timeout <= 0 {
		settings.Timeout = defaultTimeout
	}
	if settings.IdleTimeout <= 0 {
		settings.IdleTimeout = defaultIdleTimeout
	}
	if settings.MaxBodyBytes <= 0 {
		settings.MaxBodyBytes = defaultMaxBodyBytes
	}
	if settings.QueueLength <= 0 {
		settings.QueueLength = defaultQueueLength
	}
	if settings.QueueBytes <= 0 {
		settings.QueueBytes = defaultQueueBytes
	}
	return settings
}

// requestSettings returns the current settings of a service, with defaults.
func (r *Router) requestSettings(service string) cairnbay.Request {
	settings := r.config.Settings.Current()
	if settings == nil || settings.Services[service] == nil {
		return withDefaults(cairnbay.Request{RetryBudget: defaultRetryBudget})
	}
	return withDefaults(settings.Services[service].Request)
}

// readCall reads the caller's request with its body. It refuses an invalid deadline,
// an incomplete body, and a body over the size limit of the settings. The call is
// never nil; after a refusal its body, and maybe its deadline, are not set.
func (r *Router) readCall(writer http.ResponseWriter, request *http.Request) (*call, *refusal) {
	call := &call{
		id:         requestID(request),
		service:    serviceName(request),
		band:       queue.ParseBand(request.Header.Get(cairnbay.BandHeader)),
		key:        request.Header.Get(cairnbay.KeyHeader),
		idempotent: pool.Idempotent(request.Method),
		forwarded:  request.Header.Get(cairnbay.ForwardedHeader) != "",
		arrivedAt:  r.config.Clock.Now(),
		request:    request,
	}
	call.settings = r.requestSettings(call.service)
	call.team, call.weight = r.team(call.service, request.Header.Get(cairnbay.TeamHeader))
	timeout, err := callTimeout(request, call.settings.Timeout)
	if err != nil {
		return call, notRunRefusal(http.StatusBadRequest, "bad_deadline", err.Error(), 0)
	}
	call.deadline = call.arrivedAt + timeout
	if refusal := call.readBody(writer, timeout); refusal != nil {
		return call, refusal
	}
	return call, nil
}

// Reasons of requests whose body was not read to its end.
const (
	reasonOverloaded = "overloaded"
	reasonBodyLate   = "body_late"
)

// readBody reads the body of the request within the timeout of the call. The connection of one
// that yields or is late closes, as the rest of its body may follow.
func (c *call) readBody(writer http.ResponseWriter, timeout time.Duration) (refused *refusal) {
	body, err := listen.ReadBody(writer, c.request, c.settings.MaxBodyBytes, time.Now().Add(timeout))
	switch {
	case err == nil:
		c.body = body
		return nil
	case errors.Is(err, cairnbay.ErrTooLarge):
		refused = bodyTooLargeRefusal(c.settings.MaxBodyBytes)
	case errors.Is(err, cairnbay.ErrOverloaded):
		refused = notRunRefusal(http.StatusServiceUnavailable, reasonOverloaded, "this entry instance has no memory for the request", defaultRetryAfter)
	case errors.Is(err, cairnbay.ErrDeadline):
		refused = notRunRefusal(http.StatusRequestTimeout, reasonBodyLate, "the request's body did not arrive in time", 0)
	default:
		refused = notRunRefusal(http.StatusBadRequest, "body_cut", "the request's body ended early", 0)
	}
	refused.close = refused.reason == reasonOverloaded || refused.reason == reasonBodyLate
	return refused
}

func requestID(request *http.Request) string {
	if id := request.Header.Get(cairnbay.RequestHeader); id != "" {
		return id
	}
	return uuid.NewString()
}

func serviceName(request *http.Request) string {
	if name := request.Header.Get(cairnbay.ServiceHeader); name != "" {
		return name
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
	return first
}

// team returns the team that the request counts for, and its weight. If the settings
// have teams, a name that is not among them is replaced by the team of the service, so
// that callers cannot invent teams to get a larger share.
func (r *Router) team(service, name string) (string, float64) {
	settings := r.config.Settings.Current()
	if settings == nil {
		return name, 1
	}
	branch := settings.Teams[name]
	if branch == nil && len(settings.Teams) > 0 {
		name = ""
		if serviceBranch := settings.Services[service]; serviceBranch != nil {
			name = serviceBranch.Team
			branch = settings.Teams[name]
		}
	}
	if branch == nil || branch.Request.Weight <= 0 {
		return name, 1
	}
	return name, branch.Request.Weight
}

// callTimeout returns the timeout in the request's header, which is in milliseconds,
// or fallback if there is none. Errors: the header is not a positive integer.
func callTimeout(request *http.Request, fallback time.Duration) (time.Duration, error) {
	value := request.Header.Get(cairnbay.DeadlineHeader)
	if value == "" {
		return fallback, nil
	}
	milliseconds, err := strconv.ParseInt(value, 10, 64)
	if err != nil || milliseconds <= 0 {
		return 0, errors.Errorf("header %s is %q, not a positive number of milliseconds", cairnbay.DeadlineHeader, value)
	}
	if milliseconds > maxRequestedTimeout.Milliseconds() {
		return maxRequestedTimeout, nil
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

package route

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/conn/pool"
	"cairnbay/internal/request/queue"
)

// call is one request of a caller with its complete body.
type call struct {
	id         string
	service    string
	team       string
	band       queue.Band
	weight     float64
	key        string
	idempotent bool
	forwarded  bool
	// fromOtherDataCentre is set when a member of another data centre answered; its
	// answer states the outcome.
	fromOtherDataCentre bool
	arrivedAt           time.Duration
	deadline            time.Duration
	request             *http.Request
	body                []byte
	settings            cairnbay.Request
}

// Defaults for settings that are not set.
const (
	defaultTimeout      = 30 * time.Second
	defaultIdleTimeout  = 15 * time.Second
	defaultMaxBodyBytes = 8 << 20
	defaultQueueLength  = 1024
	defaultQueueBytes   = 64 << 20
	defaultRetryBudget  = 0.1
	// maxTimeout bounds the deadline in a caller's request header.
	maxTimeout = 5 * time.Minute
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

// readCall reads the caller's request with its body, up to the size limit of the
// settings. The call is never nil; after a refusal it may lack its body and deadline.
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
	if refusal := call.readBody(writer); refusal != nil {
		return call, refusal
	}
	return call, nil
}

func (c *call) readBody(writer http.ResponseWriter) *refusal {
	request := c.request
	if request.Body == nil || request.ContentLength == 0 {
		return nil
	}
	if request.ContentLength > c.settings.MaxBodyBytes {
		return bodyTooLarge(c.settings.MaxBodyBytes)
	}
	body, err := readAll(http.MaxBytesReader(writer, request.Body, c.settings.MaxBodyBytes), request.ContentLength)
	var maxBytesErr *http.MaxBytesError
	if errors.As(err, &maxBytesErr) {
		return bodyTooLarge(c.settings.MaxBodyBytes)
	}
	if err != nil {
		return notRunRefusal(http.StatusBadRequest, "body_cut", "the request's body ended early", 0)
	}
	c.body = body
	return nil
}

// readAll reads size bytes, or up to the end if size is -1.
func readAll(reader io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(reader)
	}
	content := make([]byte, size)
	_, err := io.ReadFull(reader, content)
	return content, err
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

// team returns the team that the request is accounted to and its weight. A name
// that is not in the settings is replaced by the service's own team, so that
// callers cannot invent teams to get a larger share.
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

func callTimeout(request *http.Request, fallback time.Duration) (time.Duration, error) {
	value := request.Header.Get(cairnbay.DeadlineHeader)
	if value == "" {
		return fallback, nil
	}
	milliseconds, err := strconv.ParseInt(value, 10, 64)
	if err != nil || milliseconds <= 0 {
		return 0, errors.Errorf("header %s is %q, not a positive number of milliseconds", cairnbay.DeadlineHeader, value)
	}
	if milliseconds > maxTimeout.Milliseconds() {
		return maxTimeout, nil
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

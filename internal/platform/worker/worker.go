// Package worker calls the platform's workers over HTTP: each call is a POST with
// JSON bodies. No other package defines the workers' wire format.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"

	"cairnbay"
)

var _ cairnbay.Worker = (*Worker)(nil)

// Paths of the calls on a worker's control address.
const (
	claimPath = "/v1/claim"
	startPath = "/v1/start"
	renewPath = "/v1/renew"
	stopPath  = "/v1/stop"
)

// HTTP statuses of ErrFenced, ErrDeadline and ErrUnavailable. 200 means success, 400
// ErrInvalid, any other status ErrUnknown.
const (
	statusFenced   = http.StatusConflict
	statusDeadline = http.StatusPreconditionFailed
	statusNoEffect = http.StatusServiceUnavailable
)

// maxAnswerBytes is how much of an answer is read; a longer answer fails to decode.
const maxAnswerBytes = 8 << 20

// Config configures a Worker.
type Config struct {
	// Client makes the calls; nil defaults to http.DefaultClient.
	Client *http.Client
}

// Worker implements cairnbay.Worker over HTTP.
type Worker struct {
	client *http.Client
}

// New returns a Worker.
func New(config Config) *Worker {
	if config.Client == nil {
		config.Client = http.DefaultClient
	}
	return &Worker{client: config.Client}
}

// Claim implements cairnbay.Worker.
func (w *Worker) Claim(ctx context.Context, address string, request cairnbay.ClaimRequest) (cairnbay.ClaimAnswer, error) {
	var answer cairnbay.ClaimAnswer
	err := w.post(ctx, address, claimPath, request, &answer)
	return answer, err
}

// Start implements cairnbay.Worker.
func (w *Worker) Start(ctx context.Context, address string, request cairnbay.StartRequest) (cairnbay.StartAnswer, error) {
	var answer cairnbay.StartAnswer
	err := w.post(ctx, address, startPath, request, &answer)
	return answer, err
}

// Renew implements cairnbay.Worker.
func (w *Worker) Renew(ctx context.Context, address string, request cairnbay.RenewRequest) (cairnbay.RenewAnswer, error) {
	var answer cairnbay.RenewAnswer
	err := w.post(ctx, address, renewPath, request, &answer)
	return answer, err
}

// Stop implements cairnbay.Worker.
func (w *Worker) Stop(ctx context.Context, address string, request cairnbay.StopRequest) (cairnbay.StopAnswer, error) {
	var answer cairnbay.StopAnswer
	err := w.post(ctx, address, stopPath, request, &answer)
	return answer, err
}

// post makes one call. Errors: ErrInvalid (the request), ErrUnavailable (no effect),
// ErrUnknown (it may have taken effect), ErrFenced and ErrDeadline.
func (w *Worker) post(ctx context.Context, address, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Annotatef(cairnbay.ErrInvalid, "worker %s%s: %v", address, path, err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Annotatef(cairnbay.ErrInvalid, "worker %s%s: %v", address, path, err)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := w.client.Do(httpRequest)
	if err != nil {
		return errors.Annotatef(sendError(err), "worker %s%s: %v", address, path, err)
	}
	defer response.Body.Close()
	return readAnswer(response, address, path, answer)
}

// sendError returns ErrUnavailable if the dial failed, else ErrUnknown: the worker
// may have processed the call.
func sendError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return cairnbay.ErrUnavailable
	}
	return cairnbay.ErrUnknown
}

// readAnswer decodes the answer and returns the sentinel error of the status. With
// ErrFenced the answer is decoded too, as it has the accepted epoch.
func readAnswer(response *http.Response, address, path string, answer any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Annotatef(cairnbay.ErrUnknown, "worker %s%s: %v", address, path, err)
	}
	sentinel := statusError(response.StatusCode)
	if sentinel == nil || errors.Is(sentinel, cairnbay.ErrFenced) {
		if err := json.Unmarshal(body, answer); err != nil {
			return errors.Annotatef(cairnbay.ErrUnknown, "worker %s%s: status %d: %v", address, path, response.StatusCode, err)
		}
	}
	if sentinel == nil {
		return nil
	}
	return errors.Annotatef(sentinel, "worker %s%s: status %d", address, path, response.StatusCode)
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case statusFenced:
		return cairnbay.ErrFenced
	case statusDeadline:
		return cairnbay.ErrDeadline
	case statusNoEffect:
		return cairnbay.ErrUnavailable
	case http.StatusBadRequest:
		return cairnbay.ErrInvalid
	default:
		return cairnbay.ErrUnknown
	}
}

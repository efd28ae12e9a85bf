package admin

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"cairnbay"
)

// Problem is the body of a failed call (application/problem+json, RFC 9457).
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

// errorStatuses maps sentinel errors to HTTP statuses. An error that matches
// several gets the status of the first; a status shared by several errors is
// converted back to the first.
var errorStatuses = []struct {
	err    error
	status int
}{
	{cairnbay.ErrForbidden, http.StatusForbidden},
	{cairnbay.ErrNotFound, http.StatusNotFound},
	{cairnbay.ErrNeverFits, http.StatusUnprocessableEntity},
	{cairnbay.ErrInvalid, http.StatusBadRequest},
	{cairnbay.ErrTooLarge, http.StatusRequestEntityTooLarge},
	{cairnbay.ErrConflict, http.StatusConflict},
	{cairnbay.ErrQueueFull, http.StatusTooManyRequests},
	{cairnbay.ErrRateLimited, http.StatusTooManyRequests},
	{cairnbay.ErrUnknown, http.StatusBadGateway},
	{cairnbay.ErrUnavailable, http.StatusServiceUnavailable},
	{cairnbay.ErrNotOwner, http.StatusServiceUnavailable},
}

// StatusOf returns the HTTP status of an error; 500 without a sentinel error.
func StatusOf(err error) int {
	for _, mapping := range errorStatuses {
		if errors.Is(err, mapping.err) {
			return mapping.status
		}
	}
	return http.StatusInternalServerError
}

// ErrorOf returns the sentinel error for the HTTP status of a failed call; nil if
// no error has this status.
func ErrorOf(status int) error {
	for _, mapping := range errorStatuses {
		if mapping.status == status {
			return mapping.err
		}
	}
	return nil
}

// outcomeOf returns OutcomeUnknown for ErrUnknown and for errors without a
// status in errorStatuses, and OutcomeNotRun for all others.
func outcomeOf(err error) cairnbay.Outcome {
	if errors.Is(err, cairnbay.ErrUnknown) || StatusOf(err) == http.StatusInternalServerError {
		return cairnbay.OutcomeUnknown
	}
	return cairnbay.OutcomeNotRun
}

func writeProblem(w http.ResponseWriter, err error) {
	status := StatusOf(err)
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(cairnbay.OutcomeHeader, string(outcomeOf(err)))
	w.WriteHeader(status)
	problem := Problem{Title: http.StatusText(status), Status: status, Detail: err.Error()}
	// The status is already sent, so an error cannot change the response.
	_ = json.NewEncoder(w).Encode(problem)
}

func writeResponse(w http.ResponseWriter, response any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(cairnbay.OutcomeHeader, string(cairnbay.OutcomeDone))
	// The status is already sent, so an error cannot change the response.
	_ = json.NewEncoder(w).Encode(response)
}

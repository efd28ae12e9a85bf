package worker

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"cairnbay"
)

// Handler serves a worker in the workers' wire format, for stand-ins. ErrUnknown
// closes the connection without an answer; an error without a status of its own
// becomes 500.
func Handler(worker cairnbay.Worker) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+claimPath, serve(worker.Claim))
	mux.Handle("POST "+startPath, serve(worker.Start))
	mux.Handle("POST "+renewPath, serve(worker.Renew))
	mux.Handle("POST "+stopPath, serve(worker.Stop))
	return mux
}

func serve[Request, Answer any](call func(context.Context, string, Request) (Answer, error)) http.HandlerFunc {
	return func(writer http.ResponseWriter, received *http.Request) {
		var body Request
		if err := json.NewDecoder(received.Body).Decode(&body); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		result, err := call(received.Context(), received.Host, body)
		if errors.Is(err, cairnbay.ErrUnknown) {
			// The client sees a lost answer as a connection closed without one.
			panic(http.ErrAbortHandler)
		}
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(errorStatus(err))
		_ = json.NewEncoder(writer).Encode(result)
	}
}

func errorStatus(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, cairnbay.ErrFenced):
		return statusFenced
	case errors.Is(err, cairnbay.ErrDeadline):
		return statusDeadline
	case errors.Is(err, cairnbay.ErrUnavailable):
		return statusNoEffect
	default:
		return http.StatusInternalServerError
	}
}

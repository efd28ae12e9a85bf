package route

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cairnbay"
)

// Problem is the body of every response that the router itself generates.
//
// Source: RFC 9457, Problem Details for HTTP APIs.
type Problem struct {
	// Type is always "about:blank".
	Type string `json:"type"`
	// Title is the text of the status.
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is "not_run" or "unknown".
	Outcome cairnbay.Outcome `json:"outcome"`
	// Reason is a machine-readable code in snake_case.
	Reason    string `json:"reason"`
	RequestID string `json:"request_id"`
	// RetryAfterSeconds has the value of the header Retry-After; 0 is omitted.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

const problemType = "application/problem+json"

// refusal is a response that the router itself generates.
type refusal struct {
	status     int
	outcome    cairnbay.Outcome
	reason     string
	detail     string
	retryAfter time.Duration
	// close sets the header "Connection: close".
	close bool
}

func notRunRefusal(status int, reason, detail string, retryAfter time.Duration) *refusal {
	return &refusal{status: status, outcome: cairnbay.OutcomeNotRun, reason: reason, detail: detail, retryAfter: retryAfter}
}

func unknownRefusal(status int, reason, detail string) *refusal {
	return &refusal{status: status, outcome: cairnbay.OutcomeUnknown, reason: reason, detail: detail}
}

func bodyTooLargeRefusal(limit int64) *refusal {
	detail := "the request's body is over " + strconv.FormatInt(limit, 10) + " bytes"
	return notRunRefusal(http.StatusRequestEntityTooLarge, "body_too_large", detail, 0)
}

// ceilSeconds rounds up, because a caller that retries early is refused again.
func ceilSeconds(wait time.Duration) int {
	return int((wait + time.Second - 1) / time.Second)
}

func (r *refusal) write(writer http.ResponseWriter, requestID string) {
	problem := Problem{
		Type:              "about:blank",
		Title:             http.StatusText(r.status),
		Status:            r.status,
		Detail:            r.detail,
		Outcome:           r.outcome,
		Reason:            r.reason,
		RequestID:         requestID,
		RetryAfterSeconds: ceilSeconds(r.retryAfter),
	}
	content, err := json.Marshal(problem)
	if err != nil {
		content = []byte("{}")
	}
	header := writer.Header()
	header.Set("Content-Type", problemType)
	header.Set("Content-Length", strconv.Itoa(len(content)))
	header.Set(cairnbay.OutcomeHeader, string(r.outcome))
	header.Set(cairnbay.RequestHeader, requestID)
	if problem.RetryAfterSeconds > 0 {
		header.Set("Retry-After", strconv.Itoa(problem.RetryAfterSeconds))
	}
	if r.close {
		header.Set("Connection", "close")
	}
	writer.WriteHeader(r.status)
	_, _ = writer.Write(content)
}

package pull

import (
	"context"
	"fmt"
	"math"
	"time"

	"connectrpc.com/connect"

	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// result is the outcome of one call to another instance.
type result string

const (
	resultNewer   result = "newer"
	resultCurrent result = "current"
	resultFailed  result = "failed"
)

func (r result) metric() string {
	return fmt.Sprintf("cairnbay_configuration_pulls_total{result=%q}", string(r))
}

// neverMS is the heard_ms of an instance that the store has not answered, directly or
// through others.
const neverMS = math.MaxInt64

// maxHeardMS is the longest heard_ms that a duration can hold.
const maxHeardMS = math.MaxInt64 / int64(time.Millisecond)

// Answer serves the call of another instance that has a version.
func (p *Puller) Answer(version uint64) *cairnbayv1.PullConfigurationResponse {
	own, value := p.config.Current()
	response := &cairnbayv1.PullConfigurationResponse{Version: own, HeardMs: neverMS}
	if own > version {
		response.Value = value
	}
	if age := p.Age(); age != never {
		// Rounded up, so that a chain of answers does not make the age lower.
		response.HeardMs = int64((age + time.Millisecond - 1) / time.Millisecond)
	}
	return response
}

// pull asks the instance at an address, and adopts its version if that is newer. The
// answer confirms the version in force only if the instance does not have an older one.
// It returns false if there was no answer.
func (p *Puller) pull(ctx context.Context, address string) bool {
	version, _ := p.config.Current()
	sentAt := p.config.BootTime()
	response, err := p.config.Client(address).PullConfiguration(ctx,
		connect.NewRequest(&cairnbayv1.PullConfigurationRequest{Version: version}))
	if err != nil {
		// The age tells how long no instance has answered; a line for each call would
		// flood the log in an outage.
		p.pulls[resultFailed].Inc()
		return false
	}
	answer := response.Msg
	outcome := resultCurrent
	if len(answer.GetValue()) > 0 {
		outcome = resultNewer
		p.config.Adopt(answer.GetValue())
	}
	p.pulls[outcome].Inc()
	version, _ = p.config.Current()
	same := version == answer.GetVersion()
	heard := answer.GetHeardMs()
	upToDate := heard >= 0 && heard <= MaxAge.Milliseconds()
	if same && heard >= 0 && heard <= maxHeardMS {
		p.Confirm(sentAt - time.Duration(heard)*time.Millisecond)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !upToDate {
		p.staleAnswerAt, p.hasStaleAnswer = max(p.staleAnswerAt, sentAt), true
	} else if same {
		p.checked = true
	}
	return true
}

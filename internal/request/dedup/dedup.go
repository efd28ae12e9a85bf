// Package dedup deduplicates requests with an idempotency key. It sends claims and
// outcomes to the home member of the key, which stores outcomes and lets a repeat
// wait for a request that is still running.
package dedup

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/process/keys"
	"cairnbay/internal/process/slots"
	"cairnbay/internal/request/route"
)

var _ route.Keys = (*Dedup)(nil)

// Handler processes claims and outcomes on the home member; *keys.Keys implements it.
type Handler interface {
	HandleKey(ctx context.Context, request *cairnbayv1.KeyRequest) (*cairnbayv1.KeyResponse, error)
}

// Config holds the dependencies of a Dedup.
type Config struct {
	// Self is the ID of this member.
	Self    string
	Members cairnbay.Members
	// Local handles the keys whose home is this member.
	Local Handler
	// Peer returns the client of another member; false if the member is not known.
	Peer func(memberID string) (cairnbayv1connect.MemberServiceClient, bool)
	Log  *logrus.Entry
}

// Dedup implements route.Keys on top of the home members.
type Dedup struct {
	config Config
}

// New returns a Dedup; it needs no closing.
func New(config Config) *Dedup {
	return &Dedup{config: config}
}

// finishTimeout bounds the call that reports an outcome to the home.
const finishTimeout = 2 * time.Second

// Home returns the ID of the home member of the key's bucket, chosen among the live
// members of all data centres that are not leaving. Members with different member
// lists may choose different homes; the compare-and-swap in the store lets only one of
// them grant a claim.
func (d *Dedup) Home(service, key string) string {
	var ids []string
	for _, member := range d.config.Members.Live() {
		if !member.Leaving {
			ids = append(ids, member.ID)
		}
	}
	return slots.Home("keys/"+strconv.Itoa(keys.BucketOf(service, key)), ids)
}

// Claim asks the home whether the request may run, and waits while a request with the
// same key runs. If the call fails, it releases the claim, which the home may have
// granted, and returns KeyNotRun.
func (d *Dedup) Claim(ctx context.Context, call route.KeyCall) route.KeyClaim {
	response, err := d.send(ctx, newRequest(call))
	if err != nil {
		// The home may have granted the claim even though the call failed.
		d.Release(ctx, call)
		return route.KeyClaim{Verdict: route.KeyNotRun, Reason: "key_home_unreachable"}
	}
	claim := route.KeyClaim{Verdict: route.KeyVerdict(response.GetVerdict()), Reason: response.GetReason()}
	if claim.Verdict == route.KeyDone {
		claim.Answer = decodeAnswer(response)
	}
	return claim
}

// Complete reports that the request has run, with its whole answer.
func (d *Dedup) Complete(ctx context.Context, call route.KeyCall, answer route.KeyAnswer) {
	message := newRequest(call)
	message.Outcome = keys.VerdictDone
	message.Status = uint32(answer.Status)
	message.Body = answer.Body
	headers, err := json.Marshal(answer.Header)
	if err == nil {
		message.Headers = headers
	}
	d.finish(ctx, message)
}

// MarkUnknown reports that it is unknown whether the request has run.
func (d *Dedup) MarkUnknown(ctx context.Context, call route.KeyCall) {
	message := newRequest(call)
	message.Outcome = keys.VerdictUnknown
	d.finish(ctx, message)
}

// Release reports that the request has not run, so that the key can be claimed again.
func (d *Dedup) Release(ctx context.Context, call route.KeyCall) {
	message := newRequest(call)
	message.Outcome = keys.VerdictNotRun
	d.finish(ctx, message)
}

// finish reports an outcome to the home. If that fails, the claim remains: repeats
// wait until the home gives up on the run or is replaced, and then get KeyUnknown.
func (d *Dedup) finish(ctx context.Context, message *cairnbayv1.KeyRequest) {
	message.Finish = true
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if _, err := d.send(ctx, message); err != nil {
		d.config.Log.WithError(err).WithField("request_id", message.GetRequestId()).Warn("cannot report the outcome of a request to the home member of its idempotency key")
	}
}

func (d *Dedup) send(ctx context.Context, message *cairnbayv1.KeyRequest) (*cairnbayv1.KeyResponse, error) {
	home := d.Home(message.GetService(), message.GetKey())
	if home == d.config.Self {
		return d.config.Local.HandleKey(ctx, message)
	}
	client, ok := d.config.Peer(home)
	if !ok {
		return nil, cairnbay.ErrUnavailable
	}
	response, err := client.Key(ctx, connect.NewRequest(message))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func newRequest(call route.KeyCall) *cairnbayv1.KeyRequest {
	return &cairnbayv1.KeyRequest{Service: call.Service, Key: call.Key, BodyDigest: call.Digest, RequestId: call.RequestID, Claim: call.Claim}
}

func decodeAnswer(response *cairnbayv1.KeyResponse) route.KeyAnswer {
	answer := route.KeyAnswer{Status: int(response.GetStatus()), Header: http.Header{}, Body: response.GetBody()}
	if err := json.Unmarshal(response.GetHeaders(), &answer.Header); err != nil {
		answer.Header = http.Header{}
	}
	return answer
}

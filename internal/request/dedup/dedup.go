// Package dedup takes requests with an idempotency key to the home member of
// their key, which remembers outcomes and joins repeats.
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

// Handler is the home side; *keys.Keys is one.
type Handler interface {
	HandleKey(ctx context.Context, request *cairnbayv1.KeyRequest) (*cairnbayv1.KeyResponse, error)
}

// Config is what a Dedup is made of.
type Config struct {
	Self    string
	Members cairnbay.Members
	// Local answers for the keys that this member is home of.
	Local Handler
	// Peer is how to call another member.
	Peer func(memberID string) (cairnbayv1connect.MemberServiceClient, bool)
	Log  *logrus.Entry
}

// Dedup implements route.Keys.
type Dedup struct {
	config Config
}

// New returns a Dedup.
func New(config Config) *Dedup {
	return &Dedup{config: config}
}

// finishTimeout bounds telling the home how a request ended.
const finishTimeout = 2 * time.Second

// Home is the member that a key belongs to, over all data centres. Members with
// different views may name different homes; the store decides between them.
func (d *Dedup) Home(service, key string) string {
	var ids []string
	for _, member := range d.config.Members.Live() {
		if !member.Leaving {
			ids = append(ids, member.ID)
		}
	}
	return slots.Home("keys/"+strconv.Itoa(keys.BucketOf(service, key)), ids)
}

// Claim asks the key's home whether the request may run. When the home cannot
// be asked the request was not run.
func (d *Dedup) Claim(ctx context.Context, call route.KeyCall) route.KeyClaim {
	response, err := d.send(ctx, request(call))
	if err != nil {
		// The home may have granted the claim all the same.
		d.Release(ctx, call)
		return route.KeyClaim{Verdict: route.KeyNotRun, Reason: "key_home_unreachable"}
	}
	claim := route.KeyClaim{Verdict: route.KeyVerdict(response.GetVerdict()), Reason: response.GetReason()}
	if claim.Verdict == route.KeyDone {
		claim.Answer = answerOf(response)
	}
	return claim
}

// Complete remembers the whole answer.
func (d *Dedup) Complete(ctx context.Context, call route.KeyCall, answer route.KeyAnswer) {
	finish := request(call)
	finish.Outcome = keys.VerdictDone
	finish.Status = uint32(answer.Status)
	finish.Body = answer.Body
	headers, err := json.Marshal(answer.Header)
	if err == nil {
		finish.Headers = headers
	}
	d.finish(ctx, finish)
}

// MarkUnknown remembers that nobody can tell whether the request ran.
func (d *Dedup) MarkUnknown(ctx context.Context, call route.KeyCall) {
	finish := request(call)
	finish.Outcome = keys.VerdictUnknown
	d.finish(ctx, finish)
}

// Release gives the claim back.
func (d *Dedup) Release(ctx context.Context, call route.KeyCall) {
	finish := request(call)
	finish.Outcome = keys.VerdictNotRun
	d.finish(ctx, finish)
}

// finish tells the home. When it cannot be told the claim stands, and repeats
// are told unknown.
func (d *Dedup) finish(ctx context.Context, finish *cairnbayv1.KeyRequest) {
	finish.Finish = true
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if _, err := d.send(ctx, finish); err != nil {
		d.config.Log.WithError(err).WithField("request_id", finish.GetRequestId()).Warn("home of an idempotency key was not told the outcome")
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

func request(call route.KeyCall) *cairnbayv1.KeyRequest {
	return &cairnbayv1.KeyRequest{Service: call.Service, Key: call.Key, BodyDigest: call.Digest, RequestId: call.RequestID, Claim: call.Claim}
}

func answerOf(response *cairnbayv1.KeyResponse) route.KeyAnswer {
	answer := route.KeyAnswer{Status: int(response.GetStatus()), Header: http.Header{}, Body: response.GetBody()}
	if err := json.Unmarshal(response.GetHeaders(), &answer.Header); err != nil {
		answer.Header = http.Header{}
	}
	return answer
}

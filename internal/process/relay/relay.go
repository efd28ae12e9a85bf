// Package relay forwards callers' requests to the instance that owns a shard, calls to the policy service to instances that are free for them, and
// calls to the store to instances that reach it.
package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/conn/listen"
	"cairnbay/internal/process/drive"
)

// Config configures a Relay.
type Config struct {
	// Client makes calls to other instances.
	Client *http.Client
	// Drive returns the drive of a shard, or nil if this instance does not own it.
	Drive func(shard string) *drive.Drive
	// Advisor calls the policy service from this instance; nil if there is none.
	Advisor cairnbay.Advisor
	// Store makes a store call for an instance that cannot reach the store; nil
	// rejects such calls.
	Store func(ctx context.Context, call *cairnbayv1.StoreCall) *cairnbayv1.StoreAnswer
	// Configuration returns the operators' configuration of this instance, with its value
	// if it is newer than version; nil rejects such calls.
	Configuration func(version uint64) *cairnbayv1.PullConfigurationResponse
	// Quota moves parts of quotas from a shard that this instance owns; nil rejects such
	// calls.
	Quota func(ctx context.Context, request *cairnbayv1.RequestQuotaRequest) *cairnbayv1.RequestQuotaResponse
}

// Relay serves the calls of other instances and holds the clients to call them.
type Relay struct {
	config Config

	mu      sync.Mutex
	clients map[string]cairnbayv1connect.RelayClient
}

// New returns a Relay.
func New(config Config) *Relay {
	return &Relay{config: config, clients: make(map[string]cairnbayv1connect.RelayClient)}
}

// Handler returns the handler for calls of other instances.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	path, handler := cairnbayv1connect.NewRelayHandler(r)
	mux.Handle(path, handler)
	return mux
}

// Client returns the client for the instance at an address.
func (r *Relay) Client(address string) cairnbayv1connect.RelayClient {
	r.mu.Lock()
	defer r.mu.Unlock()
	client := r.clients[address]
	if client == nil {
		client = cairnbayv1connect.NewRelayClient(r.config.Client, "http://"+address)
		r.clients[address] = client
	}
	return client
}

const (
	// stepBytes is the memory of a step of a submitted workflow while it is decoded.
	stepBytes = 1 << 10
	// reasonOverloaded is the reason of a submission that has no room in memory.
	reasonOverloaded   = "request_memory"
	overloadRetryAfter = time.Second
)

// Submit implements the Relay service.
func (r *Relay) Submit(
	ctx context.Context, request *connect.Request[cairnbayv1.SubmitWorkflowRequest],
) (*connect.Response[cairnbayv1.SubmitWorkflowResponse], error) {
	if listen.Reserve(ctx, int64(len(request.Msg.GetWorkflow().GetSteps()))*stepBytes) != nil {
		return connect.NewResponse(&cairnbayv1.SubmitWorkflowResponse{
			Verdict: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_REFUSED, Reason: reasonOverloaded, RetryAfterMs: overloadRetryAfter.Milliseconds(),
		}), nil
	}
	submission := drive.Submission{
		Workflow: drive.DecodeWorkflow(request.Msg.GetWorkflow()), RoutingVersion: request.Msg.GetRoutingVersion(),
	}
	owner := r.config.Drive(request.Msg.GetShard())
	if owner == nil {
		return connect.NewResponse(&cairnbayv1.SubmitWorkflowResponse{
			Verdict: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_NOT_OWNER,
		}), nil
	}
	verdict := owner.Submit(ctx, submission)
	return connect.NewResponse(&cairnbayv1.SubmitWorkflowResponse{
		Verdict: verdict.Kind, Reason: verdict.Reason, RetryAfterMs: verdict.RetryAfter.Milliseconds(),
		Cancelled: verdict.Cancelled,
	}), nil
}

// Inspect implements the Relay service.
func (r *Relay) Inspect(
	ctx context.Context, request *connect.Request[cairnbayv1.InspectWorkflowRequest],
) (*connect.Response[cairnbayv1.InspectWorkflowResponse], error) {
	response := &cairnbayv1.InspectWorkflowResponse{}
	if owner := r.config.Drive(request.Msg.GetShard()); owner != nil {
		finding, err := owner.Inquire(ctx, drive.Inquiry{
			Scope: request.Msg.GetScope(), ID: request.Msg.GetId(), Queue: decodePath(request.Msg.GetQueue()),
			Submission: request.Msg.GetSubmission(),
		})
		response.Owner, response.Unconfirmed = err == nil, errors.Is(err, cairnbay.ErrUnconfirmed)
		response.State = uint32(finding.State)
		response.QueueAbsent = request.Msg.GetQueue() != nil && finding.QueueAbsent
	}
	return connect.NewResponse(response), nil
}

// Cancel implements the Relay service.
func (r *Relay) Cancel(
	ctx context.Context, request *connect.Request[cairnbayv1.CancelWorkflowRequest],
) (*connect.Response[cairnbayv1.CancelWorkflowResponse], error) {
	response := &cairnbayv1.CancelWorkflowResponse{}
	if owner := r.config.Drive(request.Msg.GetShard()); owner != nil {
		err := owner.Cancel(ctx, drive.Cancellation{
			Scope: request.Msg.GetScope(), ID: request.Msg.GetId(), Portion: request.Msg.GetPortion(),
			Withdraw: request.Msg.GetWithdraw(), Queue: decodePath(request.Msg.GetQueue()),
		})
		response.Unconfirmed = errors.Is(err, cairnbay.ErrUnconfirmed)
		response.Owner = !errors.Is(err, cairnbay.ErrNotOwner) && !response.Unconfirmed
		response.Found = !errors.Is(err, cairnbay.ErrNotFound)
		response.Stored = err == nil
		response.Whole = err == nil && owner.IsWhole(request.Msg.GetId())
	}
	return connect.NewResponse(response), nil
}

// Length implements the Relay service.
func (r *Relay) Length(
	ctx context.Context, request *connect.Request[cairnbayv1.LengthRequest],
) (*connect.Response[cairnbayv1.LengthResponse], error) {
	response := &cairnbayv1.LengthResponse{}
	if owner := r.config.Drive(request.Msg.GetShard()); owner != nil {
		length, err := owner.Length(ctx, drive.LengthInquiry{
			Path: decodePath(request.Msg.GetPath()), Name: request.Msg.GetQueue(), Absence: request.Msg.GetAbsence(),
		})
		response.Owner, response.Unconfirmed = err == nil, errors.Is(err, cairnbay.ErrUnconfirmed)
		response.Waiting, response.QueueAbsent = int64(length.Waiting), length.QueueAbsent
	}
	return connect.NewResponse(response), nil
}

func decodePath(path *cairnbayv1.QueuePath) cairnbay.QueuePath {
	return cairnbay.QueuePath{Host: path.GetHost(), Prefix: path.GetPrefix()}
}

// Advise implements the Relay service.
func (r *Relay) Advise(
	ctx context.Context, request *connect.Request[cairnbayv1.AdviseRequest],
) (*connect.Response[cairnbayv1.AdviseResponse], error) {
	if r.config.Advisor == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("policy service not configured"))
	}
	message := request.Msg
	tickets, err := r.config.Advisor.Advise(
		ctx, message.GetJob(), int(message.GetOccurrence()), int(message.GetStep()), message.GetWorkers())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &cairnbayv1.AdviseResponse{}
	for _, ticket := range tickets {
		response.Workers = append(response.Workers, ticket.Worker)
		response.Tickets = append(response.Tickets, ticket.Ticket)
	}
	return connect.NewResponse(response), nil
}

// Store implements the Relay service.
func (r *Relay) Store(
	ctx context.Context, request *connect.Request[cairnbayv1.StoreCall],
) (*connect.Response[cairnbayv1.StoreAnswer], error) {
	if r.config.Store == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("store calls for other instances are not served"))
	}
	return connect.NewResponse(r.config.Store(ctx, request.Msg)), nil
}

// PullConfiguration implements the Relay service.
func (r *Relay) PullConfiguration(
	_ context.Context, request *connect.Request[cairnbayv1.PullConfigurationRequest],
) (*connect.Response[cairnbayv1.PullConfigurationResponse], error) {
	if r.config.Configuration == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("the configuration is not served"))
	}
	return connect.NewResponse(r.config.Configuration(request.Msg.GetVersion())), nil
}

// RequestQuota implements the Relay service.
func (r *Relay) RequestQuota(
	ctx context.Context, request *connect.Request[cairnbayv1.RequestQuotaRequest],
) (*connect.Response[cairnbayv1.RequestQuotaResponse], error) {
	if r.config.Quota == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("quotas are not divided"))
	}
	return connect.NewResponse(r.config.Quota(ctx, request.Msg)), nil
}

// ConnectTimeout bounds the dial of a connection to another instance.
const ConnectTimeout = 400 * time.Millisecond

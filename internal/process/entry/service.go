package entry

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
)

var _ cairnbayv1connect.MemberServiceHandler = (*service)(nil)

// service dispatches calls from members to the components of the instance.
type service struct {
	entry *Entry
}

// connectCodes maps sentinel errors to the Connect connectCodes between members.
var connectCodes = []struct {
	err  error
	code connect.Code
}{
	{cairnbay.ErrNotFound, connect.CodeNotFound},
	{cairnbay.ErrNeverFits, connect.CodeFailedPrecondition},
	{cairnbay.ErrInvalid, connect.CodeInvalidArgument},
	{cairnbay.ErrConflict, connect.CodeAborted},
	{cairnbay.ErrQueueFull, connect.CodeResourceExhausted},
	{cairnbay.ErrUnknown, connect.CodeUnknown},
	{cairnbay.ErrNotOwner, connect.CodeUnavailable},
	{cairnbay.ErrUnavailable, connect.CodeUnavailable},
}

// Beat handles a member's heartbeat.
func (s *service) Beat(
	ctx context.Context, request *connect.Request[cairnbayv1.BeatRequest],
) (*connect.Response[cairnbayv1.BeatResponse], error) {
	return answer(s.entry.member.HandleBeat(ctx, request.Msg))
}

// PullSettings returns the settings version in force.
func (s *service) PullSettings(
	ctx context.Context, request *connect.Request[cairnbayv1.PullSettingsRequest],
) (*connect.Response[cairnbayv1.PullSettingsResponse], error) {
	return answer(s.entry.follower.HandlePullSettings(ctx, request.Msg))
}

// PullJournal returns this member's copy of a journal.
func (s *service) PullJournal(
	ctx context.Context, request *connect.Request[cairnbayv1.PullJournalRequest],
) (*connect.Response[cairnbayv1.PullJournalResponse], error) {
	return answer(s.entry.owner.HandlePullJournal(ctx, request.Msg))
}

// Key claims or finishes an idempotency key whose home is this member.
func (s *service) Key(
	ctx context.Context, request *connect.Request[cairnbayv1.KeyRequest],
) (*connect.Response[cairnbayv1.KeyResponse], error) {
	return answer(s.entry.keys.HandleKey(ctx, request.Msg))
}

// Submit accepts a job for a shard that this member owns.
func (s *service) Submit(
	ctx context.Context, request *connect.Request[cairnbayv1.SubmitRequest],
) (*connect.Response[cairnbayv1.SubmitResponse], error) {
	return answer(s.entry.owner.HandleSubmit(ctx, request.Msg))
}

// Cancel cancels jobs of a shard that this member owns.
func (s *service) Cancel(
	ctx context.Context, request *connect.Request[cairnbayv1.CancelRequest],
) (*connect.Response[cairnbayv1.CancelResponse], error) {
	return answer(s.entry.owner.HandleCancel(ctx, request.Msg))
}

// Query reads from a shard that this member owns, or lists these shards.
func (s *service) Query(
	ctx context.Context, request *connect.Request[cairnbayv1.QueryRequest],
) (*connect.Response[cairnbayv1.QueryResponse], error) {
	if request.Msg.GetWhat() != queryShards {
		return answer(s.entry.owner.HandleQuery(ctx, request.Msg))
	}
	encoded, err := json.Marshal(s.entry.owner.Shards())
	return answer(&cairnbayv1.QueryResponse{Answer: encoded}, err)
}

// answer wraps a message or an error for Connect. It returns a *connect.Error
// unchanged and gives other errors the code of their sentinel, or CodeInternal.
func answer[T any](message *T, err error) (*connect.Response[T], error) {
	if err == nil {
		return connect.NewResponse(message), nil
	}
	var typed *connect.Error
	if errors.As(err, &typed) {
		return nil, typed
	}
	for _, mapping := range connectCodes {
		if errors.Is(err, mapping.err) {
			return nil, connect.NewError(mapping.code, err)
		}
	}
	return nil, connect.NewError(connect.CodeInternal, err)
}

package owner

import (
	"connectrpc.com/connect"
	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
)

func newRequest[T any](message *T) *connect.Request[T] {
	return connect.NewRequest(message)
}

// errorCodes maps sentinel errors to Connect codes in calls between members.
// Errors that are not listed become ErrUnknown, because the call may have taken
// effect.
var errorCodes = []struct {
	sentinel error
	code     connect.Code
}{
	{cairnbay.ErrInvalid, connect.CodeInvalidArgument},
	{cairnbay.ErrNeverFits, connect.CodeOutOfRange},
	{cairnbay.ErrNotFound, connect.CodeNotFound},
	{cairnbay.ErrNotOwner, connect.CodeFailedPrecondition},
	{cairnbay.ErrUnavailable, connect.CodeAborted},
}

// toConnect wraps an error with the Connect code of its sentinel.
func toConnect(err error) error {
	for _, mapping := range errorCodes {
		if errors.Is(err, mapping.sentinel) {
			return connect.NewError(mapping.code, err)
		}
	}
	return connect.NewError(connect.CodeUnknown, err)
}

// fromConnect returns the sentinel error of a Connect code, ErrUnknown for a code
// without one. ErrNotOwner becomes ErrUnavailable, because the request had no effect.
func fromConnect(err error) error {
	code := connect.CodeOf(err)
	for _, mapping := range errorCodes {
		if code != mapping.code {
			continue
		}
		if errors.Is(mapping.sentinel, cairnbay.ErrNotOwner) {
			return errors.Annotatef(cairnbay.ErrUnavailable, "%v", err)
		}
		return errors.Annotatef(mapping.sentinel, "%v", err)
	}
	return errors.Annotatef(cairnbay.ErrUnknown, "%v", err)
}

// ownerClient returns a client for the owner of a shard. Errors: ErrUnavailable.
func (o *Owner) ownerClient(id cairnbay.ShardID) (cairnbayv1connect.MemberServiceClient, error) {
	memberID := o.ownerOf(id)
	if memberID == "" {
		return nil, errors.Annotatef(cairnbay.ErrUnavailable, "shard %q has no owner yet", id)
	}
	peer, ok := o.config.Peer(memberID)
	if !ok {
		return nil, errors.Annotatef(cairnbay.ErrUnavailable, "member %q owns shard %q and cannot be reached", memberID, id)
	}
	return peer, nil
}

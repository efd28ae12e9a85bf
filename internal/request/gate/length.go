package gate

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/tenure"
)

// length responds with the number of jobs in the queue that have not started.
func (g *Gate) length(ctx context.Context, writer http.ResponseWriter, callerReq *callerRequest) {
	for {
		waiting, err := g.queueLength(ctx, callerReq.queue)
		if err == nil {
			body, err := g.config.Format.EncodeQueueLength(waiting)
			g.writeJSON(writer, callerReq, body, err, "length")
			return
		}
		if !g.repeat(ctx, callerReq, err) {
			g.refuse(writer, callerReq, err.Error(), time.Second)
			return
		}
	}
}

// queueLength sums the numbers of jobs that have not started over the shards of the
// queue's class, and of other classes that it may have had. Errors: those of
// shardQueueLength for any of them, since a sum of fewer shards would be too low, and
// cairnbay.ErrUnconfirmed.
func (g *Gate) queueLength(ctx context.Context, queue cairnbay.Queue) (int, error) {
	divided, ok := g.awaitLayout(ctx, queue.Class)
	if !ok {
		return 0, errNoOwner
	}
	// The value says whether to learn if the shard has any jobs of the queue.
	shards := make(map[string]bool)
	fresh := g.fresh()
	for _, shard := range divided.Names() {
		shards[shard] = false
	}
	layouts, err := g.layouts(ctx, &queue)
	if err != nil {
		return 0, err
	}
	for class, other := range layouts {
		if class == queue.Class {
			continue
		}
		for _, shard := range other.Names() {
			if lacked := g.former.lacks(&queue, shard); !lacked || !fresh {
				shards[shard] = !lacked
			}
		}
	}
	var total atomic.Int64
	calls, ctx := errgroup.WithContext(ctx)
	for shard, former := range shards {
		calls.Go(func() error {
			waiting, err := g.shardQueueLength(ctx, shard, &queue, former)
			total.Add(int64(waiting))
			return err
		})
	}
	err = calls.Wait()
	return int(total.Load()), err
}

// shardQueueLength gets the number of jobs that have not started from the owner of a
// shard, and with former learns whether that shard has any jobs of the queue. Errors: as
// of inspectShard.
func (g *Gate) shardQueueLength(ctx context.Context, shard string, queue *cairnbay.Queue, former bool) (int, error) {
	owner, ok := g.awaitOwner(ctx, shard)
	if !ok {
		return 0, errNoOwner
	}
	asked := time.Now()
	inquiry := drive.LengthInquiry{Path: queue.Path(), Name: queue.Name, Absence: former}
	length, err := g.inquireLength(ctx, shard, owner, inquiry)
	if err == nil && length.QueueAbsent {
		g.former.setAbsent(queue, shard, asked)
	}
	return length.Waiting, err
}

// inquireLength passes an inquiry to the owner of a shard. Errors: as of inspectShard.
func (g *Gate) inquireLength(
	ctx context.Context, shard string, owner tenure.Owner, inquiry drive.LengthInquiry,
) (drive.QueueLength, error) {
	if localDrive := g.config.Drive(shard); localDrive != nil {
		length, err := localDrive.Length(ctx, inquiry)
		return length, ownerError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, confirmedCallTimeout)
	defer cancel()
	response, err := g.config.Relay.Client(owner.Address).Length(ctx, connect.NewRequest(&cairnbayv1.LengthRequest{
		Shard: shard, Queue: inquiry.Name, Path: encodePath(inquiry.Path), Absence: inquiry.Absence,
	}))
	g.recordOwnerCall(err == nil)
	if err != nil {
		return drive.QueueLength{}, err
	}
	if err := responseError(response.Msg); err != nil {
		return drive.QueueLength{}, err
	}
	return drive.QueueLength{Waiting: int(response.Msg.GetWaiting()), QueueAbsent: response.Msg.GetQueueAbsent()}, nil
}

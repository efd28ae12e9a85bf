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
		if !pause(ctx) {
			g.refuse(writer, callerReq, err.Error(), time.Second)
			return
		}
	}
}

// queueLength sums the numbers of jobs that have not started over the shards of the
// queue's class, and of other classes that it may have had. Errors: those of
// shardQueueLength for any of them, since a sum of fewer shards would be too low.
func (g *Gate) queueLength(ctx context.Context, queue cairnbay.Queue) (int, error) {
	divided, ok := g.awaitLayout(ctx, queue.Class)
	if !ok {
		return 0, errNoOwner
	}
	shards := divided.Names()
	for class, other := range g.config.Owners.Layouts() {
		if class == queue.Class {
			continue
		}
		for _, shard := range other.Names() {
			if !g.former.lacks(&queue, shard) {
				shards = append(shards, shard)
			}
		}
	}
	var total atomic.Int64
	calls, ctx := errgroup.WithContext(ctx)
	for _, shard := range shards {
		calls.Go(func() error {
			waiting, err := g.shardQueueLength(ctx, shard, &queue)
			total.Add(int64(waiting))
			return err
		})
	}
	err := calls.Wait()
	return int(total.Load()), err
}

// shardQueueLength gets the number of jobs that have not started from the owner of a
// shard. Errors: errNoOwner, also when the called instance does not own the shard, or
// the error of the call.
func (g *Gate) shardQueueLength(ctx context.Context, shard string, queue *cairnbay.Queue) (int, error) {
	owner, ok := g.awaitOwner(ctx, shard)
	if !ok {
		return 0, errNoOwner
	}
	asked := time.Now()
	if localDrive := g.config.Drive(shard); localDrive != nil {
		if waiting, isOwner := localDrive.Length(queue.Path(), queue.Name); isOwner {
			if localDrive.LacksQueue(queue.Path()) {
				g.former.setAbsent(queue, shard, asked)
			}
			return waiting, nil
		}
		return 0, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	response, err := g.config.Relay.Client(owner.Address).Length(ctx,
		connect.NewRequest(&cairnbayv1.LengthRequest{Shard: shard, Queue: queue.Name, Path: encodePath(queue.Path())}))
	g.recordOwnerCall(err == nil)
	if err != nil {
		return 0, err
	}
	if !response.Msg.GetOwner() {
		return 0, errNoOwner
	}
	if response.Msg.GetQueueAbsent() {
		g.former.setAbsent(queue, shard, asked)
	}
	return int(response.Msg.GetWaiting()), nil
}

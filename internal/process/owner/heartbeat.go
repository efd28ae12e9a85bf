package owner

import (
	"context"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/commit"
)

var _ cairnbay.HeartbeatDelegate = (*Owner)(nil)

func newReplica() *replica {
	return &replica{journal: commit.NewReplica()}
}

// FillHeartbeat implements cairnbay.HeartbeatDelegate. It adds the owned shards
// and, for peers in the same data centre, the sequence of each journal replica.
func (o *Owner) FillHeartbeat(peer cairnbay.Member, heartbeat *cairnbayv1.Heartbeat) {
	for _, runner := range o.runners() {
		status := runner.status()
		heartbeat.Shards = append(heartbeat.Shards, &cairnbayv1.ShardHeld{
			Shard: string(runner.shard), Generation: runner.epoch.Generation, Bump: runner.epoch.Bump,
			JournalSequence: status.JournalSequence,
			FreeMilliCpu:    status.Free.MilliCPU, FreeMemoryMb: status.Free.MemoryMB, FreeAccelerators: status.Free.Accelerators,
		})
	}
	if peer.DataCentre != o.config.Members.Self().DataCentre {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, replica := range o.replicas {
		if sequence := replica.journal.Sequence(); sequence > 0 {
			heartbeat.Journals = append(heartbeat.Journals, &cairnbayv1.JournalTip{Shard: string(id), Sequence: sequence})
		}
	}
}

// HandleHeartbeat implements cairnbay.HeartbeatDelegate. It records the owners of
// shards and pulls journals that are ahead of the local replicas.
func (o *Owner) HandleHeartbeat(peer cairnbay.Member, heartbeat *cairnbayv1.Heartbeat) {
	now := o.config.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, owned := range heartbeat.GetShards() {
		id := cairnbay.ShardID(owned.GetShard())
		epoch := cairnbay.Epoch{Generation: owned.GetGeneration(), Bump: owned.GetBump(), Instance: peer.ID}
		current, ok := o.announced[id]
		if !ok || current.memberID == peer.ID || epoch.Compare(current.epoch) >= 0 {
			o.announced[id] = announcement{memberID: peer.ID, epoch: epoch, receivedAt: now}
		}
		o.pullIfBehind(id, peer.ID, owned.GetJournalSequence())
	}
	for _, tip := range heartbeat.GetJournals() {
		o.pullIfBehind(cairnbay.ShardID(tip.GetShard()), peer.ID, tip.GetSequence())
	}
}

// pullIfBehind updates the local replica from a peer whose journal or replica
// has a higher sequence. The caller holds o.mu.
func (o *Owner) pullIfBehind(id cairnbay.ShardID, peerID string, sequence uint64) {
	replica := o.replicas[id]
	if replica == nil || o.closed || replica.pulling || sequence <= replica.journal.Sequence() {
		return
	}
	if ownership := o.shards[id]; ownership != nil && ownership.runner != nil {
		return
	}
	replica.pulling = true
	o.goroutines.Go(func() { o.pullReplica(id, replica, peerID) })
}

func (o *Owner) pullReplica(id cairnbay.ShardID, replica *replica, peerID string) {
	defer func() {
		o.mu.Lock()
		replica.pulling = false
		o.mu.Unlock()
	}()
	peer, ok := o.config.Peer(peerID)
	if !ok {
		return
	}
	ctx, cancel := o.withPeerTimeout(o.context)
	defer cancel()
	response, err := peer.PullJournal(ctx, newRequest(&cairnbayv1.PullJournalRequest{
		Shard: string(id), AboveSequence: replica.journal.Sequence(),
	}))
	if err == nil {
		err = replica.journal.Apply(response.Msg.GetSegments())
	}
	if err != nil {
		o.config.Log.WithField("shard", id).WithError(err).Debug("journal copy not pulled")
	}
}

// HandlePullJournal returns the journal segments that another member's replica
// lacks.
func (o *Owner) HandlePullJournal(_ context.Context, request *cairnbayv1.PullJournalRequest) (*cairnbayv1.PullJournalResponse, error) {
	id := cairnbay.ShardID(request.GetShard())
	o.mu.Lock()
	replica := o.replicas[id]
	o.mu.Unlock()
	var segments [][]byte
	var sequence, generation uint64
	var err error
	runner := o.runnerOf(id)
	switch {
	case runner != nil && runner.journal != nil:
		segments, sequence, err = runner.journal.SegmentsAfter(request.GetAboveSequence())
		generation = runner.epoch.Generation
	case replica != nil:
		segments, sequence, err = replica.journal.SegmentsAfter(request.GetAboveSequence())
	default:
		err = cairnbay.ErrNotOwner
	}
	if err != nil {
		return nil, toConnect(err)
	}
	return &cairnbayv1.PullJournalResponse{Segments: segments, Sequence: sequence, Generation: generation}, nil
}

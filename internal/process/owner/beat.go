package owner

import (
	"context"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/commit"
)

var _ cairnbay.HeartbeatDelegate = (*Owner)(nil)

func newReplica() *replica {
	return &replica{copied: commit.NewReplica()}
}

// FillHeartbeat implements cairnbay.HeartbeatDelegate: the shards held, and how far the
// copies of others' journals reach.
func (o *Owner) FillHeartbeat(peer cairnbay.Member, beat *cairnbayv1.Heartbeat) {
	for _, run := range o.runs() {
		status := run.status()
		beat.Shards = append(beat.Shards, &cairnbayv1.ShardHeld{
			Shard: string(run.shard), Generation: run.epoch.Generation, Bump: run.epoch.Bump,
			JournalSequence: status.JournalSequence,
			FreeMilliCpu:    status.Free.MilliCPU, FreeMemoryMb: status.Free.MemoryMB, FreeAccelerators: status.Free.Accelerators,
		})
	}
	if peer.DataCentre != o.config.Members.Self().DataCentre {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, kept := range o.copies {
		if sequence := kept.copied.Sequence(); sequence > 0 {
			beat.Journals = append(beat.Journals, &cairnbayv1.JournalTip{Shard: string(id), Sequence: sequence})
		}
	}
}

// HandleHeartbeat implements cairnbay.HeartbeatDelegate.
func (o *Owner) HandleHeartbeat(peer cairnbay.Member, beat *cairnbayv1.Heartbeat) {
	now := o.config.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, held := range beat.GetShards() {
		id := cairnbay.ShardID(held.GetShard())
		epoch := cairnbay.Epoch{Generation: held.GetGeneration(), Bump: held.GetBump(), Instance: peer.ID}
		known, ok := o.holders[id]
		if !ok || known.member == peer.ID || epoch.Compare(known.epoch) >= 0 {
			o.holders[id] = holder{member: peer.ID, epoch: epoch, heard: now}
		}
		o.heardTip(id, peer.ID, held.GetJournalSequence())
	}
	for _, tip := range beat.GetJournals() {
		o.heardTip(cairnbay.ShardID(tip.GetShard()), peer.ID, tip.GetSequence())
	}
}

// heardTip pulls from a peer whose journal or copy reaches further than the
// copy kept here.
func (o *Owner) heardTip(id cairnbay.ShardID, peer string, sequence uint64) {
	kept := o.copies[id]
	if kept == nil || o.closed || kept.pulling || sequence <= kept.copied.Sequence() {
		return
	}
	if stands := o.shards[id]; stands != nil && stands.run != nil {
		return
	}
	kept.pulling = true
	o.group.Go(func() { o.pull(id, kept, peer) })
}

func (o *Owner) pull(id cairnbay.ShardID, kept *replica, member string) {
	defer func() {
		o.mu.Lock()
		kept.pulling = false
		o.mu.Unlock()
	}()
	peer, ok := o.config.Peer(member)
	if !ok {
		return
	}
	ctx, cancel := o.bounded(o.context)
	defer cancel()
	got, err := peer.PullJournal(ctx, request(&cairnbayv1.PullJournalRequest{
		Shard: string(id), AboveSequence: kept.copied.Sequence(),
	}))
	if err == nil {
		err = kept.copied.Apply(got.Msg.GetSegments())
	}
	if err != nil {
		o.config.Log.WithField("shard", id).WithError(err).Debug("journal copy not pulled")
	}
}

// HandlePullJournal gives another member what its copy of a journal lacks.
func (o *Owner) HandlePullJournal(_ context.Context, asked *cairnbayv1.PullJournalRequest) (*cairnbayv1.PullJournalResponse, error) {
	id := cairnbay.ShardID(asked.GetShard())
	o.mu.Lock()
	kept := o.copies[id]
	o.mu.Unlock()
	var segments [][]byte
	var sequence, generation uint64
	var err error
	run := o.runOf(id)
	switch {
	case run != nil && run.journal != nil:
		segments, sequence, err = run.journal.SegmentsAfter(asked.GetAboveSequence())
		generation = run.epoch.Generation
	case kept != nil:
		segments, sequence, err = kept.copied.SegmentsAfter(asked.GetAboveSequence())
	default:
		err = cairnbay.ErrNotOwner
	}
	if err != nil {
		return nil, toConnect(err)
	}
	return &cairnbayv1.PullJournalResponse{Segments: segments, Sequence: sequence, Generation: generation}, nil
}

package owner

import (
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/process/commit"
	"cairnbay/internal/process/shard"
	"cairnbay/internal/process/timer"
)

// take takes a shard over: from the journal when the store answers, else from
// the copy that this member keeps.
func (o *Owner) take(id cairnbay.ShardID, stands *claim) {
	started := o.config.Clock.Now()
	taken, err := o.open(id)
	if err != nil && !errors.Is(err, cairnbay.ErrFenced) {
		taken = o.openCopy(id, stands)
	}
	now := o.config.Clock.Now()
	o.mu.Lock()
	stands.taking = false
	if taken == nil {
		o.backOff(stands, now)
	}
	keep := taken != nil && !o.closed
	if keep {
		stands.run = taken
	}
	o.mu.Unlock()
	switch {
	case taken == nil:
		o.config.Log.WithField("shard", id).WithError(err).Warn("shard cannot be taken over")
	case !keep:
		taken.close()
	default:
		o.announce(taken, now-started)
	}
}

func (o *Owner) announce(taken *run, took time.Duration) {
	o.config.Log.WithField("shard", taken.shard).WithField("epoch", taken.epoch.String()).
		WithField("copied", taken.journal == nil).Info("taking shard over")
	takeovers(taken.shard, taken.journal == nil).Inc()
	if o.config.Recorder != nil {
		o.config.Recorder.RecordException(cairnbay.Exception{
			UnixMS: o.config.Clock.Wall().UnixMilli(), Name: "takeover",
			Fields: map[string]string{
				"shard": string(taken.shard), "epoch": taken.epoch.String(), "journal_took": took.String(),
			},
		})
	}
	o.nudge()
}

// open takes over the journal and starts a run on it.
func (o *Owner) open(id cairnbay.ShardID) (*run, error) {
	ctx, cancel := timer.WithTimeout(o.context, o.config.Clock, takeTimeout)
	defer cancel()
	journal, err := commit.Open(ctx, commit.Config{
		Shard: id, Store: o.config.Store, Clock: o.config.Clock, OwnerID: o.life, Log: o.config.Log,
	})
	if err != nil {
		return nil, err
	}
	epoch := cairnbay.Epoch{Generation: journal.Generation(), Instance: o.life}
	return o.newRun(id, epoch, journal, journal.State()), nil
}

// openCopy starts a run on the copy of the journal, under an epoch above every
// one seen. It returns nil without a copy: nobody knows the jobs then.
func (o *Owner) openCopy(id cairnbay.ShardID, stands *claim) *run {
	o.mu.Lock()
	kept := o.copies[id]
	seen := maxEpoch(stands.rival, o.holders[id].epoch)
	o.mu.Unlock()
	if kept == nil || kept.copied.Sequence() == 0 {
		return nil
	}
	state := kept.copied.State()
	epoch := cairnbay.Epoch{Generation: max(state.Generation, seen.Generation), Instance: o.life}
	if epoch.Generation == seen.Generation {
		epoch.Bump = seen.Bump
	}
	epoch.Bump++
	return o.newRun(id, epoch, nil, state)
}

func maxEpoch(a, b cairnbay.Epoch) cairnbay.Epoch {
	if a.Compare(b) > 0 {
		return a
	}
	return b
}

// reopen replaces a run on a copy by one on the journal once the store
// answers. Workers still hold every end that is not in the journal.
func (o *Owner) reopen(old *run) {
	taken, err := o.open(old.shard)
	if err != nil {
		return
	}
	o.mu.Lock()
	stands := o.shards[old.shard]
	keep := stands != nil && stands.run == old && !o.closed
	if keep {
		stands.run = taken
		o.retired = append(o.retired, old)
	}
	o.mu.Unlock()
	if !keep {
		taken.close()
		return
	}
	o.announce(taken, 0)
}

// newRun starts a run. The core gets its workers from the next look at the
// list.
func (o *Owner) newRun(id cairnbay.ShardID, epoch cairnbay.Epoch, journal *commit.Journal, state *commit.State) *run {
	placer := o.config.NewPlacer(id)
	now := o.config.Clock.Now()
	if settings := o.config.Settings.Current(); settings != nil {
		placer.SetSettings(settings, now)
	}
	started := &run{
		owner: o, shard: id, epoch: epoch, journal: journal,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	started.core = shard.New(shard.Config{
		Shard: id, Placer: placer, Epoch: epoch, State: state, FromReplica: journal == nil,
		TaskLease: o.config.TaskLease, QuorumValidity: o.config.QuorumValidity, RenewWait: o.config.RenewWait, GoneAfter: o.config.GoneAfter,
		MarkWindow: o.markWindow, MarkAhead: o.config.MarkAhead, OnMarkWait: o.markWaited, OnTaskStart: o.observe, OnTaskFinal: o.finished,
	}, now)
	started.start()
	return started
}

package owner

import (
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/process/commit"
	"cairnbay/internal/process/shard"
	"cairnbay/internal/process/timer"
)

// takeOver takes a shard over: from the journal when the store answers, otherwise
// from this member's replica.
func (o *Owner) takeOver(id cairnbay.ShardID, ownership *shardOwnership) {
	started := o.config.Clock.Now()
	runner, err := o.openFromJournal(id)
	if err != nil && !errors.Is(err, cairnbay.ErrFenced) {
		runner = o.openFromReplica(id, ownership)
	}
	now := o.config.Clock.Now()
	o.mu.Lock()
	ownership.takingOver = false
	if runner == nil {
		o.backOff(ownership, now)
	}
	installed := runner != nil && !o.closed
	if installed {
		ownership.runner = runner
	}
	o.mu.Unlock()
	switch {
	case runner == nil:
		o.config.Log.WithField("shard", id).WithError(err).Warn("shard cannot be taken over")
	case !installed:
		runner.close()
	default:
		o.reportTakeover(runner, now-started)
	}
}

func (o *Owner) reportTakeover(runner *runner, took time.Duration) {
	o.config.Log.WithField("shard", runner.shard).WithField("epoch", runner.epoch.String()).
		WithField("copied", runner.journal == nil).Info("taking shard over")
	takeoverCounter(runner.shard, runner.journal == nil).Inc()
	if o.config.Recorder != nil {
		o.config.Recorder.RecordException(cairnbay.Exception{
			UnixMS: o.config.Clock.Wall().UnixMilli(), Name: "takeover",
			Fields: map[string]string{
				"shard": string(runner.shard), "epoch": runner.epoch.String(), "journal_took": took.String(),
			},
		})
	}
	o.notify()
}

// openFromJournal takes over the journal and starts a runner on it.
func (o *Owner) openFromJournal(id cairnbay.ShardID) (*runner, error) {
	ctx, cancel := timer.WithTimeout(o.context, o.config.Clock, takeoverTimeout)
	defer cancel()
	journal, err := commit.Open(ctx, commit.Config{
		Shard: id, Store: o.config.Store, Clock: o.config.Clock, OwnerID: o.incarnation, Log: o.config.Log,
	})
	if err != nil {
		return nil, err
	}
	epoch := cairnbay.Epoch{Generation: journal.Generation(), Instance: o.incarnation}
	return o.newRunner(id, epoch, journal, journal.State()), nil
}

// openFromReplica starts a runner on this member's replica of the journal, under an
// epoch above every epoch seen. It returns nil without a replica, because the jobs
// are unknown then.
func (o *Owner) openFromReplica(id cairnbay.ShardID, ownership *shardOwnership) *runner {
	o.mu.Lock()
	replica := o.replicas[id]
	highest := maxEpoch(ownership.fencingEpoch, o.announced[id].epoch)
	o.mu.Unlock()
	if replica == nil || replica.journal.Sequence() == 0 {
		return nil
	}
	state := replica.journal.State()
	epoch := cairnbay.Epoch{Generation: max(state.Generation, highest.Generation), Instance: o.incarnation}
	if epoch.Generation == highest.Generation {
		epoch.Bump = highest.Bump
	}
	epoch.Bump++
	return o.newRunner(id, epoch, nil, state)
}

func maxEpoch(a, b cairnbay.Epoch) cairnbay.Epoch {
	if a.Compare(b) > 0 {
		return a
	}
	return b
}

// switchToJournal replaces a runner on a replica by a runner on the journal once the
// store answers. Workers retain every task end that is not in the journal, so the new
// runner receives the ends that the old one could not write.
func (o *Owner) switchToJournal(old *runner) {
	runner, err := o.openFromJournal(old.shard)
	if err != nil {
		return
	}
	o.mu.Lock()
	ownership := o.shards[old.shard]
	installed := ownership != nil && ownership.runner == old && !o.closed
	if installed {
		ownership.runner = runner
		o.retired = append(o.retired, old)
	}
	o.mu.Unlock()
	if !installed {
		runner.close()
		return
	}
	o.reportTakeover(runner, 0) // the replica served the shard in the meantime
}

// newRunner starts a runner. The next assignment check passes the core its
// workers.
func (o *Owner) newRunner(id cairnbay.ShardID, epoch cairnbay.Epoch, journal *commit.Journal, state *commit.State) *runner {
	placer := o.config.NewPlacer(id)
	now := o.config.Clock.Now()
	if settings := o.config.Settings.Current(); settings != nil {
		placer.SetSettings(settings, now)
	}
	runner := &runner{
		owner: o, shard: id, epoch: epoch, journal: journal,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	runner.core = shard.New(shard.Config{
		Shard: id, Placer: placer, Epoch: epoch, State: state, FromReplica: journal == nil,
		TaskLease: o.config.TaskLease, QuorumValidity: o.config.QuorumValidity, RenewWait: o.config.RenewWait, GoneAfter: o.config.GoneAfter,
		MarkWindow: o.markWindow, MarkAhead: o.config.MarkAhead, OnMarkWait: o.recordMarkWait, OnTaskStart: o.recordStart, OnTaskFinal: o.recordFinalState,
	}, now)
	runner.start()
	return runner
}

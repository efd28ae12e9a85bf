package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/timer"
	"cairnbay/platform"
)

const (
	// settleTime is how long after the loss of an owner its successor may hold tasks back: the
	// claim, the time for which the former owner may give orders, and the longest lease that
	// owners grant, on a slow clock.
	settleTime = 10 * time.Second
	// quorumShare is the share of a shard's workers that confirms an owner without the store, for
	// drive.DefaultMaxStoreSilence at most. A successor that does not reach so many cannot tell
	// that its former owner has stopped before.
	quorumShare = 0.6
	// listedTime is how long a lost worker stays in the platform's list: three heartbeats.
	listedTime = 4500 * time.Millisecond
	// lossSpread is how many eighths of the workers are lost beyond half of them, at most.
	lossSpread = 1
	// ownerAway is how long the process of a lost owner is away.
	ownerAway = 3 * time.Second
)

// loseOwner kills the owner of a shard together with half of all workers or more, waits until
// the tasks there must run again, and adds as many workers.
func loseOwner(ctx context.Context, w *world, random *rand.Rand) string {
	w.faults++
	w.ownerEnds++
	half := len(w.toWorker) / 2
	lost := random.Perm(len(w.toWorker))[:half+random.IntN(1+len(w.toWorker)*lossSpread/8)]
	owner := w.owner(ctx, w.shards[random.IntN(len(w.shards))], random.IntN(len(w.processes)))
	settle := w.settleAfter(ctx, owner, lost)
	w.calmFrom.Store(int64(timer.Boot() + settle))
	w.signal(owner, syscall.SIGKILL, ownerAway)
	for _, i := range lost {
		id := w.worker(i)
		w.fleet.Cut(id, true)
		w.after(ctx, listedTime, func() { w.store.Drop(platform.WorkerPrefix + id) })
	}
	sleep(ctx, settle+calmLead+waitBound+outageGap+time.Duration(random.Int64N(int64(outageSpread))))
	w.calmFrom.Store(int64(timer.Boot()))
	for _, i := range lost {
		w.fleet.Crash(w.worker(i))
		w.addLife(i)
	}
	w.later.Wait()
	sleep(ctx, outageGap)
	return fmt.Sprintf("kill %s, %d of %d workers are lost", w.name(owner), len(lost), len(w.toWorker))
}

// settleAfter returns how long the successors of an owner may hold tasks back after its loss
// together with workers.
func (w *world) settleAfter(ctx context.Context, owner int, lost []int) time.Duration {
	for number, shard := range w.shards {
		total, missing := 0, 0
		for i := range w.toWorker {
			if w.shardOf(i) != number {
				continue
			}
			total++
			if slices.Contains(lost, i) {
				missing++
			}
		}
		if float64(missing) >= quorumShare*float64(total) && w.owner(ctx, shard, owner) == owner {
			return settleTime + drive.DefaultMaxStoreSilence
		}
	}
	return settleTime
}

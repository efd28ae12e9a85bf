package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"cairnbay"
	"cairnbay/internal/fake/proxy"
)

const (
	// longTime is how long a task of a long job runs: longer than an owner's lease, and
	// shorter than the longest one. longShare is how many jobs there are to a long one, and
	// recutCallers the number of callers, so that the other workers can bear the load.
	longTime     = 9 * time.Second
	longShare    = 8
	recutCallers = 2
	// recutLead is how long after the restart of workers the owner is disrupted at the
	// latest, and the workers are cut off; recutLength is how long the cut lasts.
	recutLead   = 1500 * time.Millisecond
	recutLength = 9 * time.Second
	// recutRestart is how long a process that was ended is away: it claims its shard again
	// before another instance may.
	recutRestart = 200 * time.Millisecond
	// recutGap is the time between two rounds, recutShare how many workers there are to one
	// that is cut off. A majority stays.
	recutGap   = 2 * time.Second
	recutShare = 3
	// clockStart is what the clock of a worker's first life shows. That of each later one
	// shows less, so that it carries out the calls for the one before it.
	clockStart = 1000 * time.Hour
)

// ownerDisruptions end or replace the owner between the restart and the cut.
var ownerDisruptions = []struct {
	name    string
	disrupt func(ctx context.Context, w *world, owner int)
}{
	{"nothing", func(context.Context, *world, int) {}},
	{"kill", func(_ context.Context, w *world, owner int) { w.signal(owner, syscall.SIGKILL, recutRestart) }},
	{"stop", func(_ context.Context, w *world, owner int) { w.signal(owner, syscall.SIGTERM, recutRestart) }},
	{"pause", func(ctx context.Context, w *world, owner int) { pause(ctx, w, owner, shortestPause) }},
	{"cut from the store", func(ctx context.Context, w *world, owner int) {
		w.toStore[owner].Set(proxy.Silence)
		w.after(ctx, shortestPause, func() { w.toStore[owner].Set(proxy.Pass) })
	}},
}

// recut restarts a part of the workers under their names, disrupts the owner of a shard, cuts
// these workers off, and waits until the cut is over.
func recut(ctx context.Context, w *world, random *rand.Rand) string {
	w.faults++
	w.ownerEnds++
	chosen := random.Perm(len(w.toWorker))[:len(w.toWorker)/recutShare]
	for _, i := range chosen {
		w.fleet.Restart(w.worker(i), restartDowntime, workerSize)
	}
	time.Sleep(restartDowntime + time.Duration(random.Int64N(int64(recutLead))))
	kind := ownerDisruptions[random.IntN(len(ownerDisruptions))]
	kind.disrupt(ctx, w, w.owner(ctx, w.shards[random.IntN(len(w.shards))], random.IntN(len(w.processes))))
	time.Sleep(time.Duration(random.Int64N(int64(recutLead))) / 2)
	for _, i := range chosen {
		id := cairnbay.WorkerName(w.worker(i))
		w.fleet.Cut(id, true)
		w.after(ctx, recutLength, func() { w.fleet.Cut(id, false) })
	}
	w.later.Wait()
	time.Sleep(time.Duration(random.Int64N(int64(recutGap))))
	return fmt.Sprintf("%d workers restart and are cut off for %v, owner: %s", len(chosen), recutLength, kind.name)
}

// clockOfLife is what a worker's clock shows at the start of a life.
func clockOfLife(life int) time.Duration { return clockStart / time.Duration(life) }

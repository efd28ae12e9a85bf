package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cairnbay/internal/process/timer"
)

const (
	// dataCentres is the number of data centres over which the workers are spread in a run
	// with outages.
	dataCentres = 3
	// outageCallers is the number of callers beside the held jobs. Their jobs have one task
	// each and fit beside those.
	outageCallers = 1
	// heldEighths is how much of the room of all workers held jobs take, in eighths, and
	// heldMost the most tasks of one. With workspaces these are all of the first one, which so
	// has more than its share of the class also without what an outage ends; then the second
	// one takes the rest of the room but spareTasks.
	heldEighths, heldMost = 7, 4
	// sparseEighths is the same with losses, so that the tasks of lost workers have room.
	sparseEighths = 2
	spareTasks    = 4
	// heldPause is the time between the submissions of two held jobs, and fillTime how long
	// they have to start before the first outage.
	heldPause = 50 * time.Millisecond
	fillTime  = 2 * time.Second
	// heldSequence is the sequence of random numbers for the held jobs.
	heldSequence = 1<<20 + 3
	// outageGap is the shortest time from the bound to the next outage, and outageSpread what is
	// added to it at most.
	outageGap, outageSpread = 500 * time.Millisecond, 500 * time.Millisecond
)

// dataCentre returns the data centre of a worker, which stays with it over its lives.
func (w *world) dataCentre(worker int) int {
	return worker / 2 / w.config.Shards % dataCentres
}

// dataCentreName returns the name of a worker's data centre: that of the instances without
// outages.
func (w *world) dataCentreName(worker int) string {
	if number := w.dataCentre(worker); w.config.Outages > 0 && number > 0 {
		return fmt.Sprintf("z%d", number)
	}
	return "z"
}

// outage restarts all workers of some data centres at one instant, under their names, and
// waits until each task that lasts must run again.
func outage(ctx context.Context, w *world, random *rand.Rand) string {
	w.faults++
	struck := make(map[int]bool)
	for _, number := range random.Perm(dataCentres)[:w.config.Outages] {
		struck[number] = true
	}
	w.calmFrom.Store(int64(timer.Boot()))
	restarted := 0
	for i := range w.toWorker {
		if struck[w.dataCentre(i)] {
			w.fleet.Restart(w.worker(i), restartDowntime, workerSize)
			restarted++
		}
	}
	time.Sleep(restartDowntime + livesPeriod)
	w.calmFrom.Store(int64(timer.Boot()))
	sleep(ctx, calmLead+waitBound+outageGap+time.Duration(random.Int64N(int64(outageSpread))))
	return fmt.Sprintf("%d workers of %d data centres restart", restarted, len(struck))
}

// startHeld submits jobs whose tasks last, and keeps them until the callers stop.
func (c *callers) startHeld(ctx context.Context) {
	room := len(c.world.toWorker) * c.world.slots()
	first := room * heldEighths / 8
	if c.world.config.Losses {
		first = room * sparseEighths / 8
	}
	total := first
	if c.world.book != nil {
		total = max(first, room-spareTasks)
	}
	c.done.Go(func() {
		random := rand.New(rand.NewPCG(c.world.config.Seed, heldSequence))
		for number, tasks := 0, 0; tasks < total && ctx.Err() == nil; number++ {
			one := &job{
				id: fmt.Sprintf("%08x%08x", outageCallers, number), steps: 1,
				tasks: min(1+random.IntN(heldMost), total-tasks), lasting: true, held: true,
			}
			if one.identity = (identity{keyless: true}); c.world.book != nil {
				one.identity = identity{}
				if tasks >= first {
					one.identity.workspace = 1
				}
			}
			tasks += one.tasks
			c.world.lasting.Store(one.id, true)
			own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
			c.done.Go(func() { c.submit(ctx, own, one) })
			time.Sleep(heldPause)
		}
	})
}

// sleep waits for a time, or until the run ends.
func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

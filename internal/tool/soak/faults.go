package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"cairnbay/internal/fake/proxy"
	"cairnbay/internal/process/timer"
	"cairnbay/platform"
)

// fault is one kind of trouble; it returns what it did, for the schedule.
type fault func(ctx context.Context, w *world, random *rand.Rand, length time.Duration) string

// faults are drawn alike.
var faults = []fault{
	killInstance, stopInstance, pauseInstance, hangUp,
	storeDown, storeSlow, storeLoses, storeForgets, storeRevokes, storeLink,
	workerLink, workerCrash, workerCut, workerMute, workerShrink, configure,
	adviceLate, adviceLoses, adviceTruncates, adviceRefuses,
}

const (
	// gapMost is the longest pause between two faults, lengthMost the longest
	// that one lasts; so they overlap.
	gapMost    = 1200 * time.Millisecond
	lengthMost = 4 * time.Second
	// shortestPause is the shortest pause of an owner by pauseOwner: another instance takes
	// its shards over and accepts jobs meanwhile.
	shortestPause = 3500 * time.Millisecond
	// briefPause is the shortest pause by pauseBriefly, above impatience, and
	// briefPauseSpread what is added to it at most. briefGapMost is the longest time between
	// two of them.
	briefPause       = 1300 * time.Millisecond
	briefPauseSpread = time.Second
	briefGapMost     = 400 * time.Millisecond
	// askLead is how long before the end of such a pause callers ask the paused owner.
	askLead = 500 * time.Millisecond
)

// injectUntil draws faults until the deadline.
func (w *world) injectUntil(ctx context.Context, random *rand.Rand, deadline time.Time) {
	began := time.Now()
	w.began = timer.Boot()
	for w.config.Pauses && ctx.Err() == nil && time.Now().Before(deadline) {
		fmt.Fprintf(w.config.Out, "%6.2f s  %s\n", time.Since(began).Seconds(), pauseOwner(ctx, w, random))
	}
	for w.config.Recuts && ctx.Err() == nil && time.Now().Before(deadline) {
		fmt.Fprintf(w.config.Out, "%6.2f s  %s\n", time.Since(began).Seconds(), recut(ctx, w, random))
	}
	if w.config.holdsJobs() {
		sleep(ctx, fillTime)
	}
	for w.config.Losses && ctx.Err() == nil && time.Now().Before(deadline) {
		at := time.Since(began).Seconds()
		fmt.Fprintf(w.config.Out, "%6.2f s  %s\n", at, loseOwner(ctx, w, random))
	}
	for w.config.Outages > 0 && ctx.Err() == nil && time.Now().Before(deadline) {
		at := time.Since(began).Seconds()
		fmt.Fprintf(w.config.Out, "%6.2f s  %s\n", at, outage(ctx, w, random))
	}
	for w.config.Impatient && ctx.Err() == nil && time.Now().Before(deadline) {
		fmt.Fprintf(w.config.Out, "%6.2f s  %s\n", time.Since(began).Seconds(), pauseBriefly(ctx, w, random))
	}
	for ctx.Err() == nil && time.Now().Before(deadline) {
		time.Sleep(time.Duration(random.Int64N(int64(gapMost))))
		length := time.Duration(random.Int64N(int64(lengthMost)))
		drawn := faults
		switch {
		case w.config.Tickets:
			drawn = ticketFaults
		case w.book != nil:
			drawn = keyFaults
		}
		did := drawn[random.IntN(len(drawn))](ctx, w, random, length)
		w.faults++
		w.drawQuota(random)
		fmt.Fprintf(w.config.Out, "%6.2f s  %s\n", time.Since(began).Seconds(), did)
	}
}

func killInstance(_ context.Context, w *world, random *rand.Rand, length time.Duration) string {
	w.ownerEnds++
	i := random.IntN(len(w.processes))
	w.signal(i, syscall.SIGKILL, length/2)
	return fmt.Sprintf("kill %s, back after %v", w.name(i), length/2)
}

func stopInstance(_ context.Context, w *world, random *rand.Rand, length time.Duration) string {
	w.ownerEnds++
	i := random.IntN(len(w.processes))
	w.signal(i, syscall.SIGTERM, length/4)
	return fmt.Sprintf("stop %s, back after %v", w.name(i), length/4)
}

func pauseInstance(ctx context.Context, w *world, random *rand.Rand, length time.Duration) string {
	return pause(ctx, w, random.IntN(len(w.processes)), length)
}

func pause(ctx context.Context, w *world, i int, length time.Duration) string {
	w.ownerEnds++
	w.signal(i, syscall.SIGSTOP, 0)
	w.after(ctx, length, func() { w.signal(i, syscall.SIGCONT, 0) })
	return fmt.Sprintf("pause %s for %v", w.name(i), length)
}

// ownerPause is the pause of an owner by pauseOwner.
type ownerPause struct {
	instance int
	// since is the boot time at which it began. Requests sent from askAt on wait in the
	// sockets of the owner, which may answer them before it hears of its successor.
	since, askAt time.Duration
}

// pauseOwner pauses the owner of a shard and waits until it goes on, and a moment longer.
// After every other pause slow links hold back the news of its successor.
func pauseOwner(ctx context.Context, w *world, random *rand.Rand) string {
	w.faults++
	length := shortestPause + time.Duration(random.Int64N(int64(lengthMost)))
	owner := w.owner(ctx, w.shards[random.IntN(len(w.shards))], random.IntN(len(w.processes)))
	did := pause(ctx, w, owner, length)
	since := timer.Boot()
	w.paused.Store(&ownerPause{instance: owner, since: since, askAt: since + length - askLead})
	if w.faults%2 == 1 {
		w.after(ctx, length-askLead, func() { w.setLinks(owner, proxy.Delay) })
	}
	w.later.Wait()
	w.paused.Store(nil)
	time.Sleep(time.Duration(random.Int64N(int64(gapMost))))
	w.setLinks(owner, proxy.Pass)
	return did
}

// pauseBriefly pauses an instance until its callers have given up, but not for so long that
// it loses its shards, and waits until it goes on, and a moment longer.
func pauseBriefly(ctx context.Context, w *world, random *rand.Rand) string {
	w.faults++
	did := pause(ctx, w, random.IntN(len(w.processes)), briefPause+time.Duration(random.Int64N(int64(briefPauseSpread))))
	w.later.Wait()
	time.Sleep(time.Duration(random.Int64N(int64(briefGapMost))))
	return did
}

// setLinks sets the links of all workers and that of an instance to the store.
func (w *world) setLinks(instance int, mode proxy.Mode) {
	w.toStore[instance].Set(mode)
	for _, link := range w.toWorker {
		link.Set(mode)
	}
}

func hangUp(_ context.Context, w *world, random *rand.Rand, _ time.Duration) string {
	i := random.IntN(len(w.processes))
	w.signal(i, syscall.SIGHUP, 0)
	return "reload " + w.name(i)
}

func storeDown(ctx context.Context, w *world, _ *rand.Rand, length time.Duration) string {
	w.ownerEnds++
	w.store.SetDown(true)
	w.after(ctx, length, func() { w.store.SetDown(false) })
	return fmt.Sprintf("store down for %v", length)
}

func storeSlow(ctx context.Context, w *world, random *rand.Rand, length time.Duration) string {
	w.ownerEnds++
	slow := time.Duration(random.IntN(500)) * time.Millisecond
	w.store.SetSlow(slow)
	w.after(ctx, length, func() { w.store.SetSlow(0) })
	return fmt.Sprintf("store slow by %v for %v", slow, length)
}

func storeLoses(_ context.Context, w *world, random *rand.Rand, _ time.Duration) string {
	answers, writes := random.IntN(5), random.IntN(5)
	w.store.LoseAnswers(answers)
	w.store.LoseWrites(writes)
	return fmt.Sprintf("store loses %d answers and %d writes", answers, writes)
}

func storeForgets(_ context.Context, w *world, _ *rand.Rand, _ time.Duration) string {
	w.store.Compact()
	return "store drops its history"
}

func storeRevokes(_ context.Context, w *world, random *rand.Rand, _ time.Duration) string {
	w.ownerEnds++
	i := random.IntN(len(w.processes))
	shard := w.shards[random.IntN(len(w.shards))]
	w.store.Drop("cairnbay/live/owner/"+shard, "cairnbay/live/node/"+w.name(i))
	return "store revokes the key of the owner of " + shard + " and that of " + w.name(i)
}

func storeLink(ctx context.Context, w *world, random *rand.Rand, length time.Duration) string {
	w.ownerEnds++
	i := random.IntN(len(w.toStore))
	mode := proxy.Mode(1 + random.IntN(int(proxy.Modes)-1))
	w.toStore[i].Set(mode)
	w.after(ctx, length, func() { w.toStore[i].Set(proxy.Pass) })
	return fmt.Sprintf("link of %s to the store: %v for %v", w.name(i), mode, length)
}

func workerLink(ctx context.Context, w *world, random *rand.Rand, length time.Duration) string {
	i := random.IntN(len(w.toWorker))
	mode := proxy.Mode(1 + random.IntN(int(proxy.Modes)-1))
	w.toWorker[i].Set(mode)
	w.after(ctx, length, func() { w.toWorker[i].Set(proxy.Pass) })
	return fmt.Sprintf("link to %s: %v for %v", w.worker(i), mode, length)
}

func workerCrash(_ context.Context, w *world, random *rand.Rand, _ time.Duration) string {
	i := random.IntN(len(w.toWorker))
	gone := w.worker(i)
	if w.config.KeepNames {
		w.fleet.Restart(gone, restartDowntime, workerSize)
		return "restart " + gone
	}
	w.fleet.Crash(gone)
	w.store.Drop(platform.WorkerPrefix + gone)
	w.addLife(i)
	return "crash " + gone
}

func workerCut(ctx context.Context, w *world, random *rand.Rand, length time.Duration) string {
	id := w.worker(random.IntN(len(w.toWorker)))
	w.fleet.Cut(id, true)
	w.after(ctx, 2*length, func() { w.fleet.Cut(id, false) })
	return fmt.Sprintf("cut %s off for %v", id, 2*length)
}

// workerShrink leaves a worker room for at most three tasks. It lasts longer than
// shrinkGrace now and then.
func workerShrink(ctx context.Context, w *world, random *rand.Rand, length time.Duration) string {
	i := random.IntN(len(w.toWorker))
	tasks := random.IntN(4)
	w.resize(i, taskSize.Times(tasks))
	w.after(ctx, 3*length, func() { w.resize(i, workerSize) })
	return fmt.Sprintf("%s has room for %d tasks for %v", w.worker(i), tasks, 3*length)
}

func workerMute(ctx context.Context, w *world, random *rand.Rand, length time.Duration) string {
	id := w.worker(random.IntN(len(w.toWorker)))
	w.fleet.Mute(id, true)
	w.after(ctx, length/2, func() { w.fleet.Mute(id, false) })
	return fmt.Sprintf("%s does not answer for %v", id, length/2)
}

func configure(_ context.Context, w *world, _ *rand.Rand, _ time.Duration) string {
	return fmt.Sprintf("configuration %d", w.configure())
}

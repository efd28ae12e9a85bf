package audit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"cairnbay"
	"cairnbay/internal/fake/clock"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/audit"
)

// Load of one instance at the size of letter 1, as one of 36.
const (
	letterTeams     = 290
	letterMembers   = 36
	letterStarts    = 360
	requestsPerTask = 4
)

// minuteLoad observes a minute of one instance at the peak: task starts and
// requests with log-normal waiting times, spread over the teams.
func minuteLoad(recorder *audit.Audit, random *rand.Rand) {
	waits := distuv.LogNormal{Mu: 3, Sigma: 1.2, Src: random}
	bands := []string{"urgent", "service", "batch", "best_effort"}
	starts := letterStarts * 60 / letterMembers
	for range starts {
		labels := cairnbay.Labels{Kind: "batch", Band: bands[random.IntN(len(bands))], Team: fmt.Sprintf("team-%03d", random.IntN(letterTeams))}
		recorder.ObserveWait(labels, time.Duration(waits.Rand()*float64(time.Millisecond)))
		recorder.CountOutcome(labels, "done")
	}
	for range starts * requestsPerTask {
		labels := cairnbay.Labels{Kind: "quoting", Band: "interactive", Team: fmt.Sprintf("team-%03d", random.IntN(letterTeams))}
		recorder.ObserveWait(labels, time.Duration(waits.Rand()*float64(time.Millisecond)))
		recorder.CountOutcome(labels, "done")
	}
	for _, promise := range cairnbay.AllPromises() {
		recorder.CountPromise(promise, uint64(starts))
	}
	recorder.RecordException(cairnbay.Exception{Name: "takeover", Fields: map[string]string{"shard": "tallinn-a/survey", "cause": "member gone"}})
}

// BenchmarkMinute reports the bytes that one instance writes a minute at the
// size of letter 1, and what is left of an hour of them once folded.
func BenchmarkMinute(b *testing.B) {
	hand := clock.New()
	kept := store.New(store.Config{Clock: hand})
	recorder := audit.New(audit.Config{Instance: "entry-1", DataCentre: "tallinn-a", Clock: hand, Store: kept, WritePeriod: 1000 * time.Hour})
	defer recorder.Close()
	random := rand.New(rand.NewPCG(1, 1))
	for b.Loop() {
		minuteLoad(recorder, random)
		hand.Advance(time.Minute)
		recorder.WriteOnce()
	}
	b.StopTimer()
	for recorder.Sealed() < 120 {
		minuteLoad(recorder, random)
		hand.Advance(time.Minute)
		recorder.WriteOnce()
	}
	b.ReportMetric(bytesUnder(b, kept, "audit/20260101/01/")/60, "bytes/minute")
	folder := &audit.Folder{Instance: "entry-1", Store: kept}
	if err := folder.FoldHour(context.Background(), time.Date(2026, 1, 1, 1, 0, 0, 0, time.UTC), "entry-1"); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(bytesUnder(b, kept, "audit/20260101/01/"), "bytes/hour-folded")
	b.ReportMetric(bytesOfDay(b, recorder, hand, kept, random, folder), "bytes/day-folded")
}

// bytesOfDay loads the rest of a day and folds it whole.
func bytesOfDay(b *testing.B, recorder *audit.Audit, hand *clock.Clock, kept *store.Store, random *rand.Rand, folder *audit.Folder) float64 {
	begin := time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)
	hand.Advance(begin.Sub(hand.Wall()))
	for range 24 * 60 {
		minuteLoad(recorder, random)
		hand.Advance(time.Minute)
		recorder.WriteOnce()
	}
	for hour := range 24 {
		if err := folder.FoldHour(context.Background(), begin.Add(time.Duration(hour)*time.Hour), "entry-1"); err != nil {
			b.Fatal(err)
		}
	}
	if err := folder.FoldDay(context.Background(), begin); err != nil {
		b.Fatal(err)
	}
	return bytesUnder(b, kept, "audit/20260102/")
}

func bytesUnder(b *testing.B, kept *store.Store, prefix string) (total float64) {
	listing, err := kept.List(context.Background(), prefix)
	if err != nil {
		b.Fatal(err)
	}
	for _, entry := range listing.Entries {
		total += float64(len(entry.Key) + len(entry.Value))
	}
	return total
}

func BenchmarkObserveWait(b *testing.B) {
	hand := clock.New()
	recorder := audit.New(audit.Config{Instance: "entry-1", Clock: hand, Store: store.New(store.Config{Clock: hand})})
	defer recorder.Close()
	b.RunParallel(func(parallel *testing.PB) {
		labels := cairnbay.Labels{Kind: "quoting", Band: "interactive", Team: fmt.Sprint(rand.IntN(letterTeams))}
		for parallel.Next() {
			recorder.ObserveWait(labels, 40*time.Millisecond)
		}
	})
}

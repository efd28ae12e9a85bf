package commit

import (
	"context"
	"fmt"
	"testing"

	"cairnbay"
	"cairnbay/internal/fake/clock"
	"cairnbay/internal/fake/store"
)

// BenchmarkRead measures recovery, which is one list call and its decoding, for
// different numbers of jobs. Half of each job's tasks have ended.
func BenchmarkRead(b *testing.B) {
	for _, jobs := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("jobs=", jobs), func(b *testing.B) {
			fakeStore := filledStore(b, jobs)
			b.ResetTimer()
			for b.Loop() {
				if _, err := Read(context.Background(), fakeStore, machineShard); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(storedBytes(b, fakeStore))/float64(jobs), "B/job")
		})
	}
}

func filledStore(b *testing.B, jobs int) *store.Store {
	fakeClock := clock.New()
	fakeStore := store.New(store.Config{Clock: fakeClock})
	journal, err := open(context.Background(), Config{Shard: machineShard, Store: fakeStore, Clock: fakeClock, OwnerID: "member"})
	if err != nil {
		b.Fatal(err)
	}
	const tasks = 40
	for i := range jobs {
		id := cairnbay.JobID(fmt.Sprintf("tallinn-a.survey.%08d", i))
		records := []Record{{Accept: &cairnbay.Job{
			ID: id, Branch: "vihmavesi/survey/models", Team: "models", Kind: cairnbay.KindBatch, Class: "survey",
			Tasks: tasks, Size: cairnbay.Resources{MilliCPU: 4000, MemoryMB: 8000}, Command: "build --scan 0123456789",
		}}}
		for task := range tasks / 2 {
			records = append(records, Record{End: &End{Task: cairnbay.TaskID{Job: id, Index: task * 2}, State: cairnbay.TaskDone}})
		}
		journal.Append(Lazy, records, func(error) {})
		if i%20 == 19 {
			journal.flush(context.Background())
		}
	}
	for len(journal.pending) > 0 {
		journal.flush(context.Background())
	}
	return fakeStore
}

func storedBytes(b *testing.B, fakeStore *store.Store) int {
	listing, err := fakeStore.List(context.Background(), "")
	if err != nil {
		b.Fatal(err)
	}
	bytes := 0
	for _, entry := range listing.Entries {
		bytes += len(entry.Value)
	}
	return bytes
}

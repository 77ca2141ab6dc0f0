package controller

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// memoryJobs is an in-memory jobStore whose records never change.
type memoryJobs []kv.Entry

// newMemoryJobs returns a store with count queued jobs, which are named by benchmarkJob.
func newMemoryJobs(count int) memoryJobs {
	value := wire.Encode(records.Job{Status: wire.JobQueued, Tasks: 2})
	jobs := make(memoryJobs, count)
	for i := range jobs {
		jobs[i] = kv.Entry{Key: records.JobKey(benchmarkJob(i)), Value: value, Revision: 7}
	}
	return jobs
}

func (m memoryJobs) ListPage(context.Context, string, string) (kv.Page, error) {
	return kv.Page{Entries: m, Revision: 7}, nil
}

func (memoryJobs) Get(context.Context, string) (kv.Entry, bool, error) { return kv.Entry{}, false, nil }

func (memoryJobs) Watch(context.Context, string, ids.Revision, time.Duration) (ids.Revision, []kv.Event, error) {
	return 7, nil, nil
}

func benchmarkJob(i int) ids.JobID { return ids.JobID(fmt.Sprintf("job-%d", i)) }

// BenchmarkStatusQueries measures concurrent status queries for queued jobs.
func BenchmarkStatusQueries(b *testing.B) {
	const jobs, queriesPerProcessor = 1000, 32
	reader := newStatusReader(newMemoryJobs(jobs), 0, noProgress, new(jobCapacity), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(b.Context())
	var running errgroup.Group
	running.Go(func() error { return reader.run(ctx) })
	names := make([]ids.JobID, jobs)
	for i := range names {
		names[i] = benchmarkJob(i)
	}
	b.SetParallelism(queriesPerProcessor)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			if answer := reader.query(ctx, names[i%jobs], nil); answer.err != nil || !answer.found {
				b.Errorf("answer %+v", answer)
			}
		}
	})
	cancel()
	_ = running.Wait()
}

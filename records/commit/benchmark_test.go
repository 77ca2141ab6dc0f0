package commit

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// memoryStore applies every transaction immediately and stores only the number of operations.
type memoryStore struct{ revision ids.Revision }

func (s *memoryStore) Commit(_ context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.revision += ids.Revision(len(txn.Operations))
	return kv.TxnResult{Applied: true, Revision: s.revision}, nil
}

func (*memoryStore) Get(context.Context, string) (kv.Entry, bool, error) {
	return kv.Entry{}, false, nil
}

// BenchmarkCommitter commits 1000 changes of one job record each, in transactions of up to 32
// operations.
func BenchmarkCommitter(b *testing.B) {
	const changeCount = 1000
	changes := make([]records.Change, changeCount)
	for i := range changes {
		spec := &wire.JobSpec{Class: "train", Team: "vision", Tasks: 70, CPUs: 8, MemoryGB: 64, Image: "img-07"}
		id := ids.JobID(fmt.Sprintf("job-%d", i))
		changes[i] = records.CreateJobChange(id, records.Job{Nonce: uint64(i + 1), Status: wire.JobQueued, Tasks: 70, Spec: spec})
	}
	c := New(&memoryStore{}, Limits{Operations: 32, Bytes: 48 << 10}, &kv.Precondition{Key: records.LeaderKey, Revision: 1}, discardLogger())
	ctx, cancel := context.WithCancel(b.Context())
	var run sync.WaitGroup
	run.Go(func() { _ = c.Run(ctx) })
	b.Cleanup(func() { cancel(); run.Wait() })
	b.ReportAllocs()
	for b.Loop() {
		var applied sync.WaitGroup
		applied.Add(changeCount)
		for _, change := range changes {
			c.Submit(change, time.Time{}, func(result records.CommitResult) {
				if result.Err != nil {
					b.Errorf("%s: %v", change.Operations[0].PutKey, result.Err)
				}
				applied.Done()
			})
		}
		applied.Wait()
	}
}

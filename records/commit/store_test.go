package commit

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// fate is what becomes of a transaction that is sent to the fakeStore.
type fate int

const (
	answered    fate = iota
	answerLost       // applied, but not answered
	appliedLate      // not answered, applied after a while
	unavailable      // not executed
	malformed        // applied, and answered with something malformed
	rejected         // refused for good
)

// fakeStore is a key-value store in memory whose answers can be lost.
type fakeStore struct {
	mu       sync.Mutex
	revision ids.Revision
	entries  map[string]kv.Entry
	// nextFate decides about the next transaction; nil means that all are answered.
	nextFate func() fate
	// mostOperations is the limit of a transaction; 0 means none.
	mostOperations int
	// rejectedKeys are keys whose values are too large, with how often they were sent.
	rejectedKeys map[string]int
	sent         []sentTransaction
}

// sentTransaction is a transaction that the store received.
type sentTransaction struct {
	at         time.Time
	operations int
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]kv.Entry{}} }

// setLeader writes the leader key, and returns the fence of that leader.
func (s *fakeStore) setLeader(name string) *kv.Precondition {
	s.apply(kv.Txn{Operations: []kv.Operation{{PutKey: records.LeaderKey, Value: name}}})
	return &kv.Precondition{Key: records.LeaderKey, Revision: s.revision}
}

func (s *fakeStore) apply(txn kv.Txn) kv.TxnResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []string
	for _, precondition := range txn.Preconditions {
		if s.entries[precondition.Key].Revision != precondition.Revision {
			failed = append(failed, precondition.Key)
		}
	}
	if failed != nil {
		return kv.TxnResult{Revision: s.revision, FailedKeys: failed}
	}
	s.revision++
	for _, operation := range txn.Operations {
		if operation.PutKey == "" {
			delete(s.entries, operation.DeleteKey)
			continue
		}
		s.entries[operation.PutKey] = kv.Entry{Key: operation.PutKey, Value: wire.Encode(operation.Value), Revision: s.revision}
	}
	return kv.TxnResult{Applied: true, Revision: s.revision}
}

// receive notes a transaction, and returns its fate.
func (s *fakeStore) receive(txn kv.Txn) fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, sentTransaction{at: time.Now(), operations: len(txn.Operations)})
	next := answered
	if s.nextFate != nil {
		next = s.nextFate()
	}
	if s.mostOperations > 0 && len(txn.Operations) > s.mostOperations {
		next = rejected
	}
	for _, operation := range txn.Operations {
		if _, tooLarge := s.rejectedKeys[operation.PutKey]; tooLarge {
			s.rejectedKeys[operation.PutKey]++
			next = rejected
		}
	}
	return next
}

func (s *fakeStore) Commit(_ context.Context, txn kv.Txn) (kv.TxnResult, error) {
	next := s.receive(txn)
	time.Sleep(5 * time.Millisecond)
	switch next {
	case rejected:
		return kv.TxnResult{}, kv.ErrRejected
	case answerLost:
		s.apply(txn)
		time.Sleep(time.Second)
		return kv.TxnResult{}, kv.ErrIndeterminate
	case appliedLate:
		time.AfterFunc(7*time.Second, func() { s.apply(txn) })
		time.Sleep(time.Second)
		return kv.TxnResult{}, kv.ErrIndeterminate
	case unavailable:
		return kv.TxnResult{}, kv.ErrUnavailable
	case malformed:
		s.apply(txn)
		return kv.TxnResult{}, kv.ErrMalformedResponse
	}
	return s.apply(txn), nil
}

func (s *fakeStore) Get(_ context.Context, key string) (kv.Entry, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, found := s.entries[key]
	return entry, found, nil
}

// fates returns the fates one after another, and answered once none is left.
func fates(list ...fate) func() fate {
	return func() (next fate) {
		if len(list) > 0 {
			next, list = list[0], list[1:]
		}
		return next
	}
}

// newTestCommitter makes a committer of small transactions that logs nothing.
func newTestCommitter(store Store, fence *kv.Precondition) *Committer {
	return New(store, Limits{Operations: 4, Bytes: 4096}, fence, quietLogger())
}

func quietLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

// startCommitter runs a committer. The returned function ends it and waits for its end,
// which comes with the test's at the latest.
func startCommitter(t *testing.T, c *Committer) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx) // ended by stop
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}

func testJobID(n int) ids.JobID { return ids.JobID(fmt.Sprintf("job-%d", n)) }

// createTestJob is the change that creates job n.
func createTestJob(n int) records.Change {
	change := records.CreateJobChange(testJobID(n), records.Job{Nonce: uint64(n + 1), Status: wire.JobQueued, Tasks: 1})
	change.ID = uint64(n)
	return change
}

package commit

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// storeLatency is the time that a request to the store takes. Its response takes the same time.
const storeLatency = 2500 * time.Microsecond

// newTestClient returns a client of a store with storeLatency.
func newTestClient(store *kvtest.Store) *kvtest.Client {
	return store.NewClient(func() time.Duration { return storeLatency })
}

// setLeader writes the leader key and returns the fence of that leader.
func setLeader(store *kvtest.Store, name string) *kv.Precondition {
	return &kv.Precondition{Key: records.LeaderKey, Revision: store.Put(records.LeaderKey, name)}
}

// storeRevision returns the current revision of a store.
func storeRevision(t *testing.T, store *kvtest.Store) ids.Revision {
	t.Helper()
	revision, err := store.List(t.Context(), "", func(kv.Entry) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// faultsInOrder returns a function that returns the faults one after another, and kvtest.NoFault
// after the last one.
func faultsInOrder(faults ...kvtest.Fault) func(kv.Txn) kvtest.Fault {
	return func(kv.Txn) (next kvtest.Fault) {
		if len(faults) > 0 {
			next, faults = faults[0], faults[1:]
		}
		return next
	}
}

// sentTransaction describes a transaction that a store received.
type sentTransaction struct {
	receivedAt time.Time
	operations int
}

// commitLog holds the transactions that a store received. It must be read only after the committer
// has stopped.
type commitLog struct{ sent []sentTransaction }

// recordCommits sets the function that chooses the faults of a store, and returns a log of the
// transactions that the store receives from then on.
func recordCommits(store *kvtest.Store, choose func(kv.Txn) kvtest.Fault) *commitLog {
	log := &commitLog{}
	store.SetCommitFault(func(txn kv.Txn) kvtest.Fault {
		log.sent = append(log.sent, sentTransaction{receivedAt: time.Now(), operations: len(txn.Operations)})
		return choose(txn)
	})
	return log
}

// storeLimits holds the limits of a store. They are lower than the limits of the committer.
type storeLimits struct {
	operations int

	mu sync.Mutex
	// tooLarge holds the keys whose values are too large, and how often each was sent.
	tooLarge map[string]int
}

// rejectExceeding returns a function that chooses kvtest.ReturnRejected for transactions that exceed the
// limits, and the fault that choose returns for all others. It calls choose for every transaction.
func (l *storeLimits) rejectExceeding(choose func(kv.Txn) kvtest.Fault) func(kv.Txn) kvtest.Fault {
	return func(txn kv.Txn) kvtest.Fault {
		fault := choose(txn)
		if l.exceeded(txn) {
			return kvtest.ReturnRejected
		}
		return fault
	}
}

// exceeded reports whether a transaction exceeds the limits. It counts the keys whose values are too
// large.
func (l *storeLimits) exceeded(txn kv.Txn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	exceeded := len(txn.Operations) > l.operations
	for _, operation := range txn.Operations {
		if _, tooLarge := l.tooLarge[operation.PutKey]; tooLarge {
			l.tooLarge[operation.PutKey]++
			exceeded = true
		}
	}
	return exceeded
}

// markTooLarge lowers the limits so that the value of a key is too large from now on.
func (l *storeLimits) markTooLarge(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tooLarge[key] = 0
}

// newTestCommitter returns a committer with small transactions that discards its log.
func newTestCommitter(store Store, fence *kv.Precondition) *Committer {
	return New(store, Limits{Operations: 4, Bytes: 4096}, fence, discardLogger())
}

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

// startCommitter runs a committer until stop is called, or until the test ends. stop waits until the
// committer has stopped.
func startCommitter(t *testing.T, c *Committer) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx) // cancelled by stop
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}

func testJobID(n int) ids.JobID { return ids.JobID(fmt.Sprintf("job-%d", n)) }

// createTestJob returns the change that creates job n.
func createTestJob(n int) records.Change {
	change := records.CreateJobChange(testJobID(n), records.Job{Nonce: uint64(n + 1), Status: wire.JobQueued, Tasks: 1})
	change.ID = uint64(n)
	return change
}

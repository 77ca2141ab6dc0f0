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

// storeLatency is how long a request to the store takes, and its response as well.
const storeLatency = 2500 * time.Microsecond

// newTestClient returns a client of a store with storeLatency.
func newTestClient(store *kvtest.Store) *kvtest.Client {
	return store.NewClient(func() time.Duration { return storeLatency })
}

// setLeader writes the leader key, and returns the fence of that leader.
func setLeader(store *kvtest.Store, name string) *kv.Precondition {
	return &kv.Precondition{Key: records.LeaderKey, Revision: store.Put(records.LeaderKey, name)}
}

// storeRevision returns the revision of a store.
func storeRevision(t *testing.T, store *kvtest.Store) ids.Revision {
	t.Helper()
	revision, err := store.List(t.Context(), "", func(kv.Entry) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// faultsInOrder returns the faults one after another, and kvtest.NoFault once none is left.
func faultsInOrder(faults ...kvtest.Fault) func(kv.Txn) kvtest.Fault {
	return func(kv.Txn) (next kvtest.Fault) {
		if len(faults) > 0 {
			next, faults = faults[0], faults[1:]
		}
		return next
	}
}

// sentTransaction is a transaction that a store received.
type sentTransaction struct {
	receivedAt time.Time
	operations int
}

// commitLog lists the transactions that a store received. It must be read only after the
// committer has ended.
type commitLog struct{ sent []sentTransaction }

// recordCommits has a store treat later transactions as choose says, and lists them.
func recordCommits(store *kvtest.Store, choose func(kv.Txn) kvtest.Fault) *commitLog {
	log := &commitLog{}
	store.SetCommitFault(func(txn kv.Txn) kvtest.Fault {
		log.sent = append(log.sent, sentTransaction{receivedAt: time.Now(), operations: len(txn.Operations)})
		return choose(txn)
	})
	return log
}

// storeLimits are the limits of a store, which are lower than those that the committer knows.
type storeLimits struct {
	operations int

	mu sync.Mutex
	// tooLarge holds the keys whose values are too large, with how often each was sent.
	tooLarge map[string]int
}

// rejectOr returns a function that has transactions beyond the limits rejected, and others
// treated as choose says. It calls choose for every transaction.
func (l *storeLimits) rejectOr(choose func(kv.Txn) kvtest.Fault) func(kv.Txn) kvtest.Fault {
	return func(txn kv.Txn) kvtest.Fault {
		fault := choose(txn)
		if l.exceeded(txn) {
			return kvtest.Reject
		}
		return fault
	}
}

// exceeded reports whether a transaction exceeds the limits, and counts its keys that are too large.
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

// lower makes the value of a key too large from now on.
func (l *storeLimits) lower(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tooLarge[key] = 0
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

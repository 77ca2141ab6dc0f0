// Package kvtest is a stand-in for the consensus-backed key-value store, for tests.
//
// Store holds keys, leases and changes in memory and has the methods of kv.Client. It starts no
// goroutine and reads the time from package time, so that it can be used within a bubble of
// testing/synctest. Client is the access of one caller, with latency and with faults of this
// caller alone. Server serves a Store over HTTP, for callers that use kv.Client and for
// processes. The limits of the real store for requests and sizes are not implemented; a test
// causes refusals by SetCommitFault.
package kvtest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/wire"
)

// Store is an in-memory key-value store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision ids.Revision
	entries  map[string]kv.Entry
	// events holds all changes in the order of their revisions.
	events []kv.Event
	// retention is from how many revisions ago a watch may start; 0 means any.
	retention ids.Revision
	// maxWatchWait bounds how long a watch waits; 0 means as long as it asks for.
	maxWatchWait time.Duration
	leases       map[ids.LeaseID]*lease
	lastLease    ids.LeaseID
	// changed is closed, and replaced, when a watch must look again.
	changed chan struct{}
	outage  bool
	// leaseExpirySuspended has no lease end by its time.
	leaseExpirySuspended bool
	requestCount         int
	commitFault          func(kv.Txn) Fault
}

// NewStore returns an empty store at revision 0.
func NewStore() *Store {
	return &Store{
		entries:     map[string]kv.Entry{},
		leases:      map[ids.LeaseID]*lease{},
		changed:     make(chan struct{}),
		commitFault: func(kv.Txn) Fault { return NoFault },
	}
}

// request executes a request under the lock, unless there is an outage.
func (s *Store) request(execute func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestCount++
	if s.outage {
		return kv.ErrUnavailable
	}
	s.expireLeases()
	return execute()
}

// Get reads one key; found is false if it does not exist.
func (s *Store) Get(_ context.Context, key string) (entry kv.Entry, found bool, err error) {
	err = s.request(func() error {
		entry, found = s.entries[key]
		return nil
	})
	return entry, found, err
}

// List hands all entries whose keys have a prefix to each, in the order of keys, and returns
// the store's revision.
func (s *Store) List(_ context.Context, prefix string, each func(kv.Entry) error) (ids.Revision, error) {
	entries, revision, err := s.snapshot(prefix)
	if err != nil {
		return 0, err
	}
	for _, entry := range entries {
		if err := each(entry); err != nil {
			return 0, err
		}
	}
	return revision, nil
}

// snapshot returns the entries whose keys have a prefix in the order of keys, and the revision.
func (s *Store) snapshot(prefix string) (entries []kv.Entry, revision ids.Revision, err error) {
	err = s.request(func() error {
		revision = s.revision
		for _, key := range slices.Sorted(maps.Keys(s.entries)) {
			if strings.HasPrefix(key, prefix) {
				entries = append(entries, s.entries[key])
			}
		}
		return nil
	})
	return entries, revision, err
}

// Commit applies a transaction, or does to it what SetCommitFault says.
func (s *Store) Commit(_ context.Context, txn kv.Txn) (result kv.TxnResult, err error) {
	err = s.request(func() error {
		result, err = s.applyWithFault(txn)
		return err
	})
	return result, err
}

// applyWithFault applies a transaction, or does to it what SetCommitFault says.
func (s *Store) applyWithFault(txn kv.Txn) (kv.TxnResult, error) {
	switch s.commitFault(txn) {
	case LoseResponse:
		_, _ = s.apply(txn) // the caller gets no result
		return kv.TxnResult{}, kv.ErrIndeterminate
	case ApplyLate:
		s.applyAfter(lateApplyDelay, txn)
		return kv.TxnResult{}, kv.ErrIndeterminate
	case ReturnUnavailable:
		return kv.TxnResult{}, kv.ErrUnavailable
	case ReturnRejected:
		return kv.TxnResult{}, kv.ErrRejected
	case CorruptResponse:
		_, _ = s.apply(txn) // the caller gets no result
		return kv.TxnResult{}, kv.ErrMalformedResponse
	}
	return s.apply(txn)
}

// applyAfter applies a transaction after a delay.
func (s *Store) applyAfter(delay time.Duration, txn kv.Txn) {
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeases()
		_, _ = s.apply(txn) // the caller has returned already
	})
}

// apply applies a transaction if its leases live and its preconditions hold.
func (s *Store) apply(txn kv.Txn) (kv.TxnResult, error) {
	for _, operation := range txn.Operations {
		if operation.Lease != 0 && s.leases[operation.Lease] == nil {
			return kv.TxnResult{}, kv.ErrLeaseExpired
		}
	}
	if failed := s.failedKeys(txn.Preconditions); failed != nil {
		return kv.TxnResult{Revision: s.revision, FailedKeys: failed}, nil
	}
	if len(txn.Operations) > 0 {
		s.revision++
	}
	for _, operation := range txn.Operations {
		if operation.PutKey != "" {
			s.write(operation.PutKey, operation.Value, operation.Lease)
		} else {
			s.remove(operation.DeleteKey)
		}
	}
	return kv.TxnResult{Applied: true, Revision: s.revision}, nil
}

// failedKeys lists the keys whose preconditions do not hold, nil if all hold.
func (s *Store) failedKeys(preconditions []kv.Precondition) []string {
	var failed []string
	for _, precondition := range preconditions {
		if s.entries[precondition.Key].Revision != precondition.Revision {
			failed = append(failed, precondition.Key)
		}
	}
	return failed
}

// write puts a key at the present revision.
func (s *Store) write(key string, value any, lease ids.LeaseID) {
	entry := kv.Entry{Key: key, Value: wire.Encode(value), Revision: s.revision, Lease: lease}
	s.entries[key] = entry
	s.record(kv.Event{PutKey: key, Value: entry.Value, Revision: s.revision})
}

// remove deletes a key at the present revision.
func (s *Store) remove(key string) {
	delete(s.entries, key)
	s.record(kv.Event{DeletedKey: key, Revision: s.revision})
}

// record keeps a change and wakes the watches.
func (s *Store) record(event kv.Event) {
	s.events = append(s.events, event)
	s.wakeWatches()
}

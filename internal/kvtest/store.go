// Package kvtest implements a fake of the consensus-backed key-value store, for tests.
//
// Store holds keys, leases and changes in memory and has the methods of kv.Client. It starts no
// goroutines and takes the time from package time, so it can be used in a testing/synctest bubble.
// Client accesses a Store on behalf of one caller, with latency and with faults that affect only this
// caller. Server serves a Store over HTTP to callers that use kv.Client and to other processes. The
// real store's request and size limits are not implemented; a test uses SetCommitFault to have
// transactions fail as if a limit were exceeded.
package kvtest

import (
	"context"
	"maps"
	"slices"
	"sort"
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
	// events holds all changes, ordered by revision.
	events []kv.Event
	// retention is the number of past revisions from which a watch may start; 0 means no limit.
	retention ids.Revision
	// maxWatchWait limits how long a watch waits for changes; 0 means no limit.
	maxWatchWait time.Duration
	// sortedKeys holds the keys of entries in order, or is nil if it must be derived again.
	sortedKeys []string
	// pageSize is the maximum number of entries on a page of ListPage; 0 means no limit.
	pageSize  int
	leases    map[ids.LeaseID]*lease
	lastLease ids.LeaseID
	// changed is closed and replaced when open watches must check for changes again.
	changed chan struct{}
	outage  bool
	// leaseExpirySuspended prevents leases from expiring.
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

// request counts a request and executes it under the lock, or returns kv.ErrUnavailable during an
// outage.
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

// Get returns the entry of a key; found is false if the key does not exist.
func (s *Store) Get(_ context.Context, key string) (entry kv.Entry, found bool, err error) {
	err = s.request(func() error {
		entry, found = s.entries[key]
		return nil
	})
	return entry, found, err
}

// List calls each for all entries whose keys have the prefix, in key order, and returns the store's
// revision. It stops at the first error of each.
func (s *Store) List(_ context.Context, prefix string, each func(kv.Entry) error) (ids.Revision, error) {
	page, err := s.page(prefix, "", 0)
	if err != nil {
		return 0, err
	}
	for _, entry := range page.Entries {
		if err := each(entry); err != nil {
			return 0, err
		}
	}
	return page.Revision, nil
}

// SetPageSize sets the maximum number of entries on the pages that ListPage returns. 0 means no limit.
func (s *Store) SetPageSize(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = size
}

// ListPage returns the page of the entries whose keys have the prefix that follows the key after.
func (s *Store) ListPage(_ context.Context, prefix, after string) (kv.Page, error) {
	s.mu.Lock()
	size := s.pageSize
	s.mu.Unlock()
	return s.page(prefix, after, size)
}

// page returns a page of at most size entries. A size of 0 means no limit.
func (s *Store) page(prefix, after string, size int) (page kv.Page, err error) {
	err = s.request(func() error {
		page.Revision = s.revision
		keys := s.keysInOrder()
		first := sort.Search(len(keys), func(i int) bool { return keys[i] >= prefix && keys[i] > after })
		for _, key := range keys[first:] {
			if !strings.HasPrefix(key, prefix) {
				break
			}
			if size > 0 && len(page.Entries) == size {
				page.More = true
				break
			}
			page.Entries = append(page.Entries, s.entries[key])
		}
		return nil
	})
	return page, err
}

// keysInOrder returns all keys, sorted. The caller holds the lock.
func (s *Store) keysInOrder() []string {
	if s.sortedKeys == nil {
		s.sortedKeys = slices.Sorted(maps.Keys(s.entries))
	}
	return s.sortedKeys
}

// Commit applies a transaction, subject to the fault set with SetCommitFault.
func (s *Store) Commit(_ context.Context, txn kv.Txn) (result kv.TxnResult, err error) {
	err = s.request(func() error {
		result, err = s.applyWithFault(txn)
		return err
	})
	return result, err
}

// applyWithFault applies a transaction, subject to the fault that commitFault returns for it.
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

// applyAfter applies a transaction after the delay.
func (s *Store) applyAfter(delay time.Duration, txn kv.Txn) {
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeases()
		_, _ = s.apply(txn) // the result was already returned as indeterminate
	})
}

// apply applies a transaction if its leases have not expired and its preconditions hold.
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

// failedKeys returns the keys whose preconditions do not hold, or nil if all hold.
func (s *Store) failedKeys(preconditions []kv.Precondition) []string {
	var failed []string
	for _, precondition := range preconditions {
		if s.entries[precondition.Key].Revision != precondition.Revision {
			failed = append(failed, precondition.Key)
		}
	}
	return failed
}

// write puts a key at the current revision.
func (s *Store) write(key string, value any, lease ids.LeaseID) {
	entry := kv.Entry{Key: key, Value: wire.Encode(value), Revision: s.revision, Lease: lease}
	if _, exists := s.entries[key]; !exists {
		s.sortedKeys = nil
	}
	s.entries[key] = entry
	s.record(kv.Event{PutKey: key, Value: entry.Value, Revision: s.revision})
}

// remove deletes a key at the current revision.
func (s *Store) remove(key string) {
	delete(s.entries, key)
	s.sortedKeys = nil
	s.record(kv.Event{DeletedKey: key, Revision: s.revision})
}

// record appends a change to the events and wakes all watches.
func (s *Store) record(event kv.Event) {
	s.events = append(s.events, event)
	s.wakeWatches()
}

package kvtest

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
)

// Fault is the fault that the store injects into a transaction.
type Fault int

const (
	// NoFault means that the transaction is executed and its result returned.
	NoFault Fault = iota
	// LoseResponse means that the transaction is applied, but its response is lost.
	LoseResponse
	// ApplyLate means that the response is lost and the transaction is applied after lateApplyDelay.
	ApplyLate
	// ReturnUnavailable means that the transaction fails with kv.ErrUnavailable.
	ReturnUnavailable
	// ReturnRejected means that the transaction fails with kv.ErrRejected.
	ReturnRejected
	// CorruptResponse means that the transaction is applied and fails with
	// kv.ErrMalformedResponse.
	CorruptResponse
)

// lateApplyDelay is the delay after which a transaction with the fault ApplyLate is applied.
const lateApplyDelay = 7 * time.Second

// SetCommitFault sets a function that chooses the fault of each later transaction. The function is
// called under the store's lock, one call at a time, and must not use the store.
func (s *Store) SetCommitFault(choose func(kv.Txn) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitFault = choose
}

// LoseResponses makes the responses of the next count transactions get lost. These transactions are
// applied. Later transactions have no fault. A transaction whose preconditions do not hold is answered,
// and does not count.
func (s *Store) LoseResponses(count int) {
	s.SetCommitFault(func(txn kv.Txn) Fault {
		if count == 0 || s.failedKeys(txn.Preconditions) != nil {
			return NoFault
		}
		count--
		return LoseResponse
	})
}

// StartOutage makes all requests fail with kv.ErrUnavailable. Open watches stay open, and no lease
// expires during the outage.
func (s *Store) StartOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.outage = true
	s.wakeWatches()
}

// EndOutage makes the store execute requests again. Every lease starts again with its full TTL.
func (s *Store) EndOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = false
	for _, granted := range s.leases {
		granted.renew()
	}
	s.wakeWatches()
}

// SuspendLeaseExpiry prevents leases from expiring. Leases can still be revoked.
func (s *Store) SuspendLeaseExpiry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.leaseExpirySuspended = true
}

// SetRetention makes later watches fail with kv.ErrCompacted if they start from more than the given
// number of revisions ago.
func (s *Store) SetRetention(revisions ids.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = revisions
}

// SetMaxWatchWait limits how long later watches wait. A kv.Client cannot cancel a watch, so without the
// limit a test that uses one over HTTP would not end before its longest watch.
func (s *Store) SetMaxWatchWait(maxWait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxWatchWait = maxWait
}

// AdvanceRevision increases the revision, as if keys outside the test had changed.
func (s *Store) AdvanceRevision(revisions ids.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision += revisions
}

// Put writes a key, also during an outage, and returns the revision.
func (s *Store) Put(key string, value any) ids.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.revision++
	s.write(key, value, 0)
	return s.revision
}

// PutWithLease writes a key with a new lease, also during an outage, and returns the revision.
func (s *Store) PutWithLease(key string, value any, ttl time.Duration) ids.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.revision++
	s.write(key, value, s.addLease(ttl))
	return s.revision
}

// Entry returns the entry of a key, also during an outage; found is false if the key does not exist.
func (s *Store) Entry(key string) (entry kv.Entry, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	entry, found = s.entries[key]
	return entry, found
}

// RequestCount returns the number of requests so far, including those refused during an outage.
func (s *Store) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCount
}

package kvtest

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
)

// Fault is what becomes of one transaction.
type Fault int

const (
	// NoFault means that the transaction is answered.
	NoFault Fault = iota
	// LoseResponse means that the transaction is applied and not answered.
	LoseResponse
	// ApplyLate means that the transaction is not answered, and applied some seconds later.
	ApplyLate
	// Refuse means that the transaction fails with kv.ErrUnavailable.
	Refuse
	// Reject means that the transaction fails with kv.ErrRejected.
	Reject
	// MalformResponse means that the transaction is applied and fails with
	// kv.ErrMalformedResponse.
	MalformResponse
)

// lateDelay is after how long a transaction with the fault ApplyLate is applied.
const lateDelay = 7 * time.Second

// SetCommitFault has a function decide about each later transaction. It is called under the
// store's lock, one call at a time, and must not use the store.
func (s *Store) SetCommitFault(choose func(kv.Txn) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitFault = choose
}

// LoseResponses has the next count transactions applied and not answered, and those after
// them answered. A transaction whose preconditions do not hold is answered, and does not count.
func (s *Store) LoseResponses(count int) {
	s.SetCommitFault(func(txn kv.Txn) Fault {
		if count == 0 || s.failedKeys(txn.Preconditions) != nil {
			return NoFault
		}
		count--
		return LoseResponse
	})
}

// StartOutage has the store refuse all requests. Open watches stay open, and no lease ends.
func (s *Store) StartOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.outage = true
	s.wakeWatches()
}

// EndOutage has the store execute requests again. Every lease has its full time.
func (s *Store) EndOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = false
	for _, granted := range s.leases {
		granted.renew()
	}
	s.wakeWatches()
}

// SuspendExpiry stops the expiry of leases. Revoked leases still end.
func (s *Store) SuspendExpiry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.expirySuspended = true
}

// SetRetention has watches fail that start from more than so many revisions ago.
func (s *Store) SetRetention(revisions ids.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = revisions
}

// SetMaxHold bounds the hold of later watches. A kv.Client cannot cancel a watch, so a test that
// uses one over HTTP would end only with the longest watch.
func (s *Store) SetMaxHold(hold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxHold = hold
}

// Advance raises the revision, as changes of keys would that no test looks at.
func (s *Store) Advance(revisions ids.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision += revisions
}

// Put writes a key, in an outage as well, and returns the revision.
func (s *Store) Put(key string, value any) ids.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.revision++
	s.write(key, value, 0)
	return s.revision
}

// PutWithLease writes a key with a lease of its own, in an outage as well, and returns the
// revision.
func (s *Store) PutWithLease(key string, value any, ttl time.Duration) ids.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.revision++
	s.write(key, value, s.addLease(ttl))
	return s.revision
}

// Entry reads a key, in an outage as well; found is false if it does not exist.
func (s *Store) Entry(key string) (entry kv.Entry, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	entry, found = s.entries[key]
	return entry, found
}

// Requests returns how many requests there were, refused ones included.
func (s *Store) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

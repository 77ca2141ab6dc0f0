package kvtest

import (
	"context"
	"maps"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
)

// lease represents a lease, which expires unless it is renewed within its TTL. Its keys are deleted when
// it expires or is revoked.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// renew restarts the lease's TTL.
func (l *lease) renew() { l.expiresAt = time.Now().Add(l.ttl) }

// GrantLease creates a lease that expires unless it is renewed within ttl.
func (s *Store) GrantLease(_ context.Context, ttl time.Duration) (id ids.LeaseID, err error) {
	err = s.request(func() error {
		id = s.addLease(ttl)
		return nil
	})
	return id, err
}

// addLease creates a lease and returns its ID. The caller holds the lock, as for all methods below that do
// not call request.
func (s *Store) addLease(ttl time.Duration) ids.LeaseID {
	s.lastLease++
	granted := &lease{ttl: ttl}
	granted.renew()
	s.leases[s.lastLease] = granted
	return s.lastLease
}

// RenewLease restarts the lease's TTL. It returns kv.ErrLeaseExpired if the lease does not exist.
func (s *Store) RenewLease(_ context.Context, id ids.LeaseID) error {
	return s.request(func() error {
		renewed := s.leases[id]
		if renewed == nil {
			return kv.ErrLeaseExpired
		}
		renewed.renew()
		return nil
	})
}

// RevokeLease ends the lease and deletes its keys. It succeeds if the lease has already ended.
func (s *Store) RevokeLease(_ context.Context, id ids.LeaseID) error {
	return s.request(func() error {
		s.endLease(id)
		return nil
	})
}

// leaseExpiryEnabled reports whether leases can expire now.
func (s *Store) leaseExpiryEnabled() bool { return !s.outage && !s.leaseExpirySuspended }

// expireLeases ends the leases whose TTL has expired, unless expiry is disabled.
func (s *Store) expireLeases() {
	if !s.leaseExpiryEnabled() {
		return
	}
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id].expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease removes the lease and deletes its keys.
func (s *Store) endLease(id ids.LeaseID) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if id != 0 && s.entries[key].Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

// nextExpiry returns when the next lease expires if it is not renewed; ok is false if no lease can
// expire.
func (s *Store) nextExpiry() (next time.Time, ok bool) {
	if !s.leaseExpiryEnabled() {
		return time.Time{}, false
	}
	for _, granted := range s.leases {
		if !ok || granted.expiresAt.Before(next) {
			next, ok = granted.expiresAt, true
		}
	}
	return next, ok
}

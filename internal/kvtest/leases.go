package kvtest

import (
	"context"
	"maps"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
)

// lease ends unless it is renewed within its time. Its keys end with it.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// renew gives a lease its full time.
func (l *lease) renew() { l.expiresAt = time.Now().Add(l.ttl) }

// GrantLease makes a lease that ends unless it is renewed within ttl.
func (s *Store) GrantLease(_ context.Context, ttl time.Duration) (id ids.LeaseID, err error) {
	err = s.request(func() error {
		id = s.addLease(ttl)
		return nil
	})
	return id, err
}

// addLease makes a lease.
func (s *Store) addLease(ttl time.Duration) ids.LeaseID {
	s.lastLease++
	granted := &lease{ttl: ttl}
	granted.renew()
	s.leases[s.lastLease] = granted
	return s.lastLease
}

// RenewLease gives a lease its full time again, or returns kv.ErrLeaseExpired.
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

// RevokeLease ends a lease and deletes its keys. It succeeds if the lease has ended before.
func (s *Store) RevokeLease(_ context.Context, id ids.LeaseID) error {
	return s.request(func() error {
		s.endLease(id)
		return nil
	})
}

// leaseExpiryEnabled reports whether leases end by their time.
func (s *Store) leaseExpiryEnabled() bool { return !s.outage && !s.leaseExpirySuspended }

// expireLeases ends the leases that have expired.
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

// endLease ends a lease and deletes its keys.
func (s *Store) endLease(id ids.LeaseID) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if id != 0 && s.entries[key].Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

// nextExpiry returns when the next lease ends unless it is renewed; ok is false if none does.
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

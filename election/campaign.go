package election

import (
	"context"
	"fmt"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
)

const (
	// keyAbsent is the revision in a precondition that requires a key to be absent.
	keyAbsent ids.Revision = 0
	// revokeTimeout bounds the attempt to revoke a lease that is no longer needed.
	revokeTimeout = time.Second
	// campaignDelay is the delay before the next campaign after a term, so that another
	// controller can be elected.
	campaignDelay = 100 * time.Millisecond
)

// campaign tries to acquire the leader key, which must be at the expected revision, and leads if
// that succeeds. It returns nil if the key was at another revision, or after a term.
func (e *Election) campaign(ctx context.Context, expected ids.Revision) error {
	startedAt := e.clock.Now()
	lease, err := e.store.GrantLease(ctx, e.bounds.TTL)
	if err != nil {
		return fmt.Errorf("grant lease for key %s: %w", records.LeaderKey, err)
	}
	result, err := e.store.Commit(ctx, kv.Txn{
		Preconditions: []kv.Precondition{{Key: records.LeaderKey, Revision: expected}},
		Operations:    []kv.Operation{{PutKey: records.LeaderKey, Value: e.self, Lease: lease}},
	})
	if err != nil {
		// The result may be indeterminate, and this controller may hold the key. Without
		// the revocation, the next round would wait for the key to change.
		e.revokeLease(ctx, lease)
		return fmt.Errorf("take key %s at revision %d: %w", records.LeaderKey, expected, err)
	}
	if !result.Applied {
		e.revokeLease(ctx, lease)
		return nil
	}
	return e.lead(ctx, e.newTerm(result.Revision, startedAt), lease)
}

// newTerm returns the term of a lease whose grant was requested at startedAt.
func (e *Election) newTerm(revision ids.Revision, startedAt monotonic.Instant) *Term {
	t := &Term{
		Revision:         revision,
		clock:            e.clock,
		bounds:           &e.bounds,
		acknowledgements: newPeerAcknowledgements(e.bounds.Peers),
	}
	t.leaseValidUntil.Store(e.bounds.leaseValidUntil(startedAt))
	t.lastRenewalStartedAt.Store(startedAt)
	return t
}

// lead runs a term until it has ended and its work has returned, and then revokes the lease.
func (e *Election) lead(ctx context.Context, t *Term, lease ids.LeaseID) error {
	termCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t.cancel = cancel
	if err := e.beginTerm(t); err != nil {
		return err
	}
	e.log.Info("leadership acquired", "leader_revision", t.Revision)
	e.runTerm(termCtx, t, lease)
	e.log.Info("leadership lost", "leader_revision", t.Revision, "cause", context.Cause(termCtx))
	e.clearTerm(t)
	e.revokeLease(ctx, lease)
	monotonic.Sleep(ctx, campaignDelay)
	return nil
}

// beginTerm makes t the current term of this controller. It fails if a later leader was observed
// since the campaign started, because this controller may have announced that leader to its
// peers. This happens if the response to the commit was late, or if the process was paused.
func (e *Election) beginTerm(t *Term) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.Revision > t.Revision {
		return fmt.Errorf("begin term %d: %w at revision %d", t.Revision, ErrSuperseded, e.leader.Revision)
	}
	e.term = t
	e.leader = Leader{e.self, t.Revision}
	return nil
}

// runTerm renews the lease while the leader's work runs. It returns once both have ended.
func (e *Election) runTerm(ctx context.Context, t *Term, lease ids.LeaseID) {
	workReturned := make(chan struct{})
	go func() {
		defer close(workReturned)
		err := e.work(ctx, t)
		if err == nil {
			err = errWorkReturned
		}
		t.End(err)
	}()
	e.renewLease(ctx, t, lease)
	<-workReturned
}

// clearTerm clears the current term. It keeps the revision of the term's key.
func (e *Election) clearTerm(t *Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.term = nil
	if e.leader.Revision == t.Revision {
		e.leader = Leader{Revision: t.Revision}
	}
}

// revokeLease revokes a lease, so that the leader key is deleted before the lease expires. It
// does so even if ctx is cancelled. If it fails, the key is deleted when the lease expires.
func (e *Election) revokeLease(ctx context.Context, lease ids.LeaseID) {
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = e.store.RevokeLease(revokeCtx, lease)
}

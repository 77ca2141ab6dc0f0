// Package election decides which controller leads: the one that holds the
// leader's key, which hangs on a short lease in the state service.
package election

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// Identity is the value of the leader's key.
type Identity struct {
	Name        ids.ControllerName        `msgpack:"n"`
	MeshAddress string                    `msgpack:"m"`
	Incarnation ids.ControllerIncarnation `msgpack:"i"`
}

// Leader is a holder and the revision of its key. A larger revision is a later
// leader.
type Leader struct {
	Identity
	Revision ids.Revision
}

// Store is what an election needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (kv.Entry, bool, error)
	Commit(ctx context.Context, t kv.Txn) (kv.TxnResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (ids.LeaseID, error)
	RenewLease(ctx context.Context, id ids.LeaseID) error
	RevokeLease(ctx context.Context, id ids.LeaseID) error
	Watch(ctx context.Context, prefix string, since ids.Revision, hold time.Duration) (ids.Revision, []kv.Event, error)
}

// Term is one time of leading. Its context ends when it is over.
type Term struct {
	Revision ids.Revision

	clock          monotonic.Clock
	heldUntil      atomic.Int64 // monotonic.Instant until which the key is surely held
	renewalAskedAt atomic.Int64 // monotonic.Instant when the last renewal that ended was begun
	over           atomic.Bool
	bounds         LeaseBounds
	end            context.CancelCauseFunc

	mu sync.Mutex
	// confirmedBy is when each peer was last asked that then knew of no later leader;
	// see Confirm.
	confirmedBy map[ids.ControllerName]monotonic.Instant
}

// LeaseBounds are how long a leader may go on.
type LeaseBounds struct {
	// TTL is how long the leader's key outlives its last renewal.
	TTL time.Duration
	// OutageGrace is how long after that a leader may answer workers at most, while
	// the state service is away.
	OutageGrace time.Duration
	// IsolatedGrace is the same, counted from the last moment at which all Peers were
	// known to follow no later leader, for workers without replicas, and
	// IsolatedReplicaGrace for the others. A later leader counts on both: what that has
	// told users, as that a job is cancelled, this one does not know.
	IsolatedGrace, IsolatedReplicaGrace time.Duration
	// Peers are the other controllers.
	Peers []ids.ControllerName
}

// HoldsLease tells whether the key is surely held now.
func (t *Term) HoldsLease() bool { return t.clock.Now() < monotonic.Instant(t.heldUntil.Load()) }

// renewalWindow is how lately a renewal must have been tried, whatever came of
// it, by who acts without holding the key. It is longer than one takes that
// gets no answer.
const renewalWindow = 5 * time.Second

// MayAnswerHeartbeats tells whether workers may be answered: while the key is held, and
// for a bounded grace after it, in which the state service may be away for
// everyone. It is shorter while a later leader cannot be ruled out. A successor
// counts on these bounds. A process that was paused while
// its clocks ran on finds its key expired, and does not know yet whether the
// state service was away or somebody else leads: it must ask first.
func (t *Term) MayAnswerHeartbeats() bool {
	now := t.clock.Now()
	if t.over.Load() {
		return false
	}
	valid := monotonic.Instant(t.heldUntil.Load())
	return now < valid || now < valid.Add(t.bounds.OutageGrace) && now < monotonic.Instant(t.renewalAskedAt.Load()).Add(renewalWindow) &&
		(len(t.bounds.Peers) == 0 || now < t.unchallengedAt(valid).Add(max(t.bounds.IsolatedGrace, t.bounds.IsolatedReplicaGrace)))
}

// MayAnswerReplicasOnly tells whether no worker may be answered any more but those with replicas.
func (t *Term) MayAnswerReplicasOnly() bool {
	valid := monotonic.Instant(t.heldUntil.Load())
	return len(t.bounds.Peers) > 0 && t.clock.Now() >= t.unchallengedAt(valid).Add(t.bounds.IsolatedGrace)
}

// RecordPeerAck takes a peer's word that it knew of no later leader when it was asked. It
// counts only if the peer's process was running while the key was still surely
// held: one that was started since may have led before, and not know it.
func (t *Term) RecordPeerAck(peer ids.ControllerName, asked, started monotonic.Instant) {
	if started >= monotonic.Instant(t.heldUntil.Load()) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmedBy == nil {
		t.confirmedBy = map[ids.ControllerName]monotonic.Instant{}
	}
	t.confirmedBy[peer] = max(t.confirmedBy[peer], asked)
}

// unchallengedAt is the latest moment at which there surely was no later leader: the
// key was held until valid, and whoever led after that was one of the peers, none
// of which knew of it when it was last asked.
func (t *Term) unchallengedAt(valid monotonic.Instant) monotonic.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.confirmedBy[t.bounds.Peers[0]]
	for _, p := range t.bounds.Peers {
		at = min(at, t.confirmedBy[p])
	}
	return max(at, valid)
}

// End ends the term. Nobody is answered in its name from here on, even by work
// that has yet to notice: others take a node's word that it follows a later
// leader.
func (t *Term) End(cause error) {
	t.over.Store(true)
	t.end(cause)
}

var (
	// ErrSuperseded ends a term when a later leader is known.
	ErrSuperseded = errors.New("a later leader is known")
	errLost       = errors.New("the leader's lease ended")
	errGrace      = errors.New("no contact with the state service for the whole grace")
)

// Election takes part for one node.
type Election struct {
	store  Store
	self   Identity
	bounds LeaseBounds
	clock  monotonic.Clock
	log    *slog.Logger
	lead   func(ctx context.Context, t *Term) error

	// unreadable is the revision of a key that could not be read and was reported.
	unreadable ids.Revision

	mu     sync.Mutex
	leader Leader
	term   *Term
}

// New prepares an election. lead is run for each term, until its context ends.
func New(store Store, self Identity, bounds LeaseBounds, clock monotonic.Clock, log *slog.Logger,
	lead func(context.Context, *Term) error) *Election {
	return &Election{store: store, self: self, bounds: bounds, clock: clock, log: log, lead: lead}
}

// Leader is the latest leader that is known; ok is false while there is none.
func (e *Election) Leader() (l Leader, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.leader.Name != ""
}

// Term is the node's own term, or nil.
func (e *Election) Term() *Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term
}

// Observe takes what a peer or the state service says about the leader. A peer that
// knows a leader by its revision alone, since that one's key is gone, tells of no leader to
// follow, only that earlier terms are over.
func (e *Election) Observe(l Leader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.Revision <= e.leader.Revision {
		return
	}
	if l.Name != "" {
		e.leader = l
	}
	if e.term != nil && l.Revision > e.term.Revision {
		e.term.End(ErrSuperseded)
	}
}

// dropLeader forgets a leader whose key is gone.
func (e *Election) dropLeader(revision ids.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.Revision <= revision {
		e.leader = Leader{Revision: e.leader.Revision}
	}
}

// Run takes part until the context ends.
func (e *Election) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := e.round(ctx); err != nil && ctx.Err() == nil {
			e.log.Debug("election round failed", "err", err)
			monotonic.Sleep(ctx, 200*time.Millisecond+time.Duration(rand.IntN(100))*time.Millisecond)
		}
	}
	return ctx.Err()
}

// round looks at the key once: it waits for a change if someone else holds
// it, and tries to take it if nobody does.
func (e *Election) round(ctx context.Context) error {
	entry, found, err := e.store.Get(ctx, records.LeaderKey)
	if err != nil {
		return err
	}
	var guard ids.Revision
	if found {
		var h Identity
		if err := wire.Decode(entry.Value, &h); err != nil {
			// Whoever holds it leads all the same; it goes with its lease.
			if e.unreadable != entry.Revision {
				e.unreadable = entry.Revision
				e.log.Error("leader record unreadable", "key", records.LeaderKey, "err", err)
			}
			return fmt.Errorf("leader's key: %w", err)
		}
		if h.Name != e.self.Name || h.Incarnation == e.self.Incarnation {
			e.Observe(Leader{h, entry.Revision})
			return e.await(ctx, entry.Revision)
		}
		// The key names an earlier process of this very node. It is dead, so
		// there is no need to wait for its lease.
		guard = entry.Revision
	}
	return e.campaign(ctx, guard)
}

// await returns when the key changes.
func (e *Election) await(ctx context.Context, held ids.Revision) error {
	since := held
	for ctx.Err() == nil {
		epoch, events, err := e.store.Watch(ctx, records.LeaderKey, since, 10*time.Second)
		if errors.Is(err, kv.ErrCompacted) {
			// The leader has held the key for longer than the service keeps
			// changes. Reading the key again would give the same revision, at once
			// and for ever; that it still has it tells from where to watch.
			out, err := e.store.Commit(ctx, kv.Txn{Preconditions: []kv.Precondition{{Key: records.LeaderKey, Revision: held}}})
			if err != nil || !out.Applied {
				return err
			}
			since = max(since, out.Revision)
			continue
		}
		if err != nil {
			return err
		}
		for _, ev := range events {
			if ev.DeletedKey == records.LeaderKey {
				e.dropLeader(ev.Revision)
			}
			if ev.DeletedKey == records.LeaderKey || ev.PutKey == records.LeaderKey {
				return nil
			}
		}
		since = max(since, epoch)
	}
	return ctx.Err()
}

// campaign tries to take the key. guard is its expected revision; 0: it is absent.
func (e *Election) campaign(ctx context.Context, guard ids.Revision) error {
	asked := e.clock.Now()
	lease, err := e.store.GrantLease(ctx, e.bounds.TTL)
	if err != nil {
		return err
	}
	t := &Term{clock: e.clock, bounds: e.bounds}
	t.heldUntil.Store(int64(e.validity(asked)))
	t.renewalAskedAt.Store(int64(asked))
	txn := kv.Txn{
		Preconditions: []kv.Precondition{{Key: records.LeaderKey, Revision: guard}},
		Operations:    []kv.Operation{{PutKey: records.LeaderKey, Value: e.self, Lease: lease}},
	}
	out, err := e.store.Commit(ctx, txn)
	if err != nil || !out.Applied {
		// Without an answer the key may be ours. The next round would wait
		// for it to change, so give the lease up: then it surely goes.
		revoke, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		_ = e.store.RevokeLease(revoke, lease)
		return err
	}
	t.Revision = out.Revision
	return e.hold(ctx, t, lease)
}

// validity is until when a lease taken or renewed at a time is surely alive.
func (e *Election) validity(asked monotonic.Instant) monotonic.Instant {
	return asked.Add(e.bounds.TTL - e.bounds.TTL/500 - 50*time.Millisecond)
}

// hold leads until the term is over.
func (e *Election) hold(ctx context.Context, t *Term, lease ids.LeaseID) error {
	tctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	t.end = end
	e.mu.Lock()
	if e.leader.Revision > t.Revision {
		// Somebody leads since: the answer to our claim was late, or this
		// process was paused. Peers may have been told so already.
		e.mu.Unlock()
		return ErrSuperseded
	}
	e.term = t
	e.leader = Leader{e.self, t.Revision}
	e.mu.Unlock()
	e.log.Info("leadership acquired", "leader_revision", t.Revision)

	done := make(chan struct{})
	go func() {
		defer close(done)
		err := e.lead(tctx, t)
		if err == nil {
			err = errors.New("the term's work ended")
		}
		t.End(err)
	}()
	e.renew(tctx, t, lease)
	<-done

	cause := context.Cause(tctx)
	e.log.Info("leadership lost", "leader_revision", t.Revision, "cause", cause)
	e.mu.Lock()
	e.term = nil
	if e.leader.Revision == t.Revision {
		e.leader = Leader{Revision: t.Revision}
	}
	e.mu.Unlock()
	revoke, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = e.store.RevokeLease(revoke, lease)
	monotonic.Sleep(ctx, 100*time.Millisecond)
	return nil
}

// renew keeps the lease until the term is over.
func (e *Election) renew(ctx context.Context, t *Term, lease ids.LeaseID) {
	for ctx.Err() == nil {
		asked := e.clock.Now()
		err := e.store.RenewLease(ctx, lease)
		t.renewalAskedAt.Store(int64(asked))
		switch {
		case err == nil:
			t.heldUntil.Store(int64(e.validity(asked)))
		case errors.Is(err, kv.ErrLeaseExpired):
			t.End(errLost)
			return
		case e.clock.Now() >= monotonic.Instant(t.heldUntil.Load()).Add(t.bounds.OutageGrace):
			t.End(errGrace)
			return
		}
		wait := e.bounds.TTL / 4
		if err != nil {
			wait = e.bounds.TTL / 10
		}
		monotonic.Sleep(ctx, wait)
	}
}

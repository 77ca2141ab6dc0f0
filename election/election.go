package election

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

const (
	// roundRetryDelay is the minimum delay after a failed round. Up to roundRetryJitter is
	// added to it, so that the controllers do not campaign simultaneously.
	roundRetryDelay  = 200 * time.Millisecond
	roundRetryJitter = 100 * time.Millisecond
)

var (
	// ErrSuperseded is the cause of a term's end when a later leader was observed.
	ErrSuperseded = errors.New("superseded by a later leader")
	// errGraceExpired is the cause of a term's end when no renewal succeeded within
	// LeaseBounds.OutageGrace.
	errGraceExpired = errors.New("outage grace expired")
	// errWorkReturned is the cause of a term's end when the leader's work returned without an
	// error.
	errWorkReturned = errors.New("work of the term returned")
)

// Store is the subset of the key-value store that an election uses.
type Store interface {
	Get(ctx context.Context, key string) (kv.Entry, bool, error)
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (ids.LeaseID, error)
	RenewLease(ctx context.Context, id ids.LeaseID) error
	RevokeLease(ctx context.Context, id ids.LeaseID) error
	Watch(ctx context.Context, prefix string, since ids.Revision, maxWait time.Duration) (ids.Revision, []kv.Event, error)
}

// Election takes part in the election for one process of a controller. Run must be called only
// once. All other methods are safe for concurrent use.
type Election struct {
	store  Store
	self   Identity
	bounds LeaseBounds
	clock  monotonic.Clock
	log    *slog.Logger
	work   func(ctx context.Context, t *Term) error

	// loggedUnreadableRevision is the revision of the last leader key that was logged as
	// unreadable. Only the goroutine of Run accesses it.
	loggedUnreadableRevision ids.Revision

	mu     sync.Mutex
	leader Leader
	term   *Term
}

// New returns an election that starts with Run. Run calls work for each term of this controller,
// with a context that is cancelled when the term ends. A term also ends when its work returns.
func New(store Store, self Identity, bounds LeaseBounds, clock monotonic.Clock, log *slog.Logger,
	work func(ctx context.Context, t *Term) error) *Election {
	return &Election{store: store, self: self, bounds: bounds, clock: clock, log: log, work: work}
}

// Leader returns the latest known leader. It returns false if the name of the leader is not known.
// The revision of the last leader may be set even then.
func (e *Election) Leader() (Leader, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.leader.Name != ""
}

// Term returns the current term of this controller, or nil while it does not lead.
func (e *Election) Term() *Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term
}

// Run takes part in the election until the context is cancelled, and returns the context's error.
// If this controller leads at that time, Run returns after the work of the term has returned.
func (e *Election) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := e.runRound(ctx); err != nil && ctx.Err() == nil {
			e.log.Debug("election round failed", "err", err)
			monotonic.Sleep(ctx, roundRetryDelay+rand.N(roundRetryJitter))
		}
	}
	return ctx.Err()
}

// runRound reads the leader key once. If another controller holds the key, it waits for the key
// to change. Otherwise it campaigns.
func (e *Election) runRound(ctx context.Context) error {
	entry, found, err := e.store.Get(ctx, records.LeaderKey)
	if err != nil {
		return fmt.Errorf("get key %s: %w", records.LeaderKey, err)
	}
	if !found {
		return e.campaign(ctx, keyAbsent)
	}
	holder, err := e.decodeHolder(entry)
	if err != nil {
		return err
	}
	if holder.isEarlierProcessOf(e.self) {
		return e.campaign(ctx, entry.Revision)
	}
	e.Observe(Leader{holder, entry.Revision})
	return e.awaitKeyChange(ctx, entry.Revision)
}

// decodeHolder decodes the value of the leader key. It logs an unreadable value once. A key with
// an unreadable value still counts as held until its lease expires.
func (e *Election) decodeHolder(entry kv.Entry) (Identity, error) {
	var holder Identity
	err := wire.Decode(entry.Value, &holder)
	if err == nil {
		return holder, nil
	}
	if e.loggedUnreadableRevision != entry.Revision {
		e.loggedUnreadableRevision = entry.Revision
		e.log.Error("leader record unreadable", "key", records.LeaderKey, "err", err)
	}
	return Identity{}, fmt.Errorf("decode key %s at revision %d: %w", records.LeaderKey, entry.Revision, err)
}

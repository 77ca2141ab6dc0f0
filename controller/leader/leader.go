// Package leader does the work of the elected leader during one term. A Leader loads the
// records, feeds everything that happens to the scheduler core as events, and has the core's
// decisions carried out: records written, workers called, machines provisioned and terminated.
// The controller that was elected makes one Leader for each term; it never outlives the term,
// and it decides nothing itself: decisions are those of package scheduler.
package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"ospreystile.example/ospreystile/cloud"
	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/records/commit"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/worker"
)

// Catalog holds the machine types of the cloud. It is safe for concurrent use.
type Catalog interface {
	// MachineTypes returns the types as last read; ok is false before the first read.
	MachineTypes() (types []wire.MachineType, ok bool)
}

// VersionGate tells whether every controller can read all forms of records that this version
// writes. It is safe for concurrent use.
type VersionGate interface {
	// Open tells whether that is known. It never goes back to false.
	Open() bool
	// Load opens the gate if the store says so. It returns the store's errors.
	Load(ctx context.Context, store *kv.Client) error
}

// Peer is another controller, as known from its pings. It is safe for concurrent use.
type Peer interface {
	// FollowedRevision is the revision of the leader that the peer follows.
	FollowedRevision() ids.Revision
	// HeardWithin tells whether the peer answered a ping within d before now.
	HeardWithin(now monotonic.Instant, d time.Duration) bool
}

// Dependencies are what leaders work with. The controller owns them; they outlive each term.
type Dependencies struct {
	Platform    *config.Platform
	Operator    *config.Operator
	Clock       monotonic.Clock
	Log         *slog.Logger
	Store       *kv.Client
	Cloud       *cloud.Client
	Workers     *worker.Client
	Catalog     Catalog
	VersionGate VersionGate
	Peers       []Peer
}

// Leader is the leader of one term. Its event loop owns the scheduler core; all methods but
// Run hand it events, and are safe for concurrent use.
type Leader struct {
	dependencies Dependencies
	term         *election.Term
	mailbox      *mailbox
	// core is handed to the event loop by Run; nothing else uses it from then on.
	core *scheduler.Core
	// loadedRevision is the revision of the store at which the jobs were listed.
	loadedRevision ids.Revision
	// applied is the revision up to which all cancellations may be told to users, as far as
	// the scheduler core goes. The event loop writes it.
	applied atomic.Uint64
}

// Load prepares the leader of a term: it reads the records, which no other controller can
// change any more. Run must follow. Load fails with the store's errors, with
// records.ErrFenced if a later leader is found, and with the context's error.
func Load(ctx context.Context, term *election.Term, dependencies Dependencies) (*Leader, error) {
	load := &loader{Dependencies: dependencies, term: term}
	if err := load.load(ctx); err != nil {
		return nil, fmt.Errorf("taking over: %w", err)
	}
	return &Leader{dependencies: dependencies, term: term, mailbox: newMailbox(), core: load.core, loadedRevision: load.revision}, nil
}

// Run leads until the context ends, the term is superseded, or the records are found not to be
// as this leader left them; it returns the cause.
func (l *Leader) Run(ctx context.Context) error {
	if l.dependencies.VersionGate.Open() { // it may have been opened while the records were read
		l.core.EnableSplitRecords(l.dependencies.Clock.Now())
	}
	l.dependencies.Log.Info("records loaded", "leader_revision", l.term.Revision, "summary", l.core.Summary())
	group, groupCtx := errgroup.WithContext(ctx)
	context.AfterFunc(groupCtx, l.mailbox.close)
	l.start(groupCtx, group)
	err := group.Wait()
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// start starts the goroutines of the term in a group; they end with its context.
func (l *Leader) start(ctx context.Context, group *errgroup.Group) {
	d := &l.dependencies
	// The cloud does not fence calls, so the client checks the term before each.
	authorizedCloud := d.Cloud.AuthorizedBy(l.term.MayAnswerHeartbeats)
	executors := l.newExecutors(group, authorizedCloud)
	machines := machineLister{cloud: authorizedCloud, callsPerSecond: d.Platform.Settings.Cloud.RPS, clock: d.Clock,
		mailbox: l.mailbox, log: d.Log}
	loop := &eventLoop{core: l.core, executors: executors, term: l.term, peers: d.Peers, clock: d.Clock, mailbox: l.mailbox,
		log: d.Log, observed: l.loadedRevision, applied: &l.applied}
	group.Go(func() error { return executors.records.committer.Run(ctx) })
	group.Go(func() error { return executors.jobs.watch(ctx, l.loadedRevision) })
	group.Go(func() error { return machines.run(ctx) })
	group.Go(func() error { return executors.terminations.run(ctx) })
	group.Go(func() error { return awaitFollowers(ctx, d.Peers, l.term.Revision, l.mailbox) })
	group.Go(func() error { return loop.run(ctx) })
}

// newExecutors makes the executors of the term; their goroutines belong to the group.
func (l *Leader) newExecutors(group *errgroup.Group, authorizedCloud *cloud.Client) *executors {
	d := &l.dependencies
	fence := &kv.Precondition{Key: records.LeaderKey, Revision: l.term.Revision}
	committer := commit.New(d.Store, d.transactionLimits(), fence, d.Log)
	return &executors{
		records:      recordWriter{committer: committer, term: l.term, mailbox: l.mailbox, log: d.Log},
		workers:      workerCaller{client: d.Workers, group: group, mailbox: l.mailbox, log: d.Log},
		jobs:         jobReader{store: d.Store, group: group, mailbox: l.mailbox, log: d.Log},
		provisioner:  provisioner{cloud: authorizedCloud, group: group, mailbox: l.mailbox, log: d.Log},
		terminations: newTerminator(authorizedCloud, l.mailbox, d.Log),
		log:          d.Log,
	}
}

// Package leader does the work of the elected leader during one term. A Leader loads the records
// and passes events to the scheduler core: heartbeats, results of commits and calls, changes of
// jobs. It executes the core's decisions: it writes records, calls workers, and provisions and
// terminates machines. The elected controller makes one Leader for each term. A Leader never
// outlives its term, and it makes no scheduling decisions itself: package scheduler does.
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

// VersionGate reports whether every controller can read all forms of records that this version
// writes. It is safe for concurrent use.
type VersionGate interface {
	// Open reports whether that is known. Once true, it stays true.
	Open() bool
	// Load opens the gate if records.FormatKey in the store shows that it may open. It returns
	// the store's errors.
	Load(ctx context.Context, store *kv.Client) error
}

// Peer is another controller, as known from its pings. It is safe for concurrent use.
type Peer interface {
	// FollowedRevision returns the revision of the leader that the peer follows.
	FollowedRevision() ids.Revision
	// HeardWithin reports whether the peer answered a ping within d before now.
	HeardWithin(now monotonic.Instant, d time.Duration) bool
}

// Dependencies are what a Leader needs. The controller owns them; they outlive each term.
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

// Leader is the leader of one term. Its event loop owns the scheduler core. All methods but Run
// post events to it, and are safe for concurrent use.
type Leader struct {
	dependencies Dependencies
	term         *election.Term
	mailbox      *mailbox
	// core belongs to the event loop once Run has started it.
	core *scheduler.Core
	// loadedRevision is the revision of the store at which the jobs were listed.
	loadedRevision ids.Revision
	// applied is the revision up to which the scheduler core allows all cancellations to be
	// reported to users. The event loop writes it. See AcknowledgedRevision.
	applied atomic.Uint64
}

// Load prepares the leader of a term by reading the records. Run must follow. Load fails with the
// store's errors, with records.ErrFenced if a later leader was elected, and with the context's
// error.
func Load(ctx context.Context, term *election.Term, dependencies Dependencies) (*Leader, error) {
	load := &loader{Dependencies: dependencies, term: term}
	if err := load.load(ctx); err != nil {
		return nil, fmt.Errorf("taking over: %w", err)
	}
	return &Leader{dependencies: dependencies, term: term, mailbox: newMailbox(), core: load.core, loadedRevision: load.revision}, nil
}

// Run leads until the context ends, the term is superseded, or another writer has changed the
// records that only this leader may change. It returns the cause.
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

// start starts the goroutines of the term in a group. They end when ctx does.
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

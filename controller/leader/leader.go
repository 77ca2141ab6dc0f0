// Package leader implements the elected leader during one term. A Leader loads the records from the
// key-value store and passes events to the scheduler core: heartbeats, results of commits and calls,
// and changes of jobs. It executes the core's decisions: it writes records, calls workers, and
// provisions and terminates machines. The elected controller creates one Leader for each term. A
// Leader never outlives its term. Package scheduler makes all scheduling decisions.
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
	"ospreystile.example/ospreystile/controller/settings"
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
	// MachineTypes returns the types as they were last read from the cloud or, before the first
	// read, as they are recorded in the key-value store. ok is false while neither is known.
	MachineTypes() (types []wire.MachineType, ok bool)
	// TypesFromCloud returns the types as this process last read them from the cloud. ok is false
	// before the first read.
	TypesFromCloud() (types []wire.MachineType, ok bool)
}

// VersionGate reports whether every controller can read all record formats that this version
// writes. It is safe for concurrent use.
type VersionGate interface {
	// Open reports whether every controller is known to read these formats. Once it has
	// returned true, it always returns true.
	Open() bool
	// Load opens the gate if the record of records.FormatKey in the key-value store shows that
	// every controller can read these formats. It returns the store's errors.
	Load(ctx context.Context, store *kv.Client) error
}

// Peer represents another controller and its state as of its last ping. It is safe for concurrent use.
type Peer interface {
	// Controller returns the name of the peer.
	Controller() ids.ControllerName
	// FollowedRevision returns the revision of the leader that the peer follows.
	FollowedRevision() ids.Revision
	// AnsweredWithin reports whether the peer answered a ping within d before now.
	AnsweredWithin(now monotonic.Instant, d time.Duration) bool
}

// Dependencies holds what a Leader needs. The controller owns the values, which outlive each term.
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

// Leader represents the leader of one term. Its event loop owns the scheduler core. All methods except Run
// are safe for concurrent use; those that need the core post events to the event loop.
type Leader struct {
	dependencies Dependencies
	term         *election.Term
	mailbox      *mailbox
	// core is used by the event loop alone once Run has started it.
	core *scheduler.Core
	// loadedRevision is the revision of the key-value store at which the jobs were listed.
	loadedRevision ids.Revision
	// acknowledged is the revision up to which all cancellations may be acknowledged to users,
	// according to the scheduler core. The event loop writes it. See AcknowledgedRevision.
	acknowledged atomic.Uint64
}

// Load returns a leader for a term, with the records loaded from the key-value store. The caller
// must then call Run. Load returns records.ErrFenced if a later leader was elected, and otherwise
// the errors of the store and of the context.
func Load(ctx context.Context, term *election.Term, dependencies Dependencies) (*Leader, error) {
	recordLoader := &loader{Dependencies: dependencies, term: term}
	if err := recordLoader.load(ctx); err != nil {
		return nil, fmt.Errorf("load records for the new term: %w", err)
	}
	return &Leader{dependencies: dependencies, term: term, mailbox: newMailbox(), core: recordLoader.core, loadedRevision: recordLoader.revision}, nil
}

// Run runs the leader until the context ends, a later leader is observed or fences a commit, another
// writer changes records that only this leader may change, or the key-value store no longer keeps all
// changes of jobs that the leader has not observed. It returns the cause.
func (l *Leader) Run(ctx context.Context) error {
	// The gate may have opened, and the catalog may have been read, while the records were loaded.
	if l.dependencies.VersionGate.Open() {
		l.core.EnableSplitRecords(l.dependencies.Clock.Now())
	}
	if types, ok := l.dependencies.Catalog.MachineTypes(); ok {
		l.core.SetCatalog(types)
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

// start starts the goroutines of the term in a group. They end when the context ends at the latest.
func (l *Leader) start(ctx context.Context, group *errgroup.Group) {
	d := &l.dependencies
	executors := l.newExecutors(group)
	machines := machineLister{cloud: d.Cloud.AuthorizedBy(l.term.MayAnswerHeartbeats), callsPerSecond: d.Platform.Settings.Cloud.RPS, clock: d.Clock,
		mailbox: l.mailbox, log: d.Log}
	loop := &eventLoop{core: l.core, executors: executors, term: l.term, peers: d.Peers, clock: d.Clock, mailbox: l.mailbox,
		log: d.Log, observedRevision: l.loadedRevision, acknowledged: &l.acknowledged}
	catalog := catalogRecorder{catalog: d.Catalog, store: d.Store, fence: l.fence(), maxValueBytes: settings.MaxValueBytes(d.Platform), log: d.Log}
	group.Go(func() error { return executors.records.committer.Run(ctx) })
	group.Go(func() error { return catalog.run(ctx) })
	group.Go(func() error { return executors.jobs.watch(ctx, l.loadedRevision) })
	group.Go(func() error { return machines.run(ctx) })
	group.Go(func() error { return executors.terminations.run(ctx) })
	group.Go(func() error { return executors.cancelledTerminations.run(ctx) })
	group.Go(func() error { return awaitFollowers(ctx, d.Peers, l.term.Revision, l.mailbox) })
	group.Go(func() error { return loop.run(ctx) })
}

// fence returns the precondition of all commits of the term.
func (l *Leader) fence() kv.Precondition {
	return kv.Precondition{Key: records.LeaderKey, Revision: l.term.Revision}
}

// newExecutors returns the executors of the term. Their goroutines run in the group. The cloud does not fence
// calls, so the clients check the term before each call.
func (l *Leader) newExecutors(group *errgroup.Group) *executors {
	d := &l.dependencies
	fence := l.fence()
	committer := commit.New(d.Store, d.transactionLimits(), &fence, d.Log)
	return &executors{
		records:      recordWriter{committer: committer, term: l.term, mailbox: l.mailbox, log: d.Log},
		workers:      workerCaller{client: d.Workers, group: group, mailbox: l.mailbox, log: d.Log},
		jobs:         jobReader{store: d.Store, group: group, mailbox: l.mailbox, log: d.Log},
		provisioner:  provisioner{cloud: d.Cloud.AuthorizedBy(l.term.MayProvision), group: group, mailbox: l.mailbox, log: d.Log},
		terminations: newTerminator(d.Cloud.AuthorizedBy(l.term.MayTerminate), l.mailbox, d.Log),
		// See election.Authority.MayTerminate for the authority.
		cancelledTerminations: newTerminator(d.Cloud.AuthorizedBy(l.term.MayAnswerHeartbeats), l.mailbox, d.Log),
		log:                   d.Log,
	}
}

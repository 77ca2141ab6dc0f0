// Package controller wires one controller together and runs it: its answers to users, workers and
// peers, and the work of a term while it leads.
package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"ospreystile.example/ospreystile/cloud"
	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/peerrpc"
	"ospreystile.example/ospreystile/records/commit"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/worker"
)

// Controller is one controller.
type Controller struct {
	cfg   *config.Platform
	op    *config.Operator
	log   *slog.Logger
	clock monotonic.Clock

	cloud   *cloud.Client
	workers *worker.Client
	peers   []*peer

	stateHTTP *httpclient.Client
	health    stateHealth
	// leaderState goes straight to the state service; userState takes the way
	// through a peer when that one refuses this node alone.
	leaderState *kv.Client
	userState   *kv.Client
	intake      *commit.Committer

	election *election.Election
	catalog  atomic.Pointer[[]wire.MachineType]
	term     atomic.Pointer[term]

	startedAt    monotonic.Instant
	terminalJobs terminalJobCache
	acknowledged acknowledgedRevision
	statusReads  *statusReader
	relay        *reportRelay
	balancer     connectionBalancer
	// upgrade tells whether all controllers are known to be of this version.
	upgrade upgrade
	// workerCount is how many workers report here, as last counted.
	workerCount atomic.Int32
}

// New makes a controller from its settings.
func New(cfg *config.Platform, op *config.Operator, log *slog.Logger) *Controller {
	n := &Controller{cfg: cfg, op: op, log: log, clock: monotonic.SystemClock()}
	n.startedAt = n.clock.Now()
	s := &cfg.Settings
	n.cloud = cloud.New(cfg.External.Cloud, s.Cloud.RPS)
	n.workers = worker.New()
	n.stateHTTP = httpclient.New(cfg.External.State, 64, 16<<20)
	for _, p := range cfg.Seeds {
		n.peers = append(n.peers, &peer{Peer: peerrpc.NewPeer(p.Name, p.Address)})
	}
	nodes := float64(len(cfg.Seeds) + 1)
	direct := &directRoute{n}
	rps := s.State.Planned().RPS
	n.leaderState = kv.New(direct, rps*0.25)
	n.userState = kv.New(&userRoute{n, direct}, rps*0.65/nodes)
	n.intake = commit.New(n.userState, n.limits(), nil, log)
	self := election.Identity{Name: cfg.HostName, MeshAddress: cfg.MeshAddr, Incarnation: ids.ControllerIncarnation(rand.Uint64())}
	bounds := election.LeaseBounds{TTL: op.LeaseTTL(), OutageGrace: op.Grace(), IsolatedGrace: n.isolatedBound(), IsolatedReplicaGrace: n.isolatedReplicasBound()}
	for _, p := range cfg.Seeds {
		bounds.Peers = append(bounds.Peers, p.Name)
	}
	n.election = election.New(n.leaderState.Unthrottled(), self, bounds, n.clock, log, n.lead)
	n.terminalJobs.jobs = map[ids.JobID]wire.JobStatus{}
	n.balancer.seen = map[ids.MachineID]monotonic.Instant{}
	n.relay = &reportRelay{n: n, wake: make(chan struct{}, 1)}
	// A fifth of the requests is for polls, by all nodes together.
	gap := monotonic.Seconds(nodes / (0.2 * rps))
	n.statusReads = newStatusReader(n.userState, gap, n.progress)
	return n
}

// cancelHold is for how long after it began a leader may have to refuse to acknowledge
// cancellations, because an earlier one may still keep tasks of the job. It is half of the
// 90 s after which a job counts as forgotten about which no question is answered.
const cancelHold = 45 * time.Second

// isolatedBound is for how long a leader that cannot rule out a later one may go on
// answering workers without replicas: users may be told at any time that a job is
// cancelled, and the lease that is renewed last ends within cancel_s of that.
func (n *Controller) isolatedBound() time.Duration {
	w := &n.cfg.Settings.Workers
	return min(n.op.Grace(), scheduler.CancelMargin(monotonic.Seconds(w.CancelDeadlineS), monotonic.Seconds(w.LeaseS)))
}

// isolatedReplicasBound is the same for workers with replicas, so that a zone that is cut
// off together with its leader keeps its services for that long and a lease. The later
// leader counts on this bound: until it is over but for scheduler.CancelMargin, no user is
// told that a job is cancelled whose tasks the earlier leader may keep.
func (n *Controller) isolatedReplicasBound() time.Duration {
	isolated := n.isolatedBound()
	if isolated == 0 { // cancel_s leaves no room for it
		return 0
	}
	return min(n.op.Grace(), isolated+cancelHold)
}

// maxTransactionBytes is the largest estimated size of a transaction. The key-value store
// takes 64 KiB; the rest is for estimates that are too low.
const maxTransactionBytes = 48 << 10

// limits are those of one transaction.
func (n *Controller) limits() commit.Limits {
	s := n.cfg.Settings.State.Planned()
	// A transaction beyond one second's worth of changes never passes the rate.
	return commit.Limits{Operations: max(1, min(s.TxnOps, int(s.WriteRPS))), Bytes: maxTransactionBytes}
}

// valueBytes is how large a value may be, with a margin for how the service counts.
func (n *Controller) valueBytes() int {
	return int(n.cfg.Settings.State.Planned().ValueKB*1024*0.95) - 32
}

// Run serves until the context ends.
func (n *Controller) Run(ctx context.Context) error {
	// Two thirds of what the platform grants: stacks, buffers and the
	// runtime's own take the rest.
	// With that as the ceiling, the collector need not run at every doubling of
	// a small heap: its work is a good part of a small share of a core.
	debug.SetGCPercent(250)
	debug.SetMemoryLimit(int64(n.cfg.Settings.Resources.RAMMB * 0.66 * (1 << 20)))
	api, err := net.Listen("tcp4", n.cfg.APIAddr)
	if err != nil {
		return fmt.Errorf("api_addr: %w", err)
	}
	meshLn, err := net.Listen("tcp4", n.cfg.MeshAddr)
	if err != nil {
		return fmt.Errorf("mesh_addr: %w", err)
	}
	s := &n.cfg.Settings
	app := server.New(n, server.Limits{
		// Outgoing connections, peers and the runtime need sockets too.
		MaxConnections: max(16, s.Resources.Sockets*3/4),
		IdleTimeout:    max(15*time.Second, 3*monotonic.Seconds(s.Workers.HeartbeatIntervalS)),
	}, n.log)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return server.Serve(ctx, app, retryListener{api, n.log}) })
	g.Go(func() error { return peerrpc.Serve(ctx, retryListener{meshLn, n.log}, n.handle, n.log) })
	g.Go(func() error { return n.election.Run(ctx) })
	g.Go(func() error { return n.intake.Run(ctx) })
	g.Go(func() error { return n.statusReads.run(ctx) })
	g.Go(func() error { return n.relay.run(ctx) })
	g.Go(func() error { return n.readCatalog(ctx) })
	g.Go(func() error { return n.awaitUpgrade(ctx) })
	for _, p := range n.peers {
		g.Go(func() error { return n.pingLoop(ctx, p) })
	}
	n.log.Info("serving", "controller", n.cfg.HostName, "api_address", n.cfg.APIAddr, "mesh_address", n.cfg.MeshAddr)
	err = g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// readCatalog keeps the machine types and their prices.
func (n *Controller) readCatalog(ctx context.Context) error {
	for {
		wait := 30 * time.Second
		types, err := n.cloud.Catalog(ctx)
		if err != nil {
			n.log.Info("catalog read failed", "err", err)
			wait = time.Second
		} else {
			n.catalog.Store(&types)
			if t := n.term.Load(); t != nil {
				t.post(ctx, func() { t.core.SetCatalog(types) })
			}
		}
		if !monotonic.Sleep(ctx, wait) {
			return ctx.Err()
		}
	}
}

// Package controller assembles one controller and runs it. Every controller answers users,
// workers and its peers. The elected one also leads, which package leader implements. Requests
// flow one way:
//
//	user -> service -> submissionHandler, statusHandler or cancellationHandler
//	     -> userCommitter (changes) or statusReader (queries) -> key-value store
//	worker -> service -> heartbeatHandler -> leader.Leader, or heartbeatRelay -> leading peer
//	peer -> peerHandler -> pinger, leader.Leader or directRoute
//
// The package never decides where a task runs: package scheduler does, on behalf of the leader.
package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"ospreystile.example/ospreystile/cloud"
	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/controller/leader"
	"ospreystile.example/ospreystile/controller/settings"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/peerrpc"
	"ospreystile.example/ospreystile/records/commit"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/worker"
)

// Controller is one controller. It owns the parts below and runs their goroutines. A part refers
// only to the parts that it uses.
type Controller struct {
	platform *config.Platform
	log      *slog.Logger

	election    *election.Election
	ownLeader   *localLeader
	peers       peerSet
	catalog     *catalog
	gate        *versionGate
	storeHealth *storeHealth
	// userStore is the client for users' requests. It goes through a peer while only this
	// controller cannot reach the key-value store.
	userStore        *kv.Client
	acknowledgements *acknowledgements
	statusReader     *statusReader
	commits          *userCommitter
	balancer         *connectionBalancer
	relay            *heartbeatRelay
	pinger           *pinger
	service          service
	peerHandler      *peerHandler
}

const (
	// The shares of the key-value store's request rate: the leader's own requests, users'
	// requests at all controllers together, and status reads at all controllers together.
	leaderRequestShare = 0.25
	userRequestShare   = 0.65
	statusReadShare    = 0.2
	// storeConnections bounds the connections to the key-value store.
	storeConnections = 64
	// maxStoreResponseBytes bounds one response of the key-value store.
	maxStoreResponseBytes = 16 << 20
)

// New makes a controller from its settings.
func New(platform *config.Platform, operator *config.Operator, log *slog.Logger) *Controller {
	clock := monotonic.SystemClock()
	c := &Controller{platform: platform, log: log, ownLeader: new(localLeader), peers: newPeerSet(platform.Seeds),
		storeHealth: new(storeHealth)}
	store := httpclient.New(platform.External.KV, storeConnections, maxStoreResponseBytes)
	direct := &directRoute{store: store, health: c.storeHealth}
	controllers := float64(len(platform.Seeds) + 1)
	storeRPS := platform.Settings.KV.Strictest().RPS
	leaderStore := kv.New(direct, storeRPS*leaderRequestShare)
	c.userStore = kv.New(&userRoute{direct: direct, health: c.storeHealth, peers: c.peers, clock: clock}, storeRPS*userRequestShare/controllers)
	cloudClient := cloud.New(platform.External.Cloud, platform.Settings.Cloud.RPS)
	c.catalog = &catalog{cloud: cloudClient, ownLeader: c.ownLeader, log: log}
	c.gate = &versionGate{peers: c.peers, store: c.userStore, clock: clock, ownLeader: c.ownLeader, log: log}
	leadership := &leadership{ownLeader: c.ownLeader, dependencies: leader.Dependencies{Platform: platform, Operator: operator,
		Clock: clock, Log: log, Store: leaderStore, Cloud: cloudClient, Workers: worker.New(), Catalog: c.catalog,
		VersionGate: c.gate, Peers: c.peers.forLeader()}}
	c.election = election.New(leaderStore.Unthrottled(), identity(platform), leaseBounds(platform, operator), clock, log, leadership.lead)
	leaders := &leaderClient{ownLeader: c.ownLeader, election: c.election, peers: c.peers, log: log}
	c.acknowledgements = &acknowledgements{ownLeader: c.ownLeader, leaders: leaders}
	statusReadGap := monotonic.Seconds(controllers / (statusReadShare * storeRPS))
	c.statusReader = newStatusReader(c.userStore, statusReadGap, leaders.progress)
	c.wireRequests(leaders, clock)
	c.wirePeers(direct, clock)
	return c
}

// identity returns the value of the leader key while this process leads.
func identity(platform *config.Platform) election.Identity {
	return election.Identity{Name: platform.HostName, PeerAddress: platform.PeerAddr, Incarnation: ids.ControllerIncarnation(rand.Uint64())}
}

// leaseBounds returns for how long this controller may lead without renewing its lease.
func leaseBounds(platform *config.Platform, operator *config.Operator) election.LeaseBounds {
	bounds := election.LeaseBounds{
		TTL:                  operator.LeaseTTL(),
		OutageGrace:          operator.Grace(),
		IsolatedGrace:        settings.IsolatedGrace(platform, operator),
		IsolatedReplicaGrace: settings.IsolatedReplicaGrace(platform, operator),
	}
	for _, seed := range platform.Seeds {
		bounds.Peers = append(bounds.Peers, seed.Name)
	}
	return bounds
}

// wireRequests makes the parts that answer users and workers.
func (c *Controller) wireRequests(leaders *leaderClient, clock monotonic.Clock) {
	terminal := newTerminalJobs(c.acknowledgements)
	statuses := &statusHandler{reader: c.statusReader, terminal: terminal, log: c.log}
	c.commits = &userCommitter{commit.New(c.userStore, settings.TransactionLimits(c.platform), nil, c.log)}
	maxValueBytes := settings.MaxValueBytes(c.platform)
	c.balancer = newConnectionBalancer(monotonic.Seconds(balancerWindowIntervals * c.platform.Settings.Workers.HeartbeatIntervalS))
	c.relay = newHeartbeatRelay(leaders, c.platform.Settings.Resources.Sockets, c.log)
	c.service = service{
		submissionHandler: &submissionHandler{teams: c.platform.Settings.Teams, maxValueBytes: maxValueBytes, catalog: c.catalog,
			statuses: statuses, terminal: terminal, gate: c.gate, commits: c.commits, leaders: leaders, log: c.log},
		statusHandler:       statuses,
		cancellationHandler: &cancellationHandler{store: c.userStore, maxValueBytes: maxValueBytes, terminal: terminal, commits: c.commits},
		heartbeatHandler: &heartbeatHandler{self: c.platform.HostName, clock: clock, election: c.election, ownLeader: c.ownLeader,
			peers: c.peers, balancer: c.balancer, relay: c.relay},
	}
}

// wirePeers makes the parts that communicate with the other controllers.
func (c *Controller) wirePeers(direct *directRoute, clock monotonic.Clock) {
	c.pinger = &pinger{self: c.platform.HostName, clock: clock, startedAt: clock.Now(), election: c.election, peers: c.peers,
		health: c.storeHealth, balancer: c.balancer, acknowledgements: c.acknowledgements, gate: c.gate}
	c.peerHandler = &peerHandler{pinger: c.pinger, ownLeader: c.ownLeader, direct: direct}
}

const (
	// memoryShare is the share of the granted memory that the heap may take: stacks, buffers
	// and the runtime itself need the rest.
	memoryShare = 0.66
	// garbageCollectionPercent lets the heap grow further than by default between two
	// collections. Their cost is noticeable on a small share of a core, and the memory limit
	// bounds the heap.
	garbageCollectionPercent = 250
	// minAPIConnections is the least bound of connections of users and workers.
	minAPIConnections = 16
	// minIdleTimeout is the least time after which an idle connection is closed.
	minIdleTimeout = 15 * time.Second
	// idleHeartbeatIntervals is after how many heartbeat intervals an idle connection is
	// closed, if that is longer than minIdleTimeout.
	idleHeartbeatIntervals = 3
)

// Run serves until the context ends, and then returns nil. It returns an error if it cannot
// listen on an address, or if a part fails permanently.
func (c *Controller) Run(ctx context.Context) error {
	debug.SetGCPercent(garbageCollectionPercent)
	debug.SetMemoryLimit(int64(c.platform.Settings.Resources.RAMMB * memoryShare * (1 << 20)))
	apiListener, err := net.Listen("tcp4", c.platform.APIAddr)
	if err != nil {
		return fmt.Errorf("api_addr: %w", err)
	}
	peerListener, err := net.Listen("tcp4", c.platform.PeerAddr)
	if err != nil {
		return errors.Join(fmt.Errorf("mesh_addr: %w", err), apiListener.Close())
	}
	group, ctx := errgroup.WithContext(ctx)
	c.start(ctx, group, apiListener, peerListener)
	c.log.Info("serving", "controller", c.platform.HostName, "api_address", c.platform.APIAddr, "peer_address", c.platform.PeerAddr)
	err = group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// start starts the goroutines of all parts in a group. They end when ctx does.
func (c *Controller) start(ctx context.Context, group *errgroup.Group, apiListener, peerListener net.Listener) {
	api := server.New(c.service, c.serverLimits(), c.log)
	group.Go(func() error { return server.Serve(ctx, api, retryListener{apiListener, c.log}) })
	group.Go(func() error {
		return peerrpc.Serve(ctx, retryListener{peerListener, c.log}, c.peerHandler.handle, c.log)
	})
	group.Go(func() error { return c.election.Run(ctx) })
	group.Go(func() error { return c.commits.run(ctx) })
	group.Go(func() error { return c.statusReader.run(ctx) })
	group.Go(func() error { return c.relay.run(ctx) })
	group.Go(func() error { return c.catalog.run(ctx) })
	group.Go(func() error { return c.gate.run(ctx) })
	for _, p := range c.peers {
		group.Go(func() error { return c.pinger.run(ctx, p) })
	}
}

// serverLimits returns the bounds of connections of users and workers.
func (c *Controller) serverLimits() server.Limits {
	s := &c.platform.Settings
	return server.Limits{
		// Outgoing connections, peers and the runtime need sockets too.
		MaxConnections: max(minAPIConnections, s.Resources.Sockets*3/4),
		IdleTimeout:    max(minIdleTimeout, idleHeartbeatIntervals*monotonic.Seconds(s.Workers.HeartbeatIntervalS)),
	}
}

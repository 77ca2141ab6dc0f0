// Package controller assembles one controller and runs it. Every controller answers users, workers and
// its peers. The elected controller also runs the leader, which package leader implements. Requests
// flow in one direction:
//
//	user -> service -> submissionHandler, statusHandler or cancellationHandler
//	     -> userCommitter (changes) or statusReader (queries) -> key-value store
//	worker -> service -> heartbeatHandler -> leader.Leader, or heartbeatRelay -> leading peer
//	peer -> peerHandler -> pinger, leader.Leader or directRoute
//
// Package scheduler decides where tasks run, on behalf of the leader. This package makes no such
// decision.
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
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/records/commit"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/worker"
)

// Controller represents one controller. It owns the components below and runs their goroutines. A
// component refers only to the components that it uses.
type Controller struct {
	platform *config.Platform
	log      *slog.Logger

	election    *election.Election
	localLeader *localLeader
	peers       peerSet
	catalog     *catalog
	gate        *versionGate
	storeHealth *storeHealth
	// directStore is a client of the key-value store that never calls it through a peer, without a
	// request budget.
	directStore *kv.Client
	// userStore is the client of the key-value store for users' requests. It calls the store
	// through a peer while this controller cannot reach the store and a peer can.
	userStore        *kv.Client
	acknowledgements *acknowledgements
	statusReader     *statusReader
	commits          *userCommitter
	balancer         *connectionBalancer
	relay            *heartbeatRelay
	availability     *availability
	pinger           *pinger
	service          service
	peerHandler      *peerHandler
}

const (
	// The shares of the key-value store's request rate: for the requests of the leader itself, for
	// users' requests at all controllers together, and, as a part of the latter, for status reads at
	// all controllers together.
	leaderRequestShare = 0.25
	userRequestShare   = 0.65
	statusReadShare    = 0.2
	// storeConnections is the maximum number of connections to the key-value store.
	storeConnections = 64
	// maxStoreResponseBytes is the maximum size of a response of the key-value store.
	maxStoreResponseBytes = 16 << 20
)

// New returns a controller with the given settings. Run starts it.
func New(platform *config.Platform, operator *config.Operator, log *slog.Logger) *Controller {
	clock := monotonic.SystemClock()
	c := &Controller{platform: platform, log: log, localLeader: new(localLeader), peers: newPeerSet(platform.Seeds),
		storeHealth: new(storeHealth)}
	store := httpclient.New(platform.External.KV, storeConnections, maxStoreResponseBytes)
	direct := &directRoute{store: store, health: c.storeHealth}
	controllers := float64(len(platform.Seeds) + 1)
	storeRPS := platform.Settings.KV.Strictest().RPS
	leaderStore := kv.New(direct, storeRPS*leaderRequestShare)
	c.userStore = kv.New(&userRoute{direct: direct, health: c.storeHealth, peers: c.peers, clock: clock}, storeRPS*userRequestShare/controllers)
	cloudClient := cloud.New(platform.External.Cloud, platform.Settings.Cloud.RPS)
	c.catalog = &catalog{cloud: cloudClient, store: c.userStore, localLeader: c.localLeader, log: log}
	c.gate = &versionGate{peers: c.peers, store: c.userStore, clock: clock, localLeader: c.localLeader, log: log}
	leadership := &leadership{localLeader: c.localLeader, dependencies: leader.Dependencies{Platform: platform, Operator: operator,
		Clock: clock, Log: log, Store: leaderStore, Cloud: cloudClient, Workers: worker.New(), Catalog: c.catalog,
		VersionGate: c.gate, Peers: c.peers.leaderPeers()}}
	c.directStore = leaderStore.Unthrottled()
	c.election = election.New(c.directStore, identity(platform), leaseBounds(platform, operator), clock, log, leadership.lead)
	client := &leaderClient{localLeader: c.localLeader, election: c.election, peers: c.peers, log: log}
	c.acknowledgements = &acknowledgements{localLeader: c.localLeader, leaderClient: client}
	statusReadInterval := monotonic.Seconds(controllers / (statusReadShare * storeRPS))
	c.statusReader = newStatusReader(c.userStore, statusReadInterval, client.progress, newJobCapacity(platform, log), log)
	c.initRequestHandlers(client, clock)
	c.initPeerHandlers(direct, clock)
	return c
}

// identity returns the value that the leader key has while this process leads.
func identity(platform *config.Platform) election.Identity {
	return election.Identity{Name: platform.HostName, PeerAddress: platform.PeerAddr, Incarnation: ids.ControllerIncarnation(rand.Uint64())}
}

// leaseBounds returns the bounds on how long this controller may lead without renewing its lease.
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

// initRequestHandlers creates the components that answer users and workers.
func (c *Controller) initRequestHandlers(client *leaderClient, clock monotonic.Clock) {
	terminal := newTerminalJobs(c.acknowledgements)
	statuses := &statusHandler{reader: c.statusReader, terminal: terminal, log: c.log}
	c.commits = &userCommitter{commit.New(c.userStore, settings.TransactionLimits(c.platform), nil, c.log)}
	maxValueBytes := settings.MaxValueBytes(c.platform)
	c.balancer = newConnectionBalancer(monotonic.Seconds(balancerWindowIntervals * c.platform.Settings.Workers.HeartbeatIntervalS))
	c.relay = newHeartbeatRelay(client, c.platform.Settings.Resources.Sockets, c.log)
	c.availability = &availability{clock: clock, health: c.storeHealth, peers: c.peers, probe: c.probeStore, log: c.log}
	c.service = service{
		availability: c.availability, catalog: c.catalog,
		submissionHandler: &submissionHandler{teams: c.platform.Settings.Teams, maxValueBytes: maxValueBytes, catalog: c.catalog,
			statuses: statuses, terminal: terminal, gate: c.gate, commits: c.commits, leaderClient: client, log: c.log},
		statusHandler:       statuses,
		cancellationHandler: &cancellationHandler{store: c.userStore, maxValueBytes: maxValueBytes, terminal: terminal, commits: c.commits},
		heartbeatHandler: &heartbeatHandler{self: c.platform.HostName, clock: clock, election: c.election, localLeader: c.localLeader,
			peers: c.peers, balancer: c.balancer, relay: c.relay},
	}
}

// probeStore sends a request to the key-value store, whose result storeHealth observes.
func (c *Controller) probeStore(ctx context.Context) {
	_, _, _ = c.directStore.Get(ctx, records.LeaderKey)
}

// initPeerHandlers creates the components that communicate with the other controllers.
func (c *Controller) initPeerHandlers(direct *directRoute, clock monotonic.Clock) {
	c.pinger = &pinger{self: c.platform.HostName, clock: clock, startedAt: clock.Now(), election: c.election, peers: c.peers,
		health: c.storeHealth, balancer: c.balancer, acknowledgements: c.acknowledgements, gate: c.gate}
	c.peerHandler = &peerHandler{pinger: c.pinger, localLeader: c.localLeader, direct: direct}
}

const (
	// memoryShare is the fraction of the granted memory that the heap may use. Stacks, buffers and
	// the runtime itself need the rest.
	memoryShare = 0.66
	// garbageCollectionPercent lets the heap grow more than the default between two collections,
	// because the cost of collections is noticeable on a small share of a core. The memory limit
	// bounds the heap.
	garbageCollectionPercent = 250
	// minAPIConnections is the lower bound of the connection limit for users and workers.
	minAPIConnections = 16
	// minIdleTimeout is the minimum time after which an idle connection is closed.
	minIdleTimeout = 15 * time.Second
	// idleHeartbeatIntervals is the number of heartbeat intervals after which an idle connection
	// is closed, if that is longer than minIdleTimeout.
	idleHeartbeatIntervals = 3
)

// Run serves requests until the context ends, and then returns nil. It returns an error if it cannot
// listen on an address, or if a component fails permanently.
func (c *Controller) Run(ctx context.Context) error {
	debug.SetGCPercent(garbageCollectionPercent)
	debug.SetMemoryLimit(int64(c.platform.Settings.Resources.RAMMB * memoryShare * (1 << 20)))
	apiListener, err := net.Listen("tcp4", c.platform.APIAddr)
	if err != nil {
		return fmt.Errorf("listen on api_addr: %w", err)
	}
	peerListener, err := net.Listen("tcp4", c.platform.PeerAddr)
	if err != nil {
		return errors.Join(fmt.Errorf("listen on mesh_addr: %w", err), apiListener.Close())
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

// start starts the goroutines of all components in a group. They return when ctx ends at the latest.
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
	group.Go(func() error { return c.availability.run(ctx) })
	group.Go(func() error { return c.catalog.run(ctx) })
	group.Go(func() error { return c.catalog.runRecorded(ctx) })
	group.Go(func() error { return c.gate.run(ctx) })
	for _, p := range c.peers {
		group.Go(func() error { return c.pinger.run(ctx, p) })
	}
}

// serverLimits returns the limits for the connections of users and workers.
func (c *Controller) serverLimits() server.Limits {
	s := &c.platform.Settings
	return server.Limits{
		// The remaining sockets are for outgoing connections, peers and the runtime.
		MaxConnections: max(minAPIConnections, s.Resources.Sockets*3/4),
		IdleTimeout:    max(minIdleTimeout, idleHeartbeatIntervals*monotonic.Seconds(s.Workers.HeartbeatIntervalS)),
	}
}

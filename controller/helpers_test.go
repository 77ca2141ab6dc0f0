package controller

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/peerrpc"
	"ospreystile.example/ospreystile/wire"
)

// testConfig returns the settings of controller n-0 with a key-value store at the given address.
func testConfig(store string) *config.Platform {
	p := &config.Platform{HostName: "n-0", APIAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2"}
	p.External.KV, p.External.Cloud = store, "127.0.0.1:3"
	p.Settings.Teams = []config.Team{{Name: "red", CPUs: 4, CPUsMax: 16}}
	p.Settings.Resources.CPUShare = 1
	p.Settings.KV.RPS, p.Settings.KV.TxnOps, p.Settings.Cloud.RPS = 200, 8, 4
	return p
}

// newTestController returns a controller that logs nothing. None of its goroutines is started.
func newTestController(t *testing.T, platform *config.Platform) *Controller {
	t.Helper()
	return newLoggingController(t, platform, slog.New(slog.DiscardHandler))
}

func newLoggingController(t *testing.T, platform *config.Platform, log *slog.Logger) *Controller {
	t.Helper()
	operator, err := config.ParseOperator(nil)
	if err != nil {
		t.Fatal(err)
	}
	return New(platform, operator, log)
}

// setTestCatalog sets a controller's catalog to a single machine type.
func setTestCatalog(c *Controller) {
	c.catalog.fromCloud.Store(&[]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 16, Zones: []ids.Zone{"a"}}})
}

// startController starts the goroutines that a controller needs to accept submissions.
func startController(t *testing.T, name ids.ControllerName, store string, seeds ...config.Peer) *Controller {
	t.Helper()
	platform := testConfig(store)
	platform.HostName, platform.Seeds = name, seeds
	platform.Settings.KV.RPS, platform.Settings.KV.WriteRPS, platform.Settings.KV.ValueKB = 20000, 80, 2
	c := newTestController(t, platform)
	setTestCatalog(c)
	runUntilCleanup(t, func(ctx context.Context) { _ = c.commits.run(ctx) })
	runUntilCleanup(t, func(ctx context.Context) { _ = c.statusReader.run(ctx) })
	return c
}

// startFollower starts controller n-1, which follows the leading controller. Peers reach the latter at the
// given address.
func startFollower(t *testing.T, store string, leading *Controller, address string) *Controller {
	t.Helper()
	c := startController(t, "n-1", store, config.Peer{Name: "n-0", Address: address})
	known, _ := leading.election.Leader()
	c.election.Observe(known)
	return c
}

// startLeading starts a controller's election, waits until the controller leads, and returns the address at
// which peers reach it.
func startLeading(t *testing.T, c *Controller) (address string) {
	t.Helper()
	runUntilCleanup(t, func(ctx context.Context) { _ = c.election.Run(ctx) })
	address = servePeers(t, c)
	waitUntil(t, "the controller leads", func() bool { return c.localLeader.get() != nil })
	return address
}

// servePeers serves the peers of a controller, and returns the address.
func servePeers(t *testing.T, c *Controller) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	runUntilCleanup(t, func(ctx context.Context) { _ = peerrpc.Serve(ctx, listener, c.peerHandler.handle, c.log) })
	return listener.Addr().String()
}

// runUntilCleanup runs a function in a goroutine until the test ends.
func runUntilCleanup(t *testing.T, run func(context.Context)) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
}

// waitUntil waits until ok returns true. It fails the test if the condition, described by what, is not met
// in time.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 4000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", what)
}

// knownToLeader reports whether the leader in a controller's process knows the job.
func knownToLeader(t *testing.T, c *Controller, id ids.JobID) bool {
	t.Helper()
	local := c.localLeader.get()
	if local == nil {
		return false
	}
	progress, err := local.Progress(t.Context(), []ids.JobID{id})
	if err != nil {
		return false
	}
	_, known := progress[id]
	return known
}

// noProgress is a progressSource for jobs that have not started.
func noProgress(_ context.Context, jobs []ids.JobID) []peerapi.JobProgress {
	return make([]peerapi.JobProgress, len(jobs))
}

// testSpec returns the specification of a job with one task.
func testSpec(dependsOn ...ids.JobID) *wire.JobSpec {
	return &wire.JobSpec{Class: "c", Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", DependsOn: dependsOn}
}

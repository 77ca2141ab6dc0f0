package election

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/monotonic"
)

const (
	testTTL         = 3 * time.Second
	testOutageGrace = 20 * time.Second
)

// cluster represents a store and the candidates that take part in its election. It checks that no
// two candidates ever hold the lease at the same time, and that no revision serves two terms.
type cluster struct {
	store *kvtest.Store

	mu         sync.Mutex
	terms      map[ids.ControllerName]*Term // the last term of each running candidate
	processes  map[ids.Revision]string      // the process that led under each revision
	violations []string
}

// withCluster runs a test in a synctest bubble, with a cluster that has no candidates yet.
func withCluster(t *testing.T, test func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			store:     kvtest.NewStore(),
			terms:     map[ids.ControllerName]*Term{},
			processes: map[ids.Revision]string{},
		}
		t.Cleanup(func() {
			for _, violation := range c.violations {
				t.Error(violation)
			}
		})
		test(t, c)
	})
}

// candidate represents one process of a controller.
type candidate struct {
	cluster  *cluster
	self     Identity
	election *Election
	client   *kvtest.Client
	stopRun  func()
	// ended reports whether the process counts as ended. It is guarded by the cluster's lock.
	ended bool
}

// start starts a candidate with a client of its own. It is stopped when the test ends.
func (c *cluster) start(t *testing.T, name ids.ControllerName, incarnation ids.ControllerIncarnation) *candidate {
	t.Helper()
	client := newClient(c.store)
	return c.startWith(t, Identity{Name: name, Incarnation: incarnation}, client, client)
}

// startWith starts a candidate that accesses the store through store, a wrapper of its client.
func (c *cluster) startWith(t *testing.T, self Identity, client *kvtest.Client, store Store) *candidate {
	t.Helper()
	m := &candidate{cluster: c, self: self, client: client}
	m.election = newElection(store, self, func(ctx context.Context, term *Term) error {
		c.recordTerm(m, term)
		for ctx.Err() == nil {
			c.checkLeases()
			monotonic.Sleep(ctx, 20*time.Millisecond)
		}
		return context.Cause(ctx)
	})
	m.stopRun = runElection(t, m.election)
	return m
}

// newElection returns an election without peers.
func newElection(store Store, self Identity, work func(context.Context, *Term) error) *Election {
	bounds := LeaseBounds{TTL: testTTL, OutageGrace: testOutageGrace}
	return New(store, self, bounds, monotonic.SystemClock(), slog.New(slog.DiscardHandler), work)
}

// runElection runs an election until stop is called, at the latest when the test ends.
func runElection(t *testing.T, e *Election) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}

// stop ends the process, which revokes its lease if it can.
func (m *candidate) stop() {
	m.cluster.markEnded(m)
	m.stopRun()
}

// kill ends the process before it can revoke its lease.
func (m *candidate) kill() {
	m.client.RefuseRequests()
	m.stop()
}

// recordTerm records a term, and a violation if its revision has served another one. A process
// that has ended holds no lease. While its goroutines stop, the response to its last commit may
// still arrive here, but a killed process would not receive it.
func (c *cluster) recordTerm(m *candidate, term *Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !m.ended {
		c.terms[m.self.Name] = term
	}
	process := fmt.Sprintf("%s#%d", m.self.Name, m.self.Incarnation)
	if earlier, found := c.processes[term.Revision]; found {
		c.violations = append(c.violations, fmt.Sprintf("revision %d served %s and %s", term.Revision, earlier, process))
	}
	c.processes[term.Revision] = process
}

// markEnded records that a process has ended.
func (c *cluster) markEnded(m *candidate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.ended = true
	delete(c.terms, m.self.Name)
}

// checkLeases records a violation if more than one candidate holds the lease.
func (c *cluster) checkLeases() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var holders []string
	for name, term := range c.terms {
		if term.HoldsLease() {
			holders = append(holders, fmt.Sprintf("%s@%d", name, term.Revision))
		}
	}
	if len(holders) > 1 {
		c.violations = append(c.violations, fmt.Sprintf("several candidates hold the lease: %v", holders))
	}
}

// leader returns the candidate that holds the lease and its term, or zero values if there is none.
func (c *cluster) leader() (ids.ControllerName, *Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, term := range c.terms {
		if term.HoldsLease() {
			return name, term
		}
	}
	return "", nil
}

// mustLeader returns the candidate that holds the lease and its term. It fails the test if there is
// none.
func (c *cluster) mustLeader(t *testing.T) (ids.ControllerName, *Term) {
	t.Helper()
	name, term := c.leader()
	if term == nil {
		t.Fatal("no candidate holds the lease")
	}
	return name, term
}

// termCount returns the number of terms so far.
func (c *cluster) termCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.processes)
}
